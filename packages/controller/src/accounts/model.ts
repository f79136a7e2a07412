/**
 * Accounts of machine time: what is booked, for whom, and what is known to be missing (docs/accounts.md). All amounts are
 * integers: microseconds of placement times whole units (tasks, thousandths of a CPU, of a GPU, of a GB of memory).
 */
import type { Micros } from '@lilacvalve/runtime/micros';

/**
 * What the time of a placement was: running what need not be run again; running what must be run again after a loss;
 * waiting for the other members of a gang; on its way and fetching the image; running on lent capacity; not known, because
 * another leader saw it; and `unsure`: an upper bound where it is not known since when it was placed, part of no sum.
 */
export const SPLITS = ['useful', 'repeated', 'gathering', 'fetching', 'lent', 'unknown', 'unsure'] as const;
export type Split = (typeof SPLITS)[number];
/** Of each, four amounts: tasks, CPUs, GPUs, memory. */
export const UNITS = ['tasks', 'cpus', 'gpus', 'mem'] as const;
export type Unit = (typeof UNITS)[number];
/** Behind them stands the money: millionths of a price unit an hour, times microseconds. */
export const MONEY = SPLITS.length * UNITS.length;
export const WIDTH = MONEY + 1;
export const indexOf = (split: Split, unit: Unit): number =>
  SPLITS.indexOf(split) * UNITS.length + UNITS.indexOf(unit);

/** `WIDTH` sums. Never changed once made: states share them. */
export type Amounts = readonly bigint[];
/** Who, as a key of rows: team, class, kind of machine (`type`, or `type-spot`). */
export type Group = readonly [team: string, jobClass: string, kind: string];
export const groupKey = (g: Group): string => JSON.stringify(g);
export const groupOf = (key: string): Group => JSON.parse(key) as unknown as Group;
export type Rows = ReadonlyMap<string, Amounts>;
/** Kind of machine where nobody knows it any more. */
export const NO_KIND = 'unknown';
/** Class of rows that were joined for want of room: still of their team and kind. */
export const OTHERS = '*';

/** Placements of one shape that ended in one log entry. */
export interface SpentRow {
  readonly group: Group;
  /** Thousandths of a CPU, a GPU and a GB that each of them took. */
  readonly shape: readonly [cpus: number, gpus: number, mem: number];
  /** Millionths of a price unit an hour that each of them cost. */
  readonly rate: number;
  /** Microseconds by split, over all of them. */
  readonly us: readonly number[];
}

/** Room of all machines: thousandths of CPUs, GPUs, GB. */
export type RoomBound = readonly [cpus: number, gpus: number, mem: number];

/** What one log entry says for the accounts. */
export interface Spent {
  readonly rows: readonly SpentRow[];
  /** The log entry is the first one at or after this time of day: what was booked before it is a period of its own. */
  readonly closes: Micros | null;
  /** While a gap stands open: the room of all machines, and whether the gap ends with this log entry. */
  readonly bound: { readonly room: RoomBound; readonly shut: boolean } | null;
}
export const NOTHING_SPENT: Spent = { rows: [], closes: null, bound: null };

/**
 * Why something is missing: `before`: there were log entries before there were accounts; `loss`: the state service lost
 * data, and nobody who knew all of it was left; `records`: log entries went without a trace; `untimed`: a log entry that can't
 * be read, or of an older version; `several`: older gaps, joined.
 */
export type Why = 'before' | 'loss' | 'records' | 'untimed' | 'several';

/** A stretch of time for which the sums may be wrong, at most by the room of all machines over it. */
export interface Gap {
  readonly why: Why;
  readonly from: Micros;
  readonly to: Micros;
  /** Sequence numbers of the log entries in question. */
  readonly seqs: readonly [first: number, last: number];
  /** null: not known yet. */
  readonly room: RoomBound | null;
  /** It goes on: something from before the loss may still be running that no log entry knows of. */
  readonly open: boolean;
}
export const GAPS_KEPT = 24;

/** What was booked from one time of day to another. */
export interface Period {
  readonly from: Micros;
  readonly to: Micros;
  readonly rows: Rows;
}
/** Periods that wait for their page; more than these are joined. */
export const PENDING_KEPT = 2;
/** Length of a period. */
export const MINUTE = 60_000_000;

/** The accounts as of one log entry: the same on every controller that has read as far. */
export interface Accounts {
  /** Grows with each rebuild of the store. */
  readonly life: number;
  /** The last log entry in them, and its time of day. */
  readonly upTo: number;
  readonly at: Micros;
  /** Everything booked so far. */
  readonly rows: Rows;
  /** The same since the end of the last period. */
  readonly current: Rows;
  /** End of the last period; 0: there was none. */
  readonly closed: Micros;
  /** Periods without a page. */
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
