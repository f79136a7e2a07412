/** Four jobs of one task a second, a quarter of them cancelled, within 25 puts and deletes a second for all controllers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { failuresOf, playDay } from '../src/play.js';
import { SMALL } from '../src/world/deployment-size.js';

test('rules hold, and starts and cancellations are fast: many small jobs, a quarter of them cancelled', () => {
  const size = { size: SMALL, jobs: 4, hasSufficientCapacity: false, troubledUs: 130e6, quietUs: 300e6 };
  const day = playDay({ name: 'many small jobs', ...size, troubles: { manySmallJobs: true } }, 1);
  assert.deepEqual(failuresOf(day), []);
  const counter = (name: string): number => day.met[name] ?? Number.NaN;
  const assertAtMost = (name: string, bound: number): void =>
    assert.ok(counter(name) <= bound, `${name}: ${counter(name)}`);
  const assertAtLeast = (name: string, bound: number): void =>
    assert.ok(counter(name) >= bound, `${name}: ${counter(name)}`);
  // The scenario took place.
  assertAtLeast('small jobs', 390);
  assertAtLeast('cancels', 60);
  assertAtLeast('starts', 200);
  // Writes stay within the limit of 25 a second, with bursts of 25, and are hardly ever refused.
  assertAtMost('writes', 100 * 25);
  assertAtMost('max writes in 10 s', 10 * 25 + 25);
  assertAtMost('writes refused by the rate limit', 20);
  // Cancellations do not queue behind other writes; starts wait until machines have been rented.
  assertAtMost('cancel p95 ms', 1500);
  assertAtMost('cancel max ms', 3000);
  assertAtMost('start p95 ms', 15_000);
  // The in-memory state is bounded by unfinished jobs, not by finished ones.
  assertAtMost('max jobs', 150);
  assertAtMost('max tail', 320);
  assertAtMost('jobs in memory at the end', 10);
});
