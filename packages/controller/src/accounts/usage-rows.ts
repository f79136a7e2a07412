/** Builds the usage rows of a log entry from the placements that end in it and from the phases that the worker registry has observed. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { MachineType } from '../provisioning/model.js';
import type { Job } from '../jobs/model.js';
import { taskKey } from '../jobs/model.js';
import { rowByteLength, maxRowBytes } from './codec.js';
import {
  type Group,
  groupKey,
  UNKNOWN_KIND,
  type CapacityBound,
  type UsageRow,
  USAGE_CATEGORIES,
} from './model.js';
import type { PhaseTimes, PhaseTracker } from './phases.js';

/** What determines the kind of a machine in usage rows. */
export interface MachineKind {
  readonly type: string;
  readonly spot: boolean;
}
export const kindName = (machine: MachineKind | null): string =>
  machine === null || machine.type === ''
    ? UNKNOWN_KIND
    : machine.spot
      ? `${machine.type}-spot`
      : machine.type;

export interface UsageSources {
  readonly phases: PhaseTracker;
  readonly kindOf: (machine: string) => MachineKind | null;
  readonly types: ReadonlyMap<string, MachineType>;
  /** Whether the task ran on GPUs that were lent to its job: its running time then counts as lent. */
  readonly onLentCapacity: (job: Job, task: number) => boolean;
  /** Start of this leader's term: placements of this time of day or later were started by this leader. */
  readonly termFrom: Micros;
  /** Converts the worker registry's clock to time of day. */
  readonly dayTimeOf: (clock: Micros) => Micros;
}

const thousandths = (amount: number): number => Math.round(amount * 1000);
const CATEGORY_INDEX = Object.fromEntries(USAGE_CATEGORIES.map((name, i) => [name, i])) as Record<
  (typeof USAGE_CATEGORIES)[number],
  number
>;

/**
 * Returns the cost of a task in millionths of a price unit per hour: the price of the machine times the largest fraction of
 * any of its resources that the task takes.
 */
export const rateOf = (job: Job, type: MachineType | undefined, spot: boolean): number => {
  if (type === undefined) return 0;
  const { cpus, gpus, memGb } = job.spec;
  const fraction = (want: number, have: number): number => (have > 0 ? want / have : 0);
  const largest = Math.max(fraction(cpus, type.cpus), fraction(gpus, type.gpus), fraction(memGb, type.memGb));
  return Math.round(Math.min(1, largest) * (spot && type.spotPrice > 0 ? type.spotPrice : type.price) * 1e6);
};

/**
 * Splits the time of one placement, from `since` to `at`, into microseconds by category. The sum is exactly `at - since`.
 * `how`: the task completed (`done`), ended without completing (`gone`), or ended because its user cancelled the job.
 */
export const splitPlacementTime = (
  job: Job,
  since: Micros,
  at: Micros,
  times: PhaseTimes,
  how: 'done' | 'gone' | 'cancelled',
  lent: boolean,
  day: (clock: Micros) => Micros,
): number[] => {
  const us = USAGE_CATEGORIES.map(() => 0);
  const clamped = (clockTime: Micros, min: number): number => Math.min(at, Math.max(min, day(clockTime)));
  if (times.first === null) {
    // Never observed: if this leader started it, it never reached its machine; otherwise another leader may have seen it.
    us[times.known ? CATEGORY_INDEX.fetching : CATEGORY_INDEX.unknown] = at - since;
    return us;
  }
  let to = since as number;
  /** Assigns the time from the last boundary to `end` to a category. */
  const until = (end: number, category: number): void => {
    us[category] = us[category]! + (end - to);
    to = end;
  };
  const begins = times.gathering ?? times.running;
  until(
    clamped(times.known ? (begins ?? times.first) : times.first, to),
    times.known ? CATEGORY_INDEX.fetching : CATEGORY_INDEX.unknown,
  );
  if (begins === null) {
    until(at, CATEGORY_INDEX.fetching);
    return us;
  }
  if (times.gathering !== null)
    until(times.running === null ? at : clamped(times.running, to), CATEGORY_INDEX.gathering);
  const ran = at - to;
  if (ran === 0) return us;
  const { checkpoint, shape } = job.spec;
  const kept =
    how !== 'gone' || times.saved || shape === 'service'
      ? ran
      : checkpoint > 0
        ? Math.floor(ran / checkpoint) * checkpoint
        : 0;
  until(to + kept, lent ? CATEGORY_INDEX.lent : CATEGORY_INDEX.useful);
  until(at, CATEGORY_INDEX.repeated);
  return us;
};

