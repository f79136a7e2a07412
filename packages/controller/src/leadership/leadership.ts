/**
 * Leader election: the only source of "may I act until T". One key in the state service, attached to a lease, names the
 * leader. The term key only grows and is the workers' fencing token; every committing write is conditional on its revision,
 * so that a deposed leader's late transaction fails.
 */
import { Effect, Queue, Random } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, plus, seconds, toMillis } from '@lilacvalve/runtime/micros';
import { orTick } from '@lilacvalve/runtime/tick';
import type { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import { type DataLossDetector } from '../recovery/data-loss-detector.js';
import type { Settings } from '../settings/settings.js';
import type { StateFailure } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import { Campaign, type WonTerm } from './campaign.js';
import type { Contacts } from './contacts.js';
import { LeaderLease } from './leader-lease.js';
import type { Peers } from './peers.js';
import { answerAuthority, maxViewAge, mayStart, readLeaseExpiry } from './read-lease.js';
import { type FoundingParts, foundStore, refoundStore } from './store-founding.js';

/** How long a term waits for its lease to be extended again after it expired. */
const EXTENSION_GRACE = seconds(8);
/** How long a leader that couldn't read does not campaign. */
const READ_FAILURE_BACKOFF = seconds(10);

/** One term of this node as leader. */
export interface LeadershipTerm {
  readonly number: number;
  /** Revision of the term key: the condition of every committing write. */
  readonly stamp: number;
  readonly began: Micros;
}

/** Whether this controller leads, may answer heartbeats, or campaigns: the only source of "may act until". */
export class Leadership {
  private leaderTerm: LeadershipTerm | null = null;
  private readonly lease: LeaderLease;
  private readonly campaign: Campaign;
  private readonly founding: FoundingParts;
  /** After stepping down: this node does not campaign before this time. */
  private noCampaignBefore = Number.NEGATIVE_INFINITY;
  /** The present term's lease has expired, and this was logged. */
  private expiryLogged = false;
  /** See `knownAsOf`: the latest moment that the peers' heartbeats have proven, in the incarnation counted so. */
  private provenAsOf = Number.NEGATIVE_INFINITY;
  private provenInIncarnation = 0;
  private readonly termBegan = Effect.runSync(Queue.sliding<void>(1));
  /** Completes when a term of this node has begun, and now and then without. */
  readonly awaitTerm = orTick(Queue.take(this.termBegan), 1000);
  private readonly leaderGone = Effect.runSync(Queue.sliding<void>(1));

  constructor(
    private readonly settings: Settings,
    private readonly store: StatePort,
    /** The state service as it is, for what begins an incarnation. */
    unguardedStore: StatePort,
    private readonly lossDetector: DataLossDetector,
    /** Keeps this node's view as one from before a loss, and makes it ready for another incarnation's. */
    private readonly retireView: () => void,
    private readonly watcher: StoreWatcher,
    private readonly jobState: JobState,
    private readonly peers: Pick<
      Peers,
      'confirmedUntil' | 'highestTerm' | 'candidates' | 'allAsked' | 'unchangedSince'
    >,
    private readonly contacts: Contacts,
    private readonly clock: () => Micros,
  ) {
    jobState.onLeaderKeyDeleted = () => Queue.unsafeOffer(this.leaderGone, undefined);
    this.lease = new LeaderLease(settings);
    const mayCampaign = (): boolean => clock() >= this.noCampaignBefore;
    const shared = { settings, lossDetector, watcher, jobState, peers, clock };
    this.campaign = new Campaign({ ...shared, store, contacts, mayCampaign }, this.lease);
    this.founding = { ...shared, unguardedStore };
  }

  /** The term this node may act for right now, or null. */
  currentTerm(): LeadershipTerm | null {
    return this.leaderTerm !== null && !this.lossDetector.suspected && this.clock() < this.lease.expiresAt
      ? this.leaderTerm
      : null;
  }

  /** The number of the term this node is acting for; null: none. */
  currentTermNumber(): number | null {
    return this.currentTerm()?.number ?? null;
  }

  /**
   * The term this node may answer heartbeats for: by its leader lease, or by a read lease while the state service is out or
   * a data loss is suspected. Under a read lease nothing is placed; answers only repeat what is durable, so that workers
   * keep their leases.
   */
  answeringTerm(): LeadershipTerm | null {
    const { leaderTerm } = this;
    if (leaderTerm === null) return null;
    const may = (confirmedUntil: number, knownAsOf: number): boolean => {
      const leaderLeaseUntil = this.lossDetector.suspected ? Number.NEGATIVE_INFINITY : this.lease.expiresAt;
      const bounds = { leaderLeaseUntil, confirmedUntil, knownAsOf };
      return answerAuthority(this.clock(), bounds, this.settings.workers, this.lease.ttl) !== null;
    };
    // Asked twice for each heartbeat: the peers' heartbeats are looked through only where the own lease and read are not enough.
    if (may(Number.NEGATIVE_INFINITY, this.watcher.readAsOf)) return leaderTerm;
    return may(this.peers.confirmedUntil(leaderTerm.number), this.knownAsOf()) ? leaderTerm : null;
  }

  /** Whether an answer to a heartbeat may start tasks. */
  mayStart(): boolean {
    if (this.currentTerm() !== null) return true;
    return mayStart(this.clock(), {
      leaderLeaseUntil: Number.NEGATIVE_INFINITY,
      knownAsOf: this.knownAsOf(),
    });
  }

  /** The term is not over, though this node may be without a lease for the moment. */
  isCurrent(term: number): boolean {
    return this.leaderTerm?.number === term;
  }

  /**
   * Every cancellation confirmed before this moment is in this node's view: by its own read, or because each of the
   * others has said, asked since, that it knows of no change later than this view's. Whoever confirms a cancellation has
   * seen its revision, and an incarnation's view never goes back, so what was proven once stays true.
   */
  private knownAsOf(): number {
    const { incarnation, incarnationCount } = this.lossDetector;
    if (incarnationCount !== this.provenInIncarnation) {
      this.provenInIncarnation = incarnationCount;
      this.provenAsOf = Number.NEGATIVE_INFINITY;
    }
    if (incarnation !== null && this.watcher.loaded) {
      const asOf = this.peers.unchangedSince(incarnation.id, this.watcher.completeRevision());
      if (asOf > this.provenAsOf) this.provenAsOf = asOf;
    }
    return Math.max(this.watcher.readAsOf, this.provenAsOf);
  }

  /** The node to send workers to, as far as is known. */
  knownLeader(): string | null {
    return this.jobState.leader?.node ?? null;
  }

  /** A higher fencing token exists: this node is deposed at once. */
  depose(token: number): void {
    if (this.leaderTerm && token > this.leaderTerm.number) this.endTerm();
  }

  /** What this node held was of an incarnation that is over; a lease's number may by now be another's. */
  abandonIncarnation(): void {
    this.endTerm();
    this.lease.id = null;
  }

  private endTerm(): void {
    this.leaderTerm = null;
    this.lease.expire();
    this.store.leading(false);
  }

  /** Leaves the leadership to the other controllers, and does not campaign for `forMicros`. */
  stepDown(reason: string, forMicros: number): Effect.Effect<void> {
    return Effect.suspend(() => {
      const lease = this.lease.id;
      this.noCampaignBefore = plus(this.clock(), forMicros);
      this.endTerm();
      this.lease.id = null;
      return info('stepped down', { reason }).pipe(
        Effect.zipRight(lease === null ? Effect.void : this.store.release(lease).pipe(Effect.ignore)),
      );
    });
  }

  /** On orderly stop. */
  readonly release: Effect.Effect<void> = Effect.suspend(() => this.stepDown('stop', 0));

  /** Extensions that succeed while reads fail would keep a leader that may answer no heartbeat: another may do better. */
  private readonly stepDownIfReadsFail = Effect.suspend(() =>
    this.currentTerm() !== null && this.answeringTerm() === null && maxViewAge(this.settings.workers) > 0
      ? this.stepDown('reads fail', READ_FAILURE_BACKOFF)
      : Effect.void,
  );

  /** Steps down when workers that reached this node reach only a peer now. */
  private readonly stepDownIfCutOff = Effect.suspend(() => {
    const leaderTerm = this.currentTerm();
    const at = this.clock();
    if (leaderTerm === null || at - leaderTerm.began < this.contacts.window) return Effect.void;
    const reason = this.contacts.cutOffReason(at, this.peers.candidates());
    return reason === null ? Effect.void : this.stepDown(reason, this.contacts.backoff(at));
  });

  /** Begins a term that this node has won. */
  private beginTerm(won: WonTerm): Effect.Effect<void, StateFailure> {
    return Effect.gen(this, function* () {
      const { term } = won;
      this.lease.acquire(won.lease, won.asked);
      this.store.leading(true);
      // Placing needs a view that includes everything earlier terms committed. Without one the lease is left as an orphan:
      // kept as this node's, it would have its full time again after an outage, and nobody could lead meanwhile.
      yield* Effect.tapError(this.watcher.refresh, () =>
        Effect.sync(() => {
          this.endTerm();
          this.lease.id = null;
        }),
      );
      if (this.jobState.term !== term) return;
      this.leaderTerm = { number: term, stamp: won.revision, began: this.clock() };
      Queue.unsafeOffer(this.termBegan, undefined);
      yield* info('became leader', { term });
    });
  }

  /** See `foundStore` in store-founding.ts. */
  readonly foundStore: Effect.Effect<void, StateFailure> = Effect.suspend(() => foundStore(this.founding));

  /** Begins a new incarnation after a loss and leads it; false: another node was faster. See store-founding.ts. */
  readonly refoundStore: Effect.Effect<boolean, StateFailure> = Effect.gen(this, function* () {
    const won = yield* refoundStore(this.founding, this.lease.ttl);
    if (won === null) return false;
    this.retireView();
    yield* this.beginTerm(won);
    return true;
  });

  private readonly tryCampaign = Effect.suspend(() => this.campaign.attempt).pipe(
    Effect.flatMap((won) => (won === null ? Effect.void : this.beginTerm(won))),
    Effect.catchAll(() => Effect.void),
  );

  private readonly extendLease = Effect.gen(this, function* () {
    const { id } = this.lease;
    if (id === null) return;
    const asked = this.clock();
    const left = this.lease.expiresAt - asked;
    const extended = yield* this.store
      .extend(id, left <= 0 ? 900 : Math.max(200, Math.min(900, toMillis(left))))
      .pipe(Effect.orElseSucceed(() => null));
    if (extended === true && this.lease.id === id) this.lease.extend(asked);
    if (extended !== false) return;
    // A lease that is gone may be the first sign of a store that has lost data: then this term may go on by a read lease.
    yield* Effect.ignore(this.watcher.refresh);
    if (!this.lossDetector.suspected) this.endTerm();
  });

  /** Ends a term that a higher one has followed, or whose leases have all expired. */
  private readonly checkTerm = Effect.gen(this, function* () {
    const { leaderTerm } = this;
    if (leaderTerm !== null && Math.max(this.jobState.term, this.peers.highestTerm()) > leaderTerm.number)
      this.endTerm();
    if (this.leaderTerm === null || this.clock() < this.lease.expiresAt) {
      this.expiryLogged = false;
      return;
    }
    if (!this.expiryLogged) yield* info('leader lease expired', { term: this.leaderTerm.number });
    this.expiryLogged = true;
    // The lease may still be ours once the service is back; without it, and past any read lease, the term is over.
    const readLeaseUntil = readLeaseExpiry({ knownAsOf: this.knownAsOf() }, this.settings.workers);
    if (this.clock() >= Math.max(readLeaseUntil, this.lease.expiresAt + EXTENSION_GRACE)) this.endTerm();
  });

  /** Leads while it can and campaigns while nobody leads. Never ends by itself. */
  readonly run = supervise(
    'leadership',
    Effect.gen(this, function* () {
      yield* this.checkTerm;
      if (this.leaderTerm !== null) {
        yield* this.extendLease;
        yield* this.stepDownIfCutOff;
        yield* this.stepDownIfReadsFail;
        yield* Effect.sleep(toMillis(this.lease.ttl / 5));
      } else {
        yield* this.tryCampaign;
        // While another leads there is nothing to try for; the store watcher tells when its key is gone.
        yield* this.jobState.leader === null
          ? Effect.sleep(150 + 100 * (yield* Random.next))
          : orTick(Queue.take(this.leaderGone), 1000);
      }
    }).pipe(Effect.forever),
  );
}
