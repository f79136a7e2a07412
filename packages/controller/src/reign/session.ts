/** One reign: everything a leader does from the moment it leads until it does not. */
import { Ledger } from '../accounts/ledger.js';
import { duty } from '@lilacvalve/runtime/duty';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, millis, seconds, toMillis } from '@lilacvalve/runtime/micros';
import { tick } from '@lilacvalve/runtime/tick';
import { Effect, Queue } from 'effect';
import { Learned } from '../calendar/duty.js';
import type { Doubt } from '../doubt/doubt.js';
import type { CloudPort } from '../fleet/cloud.js';
import { fleetDuty } from '../fleet/duty.js';
import type { FleetNews, MachineType } from '../fleet/model.js';
import type { JobCache } from '../jobs/cache.js';
import type { Feed } from '../jobs/feed.js';
import { CALM, SETTLED } from '../jobs/keys.js';
import { weightsDuty } from '../lending/duty.js';
import type { Leadership, Reign } from '../leadership/leadership.js';
import type { Peers } from '../leadership/peers.js';
import type { Admission } from '../overload/admission.js';
import { declare, Gathered, listen, type Rebuild, rebuild } from '../rebuild/duty.js';
import type { ViewPort } from '../rebuild/exchange.js';
import type { Relics } from '../rebuild/relics.js';
import type { Witness } from '../rebuild/witness.js';
import { tendWards } from '../rebuild/wards.js';
import { Largest, largestDuty } from '../scheduler/largest.js';
import { summary, turn } from '../scheduler/duty.js';
import { upkeep } from '../scheduler/upkeep.js';
import { Waits } from '../scheduler/waits.js';
import type { CycleView, Turn } from '../scheduler/turn.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';
import { Book } from '../workers/book.js';
import { type Desk, Gate, type RenewalDesk, sendUrgent, type WorkerPort } from '../workers/duty.js';

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
const NO_NEWS: FleetNews = { rented: [], removed: [] };

/**
 * From the end of a turn to the next one's begin, after one over so many machines that computed for `costMs`. One that has
 * left something `behind` for want of room in its records is followed sooner, as far as its computing allows.
 */
export const turnGapMs = (machines: number, costMs: number, behind = false): number =>
  Math.max(
    TURN_GAP_MS,
    behind ? 0 : Math.min(LONG_GAP_MS, Math.round(machines * GAP_MS_A_MACHINE)),
    costMs * (1 / TURN_PART - 1),
  );

export interface SessionParts {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly cloud: CloudPort;
  readonly workers: WorkerPort;
  readonly views: ViewPort;
  readonly feed: Feed;
  readonly cache: JobCache;
  readonly doubt: Doubt;
  readonly relics: Relics;
  readonly witness: Witness;
  readonly peers: Peers;
  readonly leadership: Leadership;
  readonly admission: Admission;
  readonly types: () => readonly MachineType[] | null;
  readonly clock: () => Micros;
  readonly dayTime: () => Micros;
  /** Half-life of the balance between teams; null: off. */
  readonly balance: Micros | null;
}

export class Sessions {
  /** What the present session offers to whoever takes reports in. */
  desk: Desk | RenewalDesk | null = null;
  readonly fleet: { news: FleetNews; listed: boolean } = { news: NO_NEWS, listed: false };
  /** Jobs that a rebuild has gathered and not written yet; null: that is not known here. */
  private owed: ((id: string) => boolean) | null = null;
  private readonly wake = Effect.runSync(Queue.sliding<void>(1));

  constructor(private readonly p: SessionParts) {
    p.cache.onJobs = () => Queue.unsafeOffer(this.wake, undefined);
  }

  book(): Book | null {
    return this.desk !== null && 'book' in this.desk ? this.desk.book : null;
  }

  /** See `ApiDeps.mayBeNew`. */
  mayBeNew(id: string): boolean {
    const r = this.p.cache.rebuild;
    return r === null || r.phase === 'wait' || (r.phase === 'write' && this.owed !== null && !this.owed(id));
  }

  readonly run = duty(
    'reigns',
    Effect.suspend(() => {
      const reign = this.p.leadership.acting();
      return reign === null ? this.p.leadership.awaitReign : this.session(reign);
    }).pipe(Effect.forever),
  );

