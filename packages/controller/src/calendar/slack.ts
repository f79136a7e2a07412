/**
 * Slack: the time to a job's cutoff less the time that its work left takes at the speed it can get. Pure; docs/calendar.md
 * has the formulae. Estimates are often wrong by half, so there are two views of what is left: a careful one that orders and
 * says what is at risk, and a hopeful one that says what can't make it any more.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Job, JobSpec } from '../jobs/model.js';
import type { TeamSettings } from '../settings/settings.js';
import { type Calendar, type Occurrence, CUTOFF_RISK } from './model.js';
import { ratioQuantile, type ClassDurations } from './class-durations.js';
import { occurrenceOf } from './tie.js';

/** Parts of a class's tasks that stayed within the ratio which a view counts with. */
const CAREFUL = 0.75;
const HOPEFUL = 0.1;
/** A class that has shown nothing yet may take half of its estimate. */
const UNKNOWN = 0.5;
/** A job with less to spare than its work takes, or than this, goes before jobs with a due time of their own. */
const PRESSING = seconds(600);
/** Ranks within the level of jobs that are in time (scheduler/rank.ts): before all others of it, or behind those with a due time. */
const SPAN = 1e15;
const HOPELESS = 5e15;
/** Beyond the levels of what is in time: as a job that has missed its due time. */
const MISSED = 1e16;

/** Room by resource: CPUs, GPUs, GB. */
export type ResourceTotal = readonly [number, number, number];

/** Tasks of a job that can run at once: by its team's limit, and by all the room there is (null: whatever is needed). */
export const maxConcurrentTasks = (
  spec: JobSpec,
  limit: TeamSettings['limit'] | undefined,
  total: ResourceTotal | null,
): number => {
  let most = spec.tasks;
  const part = (have: number, need: number): void => {
    if (need > 0) most = Math.min(most, Math.floor(have / need + 1e-6));
  };
  if (limit !== undefined && limit.cpus > 0) part(limit.cpus, spec.cpus);
  if (limit !== undefined && limit.gpus > 0) part(limit.gpus, spec.gpus);
  if (total !== null) {
    part(total[0], spec.cpus);
    part(total[1], spec.gpus);
    part(total[2], spec.memGb);
  }
  return Math.max(1, most);
};

/** How long until the job is done, if each task takes so many times its estimate and `slots` run at once. */
export const timeLeft = (job: Job, day: Micros, ratio: number, slots: number): Micros => {
  const { spec } = job;
  const each = spec.estimate * ratio;
  let running = 0;
  let longest = 0;
  for (const p of job.placed.values()) {
    // What it was not seen to finish in time may still take a tenth more.
    const left = p.since === 0 ? each : Math.max(each / 10, each - Math.max(0, day - p.since));
    running += left;
    longest = Math.max(longest, left);
  }
  if (spec.shape !== 'array') return Math.round(job.placed.size === spec.tasks ? longest : each) as Micros;
  const waiting = spec.tasks - job.done.size - job.placed.size;
  const atOnce = Math.max(1, Math.min(slots, waiting + job.placed.size));
  return Math.round(Math.max(longest, waiting > 0 ? each : 0, (running + waiting * each) / atOnce)) as Micros;
};

export interface SlackInputs {
  readonly classDurations: ClassDurations;
  readonly limit: (team: string) => TeamSettings['limit'] | undefined;
  /** All the room that there is now. */
  readonly total: ResourceTotal;
}

export const conservativeTimeLeft = (job: Job, day: Micros, pace: SlackInputs): Micros =>
  timeLeft(
    job,
    day,
    ratioQuantile(pace.classDurations, job.spec.jobClass, CAREFUL),
    Math.max(job.placed.size, maxConcurrentTasks(job.spec, pace.limit(job.spec.team), pace.total)),
  );

/** Machines can be rented: only the team's limit bounds what may run at once. */
const hopefulLeft = (job: Job, day: Micros, pace: SlackInputs): Micros => {
  const { jobClass, team } = job.spec;
  const ratio = pace.classDurations.has(jobClass)
    ? Math.min(1, ratioQuantile(pace.classDurations, jobClass, HOPEFUL))
    : UNKNOWN;
  return timeLeft(job, day, ratio, maxConcurrentTasks(job.spec, pace.limit(team), null));
};

