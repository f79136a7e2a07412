/** Joining what several nodes remember, finding where they differ, and planning what must be written. */
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
import { answerViewRequest } from '../src/recovery/view-exchange.js';
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

const wire = (v: unknown): unknown => JSON.parse(JSON.stringify(v));
const TASKS = 5;

/** One history of a job: each step's state is a later view of the same incarnation. */
const history = fc
  .array(
    fc.record({
      what: fc.constantFrom('start', 'done', 'gone', 'withdraw', 'none'),
      task: fc.nat(TASKS - 1),
      machine: fc.constantFrom('m1', 'm2', 'm3'),
    }),
    { maxLength: 14 },
  )
  .map((steps): Job[] => {
    const states: Job[] = [];
    let now = job('job-1', { tasks: TASKS });
    for (const s of steps) {
      const next: Job = {
        ...now,
        done: new Set(now.done),
        placed: new Map(now.placed),
        failedOn: new Set(now.failedOn),
        loans: new Map(now.loans),
        preemptedForServices: now.preemptedForServices,
      };
      const over = now.cancelled || isComplete(now);
      if (s.what === 'start' && !over && !now.done.has(s.task) && !now.placed.has(s.task)) {
        next.attempt = now.attempt + 1;
        next.placed.set(s.task, {
          task: s.task,
          attempt: next.attempt,
          machine: s.machine,
          since: 0 as Micros,
        });
      } else if (s.what === 'done' && next.placed.delete(s.task)) next.done.add(s.task);
      else if (s.what === 'gone' && next.placed.delete(s.task)) next.failedOn.add(s.machine);
      else if (s.what === 'withdraw' && !isComplete(now)) next.cancelled = true;
      states.push((now = next));
    }
    return states.length > 0 ? states : [now];
  });
const versions = history.chain((states) =>
  fc
    .array(fc.nat(states.length - 1), { minLength: 1, maxLength: 5 })
    .map((picks): JobVersion[] => picks.map((i) => ({ generation: 0, revision: i, job: states[i]! }))),
);

test('merging does not depend on order or on repetition', () => {
  fc.assert(
    fc.property(versions, fc.infiniteStream(fc.nat()), (list, order) => {
      const result = contentOf(mergeVersions(list));
      const shuffled = list
        .map((c) => [order.next().value as number, c] as const)
        .sort((a, b) => a[0] - b[0])
        .map(([, c]) => c);
      assert.equal(contentOf(mergeVersions(shuffled)), result);
      assert.equal(contentOf(mergeVersions([...list, ...shuffled])), result);
    }),
    { seed: 19, numRuns: 400 },
  );
});

test('views of one history merge to the latest: nothing confirmed is lost, nothing that ended runs again', () => {
  fc.assert(
    fc.property(versions, (list) => {
      const merged = mergeVersions(list);
      const last = list.reduce((a, b) => (b.revision > a.revision ? b : a)).job;
      assert.equal(contentOf(merged), contentOf(last));
    }),
    { seed: 20, numRuns: 400 },
  );
});

// A store that came back older may go on for a moment before anybody notices: what was started then counts as running.
test('a start that the latest view does not know of counts as running, one that it saw end does not', () => {
  const late = job('job-1', { tasks: 3 });
  late.attempt = 4;
  late.done.add(0);
  const old = job('job-1', { tasks: 3 });
  old.attempt = 5;
  old.placed.set(0, { task: 0, attempt: 3, machine: 'm1', since: 0 as Micros });
  old.placed.set(1, { task: 1, attempt: 4, machine: 'm1', since: 0 as Micros });
  old.placed.set(2, { task: 2, attempt: 5, machine: 'm2', since: 0 as Micros });
  const merged = mergeVersions([
    { generation: 0, revision: 90, job: late },
    { generation: 0, revision: -1, job: old },
  ]);
  assert.deepEqual([...merged.placed.keys()], [2]);
  assert.equal(merged.attempt, 5);
  assert.deepEqual([...merged.done], [0]);
});

test('a confirmed end stays, and a cancellation holds against everything but that', () => {
  const open = job('job-1', { tasks: 1 });
  const withdrawn = { ...job('job-1', { tasks: 1 }), cancelled: true };
  const complete = job('job-1', { tasks: 1 });
  complete.done.add(0);
  const version = (j: Job, revision: number): JobVersion => ({ generation: 0, revision, job: j });
  assert.equal(mergeVersions([version(withdrawn, 1), version(open, 2)]).cancelled, true);
  const both = mergeVersions([version(complete, 1), version(withdrawn, 2)]);
  assert.ok(isComplete(both) && !both.cancelled);
  const done: FinalState = { status: 'done', tasks: 1 };
  const cancelled: FinalState = { status: 'cancelled', tasks: 1 };
  assert.deepEqual(mergeFinals(cancelled, done), done);
  assert.deepEqual(mergeFinals(done, cancelled), done);
});

