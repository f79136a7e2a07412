/**
 * Plays a day of services on GPUs with loans: loans are made and end, guarantees hold, and leaders crash between the
 * steps of a loan.
 */
import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import { readExperiment } from '../src/experiment.js';
import { failuresOf, playDay } from '../src/play.js';

test('a day with loans and crashing leaders violates no rule (seed 2)', () => {
  const read = readExperiment(readFileSync('packages/simulation/experiments/lending.toml', 'utf8'));
  assert.ok(read._tag === 'Right');
  const day = playDay(read.right, 2);
  assert.deepEqual(failuresOf(day), []);
  assert.ok(day.lending !== null && day.lending.loans > 3, 'at least 4 loans must be made');
  const stepsWithCrash = Object.entries(day.struck).filter(([fault]) => fault.startsWith('after_'));
  assert.ok(stepsWithCrash.length > 1, 'leaders must crash after more than one kind of step');
});
