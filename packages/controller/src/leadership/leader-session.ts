/** Runs a controller's sessions as leader: a session restores a store that has lost data, then schedules. */
import { Ledger } from '../accounts/ledger.js';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, millis, seconds, toMillis } from '@lilacvalve/runtime/micros';
import { sleepUntilTick } from '@lilacvalve/runtime/tick';
import { Effect, Queue } from 'effect';
import { ClassSamples } from '../calendar/class-samples.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { CloudPort } from '../provisioning/cloud.js';
import { autoscaler } from '../provisioning/autoscaler.js';
import type { ProvisioningUpdate, MachineType } from '../provisioning/model.js';
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
import { clusterSummary, runCycle } from '../scheduler/run-cycle.js';
import { runMaintenance } from '../scheduler/maintenance.js';
import { StartWaits } from '../scheduler/start-waits.js';
import type { CycleState, CycleContext } from '../scheduler/cycle-context.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';
import { WorkerRegistry } from '../workers/worker-registry.js';
import { CycleGate } from '../workers/cycle-gate.js';
import type { HeartbeatService, LeaseRenewalService } from '../workers/heartbeat-handler.js';
import { sendUrgentOrders, type WorkerPort } from '../workers/worker-client.js';

/** Minimum pause between two scheduling cycles: each cycle writes, within a rate limit that all controllers share. */
const MIN_GAP_MS = 250;
/** Maximum fraction of the time that cycles compute: heartbeats, leases and users' requests need the rest. */
const MAX_CYCLE_FRACTION = 1 / 4;
/** The pause grows by this much per machine: with many machines, something has changed before every cycle. */
const GAP_MS_PER_MACHINE = 0.6;
const MAX_MACHINE_GAP_MS = 800;
/** A cycle starts after this long even if nothing has changed. */
const CYCLE_EVERY_MS = 1000;
const MAINTENANCE_GAP_MS = 250;
/** Maximum time that a heartbeat waits for a scheduling cycle. */
const MAX_CYCLE_WAIT = millis(1200);
/** How often a session checks that its term has not ended; after the end of its term its writes fail anyway. */
const TERM_CHECK_MS = 250;
const SUMMARY_EVERY_MS = 10_000;
const RECOVERY_EVERY_MS = 1000;
const NO_NEWS: ProvisioningUpdate = { rented: [], removed: [] };

/**
 * The pause between two scheduling cycles, in milliseconds. `machines`: number of machines in the last cycle; `computeMs`:
 * how long it computed; `hasBacklog`: its log entry was full, so that some decisions wait for the next cycle, which then
 * starts as early as the computing time allows.
 */
export const cycleGapMs = (machines: number, computeMs: number, hasBacklog = false): number =>
  Math.max(
    MIN_GAP_MS,
    hasBacklog ? 0 : Math.min(MAX_MACHINE_GAP_MS, Math.round(machines * GAP_MS_PER_MACHINE)),
    computeMs * (1 / MAX_CYCLE_FRACTION - 1),
  );

/** The dependencies of `LeaderSessions`. */
export interface LeaderSessionDependencies {
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
  /** Half-life of the balance between teams' usage and their fair shares; null: no balance is kept. */
  readonly balance: Micros | null;
}

/** Runs one session after another, each for one of this controller's terms as leader. */
export class LeaderSessions {
  /** The present session's service for received heartbeats; null: no session is running. */
  heartbeatService: HeartbeatService | LeaseRenewalService | null = null;
  /** The provisioning state for peers, and whether the cloud's list of machines has been read in this term. */
  readonly fleet: { news: ProvisioningUpdate; listed: boolean } = { news: NO_NEWS, listed: false };
  /** Whether a rebuild has gathered this job and may not have written it yet; null: this controller runs no rebuild. */
  private pendingRestore: ((id: string) => boolean) | null = null;
  private readonly wake = Effect.runSync(Queue.sliding<void>(1));

  constructor(private readonly dependencies: LeaderSessionDependencies) {
    dependencies.jobState.onJobsChanged = () => Queue.unsafeOffer(this.wake, undefined);
  }

  /** The registry of the present session; null: this controller does not lead, or is still restoring the store. */
  registry(): WorkerRegistry | null {
    return this.heartbeatService !== null && 'registry' in this.heartbeatService
      ? this.heartbeatService.registry
      : null;
  }

