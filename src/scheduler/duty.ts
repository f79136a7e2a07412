/**
 * The leader's cycle: looks at the book, runs the pure cycle, makes starts and ends durable in one record,
 * then lets them take effect. A start is never sent before its record is committed.
 */
import { Effect, Random } from 'effect';
import { debug, info } from '../base/log.js';
import { type Micros, plus, seconds } from '../base/micros.js';
import type { JobCache } from '../jobs/cache.js';
import { encodeChange, encodeFinal, encodeJob, encodeRecord } from '../jobs/codec.js';
import type { Feed } from '../jobs/feed.js';
import { activeKey, finalKey, recordKey, TERM } from '../jobs/keys.js';
import { finalState, isComplete, type Job, type JobChange } from '../jobs/model.js';
import type { Reign } from '../leadership/leadership.js';
import type { Settings } from '../settings/settings.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Outcome, Write } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import { type Book, endsOf } from '../workers/book.js';
import type { FleetNews, MachineType } from '../fleet/model.js';
import { schedule } from './cycle.js';
import type { Companion, CycleResult, Holder, NodeView, QueuedJob, Start } from './model.js';
import { rankOf } from './rank.js';
import { surplusOf } from './surplus.js';

/**
 * Records to keep before their jobs are folded. Most jobs are over before their first record is the oldest
 * of so many: then only the record is to be deleted, and the job's key is never written again on its account.
 */
const TAIL = 160;
/** Changes in one transaction of upkeep: larger ones would have to wait longer for their part of the budget. */
const UPKEEP_OPS = 8;

export interface Turn {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly feed: Feed;
  readonly cache: JobCache;
  readonly book: Book;
  readonly reign: Reign;
  readonly acting: () => boolean;
  /** Not deposed, though perhaps without right for the moment. */
  readonly reigning: () => boolean;
  /** Enough nodes know this term that no older leader can go on. */
  readonly acknowledged: () => boolean;
  readonly types: () => readonly MachineType[];
  /** What the fleet's duty tells the followers. */
  readonly fleet: { news: FleetNews };
  readonly clock: () => Micros;
  /** Time of day: deadlines count from a time of day. */
  readonly dayTime: () => Micros;
  /** What GPU jobs take beside each GPU, by class, as last seen. */
  readonly companions: Map<string, Omit<Companion, 'waiting'> & { readonly seen: Micros }>;
}

export const holdersOf = (t: Turn, at: Micros): Holder[] => {
  const out: Holder[] = [];
  for (const [machine, on] of t.cache.byMachine) {
    const m = t.book.machines.get(machine);
    for (const [key, p] of on) {
      // Seen to be over: the record that says so is the one that fills its room again.
      if (t.book.isEnding(p.job.spec.id, p.task)) continue;
      const leaving =
        p.job.withdrawn ||
        t.book.stopping.has(key) ||
        t.book.isBroken(p.job) ||
        m === undefined ||
        !m.confirmed;
      const run = t.book.running.get(key);
      const since = run ? at - run.since : 0;
      const loss = p.job.spec.checkpoint > 0 ? Math.min(since, p.job.spec.save) : since;
      out.push({ job: p.job, task: p.task, machine, zone: m?.zone ?? null, leaving, loss: loss as Micros });
    }
  }
  return out;
};

export const nodesOf = (t: Turn, at: Micros): NodeView[] => {
  const types = new Map(t.types().map((k) => [k.name, k]));
  const out: NodeView[] = [];
  for (const m of t.book.machines.values()) {
    const k = types.get(m.type);
    if (!k || !m.reported) continue;
    out.push({
      id: m.id,
      type: m.type,
      zone: m.zone,
      spot: m.spot,
      total: [k.cpus, k.gpus, k.memGb],
      images: m.images,
      open: t.book.open(m, at),
    });
  }
  return out;
};

/** The multiples of their deadline by which jobs of a class are wanted, smallest first. */
const multiplesOf = (t: Turn, jobClass: string): readonly number[] => {
  const named = t.settings.objectives
    .filter((o) => o.kind === 'deadline' && o.jobClass === jobClass)
    .map((o) => o.times);
  return named.length === 0 ? [1] : named.sort((a, b) => a - b);
};

/**
 * Nothing is rented for what looks broken, unless a try has been due for so long: there may be no other machine,
 * and a good job that met faulty ones must still get done.
 */
const TRIED_BY_NOW = seconds(45);

