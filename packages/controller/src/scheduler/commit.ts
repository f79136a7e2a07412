/** Makes a cycle's ends and starts durable, in log entries that one transaction commits. Conditional on the term. */
import { Effect } from 'effect';
import { debug, info } from '@lilacvalve/runtime/log';
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import { Booking } from '../accounts/booking.js';
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

/** A condition on this key failed, and yet a newer read shows it as it was when the condition was made. */
const isUnchanged = (context: CycleContext, key: string, when: readonly Condition[]): boolean => {
  const wanted = when.find((c) => c.key === key)?.stamp;
  if (wanted === undefined || wanted === 0) return false;
  if (key === ACCOUNTS) return context.jobState.checkpoint.revision === wanted;
  if (key.startsWith(ACTIVE_JOBS))
    return context.jobState.jobs.get(key.slice(ACTIVE_JOBS.length))?.revision === wanted;
  return (
    key.startsWith(LOG_ENTRIES) &&
    context.jobState.logTail.get(Number(key.slice(LOG_ENTRIES.length)))?.revision === wanted
  );
};

const NO_STOPS: readonly Preemption[] = [];

export interface CommitResult {
  /** Stops whose loans are durable now: only these may be sent. */
  readonly lendingPreemptions: readonly Preemption[];
  /** Something of what was to be recorded found no room, and waits for the next cycle. */
  readonly hasBacklog: boolean;
}
const NOTHING: CommitResult = { lendingPreemptions: NO_STOPS, hasBacklog: false };

/** The draft's log entries as they follow the last one; the accounts' rows stand in the first one's head. */
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

/** Each log entry hangs on the one before it: one that a loss has taken is missed before another is written. */
const predecessorCondition = (context: CycleContext): Condition => {
  const before = context.jobState.logTail.get(context.jobState.lastSequence);
  return before
    ? { key: logEntryKey(context.jobState.lastSequence), stamp: before.revision }
    : // Without one it hangs on the checkpoint: it goes with that at the earliest, and a late copy must not bring it back.
      { key: ACCOUNTS, stamp: context.jobState.checkpoint.revision };
};

const handleConflict = (context: CycleContext, failed: readonly string[], when: readonly Condition[]) =>
  Effect.gen(function* () {
    const read = yield* Effect.isSuccess(context.watcher.refresh);
    context.registry.needsCycle = true;
    // Without that read the view is as old as the condition, and a key that somebody has changed looks like a lost one.
    const lost = read ? failed.find((k) => isUnchanged(context, k, when)) : undefined;
    if (lost !== undefined) context.lossDetector.suspect('key lost', `${lost} is not as it was`);
    yield* debug('commit rejected', { term: context.leaderTerm.number, failed: failed.join(',') });
  });

/** The log entries are durable: they take effect here. `revision` null: at which revision is not known. */
const applyEntries = (
  context: CycleContext,
  records: readonly Omit<LogEntry, 'revision'>[],
  revision: number | null,
) =>
  Effect.gen(function* () {
    for (const r of records) {
      recordSamples(context, r.jobs, r.head.at);
      // Without its revision it comes from the watch: whether it or a cancellation was first decides what a job is.
      if (revision !== null) context.jobState.appendLogEntry({ ...r, revision });
      else
        while (!context.jobState.logTail.has(r.sequence) && context.isCurrentTerm())
          yield* Effect.ignore(context.watcher.refresh);
      let started = 0;
      for (const [id, c] of r.jobs) {
        context.registry.dropDurableExits(id, c.done ?? [], c.gone ?? []);
        for (const on of c.start?.on.values() ?? []) started += on.length;
      }
      yield* logCutoffRisks(context, r.jobs, r.head.at);
      yield* debug('log entry committed', {
        term: context.leaderTerm.number,
        sequence: r.sequence,
        jobs: r.jobs.size,
        started,
      });
    }
  });

export const commit = (
  context: CycleContext,
  starts: readonly Start[],
  preemptions: readonly Preemption[] = NO_STOPS,
) =>
  Effect.gen(function* () {
    // Never earlier than the log entry before, whoever wrote that: clocks differ, and what is weighed by them must not shrink.
    const at = Math.max(context.dayTime(), context.jobState.lastAt + 1) as Micros;
    const booking = new Booking(context, at);
    const draft = draftOf(context, starts, preemptions, booking, cutoffRisksOf(context, at));
    if (draft.entries.length === 0) return NOTHING;
    const usage = booking.usage();
    const calendar = context.jobState.calendars.current?.version ?? 0;
    const records = logEntriesOf(context, draft, { at, calendar, usage });
    const keys = records.map((r) => logEntryKey(r.sequence));
    const chain = predecessorCondition(context);
    const outcome = yield* transactUntilKnown(
      context,
      [
        { key: TERM, stamp: context.leaderTerm.stamp },
        ...keys.map((key) => ({ key, stamp: 0 })),
        chain,
        ...draft.conditions,
      ],
      records.map((r, i) => ({ set: keys[i]!, value: encodeLogEntry(r.jobs, r.head) })),
      keys[0]!,
    );
    if (outcome === null) return NOTHING;
    if (!outcome.ok) {
      yield* handleConflict(context, outcome.failed, [chain, ...draft.conditions]);
      return NOTHING;
    }
    booking.committed(usage);
    yield* applyEntries(context, records, outcome.revision);
    if (!draft.complete) context.registry.needsCycle = true;
    for (const e of draft.endedLoans) yield* info('loan ended', { term: context.leaderTerm.number, ...e });
    return { lendingPreemptions: draft.lendingPreemptions, hasBacklog: !draft.complete };
  });
