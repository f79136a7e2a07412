/** The environment that the hollow workers of one process share. */
import type { ControllerAddress, JobDescription, MachineKind, Timing, WorkerEvent } from './model.js';
import type { Random } from './random.js';
import type { WorkerCounters } from './worker-figures.js';

/** Shared configuration, counters and callbacks of all hollow workers of a process. */
export interface WorkerHost {
  readonly kinds: ReadonlyMap<string, MachineKind>;
  readonly controllers: readonly ControllerAddress[];
  readonly timing: Timing;
  readonly random: Random;
  readonly counters: WorkerCounters;
  recordResponseTime(ms: number): void;
  emit(event: WorkerEvent): void;
  job(id: string): JobDescription | undefined;
  progressMs(job: string, task: number): number;
  isFinished(job: string, task: number): boolean;
  /** Keeps the result of a completed task that its worker drops before the controllers have acknowledged it. */
  keepResult(job: string, task: number): void;
}
