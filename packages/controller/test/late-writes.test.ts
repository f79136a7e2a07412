/**
 * Transactions that get no response and are executed late, after newer transactions of the same controller (docs/state.md).
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, micros } from '@lilacvalve/runtime/micros';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { Effect } from 'effect';
import { encodeAccounts } from '../src/accounts/codec.js';
import { MINUTE, NO_ACCOUNTS } from '../src/accounts/model.js';
import { parsePages } from '../src/accounts/pages.js';
import { joinShares } from '../src/accounts/share.js';
import { writePage } from '../src/accounts/maintenance.js';
import { decodeFinalState, decodeLogEntry, encodeBundle } from '../src/jobs/codec.js';
import {
  ACCOUNTS,
  ACTIVE_JOBS,
  activeJobKey,
  jobUnchanged,
  FINAL_STATES,
  INCARNATION,
  REBUILD,
  LOG_ENTRIES,
  logEntryKey,
  TERM,
  orphanedJobKey,
} from '../src/jobs/keys.js';
import { GatheredViews } from '../src/recovery/gathered-views.js';
import { rebuild } from '../src/recovery/rebuild.js';
import { writeBack } from '../src/recovery/write-back.js';
import { commit } from '../src/scheduler/commit.js';
import { runMaintenance } from '../src/scheduler/maintenance.js';
import type { Start } from '../src/scheduler/model.js';
import type { CycleContext } from '../src/scheduler/cycle-context.js';
import { restoreSnapshot } from '../src/snapshots/restore.js';
import type { StatePort } from '../src/state-store/port.js';
import { job } from './support/job.js';
import { RandomSource } from './support/random-source.js';
import {
  submissionBody,
  faultFreeController,
  newController,
  newJob,
  INITIAL_WRITES,
  storedJob,
  rebuilding,
  SECOND,
  FakeStateService,
  SETTINGS,
  VirtualTime,
  wire,
} from './support/late-store.js';

/**
 * Simulates users and two controllers that lead alternately, on a faulty state service. Checks the rules with every commit
 * and with every response to a user; fails if one is violated. Returns the outcomes of the late transactions by kind.
 */
