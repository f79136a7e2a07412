/** A state service on virtual time that loses answers or is late, and a controller's parts before it. */
import assert from 'node:assert/strict';
import { type Micros, micros } from '@lilacvalve/runtime/micros';
import { NoAnswer } from '@lilacvalve/runtime/http-client';
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
import { type Condition, Refused, type StateFailure, type Write } from '../../src/state-store/client.js';
import type { StatePort } from '../../src/state-store/port.js';
import { job } from './job.js';
import { Luck } from './random-source.js';
import { TYPES, worldSettings } from './settings.js';

export const S = 1e6;
export const silent = Logger.remove(Logger.defaultLogger);

/** Virtual time, and one event after another. */
export class VirtualTime {
  now = 1e12;
  private order = 0;
  private due: { at: number; order: number; go: () => void }[] = [];
  private readonly scheduler = new Scheduler.ControlledScheduler();
  /** Rules that did not hold, and fibers that ended by a defect. */
  readonly faults: string[] = [];
  constructor(private readonly seed: number) {}
  readonly clock = (): Micros => micros(this.now);
  after(delay: number, go: () => void): () => void {
    const e = { at: this.now + delay, order: this.order++, go };
    this.due.push(e);
    return () => (this.due = this.due.filter((x) => x !== e));
  }
  run(until: number): void {
    for (;;) {
      while (this.scheduler.tasks.buckets.length > 0) this.scheduler.step();
      let next: (typeof this.due)[number] | undefined;
      for (const e of this.due)
        if (!next || e.at < next.at || (e.at === next.at && e.order < next.order)) next = e;
      if (!next || next.at > until) return;
      this.due = this.due.filter((x) => x !== next);
      this.now = next.at;
      next.go();
    }
  }
  readonly watched = (what: Effect.Effect<unknown, unknown>): Effect.Effect<void> =>
    Effect.catchAllCause(Effect.asVoid(what), (c) =>
      Effect.sync(() => void (Cause.isInterruptedOnly(c) || this.faults.push(Cause.pretty(c)))),
    );
  fork(what: Effect.Effect<unknown, unknown>): void {
    const millis = (): number => this.now / 1000;
    const clock: Clock.Clock = {
      [Clock.ClockTypeId]: Clock.ClockTypeId,
      unsafeCurrentTimeMillis: millis,
      unsafeCurrentTimeNanos: () => BigInt(Math.round(this.now)) * 1000n,
      currentTimeMillis: Effect.sync(millis),
      currentTimeNanos: Effect.sync(() => BigInt(Math.round(this.now)) * 1000n),
      sleep: (d) =>
        Effect.async<void>((resume) => {
          const cancel = this.after(Duration.toMillis(d) * 1000, () => resume(Effect.void));
          return Effect.sync(cancel);
        }),
    };
    Effect.runFork(
      this.watched(what).pipe(
        Effect.withRandom(Random.make(`${this.seed}/${this.order}`)),
        Effect.withClock(clock),
        Effect.provide(silent),
      ),
      { scheduler: this.scheduler },
    );
  }
}

/** The state service as far as transactions go: of a share of them nothing is heard, and they are carried out late. */
export class Service {
  revision = 0;
  readonly keys = new Map<string, { value: unknown; stamp: number }>();
  private readonly log: { key: string; value: unknown; stamp: number }[] = [];
  /** Of the late ones, by kind: how many found their conditions true, and how many did not. */
  readonly lateOutcomes = new Map<string, [number, number]>();
  isFaulty = true;
  /** Reads get no answer; reads of changes before this revision are refused. */
  ignoresReads = false;
  oldest = 0;
  /** Controllers that get 503. */
  readonly refused = new Set<number>();
  /** Whether this change is carried out at once and nothing is heard of it. */
  losesAnswerTo: (then: readonly Write[]) => boolean = () => false;
  /** All that was ever sent. */
  readonly sent: [Condition[], Write[]][] = [];
  /** Carries out whatever was sent once more, the latest last; what the store has then. */
  replayAll(): string {
    for (const [when, then] of this.sent) this.transact(when, then);
    return JSON.stringify(this.entries('s/').map((e) => [e.key, e.value]));
  }
  onCommit: (key: string, value: unknown, by: number) => void = () => undefined;

  constructor(
    private readonly time: VirtualTime,
    private readonly luck: Luck,
  ) {}

