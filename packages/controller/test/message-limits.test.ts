/** Messages to and from workers and users stay within 64 KiB. */
import assert from 'node:assert/strict';
import { Buffer } from 'node:buffer';
import { test } from 'node:test';
import type { Micros } from '@lilacvalve/runtime/micros';
import { Either } from 'effect';
import { readSubmission } from '../src/jobs/submission-codec.js';
import { JobState } from '../src/jobs/job-state.js';
import type { Job } from '../src/jobs/model.js';
import { encodeOrders, type Heartbeat, type ReportedTask } from '../src/workers/codec.js';
import { MAX_TASKS_PER_MACHINE } from '../src/workers/message-limits.js';
import { WorkerRegistry } from '../src/workers/worker-registry.js';
import { job } from './support/job.js';
import { worldSettings } from './support/settings.js';

const MAX_BYTES = 64 * 1024;
const LONG_ID = `job-${'9'.repeat(32)}`;

/** A job of many tiny tasks, `count` of them placed on the machine `m`. */
const tinyTasks = (id: string, count: number): Job => {
  const tiny = job(id, { tasks: 100_000, cpus: 0.02, memGb: 0.01 });
  for (let i = 0; i < count; i++) {
    const task = 99_999 - i;
    tiny.placed.set(task, { task, attempt: 1_234_567_890, machine: 'm', since: 0 as Micros });
  }
  return { ...tiny, attempt: 1_234_567_890 };
};

const heartbeat = (sequence: number, tasks: readonly ReportedTask[]): Heartbeat => ({
  machine: 'm',
  addr: '10.1.0.232:9000',
  type: 'c8',
  zone: 'a',
  spot: false,
  incarnation: 1,
  sequence,
  fencingToken: 1,
  recall: null,
  tasks,
});

/** The body of the heartbeat that a worker with these tasks sends. */
const bodyOf = (tasks: readonly ReportedTask[]): string =>
  JSON.stringify({
    ...{ host: 'vm-000231', addr: '10.1.0.232:9000', hostKind: 'voice-node', room: 'ramses-hall' },
    ...{ borrowed: true, tenure: 10_000, tick: 1_000_000, warrant: 1e15, recallS: 123.456 },
    pieces: tasks.map(({ key, attempt }) => ({
      ...{ piece: key, try: attempt, status: 'ended', cause: 'stopped', stored: true },
    })),
  });

// 1,600 tasks of 0.02 CPUs were placed on one machine: the response that started them had a line of 84 KB, and the worker's
// heartbeats were too large for every controller, so that its lease expired with all its tasks, again and again.
test('a worker is never started more tasks than its heartbeats can list, and no response is too long', () => {
  const jobState = new JobState();
  const tiny = tinyTasks(LONG_ID, 1600);
  jobState.jobs.set(LONG_ID, tiny);
  const registry = new WorkerRegistry(worldSettings('n0'), jobState, 1, 0 as Micros);
  let held: ReportedTask[] = [];
  let longest = 0;
  for (let sequence = 1; sequence <= 12; sequence++) {
    const machine = registry.applyHeartbeat(heartbeat(sequence, [...held]), (sequence * 1e6) as Micros)!;
    const orders = registry.ordersFor(machine);
    longest = Math.max(longest, Buffer.byteLength(encodeOrders(1e15, orders)));
    for (const { op, key, attempt } of orders)
      if (op === 'start') held.push({ key, attempt, status: 'running', cause: null, saved: false });
      else held = held.filter((task) => task.key !== key);
    assert.ok(Buffer.byteLength(bodyOf(held)) <= MAX_BYTES, `${held.length} tasks are on the worker`);
    if (sequence === 6) {
      // Most tasks have exited and are recorded: they are forgotten, and others are started in their place.
      const exited = new Set(held.slice(0, 400).map(({ key }) => key));
      for (const key of exited) tiny.placed.delete(Number(key.slice(key.indexOf('/') + 1)));
      jobState.dropPlacementIndex();
      held = held.map((task) => (exited.has(task.key) ? { ...task, status: 'exited', cause: 'done' } : task));
    }
  }
  assert.ok(longest <= MAX_BYTES, `a response has ${longest} bytes`);
  assert.ok(MAX_TASKS_PER_MACHINE >= 500);
  assert.ok(held.length > 400 && held.every((task) => task.status === 'running'), `${held.length} tasks`);
});

test('the reason why a submission is malformed is short, whatever it quotes', () => {
  const body = { id: 'job-1', jobClass: 'x', owner: 'red', shape: '"'.repeat(30_000) };
  const reason = Either.getOrThrow(Either.flip(readSubmission(body, 0 as Micros)));
  assert.match(reason, /^shape: /);
  assert.ok(Buffer.byteLength(JSON.stringify({ error: reason })) < 2000);
});
