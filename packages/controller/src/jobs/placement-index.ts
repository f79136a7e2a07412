/** An index of placements by machine, updated with every change to the jobs of a view of the store. */
import { type Job, type Placement, taskKey } from './model.js';

/** Placements and their jobs, by machine id and then by `taskKey`. */
export type PlacementsByMachine = ReadonlyMap<string, ReadonlyMap<string, Placement & { readonly job: Job }>>;

/** Holds the placements of all jobs by machine. */
export class PlacementIndex {
  private readonly machines = new Map<string, Map<string, Placement & { readonly job: Job }>>();

  get byMachine(): PlacementsByMachine {
    return this.machines;
  }

  addJob(job: Job): void {
    for (const placement of job.placed.values()) this.add(job, placement);
  }

  add(job: Job, placement: Placement): void {
    let onMachine = this.machines.get(placement.machine);
    if (!onMachine) this.machines.set(placement.machine, (onMachine = new Map()));
    onMachine.set(taskKey(job.spec.id, placement.task), { ...placement, job });
  }

  removeJob(job: Job): void {
    this.remove(job, [...job.placed.keys()]);
  }

  /** Removes the placements of these tasks. Must be called before they are removed from `job.placed`. */
  remove(job: Job, tasks: readonly number[] | undefined): void {
    for (const task of tasks ?? []) {
      const placement = job.placed.get(task);
      if (!placement) continue;
      const onMachine = this.machines.get(placement.machine);
      onMachine?.delete(taskKey(job.spec.id, task));
      if (onMachine?.size === 0) this.machines.delete(placement.machine);
    }
  }

  clear(): void {
    this.machines.clear();
  }
}
