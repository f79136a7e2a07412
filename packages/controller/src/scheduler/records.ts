/**
 * The records of a reign: drafting and committing a turn's ends and starts, and the tidying up of what older records
 * and jobs that are over leave behind. Every write is conditional on the term.
 */
import { Effect, Random } from 'effect';
import { debug, info } from '@lilacvalve/base/log';
import type { Micros } from '@lilacvalve/base/micros';
import { checkpointWrites, joinOld, writePage } from '../accounts/upkeep.js';
import { Booking } from '../accounts/booking.js';
import { learn, logSaid, saidOf, tallying, tendCalendar } from '../calendar/duty.js';
import { encodeChange, encodeFinal, encodeJob, encodeRecord } from '../jobs/codec.js';
import { ACCOUNTS, ACTIVE, activeKey, asKnown, finalKey, RECORD, recordKey, TERM } from '../jobs/keys.js';
import { finalState, type Job, type JobChange, type RecordHead } from '../jobs/model.js';
import { endings, type LoanEnd, loansMade } from '../lending/record.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Outcome, Write } from '../state-store/client.js';
import type { Start, Stop } from './model.js';
import type { Turn } from './turn.js';

/**
 * Records to keep before their jobs are folded. Most jobs are over before their first record is the oldest
 * of so many: then only the record is to be deleted, and the job's key is never written again on its account.
 */
const TAIL = 160;
/** Changes in one transaction of upkeep: larger ones would have to wait longer for their part of the budget. */
const UPKEEP_OPS = 8;

/** Ends and starts of one record, within the limits of one transaction. */
interface Draft {
  readonly jobs: Map<string, JobChange>;
  readonly when: Condition[];
  readonly whole: boolean;
  /** Stops whose loans it holds, and loans that it ends or shortens. */
  readonly lent: readonly Stop[];
  readonly ended: readonly LoanEnd[];
}

/** `said`: of cutoffs, by job. */
const draftOf = (
  t: Turn,
  starts: readonly Start[],
  stops: readonly Stop[],
  { spending }: Booking,
  said: ReadonlyMap<string, number>,
): Draft => {
  const lent: Stop[] = [];
  const ended: LoanEnd[] = [];
  const jobs = new Map<string, JobChange>();
  const when: Condition[] = [];
  // The head, and room for what it may say.
  let bytes = 120;
  let whole = true;
  const limit = t.settings.state.valueBytes * 0.85;
  // Beside them stand the term, the record's own key, the one before it, and the incarnation.
  const mostConditions = t.settings.state.txnOps * 4 - 6;
  const put = (id: string, c: JobChange, booked = 0): boolean => {
    const size = JSON.stringify(encodeChange(c)).length + id.length + 6;
    if (bytes + spending.bytes + booked + size > limit) return (whole = false);
    bytes += size;
    jobs.set(id, c);
    return true;
  };
  for (const [id, e] of t.book.ends) {
    const job = t.cache.jobs.get(id);
    // A gang that completed is done as a whole, whatever else its members said.
    const gone = [...e.gone].filter((x) => !e.done.has(x));
    if (!job) continue;
    const done = [...e.done];
    const change: JobChange = { done, gone, failed: gone.filter((x) => e.failed.has(x)) };
    if (!put(id, change, spending.wouldAdd(job, [...done, ...gone]))) continue;
    spending.add(job, done, 'done');
    spending.add(job, gone, 'gone');
  }
  for (const [id, say] of said) put(id, { ...jobs.get(id), said: say });
  // The starts count on the room of every end: with one of these left out, they wait for the next record.
  if (!whole) return { jobs, when, whole, lent, ended };
  // What runs already from before a loss is recorded before anything is started anew.
  for (const s of [...t.book.adoptions(), ...starts]) {
    const { id } = s.job.spec;
    if (jobs.get(id)?.start !== undefined) {
      whole = false;
      continue;
    }
    if (when.length >= mostConditions) {
      whole = false;
      continue;
    }
    if (put(id, { ...jobs.get(id), start: { attempt: s.attempt, on: s.on } })) {
      // Conditional on the job's key: a job withdrawn in this moment, or over by the time, is not started.
      when.push(...asKnown(id, s.job.stamp));
    }
  }
  const started = new Map<string, number>();
  for (const [id, c] of jobs) {
    let n = 0;
    for (const on of c.start?.on.values() ?? []) n += on.length;
    if (n > 0) started.set(id, n);
  }
  for (const { taker, repay, ends } of endings(t.cache.jobs, started, (job) => t.book.unsettled(job)))
    if (put(taker, { ...jobs.get(taker), repay })) ended.push(...ends);
  for (const { taker, lend, taken, stops: of } of loansMade(stops)) {
    if (when.length >= mostConditions) break;
    const id = taker.spec.id;
    if (!put(id, { ...jobs.get(id), lend })) continue;
    // A service that is withdrawn in this moment takes nothing.
    when.push(...asKnown(id, taker.stamp));
    let all = true;
    for (const [lender, n] of taken) {
      const c = jobs.get(lender);
      all &&= put(lender, { ...c, taken: (c?.taken ?? 0) + n });
    }
    if (all) lent.push(...of);
  }
  return { jobs, when, whole, lent, ended };
};

