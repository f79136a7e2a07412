/**
 * Checks the rules of the protocol against the events of the hollow workers and the responses that users received. Each
 * event is checked in constant time, since thousands arrive per second; the simulation's checker iterates over all
 * running tasks instead. Events of several processes must be passed in the order of their times.
 */
import type { JobDescription, MachineDescription, WorkerEvent } from './model.js';
import { taskName } from './model.js';

/** The name of a checked rule. */
export type RuleName =
  | 'ran_twice'
  | 'attempt_reused'
  | 'quota'
  | 'wrong_place'
  | 'ran_cancelled'
  | 'forgotten'
  | 'invented'
  | 'not_done'
  | 'went_back';

/** A violated rule with a description of the violation. */
export interface Violation {
  readonly rule: RuleName;
  readonly detail: string;
}

/** Resource limits of a team; 0 means unlimited. */
export interface TeamLimit {
  readonly vcpus: number;
  readonly accelerators: number;
}

/** State of a job as responses to users name it. */
export type ReportedState = 'pending' | 'running' | 'done' | 'aborted';

interface Usage {
  vcpus: number;
  accelerators: number;
}
interface CheckedJob {
  readonly description: JobDescription;
  readonly completed: Set<number>;
  /** Number of the job's tasks on machines, by zone. */
  readonly zones: Map<string, number>;
  /** Number of the job's tasks on machines. */
  present: number;
  accepted: boolean;
  finalState: 'done' | 'aborted' | null;
  cancelRequested: boolean;
  /** When a response first confirmed the cancellation; null if none has. */
  cancelledAt: number | null;
}

const EPSILON = 1e-6;
/** Limits the output: later violations usually repeat the first ones. */
const MAX_VIOLATIONS = 100;

/** Limits and machines that the rules refer to. */
export interface RuleCheckerDependencies {
  readonly limits: ReadonlyMap<string, TeamLimit>;
  readonly cancelMs: number;
  readonly machine: (id: string) => MachineDescription | undefined;
}

/** Checks the whole run and keeps the first violations. */
export class RuleChecker {
  readonly violations: Violation[] = [];
  started = 0;
  completed = 0;
  /** Longest interval between two task starts, in milliseconds, since this field was last set to 0. */
  longestPauseMs = 0;
  private lastStartAt = 0;
  private readonly jobs = new Map<string, CheckedJob>();
  private readonly machineOfTask = new Map<string, string>();
  private readonly machineOfAttempt = new Map<string, string>();
  private readonly usageByTeam = new Map<string, Usage>();
  private readonly teamsOverLimit = new Set<string>();
  private readonly cancelledJobs = new Set<CheckedJob>();
  /**
   * Called when a task starts, which is when its image is fetched. Users measure the waiting time of urgent jobs with
   * it.
   */
  onStarted: (job: JobDescription, event: WorkerEvent) => void = () => undefined;

  constructor(private readonly dependencies: RuleCheckerDependencies) {}

  /** Registers a job before its first submission request. */
  jobSubmitted(description: JobDescription): void {
    this.jobs.set(description.id, {
      description,
      completed: new Set(),
      zones: new Map(),
      present: 0,
      accepted: false,
      finalState: null,
      cancelRequested: false,
      cancelledAt: null,
    });
  }

  /** Returns the submitted description of a job; undefined if no user submitted it. */
  description(id: string): JobDescription | undefined {
    return this.jobs.get(id)?.description;
  }

  /** Number of tasks that are on machines. */
  get presentTasks(): number {
    return this.machineOfTask.size;
  }

  /** Handles a worker's event. Events must arrive in the order of their times. */
  handleEvent(event: WorkerEvent): void {
    const job = this.jobs.get(event.job);
    const name = taskName(event.job, event.task);
    if (job === undefined)
      return this.violate('invented', `task ${name} has an event but its job was never submitted`);
    if (event.kind === 'ordered') this.handleOrdered(name, event);
    else if (event.kind === 'started') this.handleStarted(job, name, event);
    else if (event.kind === 'left') this.handleLeft(job, name, event);
  }

  /** Handles the response to a submission. */
  handleSubmissionResponse(id: string, status: number): void {
    const job = this.jobs.get(id)!;
    if (status === 200 || status === 201) job.accepted = true;
    else if (job.accepted && (status === 400 || status === 422))
      this.violate('forgotten', `job ${id} was accepted and later rejected with status ${status}`);
  }

  /** Records that the user is about to request the job's cancellation. */
  cancelRequested(id: string): void {
    this.jobs.get(id)!.cancelRequested = true;
  }

  /** Handles the response to a poll or a cancellation; `state` is absent with status 404. */
  handleJobResponse(id: string, status: number, state: ReportedState | undefined, at: number): void {
    const job = this.jobs.get(id);
    if (job === undefined) {
      if (status === 200)
        this.violate('invented', `job ${id} was returned with status 200 but never submitted`);
      return;
    }
    if (status === 404 && job.accepted)
      this.violate('forgotten', `accepted job ${id} was answered with status 404`);
    if (status !== 200 || state === undefined) return;
    if (job.finalState !== null && state !== job.finalState)
      this.violate('went_back', `job ${id} went from the final state ${job.finalState} to ${state}`);
    if (state === 'done') this.checkDone(job);
    else if (state === 'aborted') this.checkAborted(job, at);
  }

