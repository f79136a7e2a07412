/** When a leader steps down because workers don't reach it, and what peers tell each other. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Effect, Fiber } from 'effect';
import { pack } from 'msgpackr';
import { NoAnswer } from '@lilacvalve/runtime/http-client';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { Contacts } from '../src/leadership/contacts.js';
import { decodePeerHeartbeat } from '../src/leadership/codec.js';
import type { PeerHeartbeat } from '../src/leadership/model.js';
import { Peers } from '../src/leadership/peers.js';
import type { Settings } from '../src/settings/settings.js';
import { worldSettings } from './support/settings.js';

const ZERO = 0 as Micros;
const heardBy = (n: number): Contacts => {
  const c = new Contacts(worldSettings('n0'));
  for (let i = 0; i < n; i++) c.recordContact(`vm-${i}`, ZERO);
  return c;
};
/** First moment at which it says so, asked every half second for twelve; null: never. */
const stepsDownAfter = (
  c: Contacts,
  peers: (at: Micros) => { node: string; contacts: number }[],
): number | null => {
  for (let at = ZERO; at < seconds(12); at = plus(at, 5e5))
    if (c.cutOffReason(at, peers(at)) !== null) return at / 1e6;
  return null;
};

// A leader that reached the state service and no worker kept the lead until every lease had run out.
test('a leader that workers no longer reach steps down for a peer they do reach, within their leases', () => {
  const at = stepsDownAfter(heardBy(40), () => [{ node: 'n1', contacts: 30 }]);
  assert.ok(at !== null && at > 4 && at < 8, `${at}`);
});

test('no leader steps down where all are cut off alike, or none is, or workers fall silent for everybody', () => {
  assert.equal(
    stepsDownAfter(heardBy(40), () => []),
    null,
  );
  assert.equal(
    stepsDownAfter(heardBy(40), () => [{ node: 'n1', contacts: 1 }]),
    null,
  );
  // What the peer says is one heartbeat old.
  assert.equal(
    stepsDownAfter(heardBy(40), (at) => [{ node: 'n1', contacts: at < seconds(5.5) ? 40 : 0 }]),
    null,
  );
  const heard = heardBy(0);
  const all = (at: Micros) => {
    for (let i = 0; i < 40; i++) heard.recordContact(`vm-${i}`, at);
    return [{ node: 'n1', contacts: 40 }];
  };
  assert.equal(stepsDownAfter(heard, all), null);
});

test('the backoff after stepping down doubles each time, up to a limit, and is reset after a while', () => {
  const c = heardBy(0);
  const times = [0, 60, 120, 180, 240, 900].map((s) => c.backoff(seconds(s)) / 1e6);
  assert.deepEqual(times, [20, 40, 80, 160, 160, 20]);
});

// A malformed heartbeat once ended the connection's request with a defect, and a response like it the task.
test('what is no heartbeat is ignored, whatever it is', () => {
  const heartbeat = { from: 'n1', term: 3, served: true, loaded: true, contacts: 4 };
  assert.deepEqual(decodePeerHeartbeat(Buffer.from(pack(heartbeat))), {
    ...{ from: 'n1', term: 3, servedByStore: true, viewLoaded: true, reachableWorkers: 4 },
    ...{ store: null, hasPreLossViews: false },
  });
  const bad: unknown[] = [
    null,
    7,
    [],
    {},
    { ...heartbeat, term: 'x' },
    { ...heartbeat, term: 2 ** 60 },
    { ...heartbeat, news: 1 },
  ];
  for (const b of bad) assert.equal(decodePeerHeartbeat(Buffer.from(pack(b))), null, JSON.stringify(b));
  const whole = Buffer.from(pack(heartbeat));
  for (const cut of [0, 1, 5, whole.length - 1])
    assert.equal(decodePeerHeartbeat(whole.subarray(0, cut)), null);
  assert.equal(decodePeerHeartbeat(Buffer.from([0xc1, 0xff, 0x00])), null);
});

// Users that reached a leader cut off from all others stayed with it, and got 503 for as long as the cut lasted.
test('a controller is isolated when no other has answered it lately, and only where there are others', async () => {
  let at = ZERO;
  let silent = false;
  const heartbeat: PeerHeartbeat = {
    ...{ from: 'n1', term: 1, servedByStore: true, viewLoaded: true, reachableWorkers: 0 },
    ...{ store: null, hasPreLossViews: false },
  };
  const port = {
    exchange: () => (silent ? Effect.fail(new NoAnswer({ reason: 'timeout' })) : Effect.succeed(heartbeat)),
  };
  const of = (settings: Settings): Peers =>
    new Peers(
      settings,
      port,
      () => heartbeat,
      () => at,
    );
  const one = of(worldSettings('n0', { peers: [] }));
  const peers = of(worldSettings('n0', { peers: [{ label: 'n1', zone: 'a', address: '' }] }));
  assert.deepEqual([one.isolated(), peers.isolated()], [false, true]);
  const exchanges = Effect.runFork(peers.run);
  await new Promise((go) => setTimeout(go, 50));
  assert.equal(peers.isolated(), false);
  silent = true;
  at = seconds(4);
  assert.equal(peers.isolated(), true);
  await Effect.runPromise(Fiber.interrupt(exchanges));
});
