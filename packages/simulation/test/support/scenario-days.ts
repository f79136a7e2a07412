/**
 * Plays simulated days with scenarios of compound faults. A test fails if a day violates a rule, or if none of its days causes
 * every situation that the scenario is meant to cause.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { failuresOf, playDay } from '../../src/play.js';
import { type Size, SMALL } from '../../src/world/deployment-size.js';
import type { Faults } from '../../src/world/faults.js';

/** The name of a test, the faults of its days, the situations that must occur, and the size of the deployment. */
export type ScenarioTest = readonly [
  name: string,
  troubles: Faults,
  situations: readonly string[],
  size?: Size,
];

/** Seeds of the days, which are played until all situations have occurred; usually one or two days suffice. */
const SEEDS = [1, 2, 3, 4, 5, 6];

/** Defines one test for each row. */
export const playScenarios = (rows: readonly ScenarioTest[], seeds: readonly number[] = SEEDS): void => {
  for (const [name, troubles, situations, size = SMALL] of rows)
    test(`rules hold: ${name}`, () => {
      const options = {
        size: size,
        jobs: 12,
        hasSufficientCapacity: false,
        troubledUs: 130e6,
        quietUs: 300e6,
      };
      const missing = new Set(situations);
      for (const seed of seeds) {
        const day = playDay({ name: name, ...options, troubles }, seed);
        assert.deepEqual(failuresOf(day), [], `seed ${seed}`);
        for (const situation of Object.keys(day.met)) missing.delete(situation);
        if (missing.size === 0) return;
      }
      assert.fail(`situations that did not occur: ${[...missing].join(', ')}`);
    });
};
