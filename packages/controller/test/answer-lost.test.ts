/**
 * Lost responses: the store commits a transaction at once, but its sender gets no response, while other controllers already
 * read the change (docs/state.md, "What arrives late"). For each kind of transaction, the store's content and the sender's
 * responses to users must be the same as if the response had arrived.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { type Micros, micros } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import { encodeAccounts } from '../src/accounts/codec.js';
import { MINUTE, NO_ACCOUNTS } from '../src/accounts/model.js';
import { writePage } from '../src/accounts/maintenance.js';
import { publishCalendar } from '../src/calendar/publish.js';
import { calendarMaintenance } from '../src/calendar/cutoff-tracking.js';
import { makeCalendar } from '../src/calendar/model.js';
import { paginateCalendar } from '../src/calendar/calendars.js';
import {
  ACCOUNTS,
  ACTIVE_JOBS,
  CALENDAR_HEAD,
  CALENDAR_PAGE,
  QUIESCENT,
  FINAL_STATES,
  FOUNDED,
  INCARNATION,
  LARGEST_JOBS,
  LEADER,
  OCCURRENCE,
  LOG_ENTRIES,
  CLASS_DURATIONS,
  TERM,
  ORPHANED_JOB,
  orphanedJobKey,
} from '../src/jobs/keys.js';
import { Leadership } from '../src/leadership/leadership.js';
import { declareMilestone } from '../src/recovery/rebuild.js';
import { reconcileOrphanedJobs } from '../src/recovery/orphaned-jobs.js';
import type { JobEvidence } from '../src/recovery/evidence-store.js';
import { commit } from '../src/scheduler/commit.js';
import { runMaintenance } from '../src/scheduler/maintenance.js';
import { restoreSnapshot } from '../src/snapshots/restore.js';
import type { StateFailure, Write } from '../src/state-store/client.js';
import { hintWriter } from '../src/state-store/hint.js';
import type { StatePort } from '../src/state-store/port.js';
import { submissionBody, faultFreeController, newController, newJob, INITIAL_WRITES, storedJob, SECOND, FakeStateService, SETTINGS, VirtualTime } from './support/late-store.js'; // prettier-ignore
import { RandomSource } from './support/random-source.js';

/** The only controller of a run, which leads, with its store and its virtual time. */
type SingleController = ReturnType<typeof faultFreeController>;
/** Whether one of the writes sets a key below `prefix`. */
const setsKeyBelow =
  (prefix: string) =>
  (then: readonly Write[]): boolean =>
    then.some((write) => 'set' in write && write.set.startsWith(prefix));
/** Whether one of the writes deletes a key below `prefix`. */
const deletesKeyBelow =
  (prefix: string) =>
  (then: readonly Write[]): boolean =>
    then.some((write) => 'delete' in write && write.delete.startsWith(prefix));

/** One kind of transaction whose response is lost. */
interface LostResponseCase {
  readonly kind: string;
  /** Whether a transaction with these writes is of this kind. The response to the first one is lost. */
  readonly matches: (then: readonly Write[]) => boolean;
  /** Further keys that the store has at the beginning. */
  readonly initialWrites?: readonly Write[];
  /** Makes the controller send the transaction. The result is compared between the runs with and without a lost response. */
  readonly act: (single: SingleController) => Effect.Effect<unknown, unknown>;
  /** Prefix of the keys that are compared between the runs at the end. */
  readonly key: string;
  /** How often it is committed if its response is lost; 1 by default. Hints and milestones may be written twice. */
  readonly commits?: number;
}
const JOB = 'job-1';
const submission = { method: 'POST', path: '/work', headers: {}, body: submissionBody(JOB, 1) } as never;
/** Whether a response to a user reports success, and the job status in it. */
const outcomeOf = (response: Effect.Effect<{ status: number; body: string | Buffer }>) =>
  Effect.map(response, ({ status, body: responseBody }) => [
    status < 202,
    (JSON.parse(responseBody.toString()) as { status?: string }).status,
  ]);
/** Commits a start of the job's only task. */
const startTask = (single: SingleController) =>
  Effect.suspend(() =>
    commit(single.turn, [
      { job: single.node.jobState.jobs.get(JOB)!, attempt: 7, tasksByMachine: new Map([['m', [0]]]) },
    ]),
  );
