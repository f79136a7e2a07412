/**
 * Slack of jobs that are bound to a cutoff: the time until the cutoff minus the time that the job's remaining work takes with
 * the resources it can get. Pure functions; docs/calendar.md has the formulae. Estimates are often wrong by half, so the
 * remaining time is computed in two ways: a conservative one, which orders jobs and finds those at risk, and an optimistic
 * one, which finds the jobs that can no longer meet their cutoff.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Job, JobSpec } from '../jobs/model.js';
import type { TeamSettings } from '../settings/settings.js';
import { type Calendar, type Occurrence, CUTOFF_RISK } from './model.js';
import { ratioQuantile, type ClassDurations } from './class-durations.js';
import { occurrenceOf } from './cutoff-binding.js';

/** Quantiles of a class's duration ratios that the conservative and the optimistic remaining time use. */
const CONSERVATIVE_QUANTILE = 0.75;
const OPTIMISTIC_QUANTILE = 0.1;
/** Optimistic ratio for a class without samples: its tasks may take only half of their estimate. */
const DEFAULT_OPTIMISTIC_RATIO = 0.5;
/** A job is pressing if its slack is less than its remaining time or less than this. */
const PRESSING_SLACK = seconds(600);
/**
 * Offset of ranks within the level of jobs that are in time (scheduler/rank.ts): it puts pressing jobs before all others of
 * the level, and the remaining bound jobs behind those with a deadline of their own.
 */
const RANK_OFFSET = 1e15;
/** Rank of jobs that can no longer meet their cutoff; the due time is added. */
const HOPELESS_RANK = 5e15;
/** Rank of jobs that have missed their cutoff, the same level as that of jobs that have missed their own deadline. */
const MISSED_RANK = 1e16;

/** Amounts by resource: CPUs, GPUs, GB of memory. */
export type ResourceTotal = readonly [number, number, number];

/** Returns how many tasks of a job can run at once within its team's limit and the cluster's capacity (null: unlimited), at least 1. */
export const maxConcurrentTasks = (
  spec: JobSpec,
  limit: TeamSettings['limit'] | undefined,
  total: ResourceTotal | null,
): number => {
  let max = spec.tasks;
  const bound = (available: number, perTask: number): void => {
    if (perTask > 0) max = Math.min(max, Math.floor(available / perTask + 1e-6));
  };
  if (limit !== undefined && limit.cpus > 0) bound(limit.cpus, spec.cpus);
  if (limit !== undefined && limit.gpus > 0) bound(limit.gpus, spec.gpus);
  if (total !== null) {
    bound(total[0], spec.cpus);
    bound(total[1], spec.gpus);
    bound(total[2], spec.memGb);
  }
  return Math.max(1, max);
};

/** Returns the time until the job completes if each task takes `ratio` times its estimate and `slots` tasks run at once. */
export const timeLeft = (job: Job, day: Micros, ratio: number, slots: number): Micros => {
  const { spec } = job;
  const perTask = spec.estimate * ratio;
  let running = 0;
  let longest = 0;
  for (const placement of job.placed.values()) {
    // A task that has exceeded the expected duration is assumed to take another tenth of it.
    const left =
      placement.since === 0 ? perTask : Math.max(perTask / 10, perTask - Math.max(0, day - placement.since));
    running += left;
    longest = Math.max(longest, left);
  }
  if (spec.shape !== 'array') return Math.round(job.placed.size === spec.tasks ? longest : perTask) as Micros;
  const waiting = spec.tasks - job.completed.size - job.placed.size;
  const atOnce = Math.max(1, Math.min(slots, waiting + job.placed.size));
  return Math.round(
    Math.max(longest, waiting > 0 ? perTask : 0, (running + waiting * perTask) / atOnce),
  ) as Micros;
};

/** What the remaining time of a job depends on, besides the job itself. */
export interface SlackInputs {
  readonly classDurations: ClassDurations;
  readonly limit: (team: string) => TeamSettings['limit'] | undefined;
  /** Current total capacity of the cluster. */
  readonly total: ResourceTotal;
}

/** Returns the conservative remaining time, which assumes the present capacity of the cluster. */
export const conservativeTimeLeft = (job: Job, day: Micros, inputs: SlackInputs): Micros =>
  timeLeft(
    job,
    day,
    ratioQuantile(inputs.classDurations, job.spec.jobClass, CONSERVATIVE_QUANTILE),
    Math.max(job.placed.size, maxConcurrentTasks(job.spec, inputs.limit(job.spec.team), inputs.total)),
  );

/** Returns the optimistic remaining time. Machines can be rented, so only the team's limit bounds the concurrent tasks. */
const optimisticTimeLeft = (job: Job, day: Micros, inputs: SlackInputs): Micros => {
  const { jobClass, team } = job.spec;
  const ratio = inputs.classDurations.has(jobClass)
    ? Math.min(1, ratioQuantile(inputs.classDurations, jobClass, OPTIMISTIC_QUANTILE))
    : DEFAULT_OPTIMISTIC_RATIO;
  return timeLeft(job, day, ratio, maxConcurrentTasks(job.spec, inputs.limit(team), null));
};

