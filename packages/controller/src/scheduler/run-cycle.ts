/**
 * The leader's scheduling cycle: reads the worker registry and the job state, decides (`cycle.ts`, pure), commits starts and
 * observed exits in log entries, then applies them. A start is never sent to a worker before its log entry is committed.
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
import { maxPlacements } from './draft-builder.js';
import { findIdleMachines } from './idle-machines.js';
import type { CycleState, CycleContext } from './cycle-context.js';
import {
  coLocatedDemandOf,
  placedTasksOf,
  lendingViewOf,
  reportedMachines,
  queuedJobsOf,
  teamWeightsOf,
} from './cycle-input.js';

/** Returns the fields of the log line about the cluster's state: counts by machine type and by job class. */
export const clusterSummary = (context: CycleContext, state: CycleState): Record<string, string | number> => {
  const rows = new Map<string, { up: number; coming: number; empty: number }>();
  for (const machine of context.registry.machines.values()) {
    const kind = `${machine.type}${machine.spot ? '-spot' : ''}`;
    let row = rows.get(kind);
    if (!row) rows.set(kind, (row = { up: 0, coming: 0, empty: 0 }));
    if (!machine.reported) row.coming++;
    else {
      row.up++;
      if (!context.jobState.placementsByMachine.has(machine.id)) row.empty++;
    }
  }
  const classes = new Map<string, { placed: number; waiting: number; jobs: number }>();
  for (const job of context.jobState.jobs.values()) {
    let counts = classes.get(job.spec.jobClass);
    if (!counts) classes.set(job.spec.jobClass, (counts = { placed: 0, waiting: 0, jobs: 0 }));
    const waiting = job.cancelled ? 0 : job.spec.tasks - job.completed.size - job.placed.size;
    counts.placed += job.placed.size;
    counts.waiting += waiting;
    if (waiting > 0) counts.jobs++;
  }
  return {
    machines: [...rows].map(([kind, row]) => `${kind}:${row.up}+${row.coming}/${row.empty}`).join(','),
    tasks: [...classes]
      .map(([jobClass, counts]) => `${jobClass}:${counts.placed}+${counts.waiting}/${counts.jobs}`)
      .join(','),
    stopping: context.registry.stopping.size,
    cycleMs: Math.round(state.computeTime / 1000),
  };
};

/** Orders a task to stop; a task with checkpoints gets the time to save one. */
const preempt = (context: CycleContext, { job, task }: Preemption, now: Micros): void => {
  const { checkpoint, save } = job.spec;
  context.registry.stop(job, task, checkpoint > 0 ? plus(save, seconds(2)) : (0 as Micros), now);
};

/**
 * Returns by job id the number of tasks to place before all others: of jobs for which the last cycle preempted tasks, then of
 * waiting lenders with an open loan.
 */
const reservationsOf = (
  context: CycleContext,
  state: CycleState,
  queued: readonly QueuedJob[],
): ReadonlyMap<string, number> => {
  const reservations = state.result?.reservations ?? new Map<string, number>();
  const loans = loansOf(context.jobState.jobs.values());
  if (loans.length === 0) return reservations;
  const waiting = queued
    .filter((item) => !item.suspect)
    .map((item) => ({ job: item.job, tasks: item.tasks.length }));
  const withLenders = new Map(reservations);
  for (const [id, count] of lendersToRepay(loans, waiting))
    withLenders.set(id, Math.max(count, withLenders.get(id) ?? 0));
  return withLenders;
};

/** Records for the accounts which teams wait after this cycle, and how their shares compare with what they are entitled to. */
const recordShares = (context: CycleContext, input: CycleInput, result: CycleResult, now: Micros): void => {
  const capacity: Resources = [0, 0, 0];
  for (const machine of input.machines) add(capacity, machine.total);
  const recentCapacity = context.ledger.share.recentCapacity(capacity, now);
  const groups = sharesOf(input, result, recentCapacity);
  context.ledger.share.record(groups, now);
  context.ledger.balance?.record(groups, now);
};

/**
 * Adjusts the teams' weights by the shares that they are owed (docs/accounts.md). Returns the weights unchanged unless a file
 * under `deploy/` enables the adjustment.
 */
const balancedWeights = (
  context: CycleContext,
  weights: ReadonlyMap<string, number>,
): ReadonlyMap<string, number> =>
  context.ledger.balance?.adjust(
    weights,
    context.settings.teams.map((team) => team.name),
  ) ?? weights;

