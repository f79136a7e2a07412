/**
 * What is paid for: no machine is charged unused for longer than it takes to give it back, and nothing is rented for what
 * has had room for seconds on machines that are up or on their way. By what is true in the world.
 */
import { fitsNow, type RoomOn, type Wanted } from './starvation-check.js';

/** From its last task on, or the last wait of any job: 45 s idle, past the minute that is charged anyhow, and the call. */
const UNUSED = 120e6;
/** One that never came up: by its stated boot time; others may have taken eight times as long. */
const NEVER_UP = { least: 150e6, boots: 13 };
/** What waits has had room for so long: the last leader's rental, its time-out and a look at the list are over by then. */
const HAD_ROOM = 5e6;

export interface Paid {
  readonly id: string;
  readonly rentedAt: number;
  readonly boot: number;
  readonly up: boolean;
  /** Some task is on it. */
  readonly used: boolean;
}

export class CostCheck {
  private readonly usedAt = new Map<string, number>();
  private readonly told = new Set<string>();
  private wantedAt = 0;
  private roomSince: number | null = null;
  /** Rentals that were looked at, and the longest that a machine was charged unused. */
  rentals = 0;
  longest = 0;
  /** Machines are charged still. */
  open = false;

  constructor(private readonly broke: (what: string) => void) {}

  /** `rooms`: on machines that are up, and of those that boot and are not overdue. `quiescentAt`: when the last fault is over. */
  look(
    now: number,
    quiescentAt: number,
    paid: readonly Paid[],
    wanted: readonly Wanted[],
    rooms: readonly RoomOn[],
  ): void {
    const waits = wanted.filter((j) => j.waiting > 0 && (j.shape !== 'ensemble' || j.on.size === 0));
    if (waits.length > 0) this.wantedAt = now;
    this.open = paid.length > 0;
    for (const m of paid) {
      if (m.used) this.usedAt.set(m.id, now);
      const since = Math.max(m.rentedAt, this.usedAt.get(m.id) ?? 0, this.wantedAt, quiescentAt);
      const unused = now - since;
      this.longest = Math.max(this.longest, unused);
      const most = m.up ? UNUSED : Math.max(NEVER_UP.least, NEVER_UP.boots * m.boot);
      if (unused <= most || this.told.has(m.id)) continue;
      this.told.add(m.id);
      this.broke(`left_charged: ${m.id} unused for ${Math.round(unused / 1e6)} s at ${now}`);
    }
    if (waits.length === 0 || allFit(waits, rooms)) this.roomSince ??= now;
    else this.roomSince = null;
  }

  /** The cloud rents machines, at the moment of the request. */
  rented(now: number, count: number): void {
    this.rentals++;
    if (this.roomSince !== null && now - this.roomSince > HAD_ROOM)
      this.broke(
        `hired_twice: ${count} machines at ${now}, with room for all since ${Math.round(this.roomSince)}`,
      );
  }
}

/** One after the other, each task on the first room that takes it; what needs no GPU on machines without. */
const allFit = (jobs: readonly Wanted[], all: readonly RoomOn[]): boolean => {
  const rooms = all.map((r) => ({ ...r, free: [...r.free] as [number, number, number] }));
  return jobs.every((job) => {
    const on = new Map(job.on);
    for (let i = 0; i < job.waiting; i++) {
      const mine = rooms.filter((r) => job.need[1] > 0 || r.free[1] === 0);
      const one = { ...job, shape: 'array', on };
      const room = mine.find((r) => fitsNow(one, [r]));
      if (room === undefined) return false;
      job.need.forEach((n, k) => (room.free[k]! -= n));
      on.set(`${job.spec.id}+${i}`, { zone: room.zone });
    }
    return true;
  });
};