const emptyStore = (over: Partial<RecoveredStore> = {}): RecoveredStore => ({
  jobs: new Map(),
  damaged: () => undefined,
  hasFinal: () => false,
  generation: -1,
  revision: -1,
  ...over,
});
const versionMap = (...jobs: Job[]): Map<string, JobVersion[]> =>
  new Map(jobs.map((j) => [j.spec.id, [{ generation: 0, revision: 10, job: j }]]));

test('the plan writes what is missing or differs, ends what is final, and leaves the rest alone', () => {
  const same = job('job-1');
  const changed = job('job-2', { tasks: 2 });
  changed.done.add(1);
  const lost = job('job-3', { urgency: 1 });
  const urgent = job('job-4', { urgency: 3 });
  const cancelled = { ...job('job-5'), cancelled: true };
  cancelled.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  const broken = job('job-6');
  const ended = job('job-7');
  ended.done.add(0);
  const store = emptyStore({
    jobs: new Map(
      ['job-1', 'job-2', 'job-8'].map((id, i) => [
        id,
        { ...job(id, { tasks: id === 'job-2' ? 2 : 1 }), revision: 5 + i },
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
    versionMap(same, changed, lost, urgent, cancelled, broken, ended, job('job-9')),
    finals,
    77,
  );
  assert.deepEqual(
    plan.missing.map((j) => [j.spec.id, j.compactedTo]),
    [
      ['job-5', 77],
      ['job-4', 77],
      ['job-3', 77],
    ],
    'what must be gone in time first, then by urgency',
  );
  assert.deepEqual(
    plan.differing.map((d) => [d.job.spec.id, d.stamp]),
    [
      ['job-2', 6],
      ['job-6', 9],
    ],
  );
  assert.deepEqual(
    plan.close.map((c) => [c.id, c.stamp]),
    [['job-8', 7]],
  );
  assert.deepEqual(
    plan.finals.map(([id]) => id),
    ['job-10', 'job-7'],
  );
  // Written, it is all there: a second pass has nothing to do.
  const after = emptyStore({
    jobs: new Map([same, changed, lost, urgent, cancelled, broken].map((j) => [j.spec.id, j])),
    hasFinal: (id) => ['job-7', 'job-8', 'job-9', 'job-10'].includes(id),
  });
  const again = planRebuild(
    after,
    versionMap(same, changed, lost, urgent, cancelled, broken, ended),
    finals,
    77,
  );
  assert.deepEqual([again.missing, again.differing, again.close, again.finals], [[], [], [], []]);
});

test('only what differs is sent between two nodes, in bounded responses', () => {
  const mine = new JobState();
  const theirs = new JobState();
  for (let i = 0; i < 3000; i++) {
    const j = job(`job-${i}`);
    for (const c of [mine, theirs])
      c.apply({ key: activeJobKey(`job-${i}`), value: wire(encodeJob(j, 0)), stamp: i + 1 });
  }
  const extra = job('job-77777', { tasks: 2 });
  theirs.apply({ key: activeJobKey('job-77777'), value: wire(encodeJob(extra, 0)), stamp: 4000 });
  theirs.apply({
    key: finalStateKey('job-88888'),
    value: encodeFinalState({ status: 'done', tasks: 4 }),
    stamp: 4001,
  });
  const preLossViews = new PreLossViews('n1');
  preLossViews.add(preLossViews.viewOf(theirs, 0, null));
  const own = new PreLossViews('n0');
  own.add(own.viewOf(mine, 0, null));
  const nobody = new EvidenceStore({ ask: () => Effect.succeed(Buffer.alloc(0)) }, () => []);
  const merged = [...versionsByJob(own.all).values()].map((list) => mergeVersions(list));
  const ask = decodeViewRequest(
    encodeViewRequest({ incarnation: 'x', digest: digestOf(merged, []), from: 0 }),
  )!;
  const answer = decodeViewResponse(
    encodeViewResponse(answerViewRequest(ask, preLossViews.all, theirs, nobody)),
  )!;
  assert.equal(answer.next, null);
  assert.ok(answer.versions.length < 60, `${answer.versions.length} of 3001 versions travelled`);
  assert.ok(answer.versions.some((c) => c.job.spec.id === 'job-77777'));
  assert.deepEqual(answer.finals, [['job-88888', { status: 'done', tasks: 4 }]]);
  // With nothing alike, all of it comes, a bounded part at a time.
  const all = new Set<string>();
  let parts = 0;
  for (let from: number | null = 0; from !== null; parts++) {
    const t: ReturnType<typeof answerViewRequest> = answerViewRequest(
      { incarnation: 'x', digest: new Uint32Array(RANGES * 2), from },
      preLossViews.all,
      theirs,
      nobody,
    );
    assert.ok(t.versions.length < 1000);
    for (const c of t.versions) all.add(c.job.spec.id);
    from = t.next;
  }
  assert.equal(all.size, 3001);
  assert.ok(parts > 3);
  assert.equal(decodeViewRequest(Buffer.from('x')), null);
  assert.equal(decodeViewResponse(Buffer.from('x')), null);
});

test('a bundle lists jobs until they have keys of their own or are final, in whatever order that is read', () => {
  const packed = encodeBundle([job('job-1', { tasks: 3 }), job('job-2')]);
  const own = { ...job('job-1', { tasks: 3 }), attempt: 8 };
  const changes = [
    { key: `${JOB_BUNDLES}1`, value: wire(packed), stamp: 10 },
    { key: activeJobKey('job-1'), value: wire(encodeJob(own, 0)), stamp: 20 },
  ];
  const watched = new JobState();
  for (const c of changes) watched.apply(c);
  const listed = new JobState();
  listed.load([...changes].reverse(), 20);
  for (const jobState of [watched, listed]) {
    assert.equal(jobState.jobs.get('job-1')!.attempt, 8);
    assert.equal(jobState.jobs.get('job-2')!.revision, 0);
    const out = jobState.removalFromBundles(['job-2']);
    assert.deepEqual(out.when, [{ key: `${JOB_BUNDLES}1`, stamp: 10 }]);
    assert.deepEqual(
      out.then,
      [{ delete: `${JOB_BUNDLES}1` }],
      'job-1 has a key of its own: nothing is left to list',
    );
    jobState.apply({ key: `${JOB_BUNDLES}1`, value: undefined, stamp: 30 });
    assert.ok(!jobState.jobs.has('job-2'), 'taken out of its pack it is over');
    assert.ok(jobState.jobs.has('job-1'));
    assert.equal(jobState.bundleOf.size, 0);
  }
});

test('final states are kept as numbers, the oldest forgotten first, and read from pages of many', () => {
  const finals = new FinalStates(3);
  finals.complete = true;
  for (let i = 1; i <= 4; i++)
    finals.remember(`job-${i}`, { status: i % 2 ? 'done' : 'cancelled', tasks: i });
  assert.equal(finals.has('job-1'), false);
  assert.deepEqual(finals.get('job-4'), { status: 'cancelled', tasks: 4 });
  assert.equal(finals.complete, false, 'one was forgotten: what is not here may be in the store');
  const jobState = new JobState();
  const page = encodeFinalStates([['job-5', { status: 'done', tasks: 100_000 }]]);
  jobState.apply({ key: `${FINAL_STATE_PAGES}1/job-5~`, value: wire(page), stamp: 1 });
  assert.deepEqual(jobState.finalStates.get('job-5'), { status: 'done', tasks: 100_000 });
});

test('evidence of what a user was told is kept by the others until their own view includes it', () => {
  const nobody = new EvidenceStore({ ask: () => Effect.succeed(Buffer.alloc(0)) }, () => []);
  const accepted = {
    id: 'job-1',
    revision: 40,
    generation: 0,
    incarnation: 'one',
    value: { stored: wire(encodeJob(job('job-1'), 0)) },
  };
  const done = {
    id: 'job-2',
    revision: 41,
    generation: 0,
    incarnation: 'one',
    value: { final: { status: 'done', tasks: 2 } as FinalState },
  };
  for (const f of [accepted, done]) {
    assert.deepEqual(decodeJobEvidence(encodeJobEvidence(f)), f);
    nobody.record(decodeJobEvidence(encodeJobEvidence(f))!);
  }
  assert.equal(decodeJobEvidence(encodeJobEvidence({ ...accepted, value: { stored: 'nonsense' } })), null);
  assert.equal(nobody.versions()[0]!.job.spec.id, 'job-1');
  nobody.dropCovered('two', 100);
  assert.equal(nobody.size, 2, 'revisions of another incarnation cover nothing');
  nobody.dropCovered('one', 40);
  assert.deepEqual([nobody.versions().length, [...nobody.finals()].length], [0, 1]);
});

test('a message to an earlier process of the same controller makes the next one forget nothing', () => {
  const before = new PreLossViews('n1/1000');
  const asked = before.viewOf(new JobState(), 0, null);
  const after = new PreLossViews('n1/2000');
  after.add(after.viewOf(new JobState(), 0, null));
  // "All that you remember is durable", meant for the process that was asked, arrives after its end.
  after.drop([asked.id]);
  assert.equal(after.all.length, 1);

  const told: JobEvidence = {
    id: 'job-1',
    revision: 9,
    generation: 0,
    incarnation: 'x',
    value: { final: { status: 'done', tasks: 2 } },
  };
  const w = new EvidenceStore({ ask: () => Effect.succeed(Buffer.alloc(0)) }, () => []);
  w.record(told);
  w.record({ ...told, revision: 4, value: { stored: encodeJob(job('job-1'), 0) } });
  assert.deepEqual([...w.finals()], [['job-1', { status: 'done', tasks: 2 }]]);
});
