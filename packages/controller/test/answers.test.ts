/** Which reads an answer to a user rests on, where reads, commits and answers of one node overlap. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, now } from '@lilacvalve/runtime/micros';
import { Effect, Fiber, Logger } from 'effect';
import { userHandlers } from '../src/api/handlers.js';
import { DataLossDetector } from '../src/recovery/data-loss-detector.js';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob } from '../src/jobs/codec.js';
import { StoreWatcher } from '../src/jobs/store-watcher.js';
import { activeJobKey, INCARNATION, RECOVERED } from '../src/jobs/keys.js';
import { NO_HEADER } from '../src/jobs/model.js';
import type { Change, Changes } from '../src/state-store/client.js';
import type { StatePort } from '../src/state-store/port.js';
import { job } from './support/job.js';
import { TYPES, worldSettings } from './support/settings.js';

const ID = 'job-1';
const wire = (v: unknown): unknown => JSON.parse(JSON.stringify(v));

/** A leader whose view is as of revision 9, with one job of one task; each read of changes waits for its `answer`. */
const leader = async () => {
  const jobState = new JobState();
  const lossDetector = new DataLossDetector(now, () => null);
  const asked: ((c: Changes) => void)[] = [];
  const key = (k: string, value: unknown) => ({ key: k, value: wire(value), stamp: 1 });
  const entries = [
    key(`${INCARNATION}x`, { g: 0, t: 0, s: 0 }),
    key(RECOVERED, 'x'),
    { ...key(activeJobKey(ID), encodeJob(job(ID), 0)), stamp: 5 },
  ];
  const store = {
    page: (prefix: string) =>
      Effect.succeed({ entries: entries.filter((e) => e.key.startsWith(prefix)), more: false, revision: 9 }),
    get: (k: string) => Effect.succeed({ entry: entries.find((e) => e.key === k) ?? null, revision: null }),
    follow: () => Effect.async<Changes>((resume) => void asked.push((c) => resume(Effect.succeed(c)))),
  } as unknown as StatePort;
  const watcher = new StoreWatcher(jobState, store, now, () => true, lossDetector, 0 as Micros);
  const users = userHandlers({
    ...{ settings: worldSettings('n0'), store, watcher, jobState, lossDetector, clock: now, dayTime: now },
    ...{ mayBeNew: () => true, isDurable: () => true, isLeader: () => true, isVerified: () => true },
    evidenceStore: { replicate: () => Effect.void } as never,
    types: () => TYPES,
  });
  const run = <A>(e: Effect.Effect<A, unknown>): Fiber.RuntimeFiber<A, unknown> =>
    Effect.runFork(Effect.provide(e, Logger.remove(Logger.defaultLogger)));
  const answer = async (revision: number, changes: readonly Change[] = []): Promise<void> => {
    for (let i = 0; asked.length === 0; i++) {
      assert.ok(i < 400, 'a read must begin');
      await new Promise((go) => setTimeout(go, 5));
    }
    asked.shift()!({ tooOld: false, revision, changes });
  };
  const loading = run(watcher.refresh);
  // What changed while everything was read, and the final states among the last changes.
  await answer(9);
  await answer(9);
  await Effect.runPromise(Fiber.join(loading));
  assert.ok(watcher.loaded && lossDetector.incarnation !== null);
  return { jobState, watcher, users, run, answer, reads: () => asked.length };
};

/** The job's end, in a record of this node's own, and what the withdrawal before it left in the job's key. */
const END = { sequence: 1, revision: 11, head: NO_HEADER, jobs: new Map([[ID, { done: [0] }]]) };
const WITHDRAWN: Change = {
  key: activeJobKey(ID),
  value: wire(encodeJob({ ...job(ID), cancelled: true }, 0)),
  stamp: 10,
};

for (const [how, ask] of [
  ['question', (u: ReturnType<typeof userHandlers>) => u.poll(ID)],
  ['cancellation', (u: ReturnType<typeof userHandlers>) => u.cancel(ID)],
] as const)
  test(`a ${how} that meets an end of the node's own, and a withdrawal before it that is not read yet`, async () => {
    const n = await leader();
    const asking = n.run(ask(n.users));
    await new Promise((go) => setTimeout(go, 250));
    // The read is on its way, as of before the withdrawal; meanwhile the end is committed after that.
    n.watcher.noteOwnCommit(END.revision);
    n.jobState.appendLogEntry(END);
    await n.answer(9);
    const answers = setInterval(() => void (n.reads() > 0 && n.answer(11, [WITHDRAWN])), 20);
    const a = await Effect.runPromise(Fiber.join(asking));
    clearInterval(answers);
    assert.deepEqual(
      [a.status, (JSON.parse(a.body.toString()) as { status: string }).status],
      [200, 'aborted'],
    );
  });

test('an end of the own that nothing unread was before is said with no further read', async () => {
  const n = await leader();
  const asking = n.run(n.users.poll(ID));
  await new Promise((go) => setTimeout(go, 250));
  n.watcher.noteOwnCommit(10);
  n.jobState.appendLogEntry({ ...END, revision: 10 });
  await n.answer(9);
  const a = await Effect.runPromise(Fiber.join(asking));
  assert.equal((JSON.parse(a.body.toString()) as { status: string }).status, 'done');
  assert.equal(n.reads(), 0);
});
