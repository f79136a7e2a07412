/**
 * Decides until when a leader may respond to workers' heartbeats. Each response renews a worker's lease, so that its tasks
 * run on for the duration of the lease from when the heartbeat was sent. A cancelled job's tasks must have been stopped
 * within the setting `cancel` after the cancellation was confirmed to a user. A controller that renews workers' leases must
 * therefore know every cancellation that was confirmed more than `cancel - lease` ago (docs/design.md, "A leader without
 * the state service", derives the times).
 *
 * A leader whose own lease has expired may still respond under a read lease, if its view lacks no cancellation confirmed
 * before that limit, and a majority has confirmed that no other leader can exist. Under a read lease no task is placed.
 */
import { MAX_CLOCK_DRIFT, type Micros, millis, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';

/** Covers the granularity of timers on both sides; clock drift is accounted for separately. */
const SAFETY_MARGIN = millis(1500);

type Workers = Pick<Settings['workers'], 'lease' | 'cancel'>;

/** A lower limit of the view's age could not be kept under load. */
const MIN_USEFUL_VIEW_AGE = seconds(1);

/** Maximum age of the view by which workers' leases may be renewed; 0: the limit would be too low to be kept. */
export const maxViewAge = (workers: Workers): Micros => {
  const maxAge = plus(
    workers.cancel,
    -(workers.cancel as number) * 2 * MAX_CLOCK_DRIFT -
      workers.lease * (1 + 2 * MAX_CLOCK_DRIFT) -
      SAFETY_MARGIN,
  );
  return maxAge < MIN_USEFUL_VIEW_AGE ? (0 as Micros) : maxAge;
};

/** How much of the store a peer knows, by its response to a heartbeat. */
export interface PeerKnowledge {
  /** When the heartbeat was sent, so that the response is not older. */
  readonly requestedAt: number;
  /** Id of the incarnation of the peer's view; null: it has read nothing since its start. */
  readonly incarnation: string | null;
  /** The highest revision that the peer knows of. */
  readonly revision: number;
}

/**
 * The time until which no other controller knew of a change after `revision`. A controller that confirms a cancellation
 * knows its revision, so every cancellation confirmed before this time is in a view of `revision`. `-Infinity` if a peer has
 * not responded, has read nothing since its start (its previous process may have known more) or knows of a later change.
 */
export const unchangedSince = (
  knowledge: readonly (PeerKnowledge | null)[],
  incarnation: string,
  revision: number,
): number =>
  knowledge.reduce(
    (asOf, peer) =>
      peer !== null && peer.incarnation === incarnation && peer.revision <= revision
        ? Math.min(asOf, peer.requestedAt)
        : Number.NEGATIVE_INFINITY,
    Number.POSITIVE_INFINITY,
  );

/** The times that decide whether a leader may respond to heartbeats. */
export interface ResponseBounds {
  /** When the leader lease expires. */
  readonly leaderLeaseUntil: number;
  /** Until when the confirmations of a majority allow a read lease. */
  readonly confirmedUntil: number;
  /** Every cancellation that any controller confirmed before this time is in this controller's view. */
  readonly knownAsOf: number;
}

/** Maximum time since `ResponseBounds.knownAsOf` at which a response under a read lease may start tasks. */
const MAX_VIEW_AGE_FOR_STARTS = seconds(3);

/**
 * Whether a heartbeat response may start tasks: under the leader lease, or while the view was recently known to lack no
 * confirmed cancellation. Otherwise a read lease could start tasks of a job whose cancellation was already confirmed to its
 * user. They would be stopped in time, but must not start after the confirmation at all.
 */
export const mayStart = (
  at: Micros,
  bounds: Pick<ResponseBounds, 'leaderLeaseUntil' | 'knownAsOf'>,
): boolean => at < bounds.leaderLeaseUntil || at < bounds.knownAsOf + MAX_VIEW_AGE_FOR_STARTS;

/** Until when heartbeat responses by a view that is known as of `bounds.knownAsOf` are safe. */
export const readLeaseExpiry = (bounds: Pick<ResponseBounds, 'knownAsOf'>, workers: Workers): number =>
  bounds.knownAsOf + maxViewAge(workers);

/** The lease under which a leader responds to a heartbeat. */
export type ResponseAuthority = 'leader lease' | 'read lease';

/**
 * The lease under which a leader may respond to a heartbeat at `at`; null: it may not respond. A valid leader lease is not
 * sufficient without a recent view: an outage of the state service restarts the lease's full duration, and extensions may
 * succeed while reads fail. If the settings make workers' leases outlive `cancel` even with a current view, only stop
 * orders can stop tasks in time; then the view may be as old as the duration of the leader lease (`ttl`).
 */
export const responseAuthority = (
  at: Micros,
  bounds: ResponseBounds,
  workers: Workers,
  ttl: Micros,
): ResponseAuthority | null => {
  const maxAge = maxViewAge(workers);
  if (at < bounds.leaderLeaseUntil && at < bounds.knownAsOf + (maxAge > 0 ? maxAge : ttl))
    return 'leader lease';
  return at < bounds.confirmedUntil && at < readLeaseExpiry(bounds, workers) ? 'read lease' : null;
};
