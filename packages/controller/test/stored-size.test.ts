/** A job's stored value: the job can be cancelled and compacted whatever it grows to. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, micros } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import { NO_USAGE } from '../src/accounts/model.js';
import { encodeJob, encodeJobWithin, encodeLogEntry } from '../src/jobs/codec.js';
import { activeJobKey, LOG_ENTRIES, logEntryKey } from '../src/jobs/keys.js';
import { acceptedJob, applyChange, type Job } from '../src/jobs/model.js';
import { canBeStored, fittingTasks, maxStoredBytes, startableTasks } from '../src/jobs/stored-size.js';
import { commit } from '../src/scheduler/commit.js';
import { runMaintenance } from '../src/scheduler/maintenance.js';
import type { Write } from '../src/state-store/client.js';
import { jsonBytes } from '../src/state-store/transaction-limits.js';
import { job } from './support/job.js';
import { faultFreeController, newJob, SETTINGS, storedJob } from './support/late-store.js';
import { RandomSource } from './support/random-source.js';
import { LONG_CLASS, machineName, startedOneByOne, startOf } from './support/started-jobs.js';

const { valueBytes } = SETTINGS.state;

/** Cancels job-1 of a controller whose store has these writes. Returns the response's status and what the store then has. */
const cancelStored = (writes: readonly Write[]) => {
  const setup = faultFreeController(writes);
  let status = 0;
  setup.go(Effect.map(setup.node.users.cancel('job-1'), (response) => (status = response.status)));
  return { ...setup, status, stored: setup.service.view().jobs.get('job-1')! };
};

// A large array that got its machines task by task, behind a burst of other jobs, could not be cancelled: every controller
// answered 503 while all its tasks went on.
test('an array that was placed piece by piece is cancelled, and its placements stay known', () => {
  const array = newJob('job-1', { spec: { ...job('job-1').spec, tasks: 3000, jobClass: 'deed-scan' } });
  const { status, stored } = cancelStored([storedJob(array), ...startedOneByOne('job-1', 682, 348)]);
  assert.equal(status, 200);
  assert.ok(stored.cancelled);
  assert.equal(stored.placed.size, 682);
  for (const { task, attempt, machine } of stored.placed.values())
    assert.deepEqual([attempt, machine], [task + 1, machineName(task % 348)]);
});

// A controller of an earlier version may have let a job outgrow its key.
test('a job that has outgrown its key is cancelled, and compacted once enough of its tasks have exited', () => {
  const array = newJob('job-1', { spec: { ...job('job-1').spec, tasks: 3000 } });
  const setup = cancelStored([storedJob(array), ...startedOneByOne('job-1', 1500, 1500)]);
  const { service, node, go, turn, status, stored } = setup;
  assert.equal(status, 200);
  assert.deepEqual([stored.cancelled, stored.placed.size], [true, 1500]);
  const value = service.keys.get(activeJobKey('job-1'))!.value;
  go(runMaintenance(turn));
  assert.equal(service.keys.get(activeJobKey('job-1'))!.value, value, 'the job is too large to be compacted');
  const exited = new Set(Array.from({ length: 1200 }, (_, task) => task));
  turn.registry.exits.set('job-1', { completed: new Set(), exited, failed: new Set() });
  const before = service.entries(LOG_ENTRIES).length;
  for (let i = 0; i < 4; i++) go(Effect.zipRight(commit(turn, []), runMaintenance(turn)));
  assert.equal(node.jobState.jobs.get('job-1')!.placed.size, 300);
  assert.ok(service.entries(LOG_ENTRIES).length < before);
  assert.equal(service.view().jobs.get('job-1')!.placed.size, 300);
});

test('a job whose accepted value leaves no room is cancelled', () => {
  const spec = { ...job('job-1').spec, types: ['x'.repeat(16_100)] };
  const length = jsonBytes(encodeJob(acceptedJob(spec), 0));
  const full = { ...spec, types: ['x'.repeat(16_100 + valueBytes - length)] };
  assert.equal(jsonBytes(encodeJob(acceptedJob(full), 0)), valueBytes);
  const { status, stored } = cancelStored([storedJob(newJob('job-1', { spec: full }))]);
  assert.deepEqual([status, stored.cancelled], [200, true]);
  assert.ok(!canBeStored(full, 1, 1, valueBytes), 'it is not accepted any more');
});

