/**
 * The leader's registry of machines and what may run on them. Deterministic: heartbeats, the cloud's answers and the time go
 * in; orders and observed exits come out. Nothing here is durable: the starts and exits that count stand in the state
 * service, and each term begins with an empty registry.
 *
 * The registry owns the machines and takes heartbeats in. Beside it: observed exits, worker leases, start confirmation, the
 * order queue, orphaned tasks, quarantine and service readiness, each with its own state.
 */
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import type { ProvisioningNews, ListedMachine, Offer } from '../provisioning/model.js';
import type { JobState } from '../jobs/job-state.js';
import { type Job, type Placement, taskKey } from '../jobs/model.js';
import type { Settings } from '../settings/settings.js';
import type { KindOf } from '../accounts/usage-rows.js';
import type { Phases } from '../accounts/phases.js';
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
import { ObservedExits, type Running, type TaskExits } from './observed-exits.js';
import { type Stopping, OrderQueue, type UrgentOrder } from './order-queue.js';
import { OrphanedTasks } from './orphaned-tasks.js';
import { Quarantine, type QuarantineDecision } from './quarantine.js';
import { ServiceReadiness } from './service-readiness.js';
import { StartConfirmation } from './start-confirmation.js';
import { WorkerLeases } from './worker-leases.js';

/** What exits on a machine is recorded within a few cycles after the machine has gone. */
const DEPARTED_KEPT = 2000;
/** A machine may have been rented so shortly before the term that its leader saw it as the last. */
const RENTED_MARGIN = 1e6;
/** A worker that has missed heartbeats for this many intervals, and for a margin, gets no new tasks. */
const SILENT_INTERVALS = 2.5;
const SILENT_MARGIN = 1e6;

type PlacedTask = Placement & { readonly job: Job };

/** The leader's machines and all that is observed of them in its term. */
export class WorkerRegistry {
  private readonly byId = new Map<string, Machine>();
  readonly machines: Machines = this.byId;
  private readonly removedIds = new Set<string>();
  /** What machines were that are gone, the latest ones. */
  private readonly departed = new Map<string, KindOf>();
  /** By task: stops that it has been told of. */
  readonly stopping = new Map<string, Stopping>();
  /** Something that a scheduling cycle should look at has changed. */
  needsCycle = true;

  private readonly observed: ObservedExits;
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
    this.observed = new ObservedExits(this.stopping, requestCycle);
    this.leases = new WorkerLeases(settings.workers, termBegan);
    this.orphaned = new OrphanedTasks(jobState, this.observed, requestCycle);
    this.orders = new OrderQueue(jobState, this.machines, this.observed, this.orphaned, this.stopping);
    this.quarantine = new Quarantine(jobState, this.observed, termBegan);
    this.services = new ServiceReadiness(jobState, this.observed.running);
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

  /** The cloud's answer to a rental names it, perhaps long after it has reported, or gone; false: it is gone. */
  addRentedMachine(id: string, at: Micros, offer: Offer): boolean {
    if (this.removedIds.has(id)) return false;
    const machine = this.ensureMachine(id, at, { addr: '', ...offer });
    machine.cloudStatus ??= 'booting';
    return true;
  }

  /** What an earlier leader has said of machines that the cloud's list does not show yet, or still shows. */
  applyProvisioningNews(news: ProvisioningNews, at: Micros): void {
    for (const id of news.removed) this.removeMachine(id);
    for (const { id, age, type, zone, spot } of news.rented) {
      if (this.byId.has(id)) continue;
      this.addRentedMachine(id, plus(at, -age), { type, zone, spot });
    }
  }

  /** Takes the cloud's list in. */
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

  /** The cloud has answered the deletion: the machine and everything on it are gone. */
  removeMachine(id: string): void {
    this.loseTasksOn(id);
    const machine = this.byId.get(id);
    if (machine) this.departed.set(id, { type: machine.type, spot: machine.spot });
    if (this.departed.size > DEPARTED_KEPT)
      for (const oldest of this.departed.keys()) {
        this.departed.delete(oldest);
        break;
      }
    this.byId.delete(id);
    this.orphaned.forgetMachine(id);
    this.quarantine.forgetMachine(id);
    this.removedIds.add(id);
    this.needsCycle = true;
  }

  /** What a machine is, or was; null: this leader has never known. */
  kindOf(id: string): KindOf | null {
    return this.byId.get(id) ?? this.departed.get(id) ?? null;
  }

