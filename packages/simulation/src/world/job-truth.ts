/** The actual state of a job in the simulation, independent of what controllers know about it. */
import type { JobRequirements } from './rules.js';

/** Memory that every task takes on its machine, in GB. */
export const TASK_MEM_GB = 2;

/** A job as its user submitted it, and the progress of its tasks. Times in microseconds. */
export interface JobTruth extends JobRequirements {
  readonly jobClass: string;
  /** Run time of a task. */
  readonly runUs: number;
  /** Run times by task number, if they differ between tasks. */
  readonly runs?: readonly number[];
  /** Interval between the checkpoints of a task; 0: no checkpoints. */
  readonly saveEvery: number;
  readonly saveTakes: number;
  readonly shape: string;
  /** Whether every task of the job fails. */
  readonly broken: boolean;
  readonly image: string;
  readonly imageGb: number;
  submitted: boolean;
  /** By task number: the part of its run time that a checkpoint covers. */
  progress: Map<number, number>;
  finished: Set<number>;
}

/** Returns the ID of the job that a task belongs to. A task's key is `job-1/0`: the job's ID and the task's number. */
export const jobIdOf = (taskKey: string): string => taskKey.slice(0, taskKey.indexOf('/'));

/** Returns the number of a task within its job. */
export const taskNumberOf = (taskKey: string): number => Number(taskKey.slice(taskKey.indexOf('/') + 1));