  /** Whether a job with this id may be unknown to all controllers, as far as a rebuild under way tells. */
  mayBeNew(id: string): boolean {
    const { rebuild } = this.dependencies.jobState;
    return (
      rebuild === null ||
      rebuild.phase === 'wait' ||
      (rebuild.phase === 'write' && this.pendingRestore !== null && !this.pendingRestore(id))
    );
  }

  /** Runs a session while this controller is leader, then waits for its next term, for ever. */
  readonly run = supervise(
    'leader-session',
    Effect.suspend(() => {
      const leaderTerm = this.dependencies.leadership.currentTerm();
      return leaderTerm === null ? this.dependencies.leadership.awaitTerm : this.lead(leaderTerm);
    }).pipe(Effect.forever),
  );

  /** Runs one session, and interrupts it at the end of its term. */
  private lead(leaderTerm: LeadershipTerm): Effect.Effect<void> {
    const { jobState, leadership } = this.dependencies;
    const rebuildContext = this.rebuildContext(leaderTerm);
    const { isCurrentTerm } = rebuildContext;
    const endOfTerm = sleepUntilTick(TERM_CHECK_MS).pipe(Effect.repeat({ while: isCurrentTerm }));
    const gathered = new GatheredViews();
    return Effect.raceFirst(
      endOfTerm,
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
      // A failed session ends its term: a second registry of the same term would not know which starts the first one has
      // sent, and would take an older heartbeat with the term's fencing token to be newer than those starts.
      Effect.tapDefect(() => leadership.stepDown('session failed', 0)),
    );
  }

  private rebuildContext(leaderTerm: LeadershipTerm): RebuildContext {
    const { dependencies } = this;
    return {
      settings: dependencies.settings,
      store: dependencies.store,
      watcher: dependencies.watcher,
      jobState: dependencies.jobState,
      lossDetector: dependencies.lossDetector,
      preLossViews: dependencies.preLossViews,
      evidenceStore: dependencies.evidenceStore,
      viewPort: dependencies.viewPort,
      leaderTerm,
      isCurrentTerm: () => dependencies.leadership.isCurrent(leaderTerm.number),
      mayAct: () => dependencies.leadership.currentTerm()?.number === leaderTerm.number,
      clock: dependencies.clock,
    };
  }

