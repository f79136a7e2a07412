/**
 * Pages of past periods. A page is first written for a period of one or more whole minutes; old pages are joined to hours,
 * days and months (UTC). A page holds the usage booked in its period, the usage of the placements that were open at its end,
 * and the shares of the groups that waited. Pure functions: keys, stored forms, and the choice of the pages to join.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { chunkByBytes, decodeRows, encodeRows, type StoredRow } from './codec.js';
import { mergeSmallGroups, joinRows } from './aggregate.js';
import { MINUTE, type AmountsByGroup } from './model.js';
import { compactShares, joinShares, type ShareRow, type Shares } from './share.js';

export interface Page {
  readonly from: Micros;
  readonly to: Micros;
  readonly booked: AmountsByGroup;
  /**
   * Usage of the placements that were open at the end of the period, counted from their start; null: not known, because
   * the leader ended before it wrote the page.
   */
  readonly open: AmountsByGroup | null;
  readonly shares: Shares;
}

export const PAGE_PREFIX = 's/a/p/';
/** Minute, hour, day, month. */
export const LEVELS = ['m', 'h', 'd', 'M'] as const;
export type Level = (typeof LEVELS)[number];

const HOUR = 60 * MINUTE;
const DAY = 24 * HOUR;
/** How long the pages of a level are kept after the end of the next level's period before they are joined, in microseconds. */
const RETENTION: Record<Level, number> = {
  m: 2 * HOUR,
  h: 3 * DAY,
  d: 62 * DAY,
  M: Number.POSITIVE_INFINITY,
};

/** Returns the end of the period of `level` to which a page that ends at `at` belongs. */
export const periodEnd = (level: Level, at: number): Micros => {
  if (level === 'M') {
    const lastMillisecond = new Date((at - 1) / 1000);
    return (Date.UTC(lastMillisecond.getUTCFullYear(), lastMillisecond.getUTCMonth() + 1, 1) *
      1000) as Micros;
  }
  const length = { m: MINUTE, h: HOUR, d: DAY }[level];
  return (Math.ceil(at / length) * length) as Micros;
};

/**
 * Returns the key of a page's value. It contains the end of the period in padded seconds, so that keys sort by time. The
 * keys of the second and further values of a page end in the value's number.
 */
export const pageKey = (level: Level, to: Micros, valueNumber = 0): string =>
  `${PAGE_PREFIX}${level}/${String(to / 1e6).padStart(12, '0')}${valueNumber === 0 ? '' : `.${valueNumber}`}`;
export const levelKey = (level: Level): string => `${PAGE_PREFIX}${level}/`;

/** First value of a page. `f`, `t`: start and end of the period; `r`: rows. */
interface StoredHead {
  readonly f: number;
  readonly t: number;
  /** Number of values of the page. */
  readonly n: number;
  /** Whether the usage of open placements is known. */
  readonly k: 0 | 1;
  readonly r: readonly ListedRow[];
}
/** A row with the list it belongs to: 0 booked usage, 1 usage of open placements, 2 shares. */
type ListedRow = readonly [list: 0 | 1, ...row: StoredRow] | readonly [list: 2, ...row: ShareRow];

/** Maximum number of values of a page. */
const MAX_VALUES = 2;
const MAX_VALUE_BYTES = 10 * 1024;

/** Encodes a page as values, the one for the first key first. Small groups are merged until the rows fit. */
export const encodePage = (page: Page, valueBytes: number): unknown[] => {
  const limit = Math.min(MAX_VALUE_BYTES, valueBytes * 0.9);
  for (let maxGroups = 4096; ; maxGroups = Math.floor(maxGroups * 0.8)) {
    const rows: ListedRow[] = [
      ...encodeRows(mergeSmallGroups(page.booked, maxGroups)).map((row): ListedRow => [0, ...row]),
      ...encodeRows(mergeSmallGroups(page.open ?? new Map(), maxGroups)).map((row): ListedRow => [1, ...row]),
      ...compactShares(page.shares, maxGroups).map((row): ListedRow => [2, ...row]),
    ];
    const rowsByValue = chunkByBytes(rows, 120, limit);
    if (rowsByValue.length > MAX_VALUES && maxGroups > 1) continue;
    const [first, ...rest] = rowsByValue;
    const head: StoredHead = {
      f: page.from,
      t: page.to,
      n: rowsByValue.length,
      k: page.open === null ? 0 : 1,
      r: first!,
    };
    return [head, ...rest.map((r) => ({ t: page.to, r }))];
  }
};

