/** Sizes of a simulated deployment: how many controllers, and how large jobs grow. */
import { seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '@lilacvalve/controller/settings/settings';

/** How many controllers a deployment has, and what its jobs ask for at most. */
export interface Size {
  /** The controllers' labels. */
  readonly nodes: readonly string[];
  /** Tasks of a gang: one of these. */
  readonly gangs: readonly number[];
  /** Tasks of an array at most. */
  readonly arrays: number;
  /** CPUs of a job that must run whole, and of a task of a large array. */
  readonly cpus: number;
  /** Arrivals are drawn by the load burst's distribution instead of each shape alike. */
  readonly crowd?: boolean;
  /** Other times of leases and cancellations than usual. */
  readonly workers?: Partial<Settings['workers']>;
}

/** Three controllers and small jobs. */
export const SMALL: Size = { nodes: ['n0', 'n1', 'n2'], gangs: [1, 2, 3], arrays: 6, cpus: 24 };

/** Five controllers, gangs of up to 24 in one zone and large arrays. */
export const GROWN: Size = {
  nodes: ['n0', 'n1', 'n2', 'n3', 'n4'],
  gangs: [1, 3, 6, 12, 24],
  arrays: 90,
  cpus: 24,
};

/** Cancelled tasks must be gone barely after a worker's lease. */
export const CLOSE: Size = { ...SMALL, workers: { lease: seconds(20), cancel: seconds(23) } };

/** Three controllers and the load burst's arrivals. */
export const LOAD_BURST: Size = { ...SMALL, crowd: true };
