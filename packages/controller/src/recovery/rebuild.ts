/**
 * The leader's part in a rebuild: gathers what every controller remembers, joins it, makes it durable, and tells when
 * nothing is missing any more. Each step can be begun again by another node: what is written is written under conditions,
 * and a view is forgotten only once its content is durable.
 */
import { info } from '@lilacvalve/runtime/log';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { Effect, Random } from 'effect';
import { encodeAccounts } from '../accounts/codec.js';
import { joinAccounts } from '../accounts/fold.js';
import type { DataLossDetector } from './data-loss-detector.js';
import type { JobState, RebuildStatus } from '../jobs/job-state.js';
import {
  decodeFinalStates,
  encodeFinalState,
  encodeJob,
  encodeFinalStates,
  encodeBundle,
} from '../jobs/codec.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import {
  accountsKey,
  activeJobKey,
  jobUnchanged,
  QUIESCENT,
  FINAL_STATES,
  finalStateKey,
  FINAL_STATE_PAGES,
  FINAL_STATE_PARTS,
  finalStatePageKey,
  JOB_BUNDLES,
  REBUILD,
  LOG_ENTRIES,
  RECOVERED,
  TERM,
  orphanedJobKey,
} from '../jobs/keys.js';
import type { FinalState, Job } from '../jobs/model.js';
import type { LeadershipTerm } from '../leadership/leadership.js';
import type { Peer, Settings } from '../settings/settings.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, StateFailure, Write } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import type { Remembered } from '../calendar/calendars.js';
import { calendarWriteSteps, joinCalendars } from './calendar-recovery.js';
import { encodeDurable, type ViewHeader, type ViewResponse } from './codec.js';
import { digestOf } from './digest.js';
import { fetchView, DURABLE_PATH, type ViewPort } from './view-exchange.js';
import { type JobVersion, mergeVersions } from './merge.js';
import { addFinals, type RebuildPlan, planRebuild } from './rebuild-plan.js';
import { versionsByJob, type PreLossViews } from './pre-loss-views.js';
import type { EvidenceStore } from './evidence-store.js';

/** How long controllers that do not answer are waited for before the first writing. */
const GATHER_FOR = seconds(3);
const ASK_AGAIN_MS = 400;
/** A pack is written anew when one of its jobs is over: small enough that several fit into one transaction. */
const PACK_BYTES = 8 * 1024;
const PACK_JOBS = 24;
const OVER_COUNT = 300;
/** Final states written by keys of their own in one transaction, each with two changes and perhaps a pack's. */
const CLOSE_COUNT = 6;
/** Conditions that every transaction carries: the term and the incarnation. */
const FIXED = 2;

export interface RebuildContext {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  readonly preLossViews: PreLossViews;
  readonly evidenceStore: EvidenceStore;
  readonly viewPort: ViewPort;
  readonly leaderTerm: LeadershipTerm;
  readonly isCurrentTerm: () => boolean;
  readonly mayAct: () => boolean;
  readonly clock: () => Micros;
}

/** What has been gathered in this reign. */
export class GatheredViews {
  readonly heard = new Set<string>();
  /** Relics by holder, to be told to when their content is durable. */
  readonly headers = new Map<string, readonly ViewHeader[]>();
  private readonly versions: JobVersion[] = [];
  private readonly finals = new Map<string, FinalState>();
  private calendar: Remembered | null = null;

  add(label: string, t: ViewResponse): void {
    this.heard.add(label);
    this.headers.set(label, t.headers);
    this.versions.push(...t.versions);
    addFinals(this.finals, t.finals);
    if (t.calendar !== null)
      this.calendar = this.calendar === null ? t.calendar : joinCalendars(this.calendar, t.calendar);
  }

  /** What is remembered of the calendar, this node's own included. */
  joinedCalendar(own: Pick<RebuildContext, 'jobState'>): Remembered {
    const mine = own.jobState.calendars.remembered();
    return this.calendar === null ? mine : joinCalendars(mine, this.calendar);
  }

