/**
 * Orders for workers: those in the response to a heartbeat, and stops that are also sent directly, without waiting
 * for the next heartbeat. Orders are derived from the committed state for each response, so a lost order is
 * repeated automatically.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { type Job, type Placement, taskKey } from '../jobs/model.js';
import { recordAnomaly } from '../metrics.js';
import type { Order } from './codec.js';
import type { Machine, Machines } from './machine.js';
import { fittingOrders, MAX_TASKS_PER_MACHINE } from './message-limits.js';
import type { ObservedExits } from './observed-exits.js';
import type { OrphanedTasks } from './orphaned-tasks.js';

/** A stop that a task has been ordered and has not exited for yet. */
export interface PendingStop {
  readonly attempt: number;
  /** Time for saving; a later stop may shorten it. */
  grace: Micros;
  readonly at: Micros;
}

/** An order that is also sent directly to the worker. */
export interface UrgentOrder {
  readonly machine: Machine;
  readonly order: Order;
}

type PlacedTask = Placement & { readonly job: Job };

const NO_GRACE = 0 as Micros;
/** Added to a gang's save time, so that the other members' stops can arrive and their saves can end. */
const GANG_SAVE_MARGIN = seconds(2);
/**
 * Upper bound of the duration of a save before a recall: its stated duration times `SAVE_FACTOR` plus
 * `SAVE_MARGIN`.
 */
const SAVE_FACTOR = 1.2;
const SAVE_MARGIN = seconds(3);
const RECALL_SAVE_MARGIN = seconds(1);
/**
 * A task is not expected to complete before a recall if its remaining estimate exceeds the remaining time by this
 * factor.
 */
const ESTIMATE_TOLERANCE = 1.5;

/** Derives the orders for each worker. */
export class OrderQueue {
  /** Stops that are also sent directly; emptied by the sender. */
  readonly urgent: UrgentOrder[] = [];

  /**
   * `stopping` holds the pending stops by task key: the queue adds them and exits remove them. `orphaned` knows
   * the tasks that must neither be stopped nor forgotten for now.
   */
  constructor(
    private readonly jobState: JobState,
    private readonly machines: Machines,
    private readonly exits: Pick<ObservedExits, 'has' | 'isBrokenGang' | 'running'>,
    private readonly orphaned: Pick<OrphanedTasks, 'isRetained'>,
    private readonly stopping: Map<string, PendingStop>,
  ) {}

  /** Whether a placed task that the worker does not hold should be started on it. */
  isWanted(placement: PlacedTask, machine: Machine): boolean {
    const key = taskKey(placement.job.spec.id, placement.task);
    return (
      machine.recallAt === null &&
      !placement.job.cancelled &&
      // An attempt from before a data loss may have exited and been forgotten, and is never started again.
      placement.attempt > this.jobState.attemptFloor &&
      this.stopping.get(key)?.attempt !== placement.attempt &&
      !this.exits.isBrokenGang(placement.job)
    );
  }

