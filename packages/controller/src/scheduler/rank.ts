/**
 * Ranks jobs of the same urgency within a team's queue: jobs with smaller ranks are served first. The levels, in order:
 *
 * 1. Starving: one of the largest jobs of its class that has waited for two thirds of the time within which it should begin
 *    and can still begin in time, in the order of submission. Classes that are served in that order need no such rule.
 * 2. In time: jobs that can still meet their deadline, least remaining work first: when the capacity does not suffice for
 *    all jobs, this order lets the most jobs meet their deadlines. Jobs without a deadline follow in the order of submission.
 * 3. Missed: jobs that have missed their deadline, since no other job should miss its own for them. They are ordered by the
 *    next multiple of the deadline that the objectives name and, past all multiples, by submission. A job counts as late
 *    only after its deadline: estimates are wrong by half, and a forecast would demote running jobs for no reason.
 * 4. Jobs that failed wherever they ran, in the order of submission.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import type { TeamSettings } from '../settings/settings.js';

/** Distance between the ranks of two levels. */
const LEVEL_SPAN = 1e16;
const IN_TIME_LEVEL = 1;
const SUSPECT_LEVEL = 1000;
const rankAt = (level: number, rankInLevel: number): number => level * LEVEL_SPAN + rankInLevel;
/** First rank of the level of jobs that are in time; jobs bound to a cutoff have ranks within this level (calendar/slack.ts). */
export const IN_TIME_RANK = IN_TIME_LEVEL * LEVEL_SPAN;

/** Objectives of a job class that determine the order of the queue. */
export interface ClassObjective {
  /** Multiples of the job's own deadline within which the job should finish, smallest first. */
  readonly multiples: readonly number[];
  /** Duration within which jobs without a deadline of their own should finish; null: the class has no such objective. */
  readonly within: Micros | null;
}

/** Maximum time from submission until a job of any size should begin; a job that begins later has missed its start. */
export const START_WITHIN = seconds(240);
/**
 * Waiting time after which one of the largest jobs of a class is starving and goes first. On crowded days such a job begins
 * about 30 s later, which leaves as much again for failures. A shorter time makes other jobs miss their deadlines.
 */
const STARVATION_AGE = seconds(165);
/** Time that a gang starves before machines are reserved for it: most gangs are placed without, and other jobs wait for it. */
export const RESERVES_AFTER = seconds(15);

/**
 * Returns how many tasks must run at once before a job counts as begun: all tasks of a gang or service, and as many tasks
 * of an array as the team's limit allows.
 */
const tasksToBegin = (job: Job, limit: TeamSettings['limit'] | undefined): number => {
  const { shape, tasks, cpus, gpus } = job.spec;
  if (shape !== 'array' || limit === undefined) return tasks;
  let count = tasks;
  if (limit.cpus > 0 && cpus > 0) count = Math.min(count, Math.floor(limit.cpus / cpus + 1e-6));
  if (limit.gpus > 0 && gpus > 0) count = Math.min(count, Math.floor(limit.gpus / gpus + 1e-6));
  return count;
};

/**
 * Returns the time of day from which a job, one of the largest of its class, is starving; null if the job has begun or can't
 * begin in time any more.
 *
 * The order by remaining work makes the largest jobs wait for all others. They are few, so serving them first costs the
 * others little; the same rule for jobs of all sizes would undo the order just when the capacity does not suffice for all.
 * Whether a job has begun and since when it has waited follows from durable state, so a new leader decides the same.
 *
 * `maxPlaced` is the maximum number of the job's tasks that can be placed at a time: an array that needs more to begin can't
 * begin in time and would only delay the others.
 */
export const starvingFrom = (
  job: Job,
  day: Micros,
  limit: TeamSettings['limit'] | undefined,
  maxPlaced: number,
): Micros | null => {
  const { submitted } = job.spec;
  const need = tasksToBegin(job, limit);
  if (day > submitted + START_WITHIN || need > maxPlaced || job.completed.size + job.placed.size >= need)
    return null;
  return (submitted + STARVATION_AGE) as Micros;
};

/**
 * Returns the rank of a job at the time of day `day`. `suspect`: whether the job failed wherever it ran.
 * `starvingSince`: the result of `starvingFrom` for one of the largest jobs of its class, otherwise null.
 */
export const rankOf = (
  job: Job,
  day: Micros,
  objective: ClassObjective,
  suspect = false,
  starvingSince: Micros | null = null,
): number => {
  const { estimate, submitted, tasks } = job.spec;
  if (suspect) return rankAt(SUSPECT_LEVEL, submitted);
  const deadline = job.spec.deadline ?? objective.within;
  const multiples = job.spec.deadline === null ? [1] : objective.multiples;
  if (deadline === null) return rankAt(IN_TIME_LEVEL, submitted);
  if (starvingSince !== null && day >= starvingSince) return rankAt(0, starvingSince);
  const unplacedTasks = tasks - job.completed.size - job.placed.size;
  for (let i = 0; i < multiples.length; i++) {
    const due = submitted + deadline * multiples[i]!;
    if (day <= due) return rankAt(IN_TIME_LEVEL + i, i === 0 ? unplacedTasks * estimate : due);
  }
  return rankAt(IN_TIME_LEVEL + multiples.length, submitted);
};
