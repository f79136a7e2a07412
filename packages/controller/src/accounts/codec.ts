/** Durable forms of accounts: a log entry's part in its head, the checkpoint, pages. Amounts are hexadecimal text. */
import type { Micros } from '@lilacvalve/runtime/micros';
import { compact } from './fold.js';
import {
  type Accounts,
  type Amounts,
  type Gap,
  type Group,
  groupKey,
  groupOf,
  MONEY,
  NOTHING_SPENT,
  type Period,
  type RoomBound,
  type Rows,
  type Spent,
  type SpentRow,
  SPLITS,
  UNITS,
  WIDTH,
} from './model.js';

type WireSpent = [
  team: string,
  jobClass: string,
  kind: string,
  cpus: number,
  gpus: number,
  mem: number,
  rate: number,
  ...us: number[],
];
/** The members of a log entry's header that are the accounts'. */
export interface StoredSpent {
  readonly s?: readonly WireSpent[];
  readonly p?: number;
  readonly b?: readonly [...room: [number, number, number], shut: 0 | 1];
}

const wireRow = (r: SpentRow): WireSpent => {
  const us = [...r.us];
  while (us.length > 0 && us[us.length - 1] === 0) us.pop();
  return [...r.group, ...r.shape, r.rate, ...us];
};
/** Bytes of a row in a log entry, with the sign after it. */
export const bytesOfRow = (r: SpentRow): number => JSON.stringify(wireRow(r)).length + 1;
/** Bytes of a row in a log entry, at the most. */
export const rowBytes = (group: Group): number => JSON.stringify(group).length + 130;

export const encodeSpent = (s: Spent): StoredSpent => ({
  ...(s.rows.length > 0 ? { s: s.rows.map(wireRow) } : {}),
  ...(s.closes === null ? {} : { p: s.closes }),
  ...(s.bound === null ? {} : { b: [...s.bound.room, s.bound.shut ? 1 : 0] as const }),
});

/** Throws on what `encodeSpent` can't have written. */
export const decodeSpent = (v: StoredSpent): Spent => {
  if (v.s === undefined && v.p === undefined && v.b === undefined) return NOTHING_SPENT;
  return {
    rows: (v.s ?? []).map(([team, jobClass, kind, cpus, gpus, mem, rate, ...us]) => {
      if (![cpus, gpus, mem, rate, ...us].every(Number.isSafeInteger)) throw new Error('not an account row');
      return { group: [team, jobClass, kind], shape: [cpus, gpus, mem], rate, us };
    }),
    closes: v.p === undefined ? null : (v.p as Micros),
    bound: v.b === undefined ? null : { room: [v.b[0], v.b[1], v.b[2]], shut: v.b[3] === 1 },
  };
};

/** One letter for each split. */
const LETTERS = 'urgflxn';

const hex = (n: bigint): string => (n < 0n ? `-${(-n).toString(16)}` : n.toString(16));
const unhex = (text: string): bigint =>
  text.startsWith('-') ? -BigInt(`0x${text.slice(1)}`) : BigInt(`0x${text}`);

/** `u3e8.7d0.0.1f4,f...,$2a`: what is zero is left out. */
export const encodeAmounts = (a: Amounts): string => {
  const out: string[] = [];
  SPLITS.forEach((_, s) => {
    const part = a.slice(s * UNITS.length, (s + 1) * UNITS.length);
    if (part.some((x) => x !== 0n)) out.push(LETTERS[s]! + part.map(hex).join('.'));
  });
  if (a[MONEY] !== 0n) out.push(`$${hex(a[MONEY]!)}`);
  return out.join();
};
export const decodeAmounts = (text: string): Amounts => {
  const out = Array.from({ length: WIDTH }, () => 0n);
  for (const part of text === '' ? [] : text.split(',')) {
    const rest = part.slice(1);
    if (part.startsWith('$')) {
      out[MONEY] = unhex(rest);
      continue;
    }
    const s = LETTERS.indexOf(part[0]!);
    const numbers = rest.split('.');
    if (s < 0 || numbers.length !== UNITS.length) throw new Error('not amounts');
    numbers.forEach((n, u) => (out[s * UNITS.length + u] = unhex(n)));
  }
  return out;
};