  private session(reign: Reign): Effect.Effect<void> {
    const { p } = this;
    const reigning = (): boolean => p.leadership.reigning(reign.term);
    const over = tick(OVER_MS).pipe(Effect.repeat({ while: reigning }));
    const r: Rebuild = {
      settings: p.settings,
      store: p.store,
      feed: p.feed,
      cache: p.cache,
      doubt: p.doubt,
      relics: p.relics,
      witness: p.witness,
      port: p.views,
      reign,
      reigning,
      acting: () => p.leadership.acting()?.term === reign.term,
      clock: p.clock,
    };
    const gathered = new Gathered();
    const first = Effect.suspend(() => {
      if (p.cache.rebuild === null || p.cache.rebuild.phase === 'wait') return Effect.void;
      this.desk = {
        term: reign.term,
        cancelled: (id) =>
          p.cache.jobs.get(id)?.withdrawn === true ||
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
        Effect.suspend(() => (reigning() ? this.turns(reign, r, gathered) : Effect.void)),
      ),
    ).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          this.desk = null;
          p.cache.letMachinesGo();
        }),
      ),
      Effect.zipRight(info('no longer leads', { term: reign.term })),
      // A new book of the same term would take an old copy that shows its token for newer than the starts sent before.
      Effect.tapDefect(() => p.leadership.giveWay('session failed', 0)),
    );
  }

  /** The session's lasting part, once the store holds all that is known. */
  private turns(reign: Reign, r: Rebuild, gathered: Gathered): Effect.Effect<void> {
    const { p, wake } = this;
    return Effect.suspend(() => {
      // Leases may have been renewed until now.
      const began = p.clock();
      const book = new Book(p.settings, p.cache, reign.term, began);
      // What the last leader said of its machines, with the time passed since.
      const heard = p.peers.lastNews();
      if (heard !== null) book.warm(heard.news, heard.at);
      this.fleet.news = heard?.news ?? NO_NEWS;
      this.fleet.listed = false;
      const t: Turn = {
        settings: p.settings,
        store: p.store,
        feed: p.feed,
        cache: p.cache,
        book,
        ledger: new Ledger(p.balance),
        doubt: p.doubt,
        reign: { ...reign, began },
        acting: r.acting,
        reigning: r.reigning,
        acknowledged: () => p.peers.acknowledged(reign.term),
        types: () => p.types() ?? [],
        mayStart: () => p.admission.mayStart,
        fleet: this.fleet,
        clock: p.clock,
        dayTime: p.dayTime,
        learned: new Learned(),
        companions: new Map(),
        waits: new Waits(),
        largest: new Largest(p.cache.largest),
      };
      const view: CycleView = { result: null, surplus: new Set(), companions: [], cost: 0, behind: false };
      const gate = new Gate(p.clock);
      this.desk = {
        book,
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
        yield* (t.acting() ? turn(t, view) : Effect.void).pipe(
          Effect.ensuring(Effect.sync(() => gate.open())),
        );
        if (t.acting()) yield* sendUrgent(book, p.workers, p.admission);
        yield* Effect.sleep(turnGapMs(book.machines.size, toMillis(view.cost), view.behind));
      }).pipe(Effect.forever);
      const tidy = duty('upkeep', upkeep(t).pipe(Effect.zipRight(tick(UPKEEP_GAP_MS)), Effect.forever));
      const report = duty(
        'summary',
        Effect.sleep(SUMMARY_EVERY_MS).pipe(
          Effect.zipRight(Effect.suspend(() => info('cluster', { term: reign.term, ...summary(t, view) }))),
          Effect.forever,
        ),
      );
      const tend = duty(
        'tend',
        Effect.suspend(() => (t.acting() ? this.tend(t, r, gathered) : Effect.void)).pipe(
          Effect.zipRight(tick(TEND_EVERY_MS)),
          Effect.forever,
        ),
      );
      const weights = weightsDuty({ ...t, machines: () => book.machines.values() });
      const fleet = fleetDuty(t, view, p.cloud);
      return Effect.all([duty('turns', turns), fleet, tidy, report, relieve, tend, weights, largestDuty(t)], {
        concurrency: 'unbounded',
        discard: true,
      }).pipe(Effect.ensuring(Effect.sync(() => gate.relieve(seconds(0)))));
    });
  }

  /** What is left to do after the store's first start or a rebuild, until it is settled. */
  private tend(t: Turn, r: Rebuild, gathered: Gathered): Effect.Effect<void> {
    const { cache, book } = t;
    return Effect.gen(this, function* () {
      yield* Effect.ignore(listen(r, gathered, this.p.peers.withRelics()));
      const generation = cache.incarnation?.generation ?? 0;
      const at = t.clock();
      if (!cache.calm && book.allLapsed(at)) yield* declare(r, CALM);
      const all = generation === 0 ? (t.fleet.listed && book.accounted()) || book.allLapsed(at) : cache.calm;
      if (!cache.settled && cache.rebuild === null && all) yield* declare(r, SETTLED);
      if (generation > 0 && cache.rebuild?.phase !== 'gather') yield* tendWards(t);
    });
  }
}
