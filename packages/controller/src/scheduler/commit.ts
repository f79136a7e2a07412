/** Commits a cycle's observed exits and starts as log entries in one transaction that is conditional on the leadership term. */
import { Data, Effect } from 'effect';
import { debug, info } from '@lilacvalve/runtime/log';
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import { LogEntryUsage } from '../accounts/log-entry-usage.js';
import { NO_USAGE } from '../accounts/model.js';
import { recordSamples, logCutoffRisks, cutoffRisksOf } from '../calendar/cutoff-tracking.js';
import { encodeLogEntry } from '../jobs/codec.js';
import { ACCOUNTS, ACTIVE_JOBS, LOG_ENTRIES, logEntryKey, TERM } from '../jobs/keys.js';
import type { LogEntry, LogEntryHeader } from '../jobs/model.js';
import type { Condition } from '../state-store/client.js';
import { type Draft, draftOf } from './draft.js';
import type { Start, Preemption } from './model.js';
import { transactUntilKnown } from './transact-until-known.js';
import type { CycleContext } from './cycle-context.js';

/**
 * Whether the view, refreshed after the condition on this key failed, still has the revision that the condition required:
 * then the store has lost the key.
 */
const isUnchanged = (context: CycleContext, key: string, when: readonly Condition[]): boolean => {
  const required = when.find((condition) => condition.key === key)?.revision;
  if (required === undefined || required === 0) return false;
  if (key === ACCOUNTS) return context.jobState.checkpoint.revision === required;
  if (key.startsWith(ACTIVE_JOBS))
    return context.jobState.jobs.get(key.slice(ACTIVE_JOBS.length))?.revision === required;
  return (
    key.startsWith(LOG_ENTRIES) &&
    context.jobState.logTail.get(Number(key.slice(LOG_ENTRIES.length)))?.revision === required
  );
};

const NO_PREEMPTIONS: readonly Preemption[] = [];

/** Result of a commit. */
export interface CommitResult {
  /** Preemptions whose loans are durable now: only for these may orders to stop be sent. */
  readonly lendingPreemptions: readonly Preemption[];
  /** Whether some changes did not fit into the transaction and wait for the next cycle. */
  readonly hasBacklog: boolean;
}
const NOTHING_COMMITTED: CommitResult = { lendingPreemptions: NO_PREEMPTIONS, hasBacklog: false };

/** Returns the draft's log entries with sequence numbers and headers; the first header holds the usage rows of the accounts. */
const logEntriesOf = (
  context: CycleContext,
  draft: Draft,
  head: LogEntryHeader,
): Omit<LogEntry, 'revision'>[] =>
  draft.entries.map((jobs, i) => ({
    sequence: context.jobState.lastSequence + 1 + i,
    head: i === 0 ? head : { ...head, at: plus(head.at, i), usage: NO_USAGE },
    jobs,
  }));

/**
 * Returns the condition on the preceding log entry: if the store has lost that entry, the commit fails before another entry
 * is written.
 */
const predecessorCondition = (context: CycleContext): Condition => {
  const predecessor = context.jobState.logTail.get(context.jobState.lastSequence);
  return predecessor
    ? { key: logEntryKey(context.jobState.lastSequence), revision: predecessor.revision }
    : // With an empty log the condition is on the checkpoint. The entry is not deleted before the checkpoint is written anew,
      // so a delayed copy of this transaction can't write a deleted entry again.
      { key: ACCOUNTS, revision: context.jobState.checkpoint.revision };
};

/** Refreshes the view after a failed condition, and suspects a data loss if a required key has disappeared. */
const handleConflict = (context: CycleContext, failed: readonly string[], when: readonly Condition[]) =>
  Effect.gen(function* () {
    const read = yield* Effect.isSuccess(context.watcher.refresh);
    context.registry.needsCycle = true;
    // Without a successful refresh the view is as old as the condition, and a changed key would look like a lost one.
    const lost = read ? failed.find((key) => isUnchanged(context, key, when)) : undefined;
    if (lost !== undefined) context.lossDetector.suspect('key lost', `${lost} is not at its last revision`);
    yield* debug('commit rejected', { term: context.leaderTerm.number, failed: failed.join(',') });
  });

