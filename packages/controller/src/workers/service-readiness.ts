/** Services with GPUs of which all replicas run: each is reported once when it becomes complete. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { type Job, taskKey } from '../jobs/model.js';
import type { Running } from './observed-exits.js';

/** Notices when all replicas of a service run. */
export class ServiceReadiness {
  /** Services of which all replicas ran when last asked. */
  private readonly complete = new Set<string>();

  constructor(
    private readonly jobState: JobState,
    private readonly running: ReadonlyMap<string, Running>,
  ) {}

  /** Services that have become complete since this was last called, with a replica that started since `since`. */
  newlyComplete(since: Micros): Job[] {
    const found: Job[] = [];
    for (const id of this.complete) if (!this.jobState.jobs.has(id)) this.complete.delete(id);
    for (const job of this.jobState.jobs.values()) {
      const { id, shape, gpus, tasks } = job.spec;
      if (shape !== 'service' || gpus === 0) continue;
      let all = job.placed.size === tasks && !job.cancelled;
      for (let task = 0; all && task < tasks; task++) all = this.running.has(taskKey(id, task));
      if (all && !this.complete.has(id) && [...job.placed.values()].some((p) => p.since >= since))
        found.push(job);
      if (all) this.complete.add(id);
      else this.complete.delete(id);
    }
    return found;
  }
}
