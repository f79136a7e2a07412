/** What the hollow workers of one process share, and what they tell it. */
import type { ControllerAddress, JobDescription, MachineKind, Timing, WorkerEvent } from './model.js';
import type { Random } from './random.js';
import type { WorkerCounters } from './worker-figures.js';

/** What all workers of a process share. */
export interface WorkerHost {
  readonly kinds: ReadonlyMap<string, MachineKind>;
  readonly controllers: readonly ControllerAddress[];
  readonly timing: Timing;
  readonly random: Random;
  readonly counters: WorkerCounters;
  answered(ms: number): void;
  emit(event: WorkerEvent): void;
  job(id: string): JobDescription | undefined;
  progressMs(job: string, task: number): number;
  isFinished(job: string, task: number): boolean;
  /** A completed task was forgotten before its controllers knew: its result is kept elsewhere. */
  keepResult(job: string, task: number): void;
}
