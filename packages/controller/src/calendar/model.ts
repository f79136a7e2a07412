/**
 * Data model of the calendar of cutoffs: a bounded table of points in time, which the operators' command compiles
 * (docs/calendar.md). Controllers know neither time zones nor recurrences.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Shape, Urgency } from '../jobs/model.js';

/** Limits that `calendar apply` enforces, so that the table fits into a few pages and a few MB of memory. */
export const MAX_OCCURRENCES = 4000;
export const MAX_CUTOFFS = 200;

/** Which jobs a cutoff applies to. A job must match every condition; null: any value matches. */
export interface JobFilter {
  readonly teams: readonly string[] | null;
  readonly classes: readonly string[] | null;
  readonly shapes: readonly Shape[] | null;
  readonly urgencies: readonly Urgency[] | null;
}
export interface Cutoff {
  readonly name: string;
  /** Lead time: a job that is submitted later than this before an occurrence is bound to the next one. */
  readonly lead: Micros;
  readonly match: JobFilter;
}
export interface Occurrence {
  /** `cutoff@date` with the date that the recurrence names. An occurrence that is moved to another time keeps its id. */
  readonly id: string;
  /** Index in `Calendar.cutoffs`. */
  readonly cutoff: number;
  /** Time of day. */
  readonly at: Micros;
}
export interface Calendar {
  readonly version: number;
  /** Time of day up to which the table has occurrences. */
  readonly until: Micros;
  /** How long before `until` the leader begins to log that the calendar expires. */
  readonly notice: Micros;
  /** In order of precedence: of two occurrences at the same time, jobs are bound to that of the first cutoff. */
  readonly cutoffs: readonly Cutoff[];
  /** Ordered by time, then by cutoff. */
  readonly occurrences: readonly Occurrence[];
  readonly byId: ReadonlyMap<string, Occurrence>;
}

/**
 * State of a job with respect to its cutoff, stored with the job (`Job.cutoffRisk`). Each state is logged once, also across
 * changes of the leader.
 */
export const CUTOFF_RISK = { nothing: 0, noRoom: 1, limit: 2, estimate: 3, lost: 4, missed: 9 } as const;
export const RISK_REASONS: Readonly<Record<number, string>> = {
  [CUTOFF_RISK.noRoom]: 'no room',
  [CUTOFF_RISK.limit]: 'limit',
  [CUTOFF_RISK.estimate]: 'estimate',
  [CUTOFF_RISK.lost]: 'lost machine',
  [CUTOFF_RISK.missed]: 'missed',
};
/** Whether a job's cutoff is at risk and not missed. */
export const isRisk = (risk: number | undefined): boolean =>
  risk !== undefined && risk > CUTOFF_RISK.nothing && risk < CUTOFF_RISK.missed;

/** Outcome counts of an occurrence: how many of its finished jobs ended in which way. The counts never decrease. */
export interface OutcomeCounts {
  /** Jobs that completed. */
  readonly done: number;
  /** Completed jobs that had been at risk, and completed before the cutoff. */
  readonly risked: number;
  /** Completed jobs that finished only after the cutoff. */
  readonly missed: number;
  readonly cancelled: number;
}
export const NO_OUTCOMES: OutcomeCounts = { done: 0, risked: 0, missed: 0, cancelled: 0 };
export const addOutcomeCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts => ({
  done: a.done + b.done,
  risked: a.risked + b.risked,
  missed: a.missed + b.missed,
  cancelled: a.cancelled + b.cancelled,
});
/** Merges two views of the same occurrence: takes the higher value of each count, because counts never decrease. */
export const mergeOutcomeCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts => ({
  done: Math.max(a.done, b.done),
  risked: Math.max(a.risked, b.risked),
  missed: Math.max(a.missed, b.missed),
  cancelled: Math.max(a.cancelled, b.cancelled),
});

/** Builds a calendar from its occurrences, which may be in any order. */
export const makeCalendar = (
  properties: Pick<Calendar, 'version' | 'until' | 'notice' | 'cutoffs'>,
  occurrences: readonly Occurrence[],
): Calendar => {
  const sorted = [...occurrences].sort(
    (a, b) => a.at - b.at || a.cutoff - b.cutoff || (a.id < b.id ? -1 : 1),
  );
  return {
    ...properties,
    occurrences: sorted,
    byId: new Map(sorted.map((occurrence) => [occurrence.id, occurrence])),
  };
};