  /** May get new tasks now. */
  isSchedulable(machine: Machine, at: Micros): boolean {
    return (
      machine.confirmed &&
      machine.recallAt === null &&
      machine.cordonReason === null &&
      machine.cloudStatus !== 'failed' &&
      !machine.hasUnknownTasks &&
      at >= machine.cooldownUntil &&
      at - machine.lastAnswered < this.settings.workers.report * SILENT_INTERVALS + SILENT_MARGIN
    );
  }

  /** Every machine that was there before this term has sent this leader a heartbeat with its token. */
  allMachinesConfirmed(): boolean {
    for (const machine of this.byId.values())
      if (
        !machine.confirmed &&
        machine.cloudStatus !== 'failed' &&
        machine.since < this.termBegan - RENTED_MARGIN
      )
        return false;
    return true;
  }

  // Heartbeats

  /**
   * A heartbeat was answered, and nothing else was made of it: while a loss of durable state is suspected. The worker's lease
   * counts from here, and what the heartbeat says is unknown; an older one must not pass for the latest.
   */
  renewLeaseOnly(heartbeat: Heartbeat, at: Micros): void {
    if (this.removedIds.has(heartbeat.machine)) return;
    const machine = this.ensureMachine(heartbeat.machine, at, heartbeat);
    if (isStale(heartbeat, machine)) return;
    if (heartbeat.incarnation > machine.incarnation) machine.seenAttempts.clear();
    machine.incarnation = heartbeat.incarnation;
    machine.sequence = heartbeat.sequence;
    machine.lastAnswered = at;
  }

  /** Takes a heartbeat in. null: it is older than what is known, or the machine is gone. */
  applyHeartbeat(heartbeat: Heartbeat, at: Micros): Machine | null {
    if (this.removedIds.has(heartbeat.machine)) return null;
    const machine = this.ensureMachine(heartbeat.machine, at, heartbeat);
    if (isStale(heartbeat, machine)) return null;
    // Once prior leases have expired, an incarnation that this leader has not heard of has ended, and what it has heard of
    // only it can change.
    const authoritative = heartbeat.fencingToken === this.term || this.priorLeasesExpired(at);
    if (machine.reported && heartbeat.incarnation > machine.incarnation)
      this.endIncarnation(machine, heartbeat, authoritative);
    if (!machine.reported) {
      this.needsCycle = true;
      machine.unconfirmedSince = at;
    }
    const elapsed = at - machine.lastAnswered;
    this.updateMachine(machine, heartbeat, authoritative, at);
    const placed = this.jobState.placementsByMachine.get(machine.id);
    this.observeTasks(machine, heartbeat.tasks, placed, at);
    const startsFailed =
      machine.dispatched !== NONE_DISPATCHED && this.startConfirmation.failed(machine, elapsed, at);
    machine.dispatched = NONE_DISPATCHED;
    if (authoritative) this.recordMissing(machine, placed, startsFailed);
    const isEmpty = heartbeat.tasks.every((t) => t.status === 'exited') && (placed?.size ?? 0) === 0;
    if (!isEmpty) machine.emptySince = null;
    else machine.emptySince ??= at;
    return machine;
  }

  /**
   * The worker's incarnation before has ended, and everything it held with it. But an older leader that had not seen the start
   * may have repeated it in this one: it may be here, or still come in a response that the worker takes, until it knows this
   * term or that leader's responses count no more.
   */
  private endIncarnation(machine: Machine, heartbeat: Heartbeat, authoritative: boolean): void {
    const reported = new Map(heartbeat.tasks.map((t) => [t.key, t.attempt]));
    for (const [key, attempt] of machine.seenAttempts) {
      if (reported.get(key) === attempt) continue;
      if (authoritative) this.loseAttempt(machine, key, attempt);
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
    machine.lastAnswered = at;
    machine.reported = true;
    machine.authoritative = authoritative;
    if (heartbeat.fencingToken === this.term && !machine.confirmed) {
      machine.confirmed = true;
      this.needsCycle = true;
    }
    const recallAt = heartbeat.recall === null ? null : plus(at, heartbeat.recall);
    if ((recallAt === null) !== (machine.recallAt === null)) this.needsCycle = true;
    machine.recallAt = recallAt;
    // The very list of its last heartbeat: it says the same again.
    if (machine.lastTaskList !== heartbeat.tasks) {
      machine.tasks.clear();
      for (const reported of heartbeat.tasks) machine.tasks.set(reported.key, reported);
      machine.lastTaskList = heartbeat.tasks;
    }
  }

  /** Records placed tasks as gone that an authoritative heartbeat lacks and that will not be there. */
  private recordMissing(
    machine: Machine,
    placed: ReadonlyMap<string, PlacedTask> | undefined,
    startsFailed: boolean,
  ): void {
    for (const [key, placement] of placed ?? []) {
      if (machine.tasks.has(key) || this.hasObservedExit(placement.job.spec.id, placement.task)) continue;
      // Seen before and not there any more, or: never arrived, and only our own next response could still bring it.
      if (
        startsFailed ||
        machine.seenAttempts.get(key) === placement.attempt ||
        !this.orders.isWanted(placement, machine)
      )
        this.observed.recordGone(placement.job, placement.task);
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
        if (reported.attempt <= this.jobState.attemptFloor) this.orphaned.note(machine, reported);
        if (reported.status !== 'exited') machine.hasUnknownTasks = true;
      }
    }
    if (hadUnknownTasks !== machine.hasUnknownTasks) this.needsCycle = true;
  }

