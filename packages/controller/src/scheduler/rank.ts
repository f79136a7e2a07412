/**
 * The order within a team's queue, among jobs of the same urgency: smaller goes first.
 *
 * Jobs that can still meet their deadline go by the work they have left, least first: when there is not room
 * for all, that lets the most of them be in time. A job that has missed its deadline is no longer worth
 * another's: it queues behind, by the next multiple of the deadline that the users named; past all of them,
 * in the order of submission. Only what is already missed counts: estimates are off by half, and jobs in
 * progress would fall behind for nothing.
 */
import type { Micros } from '@lilacvalve/base/micros';
import type { Job } from '../jobs/model.js';

const BEHIND = 1e16;
/** What failed wherever it ran comes after all others of its urgency, in the order of submission. */
const LAST = 1000 * BEHIND;

/** What a class's jobs are promised, as far as it orders a queue. */
export interface Promised {
  /** Multiples of the job's own deadline by which it is wanted, smallest first. */
  readonly multiples: readonly number[];
  /** For jobs without a deadline of their own: done within this time; null: nothing is promised. */
  readonly within: Micros | null;
}

export const rankOf = (job: Job, day: Micros, promise: Promised, broken = false): number => {
  const { estimate, submitted, tasks } = job.spec;
  if (broken) return LAST + submitted;
  const deadline = job.spec.deadline ?? promise.within;
  const multiples = job.spec.deadline === null ? [1] : promise.multiples;
  if (deadline === null) return submitted;
  const left = tasks - job.done.size - job.placed.size;
  for (let i = 0; i < multiples.length; i++) {
    const due = submitted + deadline * multiples[i]!;
    if (day <= due) return i * BEHIND + (i === 0 ? left * estimate : due);
  }
  return multiples.length * BEHIND + submitted;
};