  /** All versions, this node's own included, by job. */
  versionsByJob(own: Pick<RebuildContext, 'preLossViews' | 'evidenceStore'>): Map<string, JobVersion[]> {
    return versionsByJob(own.preLossViews.all, [...own.evidenceStore.versions(), ...this.versions]);
  }

  finalStates(own: Pick<RebuildContext, 'jobState' | 'evidenceStore'>): Map<string, FinalState> {
    const out = new Map(this.finals);
    addFinals(out, own.jobState.finalStates.entries());
    addFinals(out, own.evidenceStore.finals());
    return out;
  }

  /** Their content is durable. */
  clear(): void {
    this.versions.length = 0;
    this.finals.clear();
    this.calendar = null;
    this.headers.clear();
  }
}

/** Asks those of `peers` that have not been heard; whoever does not answer is asked again another time. */
export const gatherViews = (
  r: RebuildContext,
  g: GatheredViews,
  peers: readonly Peer[],
): Effect.Effect<void> =>
  Effect.suspend(() => {
    const incarnation = r.lossDetector.incarnation?.id;
    if (incarnation === undefined || peers.length === 0) return Effect.void;
    const merged: Job[] = [...g.versionsByJob(r).values()].map((list) => mergeVersions(list));
    const mine = digestOf(merged, g.finalStates(r));
    return Effect.forEach(
      peers,
      (p) =>
        fetchView(r.viewPort, p, incarnation, mine).pipe(
          Effect.map((t) => g.add(p.label, t)),
          Effect.ignore,
        ),
      { concurrency: 'unbounded', discard: true },
    );
  });

/** One transaction of the writing. */
interface WriteStep {
  readonly when: readonly Condition[];
  readonly then: readonly Write[];
}

/** Groups of at most `count` items whose JSON is at most `bytes` long together. */
const groupBySize = <A>(
  items: readonly A[],
  count: number,
  bytes: number,
  encode: (a: A) => unknown,
): A[][] => {
  const out: A[][] = [];
  let size = 0;
  for (const item of items) {
    const n = JSON.stringify(encode(item)).length + 24;
    const last = out[out.length - 1];
    if (last === undefined || last.length >= count || size + n > bytes) {
      out.push([item]);
      size = n;
    } else {
      last.push(item);
      size += n;
    }
  }
  return out;
};

/** `run`: names this pass's packs and pages. `quiet`: nobody else can be writing these jobs yet. */
const writeSteps = (
  r: RebuildContext,
  plan: RebuildPlan,
  run: string,
  seq: number,
  quiet: boolean,
): WriteStep[] => {
  const bytes = Math.min(PACK_BYTES, r.settings.state.valueBytes * 0.8);
  const { txnOps } = r.settings.state;
  const packed = Math.max(1, Math.min(PACK_JOBS, Math.floor((txnOps * 4 - FIXED - 1) / 2)));
  const closed = Math.max(1, Math.min(CLOSE_COUNT, Math.floor(txnOps / 3)));
  const steps: WriteStep[] = [];
  for (const { job, stamp } of plan.differing) {
    const key = activeJobKey(job.spec.id);
    steps.push({ when: jobUnchanged(job.spec.id, stamp), then: [{ set: key, value: encodeJob(job, seq) }] });
  }
  // One that a user may be cancelling as a ward: a late cancellation must find its key, since a pack would not stop it.
  const isWard = (j: Job): boolean => r.jobState.orphanedJobs.has(j.spec.id);
  for (const job of plan.missing.filter(isWard)) {
    const { id } = job.spec;
    const then: Write[] = [
      { set: activeJobKey(id), value: encodeJob(job, seq) },
      { delete: orphanedJobKey(id) },
    ];
    steps.push({ when: jobUnchanged(id, 0), then });
  }
  const packable = plan.missing.filter((j) => !isWard(j));
  groupBySize(packable, packed, bytes, (j) => encodeJob(j, seq)).forEach((jobs, n) => {
    const key = `${JOB_BUNDLES}${run}-${String(n).padStart(6, '0')}`;
    const free = jobs.flatMap((j) => [
      { key: activeJobKey(j.spec.id), stamp: 0 },
      { key: finalStateKey(j.spec.id), stamp: 0 },
    ]);
    steps.push({ when: [{ key, stamp: 0 }, ...free], then: [{ set: key, value: encodeBundle(jobs) }] });
  });
  for (let i = 0; i < plan.close.length; i += closed) {
    const part = plan.close.slice(i, i + closed);
    const packs = r.jobState.removalFromBundles(part.map((c) => c.id));
    steps.push({
      when: [...part.map((c) => ({ key: activeJobKey(c.id), stamp: c.stamp })), ...packs.when],
      then: [
        ...part.flatMap((c): Write[] => [
          { delete: activeJobKey(c.id) },
          { set: finalStateKey(c.id), value: encodeFinalState(c.final) },
        ]),
        ...packs.then,
      ],
    });
  }
  if (quiet)
    groupBySize(plan.finals, OVER_COUNT, bytes, ([id]) => id).forEach((list, n) => {
      const key = finalStatePageKey(run, list[list.length - 1]![0]);
      const first: Write[] = n === 0 ? [{ set: FINAL_STATE_PARTS + run, value: 1 }] : [];
      steps.push({
        when: [{ key, stamp: 0 }],
        then: [...first, { set: key, value: encodeFinalStates(list) }],
      });
    });
  else
    for (let i = 0; i < plan.finals.length; i += closed) {
      const part = plan.finals.slice(i, i + closed);
      steps.push({
        when: part.flatMap(([id]) => [
          { key: activeJobKey(id), stamp: 0 },
          { key: finalStateKey(id), stamp: 0 },
        ]),
        then: part.map(([id, f]) => ({ set: finalStateKey(id), value: encodeFinalState(f) })),
      });
    }
  return steps;
};

