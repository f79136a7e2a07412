/** A controller's view of the store: all controllers must derive the same state of a job from the same keys. */
import assert from 'node:assert/strict';
import type { Micros } from '@lilacvalve/runtime/micros';
import { test } from 'node:test';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob, encodeLogEntry } from '../src/jobs/codec.js';
import { activeJobKey, INCARNATION, logEntryKey, TERM } from '../src/jobs/keys.js';
import { finalState, NO_HEADER } from '../src/jobs/model.js';
import { job } from './support/job.js';
import { RandomSource } from './support/random-source.js';

const stored = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

// Users get the status `done` from the log entry that completes a job. A cancellation committed after it, by a controller
// that had not read the entry yet, must not turn the status into `cancelled`; one committed before it must hold.
test('of a completion and a cancellation, the one committed first decides, whatever the order of reading', () => {
  const started = job('job-1');
  started.attempt = 1;
  started.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  const completion = (revision: number) => ({
    key: logEntryKey(1),
    value: stored(encodeLogEntry(new Map([['job-1', { completed: [0] }]]), NO_HEADER)),
    revision,
  });
  const cancellation = (revision: number) => ({
    key: activeJobKey('job-1'),
    value: stored(encodeJob({ ...started, cancelled: true }, 0)),
    revision,
  });
  for (const [first, expected] of [
    ['completion', 'done'],
    ['cancellation', 'cancelled'],
  ] as const) {
    const changes =
      first === 'completion' ? [completion(5), cancellation(6)] : [cancellation(5), completion(6)];
    const watched = new JobState();
    watched.apply({ key: activeJobKey('job-1'), value: stored(encodeJob(started, 0)), revision: 4 });
    for (const change of changes) watched.apply(change);
    const listed = new JobState();
    listed.load(changes, 6);
    // A leader applies its own log entry before the watch returns the changes committed earlier.
    const reversed = new JobState();
    reversed.apply({ key: activeJobKey('job-1'), value: stored(encodeJob(started, 0)), revision: 4 });
    for (const change of [...changes].reverse()) reversed.apply(change);
    for (const jobState of [watched, listed, reversed])
      assert.equal(finalState(jobState.jobs.get('job-1')!)?.status, expected);
  }
});

test('a damaged or missing log entry is reported as missing, unless it is older than the incarnation', () => {
  const intact = (sequence: number) => ({
    key: logEntryKey(sequence),
    value: stored(encodeLogEntry(new Map([['job-1', { exited: [0] }]]), NO_HEADER)),
    revision: 10 + sequence,
  });
  const damaged = (sequence: number, value: unknown) => ({ ...intact(sequence), value });
  const incarnation = (revision: number) => ({ key: `${INCARNATION}x`, value: { g: 0 }, revision });
  const missingKey = (...entries: { key: string; value: unknown; revision: number }[]): string | null => {
    const jobState = new JobState();
    jobState.load(entries, 50);
    return jobState.missingEntryKey();
  };
  assert.equal(missingKey(incarnation(1), intact(4), intact(5), intact(6)), null);
  for (const value of [{ c: 7 }, { 'job-1': { d: 3 } }, { 'job-1': { a: 'x', p: {} } }, { 'job-1': null }])
    assert.equal(
      missingKey(incarnation(1), intact(4), damaged(5, value)),
      logEntryKey(5),
      JSON.stringify(value),
    );
  assert.equal(missingKey(incarnation(1), intact(4), intact(6)), logEntryKey(5));
  assert.equal(missingKey(incarnation(1), { key: TERM, value: { c: 7 }, revision: 3 }), TERM);
  assert.equal(missingKey(incarnation(15), intact(4), damaged(5, { c: 7 }), intact(6), intact(7)), null);
});

// Followers keep no placement index. One that is built on first access must equal one that was updated with every change.
test('a placement index built on first access equals one that was updated with every change', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const random = new RandomSource(seed);
    const updated = new JobState();
    const rebuilt = new JobState();
    assert.equal(updated.placementsByMachine.size, 0);
    const ids = Array.from({ length: 6 }, (_, i) => `job-${i}`);
    const runningTasks = new Map<string, Set<number>>(ids.map((id) => [id, new Set()]));
    let revision = 0;
    const apply = (key: string, value: unknown): void => {
      for (const jobState of [updated, rebuilt])
        jobState.apply({ key, value: value && stored(value), revision });
    };
    for (let step = 0; step < 120; step++) {
      revision++;
      const id = ids[random.int(ids.length)]!;
      const known = updated.jobs.get(id);
      const tasks = runningTasks.get(id)!;
      if (known === undefined) {
        tasks.clear();
        apply(activeJobKey(id), encodeJob(job(id, { tasks: 8 }), updated.lastSequence));
      } else if (random.chance(0.1)) apply(activeJobKey(id), encodeJob(known, updated.lastSequence));
      else if (random.chance(0.05)) apply(activeJobKey(id), undefined);
      else {
        const exited = [...tasks].filter(() => random.chance(0.4));
        const started = Array.from({ length: 8 }, (_, i) => i).filter(
          (i) => !tasks.has(i) && random.chance(0.3),
        );
        for (const task of exited) tasks.delete(task);
        for (const task of started) tasks.add(task);
        const start = {
          attempt: step + 1,
          on: new Map(started.map((task) => [`m${random.int(4)}`, [task]])),
        };
        apply(
          logEntryKey(updated.lastSequence + 1),
          encodeLogEntry(new Map([[id, { exited, start }]]), NO_HEADER),
        );
      }
      if (random.chance(0.1)) rebuilt.dropPlacementIndex();
      const indexOf = (jobState: JobState): string[] =>
        [...jobState.placementsByMachine]
          .flatMap(([machine, placements]) =>
            [...placements].map(
              ([key, placement]) => `${machine} ${key} ${placement.attempt} ${placement.job.spec.id}`,
            ),
          )
          .sort();
      if (random.chance(0.2))
        assert.deepEqual(indexOf(rebuilt), indexOf(updated), `seed ${seed}, step ${step}`);
      const placed = [...updated.jobs.values()].reduce((count, each) => count + each.placed.size, 0);
      assert.equal(indexOf(updated).length, placed);
    }
  }
});
