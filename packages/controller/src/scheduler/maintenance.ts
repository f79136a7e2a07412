/**
 * The leader's periodic maintenance: moves finished jobs to their final keys and compacts the log. Every write is conditional
 * on the leadership term.
 */
import { Effect } from 'effect';
import { info } from '@lilacvalve/runtime/log';
import { joinOldPages, writePage } from '../accounts/maintenance.js';
import { outcomeCountWrites, calendarMaintenance } from '../calendar/cutoff-tracking.js';
import { encodeFinalState } from '../jobs/codec.js';
import { ACCOUNTS, activeJobKey, finalStateKey, TERM } from '../jobs/keys.js';
import { finalState, type Job } from '../jobs/model.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, StateFailure, Write } from '../state-store/client.js';
import { draftCompaction, MAINTENANCE_OPS } from './compaction.js';
import { transactUntilKnown } from './transact-until-known.js';
import type { CycleContext } from './cycle-context.js';

/**
 * Number of log entries kept before compaction. Most jobs finish before their first log entry is the oldest of this many: then
 * compaction only deletes the log entry and need not write the job's key.
 */
const LOG_TAIL_KEPT = 160;

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
    const count = context.jobState.removableTogether(finishedJobs.map((job) => job.spec.id));
    const finals = finishedJobs.slice(0, count).map((job) => ({
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

/** A step whose transaction was rejected or failed must not keep the following steps from running. */
const isDone = (step: Effect.Effect<boolean, StateFailure>): Effect.Effect<boolean> =>
  Effect.orElseSucceed(step, () => false);

/**
 * Runs one step of maintenance: the calendar, finished jobs, log compaction and the accounts' pages. Runs concurrently with the
 * scheduling cycles, which must not wait for its writes.
 */
export const runMaintenance = (context: CycleContext): Effect.Effect<void> =>
  Effect.gen(function* () {
    if (!context.mayAct()) return;
    yield* calendarMaintenance(context);
    if (yield* isDone(closeFinishedJobs(context))) return;
    if (context.mayAct()) yield* Effect.ignore(compactLog(context));
    if (context.mayAct() && !(yield* writePage(context))) yield* joinOldPages(context);
  }).pipe(Effect.ignore);