/** Commits an exit of the job's only task. */
const exitTask = (single: SingleController, outcome: 'completed' | 'exited') =>
  Effect.suspend(() => {
    const exits = { completed: new Set<number>(), exited: new Set<number>(), failed: new Set<number>() };
    exits[outcome].add(0);
    single.turn.registry.exits.set(JOB, exits);
    return commit(single.turn, []);
  });
const singleTaskSpec = { ...newJob(JOB).spec, tasks: 1 };
const waitingJob = storedJob(newJob(JOB, { spec: singleTaskSpec }));
const repeat = (count: number, effect: Effect.Effect<unknown, unknown>) =>
  Effect.repeat(effect, { times: count - 1 }) as Effect.Effect<unknown, unknown>;
const minutes = (count: number): Micros => micros(count * MINUTE);
const [accounts] = encodeAccounts(
  {
    ...NO_ACCOUNTS,
    upTo: 5,
    closed: minutes(1),
    pending: [{ from: minutes(0), to: minutes(1), rows: new Map() }],
  },
  9000,
);
const calendar = makeCalendar(
  {
    ...{ version: 1, until: micros(2e12), notice: micros(0) },
    cutoffs: [
      { name: 'c', lead: micros(0), match: { teams: null, classes: null, shapes: null, urgencies: null } },
    ],
  },
  [{ id: 'c@1', cutoff: 0, at: micros(1.5e12) }],
);
const paged = paginateCalendar(calendar, SETTINGS.state.valueBytes);
const calendarKeys: Write[] = [
  ...paged.pages.map((page) => ({ set: page.key, value: page.value })),
  { set: CALENDAR_HEAD, value: paged.head },
];
const orphanedJob: Write = { set: orphanedJobKey(JOB), value: { since: 1e12, tasks: 3 } };
/** Repeats an operator's command once if it fails, as an operator would. */
const retryOnce = <A, E>(command: Effect.Effect<A, E>): Effect.Effect<A, E> =>
  Effect.retry(command, { times: 1 });
const snapshot = {
  ...{ incarnation: 'x', generation: 0, revision: 9 },
  entries: new Map(
    ['s/a/now', 's/j/a/job-1', 's/types'].map((name) => [name, { key: name, value: 1, revision: 1 }]),
  ),
} as never;

