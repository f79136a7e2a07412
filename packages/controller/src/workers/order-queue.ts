/**
 * What workers are told: the orders in the response to a heartbeat, and stops that also go out directly, without waiting for
 * the next heartbeat. Orders are derived from the recorded state each time, so a lost one is repeated by itself.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { type Job, type Placement, taskKey } from '../jobs/model.js';
import { recordAnomaly } from '../metrics.js';
import type { Order } from './codec.js';
import type { Machine, Machines } from './machine.js';
import type { ObservedExits } from './observed-exits.js';
import type { OrphanedTasks } from './orphaned-tasks.js';

/** A stop that a task was told of and has not exited for yet. */
export interface Stopping {
  readonly attempt: number;
  /** For saving; a later stop may shorten it. */
  grace: Micros;
  readonly at: Micros;
}

/** An order that should also go out directly. */
export interface UrgentOrder {
  readonly machine: Machine;
  readonly order: Order;
}

type PlacedTask = Placement & { readonly job: Job };

const AT_ONCE = 0 as Micros;
/** For the other members' stops to arrive and their saves to end. */
const GANG_SAVE_MARGIN = seconds(2);
/** A save before a recall takes this many times as long as stated, and so much more, at the most. */
const SAVE_FACTOR = 1.2;
const SAVE_MARGIN = seconds(3);
const RECALL_SAVE_MARGIN = seconds(1);
/** A task that must run for more than this part of the time to the recall is not expected to complete. */
const ESTIMATE_FACTOR = 1.5;

/** What each worker is to be told. */
export class OrderQueue {
  /** Stops that should also go out directly. */
  readonly urgent: UrgentOrder[] = [];

  /** `stopping`: by task; the queue adds and exits remove. `orphaned`: what is left alone for now. */
  constructor(
    private readonly jobState: JobState,
    private readonly machines: Machines,
    private readonly exits: Pick<ObservedExits, 'has' | 'isBrokenGang' | 'running'>,
    private readonly orphaned: Pick<OrphanedTasks, 'isRetained'>,
    private readonly stopping: Map<string, Stopping>,
  ) {}

  /** Whether a placed task that the worker does not have should be started there. */
  isWanted(placement: PlacedTask, machine: Machine): boolean {
    const key = taskKey(placement.job.spec.id, placement.task);
    return (
      machine.recallAt === null &&
      !placement.job.cancelled &&
      // Of a generation before: it may have exited and been forgotten, and is never started again.
      placement.attempt > this.jobState.attemptFloor &&
      this.stopping.get(key)?.attempt !== placement.attempt &&
      !this.exits.isBrokenGang(placement.job)
    );
  }

  /**
   * What the response to the machine's latest heartbeat should say; without `starts`, what is to start waits for a later
   * one.
   */
  ordersFor(machine: Machine, starts: boolean): Order[] {
    const placed = this.jobState.placementsByMachine.get(machine.id);
    const orders: Order[] = [];
    this.addStops(machine, placed, orders);
    if (starts && machine.authoritative) this.addStarts(machine, placed, orders);
    return orders;
  }

  private addStops(
    machine: Machine,
    placed: ReadonlyMap<string, PlacedTask> | undefined,
    orders: Order[],
  ): void {
    for (const reported of machine.tasks.values()) {
      const { key, attempt, status } = reported;
      const placement = placed?.get(key);
      if (!placement || placement.attempt !== attempt) {
        if (this.orphaned.isRetained(machine, reported)) continue;
        // Unknown to the record, or of an attempt that is over: a completion is durable by now, so it may go.
        if (status === 'exited') orders.push({ op: 'forget', key, attempt });
        else {
          recordAnomaly('strange', 'unknown task reported', () => ({
            machine: machine.id,
            task: key,
            attempt,
          }));
          orders.push({ op: 'stop', key, attempt, grace: AT_ONCE });
        }
        continue;
      }
      if (status === 'exited') continue;
      const stop = this.stopping.get(key);
      if (placement.job.cancelled || this.exits.isBrokenGang(placement.job)) {
        orders.push({ op: 'stop', key, attempt, grace: AT_ONCE });
      } else if (stop && stop.attempt === attempt && status !== 'saving') {
        orders.push({ op: 'stop', key, attempt, grace: stop.grace });
      }
    }
  }