/** Returns the earlier of the job's cutoff and its own deadline; a deadline that has passed does not count. */
export const effectiveDeadline = (job: Job, occurrence: Occurrence, day: Micros): Micros => {
  const { deadline, submitted } = job.spec;
  const own = deadline === null ? Number.POSITIVE_INFINITY : submitted + deadline;
  return (own >= day ? Math.min(own, occurrence.at) : occurrence.at) as Micros;
};

/**
 * Returns the rank of a bound job in its team's queue, within or after the level of jobs that are in time. Returns null if
 * the job is ranked by its own deadline, because it is not bound or the calendar no longer has its occurrence. Bound jobs
 * are ordered by slack. Jobs that can no longer meet their cutoff rank behind those that can, and jobs that have missed
 * it rank among the jobs that have missed their own deadline.
 */
export const cutoffRank = (
  job: Job,
  calendar: Calendar | null,
  day: Micros,
  slackInputs: () => SlackInputs,
): number | null => {
  const occurrence = occurrenceOf(calendar, job.spec);
  if (occurrence === null) return null;
  if (day > occurrence.at) return MISSED_RANK + occurrence.at;
  const inputs = slackInputs();
  const optimistic = optimisticTimeLeft(job, day, inputs);
  let due = effectiveDeadline(job, occurrence, day);
  if (day + optimistic > due) due = occurrence.at;
  if (day + optimistic > due) return HOPELESS_RANK + due;
  const conservative = conservativeTimeLeft(job, day, inputs);
  const slack = due - day - conservative;
  return slack < Math.max(conservative, PRESSING_SLACK) ? slack - RANK_OFFSET : slack + RANK_OFFSET;
};

/**
 * Returns the time of the job's cutoff if the job is pressing, which means that it would miss the cutoff without more
 * resources; otherwise null. Among jobs of the same urgency, machines are rented for pressing jobs first.
 */
export const pressingCutoff = (
  job: Job,
  calendar: Calendar | null,
  day: Micros,
  durations: ClassDurations,
): Micros | null => {
  const occurrence = occurrenceOf(calendar, job.spec);
  if (occurrence === null || day > occurrence.at) return null;
  const ratio = ratioQuantile(durations, job.spec.jobClass, CONSERVATIVE_QUANTILE);
  const left = timeLeft(job, day, ratio, maxConcurrentTasks(job.spec, undefined, null));
  return occurrence.at - day - left < Math.max(left, PRESSING_SLACK) ? occurrence.at : null;
};

/** Known causes for the delay of a job. */
export interface DelayCauses {
  /** The job's next tasks would exceed its team's limit. */
  readonly limited: boolean;
  /** Tasks of the job ended recently without completing and without a failure of their own. */
  readonly lost: boolean;
}

/**
 * Returns the new state of the job's cutoff (a value of `CUTOFF_RISK`), or null if it is unchanged. A job is at risk once its
 * conservative remaining time exceeds the time to the cutoff, and has missed the cutoff once that has passed and the job
 * is not done. Each state is returned once; if the occurrence is moved, the states start again.
 */
export const newCutoffRisk = (
  job: Job,
  calendar: Calendar | null,
  day: Micros,
  slackInputs: () => SlackInputs,
  delayCauses: () => DelayCauses,
): number | null => {
  const occurrence = occurrenceOf(calendar, job.spec);
  if (occurrence === null) return null;
  const previous = job.cutoffRisk ?? CUTOFF_RISK.nothing;
  if (day > occurrence.at) return previous === CUTOFF_RISK.missed ? null : CUTOFF_RISK.missed;
  if (previous === CUTOFF_RISK.missed) return CUTOFF_RISK.nothing;
  if (previous !== CUTOFF_RISK.nothing) return null;
  const inputs = slackInputs();
  const left = conservativeTimeLeft(job, day, inputs);
  if (day + left <= occurrence.at) return null;
  const { spec } = job;
  if (spec.tasks - job.completed.size === job.placed.size) return CUTOFF_RISK.estimate;
  const { limited, lost } = delayCauses();
  if (limited) return CUTOFF_RISK.limit;
  if (lost) return CUTOFF_RISK.lost;
  // If the job would meet its cutoff with the estimate as submitted, the estimate is the reason.
  const stated = timeLeft(
    job,
    day,
    1,
    Math.max(job.placed.size, maxConcurrentTasks(spec, inputs.limit(spec.team), inputs.total)),
  );
  return day + stated <= occurrence.at ? CUTOFF_RISK.estimate : CUTOFF_RISK.noRoom;
};
