/** Stored forms of the accounts: their fields of a log entry's header, the checkpoint, and the rows of pages. Amounts are hexadecimal text. */
import type { Micros } from '@lilacvalve/runtime/micros';
import { jsonBytes } from '../state-store/transaction-limits.js';
import { mergeSmallGroups } from './aggregate.js';
import {
  type Accounts,
  type Amounts,
  type Gap,
  type Group,
  groupKey,
  groupOf,
  COST_INDEX,
  NO_USAGE,
  type Period,
  type CapacityBound,
  type AmountsByGroup,
  type Usage,
  type UsageRow,
  USAGE_CATEGORIES,
  UNITS,
  AMOUNTS_LENGTH,
} from './model.js';

type WireUsage = [
  team: string,
  jobClass: string,
  kind: string,
  cpus: number,
  gpus: number,
  mem: number,
  rate: number,
  ...us: number[],
];
/** Fields of a log entry's header that belong to the accounts: usage rows, end of the closed period, capacity bound. */
export interface StoredUsage {
  readonly s?: readonly WireUsage[];
  readonly p?: number;
  readonly b?: readonly [...room: [number, number, number], shut: 0 | 1];
}

const encodeUsageRow = (row: UsageRow): WireUsage => {
  const us = [...row.us];
  while (us.length > 0 && us[us.length - 1] === 0) us.pop();
  return [...row.group, ...row.shape, row.rate, ...us];
};
/** Bytes that a row takes in a log entry, including the comma that follows it. */
export const rowByteLength = (row: UsageRow): number => jsonBytes(encodeUsageRow(row)) + 1;
/** Maximum number of bytes that a row of this group takes in a log entry. */
export const maxRowBytes = (group: Group): number => jsonBytes(group) + 130;

export const encodeUsage = (usage: Usage): StoredUsage => ({
  ...(usage.rows.length > 0 ? { s: usage.rows.map(encodeUsageRow) } : {}),
  ...(usage.closes === null ? {} : { p: usage.closes }),
  ...(usage.bound === null ? {} : { b: [...usage.bound.room, usage.bound.shut ? 1 : 0] as const }),
});

/** Throws on values that `encodeUsage` cannot have written. */
export const decodeUsage = (stored: StoredUsage): Usage => {
  if (stored.s === undefined && stored.p === undefined && stored.b === undefined) return NO_USAGE;
  return {
    rows: (stored.s ?? []).map(([team, jobClass, kind, cpus, gpus, mem, rate, ...us]) => {
      if (![cpus, gpus, mem, rate, ...us].every(Number.isSafeInteger))
        throw new Error(`account row of team ${team}, class ${jobClass}: expected only safe integers`);
      return { group: [team, jobClass, kind], shape: [cpus, gpus, mem], rate, us };
    }),
    closes: stored.p === undefined ? null : (stored.p as Micros),
    bound:
      stored.b === undefined
        ? null
        : { room: [stored.b[0], stored.b[1], stored.b[2]], shut: stored.b[3] === 1 },
  };
};

/** The stored letter of each category, in the order of `USAGE_CATEGORIES`. */
const LETTERS = 'urgflxn';

const toHex = (value: bigint): string => (value < 0n ? `-${(-value).toString(16)}` : value.toString(16));
const fromHex = (text: string): bigint =>
  text.startsWith('-') ? -BigInt(`0x${text.slice(1)}`) : BigInt(`0x${text}`);

/** Encodes amounts as in `u3e8.7d0.0.1f4,f...,$2a`. Categories and costs that are zero are left out. */
export const encodeAmounts = (amounts: Amounts): string => {
  const out: string[] = [];
  USAGE_CATEGORIES.forEach((_, category) => {
    const values = amounts.slice(category * UNITS.length, (category + 1) * UNITS.length);
    if (values.some((value) => value !== 0n)) out.push(LETTERS[category]! + values.map(toHex).join('.'));
  });
  if (amounts[COST_INDEX] !== 0n) out.push(`$${toHex(amounts[COST_INDEX]!)}`);
  return out.join();
};
export const decodeAmounts = (text: string): Amounts => {
  const out = Array.from({ length: AMOUNTS_LENGTH }, () => 0n);
  for (const item of text === '' ? [] : text.split(',')) {
    const rest = item.slice(1);
    if (item.startsWith('$')) {
      out[COST_INDEX] = fromHex(rest);
      continue;
    }
    const category = LETTERS.indexOf(item[0]!);
    const values = rest.split('.');
    if (category < 0 || values.length !== UNITS.length)
      throw new Error(
        `stored amounts: expected a category letter and ${UNITS.length} numbers, found "${item}"`,
      );
    values.forEach((value, unit) => (out[category * UNITS.length + unit] = fromHex(value)));
  }
  return out;
};

export type StoredRow = readonly [team: string, jobClass: string, kind: string, amounts: string];
export const encodeRows = (rows: AmountsByGroup): StoredRow[] =>
  [...rows]
    .sort(([keyA], [keyB]) => (keyA < keyB ? -1 : 1))
    .map(([key, amounts]) => [...groupOf(key), encodeAmounts(amounts)] as const);