const simulate = (seed: number) => {
  const time = new VirtualTime(seed);
  const random = new RandomSource(seed);
  const service = new FakeStateService(time, random);
  const check = (holds: boolean, violation: string): void => {
    if (!holds) time.faults.push(`seed ${seed}, ${((time.now - 1e12) / SECOND).toFixed(1)} s: ${violation}`);
  };
  const sameNumbers = (a: Iterable<number>, b: Iterable<number>): boolean =>
    [...a].sort().join() === [...b].sort().join();

  // The expected state of each job, derived from the log entries without the controllers' code.
  const expected = new Map<string, { tasks: number; done: Set<number>; placed: Set<number> }>();
  /** Keys of log entries, and attempts of tasks, that have been used once. */
  const used = new Set<string>();
  /** Stored final states. */
  const finalStates = new Map<string, string>();
  /** The last status that a user has received, or the first final one, by job id. */
  const receivedStatus = new Map<string, string>();
  /** Jobs whose cancellation a user has requested. */
  const cancelRequested = new Set<string>();
  let commits = 0;
  /** Weighted number of responses to users while the state service refuses one controller or both. */
  let responsesInOutage = 0;
  let currentTerm = 0;
  /** Sequence number of the last log entry that has been deleted. */
  let lastCompacted = 0;
  const checkView = (): void => {
    const view = service.view();
    check(view.missingEntryKey() === null, 'a log entry is missing');
    check(view.checkpoint.upTo >= lastCompacted, `the accounts lack log entry ${lastCompacted}`);
    for (const id of view.jobs.keys()) check(!finalStates.has(id), `${id} is stored as unfinished again`);
    for (const [id, expectedJob] of expected) {
      const viewed = view.jobs.get(id);
      if (viewed === undefined) continue;
      check(sameNumbers(viewed.completed, expectedJob.done), `${id}: wrong completed tasks`);
      check(sameNumbers(viewed.placed.keys(), expectedJob.placed), `${id}: wrong placed tasks`);
    }
  };
  const expectedOf = (id: string) => {
    let expectedJob = expected.get(id);
    if (!expectedJob) expected.set(id, (expectedJob = { tasks: 0, done: new Set(), placed: new Set() }));
    return expectedJob;
  };
  service.onCommit = (key, value, term) => {
    if (key === TERM) currentTerm = (value as { term: number }).term;
    check(term >= currentTerm, `${key} is written by term ${term} in term ${currentTerm}`);
    if (value === undefined) {
      if (key.startsWith(LOG_ENTRIES))
        lastCompacted = Math.max(lastCompacted, Number(key.slice(LOG_ENTRIES.length)));
      return;
    }
    if (key.startsWith(ACTIVE_JOBS))
      check(!finalStates.has(key.slice(ACTIVE_JOBS.length)), `${key} is written after the job's final state`);
    if (key.startsWith(FINAL_STATES)) {
      const id = key.slice(FINAL_STATES.length);
      const { status } = decodeFinalState(value);
      check(
        (finalStates.get(id) ?? status) === status,
        `${key} changes from ${finalStates.get(id)} to ${status}`,
      );
      if (receivedStatus.get(id) === 'done')
        check(status === 'done', `${id}: its user received done, and it is stored as ${status}`);
      if (status === 'done')
        check(expectedOf(id).done.size === expectedOf(id).tasks, `${id} is stored as done and is incomplete`);
      else check(cancelRequested.has(id), `${id} is stored as cancelled without a request`);
      finalStates.set(id, status);
    }
    if (key.startsWith(LOG_ENTRIES)) {
      check(!used.has(key), `${key} is written for the second time`);
      used.add(key);
      for (const [id, change] of decodeLogEntry(Number(key.slice(LOG_ENTRIES.length)), value, 1).jobs) {
        const expectedJob = expectedOf(id);
        for (const task of change.completed ?? []) expectedJob.done.add(task);
        for (const task of [...(change.completed ?? []), ...(change.exited ?? [])])
          check(expectedJob.placed.delete(task), `${key}: ${id}/${task} exits without being placed`);
        for (const task of [...(change.start?.on.values() ?? [])].flat()) {
          const attempt = `${id}/${task}#${change.start!.attempt}`;
          check(!used.has(attempt) && !expectedJob.placed.has(task), `${attempt} is started twice`);
          check(
            !finalStates.has(id) && receivedStatus.get(id) !== 'aborted',
            `${attempt} is started after the job's end`,
          );
          used.add(attempt);
          expectedJob.placed.add(task);
        }
      }
    }
    if (++commits % 5 === 0) checkView();
  };

  // The store as a rebuild leaves it: some jobs in a bundle, their last log entries compacted and deleted.
  const bundledJobs = [1, 2, 3, 4, 5].map((number) => ({
    ...job(`job-9${number}`, { tasks: 3, submitted: time.clock() }),
    ...{ attempt: 4, completed: new Set([0]), lastSequence: 7 },
  }));
  for (const bundled of bundledJobs)
    expected.set(bundled.spec.id, { tasks: 3, done: new Set([0]), placed: new Set() });
  service.transact([], [...INITIAL_WRITES, { set: 's/p/1-000000', value: wire(encodeBundle(bundledJobs)) }]);

  const controllers = [newController(time, service, 0), newController(time, service, 1)];
  const anyController = () => controllers[random.int(2)]!;
  const sleepBetween = (minS: number, maxS: number) =>
    Effect.suspend(() => Effect.sleep(random.between(minS, maxS) * 1000));

  const user = (id: string, tasks: number) =>
    Effect.gen(function* () {
      /** Sends a request and checks the response. Returns the status; null: the request was refused. */
      const send = (handle: Effect.Effect<{ status: number; body: string | Buffer }>) =>
        Effect.gen(function* () {
          const previous = receivedStatus.get(id);
          const refusedControllers = service.refused.size;
          const response = yield* handle;
          if (previous !== undefined)
            check(
              response.status === 200 || response.status >= 429,
              `${id}: the response has status ${response.status}`,
            );
          if (response.status > 201) return null;
          const { status } = JSON.parse(response.body.toString()) as { status: string };
          const isFinal = (word: string | undefined): boolean => word === 'done' || word === 'aborted';
          // While the state service refuses both controllers, they may only report final states.
          if (refusedControllers === 2 && service.refused.size === 2)
            check(isFinal(status), `${id} is reported as ${status} in an outage`);
          responsesInOutage += refusedControllers;
          if (isFinal(previous)) check(status === previous, `${id}: ${status} is reported after ${previous}`);
          if (status === 'done')
            check(expectedOf(id).done.size === tasks, `${id} is reported as done and is incomplete`);
          if (!isFinal(receivedStatus.get(id))) receivedStatus.set(id, status);
          return status;
        });
      const request = {
        method: 'POST',
        path: '/work',
        headers: {},
        body: submissionBody(id, tasks),
      } as never;
      yield* sleepBetween(0, 40);
      while ((yield* send(anyController().users.submit(request) as never)) === null)
        yield* sleepBetween(0.1, 1);
      const cancelAt = random.chance(0.7) ? time.now + random.between(0, 15 * SECOND) : Infinity;
      for (const end = time.now + 80 * SECOND; time.now < end;) {
        yield* sleepBetween(0.2, 3);
        const controller = anyController();
        if (time.now > cancelAt) cancelRequested.add(id);
        if (cancelRequested.has(id) && random.chance(0.7)) yield* send(controller.users.cancel(id) as never);
        else if (random.chance(0.2)) yield* send(controller.users.submit(request) as never);
        else yield* send(controller.users.poll(id) as never);
      }
    });

  /** One term as leader: starts waiting tasks, lets running tasks exit, and runs the maintenance concurrently. */
  const lead = (context: CycleContext) =>
    Effect.gen(function* () {
      yield* Effect.fork(
        time.watched(
          runMaintenance(context).pipe(
            Effect.zipRight(sleepBetween(0.1, 0.4)),
            Effect.repeat({ while: () => context.isCurrentTerm() }),
          ),
        ),
      );
      while (context.isCurrentTerm()) {
        const starts: Start[] = [];
        for (const active of context.jobState.jobs.values()) {
          const exits = {
            completed: new Set<number>(),
            exited: new Set<number>(),
            failed: new Set<number>(),
          };
          for (const task of active.placed.keys())
            if (!context.registry.hasObservedExit(active.spec.id, task) && random.chance(0.25))
              exits[random.chance(active.cancelled ? 0.6 : 0.3) ? 'exited' : 'completed'].add(task);
          if (exits.completed.size + exits.exited.size > 0 && !context.registry.exits.has(active.spec.id))
            context.registry.exits.set(active.spec.id, exits);
          const startable = Array.from({ length: active.spec.tasks }, (_, task) => task).filter(
            (task) => !active.completed.has(task) && !active.placed.has(task) && random.chance(0.7),
          );
          if (!active.cancelled && startable.length > 0)
            starts.push({
              job: active,
              attempt: Math.max(context.jobState.attemptBase, active.attempt) + 1,
              tasksByMachine: new Map([['m', startable]]),
            });
        }
        yield* commit(context, starts);
        yield* sleepBetween(0.05, 0.5);
      }
    });
  /** Makes a random controller the leader of the next term, again and again. */
  const changeLeaders = Effect.gen(function* () {
    for (;;) {
      const controller = anyController();
      yield* Effect.ignore(controller.watcher.refresh);
      const [term, revision] = [controller.jobState.term + 1, controller.jobState.termRevision];
      const value = { term, a: controller.jobState.attemptBase + 256 };
      const result = yield* Effect.either(
        controller.store.transact([{ key: TERM, revision }], [{ set: TERM, value }], 0 as never, 1200),
      );
      if (result._tag === 'Left' || !result.right.ok) continue;
      while ((yield* Effect.isFailure(controller.watcher.refresh)) || controller.jobState.term < term)
        yield* sleepBetween(0.1, 0.2);
      if (controller.jobState.term === term)
        yield* Effect.fork(time.watched(lead(controller.leaderTerm(term, result.right.revision))));
      yield* sleepBetween(3, 20);
    }
  });
  time.fork(
    Effect.zipRight(
      Effect.forEach(controllers, (controller) =>
        controller.watcher.refresh.pipe(Effect.retry({ times: 9 })),
      ),
      changeLeaders,
    ),
  );
  for (let number = 0; number < 10; number++) {
    const id = `job-${number}`;
    expectedOf(id).tasks = 1 + random.int(3);
    time.fork(user(id, expectedOf(id).tasks));
  }
  for (const bundled of bundledJobs) time.fork(user(bundled.spec.id, 3));
  // The state service refuses one controller, then both for longer than a cancellation may take.
  time.after(30 * SECOND, () => service.refused.add(0));
  time.after(36 * SECOND, () => service.refused.add(1));
  time.after(36 * SECOND + SETTINGS.workers.cancel + 9 * SECOND, () => service.refused.clear());
  time.run(1e12 + 110 * SECOND);
  check(responsesInOutage > 0, 'no user got a response in the outage');
  service.isFaulty = false;
  time.run(1e12 + 170 * SECOND);
  checkView();
  for (const controller of controllers) check(!controller.lossDetector.suspected, 'a data loss is suspected');
  for (const id of expected.keys()) {
    check(finalStates.has(id), `${id} has not finished`);
    if (['done', 'aborted'].includes(receivedStatus.get(id)!))
      check(
        (receivedStatus.get(id) === 'done') === (finalStates.get(id) === 'done'),
        `${id}: its user received ${receivedStatus.get(id)}, and it is stored as ${finalStates.get(id)}`,
      );
  }
  assert.deepEqual(time.faults, []);
  return service.lateOutcomes;
};

