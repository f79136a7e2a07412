/**
 * Data model of the accounts of machine time: the usage that is booked for each team, and the gaps in which usage is known
 * to be missing (docs/accounts.md). All amounts are integers: microseconds of placement time multiplied by whole units
 * (tasks, or thousandths of a CPU, of a GPU or of a GB of memory).
 */
import type { Micros } from '@lilacvalve/runtime/micros';

/**
 * Categories into which the time of a placement is split:
 * - `useful`: the task ran, and that work need not be repeated;
 * - `repeated`: the task ran, but the work was lost and must be repeated;
 * - `gathering`: the task waited for the other members of its gang;
 * - `fetching`: the start order was on its way to the worker, or the worker fetched the image;
 * - `lent`: the task ran on GPUs that were lent to its job;
 * - `unknown`: the phase is not known, because another leader observed it;
 * - `unsure`: an upper bound for a placement whose start time is not known; it is part of no sum.
 */
export const USAGE_CATEGORIES = [
  'useful',
  'repeated',
  'gathering',
  'fetching',
  'lent',
  'unknown',
  'unsure',
] as const;
export type UsageCategory = (typeof USAGE_CATEGORIES)[number];
/** Each category has four amounts, one per unit. */
export const UNITS = ['tasks', 'cpus', 'gpus', 'mem'] as const;
export type Unit = (typeof UNITS)[number];
/** Index of the cost, which follows the amounts of all categories: millionths of a price unit per hour, times microseconds. */
export const COST_INDEX = USAGE_CATEGORIES.length * UNITS.length;
export const AMOUNTS_LENGTH = COST_INDEX + 1;
export const amountIndex = (category: UsageCategory, unit: Unit): number =>
  USAGE_CATEGORIES.indexOf(category) * UNITS.length + UNITS.indexOf(unit);

/** `AMOUNTS_LENGTH` sums. Immutable, because several states share one array. */
export type Amounts = readonly bigint[];
/** Who used which kind of machine: team, job class, and machine type (`type`, or `type-spot` for a spot machine). */
export type Group = readonly [team: string, jobClass: string, kind: string];
export const groupKey = (group: Group): string => JSON.stringify(group);
export const groupOf = (key: string): Group => JSON.parse(key) as unknown as Group;
/** Amounts by group key. */
export type AmountsByGroup = ReadonlyMap<string, Amounts>;
/** Kind of a machine whose type is no longer known. */
export const UNKNOWN_KIND = 'unknown';
/** Stands for the class, or for the class and the kind, of groups that were merged because there were too many. */
export const MERGED = '*';

/** Placements of one shape that ended in one log entry. */
export interface UsageRow {
  readonly group: Group;
  /** Thousandths of a CPU, of a GPU and of a GB that each placement took. */
  readonly shape: readonly [cpus: number, gpus: number, mem: number];
  /** Cost of each placement, in millionths of a price unit per hour. */
  readonly rate: number;
  /** Microseconds by category, summed over the placements. */
  readonly us: readonly number[];
}

/** Total capacity of all machines: thousandths of CPUs, of GPUs and of GB. */
export type CapacityBound = readonly [cpus: number, gpus: number, mem: number];

/** The usage that one log entry books. */
export interface Usage {
  readonly rows: readonly UsageRow[];
  /**
   * End of the period that this log entry closes, which is the first entry at or after this time of day; null: the entry
   * closes none. Everything booked before the entry since the last period belongs to the closed period.
   */
  readonly closes: Micros | null;
  /** While a gap is open: the capacity of all machines (`room`), and whether this log entry closes the gap (`shut`). */
  readonly bound: { readonly room: CapacityBound; readonly shut: boolean } | null;
}
export const NO_USAGE: Usage = { rows: [], closes: null, bound: null };

/**
 * Why usage is missing:
 * - `before`: log entries were written before accounts were kept;
 * - `loss`: the state service lost data, and no surviving controller had a complete view;
 * - `records`: log entries are missing;
 * - `untimed`: a log entry is unreadable or was written by an older version;
 * - `several`: older gaps that were merged.
 */
export type GapReason = 'before' | 'loss' | 'records' | 'untimed' | 'several';

/** A time interval in which the sums may be wrong, at most by the capacity of all machines over the interval. */
export interface Gap {
  readonly why: GapReason;
  readonly from: Micros;
  readonly to: Micros;
  /** Sequence numbers of the log entries whose usage is missing. */
  readonly seqs: readonly [first: number, last: number];
  /** Maximum capacity of all machines during the gap; null: not known yet. */
  readonly room: CapacityBound | null;
  /** The gap has not ended: a task from before the loss that no log entry knows may still be running. */
  readonly open: boolean;
}
/** Maximum number of gaps; the oldest ones are merged beyond it. */
export const MAX_GAPS = 24;

/** Usage that was booked between two times of day. */
export interface Period {
  readonly from: Micros;
  readonly to: Micros;
  readonly rows: AmountsByGroup;
}
/** Maximum number of periods whose page is not written yet; the oldest ones are merged beyond it. */
export const MAX_PENDING_PERIODS = 2;
/** One minute in microseconds: the length of a period. */
export const MINUTE = 60_000_000;

/** The accounts as of one log entry: identical on every controller that has applied the log up to that entry. */
export interface Accounts {
  /** Increases with each rebuild of the store. */
  readonly life: number;
  /** Sequence number of the last log entry that is included. */
  readonly upTo: number;
  /** Time of day of that log entry. */
  readonly at: Micros;
  /** All usage booked so far. */
  readonly rows: AmountsByGroup;
  /** Usage booked since the end of the last period. */
  readonly current: AmountsByGroup;
  /** End of the last period; 0: no period has ended. */
  readonly closed: Micros;
  /** Periods whose page is not written yet. */
  readonly pending: readonly Period[];
  readonly gaps: readonly Gap[];
}
export const NO_ACCOUNTS: Accounts = {
  life: 0,
  upTo: 0,
  at: 0 as Micros,
  rows: new Map(),
  current: new Map(),
  closed: 0 as Micros,
  pending: [],
  gaps: [],
};
