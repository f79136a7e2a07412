/**
 * The leader's cycle: looks at the worker registry, runs the pure cycle, makes starts and ends durable in one log entry,
 * then lets them take effect. A start is never sent before its log entry is committed.
 */
import { Effect } from 'effect';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { sharesOf } from '../accounts/share.js';
import { lendersToRepay } from '../lending/repayment.js';
import { loansOf } from '../lending/loans.js';
import { newLoans } from '../lending/loan-changes.js';
import { schedule } from './cycle.js';
import {
  add,
  type CycleInput,
  type CycleResult,
  type QueuedJob,
  type Resources,
  type Preemption,
} from './model.js';
import { commit } from './commit.js';
import { maxPlacements } from './draft.js';
import { idleNodesOf } from './idle-nodes.js';
import type { CycleState, CycleContext } from './cycle-context.js';
import {
  coLocatedDemandOf,
  placedTasksOf,
  lendingViewOf,
  nodesOf,
  queuedJobsOf,
  teamWeightsOf,
} from './cycle-input.js';

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
      if (!t.jobState.placementsByMachine.has(m.id)) r.empty++;
    }
  }
  const classes = new Map<string, { on: number; waiting: number; jobs: number }>();
  for (const job of t.jobState.jobs.values()) {
    let c = classes.get(job.spec.jobClass);
    if (!c) classes.set(job.spec.jobClass, (c = { on: 0, waiting: 0, jobs: 0 }));
    const waiting = job.cancelled ? 0 : job.spec.tasks - job.done.size - job.placed.size;
    c.on += job.placed.size;
    c.waiting += waiting;
    if (waiting > 0) c.jobs++;
  }
  return {
    machines: [...rows].map(([k, r]) => `${k}:${r.up}+${r.coming}/${r.empty}`).join(','),
    tasks: [...classes].map(([k, c]) => `${k}:${c.on}+${c.waiting}/${c.jobs}`).join(','),
    stopping: t.registry.stopping.size,
    turnMs: Math.round(view.computeTime / 1000),
  };
};

const stop = (t: CycleContext, { job, task }: Preemption, at: Micros): void => {
  const { checkpoint, save } = job.spec;
  t.registry.stop(job, task, checkpoint > 0 ? plus(save, seconds(2)) : (0 as Micros), at);
};

/** Those whose room is being left for them, then lenders that are owed some. */
const reservationsOf = (
  t: CycleContext,
  view: CycleState,
  queued: readonly QueuedJob[],
): ReadonlyMap<string, number> => {
  const reservations = view.result?.reservations ?? new Map<string, number>();
  const loans = loansOf(t.jobState.jobs.values());
  if (loans.length === 0) return reservations;
  const waiting = queued.filter((q) => !q.cautious).map((q) => ({ job: q.job, tasks: q.tasks.length }));
  const out = new Map(reservations);
  for (const [id, n] of lendersToRepay(loans, waiting)) out.set(id, Math.max(n, out.get(id) ?? 0));
  return out;
};

/** For the accounts: who waits after this cycle, and what they have of what they are entitled to. */
const noteShares = (t: CycleContext, input: CycleInput, result: CycleResult, at: Micros): void => {
  const all: Resources = [0, 0, 0];
  for (const n of input.nodes) add(all, n.total);
  const lately = t.ledger.share.lately(all, at);
  const groups = sharesOf(input, result, lately);
  t.ledger.share.note(groups, at);
  t.ledger.balance?.pass(groups, at);
};

/** Exception (docs/accounts.md): off, and the weights as they are, unless a file under `deploy/` turns it on. */
const balancedWeights = (
  t: CycleContext,
  weights: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> =>
  t.ledger.balance?.lean(
    weights,
    t.settings.teams.map((x) => x.name),
  ) ?? weights;

/** One cycle: the cycle on what is left once the ends seen so far are recorded, and one log entry for both. */
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
      if (job.placed.size > 0 && (job.cancelled || t.registry.isBroken(job))) t.registry.clearAway(job);
    }
    if (!t.jobState.quiescent && !t.registry.allLapsed(at)) {
      // After a loss somebody may be running what nobody here knows of: until all have shown themselves or their
      // leases have lapsed, only what ends and what is found running is recorded.
      yield* commit(t, []);
      return;
    }
    const began = t.clock();
    const queued = t.mayStart() ? queuedJobsOf(t, at) : [];
    const nodes = nodesOf(t, at);
    const placedTasks = placedTasksOf(t, at);
    view.idleNodes = idleNodesOf(nodes, placedTasks, queued);
    view.coLocatedDemand = coLocatedDemandOf(t, at);
    const input: CycleInput = {
      now: at,
      teams: t.settings.teams,
      weights: balancedWeights(t, teamWeightsOf(t)),
      reservations: reservationsOf(t, view, queued),
      nodes,
      placedTasks,
      queued,
      coLocatedDemand: view.coLocatedDemand,
      idleNodes: view.idleNodes,
      avoid: (job) => t.registry.avoid(job),
      attemptFloor: Math.max(t.jobState.attemptFloor, t.jobState.attemptBase),
      maxPlacements: maxPlacements(t.settings.state),
      lending: lendingViewOf(t, at, queued),
    };
    const result = schedule(input);
    view.result = result;
    noteShares(t, input, result, at);
    view.computeTime = t.clock() - began;
    for (const s of result.preemptions) if (s.taker === undefined) stop(t, s, at);
    if (result.preemptions.length > 0)
      yield* info('preemptions for others', { term: t.leaderTerm.number, tasks: result.preemptions.length });
    const { lendingPreemptions: lent, hasBacklog: behind } = yield* commit(
      t,
      result.starts,
      result.preemptions,
    );
    view.hasBacklog = behind;
    // Whoever reads the store knows of these loans before anybody is told to stop.
    for (const s of lent) stop(t, s, t.clock());
    for (const { taker, lend } of newLoans(lent))
      for (const { lender, gpus, tasks } of lend)
        yield* info('loan made', {
          term: t.leaderTerm.number,
          taker: taker.spec.id,
          lender,
          gpus: gpus / 1000,
          tasks,
        });
  });
