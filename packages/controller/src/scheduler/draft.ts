/**
 * Drafts the log entries of a cycle: the observed exits and the starts on the freed resources, in one or more log entries that
 * one transaction commits together, within the state service's limits on values and transactions.
 *
 * With 80 teams the usage rows of the accounts alone fill most of a value, and a single log entry that could not hold all
 * exits would hold no starts at all. So changes that do not fit into one log entry go into the next one of the same
 * transaction, and as many tasks of an array are started as fit.
 */
import type { LogEntryUsage } from '../accounts/log-entry-usage.js';
import { encodeChange } from '../jobs/codec.js';
import { jobUnchanged } from '../jobs/keys.js';
import { encodeRanges } from '../jobs/ranges.js';
import type { Job, JobChange } from '../jobs/model.js';
import { loanRepayments, type LoanEnd, newLoans } from '../lending/loan-changes.js';
import type { Settings } from '../settings/settings.js';
import type { Condition } from '../state-store/client.js';
import type { Start, Preemption } from './model.js';
import type { CycleContext } from './cycle-context.js';

/** Changes of one cycle, within the limits of one transaction. */
export interface Draft {
  /** The changes by job, for each log entry in order; empty if there is nothing to write. */
  readonly entries: readonly ReadonlyMap<string, JobChange>[];
  readonly conditions: readonly Condition[];
  /** Whether the draft holds all changes that were to be recorded. */
  readonly complete: boolean;
  /** Preemptions whose loans are in the draft. */
  readonly lendingPreemptions: readonly Preemption[];
  /** Loans that the draft ends or reduces. */
  readonly endedLoans: readonly LoanEnd[];
}

/** Bytes reserved for the header of a log entry. */
const HEADER_BYTES = 120;
/** Bytes of the JSON punctuation around a change and its job id. */
const CHANGE_BYTES = 6;
/** Fraction of the maximum size of a value that is used. */
const VALUE_FILL_RATIO = 0.85;
/** Protocol: the maximum size of a transaction is 64 KiB, including the request's body. */
const TRANSACTION_BYTES = 64 * 1024;
/** Fraction of the maximum size of a transaction that is used. */
const TRANSACTION_FILL_RATIO = 0.92;
/** Bytes of a condition in a transaction. */
const CONDITION_BYTES = 64;
/** Bytes of a log entry's key with its own conditions in a transaction. */
const LOG_ENTRY_BYTES = 200;
/** Maximum number of log entries per cycle: each is a change that counts for the state service's rate limit. */
const MAX_ENTRIES = 4;
/** Conditions besides those of the jobs: the term, the incarnation, the preceding log entry, and one for each log entry. */
const OTHER_CONDITIONS = 5 + MAX_ENTRIES;

/** Minimum bytes of a start on one machine: `"vm-000001":"1",`. */
const PLACEMENT_BYTES = 16;

/** Returns the maximum number of placements (starts of a job on one machine) that one cycle can write and needs to find. */
export const maxPlacements = ({ valueBytes, txnOps }: Settings['state']): number => {
  const values = Math.min(MAX_ENTRIES, txnOps) * valueBytes * VALUE_FILL_RATIO;
  return Math.floor(Math.min(values, TRANSACTION_BYTES * TRANSACTION_FILL_RATIO) / PLACEMENT_BYTES);
};

/** Expected size of usage rows relative to the upper bound that `bytesToAdd` returns. */
const EXPECTED_ROW_RATIO = 0.7;
/** Maximum fraction of a value that is reserved for usage rows. */
const MAX_ROWS_RATIO = 0.8;

/** Returns the bytes of a change with its job id in a log entry. */
const sizeOf = (id: string, change: JobChange): number =>
  JSON.stringify(encodeChange(change)).length + id.length + CHANGE_BYTES;

/** Observed exits of one job's tasks. */
interface JobExits {
  readonly job: Job;
  /** Tasks that completed. */
  readonly completed: readonly number[];
  /** Tasks that exited without completing, or were lost with their machine. */
  readonly exited: readonly number[];
  /** Those of `exited` that failed by themselves. */
  readonly failed: readonly number[];
}

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
class DraftBuilder {
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
  private readonly maxConditions: number;

