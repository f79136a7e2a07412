/** A day of services on GPUs that others lend: loans are made and end, guarantees hold, leaders die in between. */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { readExperiment } from '../src/experiment.js';
import { faultsOf, playDay } from '../src/play.js';

test('rules hold: lending (seed 2)', () => {
  const read = readExperiment(readFileSync('packages/simulation/experiments/lending.toml', 'utf8'));
  assert.ok(read._tag === 'Right');
  const day = playDay(read.right, 2);
  assert.deepEqual(faultsOf(day), []);
  assert.ok(day.lending !== null && day.lending.loans > 3, 'loans are made');
  const died = Object.entries(day.struck).filter(([k]) => k.startsWith('after_'));
  assert.ok(died.length > 1, 'leaders die after more than one step');
});
