/**
 * Pages of past periods: minutes, joined to hours, days and months (UTC). A page says what was booked in its period, what
 * stood open at its end, and who waited meanwhile. Pure: keys, forms, and which pages are to be joined.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import { chunks, decodeRows, encodeRows, type StoredRow } from './codec.js';
import { compact, joinRows } from './fold.js';
import { MINUTE, type Rows } from './model.js';
import { compactShares, joinShares, type ShareRow, type Shares } from './share.js';

export interface Page {
  readonly from: Micros;
  readonly to: Micros;
  readonly booked: Rows;
  /** What was placed at its end, since when it was; null: not known, the leader ended before it could say so. */
  readonly open: Rows | null;
  readonly shares: Shares;
}

export const PAGES = 's/a/p/';
export const LEVELS = ['m', 'h', 'd', 'M'] as const;
export type Level = (typeof LEVELS)[number];

const HOUR = 60 * MINUTE;
const DAY = 24 * HOUR;
/** Pages of a level are joined once the period that they belong to has been over for so long. */
const KEPT: Record<Level, number> = {
  m: 2 * HOUR,
  h: 3 * DAY,
  d: 62 * DAY,
  M: Number.POSITIVE_INFINITY,
};

/** The period of a level that a moment, as the end of a page, belongs to: its end. */
export const endOf = (level: Level, at: number): Micros => {
  if (level === 'M') {
    const d = new Date((at - 1) / 1000);
    return (Date.UTC(d.getUTCFullYear(), d.getUTCMonth() + 1, 1) * 1000) as Micros;
  }
  const length = { m: MINUTE, h: HOUR, d: DAY }[level];
  return (Math.ceil(at / length) * length) as Micros;
};

/** Seconds of its end, so that keys sort by time; further parts of the page have a number behind. */
export const pageKey = (level: Level, to: Micros, part = 0): string =>
  `${PAGES}${level}/${String(to / 1e6).padStart(12, '0')}${part === 0 ? '' : `.${part}`}`;
export const levelKey = (level: Level): string => `${PAGES}${level}/`;

interface Stored {
  readonly f: number;
  readonly t: number;
  /** Parts. */
  readonly n: number;
  /** Whether it says what stood open. */
  readonly k: 0 | 1;
  readonly r: readonly Listed[];
}
/** With the list it is of: 0 booked, 1 open, 2 who waited. */
type Listed = readonly [list: 0 | 1, ...row: StoredRow] | readonly [list: 2, ...row: ShareRow];

/** Values that a page may take. */
const PARTS = 2;
const PART_BYTES = 10 * 1024;

export const encodePage = (p: Page, valueBytes: number): unknown[] => {
  const limit = Math.min(PART_BYTES, valueBytes * 0.9);
  for (let most = 4096; ; most = Math.floor(most * 0.8)) {
    const rows: Listed[] = [
      ...encodeRows(compact(p.booked, most)).map((r): Listed => [0, ...r]),
      ...encodeRows(compact(p.open ?? new Map(), most)).map((r): Listed => [1, ...r]),
      ...compactShares(p.shares, most).map((r): Listed => [2, ...r]),
    ];
    const parts = chunks(rows, 120, limit);
    if (parts.length > PARTS && most > 1) continue;
    const [first, ...rest] = parts;
    const head: Stored = { f: p.from, t: p.to, n: parts.length, k: p.open === null ? 0 : 1, r: first! };
    return [head, ...rest.map((r) => ({ t: p.to, r }))];
  }
};

/** null: a part of it is missing. Throws on what was never a page. */
export const decodePage = (values: readonly unknown[]): Page | null => {
  const head = values[0] as Stored | undefined;
  if (head === undefined) return null;
  if (![head.f, head.t, head.n].every(Number.isSafeInteger)) throw new Error('not a page');
  const parts = values.slice(1, head.n) as (Pick<Stored, 't' | 'r'> | undefined)[];
  if (parts.length < head.n - 1 || parts.some((x) => x?.t !== head.t)) return null;
  const rows = [...head.r, ...parts.flatMap((x) => x!.r)];
  const list = (of: 0 | 1): StoredRow[] =>
    rows.flatMap((r) => (r[0] === of ? [r.slice(1) as unknown as StoredRow] : []));
  return {
    from: head.f as Micros,
    to: head.t as Micros,
    booked: decodeRows(list(0)),
    open: head.k === 1 ? decodeRows(list(1)) : null,
    shares: joinShares(rows.flatMap((r) => (r[0] === 2 ? [r.slice(1) as unknown as ShareRow] : []))),
  };
};

/** Pages among the store's entries, in the order of their ends. */
export const pagesOf = (
  entries: Iterable<{ readonly key: string; readonly value: unknown }>,
): { readonly level: Level; readonly page: Page; readonly keys: string[] }[] => {
  const values = new Map<string, { values: unknown[]; keys: string[] }>();
  for (const e of entries) {
    if (!e.key.startsWith(PAGES)) continue;
    const [whole, part = '0'] = e.key.split('.') as [string, string?];
    let v = values.get(whole);
    if (!v) values.set(whole, (v = { values: [], keys: [] }));
    v.values[Number(part)] = e.value;
    v.keys.push(e.key);
  }
  const out: { level: Level; page: Page; keys: string[] }[] = [];
  for (const [key, v] of values) {
    let page: Page | null = null;
    try {
      page = decodePage(v.values);
    } catch {
      // It shows as a period without a date: what it held is in the sums.
    }
    if (page !== null)
      out.push({ level: key.slice(PAGES.length, PAGES.length + 1) as Level, page, keys: v.keys });
  }
  return out.sort((a, b) => a.page.to - b.page.to || LEVELS.indexOf(b.level) - LEVELS.indexOf(a.level));
};

/** Pages that follow one another, as one. At least one. */
export const joinPages = (pages: readonly Page[]): Page => ({
  from: pages[0]!.from,
  to: pages[pages.length - 1]!.to,
  booked: joinRows(new Map(), ...pages.map((p) => p.booked)),
  open: pages[pages.length - 1]!.open,
  shares: joinShares(pages.flatMap((p) => compactShares(p.shares, Number.POSITIVE_INFINITY))),
});

/** What should be joined next: the oldest period of `level` that is over for long enough; null: nothing. */
export const dueAt = (level: Level, firstTo: Micros, closed: Micros): { up: Level; to: Micros } | null => {
  const up = LEVELS[LEVELS.indexOf(level) + 1];
  if (up === undefined) return null;
  const to = endOf(up, firstTo);
  return to + KEPT[level] <= closed ? { up, to } : null;
};
