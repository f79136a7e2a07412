/** Tests of a rebuild: merging what several controllers remember, comparing views, and planning what must be written. */
import assert from 'node:assert/strict';
import type { Micros } from '@lilacvalve/runtime/micros';
import { test } from 'node:test';
import fc from 'fast-check';
import { JobState } from '../src/jobs/job-state.js';
import { encodeFinalState, encodeJob, encodeFinalStates, encodeBundle } from '../src/jobs/codec.js';
import { FinalStates } from '../src/jobs/final-states.js';
import { activeJobKey, finalStateKey, FINAL_STATE_PAGES, JOB_BUNDLES } from '../src/jobs/keys.js';
import { type FinalState, isComplete, type Job } from '../src/jobs/model.js';
import {
  decodeViewRequest,
  decodeViewResponse,
  encodeViewRequest,
  encodeViewResponse,
} from '../src/recovery/codec.js';
import { digestOf, RANGES } from '../src/recovery/digest.js';
import { respondToViewRequest } from '../src/recovery/view-exchange.js';
import { type JobVersion, contentOf, mergeVersions, mergeFinals } from '../src/recovery/merge.js';
import { planRebuild, type RecoveredStore } from '../src/recovery/rebuild-plan.js';
import { versionsByJob, PreLossViews } from '../src/recovery/pre-loss-views.js';
import {
  decodeJobEvidence,
  encodeJobEvidence,
  type JobEvidence,
  EvidenceStore,
} from '../src/recovery/evidence-store.js';
import { Effect } from 'effect';
import { job } from './support/job.js';

const asStored = (value: unknown): unknown => JSON.parse(JSON.stringify(value));
const TASKS = 5;

/** A random history of one job: the states that successive views of the same incarnation have of it. */
const history = fc
  .array(
    fc.record({
      event: fc.constantFrom('start', 'complete', 'fail', 'cancel', 'none'),
      task: fc.nat(TASKS - 1),
      machine: fc.constantFrom('m1', 'm2', 'm3'),
    }),
    { maxLength: 14 },
  )
  .map((steps): Job[] => {
    const states: Job[] = [];
    let current = job('job-1', { tasks: TASKS });
    for (const step of steps) {
      const next: Job = {
        ...current,
        completed: new Set(current.completed),
        placed: new Map(current.placed),
        failedOn: new Set(current.failedOn),
        loans: new Map(current.loans),
        preemptedForServices: current.preemptedForServices,
      };
      const finished = current.cancelled || isComplete(current);
      if (
        step.event === 'start' &&
        !finished &&
        !current.completed.has(step.task) &&
        !current.placed.has(step.task)
      ) {
        next.attempt = current.attempt + 1;
        next.placed.set(step.task, {
          task: step.task,
          attempt: next.attempt,
          machine: step.machine,
          since: 0 as Micros,
        });
      } else if (step.event === 'complete' && next.placed.delete(step.task)) next.completed.add(step.task);
      else if (step.event === 'fail' && next.placed.delete(step.task)) next.failedOn.add(step.machine);
      else if (step.event === 'cancel' && !isComplete(current)) next.cancelled = true;
      states.push((current = next));
    }
    return states.length > 0 ? states : [current];
  });
/** Versions of one job, picked from a history in any order and with repetitions. */
const versions = history.chain((states) =>
  fc
    .array(fc.nat(states.length - 1), { minLength: 1, maxLength: 5 })
    .map((picks): JobVersion[] =>
      picks.map((index) => ({ generation: 0, revision: index, job: states[index]! })),
    ),
);

test('the merge of versions does not depend on their order or on repetitions', () => {
  fc.assert(
    fc.property(versions, fc.infiniteStream(fc.nat()), (list, order) => {
      const result = contentOf(mergeVersions(list));
      const shuffled = list
        .map((version) => [order.next().value as number, version] as const)
        .sort((a, b) => a[0] - b[0])
        .map(([, version]) => version);
      assert.equal(contentOf(mergeVersions(shuffled)), result);
      assert.equal(contentOf(mergeVersions([...list, ...shuffled])), result);
    }),
    { seed: 19, numRuns: 400 },
  );
});