  /** `by`: the term that the sender acts for. */
  transact(when: readonly Condition[], then: readonly Write[], by = Infinity) {
    const failed = when.filter((c) => (this.keys.get(c.key)?.stamp ?? 0) !== c.stamp).map((c) => c.key);
    if (failed.length > 0) return { ok: false as const, failed, revision: this.revision };
    this.revision++;
    for (const w of then) {
      const key = 'set' in w ? w.set : w.delete;
      const value: unknown = 'set' in w ? w.value : undefined;
      if (value === undefined && !this.keys.delete(key)) continue;
      if (value !== undefined) this.keys.set(key, { value, stamp: this.revision });
      this.log.push({ key, value, stamp: this.revision });
    }
    for (const w of then) this.onCommit('set' in w ? w.set : w.delete, 'set' in w ? w.value : undefined, by);
    return { ok: true as const, revision: this.revision };
  }

  private readonly ask = <A>(who: number, go: () => A, share = 0, late: (() => void) | null = null) =>
    Effect.async<A, StateFailure>((resume) => {
      const { luck, time } = this;
      const lost = new NoAnswer({ reason: 'timeout' });
      if (this.refused.has(who))
        time.after(2e3, () => resume(Effect.fail(new Refused({ status: 503, reason: 'trouble' }))));
      else if (share < 0.2 && this.ignoresReads) resume(Effect.fail(lost));
      else if (!this.isFaulty || !luck.chance(share))
        time.after(luck.between(1e3, luck.chance(0.1) ? 0.9 * S : 8e3), () => resume(Effect.sync(go)));
      else if (luck.chance(0.15)) resume(Effect.fail(new Refused({ status: 503, reason: 'trouble' })));
      else {
        time.after(1.2 * S, () => resume(Effect.fail(lost)));
        if (late) time.after(luck.chance(0.3) ? luck.between(1e3, S) : luck.between(2 * S, 12 * S), late);
      }
    });

  readonly port = (who = 0, by = Infinity): StatePort => ({
    lastServed: 0,
    lastRefused: 0,
    leading: () => undefined,
    writeWait: () => micros(0),
    grant: () => Effect.succeed(1),
    extend: () => Effect.succeed(true),
    release: () => Effect.void,
    transact: (when, then, _priority, limitMs) => {
      // As bytes: what the sender goes on to change does not change the request.
      const [w, t] = JSON.parse(JSON.stringify([when, then])) as [Condition[], Write[]];
      this.sent.push([w, t]);
      if (this.losesAnswerTo(t)) {
        this.transact(w, t, by);
        const lost = Effect.fail(new NoAnswer({ reason: 'timeout' }));
        return Effect.zipRight(Effect.sleep(limitMs), lost);
      }
      const key = (x: Write): string => ('set' in x ? x.set : x.delete);
      const kind = [...new Set(t.map((x) => `${'set' in x ? '+' : '-'}${key(x).slice(0, 6)}`))].sort().join();
      // Its sender may have sent it before, and that copy is still on its way.
      const before = this.isFaulty && key(t[0]!) !== TERM && this.luck.chance(0.1);
      return this.ask(
        who,
        () => {
          if (before) this.time.after(this.luck.between(2 * S, 12 * S), () => void this.transact(w, t, by));
          return this.transact(w, t, by);
        },
        0.3,
        () => {
          const o = this.transact(w, t, by);
          const n = this.lateOutcomes.get(kind) ?? [0, 0];
          n[o.ok ? 0 : 1]++;
          this.lateOutcomes.set(kind, n);
        },
      );
    },
    get: (key) =>
      this.ask(
        who,
        () => {
          const e = this.keys.get(key);
          return e === undefined
            ? { entry: null, revision: this.revision }
            : { entry: { key, ...e }, revision: null };
        },
        0.03,
      ),
    page: (prefix) =>
      this.ask(who, () => ({ entries: this.entries(prefix), more: false, revision: this.revision })),
    follow: (prefix, after) =>
      this.ask(
        who,
        () =>
          after < this.oldest
            ? { tooOld: true as const }
            : {
                tooOld: false as const,
                revision: this.revision,
                changes: this.log.filter((c) => c.stamp > after && c.key.startsWith(prefix)),
              },
        0.1,
      ),
  });

