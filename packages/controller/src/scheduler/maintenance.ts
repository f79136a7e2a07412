/**
 * The leader's periodic maintenance: moves finished jobs to their final keys and compacts the log. Every write is conditional
 * on the leadership term.
 */
import { Effect } from 'effect';
import { info } from '@lilacvalve/runtime/log';
import { checkpointWrites, joinOldPages, writePage } from '../accounts/maintenance.js';
import { outcomeCountWrites, calendarMaintenance } from '../calendar/cutoff-tracking.js';
import { encodeFinalState, encodeJob } from '../jobs/codec.js';
import { ACCOUNTS, activeJobKey, jobUnchanged, finalStateKey, logEntryKey, TERM } from '../jobs/keys.js';
import { finalState, type Job } from '../jobs/model.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Write } from '../state-store/client.js';
import { transactUntilKnown } from './transact-until-known.js';
import type { CycleContext } from './cycle-context.js';

/**
 * Number of log entries kept before compaction. Most jobs finish before their first log entry is the oldest of this many: then
 * compaction only deletes the log entry and need not write the job's key.
 */
const LOG_TAIL_KEPT = 160;
/** Maximum number of changes in a maintenance transaction: larger ones would wait longer for the write budget. */
const MAINTENANCE_OPS = 8;

/**
 * Moves finished jobs to their final keys. If a job is cancelled at the same time, the write of the job's key that is
 * committed first takes effect. Returns whether there were finished jobs.
 */
const closeFinishedJobs = (context: CycleContext) =>
  Effect.gen(function* () {
    const finishedJobs: Job[] = [];
    for (const job of context.jobState.jobs.values()) {
      if (finalState(job) !== null && !context.registry.exits.has(job.spec.id)) finishedJobs.push(job);
      // Two changes per job, and a third if a bundle of rebuilt jobs holds the job.
      const changesPerJob = context.jobState.bundleByJob.size > 0 ? 3 : 2;
      // A job bound to a cutoff also changes the outcome counts of its occurrence.
      const countChanges = finishedJobs.reduce(
        (sum, finished) => sum + (finished.spec.cutoffBinding === null ? 0 : 1),
        0,
      );
      if (
        (finishedJobs.length + 1) * changesPerJob + countChanges >
        Math.min(context.settings.state.txnOps, changesPerJob === 3 ? 12 : MAINTENANCE_OPS)
      )
        break;
    }
    if (finishedJobs.length === 0) return false;
    const finals = finishedJobs.map((job) => ({
      job,
      id: job.spec.id,
      revision: job.revision,
      final: finalState(job)!,
    }));
    const when: Condition[] = [{ key: TERM, revision: context.leaderTerm.revision }];
    const then: Write[] = [];
    for (const finished of finals) {
      when.push({ key: activeJobKey(finished.id), revision: finished.revision });
      then.push(
        { delete: activeJobKey(finished.id) },
        { set: finalStateKey(finished.id), value: encodeFinalState(finished.final) },
      );
    }
    const removals = context.jobState.removalFromBundles(finals.map((finished) => finished.id));
    const counts = outcomeCountWrites(context.jobState, finals);
    when.push(...removals.when, ...counts.when);
    then.push(...removals.then, ...counts.then);
    const first = finals[0]!;
    const probe =
      first.revision > 0 ? activeJobKey(first.id) : (context.jobState.bundleByJob.get(first.id) ?? '');
    const outcome = yield* transactUntilKnown(context, when, then, probe, Priority.Upkeep);
    if (outcome === null) return true;
    // Whether or not the transaction was applied, the watcher's view determines the state of each job.
    yield* Effect.ignore(context.watcher.refresh);
    if (outcome.ok)
      for (const finished of finals) {
        yield* info('job finished', { job: finished.id, status: finished.final.status });
        for (const [lender, loan] of finished.job.loans) {
          const ended = { taker: finished.id, lender, gpus: loan.gpus / 1000, reason: 'taker over' };
          yield* info('loan ended', { term: context.leaderTerm.number, ...ended });
        }
      }
    return true;
  });

/** A transaction that compacts the log. */
interface Compaction {
  readonly when: readonly Condition[];
  readonly then: readonly Write[];
  /** The condition on the accounts' checkpoint, which is also in `when`. */
  readonly checkpointCondition: Condition;
}

/** Maximum bytes of a transaction that compacts the log. */
const COMPACTION_BYTES = 48 * 1024;