test('a transaction executed late reverts no state, starts no task again and is applied only once', () => {
  const outcomes = new Map<string, [number, number]>();
  for (let seed = 1; seed <= 16; seed++)
    for (const [kind, [applied, rejected]] of simulate(seed)) {
      const counts = outcomes.get(kind) ?? [0, 0];
      outcomes.set(kind, [counts[0] + applied, counts[1] + rejected]);
    }
  // Of each kind of transaction, some were applied late, and some were rejected since their conditions no longer held.
  for (const kind of [
    '+s/j/a/',
    '+s/r/00',
    '+s/term',
    '+s/j/z/,-s/j/a/',
    '+s/a/no,+s/j/a/,-s/r/00',
    '-s/r/00',
  ])
    for (const count of outcomes.get(kind) ?? [0, 0])
      assert.ok(count > 0, `${kind}: ${outcomes.get(kind)?.join()}`);
});

// A log entry is conditional on the previous one, which the first one lacks. A copy of the first one arrived minutes late,
// after it had been compacted and deleted, and created it again. A controller that read the store then took the gap after
// it for a data loss.
test('copies of the first log entry and of the first compaction have no effect once others have followed', () => {
  const { service, node, go, turn } = faultFreeController([
    storedJob(newJob('job-1')),
    storedJob(newJob('job-2')),
  ]);
  for (const id of ['job-1', 'job-2']) {
    const exit = Effect.sync(() => turn.registry.exits.set(id, { completed: new Set(), exited: new Set([0]), failed: new Set() })); // prettier-ignore
    for (let cycle = 0; cycle < 6; cycle++) go(Effect.zipRight(exit, commit(turn, [])));
    service.transact([], [{ delete: activeJobKey(id) }]);
    go(node.watcher.refresh);
    for (let pass = 0; pass < 4; pass++) go(runMaintenance(turn));
  }
  assert.ok(service.keys.has(logEntryKey(12)) && !service.keys.has(logEntryKey(8)));
  const compaction = service.sent.find(([, then]) =>
    then.some((write) => 'set' in write && write.set === ACCOUNTS),
  )!;
  for (const [when, then] of [service.sent[0]!, compaction]) service.transact(when, then);
  assert.equal(service.view().missingEntryKey(), null);
  assert.ok(service.view().checkpoint.upTo >= 8);
});

