/** Transactions stay within the limits of the state service, in bytes. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { micros } from '@lilacvalve/runtime/micros';
import { encodeAccounts } from '../src/accounts/codec.js';
import { applyToAccounts } from '../src/accounts/aggregate.js';
import { NO_ACCOUNTS } from '../src/accounts/model.js';
import { addSamples, encodeClassDurations } from '../src/calendar/class-durations.js';
import { encodeBundle } from '../src/jobs/codec.js';
import { activeJobKey, JOB_BUNDLES } from '../src/jobs/keys.js';
import { JobState } from '../src/jobs/job-state.js';
import { acceptedJob, applyChange } from '../src/jobs/model.js';
import { planRebuild } from '../src/recovery/rebuild-plan.js';
import { writeSteps } from '../src/recovery/write-steps.js';
import { commit } from '../src/scheduler/commit.js';
import { draftCompaction } from '../src/scheduler/compaction.js';
import { LargestJobs } from '../src/scheduler/largest-jobs.js';
import { runMaintenance } from '../src/scheduler/maintenance.js';
import { wireTransaction, type Write } from '../src/state-store/client.js';
import { jsonBytes } from '../src/state-store/transaction-limits.js';
import { job } from './support/job.js';
import { faultFreeController, newJob, SETTINGS, storedJob, wire } from './support/late-store.js';
import { LONG_CLASS, machineName, startedOneByOne, startOf } from './support/started-jobs.js';
import { transactionViolation } from './support/transaction-rules.js';

const { valueBytes } = SETTINGS.state;

// A log entry that was too large in bytes was sent again as it was, for ever, and ended all scheduling.
test('a transaction that the state service rejects is not sent again as it is', () => {
  const jobs = Array.from({ length: 60 }, (_, i) => newJob(`job-${i + 1}`, { spec: { ...job(`job-${i + 1}`).spec, tasks: 400 } })); // prettier-ignore
  const { service, node, time, turn } = faultFreeController(jobs.map(storedJob));
  service.limits = { ...SETTINGS.state, valueBytes: 2500 };
  const starts = [...node.jobState.jobs.values()].map((waiting) => ({
    job: waiting,
    attempt: 1,
    tasksByMachine: new Map(Array.from({ length: 10 }, (_, i) => [machineName(i), [i]])),
  }));
  time.fork(commit(turn, starts));
  time.run(time.now + 5e6);
  const rejected = time.faults.filter((fault) => fault.startsWith('transaction rejected'));
  assert.ok(rejected.length > 0, 'the first transaction is rejected');
  assert.equal(new Set(rejected).size, rejected.length);
  assert.equal(rejected.length, time.faults.length);
  assert.ok(node.jobState.jobs.get('job-1')!.placed.size > 0, 'a smaller one is committed');
});

test('the stand-in rejects what the protocol does not allow', () => {
  const limits = { valueBytes: 100, txnOps: 2 };
  const set = (key: string, value: unknown) => ({ when: [], then: [{ set: key, value }] });
  assert.equal(transactionViolation(set('a', 'é'.repeat(49)), limits), null);
  assert.match(transactionViolation(set('a', 'é'.repeat(50)), limits)!, /value of a: 102 bytes/);
  assert.equal(transactionViolation(set('é'.repeat(100), 1), limits), null);
  assert.match(transactionViolation(set(`${'é'.repeat(100)}x`, 1), limits)!, /invalid key/);
  assert.match(transactionViolation(set('a b', 1), limits)!, /invalid key/);
  assert.match(transactionViolation(set('', 1), limits)!, /invalid key/);
  const when = Array.from({ length: 9 }, (_, i) => ({ k: `k${i}`, stamp: 0 }));
  assert.match(transactionViolation({ when, then: [] }, limits)!, /9 conditions/);
  const then = Array.from({ length: 3 }, (_, i) => ({ delete: `k${i}` }));
  assert.match(transactionViolation({ when: [], then }, limits)!, /3 puts/);
  const large = { valueBytes: 99_999, txnOps: 9 };
  assert.match(transactionViolation(set('a', 'é'.repeat(33_000)), large)!, /transaction of 66/);
});

// A bundle of rebuilt jobs was written with all that its jobs had grown to since.
test('a bundle that loses a finished job does not grow with the other jobs in it', () => {
  const [finished, growing] = ['job-2', 'job-1'].map((id) =>
    newJob(id, { spec: { ...job(id).spec, tasks: 3000 }, cancelled: id === 'job-2' }),
  );
  const bundle: Write = { set: `${JOB_BUNDLES}1-000000`, value: encodeBundle([finished!, growing!]) };
  const { service, node, go, turn } = faultFreeController([bundle, ...startedOneByOne('job-1', 650, 650)]);
  go(runMaintenance(turn));
  assert.ok(!node.jobState.jobs.has('job-2'));
  assert.equal(service.view().jobs.get('job-1')!.placed.size, 650);
});

test('finished jobs of bundles as large as values are closed in several transactions', () => {
  const jobState = new JobState();
  for (let i = 0; i < 5; i++) {
    const types = ['x'.repeat(14_000)];
    const rest = acceptedJob({ ...job('').spec, id: `job-${i + 20}`, types });
    const value = wire(encodeBundle([acceptedJob(job(`job-${i + 10}`).spec), rest]));
    jobState.apply({ key: `${JOB_BUNDLES}1-00000${i}`, value, revision: i + 1 });
  }
  const finished = Array.from({ length: 5 }, (_, i) => `job-${i + 10}`);
  const count = jobState.removableTogether(finished);
  assert.equal(count, 3);
  const { when, then } = jobState.removalFromBundles(finished.slice(0, count));
  assert.equal(transactionViolation(wireTransaction(when, then), SETTINGS.state), null);
  assert.equal(jobState.removableTogether(['job-1', 'job-2']), 2);
});

test('a rebuild writes a job that a bundle can not hold to a key of its own', () => {
  const { node } = faultFreeController();
  const array = acceptedJob({ ...job('job-1').spec, tasks: 3000 });
  for (let task = 0; task < 682; task++)
    applyChange(array, startOf(task + 1, machineName(task % 348), [task]), task, micros(1e12 + 9_999 * task));
  const small = acceptedJob({ ...job('job-2').spec, jobClass: LONG_CLASS });
  const missing = [array, ...Array.from({ length: 40 }, (_, i) => ({ ...small, spec: { ...small.spec, id: `job-${i + 2}` } }))]; // prettier-ignore
  const none = planRebuild({ jobs: new Map(), damaged: () => undefined, hasFinal: () => false, generation: 0, revision: 0 }, new Map(), new Map(), 1); // prettier-ignore
  const steps = writeSteps(node.jobState, SETTINGS.state, { ...none, missing }, { id: 'p', sequence: 9, exclusive: true }); // prettier-ignore
  for (const { when, then } of steps)
    assert.equal(transactionViolation(wireTransaction(when, then), SETTINGS.state), null);
  const keys = steps.flatMap(({ then }) => then.map((write) => ('set' in write ? write.set : '')));
  assert.equal(keys.filter((key) => key === activeJobKey('job-1')).length, 1);
  assert.ok(keys.filter((key) => key.startsWith(JOB_BUNDLES)).length > 1);
});

test('checkpoints, compactions and hints with names outside ASCII fit in bytes', () => {
  const rows = Array.from({ length: 300 }, (_, i) => ({
    group: ['red', `${LONG_CLASS}${i}`, 'c8'] as const,
    shape: [1000, i, 2000] as const,
    rate: 7,
    us: [1e9, 0, 0, 0, 0, 0, 1e9],
  }));
  const accounts = applyToAccounts(NO_ACCOUNTS, 1, micros(1e12), { rows, closes: null, bound: null });
  const values = encodeAccounts(accounts, valueBytes * 0.9);
  for (const value of values) assert.ok(jsonBytes(value) <= valueBytes);
  const { turn } = faultFreeController([storedJob(newJob('job-1')), ...startedOneByOne('job-1', 3, 3)]);
  const { when, then } = draftCompaction(turn);
  assert.equal(transactionViolation(wireTransaction(when, then), SETTINGS.state), null);

  const classes = rows.map(({ group }) => group[1]);
  const largest = new LargestJobs();
  for (const jobClass of classes) largest.observe({ id: `job-${'1'.repeat(32)}`, jobClass, tasks: 100_000 });
  assert.ok(jsonBytes(largest.hint(valueBytes)) <= valueBytes);
  const durations = addSamples(new Map(), new Map(classes.map((jobClass) => [jobClass, [1, 2, 3]])));
  const encoded = encodeClassDurations(durations, valueBytes) as unknown[];
  assert.ok(jsonBytes(encoded) <= valueBytes && encoded.length > 10);
  assert.equal((encoded.at(-1) as [string])[0], classes.at(-1));
});