/** An outcome; `revision` null: applied, but at which revision is not known. */
type Settled = Exclude<Outcome, { ok: true }> | { readonly ok: true; readonly revision: number | null };

/**
 * Sends one transaction until its outcome is known or the reign is over. Without right it waits: giving up
 * in between would leave a record that may be applied and that nobody here counts with.
 */
const settle = (
  t: Turn,
  when: readonly Condition[],
  then: readonly Write[],
  probe: string,
  priority = Priority.Commit,
): Effect.Effect<Settled | null> =>
  Effect.gen(function* () {
    let unsure = false;
    for (;;) {
      if (!t.reigning()) return null;
      if (!t.acting()) {
        yield* Effect.sleep(100);
        continue;
      }
      const r = yield* Effect.either(t.store.transact(when, then, priority, 1200));
      if (r._tag === 'Right') {
        // Sent before without an answer, and now its own key stands in the way: the first copy was applied.
        if (!r.right.ok && unsure && r.right.failed.includes(probe) && !r.right.failed.includes(TERM)) {
          return { ok: true, revision: null } as const;
        }
        if (r.right.ok) t.feed.committed(r.right.revision);
        return r.right;
      }
      if (r.left._tag === 'NoAnswer') unsure = true;
      yield* Effect.sleep(60 + 80 * (yield* Random.next));
    }
  });

/** A condition on this key failed, and yet a newer read shows it as it was when the condition was made. */
const stillKnown = (t: Turn, key: string, when: readonly Condition[]): boolean => {
  const wanted = when.find((c) => c.key === key)?.stamp;
  if (wanted === undefined || wanted === 0) return false;
  if (key === ACCOUNTS) return t.cache.checkpoint.stamp === wanted;
  if (key.startsWith(ACTIVE)) return t.cache.jobs.get(key.slice(ACTIVE.length))?.stamp === wanted;
  return key.startsWith(RECORD) && t.cache.tail.get(Number(key.slice(RECORD.length)))?.stamp === wanted;
};

const NONE: readonly Stop[] = [];