/** true: applied. false: a condition failed, or the reign is over. */
const applyStep = (r: RebuildContext, step: WriteStep): Effect.Effect<boolean> =>
  Effect.gen(function* () {
    const when = [{ key: TERM, stamp: r.leaderTerm.stamp }, ...step.when];
    for (;;) {
      if (!r.isCurrentTerm()) return false;
      if (!r.mayAct()) {
        yield* Effect.sleep(100);
        continue;
      }
      const o = yield* Effect.either(r.store.transact(when, step.then, Priority.Commit, 1500));
      if (o._tag === 'Right') return o.right.ok;
      yield* Effect.sleep(60 + 80 * (yield* Random.next));
    }
  });

/** Final states that are durable, with the page keys' content. */
const durableFinals = (watcher: StoreWatcher): Effect.Effect<Set<string>, StateFailure> =>
  Effect.gen(function* () {
    const out = new Set<string>();
    for (const e of (yield* watcher.listAll(FINAL_STATES)).entries) out.add(e.key.slice(FINAL_STATES.length));
    for (const e of (yield* watcher.listAll(FINAL_STATE_PAGES)).entries)
      for (const [id] of decodeFinalStates(e.value)) out.add(id);
    return out;
  });

let runs = 0;

/** Makes durable what has been gathered. true: all of it is. `quiet`: see `stepsOf`. */
export const writeBack = (
  r: RebuildContext,
  g: GatheredViews,
  quiet: boolean,
): Effect.Effect<boolean, StateFailure> =>
  Effect.gen(function* () {
    for (let pass = 0; pass < 20 && r.isCurrentTerm(); pass++) {
      yield* r.watcher.refresh;
      const finals = g.finalStates(r);
      const durable = yield* durableFinals(r.watcher);
      const headers = [...r.preLossViews.all, ...[...g.headers.values()].flat()];
      // Beside others' records a job may include those that are known by now only.
      const seq = quiet
        ? Math.max(r.jobState.lastSequence, ...headers.map((h) => h.lastSeq))
        : r.jobState.lastSequence;
      const plan = planRebuild(
        {
          jobs: r.jobState.jobs,
          damaged: (id) => r.jobState.damaged.get(activeJobKey(id)),
          hasFinal: (id) => durable.has(id),
          // What is left after a loss may be of any time; what has gone on since a rebuild is the latest.
          generation: quiet ? -1 : Number.MAX_SAFE_INTEGER,
          revision: -1,
        },
        g.versionsByJob(r),
        finals,
        seq,
      );
      const run = `${r.leaderTerm.number}-${++runs}`;
      // A record that can't be read: what is known of it comes from the views.
      const unreadable = [...r.jobState.damaged].filter(([key]) => key.startsWith(LOG_ENTRIES));
      const steps = [
        ...calendarWriteSteps(
          r.jobState.calendars,
          g.joinedCalendar(r),
          r.settings.state.valueBytes,
          r.jobState.damaged,
        ),
        ...writeSteps(r, plan, run, seq, quiet),
        ...unreadable.map(([key, stamp]): WriteStep => ({ when: [{ key, stamp }], then: [{ delete: key }] })),
      ];
      if (steps.length === 0) return true;
      yield* info('rebuild writes', {
        term: r.leaderTerm.number,
        missing: plan.missing.length,
        differing: plan.differing.length,
        over: plan.finals.length + plan.close.length,
        changes: steps.reduce((n, s) => n + s.then.length, 0),
      });
      for (const s of steps) {
        yield* applyStep(r, s);
        if (!r.isCurrentTerm()) return false;
      }
    }
    return false;
  });

