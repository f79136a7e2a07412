/**
 * Drafts the compaction of the log: the changes of the oldest log entries are written to the jobs' own keys, and the entries
 * are deleted, as far as one transaction of the state service holds. Pure, without I/O.
 */
import { checkpointWrites } from '../accounts/maintenance.js';
import { encodeJobWithin } from '../jobs/codec.js';
import { ACCOUNTS, activeJobKey, jobUnchanged, logEntryKey, TERM } from '../jobs/keys.js';
import type { Job } from '../jobs/model.js';
import { recordAnomaly } from '../metrics.js';
import type { Condition, Write } from '../state-store/client.js';
import {
  conditionBytes,
  jsonBytes,
  MAX_TRANSACTION_BYTES,
  maxValueBytes,
  writeBytes,
} from '../state-store/transaction-limits.js';
import type { CycleContext } from './cycle-context.js';

/** Maximum number of changes in a maintenance transaction: larger ones would wait longer for the write budget. */
export const MAINTENANCE_OPS = 8;
/** Maximum bytes of a transaction that writes the jobs of more than one log entry. */
const SEVERAL_ENTRIES_BYTES = 48 * 1024;
/** Bytes of a transaction kept free for the conditions of the term and the incarnation, and punctuation. */
const RESERVED_BYTES = 512;

/** A transaction that compacts the log. */
export interface Compaction {
  readonly when: readonly Condition[];
  readonly then: readonly Write[];
  /** The condition on the accounts' checkpoint, which is also in `when`. */
  readonly checkpointCondition: Condition;
}

/** The write of a job's own key, with its conditions and the bytes that both take in a transaction. */
interface JobWrite {
  readonly job: Job;
  readonly write: Write;
  readonly when: readonly Condition[];
  readonly bytes: number;
}

/** Returns the write of a job with all its log entries up to `upTo`; null if its value does not fit into its key. */
const jobWrite = (job: Job, upTo: number, maxBytes: number): JobWrite | null => {
  const { id } = job.spec;
  // This view has all log entries up to the job's cancellation. The write gives the key a new revision, so an entry that
  // completes the job in the meantime would seem to precede the cancellation, and the job would become completed after
  // users were told that it is cancelled. `cancelledFirst` keeps the order.
  const encoded = encodeJobWithin({ ...job, cancelledFirst: job.cancelled }, upTo, maxBytes);
  if (encoded === null) {
    recordAnomaly('oversized', 'job too large to be compacted', () => ({
      job: id,
      placed: job.placed.size,
      limit: maxBytes,
    }));
    return null;
  }
  const key = activeJobKey(id);
  const when = jobUnchanged(id, job.revision);
  const conditions = when.reduce((sum, condition) => sum + conditionBytes(condition.key), 0);
  const write = { set: key, value: encoded.value };
  return { job, write, when, bytes: writeBytes(key, encoded.bytes) + conditions };
};

/** A transaction under construction. */
class CompactionDraft {
  readonly when: Condition[];
  readonly then: Write[] = [];
  private bytes = RESERVED_BYTES;
  private readonly written = new Set<Job>();

  constructor(
    private readonly context: CycleContext,
    private readonly checkpointCondition: Condition,
  ) {
    this.when = [{ key: TERM, revision: context.leaderTerm.revision }, checkpointCondition];
  }

  addCheckpoint(writes: readonly Write[]): void {
    this.then.push(...writes);
    this.bytes += jsonBytes(writes);
  }

  /** Returns the jobs that a log entry changed and whose keys do not include that change yet. */
  private pendingJobs(sequence: number): Job[] {
    const { jobState } = this.context;
    return [...jobState.logTail.get(sequence)!.jobs.keys()].flatMap((id) => {
      const job = jobState.jobs.get(id);
      return job && job.compactedTo < sequence && !this.written.has(job) ? [job] : [];
    });
  }

  private add({ job, write, when, bytes }: JobWrite): void {
    this.then.push(write);
    this.when.push(...when);
    this.written.add(job);
    this.bytes += bytes;
  }

  /**
   * Adds the writes of the jobs that a log entry names, and the entry's deletion. If the first entry alone exceeds a
   * transaction, some of its jobs are added, and the entry is deleted later. Returns whether the entry is compacted.
   */
  addEntry(sequence: number, upTo: number): boolean {
    const { txnOps, valueBytes } = this.context.settings.state;
    const isFirst = this.then.length === 0;
    const maxOps = isFirst ? txnOps : Math.min(txnOps, MAINTENANCE_OPS);
    const jobs = this.pendingJobs(sequence);
    if (!isFirst && this.then.length + jobs.length + 1 > maxOps) return false;
    const writes: JobWrite[] = [];
    let bytes = this.bytes + writeBytes(logEntryKey(sequence), 0);
    for (const job of jobs.slice(0, maxOps)) {
      const next = jobWrite(job, upTo, maxValueBytes({ valueBytes }));
      if (next === null || bytes + next.bytes > (isFirst ? MAX_TRANSACTION_BYTES : SEVERAL_ENTRIES_BYTES))
        break;
      writes.push(next);
      bytes += next.bytes;
    }
    const isWhole = writes.length === jobs.length && this.then.length + writes.length + 1 <= maxOps;
    if (!isWhole && !isFirst) return false;
    for (const write of writes) this.add(write);
    if (isWhole) this.then.push({ delete: logEntryKey(sequence) });
    return isWhole;
  }

  result(): Compaction {
    return { when: this.when, then: this.then, checkpointCondition: this.checkpointCondition };
  }
}

/** Drafts the writes of the jobs that the oldest log entries name, and the entries' deletion, as far as they fit. */
export const draftCompaction = (context: CycleContext): Compaction => {
  const { jobState } = context;
  const { checkpoint, accounts } = jobState;
  // An entry may be deleted only if the checkpoint of the accounts includes the entry's usage rows. A checkpoint is written only
  // when the last one does not cover the oldest entry, and then covers the following entries, too.
  const draft = new CompactionDraft(context, { key: ACCOUNTS, revision: checkpoint.revision });
  const oldest = [...jobState.logTail.keys()].sort((a, b) => a - b).slice(0, -1);
  const needsCheckpoint = oldest[0]! > checkpoint.upTo;
  if (needsCheckpoint) draft.addCheckpoint(checkpointWrites(context, accounts));
  const covered = needsCheckpoint ? accounts.upTo : checkpoint.upTo;
  for (const sequence of oldest)
    if (sequence > covered || !draft.addEntry(sequence, jobState.lastSequence)) break;
  return draft.result();
};