  private observeTask(machine: Machine, placement: PlacedTask, reported: ReportedTask, at: Micros): void {
    const { job, task } = placement;
    const { key, attempt, status, cause } = reported;
    const { running, phases } = this.observed;
    machine.seenAttempts.set(key, attempt);
    if (status !== 'exited') {
      const phase = status === 'fetching' ? 'fetching' : status === 'waiting' ? 'gathering' : 'running';
      phases.note(key, attempt, phase, at);
      if (status === 'running' && !running.has(key)) running.set(key, { since: at, machine: machine.id });
      if (status !== 'fetching') machine.images.add(job.spec.image);
      return;
    }
    phases.ended(key, attempt, reported.saved);
    if (this.hasObservedExit(job.spec.id, task)) return;
    // Should the incarnation end, an older leader that has not heard of this may start the same attempt in the next one.
    // What is done is done.
    if (cause !== 'done' && !machine.authoritative) return;
    const since = running.get(key)?.since;
    if (cause === 'done') {
      this.observed.forgetProgress(key);
      this.observed.recordDone(job, task);
      this.quarantine.recordCompletion(job, machine.id);
      return;
    }
    this.observed.recordGone(job, task, cause === 'error');
    this.quarantine.recordExit(job, machine, cause, since === undefined ? 0 : at - since, at);
  }

  // Exits

  /** Observed exits that are not durable yet, by job. */
  get exits(): Map<string, TaskExits> {
    return this.observed.byJob;
  }

  /** By task. */
  get running(): ReadonlyMap<string, Running> {
    return this.observed.running;
  }

  /** Times of the placements' phases, for the accounts. */
  get phases(): Phases {
    return this.observed.phases;
  }

  /** Whether an exit of the task was observed that is not durable yet. */
  hasObservedExit(jobId: string, task: number): boolean {
    return this.observed.has(jobId, task);
  }

  /** Drops what a committed record has made durable. */
  dropDurableExits(jobId: string, done: readonly number[], gone: readonly number[]): void {
    this.observed.dropDurable(jobId, done, gone);
  }

  /** A gang that lost a member of its attempt: the others must go before a fresh attempt. */
  isBrokenGang(job: Job): boolean {
    return this.observed.isBrokenGang(job);
  }

