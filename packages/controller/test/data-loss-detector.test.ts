/** Detecting a loss of data: what counts as evidence, and what probes of the store decide. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Micros } from '@lilacvalve/runtime/micros';
import { findLostKey, expectedKeys } from '../src/recovery/audit.js';
import { DataLossDetector } from '../src/recovery/data-loss-detector.js';
import { verdictOf } from '../src/recovery/loss-verdict.js';
import {
  attemptFloor,
  firstOfGeneration,
  generationOf,
  type Incarnation,
  type StoreKnowledge,
  type Probe,
} from '../src/recovery/model.js';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob, encodeBundle } from '../src/jobs/codec.js';
import {
  ACTIVE_JOBS,
  activeJobKey,
  INCARNATION,
  JOB_BUNDLES,
  LOG_ENTRIES,
  logEntryKey,
} from '../src/jobs/keys.js';
import { job } from './support/job.js';

const wire = (v: unknown): unknown => JSON.parse(JSON.stringify(v));
const at = (n: number): Micros => n as Micros;
const first: Incarnation = { id: 'one', generation: 0, stamp: 3, termFloor: 50, bornAt: 50 };
const known: StoreKnowledge = { incarnation: first, generation: 0, revision: 100, term: 4 };
const probe = (over: Partial<Probe> = {}): Probe => ({
  incarnations: [first],
  revision: 100,
  term: 4,
  ...over,
});

test('a store that shows what was known, or more, is intact; one that shows less is lost once probes agree', () => {
  assert.equal(verdictOf(known, [probe()], 3), 'intact');
  assert.equal(verdictOf(known, [probe({ revision: 180, term: 5 })], 3), 'intact');
  const empty = probe({ incarnations: [], revision: 0, term: 0 });
  assert.equal(verdictOf(known, [empty, empty], 3), 'undecided');
  assert.equal(verdictOf(known, [empty, empty, empty], 3), 'lost');
  // The key is there, at another revision: it was written anew.
  const rewritten = probe({ incarnations: [{ ...first, stamp: 9 }] });
  assert.equal(verdictOf(known, [rewritten, rewritten, rewritten], 3), 'lost');
  const deposed = probe({ term: 3 });
  assert.equal(verdictOf(known, [deposed, deposed, deposed], 3), 'lost');
});

// Two copies that answer in turn, one of them older, are no loss: a rebuild would fork what the newer one has.
test('probes whose revisions go back and forth never agree on a loss', () => {
  const older = probe({ revision: 60 });
  const probes: Probe[] = [];
  for (let i = 0; i < 40; i++) {
    probes.push(i % 2 === 0 ? older : probe());
    assert.notEqual(verdictOf(known, probes, 3), 'lost');
  }
  const back = [probe({ revision: 70 }), probe({ revision: 60 })];
  assert.equal(verdictOf(known, [...back, ...back, ...back], 3), 'undecided');
});

test('a newer incarnation was begun by another controller; an older or an equal one is itself a loss', () => {
  const rebuilt = probe({
    incarnations: [{ id: 'two', generation: 1, stamp: 70, termFloor: 0, bornAt: 60 }],
    revision: 75,
    term: 9e9,
  });
  assert.equal(verdictOf(known, [rebuilt], 3), 'rebuilt');
  const anew = probe({
    incarnations: [{ id: 'fresh', generation: 0, stamp: 1, termFloor: 0, bornAt: 0 }],
    revision: 2,
    term: 1,
  });
  assert.equal(verdictOf(known, [anew, anew, anew], 3), 'lost');
  // A node without a view takes what is there, unless somebody has said that it knows a newer one.
  const none: StoreKnowledge = { incarnation: null, generation: -1, revision: -1, term: 0 };
  assert.equal(verdictOf(none, [anew], 3), 'rebuilt');
  assert.equal(verdictOf({ ...none, generation: 2 }, [rebuilt, rebuilt, rebuilt], 3), 'lost');
});

test('answers are compared with what was known when they were asked for', () => {
  const lossDetector = new DataLossDetector(
    () => at(5),
    () => 7,
  );
  lossDetector.readIncarnation(first);
  assert.ok(lossDetector.acceptRevision(50, lossDetector.revisionFloor()));
  // Asked for before that one, answered after it: older, and yet sound.
  assert.ok(lossDetector.acceptRevision(48, 40));
  assert.equal(lossDetector.suspected, false);
  assert.ok(!lossDetector.acceptRevision(49, lossDetector.revisionFloor()));
  assert.deepEqual(
    [lossDetector.suspicion!.evidence[0]!.kind, lossDetector.suspicion!.ledTerm],
    ['revision went back', 7],
  );
});

test('a term named before a read began must be in what it shows, and a peer may know more than this node', () => {
  let now = 10;
  const lossDetector = new DataLossDetector(
    () => at(now),
    () => null,
  );
  lossDetector.readIncarnation(first);
  lossDetector.noteTerm(6, 'vm-1');
  lossDetector.checkTerm(5, at(9));
  assert.equal(lossDetector.suspected, false, 'the read was on its way when the term was named');
  lossDetector.checkTerm(6, at(20));
  assert.equal(lossDetector.suspected, false);
  lossDetector.checkTerm(5, at(20));
  assert.equal(lossDetector.suspicion!.evidence[0]!.kind, 'term went back');
  lossDetector.ruleOut();
  lossDetector.notePeerRevision('one', 0, 90);
  assert.equal(lossDetector.revisionFloor(), 90);
  lossDetector.notePeerRevision('another', 0, 500);
  assert.equal(lossDetector.revisionFloor(), 90, 'revisions of another incarnation compare with nothing');
  now = 30;
  lossDetector.notePeerRevision('two', 1, 4);
  assert.equal(lossDetector.suspicion!.evidence[0]!.kind, 'other incarnation');
});

// Every controller had ended with the store: its first term was 1 once more, workers took it for the old one's, and what
// they ran was stopped as unknown.
test("a worker's token from before the store's first start proves that an earlier store was lost", () => {
  const fresh = (base: number, generation = 0): DataLossDetector => {
    const d = new DataLossDetector(
      () => at(1),
      () => null,
    );
    d.readIncarnation({ ...first, termFloor: base, generation });
    return d;
  };
  const lost = fresh(1000);
  lost.noteToken(0, 'new');
  lost.noteToken(1001, 'vm-2');
  assert.equal(lost.suspected, false, 'a new worker, and one that has seen this incarnation');
  lost.noteToken(7, 'vm-1');
  assert.ok(lost.suspicion!.proven && lost.suspicion!.ledTerm === null);
  const rebuilt = fresh(1000, 1);
  rebuilt.noteToken(7, 'vm-1');
  assert.equal(rebuilt.suspected, false, 'after a rebuild workers come with older tokens');
  const upgraded = fresh(0);
  upgraded.noteToken(7, 'vm-1');
  assert.equal(upgraded.suspected, false, 'a store from before incarnations went on with its terms');
});

// Attempts and terms that were used and forgotten must never be used again.
test('terms and attempts of a generation lie above all of those before it', () => {
  for (const n of [1, 5000, 2 ** 32 - 1]) {
    assert.equal(generationOf(n), 0);
    assert.ok(firstOfGeneration(1) > n);
  }
  assert.equal(generationOf(firstOfGeneration(3) + 17), 3);
  assert.ok(Number.isSafeInteger(firstOfGeneration(100_000) + 2 ** 32));
});

test('a key that is gone without a change is found, one that is written or deleted meanwhile is not missed', () => {
  const jobState = new JobState();
  for (const [i, stamp] of [
    [1, 5],
    [2, 6],
    [3, 40],
  ] as const)
    jobState.apply({ key: activeJobKey(`job-${i}`), value: wire(encodeJob(job(`job-${i}`), 0)), stamp });
  jobState.apply({ key: logEntryKey(1), value: {}, stamp: 7 });
  jobState.apply({
    key: `${JOB_BUNDLES}a`,
    value: wire(encodeBundle([job('job-9', { tasks: 2 })])),
    stamp: 8,
  });
  assert.deepEqual(expectedKeys(jobState, LOG_ENTRIES), [[logEntryKey(1), 7]]);
  assert.deepEqual(expectedKeys(jobState, JOB_BUNDLES), [[`${JOB_BUNDLES}a`, 8]]);
  const expected = expectedKeys(jobState, ACTIVE_JOBS);
  assert.deepEqual(
    expected.map(([k]) => k),
    [activeJobKey('job-1'), activeJobKey('job-2'), activeJobKey('job-3')],
    'a job that only a pack lists has no key of its own',
  );
  const entry = (i: number, stamp: number) => ({ key: activeJobKey(`job-${i}`), value: null, stamp });
  const page = (entries: ReturnType<typeof entry>[], more = false) => ({ entries, more, revision: 30 });
  assert.equal(
    findLostKey(page([entry(1, 5), entry(2, 6)]), expected, null, 45),
    null,
    'job-3 was written later',
  );
  assert.match(findLostKey(page([entry(2, 6)]), expected, null, 45)!, /job-1 is missing/);
  assert.match(
    findLostKey(page([entry(1, 5), entry(2, 4)]), expected, null, 45)!,
    /job-2 is as of 4, was of 6/,
  );
  assert.equal(findLostKey(page([entry(2, 6)]), expected, null, 29), null, 'the view is older than the page');
  assert.equal(findLostKey(page([entry(1, 5)], true), expected, null, 45), null, 'job-2 is on the next page');
  assert.match(findLostKey(page([]), expected, activeJobKey('job-1'), 45)!, /job-2 is missing/);
});

test('the view keeps what it had of a value that can no longer be read', () => {
  const jobState = new JobState();
  const key = activeJobKey('job-1');
  jobState.apply({ key, value: wire(encodeJob(job('job-1', { tasks: 4 }), 0)), stamp: 5 });
  for (const bad of [null, 'x', 7, { c: 7 }, { c: 'x', o: 'y' }]) {
    jobState.apply({ key, value: bad, stamp: 6 });
    assert.equal(jobState.jobs.get('job-1')!.spec.tasks, 4);
    assert.equal(jobState.damaged.get(key), 6);
  }
  jobState.apply({ key, value: wire(encodeJob(job('job-1', { tasks: 4 }), 0)), stamp: 7 });
  assert.equal(jobState.damaged.size, 0);
  jobState.apply({ key: `${INCARNATION}x`, value: { g: 2, by: 'n0' }, stamp: 9 });
  assert.equal(jobState.attemptFloor, firstOfGeneration(2));
});

// A fifth of the records could not be read and nobody remembered them: the next leader began again at the attempts that
// they had used, and one of them ran on two machines.
test('attempts of a term begin above all that earlier terms can have used, whatever is forgotten', () => {
  const i: Incarnation = { ...first, bornAt: 1000 };
  const early = attemptFloor(i, null, 1000.4);
  assert.equal(early, 0, 'small at first');
  // A term of 100 s, with a log entry in each of its cycles; then the store comes back as it was before that term.
  const used = early + 400;
  assert.ok(attemptFloor(i, early, 1100) > used);
  assert.ok(attemptFloor(i, null, 1100) > used, 'what is known of terms is lost too');
  // The clock of the next leader is 10 s behind, after short reigns and long ones.
  for (const s of [1, 5, 12, 60])
    assert.ok(attemptFloor(i, early, 1000 + s - 10) >= early + 4 * s, `after ${s} s`);
  assert.ok(attemptFloor({ ...i, generation: 2 }, used, 1100) >= firstOfGeneration(2));
  assert.ok(
    attemptFloor({ ...i, generation: 2, bornAt: null }, firstOfGeneration(2) + 7, 9) >
      firstOfGeneration(2) + 7,
  );
});
