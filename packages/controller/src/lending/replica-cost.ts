/**
 * Costs of the options for placing a missing replica; the scheduler takes the option that costs least. The cost of an option
 * is the time until the replica serves, plus its lateness against the objective of its class, plus the work that is lost
 * for it, all in seconds. docs/lending.md lists the options and explains the figures.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/** Additional cost of a second by which the replica serves later than the objective. */
const LATENESS_WEIGHT = 1;
/** Cost, in seconds of waiting, of a GPU-second of lost work, or of a GPU-second that is paid while the GPU is idle. */
const LOSS_WEIGHT = 0.2;
/**
 * Time from the decision to preempt until the resources are free, for a task that stops at once: the log entry that holds
 * the loan must become durable, and then the worker must report that the task has stopped.
 */
export const STOP_DELAY = seconds(1.5);
/** Fraction of a gang's unsaved progress that counts as lost although it is saved on the stop: a member may fail meanwhile. */
const UNSAVED_RISK = 0.1;
/** Overhead of restarting a task whose progress is saved: its wait in the queue, its image, the gathering of its gang. */
const RESTART_COST = seconds(10);
/**
 * Limits on how many tasks services may preempt from one job over its life, as a multiple of its tasks: a gang may be stopped
 * this many times as a whole, an array may lose this fraction of its tasks.
 */
const GANG_BUDGET = 2;
const ARRAY_BUDGET = 0.5;

/** Whether `more` tasks of a job may be preempted after `taken` tasks of it have been preempted so far. */
export const withinPreemptionBudget = (
  job: { readonly gang: boolean; readonly tasks: number; readonly taken: number },
  more: number,
): boolean =>
  job.taken + more <=
  (job.gang ? GANG_BUDGET * job.tasks : Math.max(1, Math.floor(ARRAY_BUDGET * job.tasks)));

/** Status of an image on one machine. */
export interface ImageStatus {
  readonly gb: number;
  readonly gbPerS: number;
  readonly present: boolean;
  /** Time for which the image has been fetched so far; null: it is not being fetched. */
  readonly fetchedFor: Micros | null;
  /** Number of other images that the machine is fetching, which share the rate. */
  readonly others: number;
}
/** Minimum remaining time of a fetch in progress, as a fraction of its whole time, however long it has taken. */
const MIN_REMAINING_RATIO = 0.1;
/** Returns the expected time until the image is present on the machine. */
export const fetchTime = (image: ImageStatus): Micros => {
  if (image.present || image.gbPerS <= 0) return 0 as Micros;
  const alone = (image.gb / image.gbPerS) * 1e6;
  if (image.fetchedFor !== null)
    return Math.round(Math.max(alone * MIN_REMAINING_RATIO, alone - image.fetchedFor)) as Micros;
  return Math.round(alone * (1 + image.others)) as Micros;
};

/** A task that may be preempted. */
export interface Victim {
  /** Time for which the present attempt has run. */
  readonly ran: Micros;
  /** Duration of one task as its owner estimates it, often wrong by half; 0 for a service. */
  readonly estimate: Micros;
  /** Interval between checkpoints; 0: the task never saves. */
  readonly checkpoint: Micros;
  /** Time that a save takes. */
  readonly save: Micros;
}
/** Expected remaining time of a task that has exceeded its estimate, as a fraction of the time it has run. */
const OVERRUN_RATIO = 0.25;
/** Returns the expected time until the task completes. */
export const remainingTime = (victim: Victim): Micros =>
  (victim.ran < victim.estimate
    ? victim.estimate - victim.ran
    : Math.round(victim.ran * OVERRUN_RATIO)) as Micros;

/**
 * Returns the work that is lost by stopping the task: its whole run if it never saves; otherwise the time of the save, the
 * risk to the progress since the last checkpoint, and the overhead of the restart. It is least just after a checkpoint.
 */
export const lostWork = (victim: Victim): Micros =>
  victim.checkpoint === 0
    ? victim.ran
    : (Math.round(
        victim.save + UNSAVED_RISK * (victim.ran % victim.checkpoint) + Math.min(victim.ran, RESTART_COST),
      ) as Micros);

/** Returns the time from the stop order until the task's resources are free. */
export const timeToFree = (victim: Victim): Micros => (victim.checkpoint > 0 ? victim.save : 0) as Micros;

/**
 * Whether the task is expected to complete before the replica's image is fetched, so that preempting it gains nothing. A
 * service, which has no estimate, never completes.
 */
export const completesBeforeFetch = (victim: Victim, fetch: Micros): boolean =>
  victim.estimate > 0 && remainingTime(victim) <= fetch;

/** One option for placing a replica. */
export interface ServingOption {
  /** Time until the resources are available: until the victims have stopped, or the machine has booted. */
  readonly availableIn: Micros;
  /** Time to fetch the image. */
  readonly fetch: Micros;
  /** Work that is lost, or GPUs that are paid while idle, in GPU-microseconds. */
  readonly lost: number;
}

/** Returns the cost of an option. `due`: time left to the class's objective for the start of this job; null: there is none. */
export const servingCost = (option: ServingOption, due: Micros | null): number => {
  const serves = (option.availableIn + option.fetch) / 1e6;
  const late = due === null ? 0 : Math.max(0, serves - Math.max(0, due / 1e6));
  return serves + LATENESS_WEIGHT * late + LOSS_WEIGHT * (option.lost / 1e6);
};

/** Returns the option of renting a machine, which is paid from the order on, while it boots. */
export const rentalOption = (boot: Micros, fetch: Micros, gpus: number): ServingOption => ({
  availableIn: boot,
  fetch,
  lost: boot * gpus,
});
