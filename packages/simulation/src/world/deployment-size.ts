/** Sizes of a simulated deployment: the number of controllers, and the size of the jobs. */
import { seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '@lilacvalve/controller/settings/settings';

/** Controllers of a deployment, and upper bounds on what its jobs request. */
export interface Size {
  /** Labels of the controllers. */
  readonly controllerLabels: readonly string[];
  /** Possible numbers of tasks of a gang. */
  readonly gangSizes: readonly number[];
  /** Maximum number of tasks of an array. */
  readonly maxArrayTasks: number;
  /** CPUs of a job that must run as a whole, and of each task of a large array. */
  readonly maxCpus: number;
  /** Whether jobs are drawn by the distribution of the load burst instead of all job shapes equally often. */
  readonly loadBurst?: boolean;
  /** Name of the class of jobs that are drawn without a load burst; `x` without it. */
  readonly jobClass?: string;
  /** Maximum bytes of a value in the state service, if it differs from the usual one. */
  readonly valueBytes?: number;
  /** Settings of worker leases and cancellations that differ from the usual ones. */
  readonly workers?: Partial<Settings['workers']>;
}

/** Three controllers and small jobs. */
export const SMALL: Size = {
  controllerLabels: ['n0', 'n1', 'n2'],
  gangSizes: [1, 2, 3],
  maxArrayTasks: 6,
  maxCpus: 24,
};

/** Five controllers, gangs of up to 24 tasks in one zone, and large arrays. */
export const GROWN: Size = {
  controllerLabels: ['n0', 'n1', 'n2', 'n3', 'n4'],
  gangSizes: [1, 3, 6, 12, 24],
  maxArrayTasks: 90,
  maxCpus: 24,
};

/**
 * A cancellation's deadline is only 3 s longer than the worker lease, so that cancelled tasks must stop soon after
 * the lease has expired.
 */
export const SHORT_CANCEL_DEADLINE: Size = { ...SMALL, workers: { lease: seconds(20), cancel: seconds(23) } };

/**
 * Values that a few jobs, placements or account rows fill, and class names that take three times as many bytes as
 * characters: whatever is written without regard to the limits of the state service is rejected.
 */
export const TIGHT_VALUES: Size = {
  ...SMALL,
  maxArrayTasks: 40,
  valueBytes: 2048,
  jobClass: '文字起こし'.repeat(8),
};

/** Three controllers, with jobs drawn by the distribution of the load burst. */
export const LOAD_BURST: Size = { ...SMALL, loadBurst: true };
