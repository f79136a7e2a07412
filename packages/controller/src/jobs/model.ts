/**
 * The domain model: what a job is, what is durably known of it, and the one transition function. Every
 * node applies the same events in the same order, so every node's view at a revision is the same.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { NOTHING_SPENT, type Spent } from '../accounts/model.js';
import { applyLoans, type Loan, type LoanPart } from '../lending/model.js';

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
  /** From submission; null: none. */
  readonly deadline: Micros | null;
  /** Time of day of the first attempt to submit that reached a node. */
  readonly submitted: Micros;
  /** The occurrence of a cutoff that it is tied to, from acceptance on (calendar/tie.ts); null: none. */
  readonly tie: string | null;
}

/** A started task that is not surely gone. */
export interface Placement {
  readonly task: number;
  readonly attempt: number;
  readonly machine: string;
  /** Time of day of the log entry that started it (`LogEntryHeader.at`); 0: not known. */
  readonly since: Micros;
}

export interface Job {
  readonly spec: JobSpec;
  cancelled: boolean;
  /** Its cancellation was committed before any log entry that its own key does not include. */
  cancelledFirst?: boolean;
  /** Attempts are numbered per job and only grow; members of one gang start share a number. */
  attempt: number;
  readonly done: Set<number>;
  readonly placed: Map<number, Placement>;
  /** Machines on which tasks of it failed, as far as they tell something new. */
  readonly failedOn: Set<string>;
  /** GPUs that it runs on at others' cost, by the lender's id (src/lending). */
  readonly loans: Map<string, Loan>;
  /** How many of its tasks have been stopped for services, ever. */
  preemptedForServices: number;
  /** Revision of the job's own key. */
  revision: number;
  /** The last log entry that the job's own key already includes. */
  compactedTo: number;
  /** The last log entry that mentions the job. */
  lastSequence: number;
  /** What has been said of its cutoff, as `JobChange.cutoffRisk`; absent: nothing. */
  cutoffRisk?: number;
}

/** What one job undergoes in one log entry. Order inside: ends, then starts. */
export interface JobChange {
  /** Tasks completed. A gang completes as a whole. */
  readonly done?: readonly number[];
  /** Tasks surely gone without completing. */
  readonly gone?: readonly number[];
  /** Those of `gone` that failed by themselves. */
  readonly failed?: readonly number[];
  /** Starts: the attempt's number and tasks by machine. */
  readonly start?: { readonly attempt: number; readonly on: ReadonlyMap<string, readonly number[]> };
  /** It becomes at risk of missing its cutoff, misses it, or neither any more (calendar/model.ts, `CUTOFF_RISK`). */
  readonly cutoffRisk?: number;
  /** What it borrows, and gives back, by lender. */
  readonly lend?: readonly LoanPart[];
  readonly repay?: readonly LoanPart[];
  /** So many of its tasks are about to be stopped for services. */
  readonly preemptedForServices?: number;
}

/** What a log entry says beside its jobs (docs/state.md). */
export interface LogEntryHeader {
  /** Time of day by the leader that wrote it, at least one microsecond later than in the log entry before; 0: not known. */
  readonly at: Micros;
  /** Version of the calendar by which the cycle ordered; 0: none. */
  readonly calendar: number;
  /** For the accounts: the placements that end in it. */
  readonly spent: Spent;
}
/** Of log entries that were written before there were heads. */
export const NO_HEADER: LogEntryHeader = { at: 0 as Micros, calendar: 0, spent: NOTHING_SPENT };

/** One cycle's durable decisions. */
export interface LogEntry {
  readonly sequence: number;
  readonly head: LogEntryHeader;
  /** Revision at which it was committed. */
  readonly revision: number;
  readonly jobs: ReadonlyMap<string, JobChange>;
}

/** More machines than this tell nothing new about a job that failed on all of them. */
export const FAILURES_KEPT = 4;

export type FinalState = { readonly status: 'done' | 'cancelled'; readonly tasks: number };

/** `at`: time of day of the log entry. */
export const applyChange = (job: Job, change: JobChange, seq: number, at: Micros): void => {
  for (const t of change.done ?? []) {
    job.done.add(t);
    job.placed.delete(t);
  }
  for (const t of change.failed ?? []) {
    const p = job.placed.get(t);
    if (p && job.failedOn.size < FAILURES_KEPT) job.failedOn.add(p.machine);
  }
  for (const t of change.gone ?? []) job.placed.delete(t);
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
  job.lastSequence = Math.max(job.lastSequence, seq);
};

export const isComplete = (job: Job): boolean =>
  job.done.size === job.spec.tasks && job.spec.shape !== 'service';

/** A job may be closed when nothing of it can still be running. */
export const finalState = (job: Job): FinalState | null => {
  if (job.placed.size > 0) return null;
  if (job.cancelled) return { status: 'cancelled', tasks: job.spec.tasks };
  return isComplete(job) ? { status: 'done', tasks: job.spec.tasks } : null;
};

export const taskKey = (jobId: string, task: number): string => `${jobId}/${task}`;