test('versions from one history merge to the latest: nothing confirmed is lost and no ended placement returns', () => {
  fc.assert(
    fc.property(versions, (list) => {
      const merged = mergeVersions(list);
      const latest = list.reduce((a, b) => (b.revision > a.revision ? b : a)).job;
      assert.equal(contentOf(merged), contentOf(latest));
    }),
    { seed: 20, numRuns: 400 },
  );
});

// A store that was reset to an older state may be used for a moment before the loss is detected. Tasks started in that time
// count as running.
test('a start of a higher attempt than in the latest view counts as running, one that the latest view saw exit does not', () => {
  const latest = job('job-1', { tasks: 3 });
  latest.attempt = 4;
  latest.completed.add(0);
  const older = job('job-1', { tasks: 3 });
  older.attempt = 5;
  older.placed.set(0, { task: 0, attempt: 3, machine: 'm1', since: 0 as Micros });
  older.placed.set(1, { task: 1, attempt: 4, machine: 'm1', since: 0 as Micros });
  older.placed.set(2, { task: 2, attempt: 5, machine: 'm2', since: 0 as Micros });
  const merged = mergeVersions([
    { generation: 0, revision: 90, job: latest },
    { generation: 0, revision: -1, job: older },
  ]);
  assert.deepEqual([...merged.placed.keys()], [2]);
  assert.equal(merged.attempt, 5);
  assert.deepEqual([...merged.completed], [0]);
});

test('a merge keeps a completion, and keeps a cancellation unless the job was completed', () => {
  const active = job('job-1', { tasks: 1 });
  const cancelledJob = { ...job('job-1', { tasks: 1 }), cancelled: true };
  const completed = job('job-1', { tasks: 1 });
  completed.completed.add(0);
  const version = (state: Job, revision: number): JobVersion => ({ generation: 0, revision, job: state });
  assert.equal(mergeVersions([version(cancelledJob, 1), version(active, 2)]).cancelled, true);
  const both = mergeVersions([version(completed, 1), version(cancelledJob, 2)]);
  assert.ok(isComplete(both) && !both.cancelled);
  const done: FinalState = { status: 'done', tasks: 1 };
  const cancelled: FinalState = { status: 'cancelled', tasks: 1 };
  assert.deepEqual(mergeFinals(cancelled, done), done);
  assert.deepEqual(mergeFinals(done, cancelled), done);
});

const storeWith = (overrides: Partial<RecoveredStore> = {}): RecoveredStore => ({
  jobs: new Map(),
  damaged: () => undefined,
  hasFinal: () => false,
  generation: -1,
  revision: -1,
  ...overrides,
});
/** One version of each job, by the job's id. */
const versionMap = (...jobs: Job[]): Map<string, JobVersion[]> =>
  new Map(jobs.map((state) => [state.spec.id, [{ generation: 0, revision: 10, job: state }]]));

test('the plan writes missing and differing jobs, closes finished jobs, and does not touch equal jobs', () => {
  const equal = job('job-1');
  const changed = job('job-2', { tasks: 2 });
  changed.completed.add(1);
  const missing = job('job-3', { urgency: 1 });
  const urgent = job('job-4', { urgency: 3 });
  const cancelled = { ...job('job-5'), cancelled: true };
  cancelled.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  const damaged = job('job-6');
  const finished = job('job-7');
  finished.completed.add(0);
  const store = storeWith({
    jobs: new Map(
      ['job-1', 'job-2', 'job-8'].map((id, index) => [
        id,
        { ...job(id, { tasks: id === 'job-2' ? 2 : 1 }), revision: 5 + index },
      ]),
    ),
    damaged: (id) => (id === 'job-6' ? 9 : undefined),
    hasFinal: (id) => id === 'job-9',
  });
  const finals = new Map<string, FinalState>([
    ['job-8', { status: 'done', tasks: 1 }],
    ['job-9', { status: 'done', tasks: 1 }],
    ['job-10', { status: 'cancelled', tasks: 3 }],
  ]);
  const plan = planRebuild(
    store,
    versionMap(equal, changed, missing, urgent, cancelled, damaged, finished, job('job-9')),
    finals,
    77,
  );
  assert.deepEqual(
    plan.missing.map((planned) => [planned.spec.id, planned.compactedTo]),
    [
      ['job-5', 77],
      ['job-4', 77],
      ['job-3', 77],
    ],
    'cancelled jobs first, then by urgency',
  );
  assert.deepEqual(
    plan.differing.map((planned) => [planned.job.spec.id, planned.revision]),
    [
      ['job-2', 6],
      ['job-6', 9],
    ],
  );
  assert.deepEqual(
    plan.close.map((planned) => [planned.id, planned.revision]),
    [['job-8', 7]],
  );
  assert.deepEqual(
    plan.finals.map(([id]) => id),
    ['job-10', 'job-7'],
  );
  // Once the plan has been written, a second pass has nothing to write.
  const after = storeWith({
    jobs: new Map(
      [equal, changed, missing, urgent, cancelled, damaged].map((state) => [state.spec.id, state]),
    ),
    hasFinal: (id) => ['job-7', 'job-8', 'job-9', 'job-10'].includes(id),
  });
  const secondPlan = planRebuild(
    after,
    versionMap(equal, changed, missing, urgent, cancelled, damaged, finished),
    finals,
    77,
  );
  assert.deepEqual(
    [secondPlan.missing, secondPlan.differing, secondPlan.close, secondPlan.finals],
    [[], [], [], []],
  );
});

