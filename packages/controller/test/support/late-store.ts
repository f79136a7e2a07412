/** Test support: a simulated state service whose responses are lost or late, controllers that use it, and virtual time. */
import assert from 'node:assert/strict';
import { type Micros, micros } from '@lilacvalve/runtime/micros';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { Cause, Clock, Duration, Effect, Logger, Random, Scheduler } from 'effect';
import { Ledger } from '../../src/accounts/ledger.js';
import { userHandlers } from '../../src/api/handlers.js';
import { ClassSamples } from '../../src/calendar/class-samples.js';
import { DataLossDetector } from '../../src/recovery/data-loss-detector.js';
import { GuardedStore } from '../../src/recovery/guarded-store.js';
import { JobState } from '../../src/jobs/job-state.js';
import { encodeJob } from '../../src/jobs/codec.js';
import { StoreWatcher } from '../../src/jobs/store-watcher.js';
import { activeJobKey, INCARNATION, REBUILD, RECOVERED, TERM } from '../../src/jobs/keys.js';
import type { Job } from '../../src/jobs/model.js';
import type { RebuildContext } from '../../src/recovery/rebuild-context.js';
import type { JobEvidence } from '../../src/recovery/evidence-store.js';
import { LargestJobs } from '../../src/scheduler/largest-jobs.js';
import { StartWaits } from '../../src/scheduler/start-waits.js';
import type { CycleContext } from '../../src/scheduler/cycle-context.js';
import { WorkerRegistry } from '../../src/workers/worker-registry.js';
import {
  type Condition,
  Refused,
  Rejected,
  type StateFailure,
  type Write,
  wireTransaction,
} from '../../src/state-store/client.js';
import type { StatePort } from '../../src/state-store/port.js';
import { job } from './job.js';
import { RandomSource } from './random-source.js';
import { TYPES, worldSettings } from './settings.js';
import { transactionViolation } from './transaction-rules.js';

/** One second in microseconds. */
export const SECOND = 1e6;
export const withoutLogging = Logger.remove(Logger.defaultLogger);

/** Virtual time: runs fibers and timers in the order of their due times, one at a time. */
export class VirtualTime {
  /** The current time in microseconds. */
  now = 1e12;
  private order = 0;
  private due: { at: number; order: number; callback: () => void }[] = [];
  private readonly scheduler = new Scheduler.ControlledScheduler();
  /** Violated rules, and the causes of fibers that failed. */
  readonly faults: string[] = [];
  constructor(private readonly seed: number) {}
  readonly clock = (): Micros => micros(this.now);
  /** Calls `callback` after `delay` microseconds. Returns a function that cancels the call. */
  after(delay: number, callback: () => void): () => void {
    const event = { at: this.now + delay, order: this.order++, callback };
    this.due.push(event);
    return () => (this.due = this.due.filter((other) => other !== event));
  }
  /** Runs all events up to the time `until`. */
  run(until: number): void {
    for (;;) {
      while (this.scheduler.tasks.buckets.length > 0) this.scheduler.step();
      let next: (typeof this.due)[number] | undefined;
      for (const event of this.due)
        if (!next || event.at < next.at || (event.at === next.at && event.order < next.order)) next = event;
      if (!next || next.at > until) return;
      this.due = this.due.filter((event) => event !== next);
      this.now = next.at;
      next.callback();
    }
  }
  /** Adds the cause to `faults` if the effect fails. */
  readonly watched = (effect: Effect.Effect<unknown, unknown>): Effect.Effect<void> =>
    Effect.catchAllCause(Effect.asVoid(effect), (cause) =>
      Effect.sync(() => void (Cause.isInterruptedOnly(cause) || this.faults.push(Cause.pretty(cause)))),
    );
  /** Runs an effect in a fiber on virtual time, with a random source that depends on the seed. */
  fork(effect: Effect.Effect<unknown, unknown>): void {
    const millis = (): number => this.now / 1000;
    const clock: Clock.Clock = {
      [Clock.ClockTypeId]: Clock.ClockTypeId,
      unsafeCurrentTimeMillis: millis,
      unsafeCurrentTimeNanos: () => BigInt(Math.round(this.now)) * 1000n,
      currentTimeMillis: Effect.sync(millis),
      currentTimeNanos: Effect.sync(() => BigInt(Math.round(this.now)) * 1000n),
      sleep: (duration) =>
        Effect.async<void>((resume) => {
          const cancel = this.after(Duration.toMillis(duration) * 1000, () => resume(Effect.void));
          return Effect.sync(cancel);
        }),
    };
    Effect.runFork(
      this.watched(effect).pipe(
        Effect.withRandom(Random.make(`${this.seed}/${this.order}`)),
        Effect.withClock(clock),
        Effect.provide(withoutLogging),
      ),
      { scheduler: this.scheduler },
    );
  }
}

