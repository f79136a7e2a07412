/**
 * Builds the log entries of one transaction within the state service's limits on values and transactions, in bytes of JSON in
 * UTF-8.
 */
import type { LogEntryUsage } from '../accounts/log-entry-usage.js';
import { encodeChange } from '../jobs/codec.js';
import { jobUnchanged } from '../jobs/keys.js';
import type { Job, JobChange } from '../jobs/model.js';
import { encodeRanges } from '../jobs/ranges.js';
import {
  fittingTasks,
  LOAN_BYTES,
  maxStoredBytes,
  startFits,
  type TasksByMachine,
} from '../jobs/stored-size.js';
import type { LoanEnd } from '../lending/loan-changes.js';
import type { Settings } from '../settings/settings.js';
import type { Condition } from '../state-store/client.js';
import {
  conditionBytes,
  CONDITIONS_PER_OP,
  jsonBytes,
  MAX_TRANSACTION_BYTES,
  maxValueBytes,
} from '../state-store/transaction-limits.js';
import type { CycleContext } from './cycle-context.js';
import type { Preemption, Start } from './model.js';

/** A start, or a part of one. */
type PlannedStart = Omit<Start, 'tasksByMachine'> & { readonly tasksByMachine: TasksByMachine };

/** Bytes reserved for the header of a log entry. */
const HEADER_BYTES = 120;
/** Bytes of the JSON punctuation around a change and its job id. */
const CHANGE_BYTES = 6;
/** Fraction of the maximum size of a value that is used. */
const VALUE_FILL_RATIO = 0.85;
/** Fraction of the maximum size of a transaction that is used. */
const TRANSACTION_FILL_RATIO = 0.92;
/** Bytes of a log entry's key with its own conditions in a transaction. */
const LOG_ENTRY_BYTES = 200;
/** Maximum number of log entries per cycle: each is a change that counts for the state service's rate limit. */
const MAX_ENTRIES = 4;
/** Conditions besides those of the jobs: the term, the incarnation, the preceding log entry, and one for each log entry. */
const OTHER_CONDITIONS = 5 + MAX_ENTRIES;

/** Maximum bytes of an exit: the task's number and a comma, twice if the task failed. */
const MAX_EXIT_BYTES = 14;
/** Minimum bytes of a start on one machine: `"vm-000001":"1",`. */
const PLACEMENT_BYTES = 16;

/** Returns the maximum number of placements (starts of a job on one machine) that one cycle can write and needs to find. */
export const maxPlacements = (state: Settings['state']): number => {
  const values = Math.min(MAX_ENTRIES, state.txnOps) * maxValueBytes(state) * VALUE_FILL_RATIO;
  return Math.floor(Math.min(values, MAX_TRANSACTION_BYTES * TRANSACTION_FILL_RATIO) / PLACEMENT_BYTES);
};

/** Expected size of usage rows relative to the upper bound that `bytesToAdd` returns. */
const EXPECTED_ROW_RATIO = 0.7;
/** Maximum fraction of a value that is reserved for usage rows. */
const MAX_ROWS_RATIO = 0.8;

/** Returns the bytes of a change with its job id in a log entry. */
const sizeOf = (id: string, change: JobChange): number =>
  jsonBytes(encodeChange(change)) + id.length + CHANGE_BYTES;

/** Observed exits of one job's tasks. */
export interface JobExits {
  readonly job: Job;
  /** Tasks that completed. */
  readonly completed: readonly number[];
  /** Tasks that exited without completing, or were lost with their machine. */
  readonly exited: readonly number[];
  /** Those of `exited` that failed by themselves. */
  readonly failed: readonly number[];
}

const numbersOf = (lists: readonly (readonly number[] | undefined)[]): number[] =>
  lists.flatMap((list) => list ?? []);

