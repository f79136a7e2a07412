/**
 * The protocol's rules, checked against what really happened on the hollow workers and what users were told. Every event
 * costs a constant time, since thousands come in a second; the simulation's checker walks over all running tasks instead. Events of several processes are taken in the order of their times.
 */
import type { JobDescription, MachineDescription, WorkerEvent } from './model.js';
import { taskName } from './model.js';

/** The rules that are checked. */
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

/** A rule that was broken, and by what. */
export interface Violation {
  readonly rule: RuleName;
  readonly detail: string;
}

/** What a team may use; 0: any amount. */
export interface TeamLimit {
  readonly vcpus: number;
  readonly accelerators: number;
}

/** The states of a job that users are told. */
export type ReportedState = 'pending' | 'running' | 'done' | 'aborted';

interface Usage {
  vcpus: number;
  accelerators: number;
}
interface CheckedJob {
  readonly description: JobDescription;
  readonly completed: Set<number>;
  /** Machines with present tasks of it, by zone. */
  readonly zones: Map<string, number>;
  present: number;
  accepted: boolean;
  ended: 'done' | 'aborted' | null;
  cancelRequested: boolean;
  /** When its user was told that it is cancelled. */
  cancelledAt: number | null;
}

const EPSILON = 1e-6;
/** More would only repeat the first ones. */
const MOST_VIOLATIONS = 100;

/** What the rules need to know beside events and answers. */
export interface RuleCheckerParts {
  readonly limits: ReadonlyMap<string, TeamLimit>;
  readonly cancelMs: number;
  readonly machine: (id: string) => MachineDescription | undefined;
}

/** Keeps the first violations; the same state for the whole run. */
export class RuleChecker {
  readonly violations: Violation[] = [];
  started = 0;
  completed = 0;
  /** The longest time between two starts, milliseconds, since it was last set to 0. */
  longestPauseMs = 0;
  private startedAt = 0;
  private readonly jobs = new Map<string, CheckedJob>();
  private readonly machineOf = new Map<string, string>();
  private readonly attemptOn = new Map<string, string>();
  private readonly used = new Map<string, Usage>();
  private readonly overLimit = new Set<string>();
  private readonly cancelled = new Set<CheckedJob>();
  /** A task of an accepted job has its image: the job's first ones are what users wait for. */
  onStarted: (job: JobDescription, event: WorkerEvent) => void = () => undefined;

  constructor(private readonly parts: RuleCheckerParts) {}

  /** A user begins to submit a job. */
  jobSubmitted(description: JobDescription): void {
    this.jobs.set(description.id, {
      description,
      completed: new Set(),
      zones: new Map(),
      present: 0,
      accepted: false,
      ended: null,
      cancelRequested: false,
      cancelledAt: null,
    });
  }

  /** A job as it was submitted. */
  description(id: string): JobDescription | undefined {
    return this.jobs.get(id)?.description;
  }

  /** Tasks on machines now. */
  get presentTasks(): number {
    return this.machineOf.size;
  }

  /** An event of a worker; events come in the order of their times. */
  handleEvent(event: WorkerEvent): void {
    const job = this.jobs.get(event.job);
    const name = taskName(event.job, event.task);
    if (job === undefined) return this.violate('invented', `${name} was started, which nobody submitted`);
    if (event.kind === 'ordered') this.ordered(name, event);
    else if (event.kind === 'started') this.start(job, name, event);
    else if (event.kind === 'left') this.leave(job, name, event);
  }

  /** The answer to a submission. */
  submissionAnswered(id: string, status: number): void {
    const job = this.jobs.get(id)!;
    if (status === 200 || status === 201) job.accepted = true;
    else if (job.accepted && (status === 400 || status === 422))
      this.violate('forgotten', `${id} was accepted and then refused with ${status}`);
  }

  /** The user has asked for the job's cancellation. */
  cancelRequested(id: string): void {
    this.jobs.get(id)!.cancelRequested = true;
  }

  /** The answer to a poll or a cancellation; `state` is absent with 404. */
  jobReported(id: string, status: number, state: ReportedState | undefined, at: number): void {
    const job = this.jobs.get(id);
    if (job === undefined) {
      if (status === 200) this.violate('invented', `${id} is known`);
      return;
    }
    if (status === 404 && job.accepted) this.violate('forgotten', `${id} is not known`);
    if (status !== 200 || state === undefined) return;
    if (job.ended !== null && state !== job.ended)
      this.violate('went_back', `${id} went from ${job.ended} to ${state}`);
    if (state === 'done') this.toldDone(job);
    else if (state === 'aborted') this.toldAborted(job, at);
  }