/**
 * Updates the worker registry for the time passed since the last cycle: expired leases, jobs suspected to be faulty,
 * quarantined and recalled machines, jobs whose orphaned tasks can't be adopted, and tasks of cancelled jobs and broken gangs
 * that are still to be stopped.
 */
const updateRegistry = (context: CycleContext, now: Micros) =>
  Effect.gen(function* () {
    const { registry } = context;
    const term = context.leaderTerm.number;
    for (const machine of registry.expireLeases(now, context.acknowledged()))
      yield* info('worker lease expired', { term, machine });
    for (const job of registry.newSuspects(now)) yield* info('job suspected faulty', { term, job });
    for (const { machine, quarantined } of registry.updateQuarantine(now))
      yield* info(quarantined ? 'machine quarantined' : 'quarantine lifted', { term, machine });
    for (const job of registry.abandonUnadoptableJobs(now))
      yield* info('pre-loss tasks stopped', { term, job });
    registry.needsCycle = false;
    registry.drainRecalledMachines(now);
    for (const job of registry.newlyCompleteServices(
      (context.dayTime() - (now - context.leaderTerm.began)) as Micros,
    )) {
      const { id, tasks, imageGb, submitted } = job.spec;
      const afterS = Math.round((context.dayTime() - submitted) / 1e6);
      yield* info('service fully running', { term, job: id, replicas: tasks, afterS, imageGb });
    }
    for (const job of registry.completePartialPreemptions(now))
      yield* info('gang partially preempted', { term, job });
    for (const job of context.jobState.jobs.values())
      if (job.placed.size > 0 && (job.cancelled || registry.isBrokenGang(job)))
        registry.stopRemainingTasks(job);
  });

/** Builds the input of the cycle at `now`; stores the parts that other tasks of the leader need in `state`. */
const gatherInput = (context: CycleContext, state: CycleState, now: Micros): CycleInput => {
  const queued = context.mayStart() ? queuedJobsOf(context, now) : [];
  const machines = reportedMachines(context, now);
  const placedTasks = placedTasksOf(context, now);
  state.idleMachines = findIdleMachines(machines, placedTasks, queued);
  state.coLocatedDemand = coLocatedDemandOf(context, now);
  return {
    now,
    teams: context.settings.teams,
    weights: balancedWeights(context, teamWeightsOf(context)),
    reservations: reservationsOf(context, state, queued),
    machines,
    placedTasks,
    queued,
    coLocatedDemand: state.coLocatedDemand,
    idleMachines: state.idleMachines,
    avoid: (job) => context.registry.avoidedMachines(job),
    attemptFloor: Math.max(context.jobState.attemptFloor, context.jobState.attemptBase),
    maxPlacements: maxPlacements(context.settings.state),
    lending: lendingViewOf(context, now, queued),
  };
};

/** Runs the pure cycle and records its result, shares and computing time. */
const decide = (context: CycleContext, state: CycleState, now: Micros): CycleResult => {
  const began = context.clock();
  const input = gatherInput(context, state, now);
  const result = schedule(input);
  state.result = result;
  recordShares(context, input, result, now);
  state.computeTime = context.clock() - began;
  return result;
};

/**
 * Stops the tasks whose GPUs a service borrows. Their loans are durable, so that every reader of the store knows of a loan
 * before any of its tasks stops.
 */
const preemptForLoans = (context: CycleContext, preemptions: readonly Preemption[]) =>
  Effect.gen(function* () {
    for (const preemption of preemptions) preempt(context, preemption, context.clock());
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
 * Runs one scheduling cycle: updates the worker registry, decides on the state that results from the exits observed so far,
 * stops preempted tasks, and commits exits and starts together.
 */
export const runCycle = (context: CycleContext, state: CycleState) =>
  Effect.gen(function* () {
    const now = context.clock();
    yield* updateRegistry(context, now);
    if (!context.jobState.quiescent && !context.registry.priorLeasesExpired(now)) {
      // After a data loss, workers may run tasks that are missing from the job state. Until every worker has sent a heartbeat or
      // its lease has expired, only exits and tasks found running are committed.
      yield* commit(context, []);
      return;
    }
    const { starts, preemptions } = decide(context, state, now);
    for (const preemption of preemptions)
      if (preemption.taker === undefined) preempt(context, preemption, now);
    if (preemptions.length > 0)
      yield* info('tasks preempted', { term: context.leaderTerm.number, tasks: preemptions.length });
    const committed = yield* commit(context, starts, preemptions);
    state.hasBacklog = committed.hasBacklog;
    yield* preemptForLoans(context, committed.lendingPreemptions);
  });
