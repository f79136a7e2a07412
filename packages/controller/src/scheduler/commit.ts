/** Makes a cycle's ends and starts durable, in log entries that one transaction commits. Conditional on the term. */
import { Effect } from 'effect';
import { debug, info } from '@lilacvalve/runtime/log';
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import { Booking } from '../accounts/booking.js';
import { NOTHING_SPENT } from '../accounts/model.js';
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
const isUnchanged = (t: CycleContext, key: string, when: readonly Condition[]): boolean => {
  const wanted = when.find((c) => c.key === key)?.stamp;
  if (wanted === undefined || wanted === 0) return false;
  if (key === ACCOUNTS) return t.jobState.checkpoint.stamp === wanted;
  if (key.startsWith(ACTIVE_JOBS))
    return t.jobState.jobs.get(key.slice(ACTIVE_JOBS.length))?.revision === wanted;
  return (
    key.startsWith(LOG_ENTRIES) &&
    t.jobState.logTail.get(Number(key.slice(LOG_ENTRIES.length)))?.revision === wanted
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
const logEntriesOf = (t: CycleContext, draft: Draft, head: LogEntryHeader): Omit<LogEntry, 'revision'>[] =>
  draft.entries.map((jobs, i) => ({
    sequence: t.jobState.lastSequence + 1 + i,
    head: i === 0 ? head : { ...head, at: plus(head.at, i), spent: NOTHING_SPENT },
    jobs,
  }));

/** Each log entry hangs on the one before it: one that a loss has taken is missed before another is written. */
const predecessorCondition = (t: CycleContext): Condition => {
  const before = t.jobState.logTail.get(t.jobState.lastSequence);
  return before
    ? { key: logEntryKey(t.jobState.lastSequence), stamp: before.revision }
    : // Without one it hangs on the checkpoint: it goes with that at the earliest, and a late copy must not bring it back.
      { key: ACCOUNTS, stamp: t.jobState.checkpoint.stamp };
};

const handleConflict = (t: CycleContext, failed: readonly string[], when: readonly Condition[]) =>
  Effect.gen(function* () {
    const read = yield* Effect.isSuccess(t.watcher.refresh);
    t.registry.needsCycle = true;
    // Without that read the view is as old as the condition, and a key that somebody has changed looks like a lost one.
    const lost = read ? failed.find((k) => isUnchanged(t, k, when)) : undefined;
    if (lost !== undefined) t.lossDetector.suspect('key lost', `${lost} is not as it was`);
    yield* debug('commit rejected', { term: t.leaderTerm.number, failed: failed.join(',') });
  });

/** The log entries are durable: they take effect here. `revision` null: at which revision is not known. */
const applyEntries = (
  t: CycleContext,
  records: readonly Omit<LogEntry, 'revision'>[],
  revision: number | null,
) =>
  Effect.gen(function* () {
    for (const r of records) {
      recordSamples(t, r.jobs, r.head.at);
      // Without its revision it comes from the watch: whether it or a cancellation was first decides what a job is.
      if (revision !== null) t.jobState.appendLogEntry({ ...r, revision });
      else
        while (!t.jobState.logTail.has(r.sequence) && t.isCurrentTerm())
          yield* Effect.ignore(t.watcher.refresh);
      let started = 0;
      for (const [id, c] of r.jobs) {
        t.registry.dropDurableExits(id, c.done ?? [], c.gone ?? []);
        for (const on of c.start?.on.values() ?? []) started += on.length;
      }
      yield* logCutoffRisks(t, r.jobs, r.head.at);
      yield* debug('log entry committed', {
        term: t.leaderTerm.number,
        sequence: r.sequence,
        jobs: r.jobs.size,
        started,
      });
    }
  });

export const commit = (
  t: CycleContext,
  starts: readonly Start[],
  preemptions: readonly Preemption[] = NO_STOPS,
) =>
  Effect.gen(function* () {
    // Never earlier than the log entry before, whoever wrote that: clocks differ, and what is weighed by them must not shrink.
    const at = Math.max(t.dayTime(), t.jobState.lastAt + 1) as Micros;
    const booking = new Booking(t, at);
    const draft = draftOf(t, starts, preemptions, booking, cutoffRisksOf(t, at));
    if (draft.entries.length === 0) return NOTHING;
    const spent = booking.spent();
    const calendar = t.jobState.calendars.current?.version ?? 0;
    const records = logEntriesOf(t, draft, { at, calendar, spent });
    const keys = records.map((r) => logEntryKey(r.sequence));
    const chain = predecessorCondition(t);
    const outcome = yield* transactUntilKnown(
      t,
      [
        { key: TERM, stamp: t.leaderTerm.stamp },
        ...keys.map((key) => ({ key, stamp: 0 })),
        chain,
        ...draft.conditions,
      ],
      records.map((r, i) => ({ set: keys[i]!, value: encodeLogEntry(r.jobs, r.head) })),
      keys[0]!,
    );
    if (outcome === null) return NOTHING;
    if (!outcome.ok) {
      yield* handleConflict(t, outcome.failed, [chain, ...draft.conditions]);
      return NOTHING;
    }
    booking.committed(spent);
    yield* applyEntries(t, records, outcome.revision);
    if (!draft.complete) t.registry.needsCycle = true;
    for (const e of draft.endedLoans) yield* info('loan ended', { term: t.leaderTerm.number, ...e });
    return { lendingPreemptions: draft.lendingPreemptions, hasBacklog: !draft.complete };
  });
