/**
 * Until when reports may be answered. Each answer lets a worker, and whatever runs on it, live for a lease from when its
 * report was sent; a cancellation must have taken effect `cancel` after a user was told. Whoever renews leases must
 * therefore know every cancellation confirmed more than `cancel - lease` before (docs/design.md, "A leader without the
 * state service", has the chain of times).
 */
import { DRIFT, type Micros, millis, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';

/** For steps of timers on both sides; clocks that drift are counted apart. */
const MARGIN = millis(1500);

type Workers = Pick<Settings['workers'], 'lease' | 'cancel'>;

/** Reads can't be kept newer than that under load. */
const LEAST = seconds(1);

/** What a view may be behind while leases are renewed by it; 0: no age of a view that can be had is early enough. */
export const mayLag = (w: Workers): Micros => {
  const lag = plus(w.cancel, -w.cancel * 2 * DRIFT - w.lease * (1 + 2 * DRIFT) - MARGIN);
  return lag < LEAST ? (0 as Micros) : lag;
};

/** What a controller said of the state service, asked at `asked`; null: it has read nothing since its start. */
export interface Said {
  readonly asked: number;
  readonly incarnation: string | null;
  /** The highest revision it had seen. */
  readonly revision: number;
}

/**
 * Since when all others have known of no change after `revision`: whoever confirms a cancellation has seen its revision, so
 * none was confirmed before then that a view of `revision` lacks. One that has not answered, has read nothing since its start
 * (its earlier life may have known more) or knows of a later change: nothing is known of any of them.
 */
export const nothingAfter = (said: readonly (Said | null)[], incarnation: string, revision: number): number =>
  said.reduce(
    (asOf, s) =>
      s !== null && s.incarnation === incarnation && s.revision <= revision
        ? Math.min(asOf, s.asked)
        : Number.NEGATIVE_INFINITY,
    Number.POSITIVE_INFINITY,
  );

export interface Standing {
  readonly rightUntil: number;
  /** Until when a majority's word lets this node hold on. */
  readonly confirmedUntil: number;
  /** Every cancellation that anybody confirmed before this moment is known here. */
  readonly knownAsOf: number;
}

/** Under a hold, a view may lack what others have confirmed for so long at the most where an answer starts something. */
const STARTS_BY_VIEW = seconds(3);

/**
 * Whether an answer may hold starts: by an own right, or while the others know of nothing later than this view. Else a hold
 * would start, until it ends, what users were told is cancelled: stopped in time, but started after the word.
 */
export const mayStart = (at: Micros, s: Pick<Standing, 'rightUntil' | 'knownAsOf'>): boolean =>
  at < s.rightUntil || at < s.knownAsOf + STARTS_BY_VIEW;

/** Until when a hold, or any answer by an old view, is safe. */
export const holdEnds = (s: Pick<Standing, 'knownAsOf'>, w: Workers): number => s.knownAsOf + mayLag(w);

/**
 * Whether a report may be answered at `at`. A right by lease alone is not enough: an outage gives the lease its full time
 * again, and extends may succeed while reads fail. Where leases outlive `cancel` whatever is known, only orders stop tasks
 * in time, and a right counts for as long as it would without a view (`ttl`).
 */
export const mayAnswer = (at: Micros, s: Standing, w: Workers, ttl: Micros): 'right' | 'hold' | null => {
  const lag = mayLag(w);
  if (at < s.rightUntil && at < s.knownAsOf + (lag > 0 ? lag : ttl)) return 'right';
  return at < s.confirmedUntil && at < holdEnds(s, w) ? 'hold' : null;
};