/** Returns the change with further exits. */
const withExits = (present: JobChange | undefined, { completed, exited, failed }: JobExits): JobChange => ({
  ...present,
  completed: numbersOf([present?.completed, completed]),
  exited: numbersOf([present?.exited, exited]),
  failed: numbersOf([present?.failed, failed]),
});

/** Divides the exits of a job into two parts; null if there is only one exit. */
const halves = ({ job, completed, exited, failed }: JobExits): readonly [JobExits, JobExits] | null => {
  const count = completed.length + exited.length;
  if (count < 2) return null;
  const half = Math.floor(count / 2);
  const isFailed = new Set(failed);
  const part = (from: number, to: number): JobExits => {
    const exitedPart = exited.slice(Math.max(0, from - completed.length), Math.max(0, to - completed.length));
    return {
      job,
      completed: completed.slice(from, to),
      exited: exitedPart,
      failed: exitedPart.filter((task) => isFailed.has(task)),
    };
  };
  return [part(0, half), part(half, count)];
};

/** A log entry under construction, with its size. */
class LogEntryDraft {
  readonly changes = new Map<string, JobChange>();
  bytes = HEADER_BYTES;
  /** Bytes of each job's change. */
  private readonly sizes = new Map<string, number>();

  /** Returns the size of the log entry with `change` in place of its present change of the job. */
  sizeWith(id: string, change: JobChange): number {
    return this.bytes - (this.sizes.get(id) ?? 0) + sizeOf(id, change);
  }

  /** Sets the job's change. `bytes`: the result of `sizeWith`, so that a large start is not encoded twice. */
  put(id: string, change: JobChange, bytes: number): void {
    this.sizes.set(id, bytes - this.bytes + (this.sizes.get(id) ?? 0));
    this.bytes = bytes;
    this.changes.set(id, change);
  }
}

/** Adds changes to a draft within the limits. */
export class DraftBuilder {
  readonly entries: LogEntryDraft[] = [new LogEntryDraft()];
  readonly conditions: Condition[] = [];
  /** Number of tasks started, by job. */
  readonly started = new Map<string, number>();
  readonly lendingPreemptions: Preemption[] = [];
  readonly endedLoans: LoanEnd[] = [];
  complete = true;
  /** Bytes of the first log entry reserved for usage rows, so that changes do not displace them. */
  private reservedBytes = 0;
  private readonly valueLimit: number;
  private readonly transactionLimit: number;
  private readonly maxConditions: number;
  private readonly maxEntries: number;
  /** Maximum bytes of the value of a job's own key. */
  private readonly maxJobBytes: number;
  private bytesOfConditions = 0;

  /** `maxBytes`: maximum bytes of the transaction, beside the state service's limits. */
  constructor(
    { settings: { state } }: Pick<CycleContext, 'settings'>,
    private readonly usageRows: LogEntryUsage['usageRows'],
    maxBytes = Number.POSITIVE_INFINITY,
  ) {
    this.maxJobBytes = maxValueBytes(state);
    this.valueLimit = Math.min(this.maxJobBytes * VALUE_FILL_RATIO, maxBytes);
    this.transactionLimit = Math.min(MAX_TRANSACTION_BYTES * TRANSACTION_FILL_RATIO, maxBytes);
    this.maxConditions = state.txnOps * CONDITIONS_PER_OP - OTHER_CONDITIONS;
    this.maxEntries = Math.min(MAX_ENTRIES, state.txnOps);
  }

  /** The draft's last log entry. Changes are added there only, so a job's exits always precede its starts. */
  private get last(): LogEntryDraft {
    return this.entries[this.entries.length - 1]!;
  }

  /**
   * Returns the maximum bytes of a log entry's changes. The first log entry also holds the usage rows, including `rowBytes` to
   * be added to them.
   */
  private limitOf(entry: LogEntryDraft, rowBytes: number): number {
    if (entry !== this.entries[0]) return this.valueLimit;
    return this.valueLimit - Math.max(this.usageRows.bytes + rowBytes, this.reservedBytes);
  }