/**
 * A simulated state service. While `isFaulty` is set, some requests get no response, and transactions among them are
 * executed late.
 */
export class FakeStateService {
  revision = 0;
  readonly keys = new Map<string, { value: unknown; revision: number }>();
  private readonly log: { key: string; value: unknown; revision: number }[] = [];
  /** Numbers of late transactions by kind: those whose conditions held, and those whose conditions did not. */
  readonly lateOutcomes = new Map<string, [number, number]>();
  isFaulty = true;
  /** Whether reads get no response. */
  ignoresReads = false;
  /** The earliest revision after which changes can be read. */
  oldest = 0;
  /** Indexes of the controllers whose requests are refused with status 503. */
  readonly refused = new Set<number>();
  /** Whether a transaction with these writes is executed at once while its response is lost. */
  losesAnswerTo: (then: readonly Write[]) => boolean = () => false;
  /** Conditions and writes of all transactions that were ever sent. */
  readonly sent: [Condition[], Write[]][] = [];
  /** Executes all transactions that were ever sent once more, in their order. Returns the resulting content as JSON. */
  replayAll(): string {
    for (const [when, then] of this.sent) this.transact(when, then);
    return JSON.stringify(this.entries('s/').map((entry) => [entry.key, entry.value]));
  }
  /** The limits on a transaction. */
  limits = SETTINGS.state;
  /** Called with each key that a transaction has written, its value (undefined: deleted), and the sender's term. */
  onCommit: (key: string, value: unknown, term: number) => void = () => undefined;

  constructor(
    private readonly time: VirtualTime,
    private readonly random: RandomSource,
  ) {}

  /** Executes a transaction at once. `term`: the term that its sender acts for; `Infinity`: none. */
  transact(when: readonly Condition[], then: readonly Write[], term = Infinity) {
    const failed = when
      .filter((condition) => (this.keys.get(condition.key)?.revision ?? 0) !== condition.revision)
      .map((condition) => condition.key);
    if (failed.length > 0) return { ok: false as const, failed, revision: this.revision };
    this.revision++;
    for (const write of then) {
      const key = 'set' in write ? write.set : write.delete;
      const value: unknown = 'set' in write ? write.value : undefined;
      if (value === undefined && !this.keys.delete(key)) continue;
      if (value !== undefined) this.keys.set(key, { value, revision: this.revision });
      this.log.push({ key, value, revision: this.revision });
    }
    for (const write of then)
      this.onCommit(
        'set' in write ? write.set : write.delete,
        'set' in write ? write.value : undefined,
        term,
      );
    return { ok: true as const, revision: this.revision };
  }

  /**
   * Responds to a request of a controller with the result of `execute`, after a random delay. `faultProbability`: how often
   * the request fails instead, by a refusal or without a response; after the latter `executeLate` is called later.
   */
  private readonly respond = <A>(
    controller: number,
    execute: () => A,
    faultProbability = 0,
    executeLate: (() => void) | null = null,
  ) =>
    Effect.async<A, StateFailure>((resume) => {
      const { random, time } = this;
      const noResponse = new NoResponse({ reason: 'timeout' });
      if (this.refused.has(controller))
        time.after(2e3, () => resume(Effect.fail(new Refused({ status: 503, reason: 'trouble' }))));
      else if (faultProbability < 0.2 && this.ignoresReads) resume(Effect.fail(noResponse));
      else if (!this.isFaulty || !random.chance(faultProbability))
        time.after(random.between(1e3, random.chance(0.1) ? 0.9 * SECOND : 8e3), () =>
          resume(Effect.sync(execute)),
        );
      else if (random.chance(0.15)) resume(Effect.fail(new Refused({ status: 503, reason: 'trouble' })));
      else {
        time.after(1.2 * SECOND, () => resume(Effect.fail(noResponse)));
        if (executeLate)
          time.after(
            random.chance(0.3) ? random.between(1e3, SECOND) : random.between(2 * SECOND, 12 * SECOND),
            executeLate,
          );
      }
    });