/** Gathers the usage rows of one log entry. */
export class UsageRows {
  private readonly rows = new Map<string, UsageRow[]>();
  /** Encoded size of the rows gathered so far, in bytes. */
  bytes = 0;

  constructor(
    private readonly sources: UsageSources,
    private readonly at: Micros,
  ) {}

  private rowOf(job: Job, machine: string): { key: string; group: Group; make: () => UsageRow } {
    const { cpus, gpus, memGb, team, jobClass } = job.spec;
    const kind = this.sources.kindOf(machine);
    const group: Group = [team, jobClass, kindName(kind)];
    const shape = [thousandths(cpus), thousandths(gpus), thousandths(memGb)] as const;
    const rate = kind === null ? 0 : rateOf(job, this.sources.types.get(kind.type), kind.spot);
    const key = `${groupKey(group)}${shape.join()},${rate}`;
    return { key, group, make: () => ({ group, shape, rate, us: USAGE_CATEGORIES.map(() => 0) }) };
  }

  /** Returns the maximum number of bytes that the exits of these tasks would add. */
  bytesToAdd(job: Job, tasks: Iterable<number>): number {
    let bytes = 0;
    const seen = new Set<string>();
    for (const task of tasks) {
      const placement = job.placed.get(task);
      if (!placement) continue;
      const { key, group } = this.rowOf(job, placement.machine);
      if (seen.has(key) || this.rows.has(key)) continue;
      seen.add(key);
      bytes += maxRowBytes(group);
    }
    return bytes;
  }

  /** Adds the placements of tasks that completed (`done`) or ended without completing (`gone`). */
  add(job: Job, tasks: Iterable<number>, how: 'done' | 'gone'): void {
    const { sources, at } = this;
    for (const task of tasks) {
      const placement = job.placed.get(task);
      if (!placement) continue;
      const { key, make } = this.rowOf(job, placement.machine);
      const exit = how === 'gone' && job.cancelled ? 'cancelled' : how;
      let us: number[];
      if (placement.since > 0 && placement.since < at) {
        const times = sources.phases.timesOf(
          taskKey(job.spec.id, task),
          placement.attempt,
          placement.since >= sources.termFrom,
        );
        us = splitPlacementTime(
          job,
          placement.since,
          at,
          times,
          exit,
          sources.onLentCapacity(job, task),
          sources.dayTimeOf,
        );
      } else {
        // The start time is not known: the time since the job's submission is an upper bound.
        us = USAGE_CATEGORIES.map(() => 0);
        us[CATEGORY_INDEX.unsure] = Math.max(0, at - job.spec.submitted);
      }
      let list = this.rows.get(key);
      if (!list) this.rows.set(key, (list = []));
      let last = list[list.length - 1];
      // A new row is begun where a sum would exceed the safe integers.
      if (!last || last.us.some((sum, i) => sum + us[i]! > Number.MAX_SAFE_INTEGER)) {
        list.push((last = make()));
      } else this.bytes -= rowByteLength(last);
      const sums = last.us as number[];
      us.forEach((duration, i) => (sums[i] = sums[i]! + duration));
      this.bytes += rowByteLength(last);
    }
  }

  all(): UsageRow[] {
    return [...this.rows.values()].flat();
  }
}

/** Returns the total capacity of the machines whose types are known. */
export const totalCapacity = (
  machines: Iterable<MachineKind>,
  types: ReadonlyMap<string, MachineType>,
): CapacityBound => {
  const out: [number, number, number] = [0, 0, 0];
  for (const machine of machines) {
    const type = types.get(machine.type);
    if (!type) continue;
    out[0] += thousandths(type.cpus);
    out[1] += thousandths(type.gpus);
    out[2] += thousandths(type.memGb);
  }
  return out;
};