  /** Reserves bytes for the usage rows of all exits; jobs of the same team and class usually share rows. */
  reserveRows(exitsByJob: readonly JobExits[]): void {
    const bytesByGroup = new Map<string, number>();
    for (const { job, completed, exited } of exitsByJob) {
      const group = `${job.spec.team} ${job.spec.jobClass}`;
      const rowBytes = this.usageRows.bytesToAdd(job, [...completed, ...exited]);
      bytesByGroup.set(group, Math.max(bytesByGroup.get(group) ?? 0, rowBytes));
    }
    const bound = [...bytesByGroup.values()].reduce((a, b) => a + b, 0);
    this.reservedBytes = Math.min(this.valueLimit * MAX_ROWS_RATIO, bound * EXPECTED_ROW_RATIO);
  }

  /** Returns the maximum bytes of the transaction so far. */
  transactionBytes(): number {
    const values = this.entries.reduce((sum, entry) => sum + entry.bytes + LOG_ENTRY_BYTES, 0);
    return values + this.usageRows.bytes + this.bytesOfConditions;
  }

  /** Whether `bytes` more fit into the transaction. */
  private fits(bytes: number): boolean {
    return this.transactionBytes() + bytes <= this.transactionLimit;
  }

  /**
   * Adds a change of a job to the last log entry or to a new one. `change` returns the change of the job in a log entry, given
   * the entry's present change of that job. `rowBytes`: bytes of usage rows that the change adds. Returns whether the change
   * was added; if it does not fit, the draft is not complete.
   */
  add(id: string, change: (present: JobChange | undefined) => JobChange, rowBytes = 0): boolean {
    const { last } = this;
    const [first] = this.entries;
    // Usage rows are stored in the first log entry, whichever one holds the change.
    const rowsFit = first!.bytes <= this.limitOf(first!, rowBytes);
    const changeInLast = change(last.changes.get(id));
    const bytes = last.sizeWith(id, changeInLast);
    if (rowsFit && bytes <= this.limitOf(last, rowBytes) && this.fits(bytes - last.bytes + rowBytes)) {
      last.put(id, changeInLast, bytes);
      return true;
    }
    const added = rowsFit && this.addToNew(id, change(undefined), rowBytes);
    if (!added) this.complete = false;
    return added;
  }

  private addToNew(id: string, change: JobChange, rowBytes: number): boolean {
    const entry = new LogEntryDraft();
    const bytes = entry.sizeWith(id, change);
    const entryAllowed = this.entries.length < this.maxEntries;
    if (!entryAllowed || bytes > this.valueLimit || !this.fits(bytes + LOG_ENTRY_BYTES + rowBytes))
      return false;
    entry.put(id, change, bytes);
    this.entries.push(entry);
    return true;
  }

  /** Whether the transaction can hold the conditions on one more job. */
  hasConditionsLeft(): boolean {
    return this.conditions.length + 1 < this.maxConditions;
  }

  /** Whether the job's own key can hold `count` more loans. */
  canStoreLoans(taker: Job, count: number): boolean {
    return maxStoredBytes(taker) + count * LOAN_BYTES <= this.maxJobBytes;
  }

  /** Adds the conditions under which the job is as this view has it. */
  requireUnchanged({ spec, revision }: Job): void {
    for (const condition of jobUnchanged(spec.id, revision)) {
      this.conditions.push(condition);
      this.bytesOfConditions += conditionBytes(condition.key);
    }
  }

  /** Returns the maximum bytes of a start: the rest of the last log entry or a new log entry, whichever holds more. */
  private maxStartBytes(): number {
    const { last } = this;
    const inTransaction = this.transactionLimit - this.transactionBytes();
    const inLast = Math.min(inTransaction, this.limitOf(last, 0) - last.bytes);
    const inNew =
      this.entries.length < this.maxEntries
        ? Math.min(inTransaction - LOG_ENTRY_BYTES, this.valueLimit) - HEADER_BYTES
        : 0;
    return Math.max(inLast, inNew);
  }