  /** The client of one controller. `term`: the term that the controller acts for as leader; `Infinity`: none. */
  readonly port = (controller = 0, term = Infinity): StatePort => ({
    lastServed: 0,
    lastRefused: 0,
    leading: () => undefined,
    writeWait: () => micros(0),
    grant: () => Effect.succeed(1),
    extend: () => Effect.succeed(true),
    release: () => Effect.void,
    transact: (originalWhen, originalThen, _priority, timeoutMs) => {
      // Copied like a sent request: changes that the sender makes to its objects later have no effect on the request.
      const [when, then] = JSON.parse(JSON.stringify([originalWhen, originalThen])) as [Condition[], Write[]];
      const violation = transactionViolation(wireTransaction(when, then), this.limits);
      if (violation !== null) {
        this.time.faults.push(`transaction rejected: ${violation}`);
        return Effect.fail(new Rejected({ reason: violation }));
      }
      this.sent.push([when, then]);
      if (this.losesAnswerTo(then)) {
        this.transact(when, then, term);
        const noResponse = Effect.fail(new NoResponse({ reason: 'timeout' }));
        return Effect.zipRight(Effect.sleep(timeoutMs), noResponse);
      }
      const keyOf = (write: Write): string => ('set' in write ? write.set : write.delete);
      const kind = [
        ...new Set(then.map((write) => `${'set' in write ? '+' : '-'}${keyOf(write).slice(0, 6)}`)),
      ]
        .sort()
        .join();
      // Whether a copy that the sender has sent earlier is still on its way and is executed later.
      const hasLateCopy = this.isFaulty && keyOf(then[0]!) !== TERM && this.random.chance(0.1);
      return this.respond(
        controller,
        () => {
          if (hasLateCopy)
            this.time.after(
              this.random.between(2 * SECOND, 12 * SECOND),
              () => void this.transact(when, then, term),
            );
          return this.transact(when, then, term);
        },
        0.3,
        () => {
          const outcome = this.transact(when, then, term);
          const counts = this.lateOutcomes.get(kind) ?? [0, 0];
          counts[outcome.ok ? 0 : 1]++;
          this.lateOutcomes.set(kind, counts);
        },
      );
    },
    get: (key) =>
      this.respond(
        controller,
        () => {
          const stored = this.keys.get(key);
          return stored === undefined
            ? { entry: null, revision: this.revision }
            : { entry: { key, ...stored }, revision: null };
        },
        0.03,
      ),
    page: (prefix) =>
      this.respond(controller, () => ({
        entries: this.entries(prefix),
        more: false,
        revision: this.revision,
      })),
    follow: (prefix, after) =>
      this.respond(
        controller,
        () =>
          after < this.oldest
            ? { tooOld: true as const }
            : {
                tooOld: false as const,
                revision: this.revision,
                changes: this.log.filter(
                  (change) => change.revision > after && change.key.startsWith(prefix),
                ),
              },
        0.1,
      ),
  });

  /** The entries below a prefix in key order. */
  entries(prefix: string) {
    const keys = [...this.keys.keys()].filter((key) => key.startsWith(prefix)).sort();
    return keys.map((key) => ({ key, ...this.keys.get(key)! }));
  }
  /** The view that a controller which starts now would read. */
  view(): JobState {
    const jobState = new JobState();
    jobState.load(this.entries('s/'), this.revision);
    return jobState;
  }
}

/** The writes that begin the store's first incarnation. */
export const INITIAL_WRITES: Write[] = [
  { set: `${INCARNATION}x`, value: { g: 0, t: 0, s: 0 } },
  { set: RECOVERED, value: 'x' },
  { set: TERM, value: { term: 1, a: 0 } },
];
/** A value as it is after being sent or stored as JSON. */
export const wire = (value: unknown): unknown => JSON.parse(JSON.stringify(value));
export const SETTINGS = worldSettings('n0', { state: { rps: 1e6, writeRps: 1e6, valueBytes: 16384, txnOps: 8, maxLogEntries: 3 } }); // prettier-ignore
/** The body of a request that submits a job. */
export const submissionBody = (id: string, tasks: number): Buffer =>
  Buffer.from(
    JSON.stringify({
      ...{ id, jobClass: 'x', owner: 'red', shape: 'array', urgency: 'low', pieces: tasks, vcpus: 1 },
      ...{ accelerators: 0, memGb: 1, bundle: 'i', imageGb: 1, samePlace: false, scatter: false },
      ...{ borrowed: true, expectS: 5, saveEveryS: 0, saveTakesS: 0 },
    }),
  );

