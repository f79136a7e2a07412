/** Tidies up what older log entries and jobs that are over leave behind. Every write is conditional on the term. */
import { Effect } from 'effect';
import { info } from '@lilacvalve/runtime/log';
import { checkpointWrites, joinOld, writePage } from '../accounts/upkeep.js';
import { tallyWrites, calendarUpkeep } from '../calendar/cutoff-tracking.js';
import { encodeFinalState, encodeJob } from '../jobs/codec.js';
import { ACCOUNTS, activeJobKey, jobUnchanged, finalStateKey, logEntryKey, TERM } from '../jobs/keys.js';
import { finalState, type Job } from '../jobs/model.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Write } from '../state-store/client.js';
import { transactUntilKnown } from './transact-until-known.js';
import type { CycleContext } from './cycle-context.js';

/**
 * Log entries to keep before their jobs are folded. Most jobs are over before their first log entry is the oldest
 * of so many: then only the log entry is to be deleted, and the job's key is never written again on its account.
 */
const LOG_TAIL_KEPT = 160;
/** Changes in one transaction of upkeep: larger ones would have to wait longer for their part of the budget. */
const UPKEEP_OPS = 8;

/** Moves jobs that are over to their final keys. Whoever writes a job's key first, cancellation or this, wins. */
const closeFinishedJobs = (t: CycleContext) =>
  Effect.gen(function* () {
    const over: Job[] = [];
    for (const job of t.jobState.jobs.values()) {
      if (finalState(job) !== null && !t.registry.exits.has(job.spec.id)) over.push(job);
      // Two changes each, and a third where a bundle lists it.
      const each = t.jobState.bundleOf.size > 0 ? 3 : 2;
      // A tied job's occurrence has a count, which changes too.
      const tied = over.reduce((n, j) => n + (j.spec.tie === null ? 0 : 1), 0);
      if ((over.length + 1) * each + tied > Math.min(t.settings.state.txnOps, each === 3 ? 12 : UPKEEP_OPS))
        break;
    }
    if (over.length === 0) return false;
    const finals = over.map((job) => ({
      job,
      id: job.spec.id,
      stamp: job.revision,
      final: finalState(job)!,
    }));
    const when: Condition[] = [{ key: TERM, stamp: t.leaderTerm.stamp }];
    const then: Write[] = [];
    for (const f of finals) {
      when.push({ key: activeJobKey(f.id), stamp: f.stamp });
      then.push(
        { delete: activeJobKey(f.id) },
        { set: finalStateKey(f.id), value: encodeFinalState(f.final) },
      );
    }
    const packs = t.jobState.removalFromBundles(finals.map((f) => f.id));
    const counts = tallyWrites(t.jobState, finals);
    when.push(...packs.when, ...counts.when);
    then.push(...packs.then, ...counts.then);
    const first = finals[0]!;
    const probe = first.stamp > 0 ? activeJobKey(first.id) : (t.jobState.bundleOf.get(first.id) ?? '');
    const outcome = yield* transactUntilKnown(t, when, then, probe, Priority.Upkeep);
    if (outcome === null) return true;
    // Applied or not, the watch's view decides what became of each job.
    yield* Effect.ignore(t.watcher.refresh);
    if (outcome.ok)
      for (const f of finals) {
        yield* info('job finished', { job: f.id, status: f.final.status });
        for (const [lender, l] of f.job.loans) {
          const ended = { taker: f.id, lender, gpus: l.gpus / 1000, reason: 'taker over' };
          yield* info('loan ended', { term: t.leaderTerm.number, ...ended });
        }
      }
    return true;
  });

/** Shortens the tail: writes the jobs of the oldest log entries into their own keys, then deletes the log entries. */
const compactLog = (t: CycleContext) =>
  Effect.gen(function* () {
    if (t.jobState.logTail.size <= (t.settings.state.tail ?? LOG_TAIL_KEPT)) return;
    const upTo = t.jobState.lastSequence;
    const ops = t.settings.state.txnOps;
    const { checkpoint, accounts } = t.jobState;
    // No log entry goes whose rows the checkpoint lacks. It is written once in so many log entries: the next ones can go by it.
    const checked: Condition = { key: ACCOUNTS, stamp: checkpoint.stamp };
    const when: Condition[] = [{ key: TERM, stamp: t.leaderTerm.stamp }, checked];
    const then: Write[] = [];
    const jobs = new Set<Job>();
    let bytes = 0;
    const seqs = [...t.jobState.logTail.keys()].sort((a, b) => a - b).slice(0, -1);
    if (seqs[0]! > checkpoint.upTo) {
      then.push(...checkpointWrites(t, accounts));
      bytes = JSON.stringify(then).length;
    }
    const covered = then.length > 0 ? accounts.upTo : checkpoint.upTo;
    for (const seq of seqs) {
      if (seq > covered) break;
      const more: Job[] = [];
      for (const id of t.jobState.logTail.get(seq)!.jobs.keys()) {
        const job = t.jobState.jobs.get(id);
        if (job && job.compactedTo < seq && !jobs.has(job)) more.push(job);
      }
      if (then.length + more.length + 1 > Math.min(ops, UPKEEP_OPS) && then.length > 0) break;
      const writes: Write[] = more.map((job) => ({
        set: activeJobKey(job.spec.id),
        // This view has every log entry up to the cancellation. One that completes the job while this write is on its way must not
        // look as if it had come first, by the key's new revision: what users were told is cancelled would be done.
        value: encodeJob({ ...job, cancelledFirst: job.cancelled }, upTo),
      }));
      const size = JSON.stringify(writes).length;
      if (bytes + size > 48 * 1024 && then.length > 0) break;
      if (then.length + writes.length + 1 > ops) {
        // More jobs than one transaction takes: fold some, the log entry goes later.
        const some = writes.slice(0, ops);
        then.push(...some);
        for (const job of more.slice(0, ops)) when.push(...jobUnchanged(job.spec.id, job.revision));
        break;
      }
      bytes += size;
      then.push(...writes, { delete: logEntryKey(seq) });
      for (const job of more) {
        jobs.add(job);
        when.push(...jobUnchanged(job.spec.id, job.revision));
      }
    }
    if (then.length === 0) return;
    const outcome = yield* transactUntilKnown(t, when, then, '', Priority.Upkeep);
    if (outcome === null) return;
    const read = yield* Effect.isSuccess(t.watcher.refresh);
    if (
      read &&
      !outcome.ok &&
      outcome.failed.includes(ACCOUNTS) &&
      t.jobState.checkpoint.stamp === checked.stamp
    )
      t.lossDetector.suspect('key lost', `${ACCOUNTS} is not as it was`);
  });

/** Closes jobs that are over and shortens the tail, beside the cycles: these must not wait for its writes. */
export const upkeep = (t: CycleContext): Effect.Effect<void> =>
  Effect.gen(function* () {
    if (!t.mayAct()) return;
    yield* calendarUpkeep(t);
    if (yield* closeFinishedJobs(t)) return;
    if (t.mayAct()) yield* compactLog(t);
    if (t.mayAct() && !(yield* writePage(t))) yield* joinOld(t);
  }).pipe(Effect.ignore);
