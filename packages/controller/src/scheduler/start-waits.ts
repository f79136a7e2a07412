/**
 * Tracks how long each job has waited in this leadership term since its last start. A job that has waited too long may use
 * resources that are kept for future jobs, so that no job waits for 90 s while a machine could run it.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';

/** Waiting time after which a job is overdue. A start then takes a cycle, its log entry and the machine's next heartbeat. */
const OVERDUE_AGE = seconds(70);

/** Waiting times of jobs that have tasks to start. */
export class StartWaits {
  /** By job: its latest attempt number and when this number was first seen. */
  private readonly attemptByJob = new Map<string, { readonly attempt: number; readonly since: Micros }>();

  /** Whether the job has waited too long; called in each cycle for every job that has tasks to start. */
  overdue(job: Job, now: Micros): boolean {
    const { id } = job.spec;
    const known = this.attemptByJob.get(id);
    if (known?.attempt === job.attempt) return now - known.since > OVERDUE_AGE;
    this.attemptByJob.set(id, { attempt: job.attempt, since: now });
    return false;
  }

  /** Forgets jobs that are not in `jobs`. */
  retain(jobs: ReadonlyMap<string, Job>): void {
    for (const id of this.attemptByJob.keys()) if (!jobs.has(id)) this.attemptByJob.delete(id);
  }
}
