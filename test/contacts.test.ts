/** When a leader gives way because workers don't reach it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, plus, seconds } from '../src/base/micros.js';
import { Contacts } from '../src/leadership/contacts.js';
import { worldSettings } from './world/world.js';

const ZERO = 0 as Micros;
const heardBy = (n: number): Contacts => {
  const c = new Contacts(worldSettings('n0'));
  for (let i = 0; i < n; i++) c.note(`vm-${i}`, ZERO);
  return c;
};
/** First moment at which it says so, asked every half second for twelve; null: never. */
const givesWay = (
  c: Contacts,
  peers: (at: Micros) => { node: string; contacts: number }[],
): number | null => {
  for (let at = ZERO; at < seconds(12); at = plus(at, 5e5))
    if (c.cutOff(at, peers(at)) !== null) return at / 1e6;
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
    for (let i = 0; i < 40; i++) heard.note(`vm-${i}`, at);
    return [{ node: 'n1', contacts: 40 }];
  };
  assert.equal(givesWay(heard, all), null);
});

test('who gives way again stays away for longer each time, until it is long ago', () => {
  const c = heardBy(0);
  const times = [0, 60, 120, 180, 240, 900].map((s) => c.away(seconds(s)) / 1e6);
  assert.deepEqual(times, [20, 40, 80, 160, 160, 20]);
});
