/**
 * Binds a job to an occurrence of a cutoff. The controller that accepts the job decides once, and the binding is stored with
 * the job. Pure functions.
 */
import type { JobSpec } from '../jobs/model.js';
import type { Calendar, JobFilter, Occurrence } from './model.js';

type MatchedSpec = Pick<JobSpec, 'team' | 'jobClass' | 'shape' | 'urgency' | 'submitted'>;

const matches = (filter: JobFilter, spec: MatchedSpec): boolean =>
  (filter.teams === null || filter.teams.includes(spec.team)) &&
  (filter.classes === null || filter.classes.includes(spec.jobClass)) &&
  (filter.shapes === null || filter.shapes.includes(spec.shape)) &&
  (filter.urgencies === null || filter.urgencies.includes(spec.urgency));

/**
 * Returns the id of the occurrence to which a job is bound: of the cutoffs that match the job, the earliest occurrence whose
 * time less the cutoff's lead time is not before the submission. Of several at the same time, the one of the first cutoff.
 * Returns null if there is none.
 */
export const bindToOccurrence = (calendar: Calendar | null, spec: MatchedSpec): string | null => {
  // A service never completes, so it cannot meet a cutoff.
  if (calendar === null || spec.shape === 'service') return null;
  const cutoffMatches = calendar.cutoffs.map((cutoff) => matches(cutoff.match, spec));
  if (!cutoffMatches.includes(true)) return null;
  const { occurrences } = calendar;
  // Binary search for the first occurrence that is not before the submission: past occurrences need no check.
  let low = 0;
  let high = occurrences.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if (occurrences[middle]!.at < spec.submitted) low = middle + 1;
    else high = middle;
  }
  for (; low < occurrences.length; low++) {
    const occurrence = occurrences[low]!;
    if (
      cutoffMatches[occurrence.cutoff] &&
      occurrence.at - calendar.cutoffs[occurrence.cutoff]!.lead >= spec.submitted
    )
      return occurrence.id;
  }
  return null;
};

/** Returns the occurrence to which a job is bound, as in the current calendar; null: no binding, or the calendar no longer has it. */
export const occurrenceOf = (
  calendar: Calendar | null,
  spec: Pick<JobSpec, 'cutoffBinding'>,
): Occurrence | null =>
  spec.cutoffBinding === null || calendar === null ? null : (calendar.byId.get(spec.cutoffBinding) ?? null);