/** Jobs with tasks to start, once what the book has seen to end is recorded. */
const queuedOf = (t: Turn, at: Micros): QueuedJob[] => {
  const out: QueuedJob[] = [];
  const day = t.dayTime();
  // What one job's key must be able to hold.
  const most = Math.max(50, Math.floor((t.settings.state.valueBytes * 0.5) / 12));
  for (const job of t.cache.jobs.values()) {
    if (job.withdrawn || isComplete(job) || at < t.book.heldUntil(job, at)) continue;
    const ends = t.book.ends.get(job.spec.id);
    const on = job.placed.size - (ends ? [...job.placed.keys()].filter((i) => endsOf(ends, i)).length : 0);
    const tasks: number[] = [];
    const broken = t.book.looksBroken(job, at);
    const gang = job.spec.shape === 'gang';
    if (gang || broken ? on > 0 : on + job.done.size >= job.spec.tasks) continue;
    // Of what looks broken one task shows as much as all.
    const room = gang ? job.spec.tasks : broken ? 1 : most - job.placed.size;
    for (let i = 0; i < job.spec.tasks && tasks.length < room; i++) {
      if (job.done.has(i) || ends?.done.has(i) || (job.placed.has(i) && !ends?.gone.has(i))) continue;
      tasks.push(i);
    }
    if (tasks.length === 0) continue;
    const rank = rankOf(job, day, multiplesOf(t, job.spec.jobClass), broken);
    const rents = !broken || at - t.book.heldUntil(job, at) > TRIED_BY_NOW;
    out.push({ job, tasks, rank, cautious: broken, rents });
  }
  return out;
};

/**
 * The priority factor of a team with no guarantee whose jobs are of no class with an aim: it comes with idle-time
 * work, and at the same factor as others it would hold half of everything before others that wait.
 */
const PROMISED_NOTHING = 20;

const weightsOf = (t: Turn): Map<string, number> => {
  const weights = new Map<string, number>();
  const named = new Set(t.settings.objectives.map((o) => o.jobClass));
  if (named.size === 0) return weights;
  for (const { guarantee, name } of t.settings.teams)
    weights.set(name, guarantee.cpus > 0 || guarantee.gpus > 0 ? 1 : 1 / PROMISED_NOTHING);
  for (const { spec } of t.cache.jobs.values()) if (named.has(spec.jobClass)) weights.set(spec.team, 1);
  return weights;
};

/** A class of GPU jobs counts for this long after its last job was there: the next one is likely to come. */
const REMEMBERED = 300e6;

const companionsOf = (t: Turn, at: Micros): Companion[] => {
  const waiting = new Set<string>();
  for (const job of t.cache.jobs.values()) {
    const { spec } = job;
    if (spec.gpus === 0) continue;
    if (!job.withdrawn && job.done.size + job.placed.size < spec.tasks) waiting.add(spec.jobClass);
    const slack = spec.deadline === null ? 0 : Math.max(0, spec.deadline - spec.estimate);
    const known = t.companions.get(spec.jobClass);
    t.companions.set(spec.jobClass, {
      urgency: spec.urgency,
      cpusPerGpu: spec.cpus / spec.gpus,
      memPerGpu: spec.memGb / spec.gpus,
      patience: Math.min(known?.patience ?? Number.POSITIVE_INFINITY, slack / 2) as Micros,
      seen: at,
    });
  }
  return [...t.companions]
    .filter(([, c]) => at - c.seen < REMEMBERED)
    .map(([jobClass, c]) => ({ ...c, waiting: waiting.has(jobClass) }));
};

/** Ends and starts of one record, within the limits of one transaction. */
interface Draft {
  readonly jobs: Map<string, JobChange>;
  readonly when: Condition[];
  readonly whole: boolean;
}

const draftOf = (t: Turn, starts: readonly Start[]): Draft => {
  const jobs = new Map<string, JobChange>();
  const when: Condition[] = [];
  let bytes = 2;
  let whole = true;
  const limit = t.settings.state.valueBytes * 0.85;
  const mostConditions = t.settings.state.txnOps * 4 - 4;
  const put = (id: string, c: JobChange): boolean => {
    const size = JSON.stringify(encodeChange(c)).length + id.length + 6;
    if (bytes + size > limit) return (whole = false);
    bytes += size;
    jobs.set(id, c);
    return true;
  };
  for (const [id, e] of t.book.ends) {
    const job = t.cache.jobs.get(id);
    // A gang that completed is done as a whole, whatever else its members said.
    const gone = [...e.gone].filter((x) => !e.done.has(x));
    if (job) put(id, { done: [...e.done], gone, failed: gone.filter((x) => e.failed.has(x)) });
  }
  // The starts count on the room of every end: with one of these left out, they wait for the next record.
  if (!whole) return { jobs, when, whole };
  for (const s of starts) {
    const { id } = s.job.spec;
    if (when.length >= mostConditions) {
      whole = false;
      continue;
    }
    if (put(id, { ...jobs.get(id), start: { attempt: s.attempt, on: s.on } })) {
      // Conditional on the job's key: a job withdrawn in this moment is not started.
      when.push({ key: activeKey(id), stamp: s.job.stamp });
    }
  }
  return { jobs, when, whole };
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
        return r.right;
      }
      if (r.left._tag === 'NoAnswer') unsure = true;
      yield* Effect.sleep(60 + 80 * (yield* Random.next));
    }
  });

