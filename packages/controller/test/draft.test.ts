/** Tests of the log entries that a scheduling cycle commits when its changes do not fit into a single entry. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { LOG_ENTRIES } from '../src/jobs/keys.js';
import type { Job } from '../src/jobs/model.js';
import { cycleGapMs } from '../src/leadership/leader-session.js';
import { commit, type CommitResult } from '../src/scheduler/commit.js';
import type { Start } from '../src/scheduler/model.js';
import type { CycleContext } from '../src/scheduler/cycle-context.js';
import type { Condition, Write } from '../src/state-store/client.js';
import { jsonBytes } from '../src/state-store/transaction-limits.js';
import { faultFreeController, newJob, storedJob, SETTINGS } from './support/late-store.js';
import { RandomSource } from './support/random-source.js';

type StateLimits = (typeof SETTINGS)['state'];
interface Case {
  readonly state: StateLimits;
  readonly jobs: number;
  /** Tasks of the largest arrays. */
  readonly tasks: number;
}
/** Limited by the size of values, by the size of the transaction, and by the usage rows and conditions of many small jobs. */
const CASES: readonly Case[] = [
  { state: SETTINGS.state, jobs: 60, tasks: 1500 },
  { state: { ...SETTINGS.state, valueBytes: 32_768, txnOps: 24 }, jobs: 60, tasks: 1500 },
  { state: SETTINGS.state, jobs: 400, tasks: 4 },
];
const TRANSACTION_BYTES = 64 * 1024;
const MACHINES = 400;

/** A transaction that was sent to the store. */
interface SentTransaction {
  readonly when: readonly Condition[];
  readonly then: readonly Write[];
}
const jobOf = (id: number, maxTasks: number, random: RandomSource): Job => {
  const gang = random.int(4) === 0;
  const spec = newJob(`job-${id}`).spec;
  const job = newJob(`job-${id}`, {
    spec: {
      ...spec,
      team: `team-${id % 80}`,
      jobClass: `class-${id % 7}`,
      shape: gang ? 'gang' : 'array',
      tasks: 1 + random.int(gang ? Math.min(64, maxTasks) : maxTasks),
    },
  });
  // Half of the jobs have running tasks, at most as many as the value of a job key can hold.
  if (id % 2 === 0)
    for (let task = 0; task < Math.min(200, job.spec.tasks); task++)
      job.placed.set(task, { task, attempt: 1, machine: `vm-${task}`, since: 5 as Micros });
  return { ...job, attempt: job.placed.size > 0 ? 1 : 0 };
};
/** Returns a start of all waiting tasks of the job, on random machines. */
const startOf = (job: Job, random: RandomSource): Start => {
  const tasksByMachine = new Map<string, number[]>();
  for (let task = 0; task < job.spec.tasks; task++) {
    if (job.placed.has(task) || job.completed.has(task)) continue;
    const machine = `vm-${String(random.int(MACHINES)).padStart(6, '0')}`;
    tasksByMachine.set(machine, [...(tasksByMachine.get(machine) ?? []), task]);
  }
  return { job, attempt: job.attempt + 1, tasksByMachine };
};
const taskCount = (start: Start): number =>
  [...start.tasksByMachine.values()].reduce((sum, tasks) => sum + tasks.length, 0);

/** Returns a leading controller with a function that commits starts, and all transactions that it sends. */
const leadingController = (jobs: readonly Job[], state: StateLimits) => {
  const controller = faultFreeController(jobs.map(storedJob));
  controller.service.limits = state;
  const sent: SentTransaction[] = [];
  const { store } = controller.turn;
  const spy = Object.create(store) as typeof store;
  spy.transact = (when, then, ...rest) => {
    sent.push({ when, then });
    return store.transact(when, then, ...rest);
  };
  const context: CycleContext = { ...controller.turn, store: spy, settings: { ...SETTINGS, state } };
  const commitStarts = (starts: readonly Start[]): CommitResult => {
    let result: CommitResult | null = null;
    controller.go(Effect.map(commit(context, starts), (committed) => (result = committed)));
    return result!;
  };
  return { ...controller, context, sent, commitStarts };
};

