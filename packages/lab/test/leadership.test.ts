/** Who leads after an outage, on the real nodes over the stand-in state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World } from '../src/world/world.js';

// All controllers restarted while the state service was out: the lead stayed named as an ended process's until its lease,
// which had its full time again, ran out.
test('a lead held by an ended process of a node is given back by the next one as soon as the service answers', () => {
  for (const seed of [1, 2, 3]) {
    const w = new World(seed, {});
    w.time.run(20e6);
    assert.ok(w.leader() !== undefined, 'somebody leads before');
    w.state.outage(true);
    for (const n of w.nodes) w.crash(n, 2e6);
    w.time.run(30e6);
    assert.equal(w.leader(), undefined, 'nobody can lead without the service');
    w.state.outage(false);
    w.time.run(32e6);
    assert.ok(w.leader() !== undefined, `seed ${seed}: a node leads within 2 s`);
    w.stop();
  }
});
