/**
 * Fault attribution in a seeded simulation of a cluster with faulty machines and broken jobs, which are retried as
 * the scheduler would retry them.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../src/jobs/model.js';
import { FaultAttribution } from '../src/workers/fault-attribution.js';
import { job } from './support/job.js';
import { RandomSource } from './support/random-source.js';

const ZERO = 0 as Micros;
const MACHINES = 12;
const DURATION = seconds(600);

interface SimulationResult {
  readonly attribution: FaultAttribution;
  readonly attempts: Map<string, number>;
  readonly completedAt: Map<string, Micros>;
  readonly quarantinedFaulty: Set<string>;
  readonly quarantinedSound: Set<string>;
}

/**
 * Runs one task of each job that may be retried on a random eligible machine, every two seconds. Machines found
 * faulty are quarantined.
 */
const simulate = (
  seed: number,
  faultyCount: number,
  brokenJobs: readonly Job[],
  soundJobs: readonly Job[],
): SimulationResult => {
  const random = new RandomSource(seed);
  const attribution = new FaultAttribution(ZERO);
  const result: SimulationResult = {
    attribution,
    attempts: new Map(),
    completedAt: new Map(),
    quarantinedFaulty: new Set(),
    quarantinedSound: new Set(),
  };
  for (let at = ZERO; at < DURATION; at = plus(at, 2e6)) {
    const quarantined = attribution.faultyMachines(at, (candidate) => attribution.isSuspect(candidate, 0));
    for (const machine of quarantined)
      (Number(machine.slice(1)) < faultyCount ? result.quarantinedFaulty : result.quarantinedSound).add(
        machine,
      );
    for (const candidate of [...brokenJobs, ...soundJobs]) {
      const { id } = candidate.spec;
      if (
        result.completedAt.has(id) ||
        (attribution.isSuspect(candidate, 0) && at < attribution.retryNotBefore(candidate))
      )
        continue;
      const eligibleMachines = Array.from({ length: MACHINES }, (_, index) => `m${index}`).filter(
        (machine) => !quarantined.has(machine) && !attribution.avoidedMachines(candidate)?.has(machine),
      );
      const machine = eligibleMachines[random.int(eligibleMachines.length)]!;
      result.attempts.set(id, (result.attempts.get(id) ?? 0) + 1);
      if (brokenJobs.includes(candidate) || Number(machine.slice(1)) < faultyCount)
        attribution.recordFailure(candidate, machine, 0, at);
      else {
        attribution.recordCompletion(candidate, machine);
        result.completedAt.set(id, at);
      }
    }
  }
  return result;
};
const jobs = (prefix: string, count: number): Job[] =>
  Array.from({ length: count }, (_, index) => job(`${prefix}-${index}`));

// Regression: the first attempts of two broken jobs quarantined a good machine forever.
test('with broken jobs and faulty machines, only faulty machines are quarantined and sound jobs complete', () => {
  let foundCount = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const soundJobs = jobs('good', 40);
    const result = simulate(seed, 3, jobs('broken', 4), soundJobs);
    for (const soundJob of soundJobs)
      assert.ok(
        result.completedAt.has(soundJob.spec.id),
        `seed ${seed}: ${soundJob.spec.id} never completed`,
      );
    assert.deepEqual([...result.quarantinedSound], [], `seed ${seed}: a sound machine was quarantined`);
    foundCount += result.quarantinedFaulty.size;
    for (let index = 0; index < 4; index++) {
      const attempts = result.attempts.get(`broken-${index}`)!;
      assert.ok(
        attempts >= 5 && attempts <= 12,
        `seed ${seed}: expected 5 to 12 attempts of a broken job, got ${attempts}`,
      );
    }
  }
  assert.ok(foundCount > 40, `faulty machines were quarantined ${foundCount} times of 120`);
});

test('a quarantine is lifted when the jobs that failed on the machine fail elsewhere too', () => {
  const attribution = new FaultAttribution(ZERO);
  const [first, second] = [job('job-1'), job('job-2')];
  const suspect = (candidate: Job): boolean => attribution.isSuspect(candidate, 0);
  for (const failedJob of [first, second]) attribution.recordFailure(failedJob, 'm', 0, ZERO);
  assert.deepEqual(
    [...attribution.faultyMachines(seconds(1), suspect)],
    [],
    'no quarantine before the evidence is old enough',
  );
  assert.deepEqual([...attribution.faultyMachines(seconds(4), suspect)], ['m']);
  attribution.recordFailure(first, 'n', 0, seconds(5));
  assert.deepEqual([...attribution.faultyMachines(seconds(9), suspect)], []);
});

test('a new leader knows suspect jobs from the committed state and does not retry them immediately', () => {
  const suspectJob = job('job-1', { shape: 'gang' });
  suspectJob.failedOn.add('m1').add('m2');
  const attribution = new FaultAttribution(seconds(100));
  assert.equal(attribution.isSuspect(suspectJob, 0), true);
  assert.ok(attribution.retryNotBefore(suspectJob) > seconds(110));
  // A task that keeps running for long enough shows that the job is not broken.
  assert.equal(attribution.isSuspect(suspectJob, seconds(30)), false);
  suspectJob.completed.add(0);
  assert.equal(attribution.isSuspect(suspectJob, 0), false);
});

// No job may wait for 90 s while there are free resources for it, and a suspect job may be sound.
test('a suspect job is retried within 75 s', () => {
  const attribution = new FaultAttribution(ZERO);
  const gang = job('job-2', { shape: 'gang' });
  attribution.recordFailure(gang, 'm', 0, ZERO);
  for (let at = seconds(100), attempt = 0; attempt < 12; attempt++) {
    attribution.recordFailure(gang, `n${attempt}`, 0, at);
    assert.ok(attribution.retryNotBefore(gang) <= plus(at, seconds(75)), `attempt ${attempt}`);
    at = plus(attribution.retryNotBefore(gang), 1);
  }
});
