/**
 * The leader's registry of machines and the tasks on them. It is deterministic: heartbeats, the cloud's responses
 * and the time are its input; orders and observed exits are its output. It holds no durable state: committed
 * starts and exits are kept in the state service, and each term begins with an empty registry.
 *
 * The registry owns the machines and processes heartbeats. It delegates to modules with their own state: observed
 * exits, worker leases, start confirmation, the order queue, orphaned tasks, quarantine and service readiness.
 */
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import type { ProvisioningUpdate, ListedMachine, Offer } from '../provisioning/model.js';
import type { JobState } from '../jobs/job-state.js';
import { type Job, type Placement, taskKey } from '../jobs/model.js';
import type { Settings } from '../settings/settings.js';
import type { MachineKind } from '../accounts/usage-rows.js';
import type { PhaseTracker } from '../accounts/phases.js';
import type { Start } from '../scheduler/model.js';
import type { Order, Heartbeat, ReportedTask } from './codec.js';
import {
  isStale,
  type Machine,
  type MachineInfo,
  type Machines,
  newMachine,
  NONE_DISPATCHED,
} from './machine.js';
import { ObservedExits, type RunningTask, type TaskExits } from './observed-exits.js';
import { type PendingStop, OrderQueue, type UrgentOrder } from './order-queue.js';
import { OrphanedTasks } from './orphaned-tasks.js';
import { Quarantine, type QuarantineDecision } from './quarantine.js';
import { ServiceReadiness } from './service-readiness.js';
import { StartConfirmation } from './start-confirmation.js';
import { WorkerLeases } from './worker-leases.js';

/**
 * Number of removed machines whose kind is remembered. Exits on a machine are committed within a few cycles after
 * its removal.
 */
const MAX_REMOVED_KINDS = 2000;
/**
 * A machine rented less than this time before the start of the term, in microseconds, may have been seen by the
 * previous leader just before its end, and does not count as a machine from before the term.
 */
const RENTAL_MARGIN_US = 1e6;
/** A worker gets no new tasks if it has sent no heartbeat for this many report intervals plus a margin. */
const MAX_MISSED_INTERVALS = 2.5;
const MISSED_INTERVALS_MARGIN_US = 1e6;

type PlacedTask = Placement & { readonly job: Job };

/** The leader's machines and everything observed on them in its term. */
export class WorkerRegistry {
  private readonly byId = new Map<string, Machine>();
  readonly machines: Machines = this.byId;
  private readonly removedIds = new Set<string>();
  /** Kinds of recently removed machines, the latest last. */
  private readonly removedKinds = new Map<string, MachineKind>();
  /** Pending stops by task key. */
  readonly stopping = new Map<string, PendingStop>();
  /** Whether something has changed that a scheduling cycle should process. */
  needsCycle = true;

  private readonly observedExits: ObservedExits;
  private readonly leases: WorkerLeases;
  private readonly startConfirmation = new StartConfirmation();
  private readonly orphaned: OrphanedTasks;
  private readonly orders: OrderQueue;
  private readonly quarantine: Quarantine;
  private readonly services: ServiceReadiness;

  constructor(
    private readonly settings: Settings,
    private readonly jobState: JobState,
    readonly term: number,
    readonly termBegan: Micros,
  ) {
    const requestCycle = (): void => {
      this.needsCycle = true;
    };
    this.observedExits = new ObservedExits(this.stopping, requestCycle);
    this.leases = new WorkerLeases(settings.workers, termBegan);
    this.orphaned = new OrphanedTasks(jobState, this.observedExits, requestCycle);
    this.orders = new OrderQueue(jobState, this.machines, this.observedExits, this.orphaned, this.stopping);
    this.quarantine = new Quarantine(jobState, this.observedExits, termBegan);
    this.services = new ServiceReadiness(jobState, this.observedExits.running);
  }

  // Machines

  private ensureMachine(id: string, at: Micros, info: MachineInfo): Machine {
    let machine = this.byId.get(id);
    if (!machine) {
      machine = newMachine(id, at, this.termBegan, info, this.jobState.weights.get(id) ?? []);
      this.byId.set(id, machine);
    }
    return machine;
  }

  /**
   * Adds a machine named in the cloud's response to a rental. The response may arrive long after the machine's
   * first heartbeat, or after its removal; returns false in the latter case.
   */
  addRentedMachine(id: string, at: Micros, offer: Offer): boolean {
    if (this.removedIds.has(id)) return false;
    const machine = this.ensureMachine(id, at, { addr: '', ...offer });
    machine.cloudStatus ??= 'booting';
    return true;
  }