  entries(prefix: string) {
    const keys = [...this.keys.keys()].filter((k) => k.startsWith(prefix)).sort();
    return keys.map((key) => ({ key, ...this.keys.get(key)! }));
  }
  /** What a node that begins now would see. */
  view(): JobState {
    const c = new JobState();
    c.load(this.entries('s/'), this.revision);
    return c;
  }
}

export const HEAD: Write[] = [
  { set: `${INCARNATION}x`, value: { g: 0, t: 0, s: 0 } },
  { set: RECOVERED, value: 'x' },
  { set: TERM, value: { term: 1, a: 0 } },
];
export const wire = (v: unknown): unknown => JSON.parse(JSON.stringify(v));
export const SETTINGS = worldSettings('n0', { state: { rps: 1e6, writeRps: 1e6, valueBytes: 16384, txnOps: 8, tail: 3 } }); // prettier-ignore
export const body = (id: string, tasks: number): Buffer =>
  Buffer.from(
    JSON.stringify({
      ...{ id, jobClass: 'x', owner: 'red', shape: 'array', urgency: 'low', pieces: tasks, vcpus: 1 },
      ...{ accelerators: 0, memGb: 1, bundle: 'i', imageGb: 1, samePlace: false, scatter: false },
      ...{ borrowed: true, expectS: 5, saveEveryS: 0, saveTakesS: 0 },
    }),
  );

/** One controller: its view, and what users reach of it. */
export const newController = (
  time: VirtualTime,
  service: Service,
  who = 0,
  replicate: (evidence: JobEvidence) => Effect.Effect<void> = () => Effect.void,
) => {
  const jobState = new JobState();
  const lossDetector = new DataLossDetector(time.clock, () => null);
  const store = new GuardedStore(service.port(who), lossDetector, time.clock);
  const watcher = new StoreWatcher(jobState, store, time.clock, () => false, lossDetector, 0 as Micros);
  const users = userHandlers({
    ...{ settings: SETTINGS, store, watcher, jobState, lossDetector, clock: time.clock, dayTime: time.clock },
    ...{ mayBeNew: () => true, isDurable: () => true, isLeader: () => false, isVerified: () => true },
    evidenceStore: { replicate } as never,
    types: () => TYPES,
  });
  const leaderTerm = (term: number, stamp: number): CycleContext => {
    const isCurrentTerm = (): boolean => jobState.term <= term;
    return {
      ...{ settings: SETTINGS, watcher, jobState, lossDetector, clock: time.clock, dayTime: time.clock },
      store: new GuardedStore(service.port(who, term), lossDetector, time.clock),
      registry: new WorkerRegistry(SETTINGS, jobState, term, time.clock()),
      ledger: new Ledger(),
      leaderTerm: { number: term, stamp, began: time.clock() },
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

/** One controller that leads, and a store in which nothing goes wrong but what the test does. */
export const faultFreeController = (
  more: readonly Write[] = [],
  replicate?: (evidence: JobEvidence) => Effect.Effect<void>,
) => {
  const time = new VirtualTime(1);
  const service = new Service(time, new Luck(1));
  service.isFaulty = false;
  service.transact([], wire([...HEAD, ...more]) as Write[]);
  const node = newController(time, service, 0, replicate);
  const go = (what: Effect.Effect<unknown, unknown>, forS = 10): void => {
    time.fork(what);
    time.run(time.now + forS * S);
    assert.deepEqual(time.faults, []);
  };
  go(node.watcher.refresh);
  return { time, service, node, go, turn: node.leaderTerm(1, 1) };
};
export const newJob = (id: string, over: Partial<Job> = {}): Job => ({
  ...job(id, { tasks: 3 }),
  revision: 0,
  ...over,
});
export const storedJob = (j: Job): Write => ({
  set: activeJobKey(j.spec.id),
  value: encodeJob(j, j.lastSequence),
});

export const rebuilding = (more: readonly Write[] = []) => {
  const c = faultFreeController([{ set: REBUILD, value: { phase: 'gather', heard: [] } }, ...more]);
  const { node, turn, time } = c;
  const nothing = {
    all: [],
    versions: () => [],
    finals: () => [],
    drop: () => undefined,
    clear: () => undefined,
  };
  const r: RebuildContext = {
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
      preLossViews: nothing as never,
      evidenceStore: nothing as never,
      viewPort: { request: () => Effect.never } as never,
    },
  };
  return { ...c, r };
};