/** Starts and exits tasks of a job at random, within what fits into its value. Returns whether a start was cut short. */
const stepJob = (state: Job, sequence: number, random: RandomSource): boolean => {
  const placed = [...state.placed.keys()];
  const exits = placed.filter(() => random.chance(0.15));
  const completed = exits.filter(() => random.chance(0.7));
  const exited = exits.filter((task) => !completed.includes(task));
  applyChange(state, { completed, exited, failed: exited }, sequence, micros(1e12 + sequence));
  const wanted = random.int(state.spec.tasks);
  const count = startableTasks(state, 0, wanted, valueBytes);
  const waiting = Array.from({ length: state.spec.tasks }, (_, task) => task).filter(
    (task) => !state.completed.has(task) && !state.placed.has(task),
  );
  const on = new Map<string, number[]>();
  for (const task of random.chance(0.5) ? waiting.slice(0, wanted) : waiting.slice(0, count)) {
    const machine = `機械-${random.int(random.chance(0.5) ? 20 : 2000)}`;
    on.set(machine, [...(on.get(machine) ?? []), task]);
  }
  const fitting = fittingTasks(state, state.attempt + 1, on, valueBytes);
  if (fitting.size > 0)
    applyChange(state, { start: { attempt: state.attempt + 1, on: fitting } }, sequence + 1, micros(1e12));
  return count < wanted;
};

test('a job whose starts keep to the bound fits into its key whatever happens to its tasks', () => {
  let cutShort = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const random = new RandomSource(seed);
    const state = acceptedJob({ ...job('job-1').spec, jobClass: LONG_CLASS, tasks: 50 + random.int(3000) });
    for (let step = 1; step <= 25; step++) {
      if (stepJob(state, 2 * step, random)) cutShort++;
      const bound = maxStoredBytes(state);
      assert.ok(bound <= valueBytes, `seed ${seed}: the job may grow to ${bound} bytes`);
      // The state that the job has after any of its tasks exit, without further starts.
      const later: Job = {
        ...state,
        cancelled: true,
        cancelledFirst: true,
        completed: new Set(state.completed),
        placed: new Map(state.placed),
        failedOn: new Set(state.failedOn),
      };
      const gone = [...later.placed.keys()].filter(() => random.chance(0.5));
      applyChange(later, { completed: gone.filter((task) => task % 2 === 0) }, 1e9, 0 as Micros);
      applyChange(later, { exited: gone, failed: gone }, 1e9, 0 as Micros);
      for (const shown of [state, later]) {
        assert.ok(jsonBytes(encodeJob(shown, Number.MAX_SAFE_INTEGER, false)) <= bound);
        assert.ok(encodeJobWithin(shown, Number.MAX_SAFE_INTEGER, valueBytes) !== null);
      }
    }
  }
  assert.ok(cutShort > 50, `${cutShort} starts were cut short`);
});

test('starts of a job wait when its key can hold no more, and the log is compacted', () => {
  const array = newJob('job-1', { spec: { ...job('job-1').spec, tasks: 3000, jobClass: LONG_CLASS } });
  const { service, node, go, turn } = faultFreeController([storedJob(array)]);
  const { jobState } = node;
  for (let next = 0; next < 900; next += 30) {
    const tasksByMachine = new Map(
      Array.from({ length: 30 }, (_, i) => [machineName(next + i), [next + i]] as const),
    );
    const current = jobState.jobs.get('job-1')!;
    const start = { job: current, attempt: current.attempt + 1, tasksByMachine: new Map([...tasksByMachine].map(([machine, tasks]) => [machine, [...tasks]])) }; // prettier-ignore
    go(Effect.zipRight(commit(turn, [start]), runMaintenance(turn)), 2);
  }
  const { size } = jobState.jobs.get('job-1')!.placed;
  assert.ok(size > 400 && size < 700, `${size} tasks are placed`);
  assert.ok(service.entries(LOG_ENTRIES).length <= 5);
  assert.equal(service.view().jobs.get('job-1')!.placed.size, size);
});

// One log entry with large jobs made a transaction of more than 64 KiB, and no finished job was moved to its final key.
test('the log is compacted although its oldest entry names more large jobs than one transaction holds', () => {
  const ids = Array.from({ length: 7 }, (_, i) => `job-${i + 1}`);
  const jobs = ids.map((id) =>
    newJob(id, { spec: { ...job(id).spec, jobClass: LONG_CLASS, types: ['x'.repeat(13_000)] } }),
  );
  const entries = Array.from({ length: 6 }, (_, i): Write => ({
    set: logEntryKey(i + 1),
    value: encodeLogEntry(
      new Map(i === 0 ? ids.map((id) => [id, startOf(1, 'vm-000001', [0])]) : [['job-1', { exited: [2] }]]),
      { at: micros(1e12 + i), calendar: 0, usage: NO_USAGE },
    ),
  }));
  const { service, go, turn } = faultFreeController([...jobs.map(storedJob), ...entries]);
  for (let i = 0; i < 12; i++) go(runMaintenance(turn), 2);
  assert.ok(service.entries(LOG_ENTRIES).length <= 3);
  assert.equal(service.view().jobs.get('job-7')!.placed.size, 1);
});