/** What the job is to be done by: the nearer of its cutoff and its own due time, unless that has passed. */
export const effectiveDeadline = (job: Job, o: Occurrence, day: Micros): Micros => {
  const { deadline, submitted } = job.spec;
  const own = deadline === null ? Number.POSITIVE_INFINITY : submitted + deadline;
  return (own >= day ? Math.min(own, o.at) : o.at) as Micros;
};

/**
 * The rank of a tied job in its team's queue, above the level of jobs that are in time; null: it goes by its own due time
 * (no tie, or none that the calendar still has). By slack among the tied; what can't make it any more goes behind
 * what can, what has missed goes where missed due times go.
 */
export const cutoffRank = (
  job: Job,
  calendar: Calendar | null,
  day: Micros,
  pace: () => SlackInputs,
): number | null => {
  const o = occurrenceOf(calendar, job.spec);
  if (o === null) return null;
  if (day > o.at) return MISSED + o.at;
  const p = pace();
  const hopeful = hopefulLeft(job, day, p);
  let due = effectiveDeadline(job, o, day);
  if (day + hopeful > due) due = o.at;
  if (day + hopeful > due) return HOPELESS + due;
  const usual = conservativeTimeLeft(job, day, p);
  const slack = due - day - usual;
  return slack < Math.max(usual, PRESSING) ? slack - SPAN : slack + SPAN;
};

/** Whether it would miss its cutoff, were nothing more done for it: renting serves such jobs first of their urgency. */
export const pressing = (
  job: Job,
  calendar: Calendar | null,
  day: Micros,
  shown: ClassDurations,
): Micros | null => {
  const o = occurrenceOf(calendar, job.spec);
  if (o === null || day > o.at) return null;
  const ratio = ratioQuantile(shown, job.spec.jobClass, CAREFUL);
  const left = timeLeft(job, day, ratio, maxConcurrentTasks(job.spec, undefined, null));
  return o.at - day - left < Math.max(left, PRESSING) ? o.at : null;
};

/** What makes a job late, as far as it shows. `held`: what its team holds of each resource. */
export interface DelayCauses {
  /** Its next tasks would take the team over its limit. */
  readonly limited: boolean;
  /** Tasks of it ended without completing lately. */
  readonly lost: boolean;
}

/**
 * What is to be said of a job's cutoff now (`CUTOFF_RISK`); null: nothing new. At risk once the careful view is past the cutoff,
 * missed once the time of day is and the job is not done. Each is said once; of an occurrence that moved, anew.
 */
export const newCutoffRisk = (
  job: Job,
  calendar: Calendar | null,
  day: Micros,
  pace: () => SlackInputs,
  hindered: () => DelayCauses,
): number | null => {
  const o = occurrenceOf(calendar, job.spec);
  if (o === null) return null;
  const said = job.cutoffRisk ?? CUTOFF_RISK.nothing;
  if (day > o.at) return said === CUTOFF_RISK.missed ? null : CUTOFF_RISK.missed;
  if (said === CUTOFF_RISK.missed) return CUTOFF_RISK.nothing;
  if (said !== CUTOFF_RISK.nothing) return null;
  const p = pace();
  const left = conservativeTimeLeft(job, day, p);
  if (day + left <= o.at) return null;
  const { spec } = job;
  if (spec.tasks - job.done.size === job.placed.size) return CUTOFF_RISK.estimate;
  const { limited, lost } = hindered();
  if (limited) return CUTOFF_RISK.limit;
  if (lost) return CUTOFF_RISK.lost;
  // With the estimate as it was given, it would make it.
  const stated = timeLeft(job, day, 1, Math.max(job.placed.size, maxConcurrentTasks(spec, p.limit(spec.team), p.total)));
  return day + stated <= o.at ? CUTOFF_RISK.estimate : CUTOFF_RISK.noRoom;
};