  /**
   * Adds a start if it fits into the transaction and if the job's own key can hold it later; of an array or a service as many
   * tasks as its key can hold, and of an array as many as the transaction can hold.
   */
  addStart(start: PlannedStart): void {
    const { job } = start;
    if (this.started.has(job.spec.id) || !this.hasConditionsLeft()) {
      this.complete = false;
      return;
    }
    const storable = this.storableTasks(start);
    // The job's key holds no more until tasks have exited: nothing is left for the next cycle.
    if (storable.size === 0) return;
    const added = this.addTasks({ ...start, tasksByMachine: storable });
    if (added === null) return;
    this.started.set(
      job.spec.id,
      [...added.values()].reduce((sum, tasks) => sum + tasks.length, 0),
    );
    // The condition on the job's key prevents the start of a job that is cancelled or finished in the meantime.
    this.requireUnchanged(job);
  }

  /** Returns the tasks of a start that the value of the job's own key can hold; none of a gang unless it can hold all. */
  private storableTasks({ job, attempt, tasksByMachine }: PlannedStart): TasksByMachine {
    if (startFits(job, attempt, tasksByMachine, this.maxJobBytes)) return tasksByMachine;
    return job.spec.shape === 'gang'
      ? new Map()
      : fittingTasks(job, attempt, tasksByMachine, this.maxJobBytes);
  }

  /** Adds a start, or as many tasks of an array as fit. Returns the tasks added; null if there are none. */
  private addTasks(start: PlannedStart): TasksByMachine | null {
    const addToEntry = (on: TasksByMachine): boolean =>
      this.add(start.job.spec.id, (present) => ({ ...present, start: { attempt: start.attempt, on } }));
    if (addToEntry(start.tasksByMachine)) return start.tasksByMachine;
    if (start.job.spec.shape !== 'array') return null;
    const first = firstTasks(start, this.maxStartBytes());
    if (first.size === 0 || !addToEntry(first)) return null;
    this.complete = false;
    return first;
  }

  /** Whether an empty log entry can't hold these exits. */
  private exceedsEntry(exits: JobExits): boolean {
    const { completed, exited } = exits;
    if ((completed.length + exited.length) * MAX_EXIT_BYTES + HEADER_BYTES < this.valueLimit / 2)
      return false;
    return HEADER_BYTES + sizeOf(exits.job.spec.id, withExits(undefined, exits)) > this.valueLimit;
  }

  /**
   * Adds the exits of a job's tasks with their usage rows, if they fit. Exits that one log entry can't hold are added in
   * parts.
   */
  addExits(exits: JobExits): void {
    const { job, completed, exited } = exits;
    const { id } = job.spec;
    const parts = this.exceedsEntry(exits) ? halves(exits) : null;
    if (parts !== null) {
      for (const part of parts) this.addExits(part);
      return;
    }
    const rowBytes = this.usageRows.bytesToAdd(job, [...completed, ...exited]);
    if (!this.add(id, (present) => withExits(present, exits), rowBytes)) return;
    this.usageRows.add(job, completed, 'done');
    this.usageRows.add(job, exited, 'gone');
  }
}

/** Returns the tasks of a start on its first machines, as many as fit into `maxBytes`. */
const firstTasks = (start: PlannedStart, maxBytes: number): TasksByMachine => {
  const tasksByMachine = new Map<string, readonly number[]>();
  let bytesLeft =
    maxBytes - sizeOf(start.job.spec.id, { start: { attempt: start.attempt, on: tasksByMachine } });
  for (const [machine, tasks] of start.tasksByMachine) {
    bytesLeft -= jsonBytes(machine) + jsonBytes(encodeRanges(tasks)) + 2;
    if (bytesLeft < 0) break;
    tasksByMachine.set(machine, tasks);
  }
  return tasksByMachine;
};