// A compaction waits for the write budget, and then writes a job's key as it was before: cancelled, and with its last tasks
// still running.
test('a cancelled job whose last task completes while its key is being compacted stays cancelled', () => {
  const { service, node, go, turn } = faultFreeController([
    storedJob(newJob('job-1')),
    storedJob(newJob('job-2')),
  ]);
  const tasks = [...Array(3).keys()];
  go(
    commit(turn, [
      { job: node.jobState.jobs.get('job-1')!, attempt: 1, tasksByMachine: new Map([['m', tasks]]) },
    ]),
  );
  const recordExits = (id: string, done: number[], gone: number[]): void =>
    void turn.registry.exits.set(id, { completed: new Set(done), exited: new Set(gone), failed: new Set() });
  go(node.users.cancel('job-1'));
  assert.ok(node.jobState.jobs.get('job-1')!.cancelled);
  recordExits('job-1', [0], []);
  go(commit(turn, []));
  // Further log entries, until the one with the exit of job-1/0 is due for compaction.
  for (let cycle = 0; cycle < 4; cycle++) {
    recordExits('job-2', [], [0]);
    go(commit(turn, []));
  }
  const { port } = service;
  const slowStore: StatePort = {
    ...port(),
    transact: (...args) => Effect.zipRight(Effect.sleep(1000), port().transact(...args)),
  };
  const revisionBefore = service.keys.get(activeJobKey('job-1'))!.revision;
  recordExits('job-1', [1, 2], []);
  go(Effect.all([runMaintenance({ ...turn, store: slowStore }), commit(turn, [])], { concurrency: 2 }), 3);
  assert.ok(
    service.keys.get(activeJobKey('job-1'))!.revision > revisionBefore,
    'the compaction must have written the key of job-1',
  );
  for (const view of [node.jobState, service.view()]) {
    const viewed = view.jobs.get('job-1')!;
    assert.deepEqual([viewed.completed.size, viewed.cancelled], [3, true]);
  }
  go(runMaintenance(turn));
  assert.deepEqual(decodeFinalState(service.keys.get('s/j/z/job-1')!.value).status, 'cancelled');
});

