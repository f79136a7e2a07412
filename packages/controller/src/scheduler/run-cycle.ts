/**
 * The leader's scheduling cycle: reads the worker registry and the job state, decides (`cycle.ts`, pure), commits starts and
 * ends in log entries, then lets them take effect. A start is never sent before its log entry is committed.
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
export const summary = (context: CycleContext, state: CycleState): Record<string, string | number> => {
  const rows = new Map<string, { up: number; coming: number; empty: number }>();
  for (const m of context.registry.machines.values()) {
    const kind = `${m.type}${m.spot ? '-spot' : ''}`;
    let r = rows.get(kind);
    if (!r) rows.set(kind, (r = { up: 0, coming: 0, empty: 0 }));
    if (!m.reported) r.coming++;
    else {
      r.up++;
      if (!context.jobState.placementsByMachine.has(m.id)) r.empty++;
    }
  }
  const classes = new Map<string, { on: number; waiting: number; jobs: number }>();
  for (const job of context.jobState.jobs.values()) {
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
    stopping: context.registry.stopping.size,
    cycleMs: Math.round(state.computeTime / 1000),
  };
};

/** Orders a task to stop; one that saves has the time for that. */
const preempt = (context: CycleContext, { job, task }: Preemption, at: Micros): void => {
  const { checkpoint, save } = job.spec;
  context.registry.stop(job, task, checkpoint > 0 ? plus(save, seconds(2)) : (0 as Micros), at);
};

/** Jobs that others are making way for, then lenders with an open loan: by id, how many tasks go before all others. */
const reservationsOf = (
  context: CycleContext,
  state: CycleState,
  queued: readonly QueuedJob[],
): ReadonlyMap<string, number> => {
  const reservations = state.result?.reservations ?? new Map<string, number>();
  const loans = loansOf(context.jobState.jobs.values());
  if (loans.length === 0) return reservations;
  const waiting = queued.filter((q) => !q.cautious).map((q) => ({ job: q.job, tasks: q.tasks.length }));
  const out = new Map(reservations);
  for (const [id, n] of lendersToRepay(loans, waiting)) out.set(id, Math.max(n, out.get(id) ?? 0));
  return out;
};

/** For the accounts: who waits after this cycle, and what they have of what they are entitled to. */
const noteShares = (context: CycleContext, input: CycleInput, result: CycleResult, at: Micros): void => {
  const all: Resources = [0, 0, 0];
  for (const n of input.nodes) add(all, n.total);
  const lately = context.ledger.share.recentCapacity(all, at);
  const groups = sharesOf(input, result, lately);
  context.ledger.share.record(groups, at);
  context.ledger.balance?.record(groups, at);
};

/** Exception (docs/accounts.md): off, and the weights as they are, unless a file under `deploy/` turns it on. */
const balancedWeights = (
  context: CycleContext,
  weights: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> =>
  context.ledger.balance?.adjust(
    weights,
    context.settings.teams.map((x) => x.name),
  ) ?? weights;

/** Takes in what time has brought since the last cycle: expired leases, faulty jobs and machines, recalls, lost orders. */
const updateRegistry = (context: CycleContext, at: Micros) =>
  Effect.gen(function* () {
    const { registry } = context;
    const term = context.leaderTerm.number;
    for (const machine of registry.expireLeases(at, context.acknowledged()))
      yield* info('worker lease expired', { term, machine });
    for (const job of registry.newSuspects(at)) yield* info('job suspected faulty', { term, job });
    for (const { machine, quarantined } of registry.updateQuarantine(at))
      yield* info(quarantined ? 'machine quarantined' : 'quarantine lifted', { term, machine });
    for (const job of registry.abandonUnadoptableJobs(at))
      yield* info('pre-loss tasks stopped', { term, job });
    registry.needsCycle = false;
    registry.drainRecalledMachines(at);
    for (const job of registry.newlyCompleteServices(
      (context.dayTime() - (at - context.leaderTerm.began)) as Micros,
    )) {
      const { id, tasks, imageGb, submitted } = job.spec;
      const afterS = Math.round((context.dayTime() - submitted) / 1e6);
      yield* info('service fully running', { term, job: id, replicas: tasks, afterS, imageGb });
    }
    for (const job of registry.completePartialPreemptions(at))
      yield* info('gang partially preempted', { term, job });
    for (const job of context.jobState.jobs.values())
      if (job.placed.size > 0 && (job.cancelled || registry.isBrokenGang(job)))
        registry.stopRemainingTasks(job);
  });

/** All that the pure cycle decides by, as it stands at `at`. Keeps in `state` what others ask of the latest cycle. */
const gatherInput = (context: CycleContext, state: CycleState, at: Micros): CycleInput => {
  const queued = context.mayStart() ? queuedJobsOf(context, at) : [];
  const nodes = nodesOf(context, at);
  const placedTasks = placedTasksOf(context, at);
  state.idleNodes = idleNodesOf(nodes, placedTasks, queued);
  state.coLocatedDemand = coLocatedDemandOf(context, at);
  return {
    now: at,
    teams: context.settings.teams,
    weights: balancedWeights(context, teamWeightsOf(context)),
    reservations: reservationsOf(context, state, queued),
    nodes,
    placedTasks,
    queued,
    coLocatedDemand: state.coLocatedDemand,
    idleNodes: state.idleNodes,
    avoid: (job) => context.registry.avoidedMachines(job),
    attemptFloor: Math.max(context.jobState.attemptFloor, context.jobState.attemptBase),
    maxPlacements: maxPlacements(context.settings.state),
    lending: lendingViewOf(context, at, queued),
  };
};

/** Runs the pure cycle, and notes its result, shares and the time that it took. */
const decide = (context: CycleContext, state: CycleState, at: Micros): CycleResult => {
  const began = context.clock();
  const input = gatherInput(context, state, at);
  const result = schedule(input);
  state.result = result;
  noteShares(context, input, result, at);
  state.computeTime = context.clock() - began;
  return result;
};

/** Stops that a service's loan waits on: whoever reads the store knows of the loan before anybody is told to stop. */
const preemptForLoans = (context: CycleContext, preemptions: readonly Preemption[]) =>
  Effect.gen(function* () {
    for (const p of preemptions) preempt(context, p, context.clock());
    for (const { taker, lend } of newLoans(preemptions))
      for (const { lender, gpus, tasks } of lend)
        yield* info('loan made', {
          term: context.leaderTerm.number,
          taker: taker.spec.id,
          lender,
          gpus: gpus / 1000,
          tasks,
        });
  });

/**
 * One scheduling cycle: takes in what has happened, decides on what is left once the ends seen so far are committed, tells
 * preempted tasks to stop, and commits ends and starts together.
 */
export const runCycle = (context: CycleContext, state: CycleState) =>
  Effect.gen(function* () {
    const at = context.clock();
    yield* updateRegistry(context, at);
    if (!context.jobState.quiescent && !context.registry.priorLeasesExpired(at)) {
      // After a loss somebody may be running what nobody here knows of: until all have shown themselves or their
      // leases have expired, only what ends and what is found running is committed.
      yield* commit(context, []);
      return;
    }
    const { starts, preemptions } = decide(context, state, at);
    for (const p of preemptions) if (p.taker === undefined) preempt(context, p, at);
    if (preemptions.length > 0)
      yield* info('tasks preempted', { term: context.leaderTerm.number, tasks: preemptions.length });
    const committed = yield* commit(context, starts, preemptions);
    state.hasBacklog = committed.hasBacklog;
    yield* preemptForLoans(context, committed.lendingPreemptions);
  });
