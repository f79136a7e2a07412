/** Makes a turn's ends and starts durable, in records that one transaction commits. Conditional on the term. */
import { Effect } from 'effect';
import { debug, info } from '@lilacvalve/runtime/log';
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import { Booking } from '../accounts/booking.js';
import { NOTHING_SPENT } from '../accounts/model.js';
import { learn, logSaid, saidOf } from '../calendar/duty.js';
import { encodeRecord } from '../jobs/codec.js';
import { ACCOUNTS, ACTIVE, RECORD, recordKey, TERM } from '../jobs/keys.js';
import type { CycleRecord, RecordHead } from '../jobs/model.js';
import type { Condition } from '../state-store/client.js';
import { type Draft, draftOf } from './draft.js';
import type { Start, Stop } from './model.js';
import { settle } from './settle.js';
import type { CycleContext } from './cycle-context.js';

/** A condition on this key failed, and yet a newer read shows it as it was when the condition was made. */
const stillKnown = (t: CycleContext, key: string, when: readonly Condition[]): boolean => {
  const wanted = when.find((c) => c.key === key)?.stamp;
  if (wanted === undefined || wanted === 0) return false;
  if (key === ACCOUNTS) return t.jobState.checkpoint.stamp === wanted;
  if (key.startsWith(ACTIVE)) return t.jobState.jobs.get(key.slice(ACTIVE.length))?.stamp === wanted;
  return key.startsWith(RECORD) && t.jobState.tail.get(Number(key.slice(RECORD.length)))?.stamp === wanted;
};

const NO_STOPS: readonly Stop[] = [];

export interface Committed {
  /** Stops whose loans are durable now: only these may be sent. */
  readonly lent: readonly Stop[];
  /** Something of what was to be recorded found no room, and waits for the next turn. */
  readonly behind: boolean;
}
const NOTHING: Committed = { lent: NO_STOPS, behind: false };

/** The draft's records as they follow the last one; the accounts' rows stand in the first one's head. */
const recordsOf = (t: CycleContext, draft: Draft, head: RecordHead): Omit<CycleRecord, 'stamp'>[] =>
  draft.records.map((jobs, i) => ({
    seq: t.jobState.lastSeq + 1 + i,
    head: i === 0 ? head : { ...head, at: plus(head.at, i), spent: NOTHING_SPENT },
    jobs,
  }));

/** Each record hangs on the one before it: one that a loss has taken is missed before another is written. */
const chainOf = (t: CycleContext): Condition => {
  const before = t.jobState.tail.get(t.jobState.lastSeq);
  return before
    ? { key: recordKey(t.jobState.lastSeq), stamp: before.stamp }
    : // Without one it hangs on the checkpoint: it goes with that at the earliest, and a late copy must not bring it back.
      { key: ACCOUNTS, stamp: t.jobState.checkpoint.stamp };
};

const refused = (t: CycleContext, failed: readonly string[], when: readonly Condition[]) =>
  Effect.gen(function* () {
    const read = yield* Effect.isSuccess(t.watcher.refresh);
    t.registry.dirty = true;
    // Without that read the view is as old as the condition, and a key that somebody has changed looks like a lost one.
    const lost = read ? failed.find((k) => stillKnown(t, k, when)) : undefined;
    if (lost !== undefined) t.lossDetector.suspect('key lost', `${lost} is not as it was`);
    yield* debug('record refused', { term: t.leaderTerm.number, failed: failed.join(',') });
  });

/** The records are durable: they take effect here. `revision` null: at which revision is not known. */
const takeIn = (t: CycleContext, records: readonly Omit<CycleRecord, 'stamp'>[], revision: number | null) =>
  Effect.gen(function* () {
    for (const r of records) {
      learn(t, r.jobs, r.head.at);
      // Without its revision it comes from the watch: whether it or a withdrawal was first decides what a job is.
      if (revision !== null) t.jobState.addRecord({ ...r, stamp: revision });
      else while (!t.jobState.tail.has(r.seq) && t.isCurrentTerm()) yield* Effect.ignore(t.watcher.refresh);
      let started = 0;
      for (const [id, c] of r.jobs) {
        t.registry.settled(id, c.done ?? [], c.gone ?? []);
        for (const on of c.start?.on.values() ?? []) started += on.length;
      }
      yield* logSaid(t, r.jobs, r.head.at);
      yield* debug('record', { term: t.leaderTerm.number, seq: r.seq, jobs: r.jobs.size, started });
    }
  });

export const commit = (t: CycleContext, starts: readonly Start[], stops: readonly Stop[] = NO_STOPS) =>
  Effect.gen(function* () {
    // Never earlier than the record before, whoever wrote that: clocks differ, and what is weighed by them must not shrink.
    const at = Math.max(t.dayTime(), t.jobState.lastAt + 1) as Micros;
    const booking = new Booking(t, at);
    const draft = draftOf(t, starts, stops, booking, saidOf(t, at));
    if (draft.records.length === 0) return NOTHING;
    const spent = booking.spent();
    const calendar = t.jobState.calendars.current?.version ?? 0;
    const records = recordsOf(t, draft, { at, calendar, spent });
    const keys = records.map((r) => recordKey(r.seq));
    const chain = chainOf(t);
    const outcome = yield* settle(
      t,
      [
        { key: TERM, stamp: t.leaderTerm.stamp },
        ...keys.map((key) => ({ key, stamp: 0 })),
        chain,
        ...draft.when,
      ],
      records.map((r, i) => ({ set: keys[i]!, value: encodeRecord(r.jobs, r.head) })),
      keys[0]!,
    );
    if (outcome === null) return NOTHING;
    if (!outcome.ok) {
      yield* refused(t, outcome.failed, [chain, ...draft.when]);
      return NOTHING;
    }
    booking.committed(spent);
    yield* takeIn(t, records, outcome.revision);
    if (!draft.whole) t.registry.dirty = true;
    for (const e of draft.ended) yield* info('loan ended', { term: t.leaderTerm.number, ...e });
    return { lent: draft.lent, behind: !draft.whole };
  });
