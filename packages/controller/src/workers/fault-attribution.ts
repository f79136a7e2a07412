/**
 * Fault attribution: was it the job or the machine? A failed task is evidence against both; the other jobs of that machine and
 * the other machines of that job tell which. A job submitted with a mistake fails wherever it runs; it is retried, seldom and
 * little of it, until its user cancels it. A machine is faulty if jobs failed there that are not themselves suspect, and no
 * longer when they turn out to be.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';

/** A job that failed on so many machines, and completed on none, is suspect. */
const SUSPECT_MACHINES = 2;
/** Machines that a job avoids: the last so many that it failed on. */
const AVOIDED = 3;
/** Waits between retries of a suspect: first, and at the most. A gang takes the room of all its tasks at each retry. */
const FIRST_WAIT = { array: seconds(5), gang: seconds(15), service: seconds(5) };
/** Under the 90 s for which no job may be left waiting beside room: a suspect may be sound. */
const MAX_WAIT = seconds(75);
/** Bounds the exponent; `MAX_WAIT` is reached long before. */
const MAX_DOUBLINGS = 10;
/** So many jobs that are not suspects must have failed on a machine, and none completed there since. */
const FAULTY_JOBS = 2;
/** Failures of one moment often tell more a moment later: a job fails on its other machines too. */
const SETTLING_TIME = seconds(3);
/** A task that has run for longer than its job's failures took, with this to spare, speaks for the job. */
const PROOF_TIMES = 2;
const PROOF_MARGIN = seconds(5);

interface JobFailures {
  /** That it failed on, the latest last. */
  readonly machines: Set<string>;
  retries: number;
  /** Not to be retried before. */
  retryNotBefore: Micros;
  /** The longest that a task of it ran before it failed, in microseconds. */
  longestRun: number;
}

/** Failures of one leader's term, and what follows from them. */
export class FaultAttribution {
  private readonly jobs = new Map<string, JobFailures>();
  /** By machine: jobs that failed there since one last completed there, and when the first of them did. */
  private readonly machines = new Map<string, { readonly jobs: Map<string, Job>; readonly since: Micros }>();
  /** Jobs of which a task completed. */
  private readonly proven = new Set<string>();

  constructor(private readonly termBegan: Micros) {}

  /** A task failed after it had run for `ranFor` microseconds. */
  recordFailure(job: Job, machine: string, ranFor: number, at: Micros): void {
    const { shape } = job.spec;
    const failures = this.failuresOf(job);
    // The latest last.
    failures.machines.delete(machine);
    failures.machines.add(machine);
    failures.longestRun = Math.max(failures.longestRun, ranFor);
    if (failures.machines.size >= SUSPECT_MACHINES && at >= failures.retryNotBefore) {
      // All that fails before the next retry counts as one.
      const wait = FIRST_WAIT[shape] * 2 ** Math.min(MAX_DOUBLINGS, failures.retries);
      failures.retryNotBefore = plus(at, Math.min(MAX_WAIT, wait));
      failures.retries++;
    }
    let there = this.machines.get(machine);
    if (!there) this.machines.set(machine, (there = { jobs: new Map(), since: at }));
    there.jobs.set(job.spec.id, job);
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

  /** A task completed: both its job and its machine are sound. */
  recordCompletion(job: Job, machine: string): void {
    this.machines.delete(machine);
    if (job.failedOn.size > 0 || this.jobs.has(job.spec.id)) this.proven.add(job.spec.id);
  }

  /** The machine is gone: what failed on it is no evidence any more. */
  forgetMachine(machine: string): void {
    this.machines.delete(machine);
  }

  /** Whether the job fails wherever it runs. `ranFor`: how long its longest running task has run by now, in microseconds. */
  isSuspect(job: Job, ranFor: number): boolean {
    const { id } = job.spec;
    if (job.done.size > 0 || this.proven.has(id)) return false;
    const failures = this.jobs.get(id);
    if ((failures?.machines.size ?? job.failedOn.size) < SUSPECT_MACHINES) return false;
    return ranFor <= (failures?.longestRun ?? 0) * PROOF_TIMES + PROOF_MARGIN;
  }

  /** Not before this time should a suspect be retried. */
  retryNotBefore(job: Job): Micros {
    // Known from an earlier term: this one does not begin with a retry of every suspect.
    return this.jobs.get(job.spec.id)?.retryNotBefore ?? plus(this.termBegan, FIRST_WAIT[job.spec.shape]);
  }

  /** Machines the job failed on lately; null: none. */
  avoidedMachines(job: Job): ReadonlySet<string> | null {
    const failedOn = this.jobs.get(job.spec.id)?.machines ?? job.failedOn;
    if (failedOn.size === 0) return null;
    return failedOn.size <= AVOIDED ? failedOn : new Set([...failedOn].slice(-AVOIDED));
  }

  /** Machines that the evidence speaks against by now. */
  faultyMachines(at: Micros, isSuspect: (job: Job) => boolean): Set<string> {
    const faulty = new Set<string>();
    for (const [id, { jobs, since }] of this.machines) {
      if (at - since < SETTLING_TIME || jobs.size < FAULTY_JOBS) continue;
      let sound = 0;
      for (const job of jobs.values()) if (!isSuspect(job)) sound++;
      if (sound >= FAULTY_JOBS) faulty.add(id);
    }
    return faulty;
  }
}