/** Returns null if a value of the page is missing. Throws on values that were never a page. */
export const decodePage = (values: readonly unknown[]): Page | null => {
  const head = values[0] as StoredHead | undefined;
  if (head === undefined) return null;
  if (![head.f, head.t, head.n].every(Number.isSafeInteger))
    throw new Error('accounts page: expected safe integers in f, t and n');
  const continuations = values.slice(1, head.n) as (Pick<StoredHead, 't' | 'r'> | undefined)[];
  if (continuations.length < head.n - 1 || continuations.some((value) => value?.t !== head.t)) return null;
  const rows = [...head.r, ...continuations.flatMap((value) => value!.r)];
  const list = (index: 0 | 1): StoredRow[] =>
    rows.flatMap((row) => (row[0] === index ? [row.slice(1) as unknown as StoredRow] : []));
  return {
    from: head.f as Micros,
    to: head.t as Micros,
    booked: decodeRows(list(0)),
    open: head.k === 1 ? decodeRows(list(1)) : null,
    shares: joinShares(rows.flatMap((row) => (row[0] === 2 ? [row.slice(1) as unknown as ShareRow] : []))),
  };
};

/** Returns the pages among the store's entries, ordered by their ends; of equal ends the higher level comes first. */
export const parsePages = (
  entries: Iterable<{ readonly key: string; readonly value: unknown }>,
): { readonly level: Level; readonly page: Page; readonly keys: string[] }[] => {
  const valuesByPage = new Map<string, { values: unknown[]; keys: string[] }>();
  for (const entry of entries) {
    if (!entry.key.startsWith(PAGE_PREFIX)) continue;
    const [firstKey, valueNumber = '0'] = entry.key.split('.') as [string, string?];
    let stored = valuesByPage.get(firstKey);
    if (!stored) valuesByPage.set(firstKey, (stored = { values: [], keys: [] }));
    stored.values[Number(valueNumber)] = entry.value;
    stored.keys.push(entry.key);
  }
  const out: { level: Level; page: Page; keys: string[] }[] = [];
  for (const [key, stored] of valuesByPage) {
    let page: Page | null = null;
    try {
      page = decodePage(stored.values);
    } catch {
      // An unreadable page leaves its period without details; its usage is still in the sums of the accounts.
    }
    if (page !== null)
      out.push({
        level: key.slice(PAGE_PREFIX.length, PAGE_PREFIX.length + 1) as Level,
        page,
        keys: stored.keys,
      });
  }
  return out.sort((a, b) => a.page.to - b.page.to || LEVELS.indexOf(b.level) - LEVELS.indexOf(a.level));
};

/** Joins consecutive pages, at least one, into one page. */
export const joinPages = (pages: readonly Page[]): Page => ({
  from: pages[0]!.from,
  to: pages[pages.length - 1]!.to,
  booked: joinRows(new Map(), ...pages.map((page) => page.booked)),
  open: pages[pages.length - 1]!.open,
  shares: joinShares(pages.flatMap((page) => compactShares(page.shares, Number.POSITIVE_INFINITY))),
});

/**
 * Returns the period of the next level (`up`) whose pages of `level` should be joined next, or null if there is none.
 * `firstTo`: end of the oldest page of `level`; `closed`: end of the last closed period.
 */
export const nextMerge = (
  level: Level,
  firstTo: Micros,
  closed: Micros,
): { up: Level; to: Micros } | null => {
  const up = LEVELS[LEVELS.indexOf(level) + 1];
  if (up === undefined) return null;
  const to = periodEnd(up, firstTo);
  return to + RETENTION[level] <= closed ? { up, to } : null;
};
