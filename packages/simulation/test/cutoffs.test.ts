/** Plays a day with cutoffs of each experiment, and checks that some jobs were bound to a cutoff and some missed it. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { CUTOFF_RISK } from '@lilacvalve/controller/calendar/model';
import { readExperiment } from '../src/experiment.js';
import { failuresOf, playDay } from '../src/play.js';

for (const [name, seeds] of [
  ['cutoffs', [3]],
  ['cutoffs-lost', [2, 14]],
  ['cutoffs-keys', [4, 15]],
] as const)
  for (const seed of seeds)
    test(`${name} (seed ${seed}): cutoff bindings persist and every finished job is counted`, () => {
      const read = readExperiment(readFileSync(`packages/simulation/experiments/${name}.toml`, 'utf8'));
      assert.ok(read._tag === 'Right');
      const day = playDay(read.right, seed);
      assert.deepEqual(failuresOf(day), []);
      const counts = day.cutoffs!;
      assert.ok(counts.tied > 10 && counts.applied >= 3, JSON.stringify(counts));
      assert.ok((counts.said[CUTOFF_RISK.missed] ?? 0) > 0 || name !== 'cutoffs', JSON.stringify(counts));
    });
