/**
 * Drafts what a turn makes durable: the ends that were seen and the starts that fill their room, in one or more records
 * that one transaction commits together, within the state service's limits on values and transactions.
 *
 * At 80 teams the rows of the accounts alone fill most of a value, and a record that could not take all ends took no start
 * at all (`docs/CAPACITY.md`): so what does not fit into one record goes into the next one of the same transaction, and of
 * an array as much is started as fits.
 */
import type { Booking } from '../accounts/booking.js';
import { encodeChange } from '../jobs/codec.js';
import { asKnown } from '../jobs/keys.js';
import { encodeRanges } from '../jobs/ranges.js';
import type { Job, JobChange } from '../jobs/model.js';
import { endings, type LoanEnd, loansMade } from '../lending/record.js';
import type { Settings } from '../settings/settings.js';
import type { Condition } from '../state-store/client.js';
import type { Start, Stop } from './model.js';
import type { CycleContext } from './cycle-context.js';

/** Ends and starts of one turn, within the limits of one transaction. */
export interface Draft {
  /** By record, in their order; none: there is nothing to record. */
  readonly records: readonly ReadonlyMap<string, JobChange>[];
  readonly when: readonly Condition[];
  /** Everything that was to be recorded is in it. */
  readonly whole: boolean;
  /** Stops whose loans it holds, and loans that it ends or shortens. */
  readonly lent: readonly Stop[];
  readonly ended: readonly LoanEnd[];
}

/** A record's head, and room for what it may say. */
const HEAD_BYTES = 120;
/** A change's key, and the signs around both. */
const ENTRY_BYTES = 6;
/** The part of a value that is filled. */
const VALUE_PART = 0.85;
/** Protocol: 64 KiB in total, a request's body included. */
const TRANSACTION_BYTES = 64 * 1024;
const TRANSACTION_PART = 0.92;
/** What a condition, and a record's key with its own conditions, take of that. */
const CONDITION_BYTES = 64;
const RECORD_BYTES = 200;
/** Records of one turn: each is a change of the state service's rate. */
const MOST_RECORDS = 4;
/** Beside the jobs' conditions stand the term, the incarnation, the record before and one for each record. */
const OTHER_CONDITIONS = 5 + MOST_RECORDS;

/** What a start on one machine takes at the least: `"vm-000001":"1",`. */
const PLACE_BYTES = 16;

/** Starts of a job on a machine that one turn can record at the most: a cycle need not look for more. */
export const mostPlaces = ({ valueBytes, txnOps }: Settings['state']): number => {
  const values = Math.min(MOST_RECORDS, txnOps) * valueBytes * VALUE_PART;
  return Math.floor(Math.min(values, TRANSACTION_BYTES * TRANSACTION_PART) / PLACE_BYTES);
};

/** Rows are somewhat shorter than their bound, and never get all of a value. */
const ROW_OF_BOUND = 0.7;
const MOST_ROWS_PART = 0.8;

const sizeOf = (id: string, change: JobChange): number =>
  JSON.stringify(encodeChange(change)).length + id.length + ENTRY_BYTES;

/** What of one job has been seen to end. */
interface EndedJob {
  readonly job: Job;
  readonly done: readonly number[];
  readonly gone: readonly number[];
  /** Those of `gone` that failed by themselves. */
  readonly failed: readonly number[];
}

class RecordDraft {
  readonly changes = new Map<string, JobChange>();
  bytes = HEAD_BYTES;
  private readonly sizes = new Map<string, number>();

  /** What the record would take with this change in place of what it says of the job. */
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

class Drafting {
  readonly records: RecordDraft[] = [new RecordDraft()];
  readonly when: Condition[] = [];
  readonly started = new Map<string, number>();
  readonly lent: Stop[] = [];
  readonly ended: LoanEnd[] = [];
  whole = true;
  /** Bytes of the first record that are kept for the accounts' rows: what else goes there must not crowd them out. */
  private reserved = 0;
  private readonly valueLimit: number;
  private readonly mostConditions: number;

  constructor(
    private readonly t: CycleContext,
    private readonly spending: Booking['spending'],
  ) {
    const { valueBytes, txnOps } = t.settings.state;
    this.valueLimit = valueBytes * VALUE_PART;
    this.mostConditions = txnOps * 4 - OTHER_CONDITIONS;
  }

  /** The draft's last record: what belongs to one job in one turn comes in this order, ends before starts. */
  private get last(): RecordDraft {
    return this.records[this.records.length - 1]!;
  }

  /** Bytes that a record may take; the accounts' rows, and `booked` more of them, stand in the first one. */
  private limitOf(record: RecordDraft, booked: number): number {
    if (record !== this.records[0]) return this.valueLimit;
    return this.valueLimit - Math.max(this.spending.bytes + booked, this.reserved);
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
    this.reserved = Math.min(this.valueLimit * MOST_ROWS_PART, bound * ROW_OF_BOUND);
  }

  private transactionBytes(): number {
    const values = this.records.reduce((n, r) => n + r.bytes + RECORD_BYTES, 0);
    return values + this.spending.bytes + this.when.length * CONDITION_BYTES;
  }

  private get transactionLimit(): number {
    return TRANSACTION_BYTES * TRANSACTION_PART;
  }

  /** So many bytes more fit into the transaction. */
  private fits(more: number): boolean {
    return this.transactionBytes() + more <= this.transactionLimit;
  }

