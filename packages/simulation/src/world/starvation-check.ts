/**
 * Checks for starvation: once all faults have ended, no job waits for 90 s while a suitable machine has enough free
 * resources and the job's team is below its limit. It searches the true state of the simulated machines and uses no code
 * of the controllers.
 */
import type { JobRequirements } from './rules.js';

/** Maximum time that a job may wait while it could run, in microseconds. */
export const WAITED_FOR = 90e6;
/**
 * Resources count as free once they have been free for this long, in microseconds. The scheduler needs a few seconds to
 * reuse the resources of a task that has exited.
 */
export const STOOD_FREE = 10e6;

/** Thousandths of CPUs, GPUs and GB of memory. */
export type Amounts = readonly [cpus: number, gpus: number, mem: number];
/** The free resources of a machine. */
export interface FreeMachine {
  readonly machine: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Amounts;
}
/** An accepted job that has neither finished nor been cancelled. */
export interface UnfinishedJob {
  readonly spec: JobRequirements;
  readonly shape: string;
  /** Number of tasks that have not completed and occupy no machine. */
  readonly waiting: number;
  /** By task that occupies a machine, including those that fetch their image: where the machine is. */
  readonly placed: ReadonlyMap<string, { readonly zone: string }>;
  /** The resources that one task needs. */
  readonly need: Amounts;
}
/** The CPUs and GPUs that a team may use at once; 0: unlimited. */
export type Limit = readonly [cpus: number, gpus: number];

const thousandths = (amount: number): number => Math.round(amount * 1000);
/** Converts CPUs, GPUs and GB of memory to thousandths. */
export const amounts = (cpus: number, gpus: number, memGb: number): Amounts => [
  thousandths(cpus),
  thousandths(gpus),
  thousandths(memGb),
];

/** How many tasks that each need `need` fit into `free`. */
const slots = (need: Amounts, free: Amounts): number =>
  Math.min(
    ...need.map((amount, i) => (amount > 0 ? Math.floor(free[i]! / amount) : Number.POSITIVE_INFINITY)),
  );

/** Whether the next task of the job, or all tasks of a gang, fit on machines that the job may use. */
export const fitsNow = (job: UnfinishedJob, machines: readonly FreeMachine[]): boolean => {
  const { spec, need } = job;
  const count = job.shape === 'ensemble' ? spec.tasks : 1;
  const placedByZone = new Map<string, number>();
  for (const { zone } of job.placed.values()) placedByZone.set(zone, (placedByZone.get(zone) ?? 0) + 1);
  const maxPerZone = spec.spread ? Math.ceil(spec.tasks / 2) : Number.POSITIVE_INFINITY;
  const slotsByZone = new Map<string, number>();
  for (const machine of machines) {
    if (spec.types !== null && !spec.types.includes(machine.type)) continue;
    if (spec.zone !== null && spec.zone !== machine.zone) continue;
    if (machine.spot && !spec.spot) continue;
    if (spec.oneZone && [...placedByZone.keys()].some((zone) => zone !== machine.zone)) continue;
    slotsByZone.set(machine.zone, (slotsByZone.get(machine.zone) ?? 0) + slots(need, machine.free));
  }
  const usableSlots = [...slotsByZone].map(([zone, free]) =>
    Math.min(free, maxPerZone - (placedByZone.get(zone) ?? 0)),
  );
  if (spec.oneZone) return usableSlots.some((free) => free >= count);
  return usableSlots.reduce((sum, free) => sum + Math.max(0, free), 0) >= count;
};

/** Whether the team stays within its limit with the next task of the job, or with all tasks of a gang. */
const underLimit = (job: UnfinishedJob, used: Amounts, limit: Limit | undefined): boolean => {
  const count = job.shape === 'ensemble' ? job.spec.tasks : 1;
  return (limit ?? [0, 0]).every(
    (max, i) => max === 0 || used[i]! + job.need[i]! * count <= thousandths(max),
  );
};

/** Reports each job that waits too long although it could run. */
export class StarvationCheck {
  /** By job: since when it has waited although it could run, and which of its tasks occupied machines at the last check. */
  private readonly waitingSince = new Map<string, { at: number; tasks: ReadonlySet<string> }>();
  /** By machine: its free resources at each of the latest checks. */
  private readonly samples = new Map<string, { at: number; free: Amounts }[]>();
  /** Jobs that have been reported. */
  private readonly reported = new Set<string>();
  /** The longest time that a job waited although it could run, in microseconds. */
  longest = 0;

  /** `broke`: called with each violation. */
  constructor(private readonly broke: (what: string) => void) {}

  /** Discards all waiting times. Called while faults last. */
  reset(): void {
    this.waitingSince.clear();
    this.samples.clear();
  }

  /** The resources of each machine that have been free for at least `STOOD_FREE`. */
  private lastingFree(now: number, machines: readonly FreeMachine[]): FreeMachine[] {
    const lasting: FreeMachine[] = [];
    const ids = new Set(machines.map((machine) => machine.machine));
    for (const id of this.samples.keys()) if (!ids.has(id)) this.samples.delete(id);
    for (const machine of machines) {
      const samples = this.samples.get(machine.machine) ?? [];
      this.samples.set(machine.machine, samples);
      samples.push({ at: now, free: machine.free });
      while (samples.length > 1 && samples[1]!.at <= now - STOOD_FREE) samples.shift();
      if (samples[0]!.at > now - STOOD_FREE) continue;
      const least = (i: 0 | 1 | 2): number => Math.min(...samples.map((sample) => sample.free[i]));
      lasting.push({ ...machine, free: [least(0), least(1), least(2)] });
    }
    return lasting;
  }

  /**
   * Checks all jobs at one moment. `machines`: those that run and send heartbeats. `wanted`: accepted jobs, except
   * finished and cancelled ones and those submitted with a mistake.
   */
  check(
    now: number,
    wanted: readonly UnfinishedJob[],
    machines: readonly FreeMachine[],
    used: ReadonlyMap<string, Amounts>,
    limits: ReadonlyMap<string, Limit>,
  ): void {
    const lastingFree = this.lastingFree(now, machines);
    const waiting = new Set<string>();
    for (const job of wanted) {
      const { id, team } = job.spec;
      if (job.waiting === 0 || (job.shape === 'ensemble' && job.placed.size > 0)) continue;
      if (!underLimit(job, used.get(team) ?? [0, 0, 0], limits.get(team)) || !fitsNow(job, lastingFree))
        continue;
      waiting.add(id);
      const before = this.waitingSince.get(id);
      const tasks = new Set(job.placed.keys());
      if (before === undefined || [...tasks].some((task) => !before.tasks.has(task))) {
        this.waitingSince.set(id, { at: now, tasks });
        continue;
      }
      this.waitingSince.set(id, { at: before.at, tasks });
      const waited = now - before.at;
      this.longest = Math.max(this.longest, waited);
      if (waited <= WAITED_FOR || this.reported.has(id)) continue;
      this.reported.add(id);
      const what = job.shape === 'ensemble' ? `all ${job.spec.tasks}` : `${job.waiting}`;
      this.broke(
        `waited: ${what} tasks of ${id} for ${Math.round(waited / 1e6)} s with enough free resources, at ${now}`,
      );
    }
    for (const id of this.waitingSince.keys()) if (!waiting.has(id)) this.waitingSince.delete(id);
  }
}