test('a view response contains only ranges that differ and is limited in size', () => {
  const leaderState = new JobState();
  const peerState = new JobState();
  for (let i = 0; i < 3000; i++) {
    const shared = job(`job-${i}`);
    for (const jobState of [leaderState, peerState])
      jobState.apply({
        key: activeJobKey(`job-${i}`),
        value: asStored(encodeJob(shared, 0)),
        revision: i + 1,
      });
  }
  const extra = job('job-77777', { tasks: 2 });
  peerState.apply({ key: activeJobKey('job-77777'), value: asStored(encodeJob(extra, 0)), revision: 4000 });
  peerState.apply({
    key: finalStateKey('job-88888'),
    value: encodeFinalState({ status: 'done', tasks: 4 }),
    revision: 4001,
  });
  const peerViews = new PreLossViews('n1');
  peerViews.add(peerViews.captureView(peerState, 0, null));
  const leaderViews = new PreLossViews('n0');
  leaderViews.add(leaderViews.captureView(leaderState, 0, null));
  const noEvidence = new EvidenceStore({ request: () => Effect.succeed(Buffer.alloc(0)) }, () => []);
  const merged = [...versionsByJob(leaderViews.all).values()].map((list) => mergeVersions(list));
  const request = decodeViewRequest(
    encodeViewRequest({ incarnation: 'x', digest: digestOf(merged, []), from: 0 }),
  )!;
  const response = decodeViewResponse(
    encodeViewResponse(respondToViewRequest(request, peerViews.all, peerState, noEvidence)),
  )!;
  assert.equal(response.next, null);
  assert.ok(response.versions.length < 60, `${response.versions.length} of 3001 versions were sent`);
  assert.ok(response.versions.some((version) => version.job.spec.id === 'job-77777'));
  assert.deepEqual(response.finals, [['job-88888', { status: 'done', tasks: 4 }]]);
  // If all ranges differ, everything is sent, in several responses of limited size.
  const received = new Set<string>();
  let responses = 0;
  for (let from: number | null = 0; from !== null; responses++) {
    const next: ReturnType<typeof respondToViewRequest> = respondToViewRequest(
      { incarnation: 'x', digest: new Uint32Array(RANGES * 2), from },
      peerViews.all,
      peerState,
      noEvidence,
    );
    assert.ok(next.versions.length < 1000);
    for (const version of next.versions) received.add(version.job.spec.id);
    from = next.next;
  }
  assert.equal(received.size, 3001);
  assert.ok(responses > 3);
  assert.equal(decodeViewRequest(Buffer.from('x')), null);
  assert.equal(decodeViewResponse(Buffer.from('x')), null);
});

