/** What a turn makes durable when it is more than one record holds. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { RECORD } from '../src/jobs/keys.js';
import type { Job } from '../src/jobs/model.js';
import { cycleGapMs } from '../src/leadership/leader-session.js';
import { commit, type Committed } from '../src/scheduler/commit.js';
import type { Start } from '../src/scheduler/model.js';
import type { CycleContext } from '../src/scheduler/cycle-context.js';
import type { Condition, Write } from '../src/state-store/client.js';
import { singleController, fresh, kept, SETTINGS } from './support/late-store.js';
import { Luck } from './support/random-source.js';

type StateLimits = (typeof SETTINGS)['state'];
interface Case {
  readonly state: StateLimits;
  readonly jobs: number;
  /** Tasks of the largest arrays. */
  readonly tasks: number;
}
/** Values are the limit, then the transaction, then the rows of many small jobs and their conditions. */
const CASES: readonly Case[] = [
  { state: SETTINGS.state, jobs: 60, tasks: 1500 },
  { state: { ...SETTINGS.state, valueBytes: 32_768, txnOps: 24 }, jobs: 60, tasks: 1500 },
  { state: SETTINGS.state, jobs: 400, tasks: 4 },
];
const TRANSACTION_BYTES = 64 * 1024;
const MACHINES = 400;

interface Sent {
  readonly when: readonly Condition[];
  readonly then: readonly Write[];
}
const jobOf = (id: number, most: number, luck: Luck): Job => {
  const gang = luck.int(4) === 0;
  const spec = fresh(`job-${id}`).spec;
  const job = fresh(`job-${id}`, {
    spec: {
      ...spec,
      team: `team-${id % 80}`,
      jobClass: `class-${id % 7}`,
      shape: gang ? 'gang' : 'array',
      tasks: 1 + luck.int(gang ? Math.min(64, most) : most),
    },
  });
  // Half of them run already, as far as one value of the store holds that.
  if (id % 2 === 0)
    for (let task = 0; task < Math.min(200, job.spec.tasks); task++)
      job.placed.set(task, { task, attempt: 1, machine: `vm-${task}`, since: 5 as Micros });
  return { ...job, attempt: job.placed.size > 0 ? 1 : 0 };
};
const startOf = (job: Job, luck: Luck): Start => {
  const on = new Map<string, number[]>();
  for (let task = 0; task < job.spec.tasks; task++) {
    if (job.placed.has(task) || job.done.has(task)) continue;
    const machine = `vm-${String(luck.int(MACHINES)).padStart(6, '0')}`;
    on.set(machine, [...(on.get(machine) ?? []), task]);
  }
  return { job, attempt: job.attempt + 1, on };
};
const tasksOf = (s: Start): number => [...s.on.values()].reduce((n, tasks) => n + tasks.length, 0);

/** The turn of a controller that leads, and every transaction that it sends. */
const leading = (jobs: readonly Job[], state: StateLimits) => {
  const c = singleController(jobs.map(kept));
  const sent: Sent[] = [];
  const { store } = c.turn;
  const spy = Object.create(store) as typeof store;
  spy.transact = (when, then, ...rest) => {
    sent.push({ when, then });
    return store.transact(when, then, ...rest);
  };
  const turn: CycleContext = { ...c.turn, store: spy, settings: { ...SETTINGS, state } };
  const committed = (starts: readonly Start[]): Committed => {
    let out: Committed | null = null;
    c.go(Effect.map(commit(turn, starts), (x) => (out = x)));
    return out!;
  };
  return { ...c, turn, sent, committed };
};

const checkLimits = ({ when, then }: Sent, { valueBytes, txnOps }: StateLimits): void => {
  const written = then.map((w) => JSON.stringify('set' in w ? w.value : '').length);
  for (const n of written) assert.ok(n <= valueBytes, `a value of ${n} bytes`);
  const all = JSON.stringify({ when: when.map(({ key, stamp }) => ({ k: key, stamp })), then });
  assert.ok(all.length <= TRANSACTION_BYTES, `a transaction of ${all.length} bytes`);
  assert.ok(when.length < txnOps * 4, `${when.length} conditions`);
  assert.ok(then.length <= txnOps);
  // The accounts' rows are booked once, and times of records only grow.
  const heads = then.map((w) =>
    'set' in w ? (w.value as { '@': { t: number; s?: unknown } })['@'] : { t: 0 },
  );
  for (const [i, head] of heads.entries()) {
    if (i === 0) continue;
    assert.ok(head.t > heads[i - 1]!.t);
    assert.equal(head.s, undefined);
  }
};

