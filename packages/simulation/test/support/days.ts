/** Seeded random days: the real nodes against stand-ins on virtual time, the rules checked after every step. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GROWN, SMALL } from '../../src/world/deployment-size.js';
import type { Faults } from '../../src/world/faults.js';
import { World } from '../../src/world/world.js';

export type Day = readonly [name: string, troubles: Faults, seeds: readonly number[]];

export const everything: Faults = {
  nodeCrash: true,
  stateOutage: true,
  stateCut: true,
  lost: true,
  netCut: true,
  machineDie: true,
  machineHang: true,
  cloudOutage: true,
};

/** A test for each seed of each day, and one that each of `troubles` has struck more than once in them. */
export const playDays = (days: readonly Day[], troubles: readonly string[] = [], large = false): void => {
  const struck = new Map<string, number>();
  for (const [name, on, seeds] of days) {
    for (const seed of seeds) {
      test(`rules hold: ${name} (seed ${seed})`, () => {
        const world = new World(seed, on, large ? GROWN : SMALL);
        // A day ends when its work does. Large jobs of one team can be 1,400 s of work at the team's limit (seed 32).
        world.play(large ? 20 : 30, 120e6, large ? 1800e6 : 300e6);
        assert.deepEqual(world.rules.broken, []);
        for (const [what, n] of Object.entries(world.log.struck))
          struck.set(what, (struck.get(what) ?? 0) + n);
        assert.ok(world.rules.started > 30, `only ${world.rules.started} tasks started`);
        assert.deepEqual(world.unfinished(), [], 'accepted jobs must come to their end');
        world.stop();
      });
    }
  }
  test('each trouble has struck in some day', () => {
    for (const what of troubles) assert.ok((struck.get(what) ?? 0) > 1, what);
  });
};
