/**
 * The decision for a replica that is missing: of all ways to get it serving, the one that costs least. A way's cost is
 * the time until the replica serves, what it is late for its class's aim, and what is lost for it, all in seconds. See
 * docs/lending.md for the ways weighed and the figures.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/** A second later than the aim weighs as many more. */
const LATENESS_WEIGHT = 1;
/** A GPU-second of another's lost work, or of a GPU that is paid and idle, against a second of waiting. */
const LOSS_WEIGHT = 0.2;
/** From the decision to the order: the log entry that holds the loan; then the worker's report that the room is free. */
export const STOP_DELAY = seconds(1.5);
/** Part of a gang's unsaved progress that counts as lost though it is told to save: a member may fail meanwhile. */
const UNSAVED_RISK = 0.1;
/** What a saved task repeats besides: its place in a queue, its image, its gang's wait. */
const RESTART_COST = seconds(10);
/** Of a job, services take at most so many times its tasks: a gang as often as that whole, of an array as many tasks. */
const GANG_BUDGET = 2;
const ARRAY_BUDGET = 0.5;

/** Whether `more` of a job's tasks may be taken, after `taken` of them ever. */
export const withinPreemptionBudget = (
  job: { readonly gang: boolean; readonly tasks: number; readonly taken: number },
  more: number,
): boolean =>
  job.taken + more <=
  (job.gang ? GANG_BUDGET * job.tasks : Math.max(1, Math.floor(ARRAY_BUDGET * job.tasks)));

/** What is known of an image on one machine. */
export interface ImageStatus {
  readonly gb: number;
  readonly gbPerS: number;
  readonly present: boolean;
  /** For how long it has been fetched already; null: it is not being fetched. */
  readonly fetchedFor: Micros | null;
  /** Other images being fetched there: they share the rate. */
  readonly others: number;
}
/** However long it has taken, a fetch that is not over takes a little longer. */
const MIN_REMAINING_PART = 0.1;
export const fetchTime = (i: ImageStatus): Micros => {
  if (i.present || i.gbPerS <= 0) return 0 as Micros;
  const alone = (i.gb / i.gbPerS) * 1e6;
  if (i.fetchedFor !== null)
    return Math.round(Math.max(alone * MIN_REMAINING_PART, alone - i.fetchedFor)) as Micros;
  return Math.round(alone * (1 + i.others)) as Micros;
};

/** A task that may be stopped. */
export interface Victim {
  /** Running for so long in this attempt. */
  readonly ran: Micros;
  /** Of one task, as its owner says; often wrong by half. */
  readonly estimate: Micros;
  /** Interval of its checkpoints and time to save; 0: it never saves. */
  readonly checkpoint: Micros;
  readonly save: Micros;
}
/** A task past its estimate has this part of what it ran still before it. */
const OVERRUN_PART = 0.25;
export const remainingTime = (v: Victim): Micros =>
  (v.ran < v.estimate ? v.estimate - v.ran : Math.round(v.ran * OVERRUN_PART)) as Micros;

/** What stopping it loses: all of its run, or what a save costs and risks: least just after a checkpoint. */
export const lostWork = (v: Victim): Micros =>
  v.checkpoint === 0
    ? v.ran
    : (Math.round(v.save + UNSAVED_RISK * (v.ran % v.checkpoint) + Math.min(v.ran, RESTART_COST)) as Micros);

/** From the order to stop until its room is free. */
export const leaveTime = (v: Victim): Micros => (v.checkpoint > 0 ? v.save : 0) as Micros;

/** What would be over before the weights are there is not worth stopping. A service never ends. */
export const endsBeforeFetch = (v: Victim, fetch: Micros): boolean =>
  v.estimate > 0 && remainingTime(v) <= fetch;

export interface ServingOption {
  /** Until the room is there: others leave, a machine boots. */
  readonly leave: Micros;
  readonly fetch: Micros;
  /** Lost or idle and paid, in GPU-microseconds. */
  readonly lost: number;
}

/** `due`: time until the class's aim on a start has passed for this job; null: there is none. */
export const servingCost = (w: ServingOption, due: Micros | null): number => {
  const serves = (w.leave + w.fetch) / 1e6;
  const late = due === null ? 0 : Math.max(0, serves - Math.max(0, due / 1e6));
  return serves + LATENESS_WEIGHT * late + LOSS_WEIGHT * (w.lost / 1e6);
};

/** Rented: it boots, fetches, and is paid from the order on. */
export const rentalOption = (boot: Micros, fetch: Micros, gpus: number): ServingOption => ({
  leave: boot,
  fetch,
  lost: boot * gpus,
});