const lostResponseCases: readonly LostResponseCase[] = [
  {
    ...{ kind: 'submission', matches: setsKeyBelow(ACTIVE_JOBS), key: ACTIVE_JOBS },
    act: ({ node }) => outcomeOf(node.users.submit(submission)),
  },
  {
    ...{
      kind: 'cancellation',
      matches: setsKeyBelow(ACTIVE_JOBS),
      initialWrites: [waitingJob],
      key: ACTIVE_JOBS,
    },
    act: ({ node }) => outcomeOf(node.users.cancel(JOB)),
  },
  {
    ...{
      kind: 'cancellation of an orphaned job',
      matches: setsKeyBelow(FINAL_STATES),
      initialWrites: [orphanedJob],
      key: FINAL_STATES,
    },
    act: ({ node }) => outcomeOf(node.users.cancel(JOB)),
  },
  {
    ...{
      kind: 'log entry of a start',
      matches: setsKeyBelow(LOG_ENTRIES),
      initialWrites: [waitingJob],
      key: LOG_ENTRIES,
    },
    act: (single) => Effect.zipRight(startTask(single), Effect.sync(() => single.node.jobState.jobs.get(JOB)!.placed.get(0)?.attempt)), // prettier-ignore
  },
  {
    ...{ kind: 'log entry of an exit', initialWrites: [waitingJob], key: LOG_ENTRIES },
    matches: (then) => setsKeyBelow(LOG_ENTRIES)(then) && JSON.stringify(then).includes('"d":'),
    // The registry no longer keeps the exit, and users are told that the job is done.
    act: (single) =>
      Effect.zipRight(
        Effect.zipRight(startTask(single), exitTask(single, 'completed')),
        Effect.map(outcomeOf(single.node.users.poll(JOB)), (outcome) => [
          single.turn.registry.exits.size,
          outcome,
        ]),
      ),
  },
  {
    ...{
      kind: 'final state of a finished job',
      matches: setsKeyBelow(FINAL_STATES),
      initialWrites: [waitingJob],
      key: FINAL_STATES,
    },
    act: (single) =>
      Effect.zipRight(
        Effect.zipRight(startTask(single), exitTask(single, 'completed')),
        Effect.zipRight(repeat(3, runMaintenance(single.turn)), outcomeOf(single.node.users.poll(JOB))),
      ),
  },
  {
    ...{
      kind: 'final state of a job that is bound to an occurrence',
      matches: setsKeyBelow(OCCURRENCE),
      key: OCCURRENCE,
    },
    initialWrites: [
      ...calendarKeys,
      storedJob(newJob(JOB, { spec: { ...singleTaskSpec, cutoffBinding: 'c@1' }, cancelled: true })),
    ],
    act: (single) => repeat(3, runMaintenance(single.turn)),
  },
  {
    ...{
      kind: 'compaction with the first checkpoint of the accounts',
      matches: deletesKeyBelow(LOG_ENTRIES),
      initialWrites: [waitingJob],
      key: ACCOUNTS,
    },
    act: (single) =>
      Effect.gen(function* () {
        for (let i = 0; i < 5; i++) yield* i % 2 === 0 ? startTask(single) : exitTask(single, 'exited');
        yield* repeat(4, runMaintenance(single.turn));
        return [
          single.node.jobState.missingEntryKey(),
          single.service.view().missingEntryKey(),
          single.service.view().logTail.size,
        ];
      }),
  },
  {
    ...{ kind: 'page of the accounts', matches: setsKeyBelow('s/a/p/'), key: 's/a/p/' },
    initialWrites: [{ set: ACCOUNTS, value: accounts }],
    act: (single) =>
      repeat(2, Effect.zipRight(Effect.ignore(writePage(single.turn)), single.node.watcher.refresh)),
  },
  {
    ...{ kind: 'orphaned job', matches: setsKeyBelow(ORPHANED_JOB), key: ORPHANED_JOB },
    act: (single) => {
      single.turn.registry.unknownJobs.set(JOB, new Set(['0@m']));
      return Effect.zipRight(
        repeat(2, reconcileOrphanedJobs(single.turn)),
        outcomeOf(single.node.users.poll(JOB)),
      );
    },
  },
  {
    ...{ kind: 'milestone quiescent', matches: setsKeyBelow(QUIESCENT), key: QUIESCENT, commits: 2 },
    act: (single) => declareMilestone(single.turn as never, QUIESCENT),
  },
  {
    ...{ kind: 'calendar: page', matches: setsKeyBelow(CALENDAR_PAGE), key: CALENDAR_PAGE },
    act: ({ service }) =>
      Effect.map(
        retryOnce(publishCalendar(service.port(), SETTINGS.state, calendar)),
        (outcome) => outcome.ok,
      ),
  },
  {
    ...{ kind: 'calendar: head', matches: setsKeyBelow(CALENDAR_HEAD), key: CALENDAR_HEAD },
    act: ({ service }) =>
      Effect.map(
        retryOnce(publishCalendar(service.port(), SETTINGS.state, calendar)),
        (outcome) => outcome.ok,
      ),
  },
  {
    ...{
      kind: 'durations by job class',
      matches: setsKeyBelow(CLASS_DURATIONS),
      initialWrites: calendarKeys,
      key: CLASS_DURATIONS,
    },
    act: (single) => {
      single.turn.classSamples.ratios.set('x', [1, 2]);
      return repeat(2, calendarMaintenance(single.turn));
    },
  },
  {
    ...{
      kind: 'hint of the largest jobs',
      matches: setsKeyBelow(LARGEST_JOBS),
      key: LARGEST_JOBS,
      commits: 2,
    },
    act: (single) => {
      const write = hintWriter(single.turn.store, { key: TERM, revision: 1 }, LARGEST_JOBS);
      return repeat(3, write({ x: [[JOB, 3]] }));
    },
  },
];