export const decodeRows = (rows: readonly StoredRow[]): Map<string, Amounts> =>
  new Map(
    rows.map(([team, jobClass, kind, amounts]) => [groupKey([team, jobClass, kind]), decodeAmounts(amounts)]),
  );

/**
 * Splits `items` into chunks of at most `bytes` of JSON; an item that is larger has a chunk of its own. `first`: bytes that
 * are already used in the first chunk. Returns at least one chunk, which may be empty.
 */
export const chunkByBytes = <A>(items: readonly A[], first: number, bytes: number): A[][] => {
  const out: A[][] = [[]];
  let size = first;
  for (const item of items) {
    const itemBytes = jsonBytes(item) + 1;
    if (size + itemBytes > bytes && out[out.length - 1]!.length > 0) {
      out.push([]);
      size = 0;
    }
    out[out.length - 1]!.push(item);
    size += itemBytes;
  }
  return out;
};

type StoredGap = readonly [
  why: Gap['why'],
  from: number,
  to: number,
  first: number,
  last: number,
  open: 0 | 1,
  room: CapacityBound | null,
];
const encodeGap = (gap: Gap): StoredGap => [
  gap.why,
  gap.from,
  gap.to,
  ...gap.seqs,
  gap.open ? 1 : 0,
  gap.room,
];
const decodeGap = ([why, from, to, first, last, open, room]: StoredGap): Gap => ({
  why,
  from: from as Micros,
  to: to as Micros,
  seqs: [first, last],
  open: open === 1,
  room,
});

/**
 * First value of the checkpoint. `l`, `g`, `t` and `c` are `life`, `upTo`, `at` and `closed` of the accounts; `x`: gaps. The
 * rows of all lists follow one another, in this value and in the further ones.
 */
interface StoredHead {
  readonly l: number;
  readonly g: number;
  readonly t: number;
  readonly c: number;
  /** Periods whose page is not written yet: from, to. */
  readonly q: readonly (readonly [number, number])[];
  readonly x: readonly StoredGap[];
  /** Number of values of the checkpoint. */
  readonly n: number;
  readonly r: readonly ListedRow[];
}
/** A row with the list it belongs to: 0 all usage, 1 usage since the last period, 2 and up the periods whose page is not written yet. */
type ListedRow = readonly [list: number, ...row: StoredRow];
/** A further value of the checkpoint. `g`: the last log entry included, by which the values of one checkpoint are matched. */
interface StoredContinuation {
  readonly g: number;
  readonly r: readonly ListedRow[];
}

/** Maximum number of values of a checkpoint: they are written in one transaction, which is limited to 64 KiB. */
const MAX_VALUES = 4;

/**
 * Encodes the checkpoint as values of at most `bytes` each, the one for the first key first. Small groups are merged until
 * the rows fit.
 */
export const encodeAccounts = (accounts: Accounts, bytes: number): unknown[] => {
  const limit = Math.min(bytes, 12 * 1024);
  const head = (n: number, r: readonly ListedRow[]): StoredHead => ({
    l: accounts.life,
    g: accounts.upTo,
    t: accounts.at,
    c: accounts.closed,
    q: accounts.pending.map((period) => [period.from, period.to]),
    x: accounts.gaps.map(encodeGap),
    n,
    r,
  });
  const lists = [accounts.rows, accounts.current, ...accounts.pending.map((period) => period.rows)];
  for (let maxGroups = 4096; ; maxGroups = Math.floor(maxGroups * 0.8)) {
    const rows = lists.flatMap((list, i) =>
      encodeRows(mergeSmallGroups(list, maxGroups)).map((row): ListedRow => [i, ...row] as const),
    );
    const rowsByValue = chunkByBytes(rows, jsonBytes(head(1, [])) + 10, limit);
    if (rowsByValue.length > MAX_VALUES && maxGroups > 1) continue;
    const [first, ...rest] = rowsByValue;
    return [
      head(rowsByValue.length, first!),
      ...rest.map((r): StoredContinuation => ({ g: accounts.upTo, r })),
    ];
  }
};

/** Returns null if a value of the checkpoint is missing or belongs to another checkpoint. Throws on values that were never written. */
export const decodeAccounts = (values: readonly unknown[]): Accounts | null => {
  const head = values[0] as StoredHead | undefined;
  if (head === undefined) return null;
  if (![head.l, head.g, head.t, head.c, head.n].every(Number.isSafeInteger))
    throw new Error('accounts checkpoint: expected safe integers in l, g, t, c and n');
  const continuations = values.slice(1, head.n) as (StoredContinuation | undefined)[];
  if (continuations.length < head.n - 1 || continuations.some((value) => value?.g !== head.g)) return null;
  const rows = [...head.r, ...continuations.flatMap((value) => value!.r)];
  const list = (index: number): Map<string, Amounts> =>
    decodeRows(rows.filter(([of]) => of === index).map(([, ...row]) => row));
  return {
    life: head.l,
    upTo: head.g,
    at: head.t as Micros,
    rows: list(0),
    current: list(1),
    closed: head.c as Micros,
    pending: head.q.map(([from, to], i): Period => ({
      from: from as Micros,
      to: to as Micros,
      rows: list(i + 2),
    })),
    gaps: head.x.map(decodeGap),
  };
};
