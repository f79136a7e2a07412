/** Tests of data-loss detection: what counts as evidence of a loss, and which verdict probes of the store lead to. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Micros } from '@lilacvalve/runtime/micros';
import { findLostKey, expectedKeys } from '../src/recovery/audit.js';
import { DataLossDetector } from '../src/recovery/data-loss-detector.js';
import { verdictOf } from '../src/recovery/loss-verdict.js';
import {
  attemptFloor,
  generationFloor,
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

const asStored = (value: unknown): unknown => JSON.parse(JSON.stringify(value));
const time = (micros: number): Micros => micros as Micros;
const first: Incarnation = { id: 'one', generation: 0, revision: 3, termFloor: 50, startedAt: 50 };
const known: StoreKnowledge = { incarnation: first, generation: 0, revision: 100, term: 4 };
const probe = (overrides: Partial<Probe> = {}): Probe => ({
  incarnations: [first],
  revision: 100,
  term: 4,
  ...overrides,
});

test('the verdict is intact if the store shows at least what was known, and lost once enough probes show less', () => {
  assert.equal(verdictOf(known, [probe()], 3), 'intact');
  assert.equal(verdictOf(known, [probe({ revision: 180, term: 5 })], 3), 'intact');
  const empty = probe({ incarnations: [], revision: 0, term: 0 });
  assert.equal(verdictOf(known, [empty, empty], 3), 'undecided');
  assert.equal(verdictOf(known, [empty, empty, empty], 3), 'lost');
  // The incarnation's key exists at another revision, so it was deleted and written again.
  const rewritten = probe({ incarnations: [{ ...first, revision: 9 }] });
  assert.equal(verdictOf(known, [rewritten, rewritten, rewritten], 3), 'lost');
  const lowerTerm = probe({ term: 3 });
  assert.equal(verdictOf(known, [lowerTerm, lowerTerm, lowerTerm], 3), 'lost');
});

// If two copies of the store respond in turn and one of them is older, the data is not lost. A rebuild would begin a second
// history beside the one of the newer copy.
test('probes with alternating revisions never lead to the verdict lost', () => {
  const older = probe({ revision: 60 });
  const probes: Probe[] = [];
  for (let i = 0; i < 40; i++) {
    probes.push(i % 2 === 0 ? older : probe());
    assert.notEqual(verdictOf(known, probes, 3), 'lost');
  }
  const decreasing = [probe({ revision: 70 }), probe({ revision: 60 })];
  assert.equal(verdictOf(known, [...decreasing, ...decreasing, ...decreasing], 3), 'undecided');
});

test('the verdict is rebuilt for an incarnation of a newer generation, and lost for another one of the same generation', () => {
  const rebuilt = probe({
    incarnations: [{ id: 'two', generation: 1, revision: 70, termFloor: 0, startedAt: 60 }],
    revision: 75,
    term: 9e9,
  });
  assert.equal(verdictOf(known, [rebuilt], 3), 'rebuilt');
  const emptied = probe({
    incarnations: [{ id: 'fresh', generation: 0, revision: 1, termFloor: 0, startedAt: 0 }],
    revision: 2,
    term: 1,
  });
  assert.equal(verdictOf(known, [emptied, emptied, emptied], 3), 'lost');
  // A controller without a view accepts any incarnation, unless a peer knows a newer generation.
  const withoutView: StoreKnowledge = { incarnation: null, generation: -1, revision: -1, term: 0 };
  assert.equal(verdictOf(withoutView, [emptied], 3), 'rebuilt');
  assert.equal(verdictOf({ ...withoutView, generation: 2 }, [rebuilt, rebuilt, rebuilt], 3), 'lost');
});

test('a response is checked against the revision that was known when its request was sent', () => {
  const lossDetector = new DataLossDetector(
    () => time(5),
    () => 7,
  );
  lossDetector.handleIncarnationRead(first);
  assert.ok(lossDetector.acceptRevision(50, lossDetector.revisionFloor()));
  // The response to an earlier request arrives later and may have a lower revision.
  assert.ok(lossDetector.acceptRevision(48, 40));
  assert.equal(lossDetector.suspected, false);
  assert.ok(!lossDetector.acceptRevision(49, lossDetector.revisionFloor()));
  assert.deepEqual(
    [lossDetector.suspicion!.evidence[0]!.kind, lossDetector.suspicion!.ledTerm],
    ['revision went back', 7],
  );
});

test('a read that shows a lower term than one named before it was sent is evidence, and peers raise the known revision', () => {
  let now = 10;
  const lossDetector = new DataLossDetector(
    () => time(now),
    () => null,
  );
  lossDetector.handleIncarnationRead(first);
  lossDetector.noteTerm(6, 'vm-1');
  lossDetector.checkTerm(5, time(9));
  assert.equal(lossDetector.suspected, false, 'the read was sent before the term was named');
  lossDetector.checkTerm(6, time(20));
  assert.equal(lossDetector.suspected, false);
  lossDetector.checkTerm(5, time(20));
  assert.equal(lossDetector.suspicion!.evidence[0]!.kind, 'term went back');
  lossDetector.ruleOut();
  lossDetector.notePeerRevision('one', 0, 90);
  assert.equal(lossDetector.revisionFloor(), 90);
  lossDetector.notePeerRevision('another', 0, 500);
  assert.equal(lossDetector.revisionFloor(), 90, 'revisions of another incarnation are ignored');
  now = 30;
  lossDetector.notePeerRevision('two', 1, 4);
  assert.equal(lossDetector.suspicion!.evidence[0]!.kind, 'other incarnation');
});

// The store and all controllers were lost together. The new store's first term was 1 again, workers could not tell it from the
// old store's term 1, and their tasks were stopped as unknown.
test("a worker's token from before the store's first start proves that an earlier store was lost", () => {
  const detectorWith = (termFloor: number, generation = 0): DataLossDetector => {
    const lossDetector = new DataLossDetector(
      () => time(1),
      () => null,
    );
    lossDetector.handleIncarnationRead({ ...first, termFloor, generation });
    return lossDetector;
  };
  const lost = detectorWith(1000);
  lost.noteToken(0, 'new');
  lost.noteToken(1001, 'vm-2');
  assert.equal(lost.suspected, false, 'neither a new worker nor a token of this incarnation is evidence');
  lost.noteToken(7, 'vm-1');
  assert.ok(lost.suspicion!.proven && lost.suspicion!.ledTerm === null);
  const rebuilt = detectorWith(1000, 1);
  rebuilt.noteToken(7, 'vm-1');
  assert.equal(rebuilt.suspected, false, 'after a rebuild workers have tokens of earlier generations');
  const upgraded = detectorWith(0);
  upgraded.noteToken(7, 'vm-1');
  assert.equal(
    upgraded.suspected,
    false,
    'a store from before the introduction of incarnations has term floor 0',
  );
});

// Attempts and terms that were used and are no longer known must never be used again.
test('terms and attempts of a generation are higher than those of all earlier generations', () => {
  for (const n of [1, 5000, 2 ** 32 - 1]) {
    assert.equal(generationOf(n), 0);
    assert.ok(generationFloor(1) > n);
  }
  assert.equal(generationOf(generationFloor(3) + 17), 3);
  assert.ok(Number.isSafeInteger(generationFloor(100_000) + 2 ** 32));
});

test('the audit finds a key that vanished without a change, and no key that was written after the page was read', () => {
  const jobState = new JobState();
  for (const [i, revision] of [
    [1, 5],
    [2, 6],
    [3, 40],
  ] as const)
    jobState.apply({
      key: activeJobKey(`job-${i}`),
      value: asStored(encodeJob(job(`job-${i}`), 0)),
      revision,
    });
  jobState.apply({ key: logEntryKey(1), value: {}, revision: 7 });
  jobState.apply({
    key: `${JOB_BUNDLES}a`,
    value: asStored(encodeBundle([job('job-9', { tasks: 2 })])),
    revision: 8,
  });
  assert.deepEqual(expectedKeys(jobState, LOG_ENTRIES), [[logEntryKey(1), 7]]);
  assert.deepEqual(expectedKeys(jobState, JOB_BUNDLES), [[`${JOB_BUNDLES}a`, 8]]);
  const expected = expectedKeys(jobState, ACTIVE_JOBS);
  assert.deepEqual(
    expected.map(([k]) => k),
    [activeJobKey('job-1'), activeJobKey('job-2'), activeJobKey('job-3')],
    'a job that only a bundle lists has no key of its own',
  );
  const entry = (i: number, revision: number) => ({
    key: activeJobKey(`job-${i}`),
    value: null,
    revision,
  });
  const page = (entries: ReturnType<typeof entry>[], more = false) => ({ entries, more, revision: 30 });
  assert.equal(
    findLostKey(page([entry(1, 5), entry(2, 6)]), expected, null, 45),
    null,
    'job-3 was written later',
  );
  assert.match(findLostKey(page([entry(2, 6)]), expected, null, 45)!, /job-1 is missing/);
  assert.match(
    findLostKey(page([entry(1, 5), entry(2, 4)]), expected, null, 45)!,
    /job-2 has revision 4, expected at least 6/,
  );
  assert.equal(findLostKey(page([entry(2, 6)]), expected, null, 29), null, 'the view is older than the page');
  assert.equal(findLostKey(page([entry(1, 5)], true), expected, null, 45), null, 'job-2 is on the next page');
  assert.match(findLostKey(page([]), expected, activeJobKey('job-1'), 45)!, /job-2 is missing/);
});

test('the view keeps the last decodable value of a key whose new value cannot be decoded', () => {
  const jobState = new JobState();
  const key = activeJobKey('job-1');
  jobState.apply({ key, value: asStored(encodeJob(job('job-1', { tasks: 4 }), 0)), revision: 5 });
  for (const undecodable of [null, 'x', 7, { c: 7 }, { c: 'x', o: 'y' }]) {
    jobState.apply({ key, value: undecodable, revision: 6 });
    assert.equal(jobState.jobs.get('job-1')!.spec.tasks, 4);
    assert.equal(jobState.damaged.get(key), 6);
  }
  jobState.apply({ key, value: asStored(encodeJob(job('job-1', { tasks: 4 }), 0)), revision: 7 });
  assert.equal(jobState.damaged.size, 0);
  jobState.apply({ key: `${INCARNATION}x`, value: { g: 2, by: 'n0' }, revision: 9 });
  assert.equal(jobState.attemptFloor, generationFloor(2));
});

// A fifth of the log entries could not be decoded and no controller remembered them. The next leader used the attempts of these
// entries again, and one task ran on two machines under the same attempt.
test('the attempts of a term are higher than any that earlier terms can have used, even if those terms are not known', () => {
  const incarnation: Incarnation = { ...first, startedAt: 1000 };
  const firstFloor = attemptFloor(incarnation, null, 1000.4);
  assert.equal(firstFloor, 0, 'the attempts of a new incarnation begin at 0');
  // A term of 100 s has a log entry in each cycle. Then the store is reset to its state before that term.
  const used = firstFloor + 400;
  assert.ok(attemptFloor(incarnation, firstFloor, 1100) > used);
  assert.ok(attemptFloor(incarnation, null, 1100) > used, 'the previous term is not known either');
  // The clock of the next leader is 10 s behind, after short and long terms.
  for (const termS of [1, 5, 12, 60])
    assert.ok(
      attemptFloor(incarnation, firstFloor, 1000 + termS - 10) >= firstFloor + 4 * termS,
      `after a term of ${termS} s`,
    );
  assert.ok(attemptFloor({ ...incarnation, generation: 2 }, used, 1100) >= generationFloor(2));
  assert.ok(
    attemptFloor({ ...incarnation, generation: 2, startedAt: null }, generationFloor(2) + 7, 9) >
      generationFloor(2) + 7,
  );
});
