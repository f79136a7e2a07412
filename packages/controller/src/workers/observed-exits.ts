/**
 * Exits of tasks that the leader has observed and no durable record states yet, and since when the others have run. A
 * scheduling cycle records the exits; they are dropped here once the record is committed.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { Phases } from '../accounts/phases.js';
import { type Job, taskKey } from '../jobs/model.js';

/** Observed exits of one job, by task. */
export interface TaskExits {
  /** Completed. */
  readonly done: Set<number>;
  /** Exited without completing, or lost with the machine. */
  readonly gone: Set<number>;
  /** Those of `gone` that failed by themselves. */
  readonly failed: Set<number>;
}

/** Where a task runs. */
export interface Running {
  /** When this attempt was first seen running. */
  readonly since: Micros;
  readonly machine: string;
}

/** Whether an exit of `task` stands in `exits`. */
export const hasExited = (exits: TaskExits, task: number): boolean =>
  exits.done.has(task) || exits.gone.has(task);

/** Exits that workers have reported and no log entry has yet. */
export class ObservedExits {
  /** By job. */
  readonly byJob = new Map<string, TaskExits>();
  /** By task. */
  readonly running = new Map<string, Running>();
  /** Times of the placements' phases, for the accounts. */
  readonly phases = new Phases();

  /** `stopping`: an exit ends a task's stop as well. `requestCycle`: an exit is recorded by the next scheduling cycle. */
  constructor(
    private readonly stopping: Pick<Map<string, unknown>, 'delete'>,
    private readonly requestCycle: () => void,
  ) {}

  /** Whether an exit of the task was observed that is not durable yet. */
  has(jobId: string, task: number): boolean {
    if (this.byJob.size === 0) return false;
    const exits = this.byJob.get(jobId);
    return exits !== undefined && hasExited(exits, task);
  }

  /** A gang that lost a member of its attempt: the others must go before a fresh attempt. */
  isBrokenGang(job: Job): boolean {
    if (job.spec.shape !== 'gang' || job.placed.size === 0) return false;
    return job.placed.size < job.spec.tasks || (this.byJob.get(job.spec.id)?.gone.size ?? 0) > 0;
  }

  /** A task completed; a gang completes as a whole. */
  recordDone(job: Job, task: number): void {
    const exits = this.exitsOf(job);
    if (job.spec.shape === 'gang')
      for (let member = 0; member < job.spec.tasks; member++) exits.done.add(member);
    else exits.done.add(task);
    this.requestCycle();
  }

  /** A task is gone: `failed` by itself, or stopped or lost. */
  recordGone(job: Job, task: number, failed = false): void {
    this.forgetProgress(taskKey(job.spec.id, task));
    const exits = this.exitsOf(job);
    if (!exits.done.has(task)) exits.gone.add(task);
    if (failed) exits.failed.add(task);
    this.requestCycle();
  }

  /** The task runs and is stopped no more. */
  forgetProgress(key: string): void {
    this.running.delete(key);
    this.stopping.delete(key);
  }

  /** Drops what a committed record has made durable. */
  dropDurable(jobId: string, done: readonly number[], gone: readonly number[]): void {
    const exits = this.byJob.get(jobId);
    if (!exits) return;
    for (const task of done) exits.done.delete(task);
    // Of a gang that completed, also what its members reported before one of them reported that.
    for (const task of [...done, ...gone]) {
      exits.gone.delete(task);
      exits.failed.delete(task);
    }
    for (const task of [...done, ...gone]) {
      const key = taskKey(jobId, task);
      this.forgetProgress(key);
      this.phases.forget(key);
    }
    if (exits.done.size === 0 && exits.gone.size === 0) this.byJob.delete(jobId);
  }

  private exitsOf(job: Job): TaskExits {
    const { id } = job.spec;
    let exits = this.byJob.get(id);
    if (!exits) this.byJob.set(id, (exits = { done: new Set(), gone: new Set(), failed: new Set() }));
    return exits;
  }
}