test('a bundle lists a job until the job has a key of its own or is finished, in whatever order the keys are read', () => {
  const bundle = encodeBundle([job('job-1', { tasks: 3 }), job('job-2')]);
  const updated = { ...job('job-1', { tasks: 3 }), attempt: 8 };
  const changes = [
    { key: `${JOB_BUNDLES}1`, value: asStored(bundle), revision: 10 },
    { key: activeJobKey('job-1'), value: asStored(encodeJob(updated, 0)), revision: 20 },
  ];
  const watched = new JobState();
  for (const change of changes) watched.apply(change);
  const listed = new JobState();
  listed.load([...changes].reverse(), 20);
  for (const jobState of [watched, listed]) {
    assert.equal(jobState.jobs.get('job-1')!.attempt, 8);
    assert.equal(jobState.jobs.get('job-2')!.revision, 0);
    const removal = jobState.removalFromBundles(['job-2']);
    assert.deepEqual(removal.when, [{ key: `${JOB_BUNDLES}1`, revision: 10 }]);
    assert.deepEqual(
      removal.then,
      [{ delete: `${JOB_BUNDLES}1` }],
      'job-1 has a key of its own, so the bundle would be empty',
    );
    jobState.apply({ key: `${JOB_BUNDLES}1`, value: undefined, revision: 30 });
    assert.ok(!jobState.jobs.has('job-2'), 'a job that is removed from its bundle has finished');
    assert.ok(jobState.jobs.has('job-1'));
    assert.equal(jobState.bundleByJob.size, 0);
  }
});

test('the cache of final states drops the oldest at its limit, and a page in the store adds all its final states', () => {
  const finals = new FinalStates(3);
  finals.complete = true;
  for (let i = 1; i <= 4; i++)
    finals.remember(`job-${i}`, { status: i % 2 ? 'done' : 'cancelled', tasks: i });
  assert.equal(finals.has('job-1'), false);
  assert.deepEqual(finals.get('job-4'), { status: 'cancelled', tasks: 4 });
  assert.equal(
    finals.complete,
    false,
    'one was dropped, so a job that is not in the cache may have a final state in the store',
  );
  const jobState = new JobState();
  const page = encodeFinalStates([['job-5', { status: 'done', tasks: 100_000 }]]);
  jobState.apply({ key: `${FINAL_STATE_PAGES}1/job-5~`, value: asStored(page), revision: 1 });
  assert.deepEqual(jobState.finalStates.get('job-5'), { status: 'done', tasks: 100_000 });
});

test('a peer keeps evidence of what a user was told until its own view includes the change', () => {
  const evidenceStore = new EvidenceStore({ request: () => Effect.succeed(Buffer.alloc(0)) }, () => []);
  const accepted = {
    id: 'job-1',
    revision: 40,
    generation: 0,
    incarnation: 'one',
    value: { stored: asStored(encodeJob(job('job-1'), 0)) },
  };
  const done = {
    id: 'job-2',
    revision: 41,
    generation: 0,
    incarnation: 'one',
    value: { final: { status: 'done', tasks: 2 } as FinalState },
  };
  for (const evidence of [accepted, done]) {
    assert.deepEqual(decodeJobEvidence(encodeJobEvidence(evidence)), evidence);
    evidenceStore.record(decodeJobEvidence(encodeJobEvidence(evidence))!);
  }
  assert.equal(decodeJobEvidence(encodeJobEvidence({ ...accepted, value: { stored: 'nonsense' } })), null);
  assert.equal(evidenceStore.versions()[0]!.job.spec.id, 'job-1');
  evidenceStore.dropCovered('two', 100);
  assert.equal(evidenceStore.size, 2, 'revisions of another incarnation drop nothing');
  evidenceStore.dropCovered('one', 40);
  assert.deepEqual([evidenceStore.versions().length, [...evidenceStore.finals()].length], [0, 1]);
});

test('late messages for an earlier process or an earlier state make a controller discard nothing', () => {
  const before = new PreLossViews('n1/1000');
  const earlierView = before.captureView(new JobState(), 0, null);
  const after = new PreLossViews('n1/2000');
  after.add(after.captureView(new JobState(), 0, null));
  // The notice that a view of the earlier process is durable arrives after that process was restarted.
  after.drop([earlierView.id]);
  assert.equal(after.all.length, 1);

  const latest: JobEvidence = {
    id: 'job-1',
    revision: 9,
    generation: 0,
    incarnation: 'x',
    value: { final: { status: 'done', tasks: 2 } },
  };
  const evidenceStore = new EvidenceStore({ request: () => Effect.succeed(Buffer.alloc(0)) }, () => []);
  evidenceStore.record(latest);
  evidenceStore.record({ ...latest, revision: 4, value: { stored: encodeJob(job('job-1'), 0) } });
  assert.deepEqual([...evidenceStore.finals()], [['job-1', { status: 'done', tasks: 2 }]]);
});
