/**
 * Term and lease: the only source of "may I act until T". One key in the state service, attached to a
 * lease, names the leader; the term key only grows, is the workers' token, and every committing write is
 * conditional on its revision, so that a deposed leader's late transaction fails.
 */
import { Clock, Effect, Queue, Random } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { DRIFT, type Micros, millis, plus, seconds, toMillis } from '@lilacvalve/runtime/micros';
import { orTick } from '@lilacvalve/runtime/tick';
import type { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import { type DataLossDetector } from '../recovery/data-loss-detector.js';
import { attemptsFrom, floorOf, generationOf, incarnationOf } from '../recovery/model.js';
import { CALM, FOUNDED, INCARNATION, LEADER, LIFE, REBUILD, SETTLED, TERM } from '../jobs/keys.js';
import type { StateFailure, Write } from '../state-store/client.js';
import type { Contacts } from './contacts.js';
import { holdEnds, mayAnswer, mayLag, mayStart } from './read-lease.js';
import type { Peers } from './peers.js';
import type { Settings } from '../settings/settings.js';
import { Priority } from '../state-store/budget.js';
import type { StatePort } from '../state-store/port.js';

const MARGIN = millis(150);
/** How long a reign waits for its lease to be extended again after its right ran out. */
const LINGER = seconds(8);
/** How long a leader that couldn't read stays away. */
const BLIND = seconds(10);
/** How long a node that workers don't reach leaves a vacant lead to a peer that they do reach. */
const PATIENCE = millis(1500);

export interface LeadershipTerm {
  readonly number: number;
  /** Revision of the term key: the condition of every committing write. */
  readonly stamp: number;
  readonly began: Micros;
}

/** A name that no other incarnation has: by whom, when, and luck. */
const newId = (label: string): Effect.Effect<string> =>
  Effect.zipWith(Clock.currentTimeMillis, Random.nextIntBetween(0, 2 ** 31), (at, luck) =>
    [label.replace(/[^\w-]/g, '_').slice(0, 60), Math.round(at).toString(36), luck.toString(36)].join('.'),
  );

export class Leadership {
  private leaderTerm: LeadershipTerm | null = null;
  private lease: number | null = null;
  private rightUntil = Number.NEGATIVE_INFINITY;
  /** After giving way: not before this time. */
  private shunUntil = Number.NEGATIVE_INFINITY;
  private readonly ttl: Micros;
  private holds = false;
  /** See `knownAsOf`; of which life of the store's data. */
  private coveredAsOf = Number.NEGATIVE_INFINITY;
  private coveredIn = 0;
  private readonly begun = Effect.runSync(Queue.sliding<void>(1));
  /** Completes when a reign has begun, or now and then. */
  readonly awaitTerm = orTick(Queue.take(this.begun), 1000);
  private readonly vacant = Effect.runSync(Queue.sliding<void>(1));
  /** Since when this node has left a vacant lead to a better placed peer. */
  private vacantSince: Micros | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly store: StatePort,
    /** The state service as it is, for what begins an incarnation. */
    private readonly raw: StatePort,
    private readonly lossDetector: DataLossDetector,
    /** Keeps this node's view as a relic and makes it ready for another incarnation's. */
    private readonly leaveView: () => void,
    private readonly watcher: StoreWatcher,
    private readonly jobState: JobState,
    private readonly peers: Pick<
      Peers,
      'confirmedUntil' | 'highestTerm' | 'candidates' | 'allAsked' | 'nothingAfter'
    >,
    private readonly contacts: Contacts,
    private readonly clock: () => Micros,
  ) {
    jobState.onVacant = () => Queue.unsafeOffer(this.vacant, undefined);
    this.ttl = Math.min(seconds(4), Math.max(seconds(2.5), settings.workers.lease / 5)) as Micros;
  }

  /** Until when a lease that was granted or extended when asked at `asked` gives a right to act. */
  private rightFrom(asked: Micros): Micros {
    return plus(asked, this.ttl * (1 - DRIFT) - MARGIN);
  }

  /** The reign this node may act for right now, or null. */
  currentTerm(): LeadershipTerm | null {
    return this.leaderTerm !== null && !this.lossDetector.suspected && this.clock() < this.rightUntil
      ? this.leaderTerm
      : null;
  }

  /** The term this node is acting for; null: none. */
  currentTermNumber(): number | null {
    return this.currentTerm()?.number ?? null;
  }

  /**
   * The reign this node may answer reports for: its own right, or a hold while the state service is out or doubted.
   * A hold places nothing; it only repeats what is durable, so that workers keep their leases.
   */
  answeringTerm(): LeadershipTerm | null {
    const { leaderTerm } = this;
    if (leaderTerm === null) return null;
    const may = (confirmedUntil: number, knownAsOf: number): boolean => {
      const rightUntil = this.lossDetector.suspected ? Number.NEGATIVE_INFINITY : this.rightUntil;
      const standing = { rightUntil, confirmedUntil, knownAsOf };
      return mayAnswer(this.clock(), standing, this.settings.workers, this.ttl) !== null;
    };
    // Asked twice for each report: what the others say is looked through only where the own right and read are not enough.
    if (may(Number.NEGATIVE_INFINITY, this.watcher.readAsOf)) return leaderTerm;
    return may(this.peers.confirmedUntil(leaderTerm.number), this.knownAsOf()) ? leaderTerm : null;
  }

  /** Whether an answer to a report may hold starts. */
  mayStart(): boolean {
    if (this.currentTerm() !== null) return true;
    return mayStart(this.clock(), { rightUntil: Number.NEGATIVE_INFINITY, knownAsOf: this.knownAsOf() });
  }

  /** The reign is not over, though it may be without right for the moment. */
  isCurrent(term: number): boolean {
    return this.leaderTerm?.number === term;
  }

  /**
   * Every cancellation confirmed before this moment is in this node's view: by its own read, or because each of the
   * others has said, asked since, that it knows of no change later than this view's. Whoever confirms a cancellation has
   * seen its revision, and an incarnation's view never goes back, so what once held stays true.
   */
  private knownAsOf(): number {
    const { incarnation, life } = this.lossDetector;
    if (life !== this.coveredIn) {
      this.coveredIn = life;
      this.coveredAsOf = Number.NEGATIVE_INFINITY;
    }
    if (incarnation !== null && this.watcher.loaded) {
      const asOf = this.peers.nothingAfter(incarnation.id, this.watcher.completeTo());
      if (asOf > this.coveredAsOf) this.coveredAsOf = asOf;
    }
    return Math.max(this.watcher.readAsOf, this.coveredAsOf);
  }

  /** The node to send workers to, as far as is known. */
  knownLeader(): string | null {
    return this.jobState.leader?.node ?? null;
  }

  /** A higher token exists: this node is deposed at once. */
  depose(token: number): void {
    if (this.leaderTerm && token > this.leaderTerm.number) this.end();
  }

  /** What it held was of an incarnation that is over; a lease's number may by now be another's. */
  abandonIncarnation(): void {
    this.end();
    this.lease = null;
  }

  private end(): void {
    this.leaderTerm = null;
    this.rightUntil = Number.NEGATIVE_INFINITY;
    this.store.leading(false);
  }

  /** Gives way to the others, because this node can't serve the workers. */
  stepDown(reason: string, forMicros: number): Effect.Effect<void> {
    return Effect.suspend(() => {
      const lease = this.lease;
      this.shunUntil = plus(this.clock(), forMicros);
      this.end();
      this.lease = null;
      return info('gives way', { reason }).pipe(
        Effect.zipRight(lease === null ? Effect.void : this.store.release(lease).pipe(Effect.ignore)),
      );
    });
  }

  /** On orderly stop. */
  readonly release: Effect.Effect<void> = Effect.suspend(() => this.stepDown('stop', 0));

  /** Extends that succeed while reads fail would keep a lead that may answer no report: another may do better. */
  private readonly stepDownIfReadsFail = Effect.suspend(() =>
    this.currentTerm() !== null && this.answeringTerm() === null && mayLag(this.settings.workers) > 0
      ? this.stepDown('reads fail', BLIND)
      : Effect.void,
  );

  /** Gives way when workers that reached this node reach only a peer now. */
  private readonly stepDownIfCutOff = Effect.suspend(() => {
    const leaderTerm = this.currentTerm();
    const at = this.clock();
    if (leaderTerm === null || at - leaderTerm.began < this.contacts.window) return Effect.void;
    const reason = this.contacts.cutOff(at, this.peers.candidates());
    return reason === null ? Effect.void : this.stepDown(reason, this.contacts.away(at));
  });

  /** Workers reach a peer and not this node: the peer goes first, for a moment. */
  private worsePlaced(): boolean {
    const at = this.clock();
    const mine = this.contacts.recent(at);
    if (!this.peers.candidates().some((p) => p.contacts > 2 * mine + 2)) return false;
    this.vacantSince ??= at;
    return at - this.vacantSince < PATIENCE;
  }

  /**
   * The lead is named as this node's, by a lease that this process does not hold: it was an earlier process's, which has
   * ended since there is one for each label, or a campaign's whose answer got lost. Nobody extends it. After an outage it
   * would have its full time again, and nobody could lead meanwhile.
   */
  private readonly dropOrphan = Effect.suspend(() => {
    const { leader } = this.jobState;
    if (!this.watcher.loaded || leader?.node !== this.settings.label || leader.lease === this.lease)
      return Effect.void;
    return this.store.release(leader.lease).pipe(Effect.zipRight(this.watcher.refresh));
  });

  /** As far as was read, this node leads by the campaign of this term and lease: both stand there by one change. */
  private wonCampaign(term: number, lease: number): boolean {
    const { leader, leaderStamp, termStamp } = this.jobState;
    const mine = leader?.node === this.settings.label && leader.term === term && leader.lease === lease;
    return mine && leaderStamp === termStamp;
  }

  private readonly campaign = Effect.gen(this, function* () {
    yield* this.dropOrphan;
    if (this.jobState.leader !== null) this.vacantSince = null;
    if (
      this.lossDetector.suspected ||
      !this.watcher.loaded ||
      this.jobState.leader !== null ||
      this.clock() < this.shunUntil
    )
      return;
    if (this.worsePlaced()) return;
    yield* this.watcher.refresh;
    if (this.jobState.leader !== null) return;
    // Named by somebody after the read: a newer read shows whether the store has it.
    if (this.lossDetector.highestTerm() > this.jobState.term) return;
    const { incarnation } = this.jobState;
    if (incarnation === null) return;
    const asked = this.clock();
    const lease = yield* this.store.grant(this.ttl);
    const term = Math.max(this.jobState.term, incarnation.base) + 1;
    const attempts = attemptsFrom(
      incarnation,
      this.jobState.term > 0 ? this.jobState.attempts : null,
      (yield* Clock.currentTimeMillis) / 1000,
    );
    const sent = yield* Effect.either(
      this.store.transact(
        [
          { key: LEADER, stamp: 0 },
          { key: TERM, stamp: this.jobState.termStamp },
        ],
        [
          { set: LEADER, value: { node: this.settings.label, term, lease }, lease },
          { set: TERM, value: { term, a: attempts } },
        ],
        Priority.Lease,
        1500,
      ),
    );
    if (sent._tag === 'Left') {
      if (sent.left._tag === 'Refused') return;
      // Carried out, perhaps, and its answer alone lost: a lead that is held is taken up, not given back. Its right counts
      // from before its lease was asked for, as ever.
      yield* this.watcher.refreshNow;
      if (this.wonCampaign(term, lease) && this.clock() < this.rightFrom(asked))
        yield* this.begin(term, this.jobState.termStamp, lease, asked);
      return;
    }
    const outcome = sent.right;
    if (!outcome.ok) {
      yield* Effect.ignore(this.store.release(lease));
      yield* this.watcher.refresh;
      return;
    }
    yield* this.begin(term, outcome.revision, lease, asked);
  });

  /** The transaction that gave this node the lead is committed; `asked`: when the lease was asked for. */
  private begin(
    term: number,
    stamp: number,
    lease: number,
    asked: Micros,
  ): Effect.Effect<void, StateFailure> {
    return Effect.gen(this, function* () {
      this.lease = lease;
      this.rightUntil = this.rightFrom(asked);
      this.store.leading(true);
      // Placing needs a view that includes everything earlier terms committed. Without one the lead is an orphan's: kept as
      // this node's, it would have its full time again after an outage, and nobody could lead meanwhile.
      yield* Effect.tapError(this.watcher.refresh, () =>
        Effect.sync(() => {
          this.end();
          this.lease = null;
        }),
      );
      if (this.jobState.term !== term) return;
      this.leaderTerm = { number: term, stamp, began: this.clock() };
      Queue.unsafeOffer(this.begun, undefined);
      yield* info('leads', { term });
    });
  }

  /**
   * Begins the store's first incarnation, at once, when nobody who answers knows of one: users need not wait for a leader.
   * A store that was written by a version without incarnations gets one the same way.
   */
  readonly foundStore: Effect.Effect<void, StateFailure> = Effect.gen(this, function* () {
    if (this.lossDetector.suspected || !this.watcher.loaded || this.jobState.incarnation !== null) return;
    if (!this.peers.allAsked() || this.lossDetector.known().generation >= 0) return;
    const born = INCARNATION + (yield* newId(this.settings.label));
    // Should an earlier life of the store have been lost without anybody to remember it, its terms were lower.
    const now = Math.floor((yield* Clock.currentTimeMillis) / 1000);
    const base = this.jobState.term > 0 ? 0 : now;
    const outcome = yield* this.raw.transact(
      [
        { key: FOUNDED, stamp: 0 },
        { key: TERM, stamp: this.jobState.termStamp },
        { key: born, stamp: 0 },
      ],
      [
        { set: FOUNDED, value: this.settings.label },
        { set: born, value: { g: 0, by: this.settings.label, t: base, s: now } },
      ],
      Priority.Lease,
      1500,
    );
    yield* this.watcher.refreshNow;
    if (outcome.ok) yield* info('store founded');
  });

  /**
   * Begins a new incarnation of the store, which has lost data, and leads it: a rebuild follows. Of several nodes that
   * try, the conditions let one through. The terms of a generation lie above all that were ever used before it.
   */
  readonly refoundStore: Effect.Effect<boolean, StateFailure> = Effect.gen(this, function* () {
    const [life, lead, last] = yield* Effect.all([
      this.raw.page(LIFE, null, 1000),
      this.raw.page(LEADER, null, 1),
      this.raw.page(TERM, null, 1),
    ]);
    const old = life.entries.filter((e) => e.key.startsWith(INCARNATION));
    const known = this.lossDetector.known();
    const generations = old.map((e) => incarnationOf(e.key, e.value, e.stamp).generation);
    // Somebody was faster: the next look shows that the store was rebuilt.
    if (generations.some((g) => g > known.generation)) return false;
    const there = (last.entries[0]?.value as { term: number } | undefined)?.term ?? 0;
    const generation =
      1 + Math.max(known.generation, generationOf(Math.max(known.term, there)), ...generations);
    const term = floorOf(generation) + 1;
    const born = INCARNATION + (yield* newId(this.settings.label));
    const now = Math.floor((yield* Clock.currentTimeMillis) / 1000);
    // Counted from the first start on, as long as anybody knows of it: should this incarnation be lost and forgotten as
    // well, the one that takes its generation goes on above it.
    const since = known.incarnation?.born ?? now;
    const attempts = attemptsFrom({ id: born, generation, stamp: 0, base: 0, born: since }, null, now);
    const asked = this.clock();
    const lease = yield* this.raw.grant(this.ttl);
    const gone: Write[] = life.entries
      .filter((e) => old.includes(e) || [CALM, SETTLED].includes(e.key))
      .map((e) => ({ delete: e.key }));
    const outcome = yield* this.raw.transact(
      [
        ...old.map((e) => ({ key: e.key, stamp: e.stamp })),
        { key: LEADER, stamp: lead.entries[0]?.stamp ?? 0 },
        { key: TERM, stamp: last.entries[0]?.stamp ?? 0 },
        { key: born, stamp: 0 },
      ],
      [
        ...gone,
        { set: born, value: { g: generation, by: this.settings.label, s: since } },
        { set: REBUILD, value: { phase: 'gather', heard: [] } },
        { set: LEADER, value: { node: this.settings.label, term, lease }, lease },
        { set: TERM, value: { term, a: attempts } },
      ],
      Priority.Lease,
      1500,
    );
    if (!outcome.ok) {
      yield* Effect.ignore(this.raw.release(lease));
      return false;
    }
    yield* info('new incarnation', { term, generation, was: known.incarnation?.id ?? 'unknown' });
    this.leaveView();
    yield* this.begin(term, outcome.revision, lease, asked);
    return true;
  });

  private readonly renew = Effect.gen(this, function* () {
    const lease = this.lease!;
    const asked = this.clock();
    const left = this.rightUntil - asked;
    const kept = yield* this.store
      .extend(lease, left <= 0 ? 900 : Math.max(200, Math.min(900, toMillis(left))))
      .pipe(Effect.orElseSucceed(() => null));
    if (kept === true && this.lease === lease) this.rightUntil = this.rightFrom(asked);
    if (kept !== false) return;
    // A lease that is gone may be the first sign of a store that has lost data: then this reign may hold on.
    yield* Effect.ignore(this.watcher.refresh);
    if (!this.lossDetector.suspected) this.end();
  });

  readonly run = supervise(
    'leadership',
    Effect.gen(this, function* () {
      const { leaderTerm } = this;
      if (leaderTerm !== null && Math.max(this.jobState.term, this.peers.highestTerm()) > leaderTerm.number)
        this.end();
      if (this.leaderTerm !== null && this.clock() >= this.rightUntil) {
        if (!this.holds) yield* info('right ran out', { term: this.leaderTerm.number });
        this.holds = true;
        // The lease may still be ours once the service is back; without it, and past any hold, it is over.
        const held = holdEnds({ knownAsOf: this.knownAsOf() }, this.settings.workers);
        if (this.clock() >= Math.max(held, this.rightUntil + LINGER)) this.end();
      } else this.holds = false;
      if (this.leaderTerm !== null) {
        yield* this.renew;
        yield* this.stepDownIfCutOff;
        yield* this.stepDownIfReadsFail;
        yield* Effect.sleep(toMillis(this.ttl / 5));
      } else {
        yield* this.campaign.pipe(Effect.catchAll(() => Effect.void));
        // While another leads there is nothing to try for; the feed tells when its key is gone.
        yield* this.jobState.leader === null
          ? Effect.sleep(150 + 100 * (yield* Random.next))
          : orTick(Queue.take(this.vacant), 1000);
      }
    }).pipe(Effect.forever),
  );
}
