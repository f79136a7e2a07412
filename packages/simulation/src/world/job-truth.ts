/** What is true of a job in the simulation, whatever controllers know of it. */
import type { Spec } from './rules.js';

/** What every task takes of its machine's memory. */
export const TASK_MEM_GB = 2;

/** A job as its user asked for it, and how far its tasks are. Times in microseconds. */
export interface JobTruth extends Spec {
  readonly jobClass: string;
  /** How long a task takes. */
  readonly runUs: number;
  /** By task, where they take different times. */
  readonly runs?: readonly number[];
  /** How often a task saves a checkpoint; 0: never. */
  readonly saveEvery: number;
  readonly saveTakes: number;
  readonly shape: string;
  /** Every task of it fails. */
  readonly broken: boolean;
  readonly image: string;
  readonly imageGb: number;
  submitted: boolean;
  /** By task: what is saved of its time. */
  progress: Map<number, number>;
  finished: Set<number>;
}

/** The job that a task belongs to; `task`: as in `job-1/0`. */
export const jobIdOf = (task: string): string => task.slice(0, task.indexOf('/'));

/** A task's number within its job. */
export const taskNumberOf = (task: string): number => Number(task.slice(task.indexOf('/') + 1));