  /** Applies an earlier leader's update on machines that the cloud's list does not show yet or still shows. */
  applyProvisioningUpdate(update: ProvisioningUpdate, at: Micros): void {
    for (const id of update.removed) this.removeMachine(id);
    for (const { id, age, type, zone, spot } of update.rented) {
      if (this.byId.has(id)) continue;
      this.addRentedMachine(id, plus(at, -age), { type, zone, spot });
    }
  }

  /** Applies the cloud's list of machines. */
  applyListing(list: readonly ListedMachine[], at: Micros): void {
    for (const listed of list) {
      if (this.removedIds.has(listed.id)) continue;
      const isNew = !this.byId.has(listed.id);
      const machine = this.ensureMachine(listed.id, at, listed);
      if (isNew) machine.since = Math.max(0, at - listed.age) as Micros;
      machine.type = listed.type;
      machine.zone = listed.zone;
      machine.spot = listed.spot;
      machine.addr = listed.addr;
      machine.cloudStatus = listed.status;
      if (listed.status === 'running') machine.runningSince ??= at;
    }
  }

  /**
   * Removes a machine after the cloud has confirmed its deletion: the machine and all of its tasks no longer
   * exist.
   */
  removeMachine(id: string): void {
    this.recordTasksLost(id);
    const machine = this.byId.get(id);
    if (machine) this.removedKinds.set(id, { type: machine.type, spot: machine.spot });
    if (this.removedKinds.size > MAX_REMOVED_KINDS)
      for (const oldest of this.removedKinds.keys()) {
        this.removedKinds.delete(oldest);
        break;
      }
    this.byId.delete(id);
    this.orphaned.forgetMachine(id);
    this.quarantine.forgetMachine(id);
    this.removedIds.add(id);
    this.needsCycle = true;
  }

  /** The machine's kind, also if it was removed recently; null if it has not been known in this term. */
  kindOf(id: string): MachineKind | null {
    return this.byId.get(id) ?? this.removedKinds.get(id) ?? null;
  }

  /** Whether the machine may get new tasks now. */
  isSchedulable(machine: Machine, at: Micros): boolean {
    return (
      machine.confirmed &&
      machine.recallAt === null &&
      machine.cordonReason === null &&
      machine.cloudStatus !== 'failed' &&
      !machine.hasUnknownTasks &&
      at >= machine.cooldownUntil &&
      at - machine.lastResponseAt <
        this.settings.workers.heartbeatInterval * MAX_MISSED_INTERVALS + MISSED_INTERVALS_MARGIN_US
    );
  }

  /** Whether each machine that existed before this term has sent a heartbeat with this term's token. */
  allMachinesConfirmed(): boolean {
    for (const machine of this.byId.values())
      if (
        !machine.confirmed &&
        machine.cloudStatus !== 'failed' &&
        machine.since < this.termBegan - RENTAL_MARGIN_US
      )
        return false;
    return true;
  }

  // Heartbeats

  /**
   * Records that a heartbeat was answered by a lease renewal only, as is done while a data loss is suspected. The
   * worker's lease counts from here and the heartbeat's content is ignored, but its number is kept so that older
   * heartbeats are recognised as stale.
   */
  renewLeaseOnly(heartbeat: Heartbeat, at: Micros): void {
    if (this.removedIds.has(heartbeat.machine)) return;
    const machine = this.ensureMachine(heartbeat.machine, at, heartbeat);
    if (isStale(heartbeat, machine)) return;
    if (heartbeat.incarnation > machine.incarnation) machine.seenAttempts.clear();
    machine.incarnation = heartbeat.incarnation;
    machine.sequence = heartbeat.sequence;
    machine.lastResponseAt = at;
  }

