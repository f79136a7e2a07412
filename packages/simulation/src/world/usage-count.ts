/**
 * An independent count of the resource usage: it decodes the log entries that reach the state service with no code of the
 * controllers, and takes jobs and machines from the simulation. The controllers' accounts are compared with it.
 */
import { joinRows, subtractRows } from '@lilacvalve/controller/accounts/aggregate';
import { parsePages } from '@lilacvalve/controller/accounts/pages';
import { type Accounts, UNKNOWN_KIND } from '@lilacvalve/controller/accounts/model';

/**
 * Usage of one group, where a group is a team, a job class and a machine type: tasks, and thousandths of CPUs, GPUs and GB
 * of memory, each multiplied by microseconds.
 */
type Sums = [tasks: bigint, cpus: bigint, gpus: bigint, mem: bigint];
/** The stored change of one job, as far as it affects usage. Task numbers are lists of ranges such as `0-3,7`. */
interface Change {
  /** Tasks that have completed. */
  readonly d?: string;
  /** Tasks that no longer run, without having completed. */
  readonly g?: string;
  /** By machine: tasks placed on it. */
  readonly p?: Readonly<Record<string, string>>;
}
/** A log entry with its sequence number. */
interface StoredEntry {
  readonly seq: number;
  readonly value: Readonly<Record<string, unknown>>;
}
/** The properties of a job that usage depends on. */
export interface CountedJob {
  readonly team: string;
  readonly jobClass: string;
  /** Thousandths of CPUs, GPUs and GB of memory of one task. */
  readonly shape: readonly [cpus: number, gpus: number, mem: number];
}

/** Decodes a list of ranges of task numbers. */
const parseTaskNumbers = (text: string | undefined): number[] =>
  (text === undefined || text === '' ? [] : text.split(',')).flatMap((range) => {
    const [from, to = from] = range.split('-').map(Number);
    return Array.from({ length: to! - from! + 1 }, (_, i) => from! + i);
  });

const LOG_ENTRY_PREFIX = 's/r/';
const CHECKPOINT_KEY = 's/a/now';

/** The placements in a sequence of log entries, and the usage that follows from them. Times in microseconds. */
export class Placements {
  readonly sums = new Map<string, Sums>();
  /** By task, such as `job-1/0`, that is placed: since when and on which machine. */
  readonly open = new Map<string, { readonly at: number; readonly machine: string }>();
  /** Time of the latest log entry. */
  at = 0;
  /** The placements that have ended: the number of tasks and the resources used, and the period. */
  readonly endedPlacements: {
    readonly shape: readonly number[];
    readonly from: number;
    readonly to: number;
  }[] = [];

  constructor(
    private readonly jobOf: (id: string) => CountedJob | undefined,
    private readonly kindOf: (machine: string) => string,
  ) {}

  /** Ends the placement of a task and adds its usage to the sums of its group. */
  private endPlacement(key: string, at: number): void {
    const placement = this.open.get(key);
    if (!placement) return;
    this.open.delete(key);
    const job = this.jobOf(key.slice(0, key.indexOf('/')))!;
    const group = JSON.stringify([job.team, job.jobClass, this.kindOf(placement.machine)]);
    const sums = this.sums.get(group) ?? [0n, 0n, 0n, 0n];
    const durationUs = BigInt(at - placement.at);
    this.endedPlacements.push({ shape: [1, ...job.shape], from: placement.at, to: at });
    [1, ...job.shape].forEach((amount, i) => (sums[i] = sums[i]! + durationUs * BigInt(amount)));
    this.sums.set(group, sums);
  }

  /** Processes the next log entry. */
  apply(value: Readonly<Record<string, unknown>>): void {
    const at = (value['@'] as { t: number }).t;
    if (at <= this.at)
      throw new Error(`log entry with time ${at} follows one with the same or a later time, ${this.at}`);
    this.at = at;
    for (const [id, change] of Object.entries(value) as [string, Change][]) {
      if (id === '@') continue;
      for (const task of [...parseTaskNumbers(change.d), ...parseTaskNumbers(change.g)])
        this.endPlacement(`${id}/${task}`, at);
      for (const [machine, tasks] of Object.entries(change.p ?? {}))
        for (const task of parseTaskNumbers(tasks)) this.open.set(`${id}/${task}`, { at, machine });
    }
  }

  /** The usage of all groups together between two times. */
  between(from: number, to: number): Sums {
    const sums: Sums = [0n, 0n, 0n, 0n];
    for (const span of this.closed().endedPlacements) {
      const overlapUs = BigInt(Math.max(0, Math.min(to, span.to) - Math.max(from, span.from)));
      span.shape.forEach((amount, i) => (sums[i] = sums[i]! + overlapUs * BigInt(amount)));
    }
    return sums;
  }

  /** The usage of each group, including that of tasks still placed. */
  total(): Map<string, Sums> {
    return this.closed().sums;
  }

