/** Blame: a seeded fleet with faulty machines and jobs submitted with a mistake, tried as the scheduler would. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../src/jobs/model.js';
import { FaultAttribution } from '../src/workers/fault-attribution.js';
import { job } from './support/job.js';
import { Luck } from './support/random-source.js';

const ZERO = 0 as Micros;
const MACHINES = 12;
const DAY = seconds(600);

interface Day {
  readonly blame: FaultAttribution;
  readonly tries: Map<string, number>;
  readonly doneAt: Map<string, Micros>;
  readonly blamed: Set<string>;
  readonly wrongly: Set<string>;
}

/** Every two seconds each job that may be tried runs one task somewhere; faulty machines are closed as blamed. */
const play = (seed: number, faulty: number, broken: readonly Job[], good: readonly Job[]): Day => {
  const luck = new Luck(seed);
  const blame = new FaultAttribution(ZERO);
  const day: Day = { blame, tries: new Map(), doneAt: new Map(), blamed: new Set(), wrongly: new Set() };
  for (let at = ZERO; at < DAY; at = plus(at, 2e6)) {
    const closed = blame.faultyMachines(at, (j) => blame.isSuspect(j, 0));
    for (const m of closed) (Number(m.slice(1)) < faulty ? day.blamed : day.wrongly).add(m);
    for (const j of [...broken, ...good]) {
      const { id } = j.spec;
      if (day.doneAt.has(id) || (blame.isSuspect(j, 0) && at < blame.retryNotBefore(j))) continue;
      const open = Array.from({ length: MACHINES }, (_, i) => `m${i}`).filter(
        (m) => !closed.has(m) && !blame.avoidedMachines(j)?.has(m),
      );
      const m = open[luck.int(open.length)]!;
      day.tries.set(id, (day.tries.get(id) ?? 0) + 1);
      if (broken.includes(j) || Number(m.slice(1)) < faulty) blame.recordFailure(j, m, 0, at);
      else {
        blame.recordCompletion(j, m);
        day.doneAt.set(id, at);
      }
    }
  }
  return day;
};
const jobs = (name: string, n: number): Job[] => Array.from({ length: n }, (_, i) => job(`${name}-${i}`));

// Two broken jobs' first tries once closed a good machine for ever.
test('broken jobs and faulty machines together: each is found, none by mistake for long, good jobs get done', () => {
  let found = 0;
  for (let seed = 1; seed <= 40; seed++) {
    const good = jobs('good', 40);
    const day = play(seed, 3, jobs('broken', 4), good);
    for (const j of good) assert.ok(day.doneAt.has(j.spec.id), `seed ${seed}: ${j.spec.id} never done`);
    assert.deepEqual([...day.wrongly], [], `seed ${seed}: a good machine was blamed`);
    found += day.blamed.size;
    for (let i = 0; i < 4; i++) {
      const n = day.tries.get(`broken-${i}`)!;
      assert.ok(n >= 5 && n <= 12, `seed ${seed}: tried ${n} times in ten minutes`);
    }
  }
  assert.ok(found > 40, `faulty machines blamed ${found} times of 120`);
});

test('blame is taken back when the jobs it rests on fail elsewhere too', () => {
  const blame = new FaultAttribution(ZERO);
  const [a, b] = [job('job-1'), job('job-2')];
  const suspect = (j: Job): boolean => blame.isSuspect(j, 0);
  for (const j of [a, b]) blame.recordFailure(j, 'm', 0, ZERO);
  assert.deepEqual([...blame.faultyMachines(seconds(1), suspect)], [], 'not before the evidence has settled');
  assert.deepEqual([...blame.faultyMachines(seconds(4), suspect)], ['m']);
  blame.recordFailure(a, 'n', 0, seconds(5));
  assert.deepEqual([...blame.faultyMachines(seconds(9), suspect)], []);
});

test('a new leader knows from the records what looks broken, and does not begin with trying it', () => {
  const known = job('job-1', { shape: 'gang' });
  known.failedOn.add('m1').add('m2');
  const blame = new FaultAttribution(seconds(100));
  assert.equal(blame.isSuspect(known, 0), true);
  assert.ok(blame.retryNotBefore(known) > seconds(110));
  // A task that runs on and on is no failure.
  assert.equal(blame.isSuspect(known, seconds(30)), false);
  known.done.add(0);
  assert.equal(blame.isSuspect(known, 0), false);
});

// No job is left waiting for 90 s beside room that it could use: one that looks broken may be sound.
test('a job that looks broken is tried again within 75 s', () => {
  const blame = new FaultAttribution(ZERO);
  const gang = job('job-2', { shape: 'gang' });
  blame.recordFailure(gang, 'm', 0, ZERO);
  for (let at = seconds(100), tries = 0; tries < 12; tries++) {
    blame.recordFailure(gang, `n${tries}`, 0, at);
    assert.ok(blame.retryNotBefore(gang) <= plus(at, seconds(75)), `try ${tries}`);
    at = plus(blame.retryNotBefore(gang), 1);
  }
});
