/** Input and result of a scheduling cycle, and arithmetic on resources. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import type { ImageStatus, Victim } from '../lending/replica-cost.js';
import type { TeamSettings } from '../settings/settings.js';

/** CPUs, GPUs and memory in GB. */
export type Resources = [number, number, number];

/** Returns the resources of one task, or of a machine. */
export const resourcesOf = (source: { cpus: number; gpus: number; memGb: number }): Resources => [
  source.cpus,
  source.gpus,
  source.memGb,
];
/** Tolerance of comparisons between amounts of a resource, which may be fractions. */
export const EPSILON = 1e-6;
/** Whether `available` resources suffice for `need`. */
export const fits = (need: Resources, available: Resources): boolean =>
  need[0] <= available[0] + EPSILON && need[1] <= available[1] + EPSILON && need[2] <= available[2] + EPSILON;
/** Returns how many tasks fit by one resource, from the positive amount that a task needs and the available amount. */
export const countFittingAmount = (amountPerTask: number, available: number): number =>
  Math.floor((available + EPSILON) / amountPerTask + EPSILON);
/** Returns how many tasks that need `need` each fit into `available`; infinite if a task needs nothing. */
export const countFitting = (need: Resources, available: Resources): number => {
  let count = Number.POSITIVE_INFINITY;
  for (let i = 0; i < 3; i++)
    if (need[i]! > 0) count = Math.min(count, countFittingAmount(need[i]!, available[i]!));
  return Math.max(0, count);
};
/** Adds `times` times the resources `amount` to `sum`, in place. */
export const add = (sum: Resources, amount: Resources, times = 1): void => {
  sum[0] += amount[0] * times;
  sum[1] += amount[1] * times;
  sum[2] += amount[2] * times;
};

/** A machine whose worker has reported. */
export interface MachineView {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Resources;
  /** Images that the machine holds. */
  readonly images: ReadonlySet<string>;
  /** Whether the machine fetches the weights of a service: fetching another image would share its download rate. */
  readonly fetchingWeights?: boolean;
  /** Number of further tasks that the machine's heartbeats can list; without it there is no limit. */
  readonly taskSlots?: number;
  /** Whether the machine may be given new tasks. The tasks of a machine that may not still count as running. */
  readonly open: boolean;
}

/** A task that holds resources of a machine. */
export interface PlacedTask {
  readonly job: Job;
  readonly task: number;
  readonly machine: string;
  /** null: the task's log entry names the machine, but the machine's zone is not known yet. */
  readonly zone: string | null;
  /** Whether the task is being stopped or otherwise about to exit: its resources will be freed, and it can't be preempted. */
  readonly terminating: boolean;
  /** Work that is lost if the task is stopped now. */
  readonly loss: Micros;
  /** Remaining run time according to the job's estimate. */
  readonly remaining: Micros;
}

/** Information for placing replicas of GPU services, beside the rest of the cycle's input. */
export interface LendingView {
  /** State of the job's image on a machine. */
  readonly imageStatus: (job: Job, machine: MachineView) => ImageStatus;
  readonly victim: (placedTask: PlacedTask) => Victim;
  /** Whether an order to stop a task would reach the machine now. */
  readonly reachable: (machine: string) => boolean;
  /** Time until the class's objective for the start of this job expires; null: the class has no such objective. */
  readonly due: (job: Job) => Micros | null;
  /** Boot time and image fetch time of a machine rented now; null: no machine can be rented for this job. */
  readonly rental: (job: Job) => { readonly boot: Micros; readonly fetch: Micros } | null;
}

/** Everything that a scheduling cycle decides by. */
export interface CycleInput {
  readonly now: Micros;
  readonly teams: readonly TeamSettings[];
  /** Reciprocal of each team's priority factor; teams that are not listed have 1. */
  readonly weights: ReadonlyMap<string, number>;
  readonly machines: readonly MachineView[];
  readonly placedTasks: readonly PlacedTask[];
  /** Jobs with tasks to start, and the tasks that may be started at once. */
  readonly queued: readonly QueuedJob[];
  /** CPUs and memory that recent GPU jobs need beside each GPU, by urgency. */
  readonly coLocatedDemand: readonly CoLocatedDemand[];
  /** Machines in excess of the demand: they are chosen last, and not for low-urgency work without GPUs. */
  readonly idleMachines: ReadonlySet<string>;
  /** Jobs for which an earlier cycle preempted tasks, with their number of tasks to place before all other jobs' tasks. */
  readonly reservations: ReadonlyMap<string, number>;
  /** Machines that a job avoids because it failed there; null: none. */
  readonly avoid: (job: Job) => ReadonlySet<string> | null;
  /** Attempt numbers up to this one may have been used before a data loss; none if undefined. */
  readonly attemptFloor?: number;
  /**
   * Maximum number of placements (starts of a job on one machine) that can be recorded. The refill ends when the cycle has
   * made this many; unlimited if undefined.
   */
  readonly maxPlacements?: number;
  /** If undefined, replicas of services are placed like any other task. */
  readonly lending?: LendingView;
}

/** CPUs and memory that a class of GPU jobs needs on a machine beside each GPU. */
export interface CoLocatedDemand {
  readonly urgency: number;
  readonly cpusPerGpu: number;
  readonly memPerGpu: number;
  /** Whether some of the class's tasks wait for resources now. */
  readonly waiting: boolean;
  /** Wait that the class's future jobs can tolerate: tasks that run for less may use the resources in the meantime. */
  readonly patience: Micros;
}

/** A job with tasks to start. */
export interface QueuedJob {
  readonly job: Job;
  readonly tasks: readonly number[];
  /** Position among jobs of the same urgency in the team's queue: smaller ranks are served first. */
  readonly rank: number;
  /** Whether the job is a starving gang, see reserve.ts. */
  readonly starving: boolean;
  /** Whether the job failed wherever it ran: it is only given free resources and preempts no task. */
  readonly suspect: boolean;
  /** Whether machines may be rented for the job. */
  readonly mayRent: boolean;
  /**
   * Whether no task of the job has been started for a long time, see start-waits.ts. Its next task may use resources that
   * are kept for GPU jobs that have not been submitted yet.
   */
  readonly overdue?: boolean;
}

/** An attempt of a job to start on machines. */
export interface Start {
  readonly job: Job;
  readonly attempt: number;
  /** The tasks to start, by machine. */
  readonly tasksByMachine: Map<string, number[]>;
}
/** A task to stop so that other work gets its resources. */
export interface Preemption {
  readonly job: Job;
  readonly task: number;
  readonly machine: string;
  /** The service that borrows the task's GPUs: the stop is sent only when the loan is durable. */
  readonly taker?: Job;
}
/** A job whose tasks the cycle could not place. */
export interface Unplaced {
  readonly job: Job;
  /** Number of tasks that were not placed. */
  readonly count: number;
}
/** Decisions of a scheduling cycle. */
export interface CycleResult {
  readonly starts: Start[];
  readonly preemptions: Preemption[];
  readonly unplaced: Unplaced[];
  /** By job, the number of tasks placed on resources that terminating tasks still hold. */
  readonly reservations: ReadonlyMap<string, number>;
  /** Free resources of each machine after the cycle. */
  readonly free: Map<string, Resources>;
}