  /** A task of it is being stopped, or has exited or may be exiting without a record of that. */
  hasUnsettledTasks(job: Job): boolean {
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

  /** Records all that is placed on the machine as gone; false: there was nothing. */
  private loseTasksOn(id: string): boolean {
    let any = false;
    for (const placement of this.jobState.placementsByMachine.get(id)?.values() ?? []) {
      if (this.hasObservedExit(placement.job.spec.id, placement.task)) continue;
      this.observed.recordGone(placement.job, placement.task);
      any = true;
    }
    return any;
  }

  private loseAttempt(machine: Machine, key: string, attempt: number): void {
    const placement = this.jobState.placementsByMachine.get(machine.id)?.get(key);
    if (placement?.attempt !== attempt) return;
    const { job, task } = placement;
    if (!this.hasObservedExit(job.spec.id, task)) this.observed.recordGone(job, task);
  }

  // Leases

  /** After this the worker's lease has surely expired. */
  leaseExpiry(machine: Machine): Micros {
    return this.leases.expiryOf(machine);
  }

  /** Whatever an earlier leader knew of has sent this one a heartbeat, or its lease has surely expired. */
  priorLeasesExpired(at: Micros): boolean {
    return this.leases.priorExpired(at);
  }

  /**
   * Records as gone what surely ended with expired leases, and returns the machines. `acknowledged`: enough controllers know
   * this term.
   */
  expireLeases(at: Micros, acknowledged: boolean): string[] {
    const expired: string[] = [];
    if (acknowledged) this.leases.termAcknowledged(at);
    for (const id of this.jobState.placementsByMachine.keys()) {
      // Also for machines this leader has never heard of: an older one that holds on may still renew them.
      if (at <= this.leases.expiryOf(this.byId.get(id))) continue;
      if (this.loseTasksOn(id)) expired.push(id);
    }
    for (const machine of this.byId.values()) {
      if (!machine.reported || at <= this.leases.expiryOf(machine)) continue;
      if (machine.confirmed) machine.unconfirmedSince = machine.lastAnswered;
      machine.confirmed = false;
      machine.seenAttempts.clear();
      this.orphaned.forgetMachine(machine.id);
    }
    return expired;
  }

  // Orders

  /** What the response to the machine's latest heartbeat should say; without `starts`, starts wait for a later one. */
  ordersFor(machine: Machine, starts = true): Order[] {
    return this.orders.ordersFor(machine, starts);
  }

  /** Stops that should also go out directly. */
  get urgentOrders(): UrgentOrder[] {
    return this.orders.urgent;
  }

  /** Asks a task to stop, saving within `grace` if it can. Goes out directly and with the next responses. */
  stop(job: Job, task: number, grace: Micros, at: Micros): void {
    this.orders.stop(job, task, grace, at);
  }

  /** Sends stops directly that jobs' own states call for: cancelled jobs and what is left of broken gangs. */
  stopRemainingTasks(job: Job): void {
    this.orders.stopRemainingTasks(job);
  }

  /** Tells the other members of gangs that an earlier leader has preempted partially; returns these jobs. */
  completePartialPreemptions(at: Micros): string[] {
    return this.orders.completePartialPreemptions(at);
  }

  /** Drains machines that the cloud is about to reclaim: saves what can be saved, as late as is safe. */
  drainRecalledMachines(at: Micros): void {
    this.orders.drainRecalledMachines(at);
  }

  /** Workers whose responses were found lost since this was last emptied. */
  get unreachableWorkers(): string[] {
    return this.startConfirmation.unreachable;
  }

  // Jobs

  /** Whether the job's user has cancelled it. */
  isCancelled(job: string): boolean {
    return this.jobState.jobs.get(job)?.cancelled === true;
  }

  /** Services with GPUs that have become complete since last asked, with a replica that started since `day`. */
  newlyCompleteServices(day: Micros): Job[] {
    return this.services.newlyComplete(day);
  }

  /** Tasks of known jobs that run from before a loss and that no record knows of, by job and task. */
  get orphanedTasks(): ReadonlyMap<string, ReadonlyMap<number, Placement>> {
    return this.orphaned.byJob;
  }

  /** Jobs that workers name and nobody knows, with their tasks. */
  get unknownJobs(): Map<string, Set<string>> {
    return this.orphaned.unknownJobs;
  }

  /** Of these, those that have been left alone for long enough: their tasks are stopped. */
  get abortedUnknownJobs(): Set<string> {
    return this.orphaned.abortedUnknownJobs;
  }

  /** Starts that have happened already, before a loss, as a record adopts them. */
  adoptions(): Start[] {
    return this.orphaned.adoptions();
  }

  /** Gives up the jobs whose orphaned tasks can't be adopted, and returns those newly given up. */
  abandonUnadoptableJobs(at: Micros): string[] {
    return this.orphaned.abandonUnadoptable(() => this.priorLeasesExpired(at));
  }

  // Faults

  /** The job failed wherever it ran: retried, but seldom and little of it. */
  isSuspect(job: Job, at: Micros): boolean {
    return this.quarantine.isSuspect(job, at);
  }

  /** Jobs that have become suspect since this was last called. */
  newSuspects(at: Micros): string[] {
    return this.quarantine.newSuspects(at);
  }

  /** Not before this time should the job be started again. */
  retryNotBefore(job: Job, at: Micros): Micros {
    return this.quarantine.retryNotBefore(job, at);
  }

  /** Machines a job should avoid, because it failed there; null: none. */
  avoidedMachines(job: Job): ReadonlySet<string> | null {
    return this.quarantine.avoidedMachines(job);
  }

  /** Quarantines machines that the evidence speaks against, and lifts the quarantine of others. */
  updateQuarantine(at: Micros): QuarantineDecision[] {
    return this.quarantine.update(this.machines, at);
  }
}