/** Says how far the rebuild has come; `more`: said with it. false: somebody else has said something meanwhile. */
const recordPhase = (
  r: RebuildContext,
  g: GatheredViews,
  phase: 'write' | 'wait',
  more: readonly Write[],
): Effect.Effect<boolean> =>
  Effect.suspend(() => {
    const there = r.jobState.rebuild;
    // Gone: an earlier copy of this was carried out. Said anew under "not there", a late one would hold for good.
    if (there === null) return Effect.succeed(true);
    const all = r.settings.peers.every((p) => g.heard.has(p.label));
    const value: Omit<RebuildStatus, 'revision'> = { phase, heard: [...g.heard].sort() };
    const then: Write[] = [phase === 'wait' && all ? { delete: REBUILD } : { set: REBUILD, value }, ...more];
    return Effect.zipLeft(
      applyStep(r, { when: [{ key: REBUILD, stamp: there.revision }], then }),
      Effect.ignore(r.watcher.refresh),
    );
  });

/** Tells the holders of what has been gathered that it is durable, and forgets it here. */
const releaseViews = (r: RebuildContext, g: GatheredViews): Effect.Effect<void> =>
  Effect.suspend(() => {
    const told = [...g.headers].flatMap(([label, headers]) => {
      const peer = r.settings.peers.find((p) => p.label === label);
      return peer && headers.length > 0 ? [{ peer, ids: headers.map((h) => h.id) }] : [];
    });
    r.preLossViews.drop(r.preLossViews.all.map((x) => x.id));
    r.evidenceStore.clear();
    g.clear();
    return Effect.forEach(
      told,
      // Who does not hear it says so in its beats, and is asked again: joining twice changes nothing.
      ({ peer, ids }) => Effect.ignore(r.viewPort.ask(peer, DURABLE_PATH, encodeDurable(ids))),
      { concurrency: 'unbounded', discard: true },
    );
  });

/**
 * Whether nothing can have been started that the gathered views do not know of: the process that led the highest term,
 * without a gap until the loss, is among them.
 */
const includesLastLeader = (r: RebuildContext, g: GatheredViews): boolean => {
  const headers = [...r.preLossViews.all, ...[...g.headers.values()].flat()];
  const last = Math.max(...headers.map((h) => h.term));
  // Who led a store that had lost its data already, before anybody told it, has the highest term and knows the least.
  const seq = Math.max(...headers.map((h) => h.lastSeq));
  return headers.some((h) => h.ledTerm !== null && h.ledTerm === last && h.lastSeq === seq);
};

/** The accounts as the latest view has them (docs/accounts.md). */
const accountWrites = (r: RebuildContext, g: GatheredViews, whole: boolean): Write[] => {
  const headers = [...r.preLossViews.all, ...[...g.headers.values()].flat()];
  const views = [r.jobState.accounts, ...headers.map((h) => h.accounts)];
  const seq = Math.max(r.jobState.lastSequence, ...headers.map((h) => h.lastSeq));
  const joined = joinAccounts(views, r.jobState.incarnation?.generation ?? 0, seq, whole);
  return encodeAccounts(joined, r.settings.state.valueBytes * 0.9).map((value, n) => ({
    set: accountsKey(n),
    value,
  }));
};

