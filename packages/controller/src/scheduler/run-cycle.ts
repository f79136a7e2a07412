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
export const summary = (t: CycleContext, state: CycleState): Record<string, string | number> => {
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
    cycleMs: Math.round(state.computeTime / 1000),
  };
};

/** Orders a task to stop; one that saves has the time for that. */
const preempt = (t: CycleContext, { job, task }: Preemption, at: Micros): void => {
  const { checkpoint, save } = job.spec;
  t.registry.stop(job, task, checkpoint > 0 ? plus(save, seconds(2)) : (0 as Micros), at);
};

/** Jobs that others are making way for, then lenders with an open loan: by id, how many tasks go before all others. */
const reservationsOf = (
  t: CycleContext,
  state: CycleState,
  queued: readonly QueuedJob[],
): ReadonlyMap<string, number> => {
  const reservations = state.result?.reservations ?? new Map<string, number>();
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

/** Takes in what time has brought since the last cycle: expired leases, faulty jobs and machines, recalls, lost orders. */
const updateRegistry = (t: CycleContext, at: Micros) =>
  Effect.gen(function* () {
    const { registry } = t;
    const term = t.leaderTerm.number;
    for (const machine of registry.expireLeases(at, t.acknowledged()))
      yield* info('worker lease expired', { term, machine });
    for (const job of registry.newSuspects(at)) yield* info('job suspected faulty', { term, job });
    for (const { machine, quarantined } of registry.updateQuarantine(at))
      yield* info(quarantined ? 'machine quarantined' : 'quarantine lifted', { term, machine });
    for (const job of registry.abandonUnadoptableJobs(at))
      yield* info('pre-loss tasks stopped', { term, job });
    registry.needsCycle = false;
    registry.drainRecalledMachines(at);
    for (const job of registry.newlyCompleteServices((t.dayTime() - (at - t.leaderTerm.began)) as Micros)) {
      const { id, tasks, imageGb, submitted } = job.spec;
      const afterS = Math.round((t.dayTime() - submitted) / 1e6);
      yield* info('service fully running', { term, job: id, replicas: tasks, afterS, imageGb });
    }
    for (const job of registry.completePartialPreemptions(at))
      yield* info('gang partially preempted', { term, job });
    for (const job of t.jobState.jobs.values())
      if (job.placed.size > 0 && (job.cancelled || registry.isBrokenGang(job)))
        registry.stopRemainingTasks(job);
  });

/** All that the pure cycle decides by, as it stands at `at`. Keeps in `state` what others ask of the latest cycle. */
const gatherInput = (t: CycleContext, state: CycleState, at: Micros): CycleInput => {
  const queued = t.mayStart() ? queuedJobsOf(t, at) : [];
  const nodes = nodesOf(t, at);
  const placedTasks = placedTasksOf(t, at);
  state.idleNodes = idleNodesOf(nodes, placedTasks, queued);
  state.coLocatedDemand = coLocatedDemandOf(t, at);
  return {
    now: at,
    teams: t.settings.teams,
    weights: balancedWeights(t, teamWeightsOf(t)),
    reservations: reservationsOf(t, state, queued),
    nodes,
    placedTasks,
    queued,
    coLocatedDemand: state.coLocatedDemand,
    idleNodes: state.idleNodes,
    avoid: (job) => t.registry.avoidedMachines(job),
    attemptFloor: Math.max(t.jobState.attemptFloor, t.jobState.attemptBase),
    maxPlacements: maxPlacements(t.settings.state),
    lending: lendingViewOf(t, at, queued),
  };
};

/** Runs the pure cycle, and notes its result, shares and the time that it took. */
const decide = (t: CycleContext, state: CycleState, at: Micros): CycleResult => {
  const began = t.clock();
  const input = gatherInput(t, state, at);
  const result = schedule(input);
  state.result = result;
  noteShares(t, input, result, at);
  state.computeTime = t.clock() - began;
  return result;
};

/** Stops that a service's loan waits on: whoever reads the store knows of the loan before anybody is told to stop. */
const preemptForLoans = (t: CycleContext, preemptions: readonly Preemption[]) =>
  Effect.gen(function* () {
    for (const p of preemptions) preempt(t, p, t.clock());
    for (const { taker, lend } of newLoans(preemptions))
      for (const { lender, gpus, tasks } of lend)
        yield* info('loan made', {
          term: t.leaderTerm.number,
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
export const runCycle = (t: CycleContext, state: CycleState) =>
  Effect.gen(function* () {
    const at = t.clock();
    yield* updateRegistry(t, at);
    if (!t.jobState.quiescent && !t.registry.priorLeasesExpired(at)) {
      // After a loss somebody may be running what nobody here knows of: until all have shown themselves or their
      // leases have expired, only what ends and what is found running is committed.
      yield* commit(t, []);
      return;
    }
    const { starts, preemptions } = decide(t, state, at);
    for (const p of preemptions) if (p.taker === undefined) preempt(t, p, at);
    if (preemptions.length > 0)
      yield* info('tasks preempted', { term: t.leaderTerm.number, tasks: preemptions.length });
    const committed = yield* commit(t, starts, preemptions);
    state.hasBacklog = committed.hasBacklog;
    yield* preemptForLoans(t, committed.lendingPreemptions);
  });
