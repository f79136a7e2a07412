/** Readiness of services with GPUs: a service is reported once when all of its replicas have started to run. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { type Job, taskKey } from '../jobs/model.js';
import type { RunningTask } from './observed-exits.js';

/** Detects services of which all replicas run. */
export class ServiceReadiness {
  /** Services of which all replicas ran at the previous call. */
  private readonly completeServices = new Set<string>();

  constructor(
    private readonly jobState: JobState,
    private readonly running: ReadonlyMap<string, RunningTask>,
  ) {}

  /**
   * Services that have become complete since the previous call, and of which at least one replica started at or
   * after `since`.
   */
  newlyComplete(since: Micros): Job[] {
    const newlyComplete: Job[] = [];
    for (const id of this.completeServices) if (!this.jobState.jobs.has(id)) this.completeServices.delete(id);
    for (const job of this.jobState.jobs.values()) {
      const { id, shape, gpus, tasks } = job.spec;
      if (shape !== 'service' || gpus === 0) continue;
      let allRunning = job.placed.size === tasks && !job.cancelled;
      for (let task = 0; allRunning && task < tasks; task++) allRunning = this.running.has(taskKey(id, task));
      if (
        allRunning &&
        !this.completeServices.has(id) &&
        [...job.placed.values()].some((placement) => placement.since >= since)
      )
        newlyComplete.push(job);
      if (allRunning) this.completeServices.add(id);
      else this.completeServices.delete(id);
    }
    return newlyComplete;
  }
}