  /** Rebuilds the store if it has lost data. Until then, responses to heartbeats only renew workers' leases. */
  private restore(context: RebuildContext, gathered: GatheredViews): Effect.Effect<void> {
    const { jobState, preLossViews } = this.dependencies;
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

  /** Runs the tasks of a session on a complete store: scheduling, renting and returning machines, maintenance. */
  private operate(context: RebuildContext, gathered: GatheredViews): Effect.Effect<void> {
    const { dependencies, wake } = this;
    return Effect.suspend(() => {
      const cycleContext = this.cycleContext(context);
      const { registry } = cycleContext;
      const state: CycleState = {
        result: null,
        idleMachines: new Set(),
        coLocatedDemand: [],
        computeTime: 0,
        hasBacklog: false,
      };
      const gate = new CycleGate(dependencies.clock);
      this.heartbeatService = {
        registry,
        afterNextCycle: (then) => {
          gate.wait(then);
          Queue.unsafeOffer(wake, undefined);
        },
      };
      const releaseOverdueHeartbeats = Effect.sync(() => gate.releaseOverdue(MAX_CYCLE_WAIT)).pipe(
        Effect.zipRight(sleepUntilTick(TERM_CHECK_MS)),
        Effect.forever,
      );
      const maintenance = supervise(
        'maintenance',
        runMaintenance(cycleContext).pipe(
          Effect.zipRight(sleepUntilTick(MAINTENANCE_GAP_MS)),
          Effect.forever,
        ),
      );
      const weights = imageWeightsTask({ ...cycleContext, machines: () => registry.machines.values() });
      const fleet = autoscaler(cycleContext, state, dependencies.cloud);
      return Effect.all(
        [
          supervise('scheduling', this.scheduleForever(cycleContext, state, gate)),
          fleet,
          maintenance,
          logSummaryForever(cycleContext, state),
          releaseOverdueHeartbeats,
          this.finishRecoveryForever(cycleContext, context, gathered),
          weights,
          largestJobsTask(cycleContext),
        ],
        { concurrency: 'unbounded', discard: true },
      ).pipe(Effect.ensuring(Effect.sync(() => gate.releaseOverdue(seconds(0)))));
    });
  }

  /** The state that all tasks of the session share, created when the session starts to schedule. */
  private cycleContext({ leaderTerm, mayAct, isCurrentTerm }: RebuildContext): CycleContext {
    const { dependencies } = this;
    // The registry counts leases of unknown workers from now: during a rebuild they may have been renewed until now.
    const began = dependencies.clock();
    const registry = new WorkerRegistry(
      dependencies.settings,
      dependencies.jobState,
      leaderTerm.number,
      began,
    );
    // The machines that the previous leader was renting and returning.
    const previous = dependencies.peers.lastProvisioning();
    if (previous !== null) registry.applyProvisioningUpdate(previous.news, previous.at);
    this.fleet.news = previous?.news ?? NO_NEWS;
    this.fleet.listed = false;
    return {
      settings: dependencies.settings,
      store: dependencies.store,
      watcher: dependencies.watcher,
      jobState: dependencies.jobState,
      registry,
      ledger: new Ledger(dependencies.balance),
      lossDetector: dependencies.lossDetector,
      leaderTerm: { ...leaderTerm, began },
      mayAct,
      isCurrentTerm,
      acknowledged: () => dependencies.peers.acknowledged(leaderTerm.number),
      types: () => dependencies.types() ?? [],
      mayStart: () => dependencies.admission.mayStart,
      fleet: this.fleet,
      clock: dependencies.clock,
      dayTime: dependencies.dayTime,
      classSamples: new ClassSamples(),
      coLocatedDemand: new Map(),
      startWaits: new StartWaits(),
      largestJobs: new LargestJobs(dependencies.jobState.largestJobs),
    };
  }

  /** Runs one scheduling cycle after another: when jobs or heartbeats call for one, and at least every `CYCLE_EVERY_MS`. */
  private scheduleForever(
    cycleContext: CycleContext,
    state: CycleState,
    gate: CycleGate,
  ): Effect.Effect<never> {
    const { dependencies, wake } = this;
    const { registry } = cycleContext;
    return Effect.gen(function* () {
      yield* Queue.take(wake).pipe(Effect.timeoutOption(CYCLE_EVERY_MS));
      gate.cycleBegan();
      yield* (cycleContext.mayAct() ? runCycle(cycleContext, state) : Effect.void).pipe(
        Effect.ensuring(Effect.sync(() => gate.cycleEnded())),
      );
      if (cycleContext.mayAct())
        yield* sendUrgentOrders(registry, dependencies.workers, dependencies.admission);
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
      ).pipe(Effect.zipRight(sleepUntilTick(RECOVERY_EVERY_MS)), Effect.forever),
    );
  }

  /**
   * Does what remains after the store's first start or after a rebuild, until no task can be running and no view can
   * appear that the store lacks: adds late views, records the milestones, reconciles orphaned jobs.
   */
  private finishRecovery(
    cycleContext: CycleContext,
    context: RebuildContext,
    gathered: GatheredViews,
  ): Effect.Effect<void> {
    const { jobState, registry } = cycleContext;
    return Effect.gen(this, function* () {
      yield* Effect.ignore(addLateViews(context, gathered, this.dependencies.peers.withPreLossViews()));
      const generation = jobState.incarnation?.generation ?? 0;
      const now = cycleContext.clock();
      if (!jobState.quiescent && registry.priorLeasesExpired(now))
        yield* declareMilestone(context, QUIESCENT);
      const allAccountedFor =
        generation === 0
          ? (cycleContext.fleet.listed && registry.allMachinesConfirmed()) || registry.priorLeasesExpired(now)
          : jobState.quiescent;
      if (!jobState.recovered && jobState.rebuild === null && allAccountedFor)
        yield* declareMilestone(context, RECOVERED);
      if (generation > 0 && jobState.rebuild?.phase !== 'gather') yield* reconcileOrphanedJobs(cycleContext);
    });
  }
}

/** Logs a summary of the cluster every `SUMMARY_EVERY_MS`. */
const logSummaryForever = (cycleContext: CycleContext, state: CycleState): Effect.Effect<never> =>
  supervise(
    'summary',
    Effect.sleep(SUMMARY_EVERY_MS).pipe(
      Effect.zipRight(
        Effect.suspend(() =>
          info('cluster', { term: cycleContext.leaderTerm.number, ...clusterSummary(cycleContext, state) }),
        ),
      ),
      Effect.forever,
    ),
  );