/** Runs a case on a fresh store. `responsesArrive`: false if the response to the first matching transaction is lost. */
const runCase = (lostResponse: LostResponseCase, responsesArrive: boolean) => {
  const replicated: JobEvidence[] = [];
  const single = faultFreeController(lostResponse.initialWrites, (evidence) =>
    Effect.sync(() => void replicated.push(evidence)),
  );
  const { service, time, node } = single;
  const other = newController(time, service, 1);
  single.go(other.watcher.refresh);
  let commits = 0;
  const transact = service.transact.bind(service);
  service.transact = (when, then, by) => {
    const outcome = transact(when, then, by);
    if (outcome.ok && lostResponse.matches(then)) commits++;
    return outcome;
  };
  /** The responses of the other controller and of the sender to a poll while the sender waits for the lost response. */
  const polled: unknown[] = [];
  let lost = 0;
  service.losesAnswerTo = (then) => {
    if (responsesArrive || lost > 0 || !lostResponse.matches(then)) return false;
    lost++;
    const pollBoth = Effect.gen(function* () {
      const { revision } = service;
      for (const controller of [other, node])
        polled.push((yield* controller.users.poll(JOB)).body.toString());
      polled.push(other.jobState.revision >= revision);
    });
    time.after(1, () => time.fork(pollBoth));
    return true;
  };
  let result: unknown;
  single.go(
    Effect.map(lostResponse.act(single), (value) => (result = value)),
    60,
  );
  assert.equal(
    commits,
    responsesArrive ? 1 : (lostResponse.commits ?? 1),
    `${lostResponse.kind} was committed ${commits} times`,
  );
  assert.ok(!node.lossDetector.suspected, `${lostResponse.kind}: a data loss is suspected`);
  const store = service.entries(lostResponse.key).map((entry) => [entry.key, entry.value]);
  return { store, result, lost, polled, replicated: replicated.map((evidence) => evidence.id) };
};

for (const lostResponse of lostResponseCases)
  test(`a lost response changes neither the store nor the responses to users: ${lostResponse.kind}`, () => {
    const [expected, actual] = [runCase(lostResponse, true), runCase(lostResponse, false)];
    assert.equal(actual.lost, 1, 'no response was lost');
    assert.ok(expected.store.length > 0);
    assert.deepEqual(actual.store, expected.store);
    assert.deepEqual(actual.result, expected.result);
    const [otherPoll, ownPoll, otherHasRead] = actual.polled;
    assert.deepEqual(
      [ownPoll, otherHasRead],
      [otherPoll, true],
      "the sender's response is older than that of a controller that has read the change",
    );
    // A change by a user's request is replicated to the peers before the user gets a response.
    assert.deepEqual(actual.replicated, expected.replicated);
  });

test('a restore with a write that is committed without a response continues and completes', () => {
  const restores = [0, 1, 2].map((lostRequest) => {
    const time = new VirtualTime(1);
    const service = new FakeStateService(time, new RandomSource(1));
    service.isFaulty = false;
    let sent = 0;
    service.losesAnswerTo = () => ++sent === lostRequest;
    let result: unknown;
    const limits = { txnOps: 3, valueBytes: 9000 };
    time.fork(
      Effect.map(
        restoreSnapshot(snapshot, service.port(), limits, () => undefined),
        (value) => (result = value),
      ),
    );
    time.run(time.now + 30 * SECOND);
    return { result, store: service.entries('s/').map((entry) => entry.key) };
  });
  assert.deepEqual(restores[0]!.result, { ok: true, written: 3, resumed: false });
  for (const outcome of restores) assert.deepEqual(outcome, restores[0]);
});