const checkLimits = ({ when, then }: SentTransaction, { valueBytes, txnOps }: StateLimits): void => {
  const valueSizes = then.map((write) => jsonBytes('set' in write ? write.value : ''));
  for (const size of valueSizes)
    assert.ok(size <= valueBytes, `a value of ${size} bytes exceeds the limit of ${valueBytes}`);
  const body = JSON.stringify({ when: when.map(({ key, revision }) => ({ k: key, stamp: revision })), then });
  const bodyBytes = Buffer.byteLength(body);
  assert.ok(
    bodyBytes <= TRANSACTION_BYTES,
    `a transaction of ${bodyBytes} bytes exceeds the limit of ${TRANSACTION_BYTES}`,
  );
  assert.ok(when.length < txnOps * 4, `a transaction has ${when.length} conditions`);
  assert.ok(then.length <= txnOps);
  // Usage rows are in the first log entry only, and the entries' times increase.
  const headers = then.map((write) =>
    'set' in write ? (write.value as { '@': { t: number; s?: unknown } })['@'] : { t: 0 },
  );
  for (const [i, header] of headers.entries()) {
    if (i === 0) continue;
    assert.ok(header.t > headers[i - 1]!.t);
    assert.equal(header.s, undefined);
  }
};

// With 80 teams, a cycle's exits and the usage rows of the accounts filled its log entry, and no task was started while that
// went on.
test('changes that do not fit into one log entry go into further entries of the same transaction, within its limits', () => {
  const seen = { severalEntries: 0, partialStarts: 0, backlogs: 0 };
  for (const [seed, { state, jobs, tasks }] of CASES.entries()) {
    const random = new RandomSource(seed + 1);
    const leader = leadingController(
      Array.from({ length: jobs }, (_, i) => jobOf(i + 1, tasks, random)),
      state,
    );
    const { jobState } = leader.node;
    const completedTasks = new Map<string, number>();
    for (const job of jobState.jobs.values()) {
      if (job.placed.size === 0) continue;
      const placed = [...job.placed.keys()];
      const done =
        job.spec.shape === 'gang' ? placed : placed.slice(random.int(Math.ceil(placed.length / 4)));
      leader.context.registry.exits.set(job.spec.id, {
        completed: new Set(done),
        exited: new Set(),
        failed: new Set(),
      });
      completedTasks.set(job.spec.id, done.length);
    }
    for (let cycle = 0; cycle < 80; cycle++) {
      const starts = [...jobState.jobs.values()]
        .filter((job) => (job.spec.shape === 'gang' ? job.placed.size + job.completed.size === 0 : true))
        .map((job) => startOf(job, random))
        .filter((start) => start.tasksByMachine.size > 0);
      if (starts.length === 0 && leader.context.registry.exits.size === 0) break;
      const startedBefore = new Map(
        [...jobState.jobs].map(([id, job]) => [id, job.placed.size + job.completed.size]),
      );
      const { hasBacklog } = leader.commitStarts(starts);
      checkLimits(leader.sent.at(-1)!, state);
      seen.severalEntries += leader.sent.at(-1)!.then.length > 1 ? 1 : 0;
      seen.backlogs += hasBacklog ? 1 : 0;
      for (const start of starts) {
        const started =
          start.job.placed.size + start.job.completed.size - startedBefore.get(start.job.spec.id)!;
        if (start.job.spec.shape === 'gang')
          assert.ok(started === 0 || started === start.job.spec.tasks, 'a gang is started partially');
        else if (started > 0 && started < taskCount(start)) {
          seen.partialStarts++;
          assert.ok(hasBacklog, 'a partial start leaves no backlog for the next cycle');
        }
      }
    }
    for (const [id, completed] of completedTasks)
      assert.ok(
        jobState.jobs.get(id)!.completed.size >= completed,
        `completed tasks of ${id} were not recorded`,
      );
    assert.equal(leader.context.registry.exits.size, 0);
    // A controller that reads the store from the beginning has the same view.
    const view = leader.service.view();
    for (const [id, job] of jobState.jobs) {
      assert.deepEqual([...view.jobs.get(id)!.placed].sort(), [...job.placed].sort(), id);
      assert.deepEqual([...view.jobs.get(id)!.completed].sort(), [...job.completed].sort(), id);
    }
    assert.deepEqual(view.accounts, jobState.accounts);
    const sequences = leader.service
      .entries(LOG_ENTRIES)
      .map((entry) => Number(entry.key.slice(LOG_ENTRIES.length)));
    assert.deepEqual(
      sequences,
      sequences.map((_, i) => sequences[0]! + i),
      'the sequence numbers of the log entries have a gap',
    );
  }
  for (const [kind, count] of Object.entries(seen))
    assert.ok(count > 3, `too few cases of kind ${kind}: ${count}`);
});

