/**
 * The evicted tasks of one team and urgency, in the order in which they return to their machines. Thousands of them pass
 * through every cycle and nearly all just return, so they are kept as columns; an object for one is made when somebody
 * asks whether it may be displaced.
 */
import type { Job } from '../jobs/model.js';
import type { Holder, Room } from './model.js';
import { Evicted, type TeamState } from './state.js';

/** An evicted task or gang that stands in a run. */
export class RunUnit extends Evicted {
  constructor(
    readonly run: EvictedRun,
    private readonly index: number,
    job: Job,
    members: readonly Holder[],
    need: Room,
    size: Room,
  ) {
    super(run.team, job, members, need, size);
  }

  /** It is back in its place: what it takes counts for its team. */
  get returned(): boolean {
    return this.index < this.run.next;
  }

  displace(): void {
    this.out = true;
    this.run.anyOut = true;
  }
}

export class EvictedRun {
  readonly kind = 'evicted';
  /** Index of the next one to return. */
  next = 0;
  /** One of them has been displaced. */
  anyOut = false;
  private readonly holders: Holder[] = [];
  private readonly sizes: Room[] = [];
  /** Gangs, and tasks that somebody has asked for, by their index. */
  private readonly units = new Map<number, RunUnit>();

  constructor(readonly team: TeamState) {}

  get length(): number {
    return this.sizes.length;
  }

  /** Adds one task that takes `size`. */
  addTask(holder: Holder, size: Room): void {
    this.holders.push(holder);
    this.sizes.push(size);
  }

  /** Adds what is left of a gang on machines; `need` is what one member takes. */
  addGang(job: Job, members: readonly Holder[], need: Room, size: Room): RunUnit {
    const index = this.length;
    this.addTask(members[0]!, size);
    const unit = new RunUnit(this, index, job, members, need, size);
    this.units.set(index, unit);
    return unit;
  }

  sizeOf(index: number): Room {
    return this.sizes[index]!;
  }

  isOut(index: number): boolean {
    return this.anyOut && this.units.get(index)?.out === true;
  }

  /** A task as a unit that may be displaced. */
  unit(index: number): RunUnit {
    let unit = this.units.get(index);
    if (unit === undefined) {
      const holder = this.holders[index]!;
      const size = this.sizes[index]!;
      unit = new RunUnit(this, index, holder.job, [holder], size, size);
      this.units.set(index, unit);
    }
    return unit;
  }
}
