/** What the stand-ins of a run share: machines, jobs, and what happens to tasks on machines. Times are milliseconds. */

/** A kind of machines that can be rented. */
export interface MachineKind {
  readonly label: string;
  readonly vcpus: number;
  readonly accelerators: number;
  readonly memGb: number;
  readonly hourly: number;
  readonly zones: readonly string[];
  /** So many can be rented. */
  readonly count: number;
}

/** Speed of image fetches and room for images, the same for all machines. */
export const IMAGE_FETCH_GB_PER_S = 1;
/** See `IMAGE_FETCH_GB_PER_S`. */
export const IMAGE_CACHE_GB = 100;

/** An array's tasks run each by itself, an ensemble's as a gang. */
export type JobShape = 'array' | 'ensemble';

/** A job as its user knows it; workers fetch it when they are told to run a task of it. */
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
  /** How long each task really runs. */
  readonly runMs: number;
  /** 0: it saves nothing. */
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

/** What hollow workers tell of their tasks, each with the time at which it happened. */
export type WorkerEvent = TaskAttempt & { readonly at: number } & (
    | { /** A `run` order was executed. */ readonly kind: 'ordered' }
    | { /** It has its image: it is on the machine from here. */ readonly kind: 'started' }
    | { /** It is not on the machine any more. */ readonly kind: 'left'; readonly completed: boolean }
    | { /** A gang's member was told to save and stop. */ readonly kind: 'told-to-save' }
    | {
        /** Progress that lies outside the machine by now. */ readonly kind: 'saved';
        readonly progressMs: number;
      }
  );

/** Why a gang's members leave together. */
export type GangEnd = 'done' | 'peers' | 'stopped';

/** What the run's main process tells hollow workers. */
export type WorkerCommand =
  | { readonly kind: 'job'; readonly job: JobDescription }
  | { readonly kind: 'machine-up'; readonly machine: MachineDescription }
  | { readonly kind: 'machine-down'; readonly id: string }
  | { readonly kind: 'restart-share'; readonly share: number }
  | { readonly kind: 'gang-runs'; readonly job: string; readonly attempt: number }
  | { readonly kind: 'gang-ends'; readonly job: string; readonly attempt: number; readonly cause: GangEnd }
  | { readonly kind: 'progress'; readonly job: string; readonly task: number; readonly progressMs: number }
  | { readonly kind: 'finished'; readonly job: string; readonly task: number };

/** The protocol's times, as the controllers' settings say them. */
export interface Timing {
  readonly reportMs: number;
  readonly leaseMs: number;
  readonly gangWaitMs: number;
  readonly gangPeerMs: number;
  readonly cancelMs: number;
}

/** Where a controller is; `listen` for users and workers, `peer` for other controllers, both `host:port`. */
export interface ControllerAddress {
  readonly label: string;
  readonly zone: string;
  readonly listen: string;
  readonly peer: string;
}

/** A task's name on the wire. */
export const taskName = (job: string, task: number): string => `${job}/${task}`;

/** The parts of a task's name. */
export interface TaskName {
  readonly job: string;
  readonly task: number;
}
/** The parts of a name that `taskName` made. */
export const parseTaskName = (name: string): TaskName => {
  const slash = name.lastIndexOf('/');
  return { job: name.slice(0, slash), task: Number(name.slice(slash + 1)) };
};
