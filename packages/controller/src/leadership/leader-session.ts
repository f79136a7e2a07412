/** What a controller does while it is leader: restores a store that has lost data, then schedules until its term ends. */
import { Ledger } from '../accounts/ledger.js';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, millis, seconds, toMillis } from '@lilacvalve/runtime/micros';
import { tick } from '@lilacvalve/runtime/tick';
import { Effect, Queue } from 'effect';
import { ClassSamples } from '../calendar/class-samples.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { CloudPort } from '../provisioning/cloud.js';
import { autoscaler } from '../provisioning/autoscaler.js';
import type { ProvisioningNews, MachineType } from '../provisioning/model.js';
import type { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import { QUIESCENT, RECOVERED } from '../jobs/keys.js';
import { imageWeightsTask } from '../lending/image-weights-task.js';
import type { Leadership, LeadershipTerm } from './leadership.js';
import type { Peers } from './peers.js';
import type { Admission } from '../overload/admission.js';
import { GatheredViews } from '../recovery/gathered-views.js';
import type { ViewPort } from '../recovery/model.js';
import { addLateViews, declareMilestone, rebuild } from '../recovery/rebuild.js';
import type { RebuildContext } from '../recovery/rebuild-context.js';
import type { PreLossViews } from '../recovery/pre-loss-views.js';
import type { EvidenceStore } from '../recovery/evidence-store.js';
import { reconcileOrphanedJobs } from '../recovery/orphaned-jobs.js';
import { LargestJobs, largestJobsTask } from '../scheduler/largest-jobs.js';
import { summary, runCycle } from '../scheduler/run-cycle.js';
import { upkeep } from '../scheduler/upkeep.js';
import { StartWaits } from '../scheduler/start-waits.js';
import type { CycleState, CycleContext } from '../scheduler/cycle-context.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';
import { WorkerRegistry } from '../workers/worker-registry.js';
import { CycleGate } from '../workers/cycle-gate.js';
import type { HeartbeatService, LeaseRenewalService } from '../workers/heartbeat-handler.js';
import { sendUrgentOrders, type WorkerPort } from '../workers/worker-client.js';

/** Between two scheduling cycles: each costs writes of a budget that all controllers share. */
const MIN_GAP_MS = 250;
/** Cycles compute for at most about this share of the node's time: heartbeats, leases and users need the rest. */
const CYCLE_SHARE = 1 / 4;
/** Each machine lets cycles be so much further apart: on many machines something has always changed. */
const GAP_MS_PER_MACHINE = 0.6;
const MAX_MACHINE_GAP_MS = 800;
/** A cycle runs at least this often, whether anything has changed or not. */
const CYCLE_EVERY_MS = 1000;
const UPKEEP_GAP_MS = 250;
/** A heartbeat waits at most so long for a cycle. */
const MAX_CYCLE_WAIT = millis(1200);
/** How often a session checks whether its term is over; writes fail from that moment on anyway. */
const TERM_CHECK_MS = 250;
const SUMMARY_EVERY_MS = 10_000;
const RECOVERY_EVERY_MS = 1000;
const NO_NEWS: ProvisioningNews = { rented: [], removed: [] };

/**
 * Milliseconds from the end of a scheduling cycle to the start of the next, after one over so many machines that computed
 * for `costMs`. A cycle that left something `behind`, because its record was full, is followed sooner, as far as its
 * computing time allows.
 */
export const cycleGapMs = (machines: number, costMs: number, behind = false): number =>
  Math.max(
    MIN_GAP_MS,
    behind ? 0 : Math.min(MAX_MACHINE_GAP_MS, Math.round(machines * GAP_MS_PER_MACHINE)),
    costMs * (1 / CYCLE_SHARE - 1),
  );

/** What the leader's sessions work on. */
export interface LeaderSessionParts {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly cloud: CloudPort;
  readonly workers: WorkerPort;
  readonly viewPort: ViewPort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  readonly preLossViews: PreLossViews;
  readonly evidenceStore: EvidenceStore;
  readonly peers: Peers;
  readonly leadership: Leadership;
  readonly admission: Admission;
  readonly types: () => readonly MachineType[] | null;
  readonly clock: () => Micros;
  readonly dayTime: () => Micros;
  /** Half-life of the balance between teams; null: off. */
  readonly balance: Micros | null;
}

/** Runs one session after another, each for one of this node's terms as leader. */
export class LeaderSessions {
  /** What the present session offers to whoever takes heartbeats in; null: there is no session. */
  heartbeatService: HeartbeatService | LeaseRenewalService | null = null;
  readonly fleet: { news: ProvisioningNews; listed: boolean } = { news: NO_NEWS, listed: false };
  /** Jobs that a rebuild has gathered and not written yet; null: that is not known here. */
  private pendingRestore: ((id: string) => boolean) | null = null;
  private readonly wake = Effect.runSync(Queue.sliding<void>(1));

  constructor(private readonly parts: LeaderSessionParts) {
    parts.jobState.onJobsChanged = () => Queue.unsafeOffer(this.wake, undefined);
  }

  /** The workers, as this node knows them as leader; null: it does not lead, or is still restoring the store. */
  registry(): WorkerRegistry | null {
    return this.heartbeatService !== null && 'registry' in this.heartbeatService
      ? this.heartbeatService.registry
      : null;
  }

  /** See `ApiDeps.mayBeNew`. */
  mayBeNew(id: string): boolean {
    const { rebuild } = this.parts.jobState;
    return (
      rebuild === null ||
      rebuild.phase === 'wait' ||
      (rebuild.phase === 'write' && this.pendingRestore !== null && !this.pendingRestore(id))
    );
  }

  /** Leads for as long as this controller is leader, then waits for its next term. Never ends by itself. */
  readonly run = supervise(
    'leader-session',
    Effect.suspend(() => {
      const leaderTerm = this.parts.leadership.currentTerm();
      return leaderTerm === null ? this.parts.leadership.awaitTerm : this.lead(leaderTerm);
    }).pipe(Effect.forever),
  );

  /** One session: until the term is over, whatever the session is doing then. */
  private lead(leaderTerm: LeadershipTerm): Effect.Effect<void> {
    const { jobState, leadership } = this.parts;
    const rebuildContext = this.rebuildContext(leaderTerm);
    const { isCurrentTerm } = rebuildContext;
    const termOver = tick(TERM_CHECK_MS).pipe(Effect.repeat({ while: isCurrentTerm }));
    const gathered = new GatheredViews();
    return Effect.raceFirst(
      termOver,
      Effect.zipRight(
        this.restore(rebuildContext, gathered),
        Effect.suspend(() => (isCurrentTerm() ? this.operate(rebuildContext, gathered) : Effect.void)),
      ),
    ).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.heartbeatService = null;
          jobState.dropPlacementIndex();
        }),
      ),
      Effect.zipRight(info('leadership term ended', { term: leaderTerm.number })),
      // A new registry of the same term would take an old worker copy that shows its token for newer than the starts sent
      // before.
      Effect.tapDefect(() => leadership.stepDown('session failed', 0)),
    );
  }

  private rebuildContext(leaderTerm: LeadershipTerm): RebuildContext {
    const { parts } = this;
    return {
      settings: parts.settings,
      store: parts.store,
      watcher: parts.watcher,
      jobState: parts.jobState,
      lossDetector: parts.lossDetector,
      preLossViews: parts.preLossViews,
      evidenceStore: parts.evidenceStore,
      viewPort: parts.viewPort,
      leaderTerm,
      isCurrentTerm: () => parts.leadership.isCurrent(leaderTerm.number),
      mayAct: () => parts.leadership.currentTerm()?.number === leaderTerm.number,
      clock: parts.clock,
    };
  }

  /** Rebuilds the store if it has lost data. Until that is done, heartbeats only renew workers' leases. */
  private restore(context: RebuildContext, gathered: GatheredViews): Effect.Effect<void> {
    const { jobState, preLossViews } = this.parts;
    return Effect.suspend(() => {
      if (jobState.rebuild === null || jobState.rebuild.phase === 'wait') return Effect.void;
      this.heartbeatService = {
        term: context.leaderTerm.number,
        isCancelled: (id) =>
          jobState.jobs.get(id)?.cancelled === true ||
          preLossViews.all.some((view) => view.jobs.get(id)?.cancelled === true),
      };
      this.pendingRestore = (id) =>
        gathered.versionsByJob(context).has(id) || gathered.finalStates(context).has(id);
      return Effect.ensuring(
        rebuild(context, gathered),
        Effect.sync(() => (this.pendingRestore = null)),
      );
    });
  }

  /** The session's lasting part, once the store holds all that is known: schedules, rents and returns machines, tidies up. */
  private operate(context: RebuildContext, gathered: GatheredViews): Effect.Effect<void> {
    const { parts, wake } = this;
    return Effect.suspend(() => {
      const cycleContext = this.cycleContext(context);
      const { registry } = cycleContext;
      const state: CycleState = {
        result: null,
        idleNodes: new Set(),
        coLocatedDemand: [],
        computeTime: 0,
        hasBacklog: false,
      };
      const gate = new CycleGate(parts.clock);
      this.heartbeatService = {
        registry,
        afterNextCycle: (then) => {
          gate.wait(then);
          Queue.unsafeOffer(wake, undefined);
        },
      };
      const relieve = Effect.sync(() => gate.releaseOverdue(MAX_CYCLE_WAIT)).pipe(
        Effect.zipRight(tick(TERM_CHECK_MS)),
        Effect.forever,
      );
      const tidy = supervise(
        'upkeep',
        upkeep(cycleContext).pipe(Effect.zipRight(tick(UPKEEP_GAP_MS)), Effect.forever),
      );
      const weights = imageWeightsTask({ ...cycleContext, machines: () => registry.machines.values() });
      const fleet = autoscaler(cycleContext, state, parts.cloud);
      return Effect.all(
        [
          supervise('scheduling', this.scheduleForever(cycleContext, state, gate)),
          fleet,
          tidy,
          logSummaryForever(cycleContext, state),
          relieve,
          this.finishRecoveryForever(cycleContext, context, gathered),
          weights,
          largestJobsTask(cycleContext),
        ],
        { concurrency: 'unbounded', discard: true },
      ).pipe(Effect.ensuring(Effect.sync(() => gate.releaseOverdue(seconds(0)))));
    });
  }

  /** What all parts of the session share: made when the session begins to schedule. */
  private cycleContext({ leaderTerm, mayAct, isCurrentTerm }: RebuildContext): CycleContext {
    const { parts } = this;
    // Workers' leases may have been renewed until now.
    const began = parts.clock();
    const registry = new WorkerRegistry(parts.settings, parts.jobState, leaderTerm.number, began);
    // What the last leader said of its machines, with the time passed since.
    const heard = parts.peers.lastProvisioning();
    if (heard !== null) registry.applyProvisioningNews(heard.news, heard.at);
    this.fleet.news = heard?.news ?? NO_NEWS;
    this.fleet.listed = false;
    return {
      settings: parts.settings,
      store: parts.store,
      watcher: parts.watcher,
      jobState: parts.jobState,
      registry,
      ledger: new Ledger(parts.balance),
      lossDetector: parts.lossDetector,
      leaderTerm: { ...leaderTerm, began },
      mayAct,
      isCurrentTerm,
      acknowledged: () => parts.peers.acknowledged(leaderTerm.number),
      types: () => parts.types() ?? [],
      mayStart: () => parts.admission.mayStart,
      fleet: this.fleet,
      clock: parts.clock,
      dayTime: parts.dayTime,
      classSamples: new ClassSamples(),
      coLocatedDemand: new Map(),
      startWaits: new StartWaits(),
      largestJobs: new LargestJobs(parts.jobState.largest),
    };
  }

  /** One scheduling cycle after another: when something has changed, and at least every `CYCLE_EVERY_MS`. */
  private scheduleForever(
    cycleContext: CycleContext,
    state: CycleState,
    gate: CycleGate,
  ): Effect.Effect<never> {
    const { parts, wake } = this;
    const { registry } = cycleContext;
    return Effect.gen(function* () {
      yield* Queue.take(wake).pipe(Effect.timeoutOption(CYCLE_EVERY_MS));
      gate.cycleBegan();
      yield* (cycleContext.mayAct() ? runCycle(cycleContext, state) : Effect.void).pipe(
        Effect.ensuring(Effect.sync(() => gate.cycleEnded())),
      );
      if (cycleContext.mayAct()) yield* sendUrgentOrders(registry, parts.workers, parts.admission);
      yield* Effect.sleep(cycleGapMs(registry.machines.size, toMillis(state.computeTime), state.hasBacklog));
    }).pipe(Effect.forever);
  }

  private finishRecoveryForever(
    cycleContext: CycleContext,
    context: RebuildContext,
    gathered: GatheredViews,
  ): Effect.Effect<never> {
    return supervise(
      'recovery',
      Effect.suspend(() =>
        cycleContext.mayAct() ? this.finishRecovery(cycleContext, context, gathered) : Effect.void,
      ).pipe(Effect.zipRight(tick(RECOVERY_EVERY_MS)), Effect.forever),
    );
  }

  /** What is left to do after the store's first start or a rebuild, until nothing unknown can be running or turn up. */
  private finishRecovery(
    cycleContext: CycleContext,
    context: RebuildContext,
    gathered: GatheredViews,
  ): Effect.Effect<void> {
    const { jobState, registry } = cycleContext;
    return Effect.gen(this, function* () {
      yield* Effect.ignore(addLateViews(context, gathered, this.parts.peers.withPreLossViews()));
      const generation = jobState.incarnation?.generation ?? 0;
      const at = cycleContext.clock();
      if (!jobState.quiescent && registry.priorLeasesExpired(at)) yield* declareMilestone(context, QUIESCENT);
      const allAccountedFor =
        generation === 0
          ? (cycleContext.fleet.listed && registry.allMachinesConfirmed()) || registry.priorLeasesExpired(at)
          : jobState.quiescent;
      if (!jobState.recovered && jobState.rebuild === null && allAccountedFor)
        yield* declareMilestone(context, RECOVERED);
      if (generation > 0 && jobState.rebuild?.phase !== 'gather') yield* reconcileOrphanedJobs(cycleContext);
    });
  }
}

/** Logs a line about the cluster every `SUMMARY_EVERY_MS`. */
const logSummaryForever = (cycleContext: CycleContext, state: CycleState): Effect.Effect<never> =>
  supervise(
    'summary',
    Effect.sleep(SUMMARY_EVERY_MS).pipe(
      Effect.zipRight(
        Effect.suspend(() =>
          info('cluster', { term: cycleContext.leaderTerm.number, ...summary(cycleContext, state) }),
        ),
      ),
      Effect.forever,
    ),
  );