  /** Checks that tasks of cancelled jobs have left their machines in time. Must be called periodically. */
  checkCancelled(at: number): void {
    for (const job of this.cancelledJobs) {
      if (job.present > 0 && at - job.cancelledAt! <= this.dependencies.cancelMs) continue;
      if (job.present > 0)
        this.violate(
          'ran_cancelled',
          `${job.present} tasks of the cancelled job ${job.description.id} are still on machines`,
        );
      if (at - job.cancelledAt! > this.dependencies.cancelMs) this.cancelledJobs.delete(job);
    }
  }

  private checkDone(job: CheckedJob): void {
    job.finalState = 'done';
    const { id, tasks } = job.description;
    if (job.completed.size < tasks)
      this.violate(
        'not_done',
        `job ${id} was reported done with ${job.completed.size} of ${tasks} tasks completed`,
      );
  }

  private checkAborted(job: CheckedJob, at: number): void {
    if (!job.cancelRequested)
      this.violate(
        'went_back',
        `job ${job.description.id} was reported aborted without a cancellation request`,
      );
    if (job.finalState !== 'aborted') {
      job.cancelledAt = at;
      this.cancelledJobs.add(job);
    }
    job.finalState = 'aborted';
  }

  private handleOrdered(name: string, { attempt, machine }: WorkerEvent): void {
    const key = `${name}#${attempt}`;
    const previousMachine = this.machineOfAttempt.get(key);
    if (previousMachine !== undefined && previousMachine !== machine)
      this.violate('attempt_reused', `attempt ${key} was ordered on both ${previousMachine} and ${machine}`);
    this.machineOfAttempt.set(key, machine);
  }

  private handleStarted(job: CheckedJob, name: string, event: WorkerEvent): void {
    const { description } = job;
    this.started++;
    if (this.lastStartAt > 0)
      this.longestPauseMs = Math.max(this.longestPauseMs, event.at - this.lastStartAt);
    this.lastStartAt = event.at;
    const previousMachine = this.machineOfTask.get(name);
    if (previousMachine !== undefined)
      this.violate('ran_twice', `task ${name} was on both ${previousMachine} and ${event.machine}`);
    this.machineOfTask.set(name, event.machine);
    job.present++;
    this.checkPlacement(job, name, event.machine);
    this.updateUsage(description, 1);
    if (job.cancelledAt !== null && event.at - job.cancelledAt > this.dependencies.cancelMs)
      this.violate('ran_cancelled', `task ${name} started too long after its job was cancelled`);
    this.onStarted(description, event);
  }

  private handleLeft(job: CheckedJob, name: string, event: WorkerEvent & { readonly kind: 'left' }): void {
    if (event.completed) {
      this.completed++;
      job.completed.add(event.task);
    }
    if (this.machineOfTask.get(name) !== event.machine) return;
    this.machineOfTask.delete(name);
    job.present--;
    const zone = this.dependencies.machine(event.machine)?.zone;
    if (zone !== undefined) job.zones.set(zone, Math.max(0, (job.zones.get(zone) ?? 0) - 1));
    this.updateUsage(job.description, -1);
  }

  private checkPlacement(job: CheckedJob, name: string, machineId: string): void {
    const machine = this.dependencies.machine(machineId);
    if (machine === undefined) return;
    const { kinds, zone, samePlace, scatter, tasks } = job.description;
    if (kinds !== null && !kinds.includes(machine.kind))
      this.violate(
        'wrong_place',
        `task ${name} is on a machine of type ${machine.kind}, which its job does not allow`,
      );
    if (zone !== null && zone !== machine.zone)
      this.violate(
        'wrong_place',
        `task ${name} is in zone ${machine.zone}, not in the zone that its job requires`,
      );
    const tasksInZone = (job.zones.get(machine.zone) ?? 0) + 1;
    job.zones.set(machine.zone, tasksInZone);
    if (samePlace && tasksInZone < job.present)
      this.violate('wrong_place', `task ${name}: its job must run in one zone, but runs in several`);
    if (scatter && tasksInZone > Math.ceil(tasks / 2))
      this.violate(
        'wrong_place',
        `task ${name}: ${tasksInZone} tasks of its job are in zone ${machine.zone}, more than half`,
      );
  }

  private updateUsage({ team, vcpus, accelerators }: JobDescription, sign: 1 | -1): void {
    let used = this.usageByTeam.get(team);
    if (used === undefined) this.usageByTeam.set(team, (used = { vcpus: 0, accelerators: 0 }));
    used.vcpus += sign * vcpus;
    used.accelerators += sign * accelerators;
    const limit = this.dependencies.limits.get(team);
    if (limit === undefined) return;
    const isOverLimit =
      (limit.vcpus > 0 && used.vcpus > limit.vcpus + EPSILON) ||
      (limit.accelerators > 0 && used.accelerators > limit.accelerators + EPSILON);
    if (isOverLimit && !this.teamsOverLimit.has(team))
      this.violate(
        'quota',
        `team ${team} uses ${used.vcpus} CPUs and ${used.accelerators} accelerators, over its limit`,
      );
    if (isOverLimit) this.teamsOverLimit.add(team);
    else this.teamsOverLimit.delete(team);
  }

  private violate(rule: RuleName, detail: string): void {
    if (this.violations.length < MAX_VIOLATIONS) this.violations.push({ rule, detail });
  }
}
