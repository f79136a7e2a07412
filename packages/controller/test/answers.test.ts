/**
 * Which reads of the store a response to a user is based on when reads, commits and responses of one controller
 * overlap.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, monotonicNow } from '@lilacvalve/runtime/micros';
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

const JOB_ID = 'job-1';
const toWire = (value: unknown): unknown => JSON.parse(JSON.stringify(value));

/**
 * Starts a leader whose view is at revision 9 and holds one job with one task. Each read of changes waits for
 * `answerRead`.
 */
const startLeader = async () => {
  const jobState = new JobState();
  const lossDetector = new DataLossDetector(monotonicNow, () => null);
  const pendingReads: ((changes: Changes) => void)[] = [];
  const storedValue = (key: string, value: unknown) => ({ key, value: toWire(value), revision: 1 });
  const entries = [
    storedValue(`${INCARNATION}x`, { g: 0, t: 0, s: 0 }),
    storedValue(RECOVERED, 'x'),
    { ...storedValue(activeJobKey(JOB_ID), encodeJob(job(JOB_ID), 0)), revision: 5 },
  ];
  const store = {
    page: (prefix: string) =>
      Effect.succeed({
        entries: entries.filter((entry) => entry.key.startsWith(prefix)),
        more: false,
        revision: 9,
      }),
    get: (key: string) =>
      Effect.succeed({ entry: entries.find((entry) => entry.key === key) ?? null, revision: null }),
    follow: () =>
      Effect.async<Changes>((resume) => void pendingReads.push((changes) => resume(Effect.succeed(changes)))),
  } as unknown as StatePort;
  const watcher = new StoreWatcher(jobState, store, monotonicNow, () => true, lossDetector, 0 as Micros);
  const users = userHandlers({
    ...{
      settings: worldSettings('n0'),
      store,
      watcher,
      jobState,
      lossDetector,
      clock: monotonicNow,
      dayTime: monotonicNow,
    },
    ...{ mayBeNew: () => true, isDurable: () => true, isLeader: () => true, isVerified: () => true },
    evidenceStore: { replicate: () => Effect.void } as never,
    types: () => TYPES,
  });
  const run = <A>(effect: Effect.Effect<A, unknown>): Fiber.RuntimeFiber<A, unknown> =>
    Effect.runFork(Effect.provide(effect, Logger.remove(Logger.defaultLogger)));
  const answerRead = async (revision: number, changes: readonly Change[] = []): Promise<void> => {
    for (let attempt = 0; pendingReads.length === 0; attempt++) {
      assert.ok(attempt < 400, 'expected a read of changes to begin within 2 s');
      await new Promise((resolve) => setTimeout(resolve, 5));
    }
    pendingReads.shift()!({ tooOld: false, revision, changes });
  };
  const loading = run(watcher.refresh);
  // The changes during the initial load, and the final states among the latest changes.
  await answerRead(9);
  await answerRead(9);
  await Effect.runPromise(Fiber.join(loading));
  assert.ok(watcher.loaded && lossDetector.incarnation !== null);
  return { jobState, watcher, users, run, answerRead, reads: () => pendingReads.length };
};

/**
 * The job's completion in a log entry of this controller, and the job's key as an earlier cancellation left it.
 */
const COMPLETION = {
  sequence: 1,
  revision: 11,
  head: NO_HEADER,
  jobs: new Map([[JOB_ID, { completed: [0] }]]),
};
const CANCELLATION: Change = {
  key: activeJobKey(JOB_ID),
  value: toWire(encodeJob({ ...job(JOB_ID), cancelled: true }, 0)),
  revision: 10,
};

for (const [operation, send] of [
  ['poll', (users: ReturnType<typeof userHandlers>) => users.poll(JOB_ID)],
  ['cancellation', (users: ReturnType<typeof userHandlers>) => users.cancel(JOB_ID)],
] as const)
  test(`a ${operation} after the controller's own completion reports an earlier, unread cancellation`, async () => {
    const leader = await startLeader();
    const request = leader.run(send(leader.users));
    await new Promise((resolve) => setTimeout(resolve, 250));
    // The pending read reflects the state before the cancellation; the completion is committed meanwhile, after
    // the cancellation.
    leader.watcher.noteOwnCommit(COMPLETION.revision);
    leader.jobState.appendLogEntry(COMPLETION);
    await leader.answerRead(9);
    const readTimer = setInterval(
      () => void (leader.reads() > 0 && leader.answerRead(11, [CANCELLATION])),
      20,
    );
    const response = await Effect.runPromise(Fiber.join(request));
    clearInterval(readTimer);
    assert.deepEqual(
      [response.status, (JSON.parse(response.body.toString()) as { status: string }).status],
      [200, 'aborted'],
    );
  });

test('a completion of the controller is reported without a further read if nothing before it is unread', async () => {
  const leader = await startLeader();
  const request = leader.run(leader.users.poll(JOB_ID));
  await new Promise((resolve) => setTimeout(resolve, 250));
  leader.watcher.noteOwnCommit(10);
  leader.jobState.appendLogEntry({ ...COMPLETION, revision: 10 });
  await leader.answerRead(9);
  const response = await Effect.runPromise(Fiber.join(request));
  assert.equal((JSON.parse(response.body.toString()) as { status: string }).status, 'done');
  assert.equal(leader.reads(), 0);
});
