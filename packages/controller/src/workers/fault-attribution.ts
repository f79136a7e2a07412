/**
 * Whose fault is it? A task that failed speaks against its machine and against its job; which of the two, the
 * other jobs of that machine and the other machines of that job tell. A job submitted with a mistake fails
 * wherever it runs; it is tried on, seldom and little of it, until its user cancels it. A machine is blamed for
 * jobs that are not themselves under suspicion, and the blame is taken back when they turn out to be.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';

/** A job that failed on so many machines, and completed on none, is under suspicion. */
const SUSPECT_MACHINES = 2;
/** Machines that a job avoids: the last so many that it failed on. */
const AVOIDED = 3;
/** Waits between tries of a suspect: first, and at the most. A gang takes the room of all its tasks at each try. */
const FIRST_WAIT = { array: seconds(5), gang: seconds(15), service: seconds(5) };
/** Under the 90 s for which no job may be left waiting beside room: one that looks broken may be sound. */
const LONGEST_WAIT = seconds(75);
/** So many jobs that are not suspects must have failed on a machine, and none completed there since. */
const FAULTY_JOBS = 2;
/** Failures of one moment often tell more a moment later: a job fails on its other machines too. */
const SETTLED = seconds(3);
/** A task that has run for longer than its job's failures took, with this to spare, speaks for the job. */
const PROOF_TIMES = 2;
const PROOF = seconds(5);

interface Suspicion {
  readonly machines: Set<string>;
  tries: number;
  /** Not to be tried before. */
  until: Micros;
  /** The longest that a task of it ran before it failed. */
  longest: number;
}

export class FaultAttribution {
  private readonly jobs = new Map<string, Suspicion>();
  /** By machine: jobs that failed there since one last completed there, and when the first did. */
  private readonly machines = new Map<string, { readonly jobs: Map<string, Job>; readonly since: Micros }>();
  /** Jobs of which a task completed. */
  private readonly proven = new Set<string>();

  constructor(private readonly began: Micros) {}

  /** A task failed after it had run for `ran`. */
  failed(job: Job, machine: string, ran: number, at: Micros): void {
    const { id, shape } = job.spec;
    let s = this.jobs.get(id);
    if (!s)
      this.jobs.set(
        id,
        (s = { machines: new Set(job.failedOn), tries: job.failedOn.size, until: this.began, longest: 0 }),
      );
    // The latest last.
    s.machines.delete(machine);
    s.machines.add(machine);
    s.longest = Math.max(s.longest, ran);
    if (s.machines.size >= SUSPECT_MACHINES && at >= s.until) {
      // All that fails before the next try is one try's doing.
      s.until = plus(at, Math.min(LONGEST_WAIT, FIRST_WAIT[shape] * 2 ** Math.min(10, s.tries)));
      s.tries++;
    }
    let m = this.machines.get(machine);
    if (!m) this.machines.set(machine, (m = { jobs: new Map(), since: at }));
    m.jobs.set(id, job);
  }

  /** A task completed: both its job and its machine are sound. */
  completed(job: Job, machine: string): void {
    this.machines.delete(machine);
    if (job.failedOn.size > 0 || this.jobs.has(job.spec.id)) this.proven.add(job.spec.id);
  }

  forget(machine: string): void {
    this.machines.delete(machine);
  }

  /** `ranFor`: how long its longest running task has run by now. */
  looksBroken(job: Job, ranFor: number): boolean {
    const { id } = job.spec;
    if (job.done.size > 0 || this.proven.has(id)) return false;
    const s = this.jobs.get(id);
    if ((s?.machines.size ?? job.failedOn.size) < SUSPECT_MACHINES) return false;
    return ranFor <= (s?.longest ?? 0) * PROOF_TIMES + PROOF;
  }

  /** Not before this time should a job that looks broken be tried again. */
  heldUntil(job: Job): Micros {
    const s = this.jobs.get(job.spec.id);
    // Known from an earlier term: this one does not begin with a try of everything that looks broken.
    if (!s) return plus(this.began, FIRST_WAIT[job.spec.shape]);
    return s.until;
  }

  /** Machines the job failed on lately. */
  avoid(job: Job): ReadonlySet<string> | null {
    const on = this.jobs.get(job.spec.id)?.machines ?? job.failedOn;
    if (on.size === 0) return null;
    return on.size <= AVOIDED ? on : new Set([...on].slice(-AVOIDED));
  }

  /** Machines that the evidence speaks against by now. */
  faulty(at: Micros, suspect: (job: Job) => boolean): Set<string> {
    const out = new Set<string>();
    for (const [id, m] of this.machines) {
      if (at - m.since < SETTLED || m.jobs.size < FAULTY_JOBS) continue;
      let honest = 0;
      for (const j of m.jobs.values()) if (!suspect(j)) honest++;
      if (honest >= FAULTY_JOBS) out.add(id);
    }
    return out;
  }
}
