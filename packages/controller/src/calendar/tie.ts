/** Which cutoff a job is tied to: decided once, by the node that accepts it, and durable with the job. Pure. */
import type { JobSpec } from '../jobs/model.js';
import type { Calendar, JobFilter, Occurrence } from './model.js';

type Tied = Pick<JobSpec, 'team' | 'jobClass' | 'shape' | 'urgency' | 'submitted'>;

const matches = (m: JobFilter, s: Tied): boolean =>
  (m.teams === null || m.teams.includes(s.team)) &&
  (m.classes === null || m.classes.includes(s.jobClass)) &&
  (m.shapes === null || m.shapes.includes(s.shape)) &&
  (m.urgencies === null || m.urgencies.includes(s.urgency));

/**
 * The earliest occurrence, among the cutoffs that tie such jobs, whose instant less its lead time is not before the
 * submission; of several at one instant that of the first cutoff. Null: none.
 */
export const tieOf = (calendar: Calendar | null, spec: Tied): string | null => {
  // A service has no end that could come in time.
  if (calendar === null || spec.shape === 'service') return null;
  const which = calendar.cutoffs.map((c) => matches(c.match, spec));
  if (!which.includes(true)) return null;
  const { occurrences } = calendar;
  // The first whose instant is not before the submission, by halves: what passed is not looked at.
  let low = 0;
  let high = occurrences.length;
  while (low < high) {
    const mid = (low + high) >> 1;
    if (occurrences[mid]!.at < spec.submitted) low = mid + 1;
    else high = mid;
  }
  for (; low < occurrences.length; low++) {
    const o = occurrences[low]!;
    if (which[o.cutoff] && o.at - calendar.cutoffs[o.cutoff]!.lead >= spec.submitted) return o.id;
  }
  return null;
};

/** The occurrence of a job's tie as the calendar has it now; null: it has no tie, or the calendar dropped it. */
export const occurrenceOf = (calendar: Calendar | null, spec: Pick<JobSpec, 'tie'>): Occurrence | null =>
  spec.tie === null || calendar === null ? null : (calendar.byId.get(spec.tie) ?? null);
