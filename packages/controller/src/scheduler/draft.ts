/**
 * Drafts what a cycle makes durable: the ends that were seen and the starts that fill their room, in one or more log entries
 * that one transaction commits together, within the state service's limits on values and transactions.
 *
 * At 80 teams the rows of the accounts alone fill most of a value, and a log entry that could not take all ends took no start
 * at all (`docs/CAPACITY.md`): so what does not fit into one log entry goes into the next one of the same transaction, and of
 * an array as much is started as fits.
 */
import type { Booking } from '../accounts/booking.js';
import { encodeChange } from '../jobs/codec.js';
import { jobUnchanged } from '../jobs/keys.js';
import { encodeRanges } from '../jobs/ranges.js';
import type { Job, JobChange } from '../jobs/model.js';
import { loanRepayments, type LoanEnd, newLoans } from '../lending/loan-changes.js';
import type { Settings } from '../settings/settings.js';
import type { Condition } from '../state-store/client.js';
import type { Start, Preemption } from './model.js';
import type { CycleContext } from './cycle-context.js';

/** Ends and starts of one cycle, within the limits of one transaction. */
export interface Draft {
  /** By log entry, in their order; none: there is nothing to write. */
  readonly entries: readonly ReadonlyMap<string, JobChange>[];
  readonly conditions: readonly Condition[];
  /** Everything that was to be recorded is in it. */
  readonly complete: boolean;
  /** Stops whose loans it holds, and loans that it ends or shortens. */
  readonly lendingPreemptions: readonly Preemption[];
  readonly endedLoans: readonly LoanEnd[];
}

/** A log entry's head, and room for what it may say. */
const HEADER_BYTES = 120;
/** A change's key, and the signs around both. */
const CHANGE_BYTES = 6;
/** The part of a value that is filled. */
const VALUE_PART = 0.85;
/** Protocol: 64 KiB in total, a request's body included. */
const TRANSACTION_BYTES = 64 * 1024;
const TRANSACTION_PART = 0.92;
/** What a condition, and a log entry's key with its own conditions, take of that. */
const CONDITION_BYTES = 64;
const LOG_ENTRY_BYTES = 200;
/** Log entries of one cycle: each is a change of the state service's rate. */
const MAX_ENTRIES = 4;
/** Beside the jobs' conditions stand the term, the incarnation, the log entry before and one for each log entry. */
const OTHER_CONDITIONS = 5 + MAX_ENTRIES;

/** What a start on one machine takes at the least: `"vm-000001":"1",`. */
const PLACEMENT_BYTES = 16;

/** Starts of a job on a machine that one cycle can write at the most: a cycle need not look for more. */
export const maxPlacements = ({ valueBytes, txnOps }: Settings['state']): number => {
  const values = Math.min(MAX_ENTRIES, txnOps) * valueBytes * VALUE_PART;
  return Math.floor(Math.min(values, TRANSACTION_BYTES * TRANSACTION_PART) / PLACEMENT_BYTES);
};

/** Rows are somewhat shorter than their bound, and never get all of a value. */
const ROW_OF_BOUND = 0.7;
const MOST_ROWS_PART = 0.8;

const sizeOf = (id: string, change: JobChange): number =>
  JSON.stringify(encodeChange(change)).length + id.length + CHANGE_BYTES;

/** What of one job has been seen to end. */
interface EndedJob {
  readonly job: Job;
  readonly done: readonly number[];
  readonly gone: readonly number[];
  /** Those of `gone` that failed by themselves. */
  readonly failed: readonly number[];
}

class LogEntryDraft {
  readonly changes = new Map<string, JobChange>();
  bytes = HEADER_BYTES;
  private readonly sizes = new Map<string, number>();

  /** What the log entry would take with this change in place of what it says of the job. */
  with(id: string, change: JobChange): number {
    return this.bytes - (this.sizes.get(id) ?? 0) + sizeOf(id, change);
  }

  /** `bytes`: what `with` has said of it; encoding a large start twice would cost as much as all else here. */
  put(id: string, change: JobChange, bytes: number): void {
    this.sizes.set(id, bytes - this.bytes + (this.sizes.get(id) ?? 0));
    this.bytes = bytes;
    this.changes.set(id, change);
  }
}

