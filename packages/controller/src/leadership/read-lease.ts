/**
 * Until when a leader may answer workers' heartbeats. Each answer lets a worker, and whatever runs on it, live for a lease
 * from when its heartbeat was sent; a cancellation must have taken effect `cancel` after a user was told. Whoever renews
 * workers' leases must therefore know every cancellation confirmed more than `cancel - lease` before (docs/design.md, "A
 * leader without the state service", derives the times).
 *
 * A leader whose own lease has expired may still answer by a read lease: its view lacks no cancellation confirmed too long
 * ago, and a majority has confirmed that no other leader can exist. A read lease places nothing.
 */
import { DRIFT, type Micros, millis, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';

/** For the granularity of timers on both sides; drifting clocks are accounted for separately. */
const SAFETY_MARGIN = millis(1500);

type Workers = Pick<Settings['workers'], 'lease' | 'cancel'>;

/** Under load, reads can't be kept newer than this. */
const MIN_USEFUL_VIEW_AGE = seconds(1);

/** How old a view may be while workers' leases are renewed by it; 0: no view that can be had is new enough. */
export const maxViewAge = (workers: Workers): Micros => {
  const lag = plus(
    workers.cancel,
    -(workers.cancel as number) * 2 * DRIFT - workers.lease * (1 + 2 * DRIFT) - SAFETY_MARGIN,
  );
  return lag < MIN_USEFUL_VIEW_AGE ? (0 as Micros) : lag;
};

/** What a controller said of the state service when it was asked at `asked`. */
export interface PeerKnowledge {
  readonly asked: number;
  /** null: it has read nothing since its start. */
  readonly incarnation: string | null;
  /** The highest revision it had seen. */
  readonly revision: number;
}

/**
 * Since when all other controllers have known of no change after `revision`: whoever confirms a cancellation has seen its
 * revision, so none was confirmed before then that a view of `revision` lacks. `-Infinity` where one has not answered, has
 * read nothing since its start (the process before it may have known more) or knows of a later change.
 */
export const unchangedSince = (
  said: readonly (PeerKnowledge | null)[],
  incarnation: string,
  revision: number,
): number =>
  said.reduce(
    (asOf, peer) =>
      peer !== null && peer.incarnation === incarnation && peer.revision <= revision
        ? Math.min(asOf, peer.asked)
        : Number.NEGATIVE_INFINITY,
    Number.POSITIVE_INFINITY,
  );

/** What the right to answer heartbeats depends on. */
export interface AnswerBounds {
  /** When the leader lease expires. */
  readonly leaderLeaseUntil: number;
  /** Until when the confirmations of a majority allow a read lease. */
  readonly confirmedUntil: number;
  /** Every cancellation that anybody confirmed before this moment is known here. */
  readonly knownAsOf: number;
}

/** Where an answer under a read lease starts something, the view may lack confirmed changes for no longer than this. */
const MAX_VIEW_AGE_FOR_STARTS = seconds(3);

/**
 * Whether an answer may start tasks: by the leader lease, or while the others know of nothing later than this view. Otherwise
 * a read lease would start jobs that users were told are cancelled: stopped in time, but started after the confirmation.
 */
export const mayStart = (at: Micros, bounds: Pick<AnswerBounds, 'leaderLeaseUntil' | 'knownAsOf'>): boolean =>
  at < bounds.leaderLeaseUntil || at < bounds.knownAsOf + MAX_VIEW_AGE_FOR_STARTS;

/** Until when a read lease, or any answer by an old view, is safe. */
export const readLeaseExpiry = (bounds: Pick<AnswerBounds, 'knownAsOf'>, workers: Workers): number =>
  bounds.knownAsOf + maxViewAge(workers);

/** Under which right a heartbeat may be answered. */
export type AnswerAuthority = 'leader lease' | 'read lease';

/**
 * By which lease a heartbeat may be answered at `at`; null: not at all. The leader lease alone is not enough: an outage gives
 * it its full time again, and extensions may succeed while reads fail. Where workers' leases outlive `cancel` whatever is
 * known, only orders stop tasks in time, and the leader lease counts for as long as it would without a view (`ttl`).
 */
export const answerAuthority = (
  at: Micros,
  bounds: AnswerBounds,
  workers: Workers,
  ttl: Micros,
): AnswerAuthority | null => {
  const lag = maxViewAge(workers);
  if (at < bounds.leaderLeaseUntil && at < bounds.knownAsOf + (lag > 0 ? lag : ttl)) return 'leader lease';
  return at < bounds.confirmedUntil && at < readLeaseExpiry(bounds, workers) ? 'read lease' : null;
};