/** Answers with those of `stops` whose loans are durable now: only these may be sent. */
export const commit = (t: Turn, starts: readonly Start[], stops: readonly Stop[] = NONE) =>
  Effect.gen(function* () {
    // Never earlier than the record before, whoever wrote that: clocks differ, and what is weighed by them must not shrink.
    const at = Math.max(t.dayTime(), t.cache.lastAt + 1) as Micros;
    const booking = new Booking(t, at);
    const draft = draftOf(t, starts, stops, booking, saidOf(t, at));
    if (draft.jobs.size === 0) return NONE;
    const seq = t.cache.lastSeq + 1;
    const key = recordKey(seq);
    // Each record hangs on the one before it: one that a loss has taken is missed before another is written.
    const before = t.cache.tail.get(seq - 1);
    // Without one it hangs on the checkpoint: it goes with that at the earliest, and a late copy must not bring it back.
    const chain: Condition[] = [
      before
        ? { key: recordKey(seq - 1), stamp: before.stamp }
        : { key: ACCOUNTS, stamp: t.cache.checkpoint.stamp },
    ];
    const calendar = t.cache.calendars.current?.version ?? 0;
    const spent = booking.spent();
    const head: RecordHead = { at, calendar, spent };
    const outcome = yield* settle(
      t,
      [{ key: TERM, stamp: t.reign.stamp }, { key, stamp: 0 }, ...chain, ...draft.when],
      [{ set: key, value: encodeRecord(draft.jobs, head) }],
      key,
    );
    if (outcome === null) return NONE;
    if (!outcome.ok) {
      const read = yield* Effect.isSuccess(t.feed.refresh);
      t.book.dirty = true;
      const { failed } = outcome;
      // Without that read the view is as old as the condition, and a key that somebody has changed looks like a lost one.
      const lost = read ? failed.find((k) => stillKnown(t, k, [...chain, ...draft.when])) : undefined;
      if (lost !== undefined) t.doubt.raise('key lost', `${lost} is not as it was`);
      yield* debug('record refused', { term: t.reign.term, seq, failed: failed.join(',') });
      return NONE;
    }
    booking.committed(spent);
    learn(t, draft.jobs, head.at);
    // Without its revision it comes from the watch: whether it or a withdrawal was first decides what a job is.
    if (outcome.revision !== null)
      t.cache.addRecord({ seq, stamp: outcome.revision, head, jobs: draft.jobs });
    else while (!t.cache.tail.has(seq) && t.reigning()) yield* Effect.ignore(t.feed.refresh);
    let started = 0;
    for (const [id, c] of draft.jobs) {
      t.book.settled(id, c.done ?? [], c.gone ?? []);
      for (const on of c.start?.on.values() ?? []) started += on.length;
    }
    yield* logSaid(t, draft.jobs, head.at);
    if (!draft.whole) t.book.dirty = true;
    yield* debug('record', { term: t.reign.term, seq, jobs: draft.jobs.size, started });
    for (const e of draft.ended) yield* info('loan ended', { term: t.reign.term, ...e });
    return draft.lent;
  });

/** Moves jobs that are over to their final keys. Whoever writes a job's key first, withdrawal or this, wins. */
const finish = (t: Turn) =>
  Effect.gen(function* () {
    const over: Job[] = [];
    for (const job of t.cache.jobs.values()) {
      if (finalState(job) !== null && !t.book.ends.has(job.spec.id)) over.push(job);
      // Two changes each, and a third where a pack lists it.
      const each = t.cache.packOf.size > 0 ? 3 : 2;
      // A tied job's occurrence has a count, which changes too.
      const tied = over.reduce((n, j) => n + (j.spec.tie === null ? 0 : 1), 0);
      if ((over.length + 1) * each + tied > Math.min(t.settings.state.txnOps, each === 3 ? 12 : UPKEEP_OPS))
        break;
    }
    if (over.length === 0) return false;
    const finals = over.map((job) => ({ job, id: job.spec.id, stamp: job.stamp, final: finalState(job)! }));
    const when: Condition[] = [{ key: TERM, stamp: t.reign.stamp }];
    const then: Write[] = [];
    for (const f of finals) {
      when.push({ key: activeKey(f.id), stamp: f.stamp });
      then.push({ delete: activeKey(f.id) }, { set: finalKey(f.id), value: encodeFinal(f.final) });
    }
    const packs = t.cache.unpacking(finals.map((f) => f.id));
    const counts = tallying(t.cache, finals);
    when.push(...packs.when, ...counts.when);
    then.push(...packs.then, ...counts.then);
    const first = finals[0]!;
    const probe = first.stamp > 0 ? activeKey(first.id) : (t.cache.packOf.get(first.id) ?? '');
    const outcome = yield* settle(t, when, then, probe, Priority.Upkeep);
    if (outcome === null) return true;
    // Applied or not, the watch's view decides what became of each job.
    yield* Effect.ignore(t.feed.refresh);
    if (outcome.ok)
      for (const f of finals) {
        yield* info('job over', { job: f.id, status: f.final.status });
        for (const [lender, l] of f.job.loans) {
          const ended = { taker: f.id, lender, gpus: l.gpus / 1000, reason: 'taker over' };
          yield* info('loan ended', { term: t.reign.term, ...ended });
        }
      }
    return true;
  });