class DraftBuilder {
  readonly entries: LogEntryDraft[] = [new LogEntryDraft()];
  readonly conditions: Condition[] = [];
  readonly started = new Map<string, number>();
  readonly lendingPreemptions: Preemption[] = [];
  readonly endedLoans: LoanEnd[] = [];
  complete = true;
  /** Bytes of the first log entry that are kept for the accounts' rows: what else goes there must not crowd them out. */
  private reservedBytes = 0;
  private readonly valueLimit: number;
  private readonly mostConditions: number;

  constructor(
    private readonly context: CycleContext,
    private readonly spending: Booking['spending'],
  ) {
    const { valueBytes, txnOps } = context.settings.state;
    this.valueLimit = valueBytes * VALUE_PART;
    this.mostConditions = txnOps * 4 - OTHER_CONDITIONS;
  }

  /** The draft's last log entry: what belongs to one job in one cycle comes in this order, ends before starts. */
  private get last(): LogEntryDraft {
    return this.entries[this.entries.length - 1]!;
  }

  /** Bytes that a log entry may take; the accounts' rows, and `booked` more of them, stand in the first one. */
  private limitOf(record: LogEntryDraft, booked: number): number {
    if (record !== this.entries[0]) return this.valueLimit;
    return this.valueLimit - Math.max(this.spending.bytes + booked, this.reservedBytes);
  }

  /** Keeps room for the rows of all that has ended: jobs of one team and class mostly share theirs. */
  reserveRows(ended: readonly EndedJob[]): void {
    const ofGroup = new Map<string, number>();
    for (const { job, done, gone } of ended) {
      const group = `${job.spec.team} ${job.spec.jobClass}`;
      const rows = this.spending.wouldAdd(job, [...done, ...gone]);
      ofGroup.set(group, Math.max(ofGroup.get(group) ?? 0, rows));
    }
    const bound = [...ofGroup.values()].reduce((a, b) => a + b, 0);
    this.reservedBytes = Math.min(this.valueLimit * MOST_ROWS_PART, bound * ROW_OF_BOUND);
  }

  private transactionBytes(): number {
    const values = this.entries.reduce((n, r) => n + r.bytes + LOG_ENTRY_BYTES, 0);
    return values + this.spending.bytes + this.conditions.length * CONDITION_BYTES;
  }

  private get transactionLimit(): number {
    return TRANSACTION_BYTES * TRANSACTION_PART;
  }

  /** So many bytes more fit into the transaction. */
  private fits(more: number): boolean {
    return this.transactionBytes() + more <= this.transactionLimit;
  }

  /**
   * Adds to what the draft says of a job, in its last log entry or in a new one. `change` is given what the log entry says of the
   * job so far. `booked`: bytes of accounts' rows that come with it. false: it fits nowhere.
   */
  add(id: string, change: (sofar: JobChange | undefined) => JobChange, booked = 0): boolean {
    const { last } = this;
    const [first] = this.entries;
    // Rows stand in the first log entry, whichever one the change goes to.
    const rowsFit = first!.bytes <= this.limitOf(first!, booked);
    const inLast = change(last.changes.get(id));
    const bytes = last.with(id, inLast);
    if (rowsFit && bytes <= this.limitOf(last, booked) && this.fits(bytes - last.bytes + booked)) {
      last.put(id, inLast, bytes);
      return true;
    }
    const added = rowsFit && this.addToNew(id, change(undefined), booked);
    if (!added) this.complete = false;
    return added;
  }

  private addToNew(id: string, change: JobChange, booked: number): boolean {
    const record = new LogEntryDraft();
    const bytes = record.with(id, change);
    const room =
      this.entries.length < MAX_ENTRIES && this.entries.length < this.context.settings.state.txnOps;
    if (!room || bytes > this.valueLimit || !this.fits(bytes + LOG_ENTRY_BYTES + booked)) return false;
    record.put(id, change, bytes);
    this.entries.push(record);
    return true;
  }

  /** false: another job's start, or a job's loan, can't be made conditional any more. */
  hasConditionsLeft(): boolean {
    return this.conditions.length < this.mostConditions;
  }

  /** Bytes that a start may take: of the last log entry's rest or of a log entry of its own, whichever is more. */
  private roomForStart(): number {
    const { last } = this;
    const inTransaction = this.transactionLimit - this.transactionBytes();
    const inLast = Math.min(inTransaction, this.limitOf(last, 0) - last.bytes);
    const another = this.entries.length < Math.min(MAX_ENTRIES, this.context.settings.state.txnOps);
    const inNew = another ? Math.min(inTransaction - LOG_ENTRY_BYTES, this.valueLimit) - HEADER_BYTES : 0;
    return Math.max(inLast, inNew);
  }

