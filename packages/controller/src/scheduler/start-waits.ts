/**
 * For how long jobs have waited in this term without a start. What is kept for others ends there for them: no job is left
 * waiting for 90 s beside room that it could use.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';

/** A start takes a cycle, its log entry and the machine's next report. */
const OVERDUE = seconds(70);

export class StartWaits {
  /** By job: its last attempt as last seen, and since when it has been that. */
  private readonly known = new Map<string, { readonly attempt: number; readonly since: Micros }>();

  /** Asked at each cycle of every job that has something to start. */
  overdue(job: Job, at: Micros): boolean {
    const { id } = job.spec;
    const before = this.known.get(id);
    if (before?.attempt === job.attempt) return at - before.since > OVERDUE;
    this.known.set(id, { attempt: job.attempt, since: at });
    return false;
  }

  /** Forgets what is over. */
  retain(jobs: ReadonlyMap<string, Job>): void {
    for (const id of this.known.keys()) if (!jobs.has(id)) this.known.delete(id);
  }
}