  /** Applies a heartbeat. Returns null if it is stale or its machine has been removed. */
  applyHeartbeat(heartbeat: Heartbeat, at: Micros): Machine | null {
    if (this.removedIds.has(heartbeat.machine)) return null;
    const machine = this.ensureMachine(heartbeat.machine, at, heartbeat);
    if (isStale(heartbeat, machine)) return null;
    // Once all leases from earlier terms have expired, incarnations that this leader has not heard from have
    // ended, and only this leader can change the others.
    const authoritative = heartbeat.fencingToken === this.term || this.priorLeasesExpired(at);
    if (machine.reported && heartbeat.incarnation > machine.incarnation)
      this.endIncarnation(machine, heartbeat, authoritative);
    if (!machine.reported) {
      this.needsCycle = true;
      machine.unconfirmedSince = at;
    }
    const elapsed = at - machine.lastResponseAt;
    this.updateMachine(machine, heartbeat, authoritative, at);
    const placed = this.jobState.placementsByMachine.get(machine.id);
    this.observeTasks(machine, heartbeat.tasks, placed, at);
    const startsFailed =
      machine.dispatched !== NONE_DISPATCHED && this.startConfirmation.startsFailed(machine, elapsed, at);
    machine.dispatched = NONE_DISPATCHED;
    if (authoritative) this.recordMissing(machine, placed, startsFailed);
    const isIdle = heartbeat.tasks.every((task) => task.status === 'exited') && (placed?.size ?? 0) === 0;
    if (!isIdle) machine.idleSince = null;
    else machine.idleSince ??= at;
    return machine;
  }

  /**
   * Handles the end of the worker's previous incarnation, with which all of its tasks ended. An older leader that
   * did not see the start of a task may however have repeated it in the new incarnation. The task may then run
   * there already or arrive with a response that the worker still accepts, until the worker knows this term or the
   * older leader's responses have become invalid.
   */
  private endIncarnation(machine: Machine, heartbeat: Heartbeat, authoritative: boolean): void {
    const reported = new Map(heartbeat.tasks.map((task) => [task.key, task.attempt]));
    for (const [key, attempt] of machine.seenAttempts) {
      if (reported.get(key) === attempt) continue;
      if (authoritative) this.recordAttemptLost(machine, key, attempt);
      machine.seenAttempts.delete(key);
    }
  }

  private updateMachine(machine: Machine, heartbeat: Heartbeat, authoritative: boolean, at: Micros): void {
    machine.addr = heartbeat.addr;
    machine.type = heartbeat.type;
    machine.zone = heartbeat.zone;
    machine.spot = heartbeat.spot;
    machine.incarnation = heartbeat.incarnation;
    machine.sequence = heartbeat.sequence;
    machine.lastResponseAt = at;
    machine.reported = true;
    machine.authoritative = authoritative;
    if (heartbeat.fencingToken === this.term && !machine.confirmed) {
      machine.confirmed = true;
      this.needsCycle = true;
    }
    const recallAt = heartbeat.recall === null ? null : plus(at, heartbeat.recall);
    if ((recallAt === null) !== (machine.recallAt === null)) this.needsCycle = true;
    machine.recallAt = recallAt;
    // The same list object as in the previous heartbeat means unchanged tasks.
    if (machine.lastTaskList !== heartbeat.tasks) {
      machine.tasks.clear();
      for (const reported of heartbeat.tasks) machine.tasks.set(reported.key, reported);
      machine.lastTaskList = heartbeat.tasks;
    }
  }

  /**
   * Records the exit of placed tasks that are missing from an authoritative heartbeat and will not be started on
   * the machine.
   */
  private recordMissing(
    machine: Machine,
    placed: ReadonlyMap<string, PlacedTask> | undefined,
    startsFailed: boolean,
  ): void {
    for (const [key, placement] of placed ?? []) {
      if (machine.tasks.has(key) || this.hasObservedExit(placement.job.spec.id, placement.task)) continue;
      // Either the task was seen before and is missing now, or it never arrived and only this leader's next
      // response could still start it.
      if (
        startsFailed ||
        machine.seenAttempts.get(key) === placement.attempt ||
        !this.orders.isWanted(placement, machine)
      )
        this.observedExits.recordExit(placement.job, placement.task);
    }
  }

  private observeTasks(
    machine: Machine,
    tasks: readonly ReportedTask[],
    placed: ReadonlyMap<string, PlacedTask> | undefined,
    at: Micros,
  ): void {
    const hadUnknownTasks = machine.hasUnknownTasks;
    machine.hasUnknownTasks = false;
    this.orphaned.forgetMachine(machine.id);
    for (const reported of tasks) {
      const placement = placed?.get(reported.key);
      if (placement && placement.attempt === reported.attempt)
        this.observeTask(machine, placement, reported, at);
      else {
        if (reported.attempt <= this.jobState.attemptFloor) this.orphaned.recordReported(machine, reported);
        if (reported.status !== 'exited') machine.hasUnknownTasks = true;
      }
    }
    if (hadUnknownTasks !== machine.hasUnknownTasks) this.needsCycle = true;
  }