/** The first part: until all that the reachable controllers remember is durable. */
export const rebuild = (r: RebuildContext, g: GatheredViews): Effect.Effect<void> =>
  Effect.gen(function* () {
    const began = r.clock();
    g.heard.add(r.settings.label);
    yield* info('rebuild begins', {
      term: r.leaderTerm.number,
      relics: r.preLossViews.all.length,
      jobs: r.jobState.jobs.size,
    });
    for (;;) {
      yield* gatherViews(
        r,
        g,
        r.settings.peers.filter((p) => !g.heard.has(p.label)),
      );
      if (!r.isCurrentTerm()) return;
      if (g.heard.size > r.settings.peers.length || r.clock() - began >= GATHER_FOR) break;
      yield* Effect.sleep(ASK_AGAIN_MS);
    }
    const whole = includesLastLeader(r, g);
    yield* recordPhase(r, g, 'write', []);
    while (r.isCurrentTerm()) {
      const written = yield* writeBack(r, g, true).pipe(Effect.orElseSucceed(() => false));
      if (!written) {
        yield* Effect.sleep(ASK_AGAIN_MS);
        continue;
      }
      const calm: Write[] = whole ? [{ set: QUIESCENT, value: r.lossDetector.incarnation?.id ?? '' }] : [];
      if (!(yield* recordPhase(r, g, 'wait', [...calm, ...accountWrites(r, g, whole)]))) continue;
      const missing = r.settings.peers.filter((p) => !g.heard.has(p.label)).map((p) => p.label);
      yield* info('rebuild durable', {
        term: r.leaderTerm.number,
        jobs: r.jobState.jobs.size,
        ms: Math.round((r.clock() - began) / 1000),
        whole,
        unheard: missing.join(','),
      });
      yield* releaseViews(r, g);
      return;
    }
  });

/**
 * The second part, beside the turns: controllers that come back with a view are heard, and what they remember and the
 * store does not is added. `holders`: peers that say they have relics.
 */
export const addLateViews = (
  r: RebuildContext,
  g: GatheredViews,
  holders: readonly string[],
): Effect.Effect<void, StateFailure> =>
  Effect.gen(function* () {
    for (const label of r.jobState.rebuild?.heard ?? []) g.heard.add(label);
    g.heard.add(r.settings.label);
    const waits = r.jobState.rebuild !== null;
    const asked = r.settings.peers.filter(
      (p) => (waits && !g.heard.has(p.label)) || holders.includes(p.label),
    );
    if (
      asked.length === 0 &&
      r.preLossViews.all.length === 0 &&
      !(waits && g.heard.size > r.settings.peers.length)
    )
      return;
    const before = g.heard.size;
    yield* gatherViews(r, g, asked);
    if (g.headers.size === 0 && r.preLossViews.all.length === 0 && g.heard.size === before) return;
    if (!(yield* writeBack(r, g, false))) return;
    if (waits && !(yield* recordPhase(r, g, 'wait', []))) return;
    for (const [label, headers] of g.headers)
      if (headers.length > 0) yield* info('view heard', { term: r.leaderTerm.number, from: label });
    yield* releaseViews(r, g);
  });

/** Says of the store, once and for all of this incarnation, that it is calm or settled. */
export const declareMilestone = (
  r: RebuildContext,
  what: typeof QUIESCENT | typeof RECOVERED,
): Effect.Effect<void> =>
  Effect.suspend(() => {
    const id = r.lossDetector.incarnation?.id;
    if (id === undefined) return Effect.void;
    return applyStep(r, { when: [], then: [{ set: what, value: id }] }).pipe(
      Effect.zipRight(Effect.ignore(r.watcher.refresh)),
      Effect.zipRight(
        info(what === QUIESCENT ? 'store calm' : 'store settled', { term: r.leaderTerm.number }),
      ),
    );
  });
