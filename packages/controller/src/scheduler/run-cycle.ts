/**
 * The leader's cycle: looks at the book, runs the pure cycle, makes starts and ends durable in one record,
 * then lets them take effect. A start is never sent before its record is committed.
 */
import { Effect } from 'effect';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { sharesOf } from '../accounts/share.js';
import { firstOnRoom } from '../lending/give-back.js';
import { loansOf } from '../lending/loans.js';
import { loansMade } from '../lending/record.js';
import { schedule } from './cycle.js';
import { add, type CycleInput, type CycleResult, type QueuedJob, type Room, type Stop } from './model.js';
import { commit } from './commit.js';
import { mostPlaces } from './draft.js';
import { surplusOf } from './surplus.js';
import type { CycleState, CycleContext } from './cycle-context.js';
import { companionsOf, holdersOf, lendingOf, nodesOf, queuedOf, weightsOf } from './views.js';

/** The state of the cluster in one line, however many machines there are. */
export const summary = (t: CycleContext, view: CycleState): Record<string, string | number> => {
  const rows = new Map<string, { up: number; coming: number; empty: number }>();
  for (const m of t.registry.machines.values()) {
    const kind = `${m.type}${m.spot ? '-spot' : ''}`;
    let r = rows.get(kind);
    if (!r) rows.set(kind, (r = { up: 0, coming: 0, empty: 0 }));
    if (!m.reported) r.coming++;
    else {
      r.up++;
      if (!t.jobState.byMachine.has(m.id)) r.empty++;
    }
  }
  const classes = new Map<string, { on: number; waiting: number; jobs: number }>();
  for (const job of t.jobState.jobs.values()) {
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
    stopping: t.registry.stopping.size,
    turnMs: Math.round(view.cost / 1000),
  };
};

const stop = (t: CycleContext, { job, task }: Stop, at: Micros): void => {
  const { checkpoint, save } = job.spec;
  t.registry.stop(job, task, checkpoint > 0 ? plus(save, seconds(2)) : (0 as Micros), at);
};

/** Those whose room is being left for them, then lenders that are owed some. */
const claimsOf = (
  t: CycleContext,
  view: CycleState,
  queued: readonly QueuedJob[],
): ReadonlyMap<string, number> => {
  const claims = view.result?.claims ?? new Map<string, number>();
  const loans = loansOf(t.jobState.jobs.values());
  if (loans.length === 0) return claims;
  const waiting = queued.filter((q) => !q.cautious).map((q) => ({ job: q.job, tasks: q.tasks.length }));
  const out = new Map(claims);
  for (const [id, n] of firstOnRoom(loans, waiting)) out.set(id, Math.max(n, out.get(id) ?? 0));
  return out;
};

/** For the accounts: who waits after this turn, and what they have of what they are entitled to. */
const noteShares = (t: CycleContext, input: CycleInput, result: CycleResult, at: Micros): void => {
  const all: Room = [0, 0, 0];
  for (const n of input.nodes) add(all, n.total);
  const lately = t.ledger.share.lately(all, at);
  const groups = sharesOf(input, result, lately);
  t.ledger.share.note(groups, at);
  t.ledger.balance?.pass(groups, at);
};

/** Exception (docs/accounts.md): off, and the weights as they are, unless a file under `deploy/` turns it on. */
const leant = (t: CycleContext, weights: ReadonlyMap<string, number>): ReadonlyMap<string, number> =>
  t.ledger.balance?.lean(
    weights,
    t.settings.teams.map((x) => x.name),
  ) ?? weights;

/** One turn: the cycle on what is left once the ends seen so far are recorded, and one record for both. */
export const runCycle = (t: CycleContext, view: CycleState) =>
  Effect.gen(function* () {
    const at = t.clock();
    for (const machine of t.registry.lapse(at, t.acknowledged()))
      yield* info('lease lapsed', { term: t.leaderTerm.number, machine });
    for (const job of t.registry.suspects(at))
      yield* info('job looks broken', { term: t.leaderTerm.number, job });
    for (const { machine, faulty } of t.registry.judge(at))
      yield* info(faulty ? 'machine blamed' : 'blame taken back', { term: t.leaderTerm.number, machine });
    for (const job of t.registry.abandon(at))
      yield* info('tasks of before a loss stopped', { term: t.leaderTerm.number, job });
    t.registry.dirty = false;
    t.registry.recalls(at);
    for (const job of t.registry.complete((t.dayTime() - (at - t.leaderTerm.began)) as Micros)) {
      const { id, tasks, imageGb, submitted } = job.spec;
      const afterS = Math.round((t.dayTime() - submitted) / 1e6);
      yield* info('service complete', {
        term: t.leaderTerm.number,
        job: id,
        replicas: tasks,
        afterS,
        imageGb,
      });
    }
    for (const job of t.registry.halfTold(at))
      yield* info('gang half told to stop', { term: t.leaderTerm.number, job });
    for (const job of t.jobState.jobs.values()) {
      if (job.placed.size > 0 && (job.withdrawn || t.registry.isBroken(job))) t.registry.clearAway(job);
    }
    if (!t.jobState.quiescent && !t.registry.allLapsed(at)) {
      // After a loss somebody may be running what nobody here knows of: until all have shown themselves or their
      // leases have lapsed, only what ends and what is found running is recorded.
      yield* commit(t, []);
      return;
    }
    const began = t.clock();
    const queued = t.mayStart() ? queuedOf(t, at) : [];
    const nodes = nodesOf(t, at);
    const holders = holdersOf(t, at);
    view.surplus = surplusOf(nodes, holders, queued);
    view.companions = companionsOf(t, at);
    const input: CycleInput = {
      now: at,
      teams: t.settings.teams,
      weights: leant(t, weightsOf(t)),
      claims: claimsOf(t, view, queued),
      nodes,
      holders,
      queued,
      companions: view.companions,
      surplus: view.surplus,
      avoid: (job) => t.registry.avoid(job),
      attempts: Math.max(t.jobState.floor, t.jobState.attempts),
      mostPlaces: mostPlaces(t.settings.state),
      lending: lendingOf(t, at, queued),
    };
    const result = schedule(input);
    view.result = result;
    noteShares(t, input, result, at);
    view.cost = t.clock() - began;
    for (const s of result.stops) if (s.taker === undefined) stop(t, s, at);
    if (result.stops.length > 0)
      yield* info('stops for others', { term: t.leaderTerm.number, tasks: result.stops.length });
    const { lent, behind } = yield* commit(t, result.starts, result.stops);
    view.behind = behind;
    // Whoever reads the store knows of these loans before anybody is told to stop.
    for (const s of lent) stop(t, s, t.clock());
    for (const { taker, lend } of loansMade(lent))
      for (const { lender, gpus, tasks } of lend)
        yield* info('loan made', {
          term: t.leaderTerm.number,
          taker: taker.spec.id,
          lender,
          gpus: gpus / 1000,
          tasks,
        });
  });
