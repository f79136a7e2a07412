/** Days with cutoffs: small ones of each experiment, and that something was tied, at risk and missed on them. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { CUTOFF_RISK } from '@lilacvalve/controller/calendar/model';
import { readExperiment } from '../src/experiment.js';
import { faultsOf, playDay } from '../src/play.js';

for (const [name, seeds] of [
  ['cutoffs', [3]],
  ['cutoffs-lost', [2, 14]],
  ['cutoffs-keys', [4, 15]],
] as const)
  for (const seed of seeds)
    test(`${name} (seed ${seed}): every tie is kept and every end counted`, () => {
      const read = readExperiment(readFileSync(`packages/simulation/experiments/${name}.toml`, 'utf8'));
      assert.ok(read._tag === 'Right');
      const day = playDay(read.right, seed);
      assert.deepEqual(faultsOf(day), []);
      const c = day.cutoffs!;
      assert.ok(c.tied > 10 && c.applied >= 3, JSON.stringify(c));
      assert.ok((c.said[CUTOFF_RISK.missed] ?? 0) > 0 || name !== 'cutoffs', JSON.stringify(c));
    });
