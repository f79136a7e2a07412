/** The watch-fed cache: every node must read the same end of a job from the same keys. */
import assert from 'node:assert/strict';
import type { Micros } from '@lilacvalve/runtime/micros';
import { test } from 'node:test';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob, encodeLogEntry } from '../src/jobs/codec.js';
import { activeJobKey, INCARNATION, logEntryKey, TERM } from '../src/jobs/keys.js';
import { finalState, NO_HEADER } from '../src/jobs/model.js';
import { job } from './support/job.js';
import { Luck } from './support/random-source.js';

const wire = (v: unknown): unknown => JSON.parse(JSON.stringify(v));

// Users are told `done` from the record that completes a job: a withdrawal committed after it, by a node that
// had not read it yet, must not turn that into `cancelled`, and one committed before it must hold.
test('of a completing record and a withdrawal, the first committed decides, in whatever order they are read', () => {
  const started = job('job-1');
  started.attempt = 1;
  started.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  const record = (stamp: number) => ({
    key: logEntryKey(1),
    value: wire(encodeLogEntry(new Map([['job-1', { done: [0] }]]), NO_HEADER)),
    stamp,
  });
  const withdrawn = (stamp: number) => ({
    key: activeJobKey('job-1'),
    value: wire(encodeJob({ ...started, cancelled: true }, 0)),
    stamp,
  });
  for (const [first, expected] of [
    ['record', 'done'],
    ['withdrawal', 'cancelled'],
  ] as const) {
    const changes = first === 'record' ? [record(5), withdrawn(6)] : [withdrawn(5), record(6)];
    const watched = new JobState();
    watched.apply({ key: activeJobKey('job-1'), value: wire(encodeJob(started, 0)), stamp: 4 });
    for (const c of changes) watched.apply(c);
    const listed = new JobState();
    listed.load(changes, 6);
    // The leader knows its own record before the watch brings what came earlier.
    const ahead = new JobState();
    ahead.apply({ key: activeJobKey('job-1'), value: wire(encodeJob(started, 0)), stamp: 4 });
    for (const c of [...changes].reverse()) ahead.apply(c);
    for (const jobState of [watched, listed, ahead])
      assert.equal(finalState(jobState.jobs.get('job-1')!)?.status, expected);
  }
});

test('a record that is damaged or missing is a hole in the view, until a rebuild has made it good', () => {
  const whole = (seq: number) => ({
    key: logEntryKey(seq),
    value: wire(encodeLogEntry(new Map([['job-1', { gone: [0] }]]), NO_HEADER)),
    stamp: 10 + seq,
  });
  const damaged = (seq: number, value: unknown) => ({ ...whole(seq), value });
  const born = (stamp: number) => ({ key: `${INCARNATION}x`, value: { g: 0 }, stamp });
  const holeOf = (...changes: { key: string; value: unknown; stamp: number }[]): string | null => {
    const c = new JobState();
    c.load(changes, 50);
    return c.missingRecord();
  };
  assert.equal(holeOf(born(1), whole(4), whole(5), whole(6)), null);
  for (const value of [{ c: 7 }, { 'job-1': { d: 3 } }, { 'job-1': { a: 'x', p: {} } }, { 'job-1': null }])
    assert.equal(holeOf(born(1), whole(4), damaged(5, value)), logEntryKey(5), JSON.stringify(value));
  assert.equal(holeOf(born(1), whole(4), whole(6)), logEntryKey(5));
  assert.equal(holeOf(born(1), { key: TERM, value: { c: 7 }, stamp: 3 }), TERM);
  assert.equal(holeOf(born(15), whole(4), damaged(5, { c: 7 }), whole(6), whole(7)), null);
});

// Followers keep no index by machine: one made when it is asked for must be the one that was kept up all along.
test('what runs where is the same whether it was kept up with every change or made when first asked for', () => {
  for (let seed = 1; seed <= 40; seed++) {
    const luck = new Luck(seed);
    const kept = new JobState();
    const late = new JobState();
    assert.equal(kept.placementsByMachine.size, 0);
    const ids = Array.from({ length: 6 }, (_, i) => `job-${i}`);
    const on = new Map<string, Set<number>>(ids.map((id) => [id, new Set()]));
    let stamp = 0;
    const apply = (key: string, value: unknown): void => {
      for (const c of [kept, late]) c.apply({ key, value: value && wire(value), stamp });
    };
    for (let step = 0; step < 120; step++) {
      stamp++;
      const id = ids[luck.int(ids.length)]!;
      const known = kept.jobs.get(id);
      const tasks = on.get(id)!;
      if (known === undefined) {
        tasks.clear();
        apply(activeJobKey(id), encodeJob(job(id, { tasks: 8 }), kept.lastSequence));
      } else if (luck.chance(0.1)) apply(activeJobKey(id), encodeJob(known, kept.lastSequence));
      else if (luck.chance(0.05)) apply(activeJobKey(id), undefined);
      else {
        const gone = [...tasks].filter(() => luck.chance(0.4));
        const free = Array.from({ length: 8 }, (_, i) => i).filter((i) => !tasks.has(i) && luck.chance(0.3));
        for (const t of gone) tasks.delete(t);
        for (const t of free) tasks.add(t);
        const start = { attempt: step + 1, on: new Map(free.map((t) => [`m${luck.int(4)}`, [t]])) };
        apply(
          logEntryKey(kept.lastSequence + 1),
          encodeLogEntry(new Map([[id, { gone, start }]]), NO_HEADER),
        );
      }
      if (luck.chance(0.1)) late.dropPlacementIndex();
      const all = (c: JobState): string[] =>
        [...c.placementsByMachine]
          .flatMap(([m, tasks]) => [...tasks].map(([key, p]) => `${m} ${key} ${p.attempt} ${p.job.spec.id}`))
          .sort();
      if (luck.chance(0.2)) assert.deepEqual(all(late), all(kept), `seed ${seed}, step ${step}`);
      const placed = [...kept.jobs.values()].reduce((n, j) => n + j.placed.size, 0);
      assert.equal(all(kept).length, placed);
    }
  }
});
