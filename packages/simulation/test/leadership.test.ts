/** Who leads after an outage, on the real nodes over the stand-in state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { LEADER } from '@lilacvalve/controller/jobs/keys';
import { worldSettings } from '@lilacvalve/controller/support/settings';
import { Effect } from 'effect';
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

// The campaign was committed, and the service went out before the read that a reign begins with.
test('a lead that is won and can not begin is given back: nobody waits for its lease', () => {
  for (const seed of [1, 2, 3]) {
    const w = new World(seed, {});
    w.time.run(20e6);
    const put = w.state.onPut;
    let won: string | null = null;
    w.state.onPut = (key, value) => {
      put(key, value);
      if (key !== LEADER || value === undefined || won !== null) return;
      won = (JSON.parse(value) as { node: string }).node;
      w.state.outage(true);
      w.time.after(4e6, () => w.state.outage(false));
    };
    w.crash(w.leader()!, 60e6);
    while (won === null && w.time.now < 40e6) w.time.run(w.time.now + 10_000);
    assert.ok(won !== null, `seed ${seed}: somebody wins`);
    w.time.run(w.time.now + 4e6);
    assert.equal(w.leader(), undefined, 'and can not begin');
    assert.ok(w.state.keys.has(LEADER), 'its lease has its full time again');
    w.time.run(w.time.now + 1.8e6);
    assert.ok(w.leader() !== undefined, `seed ${seed}: somebody leads before that is over`);
    w.stop();
  }
});

// Its extends succeeded, so it kept the lead; too old a view to answer a report by, it let all leases run out.
test('a leader whose reads fail while its lease is extended gives way before its workers lose their leases', () => {
  for (const seed of [1, 2]) {
    const w = new World(seed, {});
    let blind: string | null = null;
    const port = w.state.port.bind(w.state);
    w.state.port = (node) => {
      const real = port(node);
      const reads = ['get', 'page', 'follow'];
      return new Proxy(real, {
        get: (t, k) => {
          const own: unknown = Reflect.get(t, k);
          if (typeof own !== 'function') return own;
          return (...args: unknown[]): unknown =>
            blind === node && reads.includes(k as string)
              ? Effect.zipRight(Effect.sleep(200), Effect.fail(new NoResponse({ reason: 'timeout' })))
              : (own as (...a: unknown[]) => unknown).apply(t, args);
        },
      });
    };
    w.time.run(2e6);
    // Each node anew, with such a port.
    for (const n of w.nodes) w.crash(n, 200_000);
    w.time.run(25e6);
    const leader = (blind = w.leader()!);
    assert.ok(leader, 'somebody leads');
    // The others know of changes that it has not read.
    const other = w.nodes.find((n) => n !== leader)!;
    for (let i = 1; i < 60; i++)
      w.time.after(i * 1e6, () => w.submit({ guest: { tasks: 1, cpus: 1 }, via: () => other }));
    const { leadership } = w.up().find((u) => u.name === leader)!.node;
    const { workers } = worldSettings('n0');
    const since = w.time.now;
    while (leadership.respondingTerm() !== null && w.time.now < since + 60e6) w.time.run(w.time.now + 50_000);
    const silent = w.time.now;
    assert.ok(silent - since > 10e6 && silent - since < workers.cancel, `seed ${seed}: its view is too old`);
    while ([undefined, leader].includes(w.leader()) && w.time.now < silent + 60e6)
      w.time.run(w.time.now + 50_000);
    const took = (w.time.now - silent) / 1e6;
    assert.ok(took < 3, `seed ${seed}: another leads after ${took} s`);
    w.stop();
  }
});
