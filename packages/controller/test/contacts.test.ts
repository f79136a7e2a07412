/** When a leader steps down because workers no longer reach it, and how controllers treat peer heartbeats. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Effect, Fiber } from 'effect';
import { pack } from 'msgpackr';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { Contacts } from '../src/leadership/contacts.js';
import { decodePeerHeartbeat } from '../src/leadership/codec.js';
import type { PeerHeartbeat } from '../src/leadership/model.js';
import { Peers } from '../src/leadership/peers.js';
import type { Settings } from '../src/settings/settings.js';
import { worldSettings } from './support/settings.js';

const ZERO = 0 as Micros;
/** Contacts that this many workers reached once, at time zero. */
const contactsOf = (workerCount: number): Contacts => {
  const contacts = new Contacts(worldSettings('n0'));
  for (let i = 0; i < workerCount; i++) contacts.recordContact(`vm-${i}`, ZERO);
  return contacts;
};
/** The first time in seconds at which there is a reason to step down, checked every half second for 12 s; null: never. */
const stepsDownAfter = (
  contacts: Contacts,
  peers: (at: Micros) => { node: string; contacts: number }[],
): number | null => {
  for (let at = ZERO; at < seconds(12); at = plus(at, 5e5))
    if (contacts.cutOffReason(at, peers(at)) !== null) return at / 1e6;
  return null;
};

// A leader that reached the state service but no workers kept the leadership until every worker's lease had expired.
test('a leader that workers no longer reach steps down in favour of a peer that they reach, within their leases', () => {
  const at = stepsDownAfter(contactsOf(40), () => [{ node: 'n1', contacts: 30 }]);
  assert.ok(at !== null && at > 4 && at < 8, `${at}`);
});

test('a leader does not step down if all controllers are cut off, if none is, or if all workers fall silent', () => {
  assert.equal(
    stepsDownAfter(contactsOf(40), () => []),
    null,
  );
  assert.equal(
    stepsDownAfter(contactsOf(40), () => [{ node: 'n1', contacts: 1 }]),
    null,
  );
  // All workers fall silent; the peer's count comes from its last heartbeat and drops a moment later.
  assert.equal(
    stepsDownAfter(contactsOf(40), (at) => [{ node: 'n1', contacts: at < seconds(5.5) ? 40 : 0 }]),
    null,
  );
  const reachable = contactsOf(0);
  const recordAll = (at: Micros) => {
    for (let i = 0; i < 40; i++) reachable.recordContact(`vm-${i}`, at);
    return [{ node: 'n1', contacts: 40 }];
  };
  assert.equal(stepsDownAfter(reachable, recordAll), null);
});

test('the backoff after stepping down doubles each time, up to a limit, and is reset after 5 minutes', () => {
  const contacts = contactsOf(0);
  const backoffs = [0, 60, 120, 180, 240, 900].map((atS) => contacts.backoff(seconds(atS)) / 1e6);
  assert.deepEqual(backoffs, [20, 40, 80, 160, 160, 20]);
});

// A malformed heartbeat request once ended its handler with a defect; such a response ended the task that exchanges them.
test('a malformed peer heartbeat is ignored, whatever its content', () => {
  const heartbeat = { from: 'n1', term: 3, served: true, loaded: true, contacts: 4 };
  assert.deepEqual(decodePeerHeartbeat(Buffer.from(pack(heartbeat))), {
    ...{ from: 'n1', term: 3, servedByStore: true, viewLoaded: true, reachableWorkers: 4 },
    ...{ store: null, hasPreLossViews: false },
  });
  const malformed: unknown[] = [
    null,
    7,
    [],
    {},
    { ...heartbeat, term: 'x' },
    { ...heartbeat, term: 2 ** 60 },
    { ...heartbeat, news: 1 },
  ];
  for (const value of malformed)
    assert.equal(decodePeerHeartbeat(Buffer.from(pack(value))), null, JSON.stringify(value));
  const valid = Buffer.from(pack(heartbeat));
  for (const length of [0, 1, 5, valid.length - 1])
    assert.equal(decodePeerHeartbeat(valid.subarray(0, length)), null);
  assert.equal(decodePeerHeartbeat(Buffer.from([0xc1, 0xff, 0x00])), null);
});

// Users that had reached a leader cut off from all other controllers stayed with it, and got status 503 all the time.
test('a controller is isolated when no other has responded to it recently, and only if there are others', async () => {
  let at = ZERO;
  let silent = false;
  const heartbeat: PeerHeartbeat = {
    ...{ from: 'n1', term: 1, servedByStore: true, viewLoaded: true, reachableWorkers: 0 },
    ...{ store: null, hasPreLossViews: false },
  };
  const port = {
    exchange: () => (silent ? Effect.fail(new NoResponse({ reason: 'timeout' })) : Effect.succeed(heartbeat)),
  };
  const peersOf = (settings: Settings): Peers =>
    new Peers(
      settings,
      port,
      () => heartbeat,
      () => at,
    );
  const noPeers = peersOf(worldSettings('n0', { peers: [] }));
  const peers = peersOf(worldSettings('n0', { peers: [{ label: 'n1', zone: 'a', address: '' }] }));
  assert.deepEqual([noPeers.isolated(), peers.isolated()], [false, true]);
  const exchanges = Effect.runFork(peers.run);
  await new Promise((resolve) => setTimeout(resolve, 50));
  assert.equal(peers.isolated(), false);
  silent = true;
  at = seconds(4);
  assert.equal(peers.isolated(), true);
  await Effect.runPromise(Fiber.interrupt(exchanges));
});
