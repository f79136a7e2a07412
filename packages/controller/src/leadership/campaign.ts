/**
 * How a controller becomes leader: it acquires a lease, then writes the leader key and the next term in one compare-and-swap
 * transaction, which succeeds only while there is no leader and the term has not changed.
 */
import { Clock, Effect } from 'effect';
import { type Micros, millis } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { LEADER, TERM } from '../jobs/keys.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import { attemptFloor } from '../recovery/model.js';
import type { Settings } from '../settings/settings.js';
import { Priority } from '../state-store/budget.js';
import type { StateFailure } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import type { Contacts } from './contacts.js';
import type { LeaderLease } from './leader-lease.js';
import type { Peers } from './peers.js';

/** How long a controller that few workers reach lets a peer that more workers reach campaign first. */
const DEFER_TO_PEER_FOR = millis(1500);

/** A term that this controller has won: the transaction that makes it leader is committed. */
export interface WonTerm {
  readonly term: number;
  /** Revision of that transaction, and so of the term key. */
  readonly revision: number;
  /** The lease that the leader key is attached to. */
  readonly lease: number;
  /** When the request for the lease was sent; the lease counts from then. */
  readonly requestedAt: Micros;
}

/** The dependencies of `Campaign`. */
export interface CampaignDependencies {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly lossDetector: DataLossDetector;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly peers: Pick<Peers, 'candidates'>;
  readonly contacts: Contacts;
  /** False for some time after this controller has stepped down. */
  readonly mayCampaign: () => boolean;
  readonly clock: () => Micros;
}

/** One controller's campaigns for leadership. */
export class Campaign {
  /** Since when this controller has let a better reachable peer campaign first; null: it does not. */
  private deferringSince: Micros | null = null;

  constructor(
    private readonly dependencies: CampaignDependencies,
    private readonly lease: LeaderLease,
  ) {}

  /** Tries once to become leader if there is none; null: this controller has not become leader. */
  readonly attempt: Effect.Effect<WonTerm | null, StateFailure> = Effect.gen(this, function* () {
    const { jobState, lossDetector, watcher } = this.dependencies;
    yield* this.releaseOrphanedLease;
    if (jobState.leader !== null) this.deferringSince = null;
    if (
      lossDetector.suspected ||
      !watcher.loaded ||
      jobState.leader !== null ||
      !this.dependencies.mayCampaign()
    )
      return null;
    if (this.defersToPeer()) return null;
    yield* watcher.refresh;
    if (jobState.leader !== null) return null;
    // A peer or a worker knows a higher term than the view, and a later read will show whether the store has it.
    if (lossDetector.highestTerm() > jobState.term) return null;
    return yield* this.takeTerm;
  });

  /** Whether more than twice as many workers reach some peer, which therefore may campaign first for a limited time. */
  private defersToPeer(): boolean {
    const { contacts, peers } = this.dependencies;
    const now = this.dependencies.clock();
    const ownCount = contacts.recentCount(now);
    if (!peers.candidates().some((peer) => peer.contacts > 2 * ownCount + 2)) return false;
    this.deferringSince ??= now;
    return now - this.deferringSince < DEFER_TO_PEER_FOR;
  }

  /**
   * Releases an orphaned lease: the leader key names this controller, but with a lease that this process does not hold. An
   * earlier process with the same label has left it, or a campaign whose response was lost. No process extends that lease,
   * but an outage of the state service would restart its full duration, and during it no controller could become leader.
   */
  private readonly releaseOrphanedLease = Effect.suspend(() => {
    const { jobState, settings, store, watcher } = this.dependencies;
    const { leader } = jobState;
    if (!watcher.loaded || leader?.node !== settings.label || leader.lease === this.lease.id)
      return Effect.void;
    return store.release(leader.lease).pipe(Effect.zipRight(watcher.refresh));
  });

  /** Whether the view shows that the campaign with this term and lease was committed: one transaction wrote both keys. */
  private isCommitted(term: number, lease: number): boolean {
    const { jobState, settings } = this.dependencies;
    const { leader, leaderRevision, termRevision } = jobState;
    const isOwn = leader?.node === settings.label && leader.term === term && leader.lease === lease;
    return isOwn && leaderRevision === termRevision;
  }

  private readonly takeTerm = Effect.gen(this, function* () {
    const { jobState, settings, store, watcher, clock } = this.dependencies;
    const { incarnation } = jobState;
    if (incarnation === null) return null;
    const requestedAt = clock();
    const lease = yield* store.grant(this.lease.ttl);
    const term = Math.max(jobState.term, incarnation.termFloor) + 1;
    const attemptBase = attemptFloor(
      incarnation,
      jobState.term > 0 ? jobState.attemptBase : null,
      (yield* Clock.currentTimeMillis) / 1000,
    );
    const result = yield* Effect.either(
      store.transact(
        [
          { key: LEADER, revision: 0 },
          { key: TERM, revision: jobState.termRevision },
        ],
        [
          { set: LEADER, value: { node: settings.label, term, lease }, lease },
          { set: TERM, value: { term, a: attemptBase } },
        ],
        Priority.Lease,
        1500,
      ),
    );
    if (result._tag === 'Left') {
      if (result.left._tag !== 'NoResponse') return null;
      // The transaction may be committed although the response was lost: then this controller takes up the leadership
      // instead of releasing it.
      yield* watcher.refreshNow;
      return this.isCommitted(term, lease) && clock() < this.lease.expiryOf(requestedAt)
        ? { term, revision: jobState.termRevision, lease, requestedAt }
        : null;
    }
    const outcome = result.right;
    if (!outcome.ok) {
      yield* Effect.ignore(store.release(lease));
      yield* watcher.refresh;
      return null;
    }
    return { term, revision: outcome.revision, lease, requestedAt };
  });
}