const commit = (t: Turn, starts: readonly Start[]) =>
  Effect.gen(function* () {
    const draft = draftOf(t, starts);
    if (draft.jobs.size === 0) return true;
    const seq = t.cache.lastSeq + 1;
    const key = recordKey(seq);
    const outcome = yield* settle(
      t,
      [{ key: TERM, stamp: t.reign.stamp }, { key, stamp: 0 }, ...draft.when],
      [{ set: key, value: encodeRecord(draft.jobs) }],
      key,
    );
    if (outcome === null) return false;
    if (!outcome.ok) {
      yield* Effect.ignore(t.feed.refresh);
      t.book.dirty = true;
      yield* debug('record refused', { term: t.reign.term, seq, failed: outcome.failed.join(',') });
      return false;
    }
    // Without its revision it comes from the watch: whether it or a withdrawal was first decides what a job is.
    if (outcome.revision !== null) t.cache.addRecord({ seq, stamp: outcome.revision, jobs: draft.jobs });
    else while (!t.cache.tail.has(seq) && t.reigning()) yield* Effect.ignore(t.feed.refresh);
    let started = 0;
    for (const [id, c] of draft.jobs) {
      t.book.settled(id, c.done ?? [], c.gone ?? []);
      for (const on of c.start?.on.values() ?? []) started += on.length;
    }
    if (!draft.whole) t.book.dirty = true;
    yield* debug('record', { term: t.reign.term, seq, jobs: draft.jobs.size, started });
    return true;
  });

/** Moves jobs that are over to their final keys. Whoever writes a job's key first, withdrawal or this, wins. */
const finish = (t: Turn) =>
  Effect.gen(function* () {
    const over: Job[] = [];
    for (const job of t.cache.jobs.values()) {
      if (finalState(job) !== null && !t.book.ends.has(job.spec.id)) over.push(job);
      if (over.length * 2 + 2 > Math.min(t.settings.state.txnOps, UPKEEP_OPS)) break;
    }
    if (over.length === 0) return false;
    const finals = over.map((job) => ({ job, id: job.spec.id, stamp: job.stamp, final: finalState(job)! }));
    const when: Condition[] = [{ key: TERM, stamp: t.reign.stamp }];
    const then: Write[] = [];
    for (const f of finals) {
      when.push({ key: activeKey(f.id), stamp: f.stamp });
      then.push({ delete: activeKey(f.id) }, { set: finalKey(f.id), value: encodeFinal(f.final) });
    }
    const outcome = yield* settle(t, when, then, activeKey(finals[0]!.id), Priority.Upkeep);
    if (outcome === null) return true;
    // Applied or not, the watch's view decides what became of each job.
    yield* Effect.ignore(t.feed.refresh);
    if (outcome.ok) for (const f of finals) yield* info('job over', { job: f.id, status: f.final.status });
    return true;
  });

/** Shortens the tail: writes the jobs of the oldest records into their own keys, then deletes the records. */
const fold = (t: Turn) =>
  Effect.gen(function* () {
    if (t.cache.tail.size <= TAIL) return;
    const upTo = t.cache.lastSeq;
    const ops = t.settings.state.txnOps;
    const when: Condition[] = [{ key: TERM, stamp: t.reign.stamp }];
    const then: Write[] = [];
    const jobs = new Set<Job>();
    let bytes = 0;
    const seqs = [...t.cache.tail.keys()].sort((a, b) => a - b).slice(0, -1);
    for (const seq of seqs) {
      const more: Job[] = [];
      for (const id of t.cache.tail.get(seq)!.jobs.keys()) {
        const job = t.cache.jobs.get(id);
        if (job && job.folded < seq && !jobs.has(job)) more.push(job);
      }
      if (then.length + more.length + 1 > Math.min(ops, UPKEEP_OPS) && then.length > 0) break;
      const writes: Write[] = more.map((job) => ({
        set: activeKey(job.spec.id),
        value: encodeJob(job, upTo),
      }));
      const size = JSON.stringify(writes).length;
      if (bytes + size > 48 * 1024 && then.length > 0) break;
      if (then.length + writes.length + 1 > ops) {
        // More jobs than one transaction takes: fold some, the record goes later.
        const some = writes.slice(0, ops);
        then.push(...some);
        for (const job of more.slice(0, ops)) when.push({ key: activeKey(job.spec.id), stamp: job.stamp });
        break;
      }
      bytes += size;
      then.push(...writes, { delete: recordKey(seq) });
      for (const job of more) {
        jobs.add(job);
        when.push({ key: activeKey(job.spec.id), stamp: job.stamp });
      }
    }
    if (then.length === 0) return;
    const outcome = yield* settle(t, when, then, '', Priority.Upkeep);
    if (outcome !== null) yield* Effect.ignore(t.feed.refresh);
  });