/** One controller: its view of the store, its handlers of users' requests, and the contexts of its terms as leader. */
export const newController = (
  time: VirtualTime,
  service: FakeStateService,
  index = 0,
  replicate: (evidence: JobEvidence) => Effect.Effect<void> = () => Effect.void,
) => {
  const jobState = new JobState();
  const lossDetector = new DataLossDetector(time.clock, () => null);
  const store = new GuardedStore(service.port(index), lossDetector, time.clock);
  const watcher = new StoreWatcher(jobState, store, time.clock, () => false, lossDetector, 0 as Micros);
  const users = userHandlers({
    ...{ settings: SETTINGS, store, watcher, jobState, lossDetector, clock: time.clock, dayTime: time.clock },
    ...{ mayBeNew: () => true, isDurable: () => true, isLeader: () => false, isVerified: () => true },
    evidenceStore: { replicate } as never,
    types: () => TYPES,
  });
  const leaderTerm = (term: number, revision: number): CycleContext => {
    const isCurrentTerm = (): boolean => jobState.term <= term;
    return {
      ...{ settings: SETTINGS, watcher, jobState, lossDetector, clock: time.clock, dayTime: time.clock },
      store: new GuardedStore(service.port(index, term), lossDetector, time.clock),
      registry: new WorkerRegistry(SETTINGS, jobState, term, time.clock()),
      ledger: new Ledger(),
      leaderTerm: { number: term, revision, began: time.clock() },
      mayAct: isCurrentTerm,
      isCurrentTerm,
      acknowledged: () => true,
      types: () => TYPES,
      mayStart: () => true,
      fleet: { news: null as never, listed: true },
      largestJobs: new LargestJobs(),
      classSamples: new ClassSamples(),
      coLocatedDemand: new Map(),
      startWaits: new StartWaits(),
    };
  };
  return { jobState, lossDetector, store, watcher, users, leaderTerm };
};

/** One controller that leads in term 1, and a state service without faults. `writes`: the store's further content. */
export const faultFreeController = (
  writes: readonly Write[] = [],
  replicate?: (evidence: JobEvidence) => Effect.Effect<void>,
) => {
  const time = new VirtualTime(1);
  const service = new FakeStateService(time, new RandomSource(1));
  service.isFaulty = false;
  service.transact([], wire([...INITIAL_WRITES, ...writes]) as Write[]);
  const node = newController(time, service, 0, replicate);
  /** Runs an effect for some seconds of virtual time, and fails if any rule is violated or any fiber fails. */
  const go = (effect: Effect.Effect<unknown, unknown>, durationS = 10): void => {
    time.fork(effect);
    time.run(time.now + durationS * SECOND);
    assert.deepEqual(time.faults, []);
  };
  go(node.watcher.refresh);
  return { time, service, node, go, turn: node.leaderTerm(1, 1) };
};
/** A job of three tasks without a key of its own; `overrides` replaces fields. */
export const newJob = (id: string, overrides: Partial<Job> = {}): Job => ({
  ...job(id, { tasks: 3 }),
  revision: 0,
  ...overrides,
});
/** The write of a job's own key. */
export const storedJob = (stored: Job): Write => ({
  set: activeJobKey(stored.spec.id),
  value: encodeJob(stored, stored.lastSequence),
});

/** Like `faultFreeController`, with a rebuild under way; also returns the context of the rebuild. */
export const rebuilding = (writes: readonly Write[] = []) => {
  const setup = faultFreeController([{ set: REBUILD, value: { phase: 'gather', heard: [] } }, ...writes]);
  const { node, turn, time } = setup;
  const noViews = {
    all: [],
    versions: () => [],
    finals: () => [],
    drop: () => undefined,
    clear: () => undefined,
  };
  const rebuildContext: RebuildContext = {
    ...{
      store: turn.store,
      watcher: node.watcher,
      jobState: node.jobState,
      lossDetector: node.lossDetector,
      leaderTerm: turn.leaderTerm,
    },
    ...{
      settings: { ...SETTINGS, peers: [] },
      clock: time.clock,
      isCurrentTerm: () => true,
      mayAct: () => true,
    },
    ...{
      preLossViews: noViews as never,
      evidenceStore: noViews as never,
      viewPort: { request: () => Effect.never } as never,
    },
  };
  return { ...setup, rebuildContext };
};
