/**
 * The domain model of jobs: the specification of a job, its durable state, and the function that applies a log entry's
 * changes to that state. Every controller applies the same changes in the same order, so the views of all controllers at
 * one revision are equal.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { NO_USAGE, type Usage } from '../accounts/model.js';
import { applyLoans, type Loan, type LoanChange } from '../lending/model.js';

export type Shape = 'array' | 'gang' | 'service';
/** Higher is more urgent. */
export const URGENCY = { low: 0, normal: 1, high: 2, production: 3 } as const;
export type Urgency = (typeof URGENCY)[keyof typeof URGENCY];

export interface JobSpec {
  readonly id: string;
  readonly jobClass: string;
  readonly team: string;
  readonly shape: Shape;
  readonly urgency: Urgency;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimate: Micros;
  readonly checkpoint: Micros;
  readonly save: Micros;
  /** Deadline as a duration from submission; null: the job has none. */
  readonly deadline: Micros | null;
  /** Time of day of the first submission request that reached a controller. */
  readonly submitted: Micros;
  /** Id of the cutoff occurrence that the job was bound to when it was accepted (src/calendar); null: none. */
  readonly cutoffBinding: string | null;
}

/** A task that was started and is not known to have exited. */
export interface Placement {
  readonly task: number;
  readonly attempt: number;
  readonly machine: string;
  /** Time of day of the log entry that started the task (`LogEntryHeader.at`); 0: not known. */
  readonly since: Micros;
}

/** A job's specification and its durable state. */
export interface Job {
  readonly spec: JobSpec;
  cancelled: boolean;
  /** Whether the cancellation was committed before every log entry that the job's own key does not include yet. */
  cancelledFirst?: boolean;
  /** The highest attempt number used. Numbers only grow; all tasks of a job that one log entry starts share a number. */
  attempt: number;
  readonly completed: Set<number>;
  readonly placed: Map<number, Placement>;
  /** Ids of machines on which tasks of the job failed, at most `FAILURES_KEPT`. */
  readonly failedOn: Set<string>;
  /** Loans of GPUs that the job runs on, by the lender's id (src/lending). */
  readonly loans: Map<string, Loan>;
  /** Number of the job's tasks that were preempted for services since its submission. */
  preemptedForServices: number;
  /** Revision of the job's own key; 0: the job has no key of its own yet, only an entry in a bundle. */
  revision: number;
  /** Sequence number of the last log entry that has been compacted into the job's stored value. */
  compactedTo: number;
  /** Sequence number of the last log entry that changed the job. */
  lastSequence: number;
  /** The last recorded `JobChange.cutoffRisk`; absent: none was recorded. */
  cutoffRisk?: number;
}

/** Returns the state of a job as it is accepted. */
export const acceptedJob = (spec: JobSpec): Job => ({
  spec,
  cancelled: false,
  attempt: 0,
  completed: new Set(),
  placed: new Map(),
  failedOn: new Set(),
  loans: new Map(),
  preemptedForServices: 0,
  revision: 0,
  compactedTo: 0,
  lastSequence: 0,
});

/** The changes that one log entry makes to one job. Exits are applied before starts. */
export interface JobChange {
  /** Tasks that completed. The tasks of a gang complete together. */
  readonly completed?: readonly number[];
  /** Tasks that are known to have exited without completing. */
  readonly exited?: readonly number[];
  /** Tasks that exited by a failure of their own; each is also listed as exited without completing. */
  readonly failed?: readonly number[];
  /** Started tasks: the attempt number, and the task numbers by machine. */
  readonly start?: { readonly attempt: number; readonly on: ReadonlyMap<string, readonly number[]> };
  /** A new risk level: the job is at risk of missing its cutoff, has missed it, or neither (`CUTOFF_RISK` in src/calendar). */
  readonly cutoffRisk?: number;
  /** GPUs that the job borrows, by lender. */
  readonly lend?: readonly LoanChange[];
  /** Borrowed GPUs that the job returns, by lender. */
  readonly repay?: readonly LoanChange[];
  /** Number of the job's tasks that are about to be preempted for services. */
  readonly preemptedForServices?: number;
}

/** The part of a log entry that belongs to no single job (docs/state.md). */
export interface LogEntryHeader {
  /** Time of day by the clock of the leader that wrote it, at least 1 µs later than the previous entry's; 0: not known. */
  readonly at: Micros;
  /** Version of the calendar that the scheduling cycle used; 0: none. */
  readonly calendar: number;
  /** Resource usage of the placements that end in this log entry, for the accounts. */
  readonly usage: Usage;
}
/** The header of log entries that were written by versions without headers. */
export const NO_HEADER: LogEntryHeader = { at: 0 as Micros, calendar: 0, usage: NO_USAGE };

/** One entry of the log of changes: the decisions that one scheduling cycle has committed. */
export interface LogEntry {
  readonly sequence: number;
  readonly head: LogEntryHeader;
  /** Revision of the store at which the entry was committed. */
  readonly revision: number;
  readonly jobs: ReadonlyMap<string, JobChange>;
}

/** A job that has failed on this many machines is taken to be faulty itself: further machines add no information. */
export const FAILURES_KEPT = 4;

/** How a finished job ended, and its number of tasks. */
export type FinalState = { readonly status: 'done' | 'cancelled'; readonly tasks: number };

/** Applies the change that log entry `sequence` makes to `job`. `at`: time of day of the log entry. */
export const applyChange = (job: Job, change: JobChange, sequence: number, at: Micros): void => {
  for (const task of change.completed ?? []) {
    job.completed.add(task);
    job.placed.delete(task);
  }
  for (const task of change.failed ?? []) {
    const placement = job.placed.get(task);
    if (placement && job.failedOn.size < FAILURES_KEPT) job.failedOn.add(placement.machine);
  }
  for (const task of change.exited ?? []) job.placed.delete(task);
  if (change.start) {
    job.attempt = Math.max(job.attempt, change.start.attempt);
    for (const [machine, tasks] of change.start.on) {
      for (const task of tasks)
        job.placed.set(task, { task, attempt: change.start.attempt, machine, since: at });
    }
  }
  if (change.cutoffRisk !== undefined) job.cutoffRisk = change.cutoffRisk;
  applyLoans(job.loans, change.lend, change.repay, at);
  job.preemptedForServices += change.preemptedForServices ?? 0;
  job.lastSequence = Math.max(job.lastSequence, sequence);
};

/** Whether every task has completed. A service runs until it is cancelled and is never complete. */
export const isComplete = (job: Job): boolean =>
  job.completed.size === job.spec.tasks && job.spec.shape !== 'service';

/** The job's final state; null: the job is unfinished, or one of its tasks may still be running. */
export const finalState = (job: Job): FinalState | null => {
  if (job.placed.size > 0) return null;
  if (job.cancelled) return { status: 'cancelled', tasks: job.spec.tasks };
  return isComplete(job) ? { status: 'done', tasks: job.spec.tasks } : null;
};

/** Identifies a task among the tasks of all jobs. */
export const taskKey = (jobId: string, task: number): string => `${jobId}/${task}`;
