/**
 * Leader election, and the only source of the right to act as leader. One key in the state service, attached to a lease,
 * names the leader. The value of the term key only grows and is the workers' fencing token. Every write that commits a
 * decision is conditional on the revision of the term key, so that a deposed leader's late transaction fails.
 */
import { Effect, Queue, Random } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, plus, seconds, toMillis } from '@lilacvalve/runtime/micros';
import { runUntilTick } from '@lilacvalve/runtime/tick';
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
import { responseAuthority, maxViewAge, mayStart, readLeaseExpiry } from './read-lease.js';
import { type FoundingDependencies, foundStore, refoundStore } from './store-founding.js';

/** How long after its lease has expired a term may continue if the lease is extended again. */
const EXTENSION_GRACE = seconds(8);
/** How long a leader that stepped down because its reads failed does not campaign. */
const READ_FAILURE_BACKOFF = seconds(10);

/** One term of this controller as leader. */
export interface LeadershipTerm {
  readonly number: number;
  /** Revision of the term key: a condition of every write that commits a decision. */
  readonly revision: number;
  /** When the term began, by this controller's clock. */
  readonly began: Micros;
}

/** Campaigns for leadership, keeps it, and tells whether this controller may act as leader or respond to heartbeats. */
export class Leadership {
  private leaderTerm: LeadershipTerm | null = null;
  private readonly lease: LeaderLease;
  private readonly campaign: Campaign;
  private readonly founding: FoundingDependencies;
  /** After stepping down, this controller does not campaign before this time. */
  private noCampaignBefore = Number.NEGATIVE_INFINITY;
  /** Whether the expiry of the present term's lease has been logged. */
  private expiryLogged = false;
  /** The latest time for `knownAsOf` that peers' heartbeats have proven. */
  private provenAsOf = Number.NEGATIVE_INFINITY;
  /** The value of `DataLossDetector.incarnationCount` for which `provenAsOf` is valid. */
  private provenIncarnationCount = 0;
  private readonly termBegan = Effect.runSync(Queue.sliding<void>(1));
  /** Completes when a term of this controller begins, and after a second even if none does. */
  readonly awaitTerm = runUntilTick(Queue.take(this.termBegan), 1000);
  private readonly leaderKeyDeleted = Effect.runSync(Queue.sliding<void>(1));

  constructor(
    private readonly settings: Settings,
    private readonly store: StatePort,
    /** The state service without the guard, for transactions that begin an incarnation. */
    unguardedStore: StatePort,
    private readonly lossDetector: DataLossDetector,
    /** Keeps this controller's view as a pre-loss view, and prepares for the view of another incarnation. */
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
    jobState.onLeaderKeyDeleted = () => Queue.unsafeOffer(this.leaderKeyDeleted, undefined);
    this.lease = new LeaderLease(settings);
    const mayCampaign = (): boolean => clock() >= this.noCampaignBefore;
    const shared = { settings, lossDetector, watcher, jobState, peers, clock };
    this.campaign = new Campaign({ ...shared, store, contacts, mayCampaign }, this.lease);
    this.founding = { ...shared, unguardedStore };
  }

  /** The term for which this controller may act as leader now; null: it may not. */
  currentTerm(): LeadershipTerm | null {
    return this.leaderTerm !== null && !this.lossDetector.suspected && this.clock() < this.lease.expiresAt
      ? this.leaderTerm
      : null;
  }

  /** The number of the term for which this controller may act as leader now; null: it may not. */
  currentTermNumber(): number | null {
    return this.currentTerm()?.number ?? null;
  }

  /**
   * The term for which this controller may respond to heartbeats, under its leader lease, or under a read lease during an
   * outage of the state service or while a data loss is suspected. Under a read lease no task is placed: responses only
   * repeat durable decisions, so that workers keep their leases.
   */
  respondingTerm(): LeadershipTerm | null {
    const { leaderTerm } = this;
    if (leaderTerm === null) return null;
    const may = (confirmedUntil: number, knownAsOf: number): boolean => {
      const leaderLeaseUntil = this.lossDetector.suspected ? Number.NEGATIVE_INFINITY : this.lease.expiresAt;
      const bounds = { leaderLeaseUntil, confirmedUntil, knownAsOf };
      return responseAuthority(this.clock(), bounds, this.settings.workers, this.lease.ttl) !== null;
    };
    // Called twice for each heartbeat: the peers' heartbeats are evaluated only if the own lease and view don't suffice.
    if (may(Number.NEGATIVE_INFINITY, this.watcher.readAsOf)) return leaderTerm;
    return may(this.peers.confirmedUntil(leaderTerm.number), this.knownAsOf()) ? leaderTerm : null;
  }

  /** Whether a response to a heartbeat may start tasks. */
  mayStart(): boolean {
    if (this.currentTerm() !== null) return true;
    return mayStart(this.clock(), {
      leaderLeaseUntil: Number.NEGATIVE_INFINITY,
      knownAsOf: this.knownAsOf(),
    });
  }

  /** Whether this term has not ended. Its lease may have expired, so that this controller may not act for the moment. */
  isCurrent(term: number): boolean {
    return this.leaderTerm?.number === term;
  }