test('a key that another writer has changed does not count as lost if the read that would show the change fails', () => {
  const { service, node, go, turn } = faultFreeController([storedJob(newJob('job-1'))]);
  service.transact([], [storedJob(newJob('job-1', { cancelled: true }))]);
  service.ignoresReads = true;
  go(
    commit(turn, [
      { job: node.jobState.jobs.get('job-1')!, attempt: 1, tasksByMachine: new Map([['m', [0]]]) },
    ]),
  );
  assert.ok(!node.lossDetector.suspected && service.entries(LOG_ENTRIES).length === 0);
});

// After a network partition of a minute, the watch and a shared read must both list the whole store. The slower of the two
// once reverted the view, while a watch request under way continued from the newer revision: the changes in between were
// never applied.
test('a view never goes back to an earlier revision, however long its reads take', () => {
  for (let seed = 1; seed <= 20; seed++) {
    const time = new VirtualTime(seed);
    const service = new FakeStateService(time, new RandomSource(seed));
    service.transact([], INITIAL_WRITES);
    const { jobState, watcher, lossDetector } = newController(time, service);
    let writes = 0;
    let lastRevision = -1;
    const write = (): void => {
      service.transact([], [storedJob(newJob(`job-${++writes}`))]);
      if (writes % 40 === 0) service.oldest = service.revision;
      if (writes === 210) {
        // Another incarnation begins and the controller resets its view, while a read of the old incarnation is under way.
        service.keys.clear();
        service.transact(
          [],
          [{ set: `${INCARNATION}y`, value: { g: 1, t: 0, s: 0 } }, ...INITIAL_WRITES.slice(1)],
        );
        jobState.clear();
        watcher.loaded = false;
        lossDetector.leaveIncarnation();
        lastRevision = -1;
      }
      if (jobState.revision < lastRevision)
        time.faults.push(`seed ${seed}: revision ${jobState.revision} after ${lastRevision}`);
      lastRevision = jobState.revision;
      if (writes < 400) time.after(0.05 * SECOND, write);
    };
    write();
    time.fork(watcher.run);
    time.fork(Effect.forever(Effect.ignore(watcher.refresh)));
    time.run(time.now + 40 * SECOND);
    assert.deepEqual(time.faults, []);
    assert.equal(jobState.jobs.size, service.entries(ACTIVE_JOBS).length, `seed ${seed}`);
  }
});

// During a rebuild, a job that no controller has reported so far may be submitted again before the only controller that
// remembers it responds.
test('an acceptance that is executed after a rebuild has found the job does not change the job', () => {
  const state = { attempt: 4, completed: new Set([0]), lastSequence: 7 };
  const known = newJob('job-1', state);
  const { service, node, go, turn } = faultFreeController([
    { set: 's/p/1-0', value: encodeBundle([known, newJob('job-2', { ...state, cancelled: true })]) },
  ]);
  service.transact([], [storedJob(newJob('job-1'))]);
  go(node.watcher.refresh);
  // The maintenance stores the final state of job-2, and writes the bundle without it.
  go(runMaintenance(turn));
  go(runMaintenance(turn));
  assert.equal(service.keys.has('s/j/z/job-2'), true);
  // A late cancellation of job-2, which had no key of its own, is rejected since its final state exists.
  assert.ok(!service.transact(jobUnchanged('job-2', 0), [storedJob(newJob('job-2'))]).ok);
  for (const view of [node.jobState, service.view()]) {
    const viewed = view.jobs.get('job-1')!;
    assert.deepEqual(
      [[...viewed.completed], viewed.attempt, viewed.revision],
      [[0], 4, service.keys.get(activeJobKey('job-1'))!.revision],
    );
  }
});