export interface CycleView {
  result: CycleResult | null;
  /** Machines beyond need, see surplus.ts. */
  surplus: ReadonlySet<string>;
  companions: readonly Companion[];
  /** How long the last turn computed. */
  cost: number;
}

/** The state of the cluster in one line, however many machines there are. */
export const summary = (t: Turn, view: CycleView): Record<string, string | number> => {
  const rows = new Map<string, { up: number; coming: number; empty: number }>();
  for (const m of t.book.machines.values()) {
    const kind = `${m.type}${m.spot ? '-spot' : ''}`;
    let r = rows.get(kind);
    if (!r) rows.set(kind, (r = { up: 0, coming: 0, empty: 0 }));
    if (!m.reported) r.coming++;
    else {
      r.up++;
      if (!t.cache.byMachine.has(m.id)) r.empty++;
    }
  }
  const classes = new Map<string, { on: number; waiting: number; jobs: number }>();
  for (const job of t.cache.jobs.values()) {
    let c = classes.get(job.spec.jobClass);
    if (!c) classes.set(job.spec.jobClass, (c = { on: 0, waiting: 0, jobs: 0 }));
    const waiting = job.withdrawn ? 0 : job.spec.tasks - job.done.size - job.placed.size;
    c.on += job.placed.size;
    c.waiting += waiting;
    if (waiting > 0) c.jobs++;
  }
  return {
    machines: [...rows].map(([k, r]) => `${k}:${r.up}+${r.coming}/${r.empty}`).join(','),
    tasks: [...classes].map(([k, c]) => `${k}:${c.on}+${c.waiting}/${c.jobs}`).join(','),
    stopping: t.book.stopping.size,
    turnMs: Math.round(view.cost / 1000),
  };
};

/** One turn: the cycle on what is left once the ends seen so far are recorded, and one record for both. */
export const turn = (t: Turn, view: CycleView) =>
  Effect.gen(function* () {
    const at = t.clock();
    for (const machine of t.book.lapse(at, t.acknowledged()))
      yield* info('lease lapsed', { term: t.reign.term, machine });
    for (const job of t.book.suspects(at)) yield* info('job looks broken', { term: t.reign.term, job });
    for (const { machine, faulty } of t.book.judge(at))
      yield* info(faulty ? 'machine blamed' : 'blame taken back', { term: t.reign.term, machine });
    t.book.dirty = false;
    t.book.recalls(at);
    for (const job of t.cache.jobs.values()) {
      if (job.placed.size > 0 && (job.withdrawn || t.book.isBroken(job))) t.book.clearAway(job);
    }
    const began = t.clock();
    const queued = queuedOf(t, at);
    const nodes = nodesOf(t, at);
    const holders = holdersOf(t, at);
    view.surplus = surplusOf(nodes, holders, queued);
    view.companions = companionsOf(t, at);
    const result = schedule({
      now: at,
      teams: t.settings.teams,
      weights: weightsOf(t),
      claims: view.result?.claims ?? new Map(),
      nodes,
      holders,
      queued,
      companions: view.companions,
      surplus: view.surplus,
      avoid: (job) => t.book.avoid(job),
    });
    view.result = result;
    view.cost = t.clock() - began;
    for (const s of result.stops) {
      const spec = s.job.spec;
      t.book.stop(s.job, s.task, spec.checkpoint > 0 ? plus(spec.save, seconds(2)) : (0 as Micros), at);
    }
    if (result.stops.length > 0)
      yield* info('stops for others', { term: t.reign.term, tasks: result.stops.length });
    yield* commit(t, result.starts);
  });

/** Closes jobs that are over and shortens the tail, beside the turns: these must not wait for its writes. */
export const upkeep = (t: Turn): Effect.Effect<void> =>
  Effect.gen(function* () {
    if (!t.acting()) return;
    if (yield* finish(t)) return;
    if (t.acting()) yield* fold(t);
  });