  /** Adds a start; of an array as many tasks as fit. */
  addStart(s: Start): void {
    const { id } = s.job.spec;
    if (this.started.has(id) || !this.hasConditionsLeft()) {
      this.complete = false;
      return;
    }
    const entire = (on: Start['on']) => this.add(id, (c) => ({ ...c, start: { attempt: s.attempt, on } }));
    let { on } = s;
    if (!entire(on)) {
      on = s.job.spec.shape === 'array' ? firstTasks(s, this.roomForStart()) : new Map();
      if (on.size === 0 || !entire(on)) return;
      this.complete = false;
    }
    this.started.set(
      id,
      [...on.values()].reduce((n, tasks) => n + tasks.length, 0),
    );
    // Conditional on the job's key: a job cancelled in this moment, or over by the time, is not started.
    this.conditions.push(...jobUnchanged(id, s.job.revision));
  }

  addEnds({ job, done, gone, failed }: EndedJob): void {
    const booked = this.spending.wouldAdd(job, [...done, ...gone]);
    if (!this.add(job.spec.id, (c) => ({ ...c, done, gone, failed }), booked)) return;
    this.spending.add(job, done, 'done');
    this.spending.add(job, gone, 'gone');
  }
}

/** As much of a start, machine by machine, as fits into so many bytes. */
const firstTasks = (s: Start, bytes: number): Start['on'] => {
  const on = new Map<string, number[]>();
  let left = bytes - sizeOf(s.job.spec.id, { start: { attempt: s.attempt, on } });
  for (const [machine, tasks] of s.on) {
    left -= JSON.stringify(machine).length + JSON.stringify(encodeRanges(tasks)).length + 2;
    if (left < 0) break;
    on.set(machine, tasks);
  }
  return on;
};

const endedJobs = (t: CycleContext): EndedJob[] => {
  const out: EndedJob[] = [];
  for (const [id, e] of t.registry.exits) {
    const job = t.jobState.jobs.get(id);
    if (!job) continue;
    // A gang that completed is done as a whole, whatever else its members said.
    const gone = [...e.gone].filter((x) => !e.done.has(x));
    out.push({ job, done: [...e.done], gone, failed: gone.filter((x) => e.failed.has(x)) });
  }
  return out;
};

const draftLoans = (t: CycleContext, d: DraftBuilder, preemptions: readonly Preemption[]): void => {
  for (const { taker, repay, ends } of loanRepayments(t.jobState.jobs, d.started, (job) =>
    t.registry.hasUnsettledTasks(job),
  ))
    if (d.add(taker, (c) => ({ ...c, repay }))) d.endedLoans.push(...ends);
  for (const { taker, lend, taken, preemptions: of } of newLoans(preemptions)) {
    if (!d.hasConditionsLeft()) break;
    const { id } = taker.spec;
    if (!d.add(id, (c) => ({ ...c, lend }))) continue;
    // A service that is cancelled in this moment takes nothing.
    d.conditions.push(...jobUnchanged(id, taker.revision));
    let all = true;
    for (const [lender, n] of taken)
      all &&= d.add(lender, (c) => ({ ...c, preemptedForServices: (c?.preemptedForServices ?? 0) + n }));
    if (all) d.lendingPreemptions.push(...of);
  }
};

/** `said`: of cutoffs, by job. */
export const draftOf = (
  t: CycleContext,
  starts: readonly Start[],
  preemptions: readonly Preemption[],
  { spending }: Booking,
  said: ReadonlyMap<string, number>,
): Draft => {
  const d = new DraftBuilder(t, spending);
  const ended = endedJobs(t);
  d.reserveRows(ended);
  for (const e of ended) d.addEnds(e);
  for (const [id, say] of said) d.add(id, (c) => ({ ...c, cutoffRisk: say }));
  // The starts count on the room of every end: with one of these left out, they wait for the next log entry.
  if (d.complete) {
    // What runs already from before a loss is recorded before anything is started anew.
    for (const s of [...t.registry.adoptions(), ...starts]) d.addStart(s);
    draftLoans(t, d, preemptions);
  }
  // The accounts' rows stand in the first log entry, also where every change went to a later one.
  const records = d.entries.some((r) => r.changes.size > 0) ? d.entries.map((r) => r.changes) : [];
  return {
    entries: records,
    conditions: d.conditions,
    complete: d.complete,
    lendingPreemptions: d.lendingPreemptions,
    endedLoans: d.endedLoans,
  };
};
