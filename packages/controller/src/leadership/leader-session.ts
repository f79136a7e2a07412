/** One reign: everything a leader does from the moment it leads until it does not. */
import { Ledger } from '../accounts/ledger.js';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, millis, seconds, toMillis } from '@lilacvalve/runtime/micros';
import { tick } from '@lilacvalve/runtime/tick';
import { Effect, Queue } from 'effect';
import { Learned } from '../calendar/duty.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { CloudPort } from '../provisioning/cloud.js';
import { autoscaler } from '../provisioning/autoscaler.js';
import type { ProvisioningNews, MachineType } from '../provisioning/model.js';
import type { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import { CALM, SETTLED } from '../jobs/keys.js';
import { weightsDuty } from '../lending/duty.js';
import type { Leadership, LeadershipTerm } from './leadership.js';
import type { Peers } from './peers.js';
import type { Admission } from '../overload/admission.js';
import { declare, Gathered, listen, type Rebuild, rebuild } from '../recovery/rebuild.js';
import type { ViewPort } from '../recovery/view-exchange.js';
import type { PreLossViews } from '../recovery/pre-loss-views.js';
import type { EvidenceStore } from '../recovery/evidence-store.js';
import { tendWards } from '../recovery/orphaned-jobs.js';
import { Largest, largestDuty } from '../scheduler/largest.js';
import { summary, runCycle } from '../scheduler/run-cycle.js';
import { upkeep } from '../scheduler/upkeep.js';
import { Waits } from '../scheduler/waits.js';
import type { CycleState, CycleContext } from '../scheduler/cycle-context.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';
import { WorkerRegistry } from '../workers/worker-registry.js';
import {
  type Desk,
  Gate,
  type RenewalDesk,
  sendUrgent,
  type WorkerPort,
} from '../workers/heartbeat-handler.js';

/** Between two turns: each costs writes of a budget that all controllers share. */
const TURN_GAP_MS = 250;
/** A turn's computing takes at most about this part of the node's time: reports, leases and users share it. */
const TURN_PART = 1 / 4;
/** Each machine more lets turns be so much further apart: on many machines something has always changed. */
const GAP_MS_A_MACHINE = 0.6;
const LONG_GAP_MS = 800;
const TURN_EVERY_MS = 1000;
const UPKEEP_GAP_MS = 250;
/** A report waits at most so long for a turn. */
const LONGEST_TURN = millis(1200);
/** How soon a session notices that its reign is over; it may do nothing more from the moment on anyway. */
const OVER_MS = 250;
const SUMMARY_EVERY_MS = 10_000;
const TEND_EVERY_MS = 1000;
const NO_NEWS: ProvisioningNews = { rented: [], removed: [] };

/**
 * From the end of a turn to the next one's begin, after one over so many machines that computed for `costMs`. One that has
 * left something `behind` for want of room in its records is followed sooner, as far as its computing allows.
 */
export const cycleGapMs = (machines: number, costMs: number, behind = false): number =>
  Math.max(
    TURN_GAP_MS,
    behind ? 0 : Math.min(LONG_GAP_MS, Math.round(machines * GAP_MS_A_MACHINE)),
    costMs * (1 / TURN_PART - 1),
  );

export interface LeaderSessionParts {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly cloud: CloudPort;
  readonly workers: WorkerPort;
  readonly views: ViewPort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  readonly relics: PreLossViews;
  readonly witness: EvidenceStore;
  readonly peers: Peers;
  readonly leadership: Leadership;
  readonly admission: Admission;
  readonly types: () => readonly MachineType[] | null;
  readonly clock: () => Micros;
  readonly dayTime: () => Micros;
  /** Half-life of the balance between teams; null: off. */
  readonly balance: Micros | null;
}

export class LeaderSessions {
  /** What the present session offers to whoever takes reports in. */
  desk: Desk | RenewalDesk | null = null;
  readonly fleet: { news: ProvisioningNews; listed: boolean } = { news: NO_NEWS, listed: false };
  /** Jobs that a rebuild has gathered and not written yet; null: that is not known here. */
  private owed: ((id: string) => boolean) | null = null;
  private readonly wake = Effect.runSync(Queue.sliding<void>(1));

  constructor(private readonly p: LeaderSessionParts) {
    p.jobState.onJobs = () => Queue.unsafeOffer(this.wake, undefined);
  }

  registry(): WorkerRegistry | null {
    return this.desk !== null && 'registry' in this.desk ? this.desk.registry : null;
  }

  /** See `ApiDeps.mayBeNew`. */
  mayBeNew(id: string): boolean {
    const r = this.p.jobState.rebuild;
    return r === null || r.phase === 'wait' || (r.phase === 'write' && this.owed !== null && !this.owed(id));
  }

  readonly run = supervise(
    'reigns',
    Effect.suspend(() => {
      const leaderTerm = this.p.leadership.currentTerm();
      return leaderTerm === null ? this.p.leadership.awaitTerm : this.session(leaderTerm);
    }).pipe(Effect.forever),
  );

  private session(leaderTerm: LeadershipTerm): Effect.Effect<void> {
    const { p } = this;
    const isCurrentTerm = (): boolean => p.leadership.isCurrent(leaderTerm.number);
    const over = tick(OVER_MS).pipe(Effect.repeat({ while: isCurrentTerm }));
    const r: Rebuild = {
      settings: p.settings,
      store: p.store,
      watcher: p.watcher,
      jobState: p.jobState,
      lossDetector: p.lossDetector,
      relics: p.relics,
      witness: p.witness,
      port: p.views,
      leaderTerm,
      isCurrentTerm,
      mayAct: () => p.leadership.currentTerm()?.number === leaderTerm.number,
      clock: p.clock,
    };
    const gathered = new Gathered();
    const first = Effect.suspend(() => {
      if (p.jobState.rebuild === null || p.jobState.rebuild.phase === 'wait') return Effect.void;
      this.desk = {
        term: leaderTerm.number,
        cancelled: (id) =>
          p.jobState.jobs.get(id)?.withdrawn === true ||
          p.relics.all.some((x) => x.jobs.get(id)?.withdrawn === true),
      };
      this.owed = (id) => gathered.byJob(r).has(id) || gathered.finalStates(r).has(id);
      return Effect.ensuring(
        rebuild(r, gathered),
        Effect.sync(() => (this.owed = null)),
      );
    });
    return Effect.raceFirst(
      over,
      Effect.zipRight(
        first,
        Effect.suspend(() => (isCurrentTerm() ? this.turns(leaderTerm, r, gathered) : Effect.void)),
      ),
    ).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.desk = null;
          p.jobState.letMachinesGo();
        }),
      ),
      Effect.zipRight(info('no longer leads', { term: leaderTerm.number })),
      // A new book of the same term would take an old copy that shows its token for newer than the starts sent before.
      Effect.tapDefect(() => p.leadership.stepDown('session failed', 0)),
    );
  }

  /** The session's lasting part, once the store holds all that is known. */
  private turns(leaderTerm: LeadershipTerm, r: Rebuild, gathered: Gathered): Effect.Effect<void> {
    const { p, wake } = this;
    return Effect.suspend(() => {
      // Leases may have been renewed until now.
      const began = p.clock();
      const registry = new WorkerRegistry(p.settings, p.jobState, leaderTerm.number, began);
      // What the last leader said of its machines, with the time passed since.
      const heard = p.peers.lastNews();
      if (heard !== null) registry.warm(heard.news, heard.at);
      this.fleet.news = heard?.news ?? NO_NEWS;
      this.fleet.listed = false;
      const t: CycleContext = {
        settings: p.settings,
        store: p.store,
        watcher: p.watcher,
        jobState: p.jobState,
        registry,
        ledger: new Ledger(p.balance),
        lossDetector: p.lossDetector,
        leaderTerm: { ...leaderTerm, began },
        mayAct: r.mayAct,
        isCurrentTerm: r.isCurrentTerm,
        acknowledged: () => p.peers.acknowledged(leaderTerm.number),
        types: () => p.types() ?? [],
        mayStart: () => p.admission.mayStart,
        fleet: this.fleet,
        clock: p.clock,
        dayTime: p.dayTime,
        learned: new Learned(),
        companions: new Map(),
        waits: new Waits(),
        largest: new Largest(p.jobState.largest),
      };
      const view: CycleState = { result: null, surplus: new Set(), companions: [], cost: 0, behind: false };
      const gate = new Gate(p.clock);
      this.desk = {
        registry,
        nextTurn: (then) => {
          gate.wait(then);
          Queue.unsafeOffer(wake, undefined);
        },
      };
      const relieve = Effect.sync(() => gate.relieve(LONGEST_TURN)).pipe(
        Effect.zipRight(tick(OVER_MS)),
        Effect.forever,
      );
      const turns = Effect.gen(function* () {
        yield* Queue.take(wake).pipe(Effect.timeoutOption(TURN_EVERY_MS));
        gate.begin();
        yield* (t.mayAct() ? runCycle(t, view) : Effect.void).pipe(
          Effect.ensuring(Effect.sync(() => gate.open())),
        );
        if (t.mayAct()) yield* sendUrgent(registry, p.workers, p.admission);
        yield* Effect.sleep(cycleGapMs(registry.machines.size, toMillis(view.cost), view.behind));
      }).pipe(Effect.forever);
      const tidy = supervise('upkeep', upkeep(t).pipe(Effect.zipRight(tick(UPKEEP_GAP_MS)), Effect.forever));
      const report = supervise(
        'summary',
        Effect.sleep(SUMMARY_EVERY_MS).pipe(
          Effect.zipRight(
            Effect.suspend(() => info('cluster', { term: leaderTerm.number, ...summary(t, view) })),
          ),
          Effect.forever,
        ),
      );
      const tend = supervise(
        'tend',
        Effect.suspend(() => (t.mayAct() ? this.tend(t, r, gathered) : Effect.void)).pipe(
          Effect.zipRight(tick(TEND_EVERY_MS)),
          Effect.forever,
        ),
      );
      const weights = weightsDuty({ ...t, machines: () => registry.machines.values() });
      const fleet = autoscaler(t, view, p.cloud);
      return Effect.all(
        [supervise('turns', turns), fleet, tidy, report, relieve, tend, weights, largestDuty(t)],
        {
          concurrency: 'unbounded',
          discard: true,
        },
      ).pipe(Effect.ensuring(Effect.sync(() => gate.relieve(seconds(0)))));
    });
  }

  /** What is left to do after the store's first start or a rebuild, until it is settled. */
  private tend(t: CycleContext, r: Rebuild, gathered: Gathered): Effect.Effect<void> {
    const { jobState, registry } = t;
    return Effect.gen(this, function* () {
      yield* Effect.ignore(listen(r, gathered, this.p.peers.withRelics()));
      const generation = jobState.incarnation?.generation ?? 0;
      const at = t.clock();
      if (!jobState.calm && registry.allLapsed(at)) yield* declare(r, CALM);
      const all =
        generation === 0 ? (t.fleet.listed && registry.accounted()) || registry.allLapsed(at) : jobState.calm;
      if (!jobState.settled && jobState.rebuild === null && all) yield* declare(r, SETTLED);
      if (generation > 0 && jobState.rebuild?.phase !== 'gather') yield* tendWards(t);
    });
  }
}