/** Shortens the tail: writes the jobs of the oldest records into their own keys, then deletes the records. */
const fold = (t: Turn) =>
  Effect.gen(function* () {
    if (t.cache.tail.size <= (t.settings.state.tail ?? TAIL)) return;
    const upTo = t.cache.lastSeq;
    const ops = t.settings.state.txnOps;
    const { checkpoint, accounts } = t.cache;
    // No record goes whose rows the checkpoint lacks. It is written once in so many records: the next ones can go by it.
    const checked: Condition = { key: ACCOUNTS, stamp: checkpoint.stamp };
    const when: Condition[] = [{ key: TERM, stamp: t.reign.stamp }, checked];
    const then: Write[] = [];
    const jobs = new Set<Job>();
    let bytes = 0;
    const seqs = [...t.cache.tail.keys()].sort((a, b) => a - b).slice(0, -1);
    if (seqs[0]! > checkpoint.upTo) {
      then.push(...checkpointWrites(t, accounts));
      bytes = JSON.stringify(then).length;
    }
    const covered = then.length > 0 ? accounts.upTo : checkpoint.upTo;
    for (const seq of seqs) {
      if (seq > covered) break;
      const more: Job[] = [];
      for (const id of t.cache.tail.get(seq)!.jobs.keys()) {
        const job = t.cache.jobs.get(id);
        if (job && job.folded < seq && !jobs.has(job)) more.push(job);
      }
      if (then.length + more.length + 1 > Math.min(ops, UPKEEP_OPS) && then.length > 0) break;
      const writes: Write[] = more.map((job) => ({
        set: activeKey(job.spec.id),
        // This view has every record up to the withdrawal. One that completes the job while this write is on its way must not
        // look as if it had come first, by the key's new revision: what users were told is cancelled would be done.
        value: encodeJob({ ...job, withdrawnFirst: job.withdrawn }, upTo),
      }));
      const size = JSON.stringify(writes).length;
      if (bytes + size > 48 * 1024 && then.length > 0) break;
      if (then.length + writes.length + 1 > ops) {
        // More jobs than one transaction takes: fold some, the record goes later.
        const some = writes.slice(0, ops);
        then.push(...some);
        for (const job of more.slice(0, ops)) when.push(...asKnown(job.spec.id, job.stamp));
        break;
      }
      bytes += size;
      then.push(...writes, { delete: recordKey(seq) });
      for (const job of more) {
        jobs.add(job);
        when.push(...asKnown(job.spec.id, job.stamp));
      }
    }
    if (then.length === 0) return;
    const outcome = yield* settle(t, when, then, '', Priority.Upkeep);
    if (outcome === null) return;
    const read = yield* Effect.isSuccess(t.feed.refresh);
    if (
      read &&
      !outcome.ok &&
      outcome.failed.includes(ACCOUNTS) &&
      t.cache.checkpoint.stamp === checked.stamp
    )
      t.doubt.raise('key lost', `${ACCOUNTS} is not as it was`);
  });

/** Closes jobs that are over and shortens the tail, beside the turns: these must not wait for its writes. */
export const upkeep = (t: Turn): Effect.Effect<void> =>
  Effect.gen(function* () {
    if (!t.acting()) return;
    yield* tendCalendar(t);
    if (yield* finish(t)) return;
    if (t.acting()) yield* fold(t);
    if (t.acting() && !(yield* writePage(t))) yield* joinOld(t);
  }).pipe(Effect.ignore);