/** Controllers that campaign for leadership, over a state service with leases. */
const makeElection = (initialWrites: readonly Write[], labels: readonly string[], seed = 3) => {
  const time = new VirtualTime(seed);
  const service = new FakeStateService(time, new RandomSource(seed));
  service.isFaulty = false;
  service.transact([], initialWrites);
  /** By lease: cancels the lease's expiry. */
  const leases = new Map<number, () => void>();
  let lastLease = 0;
  const endLease = (id: number): void => {
    leases.get(id)?.();
    leases.delete(id);
    const leader = service.keys.get(LEADER);
    if ((leader?.value as { lease?: number } | undefined)?.lease === id)
      service.transact([], [{ delete: LEADER }]);
  };
  const scheduleExpiry = (id: number, ttl: number): void => {
    leases.get(id)?.();
    leases.set(
      id,
      time.after(ttl, () => endLease(id)),
    );
  };
  /** How many responses to each kind of lease request are still to be lost; the requests are carried out. */
  const lostResponses = { grant: 0, extend: 0, release: 0 };
  const ttls = new Map<number, number>();
  const respond = <A>(request: keyof typeof lostResponses, response: A): Effect.Effect<A, StateFailure> => {
    if (lostResponses[request] === 0) return Effect.as(Effect.sleep(5), response);
    lostResponses[request]--;
    return Effect.zipRight(Effect.sleep(900), Effect.fail(new NoResponse({ reason: 'timeout' })));
  };
  const controllers = labels.map((label, index) => {
    const { jobState, lossDetector, store, watcher } = newController(time, service, index);
    const unguardedStore: StatePort = {
      ...service.port(index),
      grant: (ttl) =>
        Effect.suspend(
          () => (ttls.set(++lastLease, ttl), scheduleExpiry(lastLease, ttl), respond('grant', lastLease)),
        ),
      extend: (id) =>
        Effect.suspend(() => {
          const exists = leases.has(id);
          if (exists) scheduleExpiry(id, ttls.get(id)!);
          return respond('extend', exists);
        }),
      release: (id) => Effect.suspend(() => (endLease(id), respond('release', undefined))),
    };
    const port: StatePort = Object.assign(Object.create(store) as StatePort, {
      ...{ grant: unguardedStore.grant, extend: unguardedStore.extend, release: unguardedStore.release },
      transact: store.transact.bind(store),
    });
    const peers = {
      ...{ confirmedUntil: () => 0, highestTerm: () => 0, candidates: () => [], allAsked: () => true },
      unchangedSince: () => Number.NEGATIVE_INFINITY,
    };
    const contacts = { window: 1e12, recentCount: () => 0, cutOffReason: () => null, backoff: () => 0 };
    const leadership = new Leadership(
      ...([
        { ...SETTINGS, label },
        port,
        unguardedStore,
        lossDetector,
        () => undefined,
        watcher,
        jobState,
      ] as const),
      ...([peers as never, contacts as never, time.clock] as const),
    );
    return { leadership, jobState, watcher, lossDetector };
  });
  for (const { watcher } of controllers) time.fork(watcher.run);
  let until = time.now;
  const run = (seconds: number): void => {
    time.run((until += seconds * SECOND));
    assert.deepEqual(time.faults, []);
  };
  return { time, service, controllers, lostResponses, run };
};

test('a controller whose campaign is committed without a response takes up the leadership that it has won', () => {
  // With these seeds the controller reads its own campaign before the lease has expired.
  for (const seed of [3, 5, 7]) {
    const { time, service, controllers, run } = makeElection(INITIAL_WRITES, ['n0', 'n1'], seed);
    const [first, second] = controllers as [(typeof controllers)[0], (typeof controllers)[0]];
    let lost = 0;
    service.losesAnswerTo = (then) => lost === 0 && setsKeyBelow(LEADER)(then) && ++lost === 1;
    run(5);
    time.fork(first.leadership.run);
    for (let i = 0; i < 60 && second.jobState.leader === null; i++) run(0.05);
    assert.equal(lost, 1);
    // The other controller has read that the first one leads, which the first one does not know yet.
    assert.equal(second.jobState.leader?.node, 'n0');
    assert.equal(first.leadership.currentTermNumber(), null);
    time.fork(second.leadership.run);
    for (let i = 0; i < 30 && first.leadership.currentTermNumber() === null; i++) run(0.05);
    for (let i = 0; i < 400; i++) {
      run(0.05);
      assert.equal(first.leadership.currentTermNumber(), 2, `seed ${seed}, after ${i / 20} s`);
    }
    assert.equal(service.view().term, 2);
  }
});

