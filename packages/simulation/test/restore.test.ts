/** Restores snapshots into the simulated state service, with lost responses and interruptions of the command. */
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
  put(LEADER, { controller: 'n0', term: 7, lease: 3 });
  put(TERM, { term: 7 });
  for (let i = 0; i < jobs; i++) {
    put(activeJobKey(`job-${i}`), encodeJob(job(`job-${i}`, { tasks: 3 }), 0));
    put(finalStateKey(`job-9${i}`), encodeFinalState({ status: 'done', tasks: 2 }));
  }
  return { incarnation: 'old', generation: 2, revision: entries.size, entries, files: [] };
};
const limits = { txnOps: 10, valueBytes: 16_384 };

const simulatedService = (seed: number): { time: Time; state: StateService } => {
  const time = new Time(seed);
  const random = new RandomSource(seed);
  return { time, state: new StateService(time, random, new Links(time, random)) };
};
/** Runs a restore until it ends; interrupts it after `duration` microseconds and returns null if it has not ended. */
const runRestore = (
  simulation: { time: Time; state: StateService },
  snapshot: SnapshotContent,
  duration: number,
): RestoreResult | null => {
  let result: RestoreResult | null = null;
  const fiber = simulation.time.fork(
    restoreSnapshot(snapshot, simulation.state.port('restore'), limits, () => undefined),
  );
  fiber.addObserver((exit) => {
    if (Exit.isSuccess(exit)) result = exit.value;
  });
  simulation.time.run(simulation.time.now + duration);
  if (result === null) fiber.unsafeInterruptAsFork(fiber.id());
  return result;
};
const assertRestored = (state: StateService, jobs: number): void => {
  const view = new JobState();
  view.load(
    [...state.keys].map(([key, stored]) => ({
      key,
      value: JSON.parse(stored.value) as unknown,
      revision: stored.revision,
    })),
    state.revision,
  );
  assert.equal(view.jobs.size, jobs);
  assert.equal(view.finalStates.size, jobs);
  assert.equal(view.incarnation!.generation, 3, 'generations used after the snapshot are not used again');
  assert.equal(view.rebuild!.phase, 'gather');
  assert.equal(view.leader, null);
  assert.ok(view.term >= view.attemptFloor && !state.keys.has(RESTORE_PROGRESS));
};

test('a restore writes all entries of a snapshot under a new incarnation with a pending rebuild', () => {
  const simulation = simulatedService(1);
  assert.deepEqual(runRestore(simulation, content(40), 60e6), { ok: true, written: 80, resumed: false });
  assertRestored(simulation.state, 40);
  const again = runRestore(simulation, content(40), 60e6)!;
  assert.ok(
    !again.ok && again.reason.includes('not empty'),
    'a restore into a store with content is rejected',
  );
  assert.ok(simulation.state.keys.has(REBUILD));
});

test('an interrupted restore can be resumed with the same result, even when responses are lost', () => {
  let resumed = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const simulation = simulatedService(seed);
    simulation.state.lossyFraction = 0.1;
    const random = new RandomSource(seed);
    for (let i = 0; i < 40; i++) {
      const result = runRestore(simulation, content(25), random.between(10_000, 900_000));
      if (result === null) continue;
      // The last transaction committed and its response was lost: the store is complete, and the restore refuses to run.
      if (!result.ok) assert.match(result.reason, /not empty|somebody else/);
      else if (result.resumed) resumed++;
      break;
    }
    simulation.state.lossyFraction = 0;
    simulation.time.run(simulation.time.now + 70e6);
    if (simulation.state.keys.has(RESTORE_PROGRESS)) assert.ok(runRestore(simulation, content(25), 60e6)!.ok);
    assertRestored(simulation.state, 25);
  }
  assert.ok(resumed > 20, `only ${resumed} of 60 restores were resumed`);
});

test('an interrupted restore cannot be resumed with another snapshot', () => {
  const simulation = simulatedService(3);
  assert.equal(runRestore(simulation, content(400), 200_000), null);
  const other = runRestore(simulation, { ...content(400), revision: 9 }, 60e6)!;
  assert.ok(!other.ok && other.reason.includes('another snapshot'), JSON.stringify(other));
});
