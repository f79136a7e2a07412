/**
 * What follows from failures: machines that the evidence speaks against are quarantined, suspect jobs are retried seldom,
 * and no job is started again too soon where its task could not run.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { type Job, taskKey } from '../jobs/model.js';
import type { ExitCause } from './codec.js';
import { FaultAttribution } from './fault-attribution.js';
import type { Machine, Machines } from './machine.js';
import type { ObservedExits } from './observed-exits.js';

/** The cordon's reason of a quarantined machine. */
const FAULTY = 'faulty';
/** A machine without room, or a worker that does not know the job yet, is asked again after so long. */
const RETRY_DELAY = seconds(2);

/** A machine whose quarantine began or was lifted. */
export interface QuarantineDecision {
  readonly machine: string;
  readonly quarantined: boolean;
}

/** Machines and jobs that are kept from each other after failures. */
export class Quarantine {
  private readonly faults: FaultAttribution;
  private readonly reportedSuspects = new Set<string>();
  /** Jobs whose tasks a worker has turned away: not started again before. */
  private readonly retryAfter = new Map<string, Micros>();

  constructor(
    private readonly jobState: JobState,
    private readonly exits: Pick<ObservedExits, 'byJob' | 'running'>,
    termBegan: Micros,
  ) {
    this.faults = new FaultAttribution(termBegan);
  }

  /** A task completed: both its job and its machine are sound. */
  recordCompletion(job: Job, machine: string): void {
    this.faults.recordCompletion(job, machine);
  }

  /** A task exited without completing after it had run for `ranFor` microseconds. */
  recordExit(job: Job, machine: Machine, cause: ExitCause | null, ranFor: number, at: Micros): void {
    if (cause === 'error') this.faults.recordFailure(job, machine.id, ranFor, at);
    else if (cause === 'no-room') machine.cooldownUntil = plus(at, RETRY_DELAY);
    else if (cause === 'unknown' || cause === 'busy') this.retryAfter.set(job.spec.id, plus(at, RETRY_DELAY));
  }

  /** The machine is gone: nothing is held against it. */
  forgetMachine(machine: string): void {
    this.faults.forgetMachine(machine);
  }

  /** It failed wherever it ran: retried, but seldom and little of it. */
  isSuspect(job: Job, at: Micros): boolean {
    if (!this.faults.isSuspect(job, 0)) return false;
    let ranFor = 0;
    for (const task of job.placed.keys()) {
      const run = this.exits.running.get(taskKey(job.spec.id, task));
      if (run) ranFor = Math.max(ranFor, at - run.since);
    }
    return this.faults.isSuspect(job, ranFor);
  }

  /** Jobs that have become suspect since this was last called. */
  newSuspects(at: Micros): string[] {
    const suspects: string[] = [];
    for (const [id, exits] of this.exits.byJob) {
      if (exits.failed.size === 0 || this.reportedSuspects.has(id)) continue;
      const job = this.jobState.jobs.get(id);
      if (!job || !this.isSuspect(job, at)) continue;
      this.reportedSuspects.add(id);
      suspects.push(id);
    }
    return suspects;
  }

  /** Not before this time should the job be started again. */
  retryNotBefore(job: Job, at: Micros): Micros {
    const after = this.retryAfter.get(job.spec.id) ?? (0 as Micros);
    return this.isSuspect(job, at) ? (Math.max(after, this.faults.retryNotBefore(job)) as Micros) : after;
  }

  /** Machines a job should avoid, because it failed there; null: none. */
  avoidedMachines(job: Job): ReadonlySet<string> | null {
    return this.faults.avoidedMachines(job);
  }

  /** Cordons machines that the evidence speaks against, and frees those it no longer does. */
  update(machines: Machines, at: Micros): QuarantineDecision[] {
    const faulty = this.faults.faultyMachines(at, (job) => this.isSuspect(job, at));
    const decisions: QuarantineDecision[] = [];
    for (const machine of machines.values()) {
      if (machine.cordonReason === null && faulty.has(machine.id)) machine.cordonReason = FAULTY;
      else if (machine.cordonReason === FAULTY && !faulty.has(machine.id)) machine.cordonReason = null;
      else continue;
      decisions.push({ machine: machine.id, quarantined: machine.cordonReason !== null });
    }
    return decisions;
  }
}