  /**
   * Adds to what the draft says of a job, in its last record or in a new one. `change` is given what the record says of the
   * job so far. `booked`: bytes of accounts' rows that come with it. false: it fits nowhere.
   */
  add(id: string, change: (sofar: JobChange | undefined) => JobChange, booked = 0): boolean {
    const { last } = this;
    const [first] = this.records;
    // Rows stand in the first record, whichever one the change goes to.
    const rowsFit = first!.bytes <= this.limitOf(first!, booked);
    const inLast = change(last.changes.get(id));
    const bytes = last.with(id, inLast);
    if (rowsFit && bytes <= this.limitOf(last, booked) && this.fits(bytes - last.bytes + booked)) {
      last.put(id, inLast, bytes);
      return true;
    }
    const added = rowsFit && this.addToNew(id, change(undefined), booked);
    if (!added) this.whole = false;
    return added;
  }

  private addToNew(id: string, change: JobChange, booked: number): boolean {
    const record = new RecordDraft();
    const bytes = record.with(id, change);
    const room = this.records.length < MOST_RECORDS && this.records.length < this.t.settings.state.txnOps;
    if (!room || bytes > this.valueLimit || !this.fits(bytes + RECORD_BYTES + booked)) return false;
    record.put(id, change, bytes);
    this.records.push(record);
    return true;
  }

  /** false: another job's start, or a job's loan, can't be made conditional any more. */
  mayCondition(): boolean {
    return this.when.length < this.mostConditions;
  }

  /** Bytes that a start may take: of the last record's rest or of a record of its own, whichever is more. */
  private roomForStart(): number {
    const { last } = this;
    const inTransaction = this.transactionLimit - this.transactionBytes();
    const inLast = Math.min(inTransaction, this.limitOf(last, 0) - last.bytes);
    const another = this.records.length < Math.min(MOST_RECORDS, this.t.settings.state.txnOps);
    const inNew = another ? Math.min(inTransaction - RECORD_BYTES, this.valueLimit) - HEAD_BYTES : 0;
    return Math.max(inLast, inNew);
  }

  /** Adds a start; of an array as many tasks as fit. */
  start(s: Start): void {
    const { id } = s.job.spec;
    if (this.started.has(id) || !this.mayCondition()) {
      this.whole = false;
      return;
    }
    const entire = (on: Start['on']) => this.add(id, (c) => ({ ...c, start: { attempt: s.attempt, on } }));
    let { on } = s;
    if (!entire(on)) {
      on = s.job.spec.shape === 'array' ? firstTasks(s, this.roomForStart()) : new Map();
      if (on.size === 0 || !entire(on)) return;
      this.whole = false;
    }
    this.started.set(
      id,
      [...on.values()].reduce((n, tasks) => n + tasks.length, 0),
    );
    // Conditional on the job's key: a job withdrawn in this moment, or over by the time, is not started.
    this.when.push(...asKnown(id, s.job.stamp));
  }

  ends({ job, done, gone, failed }: EndedJob): void {
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
  for (const [id, e] of t.registry.ends) {
    const job = t.jobState.jobs.get(id);
    if (!job) continue;
    // A gang that completed is done as a whole, whatever else its members said.
    const gone = [...e.gone].filter((x) => !e.done.has(x));
    out.push({ job, done: [...e.done], gone, failed: gone.filter((x) => e.failed.has(x)) });
  }
  return out;
};

const draftLoans = (t: CycleContext, d: Drafting, stops: readonly Stop[]): void => {
  for (const { taker, repay, ends } of endings(t.jobState.jobs, d.started, (job) =>
    t.registry.unsettled(job),
  ))
    if (d.add(taker, (c) => ({ ...c, repay }))) d.ended.push(...ends);
  for (const { taker, lend, taken, stops: of } of loansMade(stops)) {
    if (!d.mayCondition()) break;
    const { id } = taker.spec;
    if (!d.add(id, (c) => ({ ...c, lend }))) continue;
    // A service that is withdrawn in this moment takes nothing.
    d.when.push(...asKnown(id, taker.stamp));
    let all = true;
    for (const [lender, n] of taken) all &&= d.add(lender, (c) => ({ ...c, taken: (c?.taken ?? 0) + n }));
    if (all) d.lent.push(...of);
  }
};

/** `said`: of cutoffs, by job. */
export const draftOf = (
  t: CycleContext,
  starts: readonly Start[],
  stops: readonly Stop[],
  { spending }: Booking,
  said: ReadonlyMap<string, number>,
): Draft => {
  const d = new Drafting(t, spending);
  const ended = endedJobs(t);
  d.reserveRows(ended);
  for (const e of ended) d.ends(e);
  for (const [id, say] of said) d.add(id, (c) => ({ ...c, said: say }));
  // The starts count on the room of every end: with one of these left out, they wait for the next record.
  if (d.whole) {
    // What runs already from before a loss is recorded before anything is started anew.
    for (const s of [...t.registry.adoptions(), ...starts]) d.start(s);
    draftLoans(t, d, stops);
  }
  // The accounts' rows stand in the first record, also where every change went to a later one.
  const records = d.records.some((r) => r.changes.size > 0) ? d.records.map((r) => r.changes) : [];
  return { records, when: d.when, whole: d.whole, lent: d.lent, ended: d.ended };
};
