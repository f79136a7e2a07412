/**
 * Reactions to failures: faulty machines are quarantined, suspect jobs are retried rarely, and a job whose task a
 * worker could not run is not started again immediately.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { type Job, taskKey } from '../jobs/model.js';
import type { ExitCause } from './codec.js';
import { FaultAttribution } from './fault-attribution.js';
import type { Machine, Machines } from './machine.js';
import type { ObservedExits } from './observed-exits.js';

/** Cordon reason of a quarantined machine. */
const QUARANTINE_REASON = 'faulty';
/**
 * Delay before a machine without free resources gets new tasks, or a job that its worker could not run yet is
 * started again.
 */
const RETRY_DELAY = seconds(2);

/** The start or the end of a machine's quarantine. */
export interface QuarantineDecision {
  readonly machine: string;
  readonly quarantined: boolean;
}

/** Keeps suspect jobs and faulty machines from getting new tasks after failures. */
export class Quarantine {
  private readonly attribution: FaultAttribution;
  private readonly reportedSuspects = new Set<string>();
  /** Earliest next start of jobs whose tasks were refused by a worker. */
  private readonly retryAfter = new Map<string, Micros>();

  constructor(
    private readonly jobState: JobState,
    private readonly exits: Pick<ObservedExits, 'byJob' | 'running'>,
    termBegan: Micros,
  ) {
    this.attribution = new FaultAttribution(termBegan);
  }

  /** Records that a task completed, which shows that both its job and its machine are sound. */
  recordCompletion(job: Job, machine: string): void {
    this.attribution.recordCompletion(job, machine);
  }

  /** Records that a task exited without completing after running for `ranFor` microseconds. */
  recordExit(job: Job, machine: Machine, cause: ExitCause | null, ranFor: number, at: Micros): void {
    if (cause === 'error') this.attribution.recordFailure(job, machine.id, ranFor, at);
    else if (cause === 'no-capacity') machine.cooldownUntil = plus(at, RETRY_DELAY);
    else if (cause === 'unknown' || cause === 'busy') this.retryAfter.set(job.spec.id, plus(at, RETRY_DELAY));
  }

  /** Drops the evidence against a machine that has been returned. */
  forgetMachine(machine: string): void {
    this.attribution.forgetMachine(machine);
  }

  /** Whether the job has failed wherever it ran. A suspect job is retried rarely and with few tasks. */
  isSuspect(job: Job, at: Micros): boolean {
    if (!this.attribution.isSuspect(job, 0)) return false;
    let ranFor = 0;
    for (const task of job.placed.keys()) {
      const run = this.exits.running.get(taskKey(job.spec.id, task));
      if (run) ranFor = Math.max(ranFor, at - run.since);
    }
    return this.attribution.isSuspect(job, ranFor);
  }

  /** Jobs that have become suspect since the previous call. */
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

  /** Earliest time at which the job should be started again. */
  retryNotBefore(job: Job, at: Micros): Micros {
    const notBefore = this.retryAfter.get(job.spec.id) ?? (0 as Micros);
    return this.isSuspect(job, at)
      ? (Math.max(notBefore, this.attribution.retryNotBefore(job)) as Micros)
      : notBefore;
  }

  /** Machines that the job should avoid because it failed there; null if there are none. */
  avoidedMachines(job: Job): ReadonlySet<string> | null {
    return this.attribution.avoidedMachines(job);
  }

  /**
   * Cordons machines that are faulty by the evidence so far and lifts the quarantine of those that no longer are.
   * Returns the changes.
   */
  update(machines: Machines, at: Micros): QuarantineDecision[] {
    const faulty = this.attribution.faultyMachines(at, (job) => this.isSuspect(job, at));
    const decisions: QuarantineDecision[] = [];
    for (const machine of machines.values()) {
      if (machine.cordonReason === null && faulty.has(machine.id)) machine.cordonReason = QUARANTINE_REASON;
      else if (machine.cordonReason === QUARANTINE_REASON && !faulty.has(machine.id))
        machine.cordonReason = null;
      else continue;
      decisions.push({ machine: machine.id, quarantined: machine.cordonReason !== null });
    }
    return decisions;
  }
}
