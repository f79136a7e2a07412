/** Placements by machine, kept up with the jobs that a view of the store holds. */
import { type Job, type Placement, taskKey } from './model.js';

/** By machine, then by `taskKey`: what is placed there. */
export type PlacementsByMachine = ReadonlyMap<string, ReadonlyMap<string, Placement & { readonly job: Job }>>;

export class PlacementIndex {
  private readonly machines = new Map<string, Map<string, Placement & { readonly job: Job }>>();

  get byMachine(): PlacementsByMachine {
    return this.machines;
  }

  addJob(job: Job): void {
    for (const p of job.placed.values()) this.add(job, p);
  }

  add(job: Job, p: Placement): void {
    let on = this.machines.get(p.machine);
    if (!on) this.machines.set(p.machine, (on = new Map()));
    on.set(taskKey(job.spec.id, p.task), { ...p, job });
  }

  removeJob(job: Job): void {
    this.remove(job, [...job.placed.keys()]);
  }

  /** To be called while the job still has these tasks placed. */
  remove(job: Job, tasks: readonly number[] | undefined): void {
    for (const t of tasks ?? []) {
      const p = job.placed.get(t);
      if (!p) continue;
      const on = this.machines.get(p.machine);
      on?.delete(taskKey(job.spec.id, t));
      if (on?.size === 0) this.machines.delete(p.machine);
    }
  }

  clear(): void {
    this.machines.clear();
  }
}