// In a scale test of a region, exits filled the first log entry so that the usage rows did not fit, and no task was started.
test('exits leave space for the usage rows in the first log entry, and tasks start in the same cycle', () => {
  const state = { ...SETTINGS.state, valueBytes: 32_768, txnOps: 24 };
  const jobs = Array.from({ length: 150 }, (_, i) => {
    const base = newJob(`job-${i + 1}`);
    const job = {
      ...base,
      spec: { ...base.spec, team: `team-${i % 75}`, jobClass: `class-${i % 2}`, tasks: 200 },
    };
    for (let task = 1; task < 120; task += 2)
      job.placed.set(task, { task, attempt: 1, machine: `vm-${task}`, since: 5 as Micros });
    return { ...job, attempt: 1 };
  });
  const leader = leadingController(jobs, state);
  for (const job of leader.node.jobState.jobs.values())
    leader.context.registry.exits.set(job.spec.id, {
      completed: new Set(job.placed.keys()),
      exited: new Set(),
      failed: new Set(),
    });
  const first = leader.node.jobState.jobs.get('job-1')!;
  const { hasBacklog } = leader.commitStarts([
    { job: first, attempt: 2, tasksByMachine: new Map([['vm-1', [0]]]) },
  ]);
  checkLimits(leader.sent.at(-1)!, state);
  assert.equal(leader.sent.at(-1)!.then.length, 2);
  assert.equal(hasBacklog, false);
  assert.ok(leader.node.jobState.jobs.get('job-1')!.placed.has(0));
});

// The usage rows of all groups were added to the header of a log entry that was full: the value was too large, and each retry
// failed in the same way.
test('the first log entry holds the usage rows even if the first job has too many exits to fit beside them', () => {
  const state = { ...SETTINGS.state, valueBytes: 32_768, txnOps: 24 };
  const jobs = Array.from({ length: 200 }, (_, i) => {
    const base = newJob(`job-${i + 1}`);
    const tasks = i === 0 ? 10_000 : 2;
    const job = { ...base, spec: { ...base.spec, team: `team-${i}`, jobClass: `class-${i}`, tasks } };
    const placed = i === 0 ? 4500 : 1;
    for (let index = 0; index < placed; index++)
      job.placed.set(2 * index, {
        task: 2 * index,
        attempt: 1,
        machine: `vm-${index}`,
        since: 5 as Micros,
      });
    return { ...job, attempt: 1 };
  });
  const leader = leadingController([], state);
  for (const job of jobs) {
    leader.node.jobState.jobs.set(job.spec.id, job);
    leader.context.registry.exits.set(job.spec.id, {
      completed: new Set(job.placed.keys()),
      exited: new Set(),
      failed: new Set(),
    });
  }
  leader.commitStarts([]);
  const sent = leader.sent.at(-1)!;
  checkLimits(sent, state);
  assert.ok(sent.then.length > 1);
  assert.equal(leader.node.jobState.jobs.get('job-1')!.completed.size, 4500);
});

// After an outage of the state service, exits of a class with an Arabic name made a log entry that was too large in bytes,
// though not in characters: it was rejected and sent again for ever, and nothing was recorded or started any more.
test('the exits of many jobs whose class has a name outside ASCII are recorded within the limits in bytes', () => {
  const jobs = Array.from({ length: 300 }, (_, i) => {
    const base = newJob(`job-${i + 1}`);
    const spec = {
      ...base.spec,
      jobClass: 'تفريغ محاضر جلسات المجلس البلدي للقاهرة الكبرى',
      cpus: 1 + i / 1000,
      tasks: 1,
    };
    const job = { ...base, spec, attempt: 1 };
    job.placed.set(0, { task: 0, attempt: 1, machine: `vm-${i}`, since: 5 as Micros });
    return job;
  });
  const { state } = SETTINGS;
  const leader = leadingController(jobs, state);
  for (const { spec } of jobs)
    leader.context.registry.exits.set(spec.id, {
      completed: new Set([0]),
      exited: new Set(),
      failed: new Set(),
    });
  for (let i = 0; i < 6; i++) leader.commitStarts([]);
  for (const sent of leader.sent) checkLimits(sent, state);
  assert.ok(leader.sent.length > 1);
  for (const job of leader.node.jobState.jobs.values()) assert.equal(job.completed.size, 1, job.spec.id);
});

test('the next cycle after one with a backlog comes without the gap for many machines, but after the gap for its computing time', () => {
  assert.equal(cycleGapMs(2634, 20), 800);
  assert.equal(cycleGapMs(2634, 20, true), 250);
  assert.equal(cycleGapMs(2634, 200, true), 600);
});
