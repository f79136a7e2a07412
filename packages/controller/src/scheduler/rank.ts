/**
 * The order within a team's queue, among jobs of the same urgency: smaller goes first. Its levels, one after the other:
 *
 * 1. Starving: one of the largest jobs of its class that has waited for two thirds of the time in which it should begin,
 *    and can still begin in time. In the order of submission; classes that go by that anyhow need no such rule.
 * 2. In time: jobs that can still meet their deadline, by the work they have left, least first: when there is not room
 *    for all, that lets the most of them be in time. Behind them those without a deadline, in the order of submission.
 * 3. Missed: a job that has missed its deadline is no longer worth another's. It queues behind, by the next multiple of
 *    the deadline that the users named; past all of them, in the order of submission. Only what is already missed
 *    counts: estimates are off by half, and jobs in progress would fall behind for nothing.
 * 4. What failed wherever it ran, in the order of submission.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import type { TeamSettings } from '../settings/settings.js';

const LEVEL = 1e16;
const IN_TIME = 1;
const LAST = 1000;
const rankAt = (level: number, within: number): number => level * LEVEL + within;
/** Where the level of jobs that are in time begins: those tied to a cutoff have a place in it (calendar/slack.ts). */
export const IN_TIME_RANK = IN_TIME * LEVEL;

/** What a class's jobs are promised, as far as it orders a queue. */
export interface ClassObjective {
  /** Multiples of the job's own deadline by which it is wanted, smallest first. */
  readonly multiples: readonly number[];
  /** For jobs without a deadline of their own: done within this time; null: nothing is promised. */
  readonly within: Micros | null;
}

/** A job should have begun so long after its submission, whatever its size; later, its begin is missed anyhow. */
export const START_WITHIN = seconds(240);
/**
 * The largest jobs of a class are let wait for so long before they go first. They have begun some 30 s later on crowded days,
 * which leaves as much again for troubles; sooner costs the others their deadlines (docs/results.md).
 */
const STARVATION_BOUND = seconds(165);
/** A gang that is starving gathers room: most find some without, and others wait for it. */
export const RESERVES_AFTER = seconds(15);

/** Tasks that must be there at once before a job counts as begun: all of a gang or service, of an array what the limit lets. */
const tasksToStart = (job: Job, limit: TeamSettings['limit'] | undefined): number => {
  const { shape, tasks, cpus, gpus } = job.spec;
  if (shape !== 'array' || limit === undefined) return tasks;
  let most = tasks;
  if (limit.cpus > 0 && cpus > 0) most = Math.min(most, Math.floor(limit.cpus / cpus + 1e-6));
  if (limit.gpus > 0 && gpus > 0) most = Math.min(most, Math.floor(limit.gpus / gpus + 1e-6));
  return most;
};

/**
 * The time of day from which one of its class's largest jobs is starving, or null: it has begun, or can't begin in
 * time any more. Least work first makes the largest wait for all others. They are few, so that letting them go first
 * costs the others little; for jobs of all sizes it would undo that order just when there is not room for all. Whether a
 * job has begun, and since when it waits, follows from what is durable, so a new leader goes on with it. `atOnce`: so many
 * of its tasks can be on machines; an array that needs more can't begin in time, and would only hold up the others.
 */
export const starvingFrom = (
  job: Job,
  day: Micros,
  limit: TeamSettings['limit'] | undefined,
  atOnce: number,
): Micros | null => {
  const { submitted } = job.spec;
  const need = tasksToStart(job, limit);
  if (day > submitted + START_WITHIN || need > atOnce || job.done.size + job.placed.size >= need) return null;
  return (submitted + STARVATION_BOUND) as Micros;
};

/** `from`: see `starvingFrom`. */
export const rankOf = (
  job: Job,
  day: Micros,
  promise: ClassObjective,
  broken = false,
  from: Micros | null = null,
): number => {
  const { estimate, submitted, tasks } = job.spec;
  if (broken) return rankAt(LAST, submitted);
  const deadline = job.spec.deadline ?? promise.within;
  const multiples = job.spec.deadline === null ? [1] : promise.multiples;
  if (deadline === null) return rankAt(IN_TIME, submitted);
  if (from !== null && day >= from) return rankAt(0, from);
  const left = tasks - job.done.size - job.placed.size;
  for (let i = 0; i < multiples.length; i++) {
    const due = submitted + deadline * multiples[i]!;
    if (day <= due) return rankAt(IN_TIME + i, i === 0 ? left * estimate : due);
  }
  return rankAt(IN_TIME + multiples.length, submitted);
};
