/**
 * Task exits that the leader has observed and that are not committed yet, and the start times of running tasks. A
 * scheduling cycle writes the exits to a log entry; they are dropped here once that entry is committed.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { PhaseTracker } from '../accounts/phases.js';
import { type Job, taskKey } from '../jobs/model.js';

/** Observed exits of one job's tasks, by task number. */
export interface TaskExits {
  /** Tasks that completed. */
  readonly completed: Set<number>;
  /** Tasks that exited without completing or were lost with their machine. */
  readonly exited: Set<number>;
  /** The subset of `exited` that failed by themselves. */
  readonly failed: Set<number>;
}

/** A running attempt of a task. */
export interface RunningTask {
  /** When this attempt was first seen running. */
  readonly since: Micros;
  readonly machine: string;
}

/** Whether `exits` contains an exit of `task`. */
export const hasExited = (exits: TaskExits, task: number): boolean =>
  exits.completed.has(task) || exits.exited.has(task);

/** Exits that workers have reported and that are in no committed log entry yet. */
export class ObservedExits {
  /** Observed exits by job id. */
  readonly byJob = new Map<string, TaskExits>();
  /** Running tasks by task key. */
  readonly running = new Map<string, RunningTask>();
  /** Times of the placements' phases, for the accounts. */
  readonly phases = new PhaseTracker();

  /**
   * `stopping` holds the pending stops by task key; an exit removes the task's stop. `requestCycle` makes a
   * scheduling cycle run, which records the exit.
   */
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

  /**
   * Whether a gang has lost a member of its current attempt. The other members must exit before the gang can be
   * started again.
   */
  isBrokenGang(job: Job): boolean {
    if (job.spec.shape !== 'gang' || job.placed.size === 0) return false;
    return job.placed.size < job.spec.tasks || (this.byJob.get(job.spec.id)?.exited.size ?? 0) > 0;
  }

  /** Records the completion of a task. The completion of one member completes the whole gang. */
  recordCompletion(job: Job, task: number): void {
    const exits = this.exitsOf(job);
    if (job.spec.shape === 'gang')
      for (let member = 0; member < job.spec.tasks; member++) exits.completed.add(member);
    else exits.completed.add(task);
    this.requestCycle();
  }

  /**
   * Records that a task has exited without completing. `failed`: it failed by itself, rather than being stopped or
   * lost.
   */
  recordExit(job: Job, task: number, failed = false): void {
    this.forgetProgress(taskKey(job.spec.id, task));
    const exits = this.exitsOf(job);
    if (!exits.completed.has(task)) exits.exited.add(task);
    if (failed) exits.failed.add(task);
    this.requestCycle();
  }

  /** Drops the task's start time and its pending stop. */
  forgetProgress(key: string): void {
    this.running.delete(key);
    this.stopping.delete(key);
  }

  /** Drops the exits that a committed log entry contains. */
  dropDurable(jobId: string, done: readonly number[], gone: readonly number[]): void {
    const exits = this.byJob.get(jobId);
    if (!exits) return;
    for (const task of done) exits.completed.delete(task);
    // A completed gang may also have exits that its members reported before one of them reported the completion.
    for (const task of [...done, ...gone]) {
      exits.exited.delete(task);
      exits.failed.delete(task);
    }
    for (const task of [...done, ...gone]) {
      const key = taskKey(jobId, task);
      this.forgetProgress(key);
      this.phases.forget(key);
    }
    if (exits.completed.size === 0 && exits.exited.size === 0) this.byJob.delete(jobId);
  }

  private exitsOf(job: Job): TaskExits {
    const { id } = job.spec;
    let exits = this.byJob.get(id);
    if (!exits) this.byJob.set(id, (exits = { completed: new Set(), exited: new Set(), failed: new Set() }));
    return exits;
  }
}