  /** A copy in which all placements end at the latest log entry. */
  private closed(): Placements {
    const copy = new Placements(this.jobOf, this.kindOf);
    copy.endedPlacements.push(...this.endedPlacements);
    for (const [group, sums] of this.sums) copy.sums.set(group, [...sums]);
    for (const [task, placement] of this.open) copy.open.set(task, placement);
    for (const task of this.open.keys()) copy.endPlacement(task, this.at);
    return copy;
  }
}

/** Collects the log entries written to the store, and checks that none is deleted too early. */
export class UsageCount {
  private entries: StoredEntry[] = [];
  /** The number of store rebuilds that the latest accounts checkpoint names. */
  private rebuilds = 0;
  /** Sequence number of the last log entry that the accounts checkpoint in the store includes. */
  private checkpoint = 0;
  /** Violations: log entries deleted before a checkpoint included them. */
  readonly earlyDeletions: string[] = [];
  private readonly gaps = new Set<string>();
  /** Number of log entries that a rebuild did not recover. */
  lost = 0;
  /** Keys of the log entries that became unreadable. A rebuild deletes them, and the accounts name a gap. */
  private readonly unreadable = new Set<string>();
  /**
   * Whether a log entry was written under a sequence number that was already in use. This happens when the store loses its
   * latest changes and a leader that has not noticed continues. Rebuilds do not yet decide which of the two sums is valid
   * (docs/accounts.md), so usage is not compared afterwards.
   */
  forked = false;

  constructor(
    private readonly jobOf: (id: string) => CountedJob | undefined,
    private readonly kindOf: (machine: string) => string,
  ) {}

  /** Records that a value became unreadable. */
  recordDamaged(key: string): void {
    this.unreadable.add(key);
  }

  /** Processes a change of the store. `value` undefined: the key is deleted. */
  put(key: string, value: string | undefined): void {
    if (value === undefined) {
      const seq = Number(key.slice(LOG_ENTRY_PREFIX.length));
      if (key.startsWith(LOG_ENTRY_PREFIX) && seq > this.checkpoint && !this.unreadable.has(key))
        this.earlyDeletions.push(
          `log entry ${seq} deleted, but the checkpoint includes entries up to ${this.checkpoint} only`,
        );
      return;
    }
    if (key.startsWith(LOG_ENTRY_PREFIX)) {
      const seq = Number(key.slice(LOG_ENTRY_PREFIX.length));
      if (this.entries.some((entry) => entry.seq === seq)) this.forked = true;
      this.entries.push({ seq, value: JSON.parse(value) as StoredEntry['value'] });
    } else if (key === CHECKPOINT_KEY) {
      const decoded = JSON.parse(value) as {
        l: number;
        g: number;
        x: [string, number, number, number, number][];
      };
      this.checkpoint = decoded.g;
      if (decoded.l <= this.rebuilds) return;
      this.rebuilds = decoded.l;
      // The rebuild reports the log entries that it did not recover as the latest gap.
      const gap = decoded.x.pop();
      const id = gap === undefined ? '' : `${gap[3]} ${gap[1]}`;
      if (gap?.[0] !== 'loss' || this.gaps.has(id)) return;
      this.gaps.add(id);
      const kept = this.entries.filter((entry) => entry.seq < gap[3]);
      this.lost += this.entries.length - kept.length;
      this.entries = kept;
    }
  }

  /** The placements in the log entries up to a sequence number. */
  placed(upTo: number): Placements {
    const placements = new Placements(this.jobOf, this.kindOf);
    for (const entry of this.entries) if (entry.seq <= upTo) placements.apply(entry.value);
    return placements;
  }
}

/**
 * The errors in the pages of the accounts. The pages and the rows that are on no page yet must add up to all booked rows.
 * The usage of the period of each page, which is the booked usage plus the change of the usage not yet booked, must be that
 * of the placements in the period.
 */
export const pageErrors = (
  entries: Iterable<{ readonly key: string; readonly value: unknown }>,
  accounts: Accounts,
  placed: Placements,
): string[] => {
  const errors: string[] = [];
  const pages = parsePages(entries).map((entry) => entry.page);
  const paged = joinRows(accounts.current, ...[...accounts.pending, ...pages.map((page) => ({ rows: page.booked }))].map((group) => group.rows)); // prettier-ignore
  const unpaged = subtractRows(accounts.rows, paged);
  if (unpaged.size > 0) errors.push(`groups booked on no page: ${[...unpaged.keys()].join()}`);
  pages.forEach((page, i) => {
    const previous = pages[i - 1];
    if (previous !== undefined && previous.to !== page.from)
      errors.push(`no page from ${previous.to} to ${page.from}`);
    if (!previous?.open || !page.open) return;
    const rows = subtractRows(joinRows(page.booked, page.open), previous.open);
    const reported = totalsOf(rows.values());
    const expected = placed.between(page.from, page.to);
    if (reported.join() !== expected.join())
      errors.push(`page from ${page.from}: has ${reported.join(' ')}, expected ${expected.join(' ')}`);
  });
  return errors;
};