/** Drafts the writes of the jobs that the oldest log entries name, and the entries' deletion, as far as they fit. */
const draftCompaction = (context: CycleContext): Compaction => {
  const { jobState, settings } = context;
  const upTo = jobState.lastSequence;
  const ops = settings.state.txnOps;
  const { checkpoint, accounts } = jobState;
  // An entry may be deleted only if the checkpoint of the accounts includes the entry's usage rows. A checkpoint is written only
  // when the last one does not cover the oldest entry, and then covers the following entries, too.
  const checkpointCondition: Condition = { key: ACCOUNTS, revision: checkpoint.revision };
  const when: Condition[] = [{ key: TERM, revision: context.leaderTerm.revision }, checkpointCondition];
  const then: Write[] = [];
  const writtenJobs = new Set<Job>();
  let bytes = 0;
  const oldest = [...jobState.logTail.keys()].sort((a, b) => a - b).slice(0, -1);
  if (oldest[0]! > checkpoint.upTo) {
    then.push(...checkpointWrites(context, accounts));
    bytes = JSON.stringify(then).length;
  }
  const covered = then.length > 0 ? accounts.upTo : checkpoint.upTo;
  for (const sequence of oldest) {
    if (sequence > covered) break;
    const jobs: Job[] = [];
    for (const id of jobState.logTail.get(sequence)!.jobs.keys()) {
      const job = jobState.jobs.get(id);
      if (job && job.compactedTo < sequence && !writtenJobs.has(job)) jobs.push(job);
    }
    if (then.length + jobs.length + 1 > Math.min(ops, MAINTENANCE_OPS) && then.length > 0) break;
    const writes: Write[] = jobs.map((job) => ({
      set: activeJobKey(job.spec.id),
      // This view has all log entries up to the job's cancellation. The write gives the key a new revision, so an entry that
      // completes the job in the meantime would seem to precede the cancellation, and the job would become completed after
      // users were told that it is cancelled. `cancelledFirst` keeps the order.
      value: encodeJob({ ...job, cancelledFirst: job.cancelled }, upTo),
    }));
    const size = JSON.stringify(writes).length;
    if (bytes + size > COMPACTION_BYTES && then.length > 0) break;
    if (then.length + writes.length + 1 > ops) {
      // The entry names more jobs than one transaction can write: some are written now, and the entry is deleted later.
      then.push(...writes.slice(0, ops));
      for (const job of jobs.slice(0, ops)) when.push(...jobUnchanged(job.spec.id, job.revision));
      break;
    }
    bytes += size;
    then.push(...writes, { delete: logEntryKey(sequence) });
    for (const job of jobs) {
      writtenJobs.add(job);
      when.push(...jobUnchanged(job.spec.id, job.revision));
    }
  }
  return { when, then, checkpointCondition };
};

/**
 * Compacts the log if it has too many entries: the changes of the oldest entries are written to the jobs' own keys, and the
 * entries are deleted.
 */
const compactLog = (context: CycleContext) =>
  Effect.gen(function* () {
    if (context.jobState.logTail.size <= (context.settings.state.maxLogEntries ?? LOG_TAIL_KEPT)) return;
    const { when, then, checkpointCondition } = draftCompaction(context);
    if (then.length === 0) return;
    const outcome = yield* transactUntilKnown(context, when, then, '', Priority.Upkeep);
    if (outcome === null) return;
    const read = yield* Effect.isSuccess(context.watcher.refresh);
    if (
      read &&
      !outcome.ok &&
      outcome.failed.includes(ACCOUNTS) &&
      context.jobState.checkpoint.revision === checkpointCondition.revision
    )
      context.lossDetector.suspect('key lost', `${ACCOUNTS} is not at its last revision`);
  });

/**
 * Runs one step of maintenance: the calendar, finished jobs, log compaction and the accounts' pages. Runs concurrently with the
 * scheduling cycles, which must not wait for its writes.
 */
export const runMaintenance = (context: CycleContext): Effect.Effect<void> =>
  Effect.gen(function* () {
    if (!context.mayAct()) return;
    yield* calendarMaintenance(context);
    if (yield* closeFinishedJobs(context)) return;
    if (context.mayAct()) yield* compactLog(context);
    if (context.mayAct() && !(yield* writePage(context))) yield* joinOldPages(context);
  }).pipe(Effect.ignore);