// At 80 teams a turn's ends and the accounts' rows filled its record, and nothing was started for as long as that went on.
test('what does not fit into one record goes into further ones of the same transaction, within its limits', () => {
  const seen = { several: 0, cut: 0, behind: 0 };
  for (const [seed, { state, jobs, tasks }] of CASES.entries()) {
    const luck = new Luck(seed + 1);
    const l = leading(
      Array.from({ length: jobs }, (_, i) => jobOf(i + 1, tasks, luck)),
      state,
    );
    const { jobState } = l.node;
    const ended = new Map<string, number>();
    for (const job of jobState.jobs.values()) {
      if (job.placed.size === 0) continue;
      const placed = [...job.placed.keys()];
      const done = job.spec.shape === 'gang' ? placed : placed.slice(luck.int(Math.ceil(placed.length / 4)));
      l.turn.registry.ends.set(job.spec.id, { done: new Set(done), gone: new Set(), failed: new Set() });
      ended.set(job.spec.id, done.length);
    }
    for (let turn = 0; turn < 80; turn++) {
      const starts = [...jobState.jobs.values()]
        .filter((j) => (j.spec.shape === 'gang' ? j.placed.size + j.done.size === 0 : true))
        .map((j) => startOf(j, luck))
        .filter((s) => s.on.size > 0);
      if (starts.length === 0 && l.turn.registry.ends.size === 0) break;
      const before = new Map([...jobState.jobs].map(([id, j]) => [id, j.placed.size + j.done.size]));
      const { behind } = l.committed(starts);
      checkLimits(l.sent.at(-1)!, state);
      seen.several += l.sent.at(-1)!.then.length > 1 ? 1 : 0;
      seen.behind += behind ? 1 : 0;
      for (const s of starts) {
        const n = s.job.placed.size + s.job.done.size - before.get(s.job.spec.id)!;
        if (s.job.spec.shape === 'gang') assert.ok(n === 0 || n === s.job.spec.tasks, 'a gang goes whole');
        else if (n > 0 && n < tasksOf(s)) {
          seen.cut++;
          assert.ok(behind, 'and the next turn comes soon');
        }
      }
    }
    for (const [id, n] of ended) assert.ok(jobState.jobs.get(id)!.done.size >= n, `all ends of ${id}`);
    assert.equal(l.turn.registry.ends.size, 0);
    // A controller that reads all of it sees the same.
    const view = l.service.view();
    for (const [id, job] of jobState.jobs) {
      assert.deepEqual([...view.jobs.get(id)!.placed].sort(), [...job.placed].sort(), id);
      assert.deepEqual([...view.jobs.get(id)!.done].sort(), [...job.done].sort(), id);
    }
    assert.deepEqual(view.accounts, jobState.accounts);
    const seqs = l.service.entries(RECORD).map((e) => Number(e.key.slice(RECORD.length)));
    assert.deepEqual(
      seqs,
      seqs.map((_, i) => seqs[0]! + i),
      'without a gap',
    );
  }
  for (const [what, n] of Object.entries(seen)) assert.ok(n > 3, `${what} ${n}`);
});

// In a scale run of a region the first record was full of ends, the accounts' rows found no room there, and nothing started.
test('ends leave the accounts of their turn room in its first record, and starts go out in the same turn', () => {
  const state = { ...SETTINGS.state, valueBytes: 32_768, txnOps: 24 };
  const jobs = Array.from({ length: 150 }, (_, i) => {
    const base = fresh(`job-${i + 1}`);
    const job = {
      ...base,
      spec: { ...base.spec, team: `team-${i % 75}`, jobClass: `class-${i % 2}`, tasks: 200 },
    };
    for (let task = 1; task < 120; task += 2)
      job.placed.set(task, { task, attempt: 1, machine: `vm-${task}`, since: 5 as Micros });
    return { ...job, attempt: 1 };
  });
  const l = leading(jobs, state);
  for (const job of l.node.jobState.jobs.values())
    l.turn.registry.ends.set(job.spec.id, {
      done: new Set(job.placed.keys()),
      gone: new Set(),
      failed: new Set(),
    });
  const first = l.node.jobState.jobs.get('job-1')!;
  const { behind } = l.committed([{ job: first, attempt: 2, on: new Map([['vm-1', [0]]]) }]);
  checkLimits(l.sent.at(-1)!, state);
  assert.equal(l.sent.at(-1)!.then.length, 2);
  assert.equal(behind, false);
  assert.ok(l.node.jobState.jobs.get('job-1')!.placed.has(0));
});

// The rows of all groups were put into the head of a record that was full already: the value was too large, for ever.
test('the first record holds the rows also where the first ends are too many to stand beside them', () => {
  const state = { ...SETTINGS.state, valueBytes: 32_768, txnOps: 24 };
  const jobs = Array.from({ length: 200 }, (_, i) => {
    const base = fresh(`job-${i + 1}`);
    const tasks = i === 0 ? 10_000 : 2;
    const job = { ...base, spec: { ...base.spec, team: `team-${i}`, jobClass: `class-${i}`, tasks } };
    const placed = i === 0 ? 4500 : 1;
    for (let n = 0; n < placed; n++)
      job.placed.set(2 * n, { task: 2 * n, attempt: 1, machine: `vm-${n}`, since: 5 as Micros });
    return { ...job, attempt: 1 };
  });
  const l = leading([], state);
  for (const job of jobs) {
    l.node.jobState.jobs.set(job.spec.id, job);
    l.turn.registry.ends.set(job.spec.id, {
      done: new Set(job.placed.keys()),
      gone: new Set(),
      failed: new Set(),
    });
  }
  l.committed([]);
  const sent = l.sent.at(-1)!;
  checkLimits(sent, state);
  assert.ok(sent.then.length > 1);
  assert.equal(l.node.jobState.jobs.get('job-1')!.done.size, 4500);
});

test('a turn that has left something is followed without the pause for many machines, but not without its own cost', () => {
  assert.equal(cycleGapMs(2634, 20), 800);
  assert.equal(cycleGapMs(2634, 20, true), 250);
  assert.equal(cycleGapMs(2634, 200, true), 600);
});
