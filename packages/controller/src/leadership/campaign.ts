/**
 * How a node becomes leader: it takes a lease and writes itself as leader with the next term, in one compare-and-swap that
 * succeeds only while nobody leads and nobody has taken that term.
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

/** How long a node that workers don't reach leaves a vacant leadership to a peer that they do reach. */
const DEFER_TO_PEER_FOR = millis(1500);

/** A term that this node has won: the transaction that names it leader is committed. */
export interface WonTerm {
  readonly term: number;
  /** Revision of that transaction, and so of the term key. */
  readonly revision: number;
  /** The lease that the leader key is attached to. */
  readonly lease: number;
  /** When the lease was asked for: it counts from then. */
  readonly asked: Micros;
}

/** What a campaign for the leader key works on. */
export interface CampaignParts {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly lossDetector: DataLossDetector;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly peers: Pick<Peers, 'candidates'>;
  readonly contacts: Contacts;
  /** False for a while after this node stepped down. */
  readonly mayCampaign: () => boolean;
  readonly clock: () => Micros;
}

/** One controller's tries to become leader. */
export class Campaign {
  /** Since when this node has left a vacant leadership to a better placed peer. */
  private deferringSince: Micros | null = null;

  constructor(
    private readonly parts: CampaignParts,
    private readonly lease: LeaderLease,
  ) {}

  /** Tries once to become leader, if nobody is; null: this node did not. */
  readonly attempt: Effect.Effect<WonTerm | null, StateFailure> = Effect.gen(this, function* () {
    const { jobState, lossDetector, watcher } = this.parts;
    yield* this.releaseOrphanedLease;
    if (jobState.leader !== null) this.deferringSince = null;
    if (lossDetector.suspected || !watcher.loaded || jobState.leader !== null || !this.parts.mayCampaign())
      return null;
    if (this.defersToPeer()) return null;
    yield* watcher.refresh;
    if (jobState.leader !== null) return null;
    // A term that somebody named after the read: a newer read shows whether the store has it.
    if (lossDetector.highestTerm() > jobState.term) return null;
    return yield* this.takeTerm;
  });

  /** Workers reach a peer and not this node: the peer may campaign first, for a moment. */
  private defersToPeer(): boolean {
    const { contacts, peers } = this.parts;
    const at = this.parts.clock();
    const own = contacts.recentCount(at);
    if (!peers.candidates().some((p) => p.contacts > 2 * own + 2)) return false;
    this.deferringSince ??= at;
    return at - this.deferringSince < DEFER_TO_PEER_FOR;
  }

  /**
   * The leader key names this node, by a lease that this process does not hold: an earlier process of the same label left
   * it, or a campaign whose answer got lost. Nobody extends that lease. After an outage it would have its full time again,
   * and nobody could become leader meanwhile.
   */
  private readonly releaseOrphanedLease = Effect.suspend(() => {
    const { jobState, settings, store, watcher } = this.parts;
    const { leader } = jobState;
    if (!watcher.loaded || leader?.node !== settings.label || leader.lease === this.lease.id)
      return Effect.void;
    return store.release(leader.lease).pipe(Effect.zipRight(watcher.refresh));
  });

  /** As far as was read, the campaign of this term and lease was committed: both keys were written by one change. */
  private isCommitted(term: number, lease: number): boolean {
    const { jobState, settings } = this.parts;
    const { leader, leaderRevision, termRevision } = jobState;
    const mine = leader?.node === settings.label && leader.term === term && leader.lease === lease;
    return mine && leaderRevision === termRevision;
  }

  private readonly takeTerm = Effect.gen(this, function* () {
    const { jobState, settings, store, watcher, clock } = this.parts;
    const { incarnation } = jobState;
    if (incarnation === null) return null;
    const asked = clock();
    const lease = yield* store.grant(this.lease.ttl);
    const term = Math.max(jobState.term, incarnation.termFloor) + 1;
    const attempts = attemptFloor(
      incarnation,
      jobState.term > 0 ? jobState.attemptBase : null,
      (yield* Clock.currentTimeMillis) / 1000,
    );
    const sent = yield* Effect.either(
      store.transact(
        [
          { key: LEADER, stamp: 0 },
          { key: TERM, stamp: jobState.termRevision },
        ],
        [
          { set: LEADER, value: { node: settings.label, term, lease }, lease },
          { set: TERM, value: { term, a: attempts } },
        ],
        Priority.Lease,
        1500,
      ),
    );
    if (sent._tag === 'Left') {
      if (sent.left._tag === 'Refused') return null;
      // Perhaps committed, with only the answer lost: such a leadership is taken up, not given back. The lease counts from
      // before it was asked for, as always.
      yield* watcher.refreshNow;
      return this.isCommitted(term, lease) && clock() < this.lease.expiryOf(asked)
        ? { term, revision: jobState.termRevision, lease, asked }
        : null;
    }
    const outcome = sent.right;
    if (!outcome.ok) {
      yield* Effect.ignore(store.release(lease));
      yield* watcher.refresh;
      return null;
    }
    return { term, revision: outcome.revision, lease, asked };
  });
}