  constructor(
    private readonly context: CycleContext,
    private readonly usageRows: LogEntryUsage['usageRows'],
  ) {
    const { valueBytes, txnOps } = context.settings.state;
    this.valueLimit = valueBytes * VALUE_FILL_RATIO;
    this.maxConditions = txnOps * 4 - OTHER_CONDITIONS;
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

  private transactionBytes(): number {
    const values = this.entries.reduce((sum, entry) => sum + entry.bytes + LOG_ENTRY_BYTES, 0);
    return values + this.usageRows.bytes + this.conditions.length * CONDITION_BYTES;
  }

  private get transactionLimit(): number {
    return TRANSACTION_BYTES * TRANSACTION_FILL_RATIO;
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
    const entryAllowed =
      this.entries.length < MAX_ENTRIES && this.entries.length < this.context.settings.state.txnOps;
    if (!entryAllowed || bytes > this.valueLimit || !this.fits(bytes + LOG_ENTRY_BYTES + rowBytes))
      return false;
    entry.put(id, change, bytes);
    this.entries.push(entry);
    return true;
  }

  /** Whether the transaction can hold a condition on one more job. */
  hasConditionsLeft(): boolean {
    return this.conditions.length < this.maxConditions;
  }

  /** Returns the maximum bytes of a start: the rest of the last log entry or a new log entry, whichever holds more. */
  private maxStartBytes(): number {
    const { last } = this;
    const inTransaction = this.transactionLimit - this.transactionBytes();
    const inLast = Math.min(inTransaction, this.limitOf(last, 0) - last.bytes);
    const entryAllowed = this.entries.length < Math.min(MAX_ENTRIES, this.context.settings.state.txnOps);
    const inNew = entryAllowed
      ? Math.min(inTransaction - LOG_ENTRY_BYTES, this.valueLimit) - HEADER_BYTES
      : 0;
    return Math.max(inLast, inNew);
  }

  /** Adds a start if it fits; of an array as many tasks as fit. */
  addStart(start: Start): void {
    const { id } = start.job.spec;
    if (this.started.has(id) || !this.hasConditionsLeft()) {
      this.complete = false;
      return;
    }
    const addTasks = (on: Start['tasksByMachine']) =>
      this.add(id, (present) => ({ ...present, start: { attempt: start.attempt, on } }));
    let { tasksByMachine } = start;
    if (!addTasks(tasksByMachine)) {
      tasksByMachine = start.job.spec.shape === 'array' ? firstTasks(start, this.maxStartBytes()) : new Map();
      if (tasksByMachine.size === 0 || !addTasks(tasksByMachine)) return;
      this.complete = false;
    }
    this.started.set(
      id,
      [...tasksByMachine.values()].reduce((sum, tasks) => sum + tasks.length, 0),
    );
    // The condition on the job's key prevents the start of a job that is cancelled or finished in the meantime.
    this.conditions.push(...jobUnchanged(id, start.job.revision));
  }

  /** Adds the exits of a job's tasks with their usage rows, if they fit. */
  addExits({ job, completed, exited, failed }: JobExits): void {
    const rowBytes = this.usageRows.bytesToAdd(job, [...completed, ...exited]);
    if (!this.add(job.spec.id, (present) => ({ ...present, completed, exited, failed }), rowBytes)) return;
    this.usageRows.add(job, completed, 'done');
    this.usageRows.add(job, exited, 'gone');
  }
}

/** Returns the tasks of a start on its first machines, as many as fit into `maxBytes`. */
const firstTasks = (start: Start, maxBytes: number): Start['tasksByMachine'] => {
  const tasksByMachine = new Map<string, number[]>();
  let bytesLeft =
    maxBytes - sizeOf(start.job.spec.id, { start: { attempt: start.attempt, on: tasksByMachine } });
  for (const [machine, tasks] of start.tasksByMachine) {
    bytesLeft -= JSON.stringify(machine).length + JSON.stringify(encodeRanges(tasks)).length + 2;
    if (bytesLeft < 0) break;
    tasksByMachine.set(machine, tasks);
  }
  return tasksByMachine;
};

/** Returns the exits that the worker registry has observed and no log entry records yet. */
const observedExits = (context: CycleContext): JobExits[] => {
  const exitsByJob: JobExits[] = [];
  for (const [id, exits] of context.registry.exits) {
    const job = context.jobState.jobs.get(id);
    if (!job) continue;
    // A gang completes as a whole: completion overrides other exits of its members.
    const exited = [...exits.exited].filter((task) => !exits.completed.has(task));
    exitsByJob.push({
      job,
      completed: [...exits.completed],
      exited,
      failed: exited.filter((task) => exits.failed.has(task)),
    });
  }
  return exitsByJob;
};

/** Adds repayments of loans and the new loans of the preemptions. */
const draftLoans = (
  context: CycleContext,
  builder: DraftBuilder,
  preemptions: readonly Preemption[],
): void => {
  for (const { taker, repay, ends } of loanRepayments(context.jobState.jobs, builder.started, (job) =>
    context.registry.hasUnresolvedTasks(job),
  ))
    if (builder.add(taker, (present) => ({ ...present, repay }))) builder.endedLoans.push(...ends);
  for (const { taker, lend, taken, preemptions: loanPreemptions } of newLoans(preemptions)) {
    if (!builder.hasConditionsLeft()) break;
    const { id } = taker.spec;
    if (!builder.add(id, (present) => ({ ...present, lend }))) continue;
    // The condition prevents a loan to a service that is cancelled in the meantime.
    builder.conditions.push(...jobUnchanged(id, taker.revision));
    let allAdded = true;
    for (const [lender, count] of taken)
      allAdded &&= builder.add(lender, (present) => ({
        ...present,
        preemptedForServices: (present?.preemptedForServices ?? 0) + count,
      }));
    if (allAdded) builder.lendingPreemptions.push(...loanPreemptions);
  }
};

/** Drafts the log entries of a cycle. `cutoffRisks`: the cutoff risks to record, by job. */
export const draftOf = (
  context: CycleContext,
  starts: readonly Start[],
  preemptions: readonly Preemption[],
  { usageRows }: LogEntryUsage,
  cutoffRisks: ReadonlyMap<string, number>,
): Draft => {
  const builder = new DraftBuilder(context, usageRows);
  const exitsByJob = observedExits(context);
  builder.reserveRows(exitsByJob);
  for (const exits of exitsByJob) builder.addExits(exits);
  for (const [id, risk] of cutoffRisks) builder.add(id, (present) => ({ ...present, cutoffRisk: risk }));
  // The starts rely on the resources freed by all exits: if an exit did not fit, they wait for the next cycle.
  if (builder.complete) {
    // Tasks that were found running after a data loss are recorded before new starts.
    for (const start of [...context.registry.adoptions(), ...starts]) builder.addStart(start);
    draftLoans(context, builder, preemptions);
  }
  // The first log entry holds the usage rows, so it is kept even if all changes are in later ones.
  const logEntries = builder.entries.some((entry) => entry.changes.size > 0)
    ? builder.entries.map((entry) => entry.changes)
    : [];
  return {
    entries: logEntries,
    conditions: builder.conditions,
    complete: builder.complete,
    lendingPreemptions: builder.lendingPreemptions,
    endedLoans: builder.endedLoans,
  };
};