  private observeTask(machine: Machine, placement: PlacedTask, reported: ReportedTask, at: Micros): void {
    const { job, task } = placement;
    const { key, attempt, status, cause } = reported;
    const { running, phases } = this.observedExits;
    machine.seenAttempts.set(key, attempt);
    if (status !== 'exited') {
      const phase = status === 'fetching' ? 'fetching' : status === 'waiting' ? 'gathering' : 'running';
      phases.observe(key, attempt, phase, at);
      if (status === 'running' && !running.has(key)) running.set(key, { since: at, machine: machine.id });
      if (status !== 'fetching') machine.images.add(job.spec.image);
      return;
    }
    phases.recordExit(key, attempt, reported.saved);
    if (this.hasObservedExit(job.spec.id, task)) return;
    // If the incarnation ends, an older leader that has not seen this exit may start the same attempt in the next
    // incarnation. A completion counts in any case.
    if (cause !== 'done' && !machine.authoritative) return;
    const since = running.get(key)?.since;
    if (cause === 'done') {
      this.observedExits.forgetProgress(key);
      this.observedExits.recordCompletion(job, task);
      this.quarantine.recordCompletion(job, machine.id);
      return;
    }
    this.observedExits.recordExit(job, task, cause === 'error');
    this.quarantine.recordExit(job, machine, cause, since === undefined ? 0 : at - since, at);
  }

  // Exits

  /** Observed exits that are not durable yet, by job id. */
  get exits(): Map<string, TaskExits> {
    return this.observedExits.byJob;
  }

  /** Running tasks by task key. */
  get running(): ReadonlyMap<string, RunningTask> {
    return this.observedExits.running;
  }

  /** Times of the placements' phases, for the accounts. */
  get phases(): PhaseTracker {
    return this.observedExits.phases;
  }

  /** Whether an exit of the task was observed that is not durable yet. */
  hasObservedExit(jobId: string, task: number): boolean {
    return this.observedExits.has(jobId, task);
  }

  /** Drops the exits that a committed log entry contains. */
  dropDurableExits(jobId: string, done: readonly number[], gone: readonly number[]): void {
    this.observedExits.dropDurable(jobId, done, gone);
  }

  /**
   * Whether a gang has lost a member of its current attempt. The other members must exit before the gang can be
   * started again.
   */
  isBrokenGang(job: Job): boolean {
    return this.observedExits.isBrokenGang(job);
  }

  /**
   * Whether a task of the job is being stopped, or has exited or may be exiting without a committed log entry of
   * it.
   */
  hasUnresolvedTasks(job: Job): boolean {
    const { id } = job.spec;
    if (this.exits.has(id) || this.orphanedTasks.has(id)) return true;
    for (const placement of job.placed.values()) {
      const key = taskKey(id, placement.task);
      if (this.stopping.has(key)) return true;
      const machine = this.byId.get(placement.machine);
      if (machine === undefined || !machine.confirmed || machine.tasks.get(key)?.status === 'saving')
        return true;
    }
    return false;
  }

  /** Records the exit of all tasks placed on the machine; returns false if there were none. */
  private recordTasksLost(id: string): boolean {
    let foundTasks = false;
    for (const placement of this.jobState.placementsByMachine.get(id)?.values() ?? []) {
      if (this.hasObservedExit(placement.job.spec.id, placement.task)) continue;
      this.observedExits.recordExit(placement.job, placement.task);
      foundTasks = true;
    }
    return foundTasks;
  }

  private recordAttemptLost(machine: Machine, key: string, attempt: number): void {
    const placement = this.jobState.placementsByMachine.get(machine.id)?.get(key);
    if (placement?.attempt !== attempt) return;
    const { job, task } = placement;
    if (!this.hasObservedExit(job.spec.id, task)) this.observedExits.recordExit(job, task);
  }

  // Leases

  /** Time after which the worker's lease has certainly expired. */
  leaseExpiry(machine: Machine): Micros {
    return this.leases.expiryOf(machine);
  }

  /**
   * Whether each worker known to an earlier leader has sent this leader a heartbeat or has certainly lost its
   * lease.
   */
  priorLeasesExpired(at: Micros): boolean {
    return this.leases.priorLeasesExpired(at);
  }

  /**
   * Records the exit of tasks whose worker's lease has certainly expired, and returns their machines.
   * `acknowledged`: enough controllers have acknowledged this term.
   */
  expireLeases(at: Micros, acknowledged: boolean): string[] {
    const expired: string[] = [];
    if (acknowledged) this.leases.termAcknowledged(at);
    for (const id of this.jobState.placementsByMachine.keys()) {
      // This includes machines that are unknown in this term: an older leader that has not stepped down may still
      // renew their leases.
      if (at <= this.leases.expiryOf(this.byId.get(id))) continue;
      if (this.recordTasksLost(id)) expired.push(id);
    }
    for (const machine of this.byId.values()) {
      if (!machine.reported || at <= this.leases.expiryOf(machine)) continue;
      if (machine.confirmed) machine.unconfirmedSince = machine.lastResponseAt;
      machine.confirmed = false;
      machine.seenAttempts.clear();
      this.orphaned.forgetMachine(machine.id);
    }
    return expired;
  }

