/** Sizes of a simulated deployment: the number of controllers, and the size of the jobs. */
import { seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '@lilacvalve/controller/settings/settings';

/** Controllers of a deployment, and upper bounds on what its jobs request. */
export interface Size {
  /** Labels of the controllers. */
  readonly nodes: readonly string[];
  /** Possible numbers of tasks of a gang. */
  readonly gangs: readonly number[];
  /** Maximum number of tasks of an array. */
  readonly arrays: number;
  /** CPUs of a job that must run as a whole, and of each task of a large array. */
  readonly cpus: number;
  /** Whether jobs are drawn by the distribution of the load burst instead of all job shapes equally often. */
  readonly crowd?: boolean;
  /** Settings of worker leases and cancellations that differ from the usual ones. */
  readonly workers?: Partial<Settings['workers']>;
}

/** Three controllers and small jobs. */
export const SMALL: Size = { nodes: ['n0', 'n1', 'n2'], gangs: [1, 2, 3], arrays: 6, cpus: 24 };

/** Five controllers, gangs of up to 24 tasks in one zone, and large arrays. */
export const GROWN: Size = {
  nodes: ['n0', 'n1', 'n2', 'n3', 'n4'],
  gangs: [1, 3, 6, 12, 24],
  arrays: 90,
  cpus: 24,
};

/**
 * A cancellation's deadline is only 3 s longer than the worker lease, so that cancelled tasks must stop soon after
 * the lease has expired.
 */
export const CLOSE: Size = { ...SMALL, workers: { lease: seconds(20), cancel: seconds(23) } };

/** Three controllers, with jobs drawn by the distribution of the load burst. */
export const LOAD_BURST: Size = { ...SMALL, crowd: true };