  /**
   * Every cancellation confirmed before this time is in this controller's view: because the view was read since, or
   * because every other controller has responded to a later heartbeat that it knows of no change after this view. A
   * controller that confirms a cancellation knows its revision, and within an incarnation a view never goes back, so that a
   * time once proven remains valid.
   */
  private knownAsOf(): number {
    const { incarnation, incarnationCount } = this.lossDetector;
    if (incarnationCount !== this.provenIncarnationCount) {
      this.provenIncarnationCount = incarnationCount;
      this.provenAsOf = Number.NEGATIVE_INFINITY;
    }
    if (incarnation !== null && this.watcher.loaded) {
      const asOf = this.peers.unchangedSince(incarnation.id, this.watcher.completeRevision());
      if (asOf > this.provenAsOf) this.provenAsOf = asOf;
    }
    return Math.max(this.watcher.readAsOf, this.provenAsOf);
  }

  /** Label of the leader, to which workers are sent; null: unknown. */
  knownLeader(): string | null {
    return this.jobState.leader?.node ?? null;
  }

  /** Ends this controller's term at once if `token`, a fencing token that a worker has shown, is of a higher term. */
  depose(token: number): void {
    if (this.leaderTerm && token > this.leaderTerm.number) this.endTerm();
  }

  /** Drops the term and the lease of an incarnation that has ended: in the next one, the lease's number may be another's. */
  abandonIncarnation(): void {
    this.endTerm();
    this.lease.id = null;
  }

  private endTerm(): void {
    this.leaderTerm = null;
    this.lease.expire();
    this.store.leading(false);
  }

  /** Ends the term, releases the lease, and does not campaign for `backoff` microseconds. */
  stepDown(reason: string, backoff: number): Effect.Effect<void> {
    return Effect.suspend(() => {
      const lease = this.lease.id;
      this.noCampaignBefore = plus(this.clock(), backoff);
      this.endTerm();
      this.lease.id = null;
      return info('stepped down', { reason }).pipe(
        Effect.zipRight(lease === null ? Effect.void : this.store.release(lease).pipe(Effect.ignore)),
      );
    });
  }

  /** Gives up the leadership when the process is stopped. */
  readonly release: Effect.Effect<void> = Effect.suspend(() => this.stepDown('stop', 0));

  /**
   * Steps down when reads fail while extensions of the lease succeed: the leader lease would otherwise stay with a
   * controller that may not respond to heartbeats, although another one may be able to read.
   */
  private readonly stepDownIfReadsFail = Effect.suspend(() =>
    this.currentTerm() !== null && this.respondingTerm() === null && maxViewAge(this.settings.workers) > 0
      ? this.stepDown('reads fail', READ_FAILURE_BACKOFF)
      : Effect.void,
  );

  /** Steps down when workers no longer reach this controller but reach a peer. */
  private readonly stepDownIfCutOff = Effect.suspend(() => {
    const leaderTerm = this.currentTerm();
    const now = this.clock();
    if (leaderTerm === null || now - leaderTerm.began < this.contacts.window) return Effect.void;
    const reason = this.contacts.cutOffReason(now, this.peers.candidates());
    return reason === null ? Effect.void : this.stepDown(reason, this.contacts.backoff(now));
  });

  /** Begins a term that this controller has won. */
  private beginTerm(won: WonTerm): Effect.Effect<void, StateFailure> {
    return Effect.gen(this, function* () {
      const { term } = won;
      this.lease.acquire(won.lease, won.requestedAt);
      this.store.leading(true);
      // Placing tasks needs a view that includes everything that earlier terms have committed. If the read fails, the lease
      // is left as an orphaned one, which the next campaign releases: kept as this controller's own, it would last for its
      // full duration again after an outage, and no controller could lead meanwhile.
      yield* Effect.tapError(this.watcher.refresh, () =>
        Effect.sync(() => {
          this.endTerm();
          this.lease.id = null;
        }),
      );
      if (this.jobState.term !== term) return;
      this.leaderTerm = { number: term, revision: won.revision, began: this.clock() };
      Queue.unsafeOffer(this.termBegan, undefined);
      yield* info('became leader', { term });
    });
  }

  /** See `foundStore` in store-founding.ts. */
  readonly foundStore: Effect.Effect<void, StateFailure> = Effect.suspend(() => foundStore(this.founding));

  /**
   * Begins a new incarnation after a data loss, with this controller as its leader; false: another controller has done so.
   * See `refoundStore` in store-founding.ts.
   */
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
    const requestedAt = this.clock();
    const remaining = this.lease.expiresAt - requestedAt;
    const extended = yield* this.store
      .extend(id, remaining <= 0 ? 900 : Math.max(200, Math.min(900, toMillis(remaining))))
      .pipe(Effect.orElseSucceed(() => null));
    if (extended === true && this.lease.id === id) this.lease.extend(requestedAt);
    if (extended !== false) return;
    // A missing lease may be the first sign that the store has lost data. Then this term may continue under a read lease.
    yield* Effect.ignore(this.watcher.refresh);
    if (!this.lossDetector.suspected) this.endTerm();
  });

  /** Ends a term if a higher one is known, or if neither the leader lease nor a read lease can continue it. */
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
    // The lease may still exist when the state service is back and be extended. The term ends once the time for that and
    // the time of any read lease have passed.
    const readLeaseUntil = readLeaseExpiry({ knownAsOf: this.knownAsOf() }, this.settings.workers);
    if (this.clock() >= Math.max(readLeaseUntil, this.lease.expiresAt + EXTENSION_GRACE)) this.endTerm();
  });

  /** Keeps the leadership while it has it, and campaigns while there is no leader, for ever. */
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
        // While there is a leader, this controller waits for the deletion of the leader key, which the store watcher reads.
        yield* this.jobState.leader === null
          ? Effect.sleep(150 + 100 * (yield* Random.next))
          : runUntilTick(Queue.take(this.leaderKeyDeleted), 1000);
      }
    }).pipe(Effect.forever),
  );
}