  // Orders

  /**
   * Orders for the response to the machine's latest heartbeat. Without `includeStarts`, starts wait for a later response.
   */
  ordersFor(machine: Machine, includeStarts = true): readonly Order[] {
    return this.orders.ordersFor(machine, includeStarts);
  }

  /** Stops that are also sent directly. */
  get urgentOrders(): UrgentOrder[] {
    return this.orders.urgent;
  }

  /**
   * Orders a task to stop, with `grace` as the time for saving. The stop is sent directly and with the next
   * responses.
   */
  stop(job: Job, task: number, grace: Micros, at: Micros): void {
    this.orders.stop(job, task, grace, at);
  }

  /**
   * Sends stops directly for tasks whose job's state requires them to exit: tasks of cancelled jobs and the
   * remaining members of broken gangs.
   */
  stopRemainingTasks(job: Job): void {
    this.orders.stopRemainingTasks(job);
  }

  /** Stops the remaining members of gangs that an earlier leader preempted only partially; returns the jobs. */
  completePartialPreemptions(at: Micros): string[] {
    return this.orders.completePartialPreemptions(at);
  }

  /**
   * Drains machines that the cloud is about to reclaim. Tasks with checkpoints are stopped as late as they can still
   * be saved safely, others are stopped immediately if they cannot complete before the recall.
   */
  drainRecalledMachines(at: Micros): void {
    this.orders.drainRecalledMachines(at);
  }

  /** Workers whose responses were found to be lost since the caller last emptied this list. */
  get unreachableWorkers(): string[] {
    return this.startConfirmation.unreachable;
  }

  // Jobs

  /** Whether the job's user has cancelled it. */
  isCancelled(job: string): boolean {
    return this.jobState.jobs.get(job)?.cancelled === true;
  }

  /**
   * Services with GPUs that have become complete since the previous call, and of which at least one replica
   * started at or after `since`.
   */
  newlyCompleteServices(since: Micros): Job[] {
    return this.services.newlyComplete(since);
  }

  /**
   * Tasks of known jobs that have run since before a data loss and that no log entry contains, by job id and task
   * number.
   */
  get orphanedTasks(): ReadonlyMap<string, ReadonlyMap<number, Placement>> {
    return this.orphaned.byJob;
  }

  /** Jobs that workers report but no controller knows, with their tasks. */
  get unknownJobs(): Map<string, Set<string>> {
    return this.orphaned.unknownJobs;
  }

  /** The subset of `unknownJobs` whose waiting time has passed: their tasks are stopped. */
  get abortedUnknownJobs(): Set<string> {
    return this.orphaned.abortedUnknownJobs;
  }

  /** Starts by which a log entry adopts tasks that have run since before a data loss. */
  adoptions(): Start[] {
    return this.orphaned.adoptions();
  }

  /** Gives up jobs whose orphaned tasks cannot be adopted, and returns those newly given up. */
  abandonUnadoptableJobs(at: Micros): string[] {
    return this.orphaned.abandonUnadoptable(() => this.priorLeasesExpired(at));
  }

  // Faults

  /** Whether the job has failed wherever it ran. A suspect job is retried rarely and with few tasks. */
  isSuspect(job: Job, at: Micros): boolean {
    return this.quarantine.isSuspect(job, at);
  }

  /** Jobs that have become suspect since the previous call. */
  newSuspects(at: Micros): string[] {
    return this.quarantine.newSuspects(at);
  }

  /** Earliest time at which the job should be started again. */
  retryNotBefore(job: Job, at: Micros): Micros {
    return this.quarantine.retryNotBefore(job, at);
  }

  /** Machines that the job should avoid because it failed there; null if there are none. */
  avoidedMachines(job: Job): ReadonlySet<string> | null {
    return this.quarantine.avoidedMachines(job);
  }

  /**
   * Quarantines machines that are faulty by the evidence so far, and lifts the quarantine of those that no longer
   * are.
   */
  updateQuarantine(at: Micros): QuarantineDecision[] {
    return this.quarantine.update(this.machines, at);
  }
}
