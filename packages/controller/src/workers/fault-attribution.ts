/**
 * Fault attribution: decides whether a job or a machine causes failures. A failed task is evidence against both;
 * the other jobs on that machine and the other machines of that job tell them apart. A job submitted with a
 * mistake fails wherever it runs; it is retried rarely and with few tasks until its user cancels it. A machine is
 * faulty if jobs failed on it that are not suspect themselves, and is cleared when these jobs turn out to be
 * suspect.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';

/** A job is suspect if it has failed on this many machines and completed on none. */
const SUSPECT_MACHINES = 2;
/** A job avoids the machines of its latest failures, up to this many. */
const MAX_AVOIDED_MACHINES = 3;
/**
 * Delay before the first retry of a suspect job, by its shape. It doubles with each retry, up to
 * `MAX_RETRY_DELAY`. Gangs wait longer because each retry takes resources for all of their tasks.
 */
const INITIAL_RETRY_DELAY = { array: seconds(5), gang: seconds(15), service: seconds(5) };
/**
 * Below 90 s, the longest that a job may wait while there are free resources for it: a suspect job may be sound.
 */
const MAX_RETRY_DELAY = seconds(75);
/** Bounds the exponent of the retry delay, which reaches `MAX_RETRY_DELAY` long before. */
const MAX_DOUBLINGS = 10;
/**
 * A machine is faulty if at least this many jobs that are not suspect have failed on it since the last completion
 * on it.
 */
const MIN_FAILED_SOUND_JOBS = 2;
/**
 * Minimum age of the evidence against a machine: a broken job often fails on other machines shortly afterwards,
 * which clears the machine.
 */
const EVIDENCE_DELAY = seconds(3);
/**
 * A job is not suspect while one of its tasks runs for longer than its longest failed run, times this factor and
 * plus this margin.
 */
const SOUND_RUN_FACTOR = 2;
const SOUND_RUN_MARGIN = seconds(5);

interface JobFailures {
  /** Machines that the job failed on, the latest failure last. */
  readonly machines: Set<string>;
  retries: number;
  /** Earliest time of the next retry. */
  retryNotBefore: Micros;
  /** Longest time that a task of the job ran before it failed, in microseconds. */
  longestRun: number;
}

/** Failures observed in one leader's term and the conclusions drawn from them. */
export class FaultAttribution {
  private readonly jobs = new Map<string, JobFailures>();
  /**
   * By machine: the jobs that failed on it since the last completion on it, and the time of the first of these
   * failures.
   */
  private readonly machines = new Map<string, { readonly jobs: Map<string, Job>; readonly since: Micros }>();
  /** Jobs of which at least one task has completed. */
  private readonly completedJobs = new Set<string>();

  constructor(private readonly termBegan: Micros) {}

  /** Records that a task failed after running for `ranFor` microseconds. */
  recordFailure(job: Job, machine: string, ranFor: number, at: Micros): void {
    const { shape } = job.spec;
    const failures = this.failuresOf(job);
    // Moves the machine to the end: the set is ordered by the latest failure.
    failures.machines.delete(machine);
    failures.machines.add(machine);
    failures.longestRun = Math.max(failures.longestRun, ranFor);
    if (failures.machines.size >= SUSPECT_MACHINES && at >= failures.retryNotBefore) {
      // All failures before the next retry count as one.
      const delay = INITIAL_RETRY_DELAY[shape] * 2 ** Math.min(MAX_DOUBLINGS, failures.retries);
      failures.retryNotBefore = plus(at, Math.min(MAX_RETRY_DELAY, delay));
      failures.retries++;
    }
    let evidence = this.machines.get(machine);
    if (!evidence) this.machines.set(machine, (evidence = { jobs: new Map(), since: at }));
    evidence.jobs.set(job.spec.id, job);
  }

  private failuresOf(job: Job): JobFailures {
    const { id } = job.spec;
    let failures = this.jobs.get(id);
    if (!failures) {
      failures = {
        machines: new Set(job.failedOn),
        retries: job.failedOn.size,
        retryNotBefore: this.termBegan,
        longestRun: 0,
      };
      this.jobs.set(id, failures);
    }
    return failures;
  }

  /** Records that a task completed, which shows that both its job and its machine are sound. */
  recordCompletion(job: Job, machine: string): void {
    this.machines.delete(machine);
    if (job.failedOn.size > 0 || this.jobs.has(job.spec.id)) this.completedJobs.add(job.spec.id);
  }

  /** Drops the evidence against a machine that has been returned. */
  forgetMachine(machine: string): void {
    this.machines.delete(machine);
  }

  /**
   * Whether the job fails wherever it runs. `ranFor` is the time that its longest running task has run so far, in
   * microseconds.
   */
  isSuspect(job: Job, ranFor: number): boolean {
    const { id } = job.spec;
    if (job.completed.size > 0 || this.completedJobs.has(id)) return false;
    const failures = this.jobs.get(id);
    if ((failures?.machines.size ?? job.failedOn.size) < SUSPECT_MACHINES) return false;
    return ranFor <= (failures?.longestRun ?? 0) * SOUND_RUN_FACTOR + SOUND_RUN_MARGIN;
  }

  /** Earliest time at which a suspect job should be retried. */
  retryNotBefore(job: Job): Micros {
    // Failures of an earlier term: the delay counts from the start of this term, so that a new leader does not
    // retry every suspect job immediately.
    return (
      this.jobs.get(job.spec.id)?.retryNotBefore ?? plus(this.termBegan, INITIAL_RETRY_DELAY[job.spec.shape])
    );
  }

  /** Machines that the job failed on most recently; null if there are none. */
  avoidedMachines(job: Job): ReadonlySet<string> | null {
    const failedOn = this.jobs.get(job.spec.id)?.machines ?? job.failedOn;
    if (failedOn.size === 0) return null;
    return failedOn.size <= MAX_AVOIDED_MACHINES
      ? failedOn
      : new Set([...failedOn].slice(-MAX_AVOIDED_MACHINES));
  }

  /** Machines that are faulty according to the evidence so far. */
  faultyMachines(at: Micros, isSuspect: (job: Job) => boolean): Set<string> {
    const faulty = new Set<string>();
    for (const [id, { jobs, since }] of this.machines) {
      if (at - since < EVIDENCE_DELAY || jobs.size < MIN_FAILED_SOUND_JOBS) continue;
      let soundJobs = 0;
      for (const job of jobs.values()) if (!isSuspect(job)) soundJobs++;
      if (soundJobs >= MIN_FAILED_SOUND_JOBS) faulty.add(id);
    }
    return faulty;
  }
}
