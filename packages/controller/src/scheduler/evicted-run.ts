/**
 * The evicted tasks of one team and urgency, in the order in which the refill restores them to their machines. Each
 * cycle evicts thousands of tasks and restores nearly all of them, so tasks and sizes are kept in arrays; a unit object is created
 * only when a search considers preempting the task.
 */
import type { Job } from '../jobs/model.js';
import type { PlacedTask, Resources } from './model.js';
import { EvictedUnit, type TeamState } from './cluster-capacity.js';

/** An evicted task or gang of a run. */
export class RunUnit extends EvictedUnit {
  constructor(
    readonly run: EvictedRun,
    private readonly index: number,
    job: Job,
    members: readonly PlacedTask[],
    need: Resources,
    size: Resources,
  ) {
    super(run.team, job, members, need, size);
  }

  /** Whether the unit has been restored to its machines: its resources then count as used by its team. */
  get restored(): boolean {
    return this.index < this.run.next;
  }

  /** Marks the unit as preempted. */
  preempt(): void {
    this.preempted = true;
    this.run.anyPreempted = true;
  }
}

/** The evicted units of one team and urgency. */
export class EvictedRun {
  readonly kind = 'evicted';
  /** Index of the next unit to restore. */
  next = 0;
  /** Whether any unit has been preempted. */
  anyPreempted = false;
  private readonly tasks: PlacedTask[] = [];
  private readonly sizes: Resources[] = [];
  /** Unit objects created so far (all gangs, and single tasks on demand), by index. */
  private readonly units = new Map<number, RunUnit>();

  constructor(readonly team: TeamState) {}

  /** Number of units. */
  get length(): number {
    return this.sizes.length;
  }

  /** Adds a single task that holds the resources `size`. */
  addTask(placed: PlacedTask, size: Resources): void {
    this.tasks.push(placed);
    this.sizes.push(size);
  }

  /** Adds the placed members of a gang; `need` holds the resources of one member, `size` those of all. */
  addGang(job: Job, members: readonly PlacedTask[], need: Resources, size: Resources): RunUnit {
    const index = this.length;
    this.addTask(members[0]!, size);
    const unit = new RunUnit(this, index, job, members, need, size);
    this.units.set(index, unit);
    return unit;
  }

  /** Returns the resources held by the unit at `index`. */
  sizeOf(index: number): Resources {
    return this.sizes[index]!;
  }

  /** Whether the unit at `index` has been preempted. */
  isPreempted(index: number): boolean {
    return this.anyPreempted && this.units.get(index)?.preempted === true;
  }

  /** Returns the unit at `index`, creating the object if necessary. */
  unit(index: number): RunUnit {
    let unit = this.units.get(index);
    if (unit === undefined) {
      const placed = this.tasks[index]!;
      const size = this.sizes[index]!;
      unit = new RunUnit(this, index, placed.job, [placed], size, size);
      this.units.set(index, unit);
    }
    return unit;
  }
}
