/**
 * Starvation: once the faults are over, no job waits for 90 s while a machine that fits has room and its team is
 * under its limit. By a plain search over what is true in the world, with no code of the controllers'.
 */
import type { Spec } from './rules.js';

export const WAITED_FOR = 90e6;
/** Room counts when it has stood free for so long: what a task has left is filled again within a few seconds. */
export const STOOD_FREE = 10e6;

/** Thousandths of CPUs, GPUs and GB of memory. */
export type Amounts = readonly [cpus: number, gpus: number, mem: number];
export interface RoomOn {
  readonly machine: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Amounts;
}
/** A job that its user wants to run, and where those of its tasks are that are on a machine, fetching ones too. */
export interface Wanted {
  readonly spec: Spec;
  readonly shape: string;
  /** Tasks that have not completed and are on no machine. */
  readonly waiting: number;
  readonly on: ReadonlyMap<string, { readonly zone: string }>;
  readonly need: Amounts;
}
/** CPUs and GPUs; 0: without limit. */
export type Limit = readonly [cpus: number, gpus: number];

const thousandths = (n: number): number => Math.round(n * 1000);
export const amounts = (cpus: number, gpus: number, memGb: number): Amounts => [
  thousandths(cpus),
  thousandths(gpus),
  thousandths(memGb),
];

/** How many such tasks fit. */
const slots = (need: Amounts, free: Amounts): number =>
  Math.min(...need.map((n, i) => (n > 0 ? Math.floor(free[i]! / n) : Number.POSITIVE_INFINITY)));

/** Whether the job's next task, of a gang all of them, fits on rooms that it may use. */
export const fitsNow = (job: Wanted, rooms: readonly RoomOn[]): boolean => {
  const { spec, need } = job;
  const count = job.shape === 'ensemble' ? spec.tasks : 1;
  const held = new Map<string, number>();
  for (const { zone } of job.on.values()) held.set(zone, (held.get(zone) ?? 0) + 1);
  const cap = spec.spread ? Math.ceil(spec.tasks / 2) : Number.POSITIVE_INFINITY;
  const byZone = new Map<string, number>();
  for (const r of rooms) {
    if (spec.types !== null && !spec.types.includes(r.type)) continue;
    if (spec.zone !== null && spec.zone !== r.zone) continue;
    if (r.spot && !spec.spot) continue;
    if (spec.oneZone && [...held.keys()].some((z) => z !== r.zone)) continue;
    byZone.set(r.zone, (byZone.get(r.zone) ?? 0) + slots(need, r.free));
  }
  const inZone = [...byZone].map(([zone, n]) => Math.min(n, cap - (held.get(zone) ?? 0)));
  if (spec.oneZone) return inZone.some((n) => n >= count);
  return inZone.reduce((sum, n) => sum + Math.max(0, n), 0) >= count;
};

/** Whether the team stays within its limit with the job's next task, of a gang all of them. */
const underLimit = (job: Wanted, used: Amounts, limit: Limit | undefined): boolean => {
  const count = job.shape === 'ensemble' ? job.spec.tasks : 1;
  return (limit ?? [0, 0]).every((l, i) => l === 0 || used[i]! + job.need[i]! * count <= thousandths(l));
};

export class StarvationCheck {
  /** By job: since when it waits with room, and which of its tasks were on machines then. */
  private readonly since = new Map<string, { at: number; tasks: ReadonlySet<string> }>();
  /** By machine: what was free at each of the last looks. */
  private readonly lately = new Map<string, { at: number; free: Amounts }[]>();
  private readonly told = new Set<string>();
  /** The longest that a job waited with room, microseconds. */
  longest = 0;

  constructor(private readonly broke: (what: string) => void) {}

  /** Faults go on: nothing counts from before now. */
  troubled(): void {
    this.since.clear();
    this.lately.clear();
  }

  /** What has stood free on each machine. */
  private stood(now: number, rooms: readonly RoomOn[]): RoomOn[] {
    const out: RoomOn[] = [];
    const there = new Set(rooms.map((r) => r.machine));
    for (const id of this.lately.keys()) if (!there.has(id)) this.lately.delete(id);
    for (const r of rooms) {
      const seen = this.lately.get(r.machine) ?? [];
      this.lately.set(r.machine, seen);
      seen.push({ at: now, free: r.free });
      while (seen.length > 1 && seen[1]!.at <= now - STOOD_FREE) seen.shift();
      if (seen[0]!.at > now - STOOD_FREE) continue;
      const least = (i: 0 | 1 | 2): number => Math.min(...seen.map((s) => s.free[i]));
      out.push({ ...r, free: [least(0), least(1), least(2)] });
    }
    return out;
  }

  /** `rooms`: machines that are up and report; `wanted`: jobs that are accepted, neither over nor cancelled nor mistaken. */
  look(
    now: number,
    wanted: readonly Wanted[],
    rooms: readonly RoomOn[],
    used: ReadonlyMap<string, Amounts>,
    limits: ReadonlyMap<string, Limit>,
  ): void {
    const stood = this.stood(now, rooms);
    const waiting = new Set<string>();
    for (const job of wanted) {
      const { id, team } = job.spec;
      if (job.waiting === 0 || (job.shape === 'ensemble' && job.on.size > 0)) continue;
      if (!underLimit(job, used.get(team) ?? [0, 0, 0], limits.get(team)) || !fitsNow(job, stood)) continue;
      waiting.add(id);
      const before = this.since.get(id);
      const tasks = new Set(job.on.keys());
      if (before === undefined || [...tasks].some((t) => !before.tasks.has(t))) {
        this.since.set(id, { at: now, tasks });
        continue;
      }
      this.since.set(id, { at: before.at, tasks });
      const waited = now - before.at;
      this.longest = Math.max(this.longest, waited);
      if (waited <= WAITED_FOR || this.told.has(id)) continue;
      this.told.add(id);
      const what = job.shape === 'ensemble' ? `all ${job.spec.tasks}` : `${job.waiting}`;
      this.broke(`waited: ${what} tasks of ${id} for ${Math.round(waited / 1e6)} s with room, at ${now}`);
    }
    for (const id of this.since.keys()) if (!waiting.has(id)) this.since.delete(id);
  }
}