test('the transaction that ends a rebuild is not executed again later, when it would write outdated accounts', () => {
  const { service, go, rebuildContext } = rebuilding();
  const { port } = service;
  // The first transaction that ends the rebuild is executed, but its response is lost.
  let lostResponses = 0;
  const store: StatePort = {
    ...port(),
    transact: (when, then, ...rest) =>
      Effect.flatMap(port().transact(when, then, ...rest), (outcome) =>
        then.some((write) => 'delete' in write && write.delete === REBUILD) && lostResponses++ === 0
          ? Effect.fail(new NoResponse({ reason: 'timeout' }))
          : Effect.succeed(outcome),
      ),
  };
  go(rebuild({ ...rebuildContext, store }, new GatheredViews()), 20);
  assert.ok(lostResponses > 0 && !service.keys.has(REBUILD));
  service.transact([], [{ set: 's/a/now', value: 'newer' }]);
  service.replayAll();
  assert.equal(service.keys.get('s/a/now')!.value, 'newer');
});

// A cancellation that was requested while the job was orphaned is conditional on the job's own key.
test('a job found while it was orphaned is restored to a key of its own, not to a bundle', () => {
  const { service, go, rebuildContext } = rebuilding([
    { set: orphanedJobKey('job-1'), value: { since: 0, tasks: 3 } },
  ]);
  const gathered = new GatheredViews();
  const job = newJob('job-1', { attempt: 4, completed: new Set([0]), lastSequence: 7 });
  gathered.add('n1', {
    headers: [],
    finals: [],
    calendar: null,
    next: null,
    versions: [{ generation: 0, revision: 9, job }],
  });
  go(writeBack(rebuildContext, gathered, false));
  assert.ok(service.keys.has(activeJobKey('job-1')) && !service.keys.has(orphanedJobKey('job-1')));
});

test('the shares of a period are in one page of the accounts, even if the response to its writing is lost', () => {
  const minute = (number: number): Micros => micros(number * MINUTE);
  const pending = [1, 2].map((number) => ({
    from: minute(number - 1),
    to: minute(number),
    rows: new Map(),
  }));
  const [value] = encodeAccounts({ ...NO_ACCOUNTS, upTo: 5, closed: minute(2), pending }, 9000);
  const { service, node, go, turn } = faultFreeController([{ set: 's/a/now', value }]);
  const shares = joinShares([['red', 'x', 7, 1, 0, 1]]);
  for (const period of pending) turn.ledger.closing.set(period.to, { open: new Map(), shares });
  const noResponse = Effect.fail(new NoResponse({ reason: 'timeout' }));
  const losingStore = { ...service.port(), transact: (...args: Parameters<StatePort['transact']>) => Effect.zipRight(service.port().transact(...args), noResponse) } as StatePort; // prettier-ignore
  go(writePage({ ...turn, store: losingStore }).pipe(Effect.ignore, Effect.zipRight(node.watcher.refresh)));
  go(writePage(turn));
  const pages = parsePages(service.entries('s/a/p/'));
  assert.deepEqual(pages.map((stored) => [stored.page.to, ...stored.page.shares.values()].slice(0, 2)), pending.map((period) => [period.to, ...shares.values()])); // prettier-ignore
});

test('late copies of the transactions of a completed restore have no effect', () => {
  const time = new VirtualTime(1);
  const service = new FakeStateService(time, new RandomSource(1));
  service.isFaulty = false;
  const entries = new Map(
    ['s/a/now', 's/j/a/job-1', 's/types'].map((key) => [key, { key, value: 1, revision: 1 }]),
  );
  const content = { incarnation: 'x', generation: 0, revision: 9, entries } as never;
  time.fork(restoreSnapshot(content, service.port(), { txnOps: 3, valueBytes: 9000 }, () => undefined));
  time.run(time.now + 10 * SECOND);
  assert.equal(service.entries(INCARNATION).length, 1);
  service.transact([], [{ set: 's/a/now', value: 2 }]);
  const contentBefore = JSON.stringify(service.entries('s/').map((entry) => [entry.key, entry.value]));
  assert.equal(service.replayAll(), contentBefore);
});
