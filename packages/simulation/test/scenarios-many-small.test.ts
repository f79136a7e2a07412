/** One-task jobs, four a second, a quarter cancelled, within 25 puts and deletes a second for all controllers. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { faultsOf, playDay } from '../src/play.js';
import { SMALL } from '../src/world/deployment-size.js';

test('rules hold, and nobody waits long: many small jobs, a quarter cancelled', () => {
  const size = { size: SMALL, jobs: 4, room: false, troubledUs: 130e6, quietUs: 300e6 };
  const day = playDay({ name: 'many small jobs', ...size, troubles: { manySmallJobs: true } }, 1);
  assert.deepEqual(faultsOf(day), []);
  const of = (what: string): number => day.met[what] ?? Number.NaN;
  const most = (what: string, n: number): void => assert.ok(of(what) <= n, `${what}: ${of(what)}`);
  const least = (what: string, n: number): void => assert.ok(of(what) >= n, `${what}: ${of(what)}`);
  // It happened.
  least('small jobs', 390);
  least('cancels', 60);
  least('starts', 200);
  // Within the limits, and hardly ever refused by them: 25 a second, and a second's worth at once.
  most('writes', 100 * 25);
  most('max writes in 10 s', 10 * 25 + 25);
  most('writes refused by the rate limit', 20);
  // A cancellation is not behind the rest; a start waits for machines that are rented first.
  most('cancel p95 ms', 1500);
  most('cancel max ms', 3000);
  most('start p95 ms', 15_000);
  // Memory goes by what is under way, not by what has been.
  most('max jobs', 150);
  most('max tail', 320);
  most('jobs in memory at the end', 10);
});
