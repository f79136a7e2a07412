/** When a leader gives way because workers don't reach it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Effect, Fiber } from 'effect';
import { pack } from 'msgpackr';
import { NoAnswer } from '@lilacvalve/runtime/http-client';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { Contacts } from '../src/leadership/contacts.js';
import { decodePeerHeartbeat } from '../src/leadership/codec.js';
import { type PeerHeartbeat, Peers } from '../src/leadership/peers.js';
import type { Settings } from '../src/settings/settings.js';
import { worldSettings } from './support/settings.js';

const ZERO = 0 as Micros;
const heardBy = (n: number): Contacts => {
  const c = new Contacts(worldSettings('n0'));
  for (let i = 0; i < n; i++) c.recordContact(`vm-${i}`, ZERO);
  return c;
};
/** First moment at which it says so, asked every half second for twelve; null: never. */
const givesWay = (
  c: Contacts,
  peers: (at: Micros) => { node: string; contacts: number }[],
): number | null => {
  for (let at = ZERO; at < seconds(12); at = plus(at, 5e5))
    if (c.cutOffReason(at, peers(at)) !== null) return at / 1e6;
  return null;
};

// A leader that reached the state service and no worker kept the lead until every lease had run out.
test('a leader that workers no longer reach gives way to a peer they do reach, within their leases', () => {
  const at = givesWay(heardBy(40), () => [{ node: 'n1', contacts: 30 }]);
  assert.ok(at !== null && at > 4 && at < 8, `${at}`);
});

test('nobody gives way where all are cut off alike, or none is, or workers fall silent for everybody', () => {
  assert.equal(
    givesWay(heardBy(40), () => []),
    null,
  );
  assert.equal(
    givesWay(heardBy(40), () => [{ node: 'n1', contacts: 1 }]),
    null,
  );
  // What the peer says is a beat old.
  assert.equal(
    givesWay(heardBy(40), (at) => [{ node: 'n1', contacts: at < seconds(5.5) ? 40 : 0 }]),
    null,
  );
  const heard = heardBy(0);
  const all = (at: Micros) => {
    for (let i = 0; i < 40; i++) heard.recordContact(`vm-${i}`, at);
    return [{ node: 'n1', contacts: 40 }];
  };
  assert.equal(givesWay(heard, all), null);
});

test('who gives way again stays away for longer each time, until it is long ago', () => {
  const c = heardBy(0);
  const times = [0, 60, 120, 180, 240, 900].map((s) => c.backoff(seconds(s)) / 1e6);
  assert.deepEqual(times, [20, 40, 80, 160, 160, 20]);
});

// A malformed beat once ended the connection's request with a defect, and an answer like it the duty.
test('what is no beat is passed over, whatever it is', () => {
  const beat = { from: 'n1', term: 3, served: true, loaded: true, contacts: 4 };
  assert.deepEqual(decodePeerHeartbeat(Buffer.from(pack(beat))), {
    ...{ from: 'n1', term: 3, servedByStore: true, viewLoaded: true, reachableWorkers: 4 },
    ...{ store: null, hasPreLossViews: false },
  });
  const bad: unknown[] = [
    null,
    7,
    [],
    {},
    { ...beat, term: 'x' },
    { ...beat, term: 2 ** 60 },
    { ...beat, news: 1 },
  ];
  for (const b of bad) assert.equal(decodePeerHeartbeat(Buffer.from(pack(b))), null, JSON.stringify(b));
  const whole = Buffer.from(pack(beat));
  for (const cut of [0, 1, 5, whole.length - 1])
    assert.equal(decodePeerHeartbeat(whole.subarray(0, cut)), null);
  assert.equal(decodePeerHeartbeat(Buffer.from([0xc1, 0xff, 0x00])), null);
});

// Users that reached a leader cut from all others stayed with it, and got 503 for as long as the cut lasted.
test('a controller is alone when no other has answered it lately, and only where there are others', async () => {
  let at = ZERO;
  let silent = false;
  const beat: PeerHeartbeat = {
    ...{ from: 'n1', term: 1, servedByStore: true, viewLoaded: true, reachableWorkers: 0 },
    ...{ store: null, hasPreLossViews: false },
  };
  const port = {
    exchange: () => (silent ? Effect.fail(new NoAnswer({ reason: 'timeout' })) : Effect.succeed(beat)),
  };
  const of = (settings: Settings): Peers =>
    new Peers(
      settings,
      port,
      () => beat,
      () => at,
    );
  const one = of(worldSettings('n0', { peers: [] }));
  const peers = of(worldSettings('n0', { peers: [{ label: 'n1', zone: 'a', address: '' }] }));
  assert.deepEqual([one.isolated(), peers.isolated()], [false, true]);
  const beats = Effect.runFork(peers.run);
  await new Promise((go) => setTimeout(go, 50));
  assert.equal(peers.isolated(), false);
  silent = true;
  at = seconds(4);
  assert.equal(peers.isolated(), true);
  await Effect.runPromise(Fiber.interrupt(beats));
});