/** Applies committed log entries to the job state and the worker registry. `revision`: null if it is not known. */
const applyEntries = (
  context: CycleContext,
  entries: readonly Omit<LogEntry, 'revision'>[],
  revision: number | null,
) =>
  Effect.gen(function* () {
    for (const entry of entries) {
      recordSamples(context, entry.jobs, entry.head.at);
      // An entry of unknown revision is read by the watcher: a job's state depends on whether the entry or the job's
      // cancellation was committed first.
      if (revision !== null) context.jobState.appendLogEntry({ ...entry, revision });
      else
        while (!context.jobState.logTail.has(entry.sequence) && context.isCurrentTerm())
          yield* Effect.ignore(context.watcher.refresh);
      let started = 0;
      for (const [id, change] of entry.jobs) {
        context.registry.dropDurableExits(id, change.completed ?? [], change.exited ?? []);
        for (const tasks of change.start?.on.values() ?? []) started += tasks.length;
      }
      yield* logCutoffRisks(context, entry.jobs, entry.head.at);
      yield* debug('log entry committed', {
        term: context.leaderTerm.number,
        sequence: entry.sequence,
        jobs: entry.jobs.size,
        started,
      });
    }
  });

/** What a cycle wants to commit: starts, and preemptions for services. All observed exits are committed with them. */
interface Decisions {
  readonly starts: readonly Start[];
  readonly preemptions: readonly Preemption[];
}

/** The state service rejected a draft of this size for good. */
class DraftRejected extends Data.TaggedError('DraftRejected')<{ readonly bytes: number }> {}

/** Drafts the decisions in a transaction of at most `maxBytes`, and commits them. */
const commitDraft = (context: CycleContext, { starts, preemptions }: Decisions, maxBytes: number) =>
  Effect.gen(function* () {
    // Later than the preceding log entry, which another controller may have written: clocks differ, and the durations that
    // the accounts compute from these times must not be negative.
    const entryTime = Math.max(context.dayTime(), context.jobState.lastEntryAt + 1) as Micros;
    const booking = new LogEntryUsage(context, entryTime);
    const risks = cutoffRisksOf(context, entryTime);
    const draft = draftOf(context, starts, preemptions, booking, risks, maxBytes);
    if (draft.entries.length === 0) return NOTHING_COMMITTED;
    const usage = booking.usage();
    const calendar = context.jobState.calendars.current?.version ?? 0;
    const entries = logEntriesOf(context, draft, { at: entryTime, calendar, usage });
    const keys = entries.map((entry) => logEntryKey(entry.sequence));
    const predecessor = predecessorCondition(context);
    const outcome = yield* transactUntilKnown(
      context,
      [
        { key: TERM, revision: context.leaderTerm.revision },
        ...keys.map((key) => ({ key, revision: 0 })),
        predecessor,
        ...draft.conditions,
      ],
      entries.map((entry, i) => ({ set: keys[i]!, value: encodeLogEntry(entry.jobs, entry.head) })),
      keys[0]!,
    ).pipe(Effect.mapError(() => new DraftRejected({ bytes: draft.bytes })));
    if (outcome === null) return NOTHING_COMMITTED;
    if (!outcome.ok) {
      yield* handleConflict(context, outcome.failed, [predecessor, ...draft.conditions]);
      return NOTHING_COMMITTED;
    }
    booking.committed(usage);
    yield* applyEntries(context, entries, outcome.revision);
    if (!draft.complete) context.registry.needsCycle = true;
    for (const loan of draft.endedLoans)
      yield* info('loan ended', { term: context.leaderTerm.number, ...loan });
    return { lendingPreemptions: draft.lendingPreemptions, hasBacklog: !draft.complete };
  });

/** Maximum drafts of one commit: each is half as large as the one that was rejected before it. */
const MAX_DRAFTS = 5;

/**
 * Commits all observed exits, and the starts and loans of a cycle as far as they fit. A transaction that the state service
 * rejects is never sent again as it is: a smaller one takes its place, so that one oversized entry can't end all scheduling.
 */
export const commit = (
  context: CycleContext,
  starts: readonly Start[],
  preemptions: readonly Preemption[] = NO_PREEMPTIONS,
): Effect.Effect<CommitResult> =>
  Effect.gen(function* () {
    let maxBytes = Number.POSITIVE_INFINITY;
    for (let drafts = 0; drafts < MAX_DRAFTS; drafts++) {
      const result = yield* Effect.either(commitDraft(context, { starts, preemptions }, maxBytes));
      if (result._tag === 'Right') return result.right;
      maxBytes = result.left.bytes / 2;
    }
    return NOTHING_COMMITTED;
  });
