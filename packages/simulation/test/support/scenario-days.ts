/**
 * Compound faults: each scenario on a day that brings it about, with several controllers. A scenario
 * that no day has brought about fails, however well they went.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { faultsOf, playDay } from '../../src/play.js';
import { type Size, SMALL } from '../../src/world/deployment-size.js';
import type { Faults } from '../../src/world/faults.js';

export type Row = readonly [meeting: string, troubles: Faults, met: readonly string[], size?: Size];

/** Days are played until all of the meeting has happened, one or two mostly; never more than these. */
const SEEDS = [1, 2, 3, 4, 5, 6];

export const playScenarios = (rows: readonly Row[], seeds: readonly number[] = SEEDS): void => {
  for (const [meeting, troubles, met, sized = SMALL] of rows)
    test(`rules hold: ${meeting}`, () => {
      const size = { size: sized, jobs: 12, room: false, troubledUs: 130e6, quietUs: 300e6 };
      const missing = new Set(met);
      for (const seed of seeds) {
        const day = playDay({ name: meeting, ...size, troubles }, seed);
        assert.deepEqual(faultsOf(day), [], `seed ${seed}`);
        for (const what of Object.keys(day.met)) missing.delete(what);
        if (missing.size === 0) return;
      }
      assert.fail(`did not happen: ${[...missing].join(', ')}`);
    });
};
