/**
 * Types that the stand-ins of a run share: machines, jobs and events of tasks on machines. Times are in milliseconds.
 */

/** A machine type that can be rented. */
export interface MachineKind {
  readonly label: string;
  readonly vcpus: number;
  readonly accelerators: number;
  readonly memGb: number;
  readonly hourly: number;
  readonly zones: readonly string[];
  /** Number of machines of this type that can be rented. */
  readonly count: number;
}

/** Speed of image fetches, the same for all machines. */
export const IMAGE_FETCH_GB_PER_S = 1;
/** Capacity of the image cache, the same for all machines. */
export const IMAGE_CACHE_GB = 100;

/** The tasks of an array run independently; the tasks of an ensemble run together as a gang. */
export type JobShape = 'array' | 'ensemble';

/** A job as its user submitted it. Workers look it up when they receive an order to run one of its tasks. */
export interface JobDescription {
  readonly id: string;
  readonly team: string;
  readonly jobClass: string;
  readonly shape: JobShape;
  readonly urgency: 'production' | 'high' | 'normal' | 'low';
  readonly tasks: number;
  readonly vcpus: number;
  readonly accelerators: number;
  readonly memGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly kinds: readonly string[] | null;
  readonly zone: string | null;
  readonly samePlace: boolean;
  readonly scatter: boolean;
  /** Actual run time of each task. */
  readonly runMs: number;
  /** Interval between two checkpoints of a task; 0: the task writes no checkpoints. */
  readonly saveEveryMs: number;
  readonly saveTakesMs: number;
}

/** A rented machine. */
export interface MachineDescription {
  readonly id: string;
  readonly kind: string;
  readonly zone: string;
}

/** A task attempt on a machine. */
export interface TaskAttempt {
  readonly job: string;
  readonly task: number;
  readonly attempt: number;
  readonly machine: string;
}

/** An event of a task on a hollow worker, with the time at which it happened. */
export type WorkerEvent = TaskAttempt & { readonly at: number } & (
    | { /** The worker executed a `run` order. */ readonly kind: 'ordered' }
    | { /** The task's image is fetched; the task is on the machine from now on. */ readonly kind: 'started' }
    | { /** The task is no longer on the machine. */ readonly kind: 'left'; readonly completed: boolean }
    | { /** A gang member received an order to write a checkpoint and stop. */ readonly kind: 'told-to-save' }
    | {
        /** Progress was saved outside the machine. */ readonly kind: 'saved';
        readonly progressMs: number;
      }
  );

/** Why all members of a gang exit together. */
export type GangEnd = 'done' | 'peers' | 'stopped';

/** A command from the run's main process to the hollow workers. */
export type WorkerCommand =
  | { readonly kind: 'job'; readonly job: JobDescription }
  | { readonly kind: 'machine-up'; readonly machine: MachineDescription }
  | { readonly kind: 'machine-down'; readonly id: string }
  | { readonly kind: 'restart-share'; readonly share: number }
  | { readonly kind: 'gang-runs'; readonly job: string; readonly attempt: number }
  | { readonly kind: 'gang-ends'; readonly job: string; readonly attempt: number; readonly cause: GangEnd }
  | { readonly kind: 'progress'; readonly job: string; readonly task: number; readonly progressMs: number }
  | { readonly kind: 'finished'; readonly job: string; readonly task: number };

/** Timing values of the workers' protocol, as in the controllers' settings. */
export interface Timing {
  readonly reportMs: number;
  readonly leaseMs: number;
  readonly gangWaitMs: number;
  readonly gangPeerMs: number;
  readonly cancelMs: number;
}

/** Addresses of a controller, as `host:port`: `listen` for users and workers, `peer` for other controllers. */
export interface ControllerAddress {
  readonly label: string;
  readonly zone: string;
  readonly listen: string;
  readonly peer: string;
}

/** Returns the name of a task in requests and responses. */
export const taskName = (job: string, task: number): string => `${job}/${task}`;

/** The job and the task index that a task's name consists of. */
export interface TaskName {
  readonly job: string;
  readonly task: number;
}
/** Splits a name that `taskName` returned. */
export const parseTaskName = (name: string): TaskName => {
  const slash = name.lastIndexOf('/');
  return { job: name.slice(0, slash), task: Number(name.slice(slash + 1)) };
};
