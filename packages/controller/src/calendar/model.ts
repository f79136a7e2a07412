/**
 * The calendar of cutoffs as controllers know it: a bounded table of instants, compiled by the operators' command
 * (docs/calendar.md). Nothing here knows a time zone or a recurrence.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Shape, Urgency } from '../jobs/model.js';

/** More are refused by `calendar apply`: the table stays within a few pages and some MB of memory. */
export const MOST_OCCURRENCES = 4000;
export const MOST_CUTOFFS = 200;

/** What a cutoff ties; null: any. All that are named must hold. */
export interface JobFilter {
  readonly teams: readonly string[] | null;
  readonly classes: readonly string[] | null;
  readonly shapes: readonly Shape[] | null;
  readonly urgencies: readonly Urgency[] | null;
}
export interface Cutoff {
  readonly name: string;
  /** What is submitted later than so long before an occurrence is tied to the next one. */
  readonly lead: Micros;
  readonly match: JobFilter;
}
export interface Occurrence {
  /** `cutoff@date`, the date that the recurrence names: an occurrence that moves keeps it. */
  readonly id: string;
  /** Index in `Calendar.cutoffs`. */
  readonly cutoff: number;
  /** Time of day. */
  readonly at: Micros;
}
export interface Calendar {
  readonly version: number;
  /** The table covers times of day up to here. */
  readonly until: Micros;
  /** Its end is said from so long before it on. */
  readonly notice: Micros;
  /** In their order: of two that fall on one instant, the first ties. */
  readonly cutoffs: readonly Cutoff[];
  /** By instant, then by cutoff. */
  readonly occurrences: readonly Occurrence[];
  readonly byId: ReadonlyMap<string, Occurrence>;
}

/** What has been said of a job's cutoff, durably in the job (`Job.cutoffRisk`): each is said once, whoever leads. */
export const CUTOFF_RISK = { nothing: 0, noRoom: 1, limit: 2, estimate: 3, lost: 4, missed: 9 } as const;
export const RISK_REASONS: Readonly<Record<number, string>> = {
  [CUTOFF_RISK.noRoom]: 'no room',
  [CUTOFF_RISK.limit]: 'limit',
  [CUTOFF_RISK.estimate]: 'estimate',
  [CUTOFF_RISK.lost]: 'lost machine',
  [CUTOFF_RISK.missed]: 'missed',
};
export const isRisk = (said: number | undefined): boolean =>
  said !== undefined && said > CUTOFF_RISK.nothing && said < CUTOFF_RISK.missed;

/** What became of an occurrence's jobs that are over; numbers only grow. */
export interface Tally {
  readonly done: number;
  /** Of `done`: those that were at risk and made it, and those that were over only after the cutoff. */
  readonly risked: number;
  readonly missed: number;
  readonly cancelled: number;
}
export const NO_TALLY: Tally = { done: 0, risked: 0, missed: 0, cancelled: 0 };
export const addTally = (a: Tally, b: Tally): Tally => ({
  done: a.done + b.done,
  risked: a.risked + b.risked,
  missed: a.missed + b.missed,
  cancelled: a.cancelled + b.cancelled,
});
/** Of two views of one occurrence: nothing is taken back. */
export const laterTally = (a: Tally, b: Tally): Tally => ({
  done: Math.max(a.done, b.done),
  risked: Math.max(a.risked, b.risked),
  missed: Math.max(a.missed, b.missed),
  cancelled: Math.max(a.cancelled, b.cancelled),
});

export const makeCalendar = (
  c: Pick<Calendar, 'version' | 'until' | 'notice' | 'cutoffs'>,
  occurrences: readonly Occurrence[],
): Calendar => {
  const sorted = [...occurrences].sort(
    (a, b) => a.at - b.at || a.cutoff - b.cutoff || (a.id < b.id ? -1 : 1),
  );
  return { ...c, occurrences: sorted, byId: new Map(sorted.map((o) => [o.id, o])) };
};
