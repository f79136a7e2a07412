/** Changes of leadership around outages, with real controllers and a simulated state service. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { LEADER } from '@lilacvalve/controller/jobs/keys';
import { worldSettings } from '@lilacvalve/controller/support/settings';
import { Effect } from 'effect';
import { World } from '../src/world/world.js';

// All controllers restart during an outage of the state service. The leader key names a process that no longer exists, and its
// lease starts again with its full duration when the service returns.
test('a restarted controller releases the leader lease of its former process as soon as the state service responds', () => {
  for (const seed of [1, 2, 3]) {
    const world = new World(seed, {});
    world.time.run(20e6);
    assert.ok(world.leader() !== undefined, 'there is a leader before the outage');
    world.state.outage(true);
    for (const controller of world.nodes) world.crash(controller, 2e6);
    world.time.run(30e6);
    assert.equal(world.leader(), undefined, 'no controller leads during the outage');
    world.state.outage(false);
    world.time.run(32e6);
    assert.ok(world.leader() !== undefined, `seed ${seed}: a controller leads within 2 s`);
    world.stop();
  }
});

// The campaign is committed, and the state service fails before the read with which a term begins.
test('a won leadership that cannot begin is released before its lease expires', () => {
  for (const seed of [1, 2, 3]) {
    const world = new World(seed, {});
    world.time.run(20e6);
    const put = world.state.onPut;
    let winner: string | null = null;
    world.state.onPut = (key, value) => {
      put(key, value);
      if (key !== LEADER || value === undefined || winner !== null) return;
      winner = (JSON.parse(value) as { controller: string }).controller;
      world.state.outage(true);
      world.time.after(4e6, () => world.state.outage(false));
    };
    world.crash(world.leader()!, 60e6);
    while (winner === null && world.time.now < 40e6) world.time.run(world.time.now + 10_000);
    assert.ok(winner !== null, `seed ${seed}: a controller wins the campaign`);
    world.time.run(world.time.now + 4e6);
    assert.equal(world.leader(), undefined, 'the term cannot begin');
    assert.ok(world.state.keys.has(LEADER), 'the leader lease still exists');
    world.time.run(world.time.now + 1.8e6);
    assert.ok(world.leader() !== undefined, `seed ${seed}: a controller leads before the lease expires`);
    world.stop();
  }
});

// The leader's extensions succeed, so that it keeps the leader lease, but its view becomes too old to respond to heartbeats,
// and all worker leases would expire.
test('a leader whose reads fail while its lease is extended steps down before its workers lose their leases', () => {
  for (const seed of [1, 2]) {
    const world = new World(seed, {});
    let controllerWithoutReads: string | null = null;
    const port = world.state.port.bind(world.state);
    world.state.port = (controller) => {
      const real = port(controller);
      const reads = ['get', 'page', 'follow'];
      return new Proxy(real, {
        get: (target, property) => {
          const member: unknown = Reflect.get(target, property);
          if (typeof member !== 'function') return member;
          return (...args: unknown[]): unknown =>
            controllerWithoutReads === controller && reads.includes(property as string)
              ? Effect.zipRight(Effect.sleep(200), Effect.fail(new NoResponse({ reason: 'timeout' })))
              : (member as (...a: unknown[]) => unknown).apply(target, args);
        },
      });
    };
    world.time.run(2e6);
    // Restarts each controller with a port of this kind.
    for (const controller of world.nodes) world.crash(controller, 200_000);
    world.time.run(25e6);
    const leader = (controllerWithoutReads = world.leader()!);
    assert.ok(leader, 'there is a leader');
    // The other controllers read changes that the leader cannot read.
    const other = world.nodes.find((controller) => controller !== leader)!;
    for (let i = 1; i < 60; i++)
      world.time.after(i * 1e6, () => world.submit({ guest: { tasks: 1, cpus: 1 }, via: () => other }));
    const { leadership } = world.up().find((candidate) => candidate.name === leader)!.controller;
    const { workers } = worldSettings('n0');
    const since = world.time.now;
    while (leadership.respondingTerm() !== null && world.time.now < since + 60e6)
      world.time.run(world.time.now + 50_000);
    const noResponsesSince = world.time.now;
    assert.ok(
      noResponsesSince - since > 10e6 && noResponsesSince - since < workers.cancel,
      `seed ${seed}: its view is too old`,
    );
    while ([undefined, leader].includes(world.leader()) && world.time.now < noResponsesSince + 60e6)
      world.time.run(world.time.now + 50_000);
    const took = (world.time.now - noResponsesSince) / 1e6;
    assert.ok(took < 3, `seed ${seed}: another controller leads after ${took} s`);
    world.stop();
  }
});