  private addStarts(
    machine: Machine,
    placed: ReadonlyMap<string, PlacedTask> | undefined,
    orders: Order[],
  ): void {
    const dispatched: string[] = [];
    for (const [key, placement] of placed ?? []) {
      if (
        machine.tasks.has(key) ||
        machine.seenAttempts.get(key) === placement.attempt ||
        this.exits.has(placement.job.spec.id, placement.task)
      )
        continue;
      if (!this.isWanted(placement, machine)) continue;
      orders.push({ op: 'start', key, attempt: placement.attempt });
      dispatched.push(key);
    }
    if (dispatched.length > 0) machine.dispatched = dispatched;
  }

  /** Asks a task to stop, saving within `grace` if it can. Goes out directly and with the next responses. */
  stop(job: Job, task: number, grace: Micros, at: Micros): void {
    const placement = job.placed.get(task);
    if (!placement) return;
    const key = taskKey(job.spec.id, task);
    const before = this.stopping.get(key);
    if (before && before.attempt === placement.attempt && before.grace <= grace) return;
    this.stopping.set(key, { attempt: placement.attempt, grace, at });
    this.stopDirectly(placement, key, grace);
  }

  /** Sends stops directly that jobs' own states call for: cancelled jobs and what is left of broken gangs. */
  stopRemainingTasks(job: Job): void {
    for (const placement of job.placed.values()) {
      const key = taskKey(job.spec.id, placement.task);
      if (this.exits.has(job.spec.id, placement.task)) continue;
      const reported = this.machines.get(placement.machine)?.tasks.get(key);
      if (reported && reported.status !== 'exited') this.stopDirectly(placement, key, AT_ONCE);
    }
  }

  private stopDirectly({ machine: id, attempt }: Placement, key: string, grace: Micros): void {
    const machine = this.machines.get(id);
    if (machine?.reported) this.urgent.push({ machine, order: { op: 'stop', key, attempt, grace } });
  }

  /**
   * Gangs that an earlier leader has preempted partially: it told some members to save. The others are told too, in time if
   * it is still possible, since without them the save fails. Returns the jobs, one entry for each member that saves.
   */
  completePartialPreemptions(at: Micros): string[] {
    const preempted: string[] = [];
    for (const machine of this.machines.values()) {
      for (const reported of machine.tasks.values()) {
        if (reported.status !== 'saving' || this.stopping.has(reported.key)) continue;
        const placement = this.jobState.placementsByMachine.get(machine.id)?.get(reported.key);
        if (placement?.attempt !== reported.attempt || placement.job.cancelled) continue;
        const { job } = placement;
        if (job.spec.shape !== 'gang') continue;
        for (const task of job.placed.keys()) this.stop(job, task, plus(job.spec.save, GANG_SAVE_MARGIN), at);
        preempted.push(job.spec.id);
      }
    }
    return preempted;
  }

  /** Drains machines that the cloud is about to reclaim: saves what can be saved, as late as is safe. */
  drainRecalledMachines(at: Micros): void {
    for (const machine of this.machines.values()) {
      if (machine.recallAt === null) continue;
      const left = machine.recallAt - at;
      for (const { job, task } of this.jobState.placementsByMachine.get(machine.id)?.values() ?? []) {
        const { id, checkpoint, save, shape, estimate } = job.spec;
        const run = this.exits.running.get(taskKey(id, task));
        if (checkpoint > 0) {
          if (left > save * SAVE_FACTOR + SAVE_MARGIN) continue;
          const members = shape === 'gang' ? [...job.placed.keys()] : [task];
          for (const member of members) this.stop(job, member, plus(save, RECALL_SAVE_MARGIN), at);
        } else if (run && estimate - (at - run.since) > left * ESTIMATE_FACTOR) {
          // It can't complete there and saves nothing: better started again elsewhere at once.
          this.stop(job, task, AT_ONCE, at);
        }
      }
    }
  }
}
