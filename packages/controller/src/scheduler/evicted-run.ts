/**
 * The evicted tasks of one team and urgency, in the order in which they return to their machines. Thousands of them pass
 * through every cycle and nearly all just return, so they are kept as columns; an object for one is made when somebody
 * asks whether it may be displaced.
 */
import type { Job } from '../jobs/model.js';
import type { PlacedTask, Resources } from './model.js';
import { EvictedUnit, type TeamState } from './cluster-capacity.js';

/** An evicted task or gang that stands in a run. */
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

  /** It is back in its place: what it takes counts for its team. */
  get returned(): boolean {
    return this.index < this.run.next;
  }

  displace(): void {
    this.displaced = true;
    this.run.anyDisplaced = true;
  }
}

export class EvictedRun {
  readonly kind = 'evicted';
  /** Index of the next one to return. */
  next = 0;
  /** One of them has been displaced. */
  anyDisplaced = false;
  private readonly tasks: PlacedTask[] = [];
  private readonly sizes: Resources[] = [];
  /** Gangs, and tasks that somebody has asked for, by their index. */
  private readonly units = new Map<number, RunUnit>();

  constructor(readonly team: TeamState) {}

  get length(): number {
    return this.sizes.length;
  }

  /** Adds one task that takes `size`. */
  addTask(holder: PlacedTask, size: Resources): void {
    this.tasks.push(holder);
    this.sizes.push(size);
  }

  /** Adds what is left of a gang on machines; `need` is what one member takes. */
  addGang(job: Job, members: readonly PlacedTask[], need: Resources, size: Resources): RunUnit {
    const index = this.length;
    this.addTask(members[0]!, size);
    const unit = new RunUnit(this, index, job, members, need, size);
    this.units.set(index, unit);
    return unit;
  }

  sizeOf(index: number): Resources {
    return this.sizes[index]!;
  }

  isDisplaced(index: number): boolean {
    return this.anyDisplaced && this.units.get(index)?.displaced === true;
  }

  /** A task as a unit that may be displaced. */
  unit(index: number): RunUnit {
    let unit = this.units.get(index);
    if (unit === undefined) {
      const holder = this.tasks[index]!;
      const size = this.sizes[index]!;
      unit = new RunUnit(this, index, holder.job, [holder], size, size);
      this.units.set(index, unit);
    }
    return unit;
  }
}
