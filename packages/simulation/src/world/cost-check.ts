/**
 * Checks the costs of rented machines, from the actual state of the simulation. No machine may be charged unused for
 * longer than it takes to return it, and no machine may be rented for tasks that have fitted for several seconds on
 * machines that are running or booting.
 */
import { fitsNow, type FreeMachine, type UnfinishedJob } from './starvation-check.js';

/**
 * Maximum time that a machine is charged unused, in microseconds, counted from its last task or the last time that
 * any job waited. It covers 45 s of idle time, the minute that is charged in any case, and the return call.
 */
const MAX_UNUSED = 120e6;
/**
 * The same maximum for a machine that never booted: a minimum in microseconds, and a multiple of the stated boot
 * time. The multiple is large because other machines may take eight times their stated boot time.
 */
const MAX_UNUSED_NEVER_BOOTED = { least: 150e6, boots: 13 };
/**
 * Time for which the waiting tasks must have fitted on the existing machines before a further rental is a violation,
 * in microseconds. By then a rental of the previous leader, its timeout and a request of the list of machines are
 * finished.
 */
const MIN_FIT_BEFORE_RENTAL = 5e6;

/** A machine that is being charged. Times in microseconds. */
export interface ChargedMachine {
  readonly id: string;
  readonly rentedAt: number;
  readonly boot: number;
  readonly up: boolean;
  /** Whether any task is on the machine. */
  readonly used: boolean;
}

/** Finds machines that are charged without need. */
export class CostCheck {
  private readonly usedAt = new Map<string, number>();
  /** IDs of the machines whose violation was reported. */
  private readonly reported = new Set<string>();
  /** Last time that any job waited. */
  private lastWaitAt = 0;
  /** Since when all waiting tasks fit on the existing machines; null: they do not. */
  private allFitSince: number | null = null;
  /** Number of rentals checked. */
  rentals = 0;
  /** Longest time that a machine was charged unused, in microseconds. */
  longestUnused = 0;
  /** Whether any machine is still being charged. */
  hasCharges = false;

  constructor(private readonly onViolation: (violation: string) => void) {}

  /**
   * Checks all charged machines. `freeResources`: free resources of machines that are running, or booting and not overdue.
   * `quiescentAt`: end of the last fault, in microseconds.
   */
  check(
    now: number,
    quiescentAt: number,
    paid: readonly ChargedMachine[],
    wanted: readonly UnfinishedJob[],
    freeResources: readonly FreeMachine[],
  ): void {
    const waitingJobs = wanted.filter(
      (job) => job.waiting > 0 && (job.shape !== 'ensemble' || job.placed.size === 0),
    );
    if (waitingJobs.length > 0) this.lastWaitAt = now;
    this.hasCharges = paid.length > 0;
    for (const machine of paid) {
      if (machine.used) this.usedAt.set(machine.id, now);
      const since = Math.max(
        machine.rentedAt,
        this.usedAt.get(machine.id) ?? 0,
        this.lastWaitAt,
        quiescentAt,
      );
      const unused = now - since;
      this.longestUnused = Math.max(this.longestUnused, unused);
      const maxUnused = machine.up
        ? MAX_UNUSED
        : Math.max(MAX_UNUSED_NEVER_BOOTED.least, MAX_UNUSED_NEVER_BOOTED.boots * machine.boot);
      if (unused <= maxUnused || this.reported.has(machine.id)) continue;
      this.reported.add(machine.id);
      this.onViolation(`left_charged: ${machine.id} unused for ${Math.round(unused / 1e6)} s at ${now}`);
    }
    if (waitingJobs.length === 0 || allFit(waitingJobs, freeResources)) this.allFitSince ??= now;
    else this.allFitSince = null;
  }

  /** Checks a rental, at the moment of the request. */
  rented(now: number, count: number): void {
    this.rentals++;
    if (this.allFitSince !== null && now - this.allFitSince > MIN_FIT_BEFORE_RENTAL)
      this.onViolation(
        `hired_twice: ${count} machines at ${now}, with room for all waiting tasks since ${Math.round(this.allFitSince)}`,
      );
  }
}

/**
 * Whether all waiting tasks fit on the free resources, assigning each task in turn to the first machine that can take
 * it. Tasks without GPUs are assigned only to machines without free GPUs.
 */
const allFit = (jobs: readonly UnfinishedJob[], freeResources: readonly FreeMachine[]): boolean => {
  const remaining = freeResources.map((machine) => ({
    ...machine,
    free: [...machine.free] as [number, number, number],
  }));
  return jobs.every((job) => {
    const on = new Map(job.placed);
    for (let i = 0; i < job.waiting; i++) {
      const usable = remaining.filter((machine) => job.need[1] > 0 || machine.free[1] === 0);
      const singleTask = { ...job, shape: 'array', on };
      const target = usable.find((candidate) => fitsNow(singleTask, [candidate]));
      if (target === undefined) return false;
      job.need.forEach((amount, resource) => (target.free[resource]! -= amount));
      on.set(`${job.spec.id}+${i}`, { zone: target.zone });
    }
    return true;
  });
};
