/** A snapshot put back into the stand-in of the state service, with answers lost and the command ended in between. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Exit } from 'effect';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { encodeFinalState, encodeJob } from '@lilacvalve/controller/jobs/codec';
import {
  activeJobKey,
  finalStateKey,
  INCARNATION,
  LEADER,
  REBUILD,
  TERM,
} from '@lilacvalve/controller/jobs/keys';
import {
  RESTORE_PROGRESS,
  restoreSnapshot,
  type RestoreResult,
} from '@lilacvalve/controller/snapshots/restore';
import { job } from '@lilacvalve/controller/support/job';
import { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Entry } from '@lilacvalve/snapshot/format';
import type { SnapshotContent } from '@lilacvalve/snapshot/read';
import { Links } from '../src/world/links.js';
import { StateService } from '../src/world/state-service/state-service.js';
import { Time } from '../src/world/time.js';

const content = (jobs: number): SnapshotContent => {
  const entries = new Map<string, Entry>();
  const put = (key: string, value: unknown): void =>
    void entries.set(key, { key, value: JSON.parse(JSON.stringify(value)), revision: entries.size + 1 });
  put(`${INCARNATION}old`, { g: 2, by: 'n0' });
  put(LEADER, { node: 'n0', term: 7, lease: 3 });
  put(TERM, { term: 7 });
  for (let i = 0; i < jobs; i++) {
    put(activeJobKey(`job-${i}`), encodeJob(job(`job-${i}`, { tasks: 3 }), 0));
    put(finalStateKey(`job-9${i}`), encodeFinalState({ status: 'done', tasks: 2 }));
  }
  return { incarnation: 'old', generation: 2, revision: entries.size, entries, files: [] };
};
const limits = { txnOps: 10, valueBytes: 16_384 };

const world = (seed: number): { time: Time; state: StateService } => {
  const time = new Time(seed);
  const luck = new RandomSource(seed);
  return { time, state: new StateService(time, luck, new Links(time, luck)) };
};
/** Plays it until it ends, or for so long. */
const play = (
  w: { time: Time; state: StateService },
  c: SnapshotContent,
  lasts: number,
): RestoreResult | null => {
  let result: RestoreResult | null = null;
  const fiber = w.time.fork(restoreSnapshot(c, w.state.port('restore'), limits, () => undefined));
  fiber.addObserver((e) => {
    if (Exit.isSuccess(e)) result = e.value;
  });
  w.time.run(w.time.now + lasts);
  if (result === null) fiber.unsafeInterruptAsFork(fiber.id());
  return result;
};
const isThere = (state: StateService, jobs: number): void => {
  const view = new JobState();
  view.load(
    [...state.keys].map(([key, v]) => ({ key, value: JSON.parse(v.value) as unknown, revision: v.revision })),
    state.revision,
  );
  assert.equal(view.jobs.size, jobs);
  assert.equal(view.finalStates.size, jobs);
  assert.equal(view.incarnation!.generation, 3, 'what was used after the snapshot is never used again');
  assert.equal(view.rebuild!.phase, 'gather');
  assert.equal(view.leader, null);
  assert.ok(view.term >= view.attemptFloor && !state.keys.has(RESTORE_PROGRESS));
};

test('all that a snapshot holds is put back, under a new incarnation that is to be rebuilt', () => {
  const w = world(1);
  assert.deepEqual(play(w, content(40), 60e6), { ok: true, written: 80, resumed: false });
  isThere(w.state, 40);
  const again = play(w, content(40), 60e6)!;
  assert.ok(!again.ok && again.reason.includes('not empty'), 'a store that has content is refused');
  assert.ok(w.state.keys.has(REBUILD));
});

test('ended at any point and begun again, with answers lost, it comes to the same end', () => {
  let resumed = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const w = world(seed);
    w.state.lossy = 0.1;
    const luck = new RandomSource(seed);
    for (let i = 0; i < 40; i++) {
      const r = play(w, content(25), luck.between(10_000, 900_000));
      if (r === null) continue;
      // Its last transaction was applied and its answer lost: what is there is whole, and is not written over.
      if (!r.ok) assert.match(r.reason, /not empty|somebody else/);
      else if (r.resumed) resumed++;
      break;
    }
    w.state.lossy = 0;
    w.time.run(w.time.now + 70e6);
    if (w.state.keys.has(RESTORE_PROGRESS)) assert.ok(play(w, content(25), 60e6)!.ok);
    isThere(w.state, 25);
  }
  assert.ok(resumed > 20, `${resumed} resumed`);
});

test('another snapshot does not go on where one was broken off', () => {
  const w = world(3);
  assert.equal(play(w, content(400), 200_000), null);
  const other = play(w, { ...content(400), revision: 9 }, 60e6)!;
  assert.ok(!other.ok && other.reason.includes('another snapshot'), JSON.stringify(other));
});