test('a leader whose lease extension gets no response, once or twice in a row, keeps the leadership', () => {
  for (const lostExtensions of [1, 2]) {
    const { time, service, controllers, lostResponses, run } = makeElection(INITIAL_WRITES, ['n0', 'n1']);
    for (const { leadership } of controllers) time.fork(leadership.run);
    run(5);
    const leader = controllers.find((controller) => controller.leadership.currentTermNumber() === 2)!;
    lostResponses.extend = lostExtensions;
    let stepsWithoutLease = 0;
    for (let i = 0; i < 200; i++) {
      run(0.1);
      assert.ok(leader.leadership.isCurrent(2), `after ${i / 10} s`);
      if (leader.leadership.currentTermNumber() === null) stepsWithoutLease++;
    }
    assert.equal(lostResponses.extend, 0);
    assert.ok(
      stepsWithoutLease <= (lostExtensions === 1 ? 0 : 10),
      `without a valid lease for ${stepsWithoutLease / 10} s`,
    );
    assert.equal(service.view().term, 2);
  }
});

test('a lease release without a response and a lease grant without a response leave exactly one leader', () => {
  const { time, service, controllers, lostResponses, run } = makeElection(INITIAL_WRITES, ['n0', 'n1']);
  for (const { leadership } of controllers) time.fork(leadership.run);
  run(5);
  const leader = controllers.find((controller) => controller.leadership.currentTermNumber() !== null)!;
  Object.assign(lostResponses, { release: 1, grant: 1 });
  time.fork(leader.leadership.stepDown('handover', 0));
  run(0.05);
  assert.equal(leader.leadership.currentTermNumber(), null);
  run(8);
  assert.deepEqual(lostResponses, { grant: 0, extend: 0, release: 0 });
  assert.equal(
    controllers.filter((controller) => controller.leadership.currentTermNumber() === service.view().term)
      .length,
    1,
  );
});

test('a first incarnation and one after a data loss that are committed without a response are begun only once', () => {
  const first = makeElection([], ['n0', 'n1']);
  let lost = 0;
  first.service.losesAnswerTo = (then) => lost === 0 && setsKeyBelow(FOUNDED)(then) && ++lost === 1;
  for (const { leadership } of first.controllers)
    first.time.fork(Effect.ignore(leadership.foundStore).pipe(Effect.delay(500), Effect.forever));
  first.run(10);
  assert.equal(lost, 1);
  assert.equal(first.service.entries(INCARNATION).length, 1);

  const rebuilt = makeElection(INITIAL_WRITES, ['n0', 'n1']);
  const [controller] = rebuilt.controllers;
  rebuilt.run(5);
  lost = 0;
  rebuilt.service.losesAnswerTo = (then) => lost === 0 && setsKeyBelow(INCARNATION)(then) && ++lost === 1;
  const outcomes: string[] = [];
  const refound = Effect.either(controller!.leadership.refoundStore);
  rebuilt.time.fork(
    Effect.repeat(
      Effect.map(refound, (outcome) =>
        outcomes.push(outcome._tag === 'Left' ? outcome.left._tag : String(outcome.right)),
      ),
      { times: 1 },
    ),
  );
  rebuilt.run(5);
  // The second attempt finds the incarnation of the first one and does not begin another.
  assert.deepEqual(outcomes, ['NoResponse', 'false']);
  const incarnations = rebuilt.service.entries(INCARNATION);
  assert.equal(incarnations.length, 1);
  assert.equal((incarnations[0]!.value as { g: number }).g, 1);
});

test('an acceptance or cancellation whose response was lost is replicated to the peers before the user gets a response', () => {
  const replicated: JobEvidence[] = [];
  const single = faultFreeController([], (evidence) => Effect.sync(() => void replicated.push(evidence)));
  let lost = 0;
  single.service.losesAnswerTo = () => ++lost % 2 === 1;
  single.go(
    Effect.map(outcomeOf(single.node.users.submit(submission)), (outcome) =>
      assert.deepEqual(outcome, [true, 'pending']),
    ),
  );
  single.go(
    Effect.map(outcomeOf(single.node.users.cancel(JOB)), (outcome) =>
      assert.deepEqual(outcome, [true, 'aborted']),
    ),
  );
  const revision = single.service.keys.get(ACTIVE_JOBS + JOB)!.revision;
  assert.deepEqual(
    replicated.map((evidence) => [evidence.id, evidence.revision]),
    [
      [JOB, revision - 1],
      [JOB, revision],
    ],
  );
});