  /**
   * Orders for the response to the machine's latest heartbeat, as many as one line holds. Without `includeStarts`, starts
   * wait for a later response.
   */
  ordersFor(machine: Machine, includeStarts: boolean): readonly Order[] {
    const placed = this.jobState.placementsByMachine.get(machine.id);
    const orders: Order[] = [];
    this.addStops(machine, placed, orders);
    const stops = fittingOrders(orders);
    if (stops.length < orders.length || !includeStarts || !machine.authoritative) return stops;
    const forgotten = orders.filter((order) => order.op === 'forget').length;
    const starts = this.startsFor(machine, placed, MAX_TASKS_PER_MACHINE - (machine.tasks.size - forgotten));
    if (starts.length === 0) return stops;
    const fitting = fittingOrders([...orders, ...starts]);
    if (fitting.length > orders.length)
      machine.dispatched = fitting.slice(orders.length).map((order) => order.key);
    return fitting;
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
        // The committed state does not place this attempt on the machine. If the task has exited, the worker may
        // forget it: a completion would be durable by now.
        if (status === 'exited') orders.push({ op: 'forget', key, attempt });
        else {
          recordAnomaly('strange', 'unknown task reported', () => ({
            machine: machine.id,
            task: key,
            attempt,
          }));
          orders.push({ op: 'stop', key, attempt, grace: NO_GRACE });
        }
        continue;
      }
      if (status === 'exited') continue;
      const stop = this.stopping.get(key);
      if (placement.job.cancelled || this.exits.isBrokenGang(placement.job)) {
        orders.push({ op: 'stop', key, attempt, grace: NO_GRACE });
      } else if (stop && stop.attempt === attempt && status !== 'saving') {
        orders.push({ op: 'stop', key, attempt, grace: stop.grace });
      }
    }
  }

  /** Returns the starts of tasks that the worker does not hold, at most `maxStarts`. */
  private startsFor(
    machine: Machine,
    placed: ReadonlyMap<string, PlacedTask> | undefined,
    maxStarts: number,
  ): Order[] {
    const starts: Order[] = [];
    for (const [key, placement] of placed ?? []) {
      if (starts.length >= maxStarts) break;
      if (
        machine.tasks.has(key) ||
        machine.seenAttempts.get(key) === placement.attempt ||
        this.exits.has(placement.job.spec.id, placement.task)
      )
        continue;
      if (!this.isWanted(placement, machine)) continue;
      starts.push({ op: 'start', key, attempt: placement.attempt });
    }
    return starts;
  }

  /**
   * Orders a task to stop, with `grace` as the time for saving. The stop is sent directly and with the next
   * responses.
   */
  stop(job: Job, task: number, grace: Micros, at: Micros): void {
    const placement = job.placed.get(task);
    if (!placement) return;
    const key = taskKey(job.spec.id, task);
    const previous = this.stopping.get(key);
    if (previous && previous.attempt === placement.attempt && previous.grace <= grace) return;
    this.stopping.set(key, { attempt: placement.attempt, grace, at });
    this.stopDirectly(placement, key, grace);
  }

  /**
   * Sends stops directly for tasks whose job's state requires them to exit: tasks of cancelled jobs and the
   * remaining members of broken gangs.
   */
  stopRemainingTasks(job: Job): void {
    for (const placement of job.placed.values()) {
      const key = taskKey(job.spec.id, placement.task);
      if (this.exits.has(job.spec.id, placement.task)) continue;
      const reported = this.machines.get(placement.machine)?.tasks.get(key);
      if (reported && reported.status !== 'exited') this.stopDirectly(placement, key, NO_GRACE);
    }
  }

  private stopDirectly({ machine: id, attempt }: Placement, key: string, grace: Micros): void {
    const machine = this.machines.get(id);
    if (machine?.reported) this.urgent.push({ machine, order: { op: 'stop', key, attempt, grace } });
  }

  /**
   * Completes partial preemptions of gangs by an earlier leader, which ordered only some of the members to save.
   * The other members are stopped too, since the save fails without them; this may still be in time. Returns the
   * job's id once for each saving member.
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

  /**
   * Drains machines that the cloud is about to reclaim. Tasks with checkpoints are stopped as late as they can still
   * be saved safely, others are stopped immediately if they cannot complete before the recall.
   */
  drainRecalledMachines(at: Micros): void {
    for (const machine of this.machines.values()) {
      if (machine.recallAt === null) continue;
      const remaining = machine.recallAt - at;
      for (const { job, task } of this.jobState.placementsByMachine.get(machine.id)?.values() ?? []) {
        const { id, checkpoint, save, shape, estimate } = job.spec;
        const run = this.exits.running.get(taskKey(id, task));
        if (checkpoint > 0) {
          if (remaining > save * SAVE_FACTOR + SAVE_MARGIN) continue;
          const members = shape === 'gang' ? [...job.placed.keys()] : [task];
          for (const member of members) this.stop(job, member, plus(save, RECALL_SAVE_MARGIN), at);
        } else if (run && estimate - (at - run.since) > remaining * ESTIMATE_TOLERANCE) {
          // The task cannot complete on this machine and saves nothing, so it is started elsewhere immediately.
          this.stop(job, task, NO_GRACE, at);
        }
      }
    }
  }
}