  /** To be called now and then: what was cancelled must be gone in time. */
  checkCancelled(at: number): void {
    for (const job of this.cancelled) {
      if (job.present > 0 && at - job.cancelledAt! <= this.parts.cancelMs) continue;
      if (job.present > 0)
        this.violate('ran_cancelled', `${job.present} tasks of ${job.description.id} are still there`);
      if (at - job.cancelledAt! > this.parts.cancelMs) this.cancelled.delete(job);
    }
  }

  private toldDone(job: CheckedJob): void {
    job.ended = 'done';
    const { id, tasks } = job.description;
    if (job.completed.size < tasks)
      this.violate('not_done', `${id} was called done with ${job.completed.size} of ${tasks} tasks`);
  }

  private toldAborted(job: CheckedJob, at: number): void {
    if (!job.cancelRequested) this.violate('went_back', `${job.description.id} was cancelled by nobody`);
    if (job.ended !== 'aborted') {
      job.cancelledAt = at;
      this.cancelled.add(job);
    }
    job.ended = 'aborted';
  }

  private ordered(name: string, { attempt, machine }: WorkerEvent): void {
    const key = `${name}#${attempt}`;
    const first = this.attemptOn.get(key);
    if (first !== undefined && first !== machine)
      this.violate('attempt_reused', `${key} on ${first} and ${machine}`);
    this.attemptOn.set(key, machine);
  }

  private start(job: CheckedJob, name: string, event: WorkerEvent): void {
    const { description } = job;
    this.started++;
    if (this.startedAt > 0) this.longestPauseMs = Math.max(this.longestPauseMs, event.at - this.startedAt);
    this.startedAt = event.at;
    const other = this.machineOf.get(name);
    if (other !== undefined) this.violate('ran_twice', `${name} on ${other} and ${event.machine}`);
    this.machineOf.set(name, event.machine);
    job.present++;
    this.checkPlace(job, name, event.machine);
    this.use(description, 1);
    if (job.cancelledAt !== null && event.at - job.cancelledAt > this.parts.cancelMs)
      this.violate('ran_cancelled', `${name} started after its job was cancelled`);
    this.onStarted(description, event);
  }

  private leave(job: CheckedJob, name: string, event: WorkerEvent & { readonly kind: 'left' }): void {
    if (event.completed) {
      this.completed++;
      job.completed.add(event.task);
    }
    if (this.machineOf.get(name) !== event.machine) return;
    this.machineOf.delete(name);
    job.present--;
    const zone = this.parts.machine(event.machine)?.zone;
    if (zone !== undefined) job.zones.set(zone, Math.max(0, (job.zones.get(zone) ?? 0) - 1));
    this.use(job.description, -1);
  }

  private checkPlace(job: CheckedJob, name: string, machineId: string): void {
    const machine = this.parts.machine(machineId);
    if (machine === undefined) return;
    const { kinds, zone, samePlace, scatter, tasks } = job.description;
    if (kinds !== null && !kinds.includes(machine.kind))
      this.violate('wrong_place', `${name} on a ${machine.kind}`);
    if (zone !== null && zone !== machine.zone) this.violate('wrong_place', `${name} in ${machine.zone}`);
    const here = (job.zones.get(machine.zone) ?? 0) + 1;
    job.zones.set(machine.zone, here);
    if (samePlace && here < job.present) this.violate('wrong_place', `${name}: its job is in several zones`);
    if (scatter && here > Math.ceil(tasks / 2))
      this.violate('wrong_place', `${name}: ${here} tasks of its job are in ${machine.zone}`);
  }

  private use({ team, vcpus, accelerators }: JobDescription, sign: 1 | -1): void {
    let used = this.used.get(team);
    if (used === undefined) this.used.set(team, (used = { vcpus: 0, accelerators: 0 }));
    used.vcpus += sign * vcpus;
    used.accelerators += sign * accelerators;
    const limit = this.parts.limits.get(team);
    if (limit === undefined) return;
    const over =
      (limit.vcpus > 0 && used.vcpus > limit.vcpus + EPSILON) ||
      (limit.accelerators > 0 && used.accelerators > limit.accelerators + EPSILON);
    if (over && !this.overLimit.has(team))
      this.violate('quota', `${team} uses ${used.vcpus} CPUs and ${used.accelerators} accelerators`);
    if (over) this.overLimit.add(team);
    else this.overLimit.delete(team);
  }

  private violate(rule: RuleName, detail: string): void {
    if (this.violations.length < MOST_VIOLATIONS) this.violations.push({ rule, detail });
  }
}