/**
 * Sums tasks, CPUs, GPUs and memory over all categories of the rows except the last one, which is an upper bound for
 * usage that is unknown.
 */
const totalsOf = (rows: Iterable<readonly bigint[]>): Sums => {
  const sums: Sums = [0n, 0n, 0n, 0n];
  for (const row of rows) for (let i = 0; i < 24; i++) sums[i % 4] = sums[i % 4]! + row[i]!;
  return sums;
};

/** The accounts that a controller holds. */
export interface ControllerAccounts {
  readonly accounts: Accounts;
  /** The placed tasks: their group, since when they are placed, and the resources that they use. */
  readonly open: readonly {
    readonly group: string;
    readonly since: number;
    readonly shape: CountedJob['shape'];
  }[];
}

/** The usage of each group in a controller's accounts. Tasks still placed count up to the last log entry. */
export const sumsOf = ({ accounts, open }: ControllerAccounts): Map<string, Sums> => {
  const totals = new Map<string, Sums>();
  const add = (group: string, amounts: readonly bigint[]): void => {
    const sums = totals.get(group) ?? [0n, 0n, 0n, 0n];
    amounts.forEach((amount, i) => (sums[i] = sums[i]! + amount));
    totals.set(group, sums);
  };
  for (const [group, row] of accounts.rows) add(group, totalsOf([row]));
  for (const placement of open) {
    if (placement.since === 0) continue;
    const durationUs = BigInt(accounts.at - placement.since);
    add(
      placement.group,
      [1, ...placement.shape].map((amount) => durationUs * BigInt(amount)),
    );
  }
  return totals;
};

/**
 * The teams and job classes for which a leader booked usage on a machine that it did not know. Their groups are compared
 * regardless of the machine type.
 */
const withUnknownMachines = (reported: ReadonlyMap<string, Sums>): Set<string> =>
  new Set(
    [...reported.keys()].flatMap((group) => {
      const [team, jobClass, kind] = JSON.parse(group) as string[];
      return kind === UNKNOWN_KIND ? [JSON.stringify([team, jobClass])] : [];
    }),
  );
/** Merges the groups of the given teams and job classes over all machine types. */
const mergeMachineTypes = (
  usage: ReadonlyMap<string, Sums>,
  merged: ReadonlySet<string>,
): Map<string, Sums> => {
  const result = new Map<string, Sums>();
  for (const [group, sums] of usage) {
    const [team, jobClass] = JSON.parse(group) as string[];
    const key = merged.has(JSON.stringify([team, jobClass])) ? JSON.stringify([team, jobClass]) : group;
    const previous = result.get(key) ?? [0n, 0n, 0n, 0n];
    result.set(key, sums.map((amount, i) => amount + previous[i]!) as Sums);
  }
  return result;
};

const describe = (sums: ReadonlyMap<string, Sums>): string[] =>
  [...sums]
    .filter(([, s]) => s.some((n) => n !== 0n))
    .map(([g, s]) => `${g} ${s.join(' ')}`)
    .sort();

/** Descriptions of the differences between the true usage and that in the accounts. */
export const differences = (
  expected: ReadonlyMap<string, Sums>,
  reported: ReadonlyMap<string, Sums>,
): string[] => {
  const merged = withUnknownMachines(reported);
  const [expectedLines, reportedLines] = [
    describe(mergeMachineTypes(expected, merged)),
    describe(mergeMachineTypes(reported, merged)),
  ];
  return [
    ...expectedLines.filter((line) => !reportedLines.includes(line)).map((line) => `expected ${line}`),
    ...reportedLines.filter((line) => !expectedLines.includes(line)).map((line) => `accounts have ${line}`),
  ];
};

/**
 * Descriptions of the resources whose total usage differs from the accounts by more than the gaps allow. Each gap allows
 * the capacity of all machines over its duration, which may be missing or counted twice.
 */
export const gapExcesses = (
  expected: ReadonlyMap<string, Sums>,
  reported: ReadonlyMap<string, Sums>,
  gaps: Accounts['gaps'],
): string[] => {
  const errors: string[] = [];
  ['cpus', 'gpus', 'mem'].forEach((resource, i) => {
    const total = (usage: ReadonlyMap<string, Sums>): bigint =>
      [...usage.values()].reduce((sum, sums) => sum + sums[i + 1]!, 0n);
    const difference = total(expected) - total(reported);
    const allowed = gaps.reduce(
      (sum, gap) => sum + BigInt(gap.room?.[i] ?? 0) * BigInt(gap.to - gap.from),
      0n,
    );
    if ((difference < 0n ? -difference : difference) > allowed)
      errors.push(`${resource}: differs by ${difference}, gaps allow ${allowed}`);
  });
  return errors;
};
