/** The rows that a log entry books: the placements that end in it, by what the leader's worker registry knows of them. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { MachineType } from '../provisioning/model.js';
import type { Job } from '../jobs/model.js';
import { taskKey } from '../jobs/model.js';
import { bytesOfRow, rowBytes } from './codec.js';
import { type Group, groupKey, NO_KIND, type RoomBound, type SpentRow, SPLITS } from './model.js';
import type { Course, Phases } from './phases.js';

/** A machine as rows name it. */
export interface KindOf {
  readonly type: string;
  readonly spot: boolean;
}
export const kindName = (k: KindOf | null): string =>
  k === null || k.type === '' ? NO_KIND : k.spot ? `${k.type}-spot` : k.type;

export interface Books {
  readonly phases: Phases;
  readonly kindOf: (machine: string) => KindOf | null;
  readonly types: ReadonlyMap<string, MachineType>;
  /** Room that was lent to the job: its time there counts as lent. */
  readonly lent: (job: Job, task: number) => boolean;
  /** Placements of this time of day or later were started by this leader. */
  readonly reignFrom: Micros;
  /** The worker registry's clock as time of day. */
  readonly day: (clock: Micros) => Micros;
}

const milli = (x: number): number => Math.round(x * 1000);
const SPLIT = Object.fromEntries(SPLITS.map((s, i) => [s, i])) as Record<(typeof SPLITS)[number], number>;

/** Millionths of a price unit an hour: the largest part of the machine that the task takes, at the machine's price. */
export const rateOf = (job: Job, type: MachineType | undefined, spot: boolean): number => {
  if (type === undefined) return 0;
  const { cpus, gpus, memGb } = job.spec;
  const part = (want: number, have: number): number => (have > 0 ? want / have : 0);
  const most = Math.max(part(cpus, type.cpus), part(gpus, type.gpus), part(memGb, type.memGb));
  return Math.round(Math.min(1, most) * (spot && type.spotPrice > 0 ? type.spotPrice : type.price) * 1e6);
};

/**
 * Microseconds by split of one placement from `since` to `at`; their sum is `at - since` exactly. `how`: it completed, it
 * went without completing, or it went because its user cancelled the job.
 */
export const splitOf = (
  job: Job,
  since: Micros,
  at: Micros,
  c: Course,
  how: 'done' | 'gone' | 'withdrawn',
  lent: boolean,
  day: (clock: Micros) => Micros,
): number[] => {
  const us = SPLITS.map(() => 0);
  const within = (x: Micros, low: number): number => Math.min(at, Math.max(low, day(x)));
  if (c.first === null) {
    // Never seen: it never got there, or another leader saw it.
    us[c.known ? SPLIT.fetching : SPLIT.unknown] = at - since;
    return us;
  }
  let to = since as number;
  const until = (x: number, split: number): void => {
    us[split] = us[split]! + (x - to);
    to = x;
  };
  const begins = c.gathering ?? c.running;
  until(within(c.known ? (begins ?? c.first) : c.first, to), c.known ? SPLIT.fetching : SPLIT.unknown);
  if (begins === null) {
    until(at, SPLIT.fetching);
    return us;
  }
  if (c.gathering !== null) until(c.running === null ? at : within(c.running, to), SPLIT.gathering);
  const ran = at - to;
  if (ran === 0) return us;
  const { checkpoint, shape } = job.spec;
  const kept =
    how !== 'gone' || c.saved || shape === 'service'
      ? ran
      : checkpoint > 0
        ? Math.floor(ran / checkpoint) * checkpoint
        : 0;
  until(to + kept, lent ? SPLIT.lent : SPLIT.useful);
  until(at, SPLIT.repeated);
  return us;
};

/** Gathers the rows of one log entry. */
export class Spending {
  private readonly rows = new Map<string, SpentRow[]>();
  /** Bytes of the rows as they stand. */
  bytes = 0;

  constructor(
    private readonly books: Books,
    private readonly at: Micros,
  ) {}

  private rowOf(job: Job, machine: string): { key: string; group: Group; make: () => SpentRow } {
    const { cpus, gpus, memGb, team, jobClass } = job.spec;
    const kind = this.books.kindOf(machine);
    const group: Group = [team, jobClass, kindName(kind)];
    const shape = [milli(cpus), milli(gpus), milli(memGb)] as const;
    const rate = kind === null ? 0 : rateOf(job, this.books.types.get(kind.type), kind.spot);
    const key = `${groupKey(group)}${shape.join()},${rate}`;
    return { key, group, make: () => ({ group, shape, rate, us: SPLITS.map(() => 0) }) };
  }

  /** Bytes that these ends would add. */
  wouldAdd(job: Job, tasks: Iterable<number>): number {
    let bytes = 0;
    const seen = new Set<string>();
    for (const t of tasks) {
      const p = job.placed.get(t);
      if (!p) continue;
      const { key, group } = this.rowOf(job, p.machine);
      if (seen.has(key) || this.rows.has(key)) continue;
      seen.add(key);
      bytes += rowBytes(group);
    }
    return bytes;
  }

  add(job: Job, tasks: Iterable<number>, how: 'done' | 'gone'): void {
    const { books, at } = this;
    for (const t of tasks) {
      const p = job.placed.get(t);
      if (!p) continue;
      const { key, make } = this.rowOf(job, p.machine);
      const ended = how === 'gone' && job.cancelled ? 'withdrawn' : how;
      let us: number[];
      if (p.since > 0 && p.since < at) {
        const course = books.phases.courseOf(taskKey(job.spec.id, t), p.attempt, p.since >= books.reignFrom);
        us = splitOf(job, p.since, at, course, ended, books.lent(job, t), books.day);
      } else {
        // Since when is not known: at the longest since its job was submitted.
        us = SPLITS.map(() => 0);
        us[SPLIT.unsure] = Math.max(0, at - job.spec.submitted);
      }
      let list = this.rows.get(key);
      if (!list) this.rows.set(key, (list = []));
      let last = list[list.length - 1];
      // A row more where a number would pass what is exact.
      if (!last || last.us.some((x, i) => x + us[i]! > Number.MAX_SAFE_INTEGER)) {
        list.push((last = make()));
      } else this.bytes -= bytesOfRow(last);
      const sums = last.us as number[];
      us.forEach((x, i) => (sums[i] = sums[i]! + x));
      this.bytes += bytesOfRow(last);
    }
  }

  all(): SpentRow[] {
    return [...this.rows.values()].flat();
  }
}

/** Room of all machines that are known. */
export const roomOf = (machines: Iterable<KindOf>, types: ReadonlyMap<string, MachineType>): RoomBound => {
  const out: [number, number, number] = [0, 0, 0];
  for (const m of machines) {
    const k = types.get(m.type);
    if (!k) continue;
    out[0] += milli(k.cpus);
    out[1] += milli(k.gpus);
    out[2] += milli(k.memGb);
  }
  return out;
};