export type StoredRow = readonly [team: string, jobClass: string, kind: string, amounts: string];
export const encodeRows = (rows: Rows): StoredRow[] =>
  [...rows]
    .sort(([a], [b]) => (a < b ? -1 : 1))
    .map(([key, a]) => [...groupOf(key), encodeAmounts(a)] as const);
export const decodeRows = (rows: readonly StoredRow[]): Map<string, Amounts> =>
  new Map(rows.map(([team, jobClass, kind, a]) => [groupKey([team, jobClass, kind]), decodeAmounts(a)]));

/** `items` in groups of at most `bytes` of JSON. At least one group, perhaps empty. */
export const chunks = <A>(items: readonly A[], first: number, bytes: number): A[][] => {
  const out: A[][] = [[]];
  let size = first;
  for (const item of items) {
    const n = JSON.stringify(item).length + 1;
    if (size + n > bytes && out[out.length - 1]!.length > 0) {
      out.push([]);
      size = 0;
    }
    out[out.length - 1]!.push(item);
    size += n;
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
  room: RoomBound | null,
];
const encodeGap = (g: Gap): StoredGap => [g.why, g.from, g.to, ...g.seqs, g.open ? 1 : 0, g.room];
const decodeGap = ([why, from, to, first, last, open, room]: StoredGap): Gap => ({
  why,
  from: from as Micros,
  to: to as Micros,
  seqs: [first, last],
  open: open === 1,
  room,
});

/** The checkpoint's first value; the rows of all lists stand one after the other, in it and in its parts. */
interface StoredHead {
  readonly l: number;
  readonly g: number;
  readonly t: number;
  readonly c: number;
  /** Periods without a page: from, to. */
  readonly q: readonly (readonly [number, number])[];
  readonly x: readonly StoredGap[];
  /** How many values there are. */
  readonly n: number;
  readonly r: readonly ListedRow[];
}
/** With the list it is of: 0 all, 1 since the last period, from 2 on the periods without a page. */
type ListedRow = readonly [list: number, ...row: StoredRow];
interface StoredPart {
  readonly g: number;
  readonly r: readonly ListedRow[];
}

/** Values that a checkpoint may take: they are written in one transaction, which has 64 KiB. */
const PARTS = 4;

/** The checkpoint as values, the first one's key first, each at most `bytes` long. Rows that find no room are joined. */
export const encodeAccounts = (a: Accounts, bytes: number): unknown[] => {
  const limit = Math.min(bytes, 12 * 1024);
  const head = (n: number, r: readonly ListedRow[]): StoredHead => ({
    l: a.life,
    g: a.upTo,
    t: a.at,
    c: a.closed,
    q: a.pending.map((p) => [p.from, p.to]),
    x: a.gaps.map(encodeGap),
    n,
    r,
  });
  const lists = [a.rows, a.current, ...a.pending.map((p) => p.rows)];
  for (let most = 4096; ; most = Math.floor(most * 0.8)) {
    const rows = lists.flatMap((list, i) =>
      encodeRows(compact(list, most)).map((r): ListedRow => [i, ...r] as const),
    );
    const parts = chunks(rows, JSON.stringify(head(1, [])).length + 10, limit);
    if (parts.length > PARTS && most > 1) continue;
    const [first, ...rest] = parts;
    return [head(parts.length, first!), ...rest.map((r): StoredPart => ({ g: a.upTo, r }))];
  }
};

/** null: a part is missing, or of another checkpoint. Throws on what was never written. */
export const decodeAccounts = (values: readonly unknown[]): Accounts | null => {
  const head = values[0] as StoredHead | undefined;
  if (head === undefined) return null;
  if (![head.l, head.g, head.t, head.c, head.n].every(Number.isSafeInteger)) throw new Error('not accounts');
  const parts = values.slice(1, head.n) as (StoredPart | undefined)[];
  if (parts.length < head.n - 1 || parts.some((p) => p?.g !== head.g)) return null;
  const rows = [...head.r, ...parts.flatMap((p) => p!.r)];
  const list = (i: number): Map<string, Amounts> =>
    decodeRows(rows.filter(([of]) => of === i).map(([, ...row]) => row));
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
