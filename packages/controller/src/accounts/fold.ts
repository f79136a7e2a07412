/** Folds log entries into accounts: pure, in the log entries' order, the same on every controller. */
import type { Micros } from '@lilacvalve/runtime/micros';
import {
  type Accounts,
  type Amounts,
  type Gap,
  GAPS_KEPT,
  type Group,
  groupKey,
  groupOf,
  MONEY,
  OTHERS,
  PENDING_KEPT,
  type Period,
  type RoomBound,
  type Rows,
  type Spent,
  type SpentRow,
  SPLITS,
  UNITS,
  WIDTH,
} from './model.js';

export const NONE: Amounts = Array.from({ length: WIDTH }, () => 0n);
const UNSURE = SPLITS.indexOf('unsure');

export const addAmounts = (a: Amounts, b: Amounts): Amounts => a.map((x, i) => x + b[i]!);
export const subtract = (a: Amounts, b: Amounts): Amounts => a.map((x, i) => x - b[i]!);
const isNone = (a: Amounts): boolean => a.every((x) => x === 0n);

/** Microseconds times units pass 2^53 within days: they are multiplied and kept as big integers. */
export const amountsOf = (r: SpentRow): Amounts => {
  const out = [...NONE];
  const each = [1n, ...r.shape.map(BigInt)];
  let placed = 0n;
  SPLITS.forEach((_, s) => {
    const us = BigInt(r.us[s] ?? 0);
    if (us === 0n) return;
    if (s !== UNSURE) placed += us;
    UNITS.forEach((__, u) => (out[s * UNITS.length + u] = us * each[u]!));
  });
  out[MONEY] = placed * BigInt(r.rate);
  return out;
};

const into = (rows: Map<string, Amounts>, key: string, a: Amounts): void => {
  const old = rows.get(key);
  rows.set(key, old === undefined ? a : addAmounts(old, a));
};

export const joinRows = (...all: readonly Rows[]): Rows => {
  const [first, ...rest] = all;
  const out = new Map(first);
  for (const rows of rest) for (const [key, a] of rows) into(out, key, a);
  return out;
};
/** `a` without `b`; groups of which nothing is left are left out. */
export const lessRows = (a: Rows, b: Rows): Rows => {
  const out = new Map(a);
  for (const [key, x] of b) out.set(key, subtract(out.get(key) ?? NONE, x));
  for (const [key, x] of out) if (isNone(x)) out.delete(key);
  return out;
};

/**
 * At most `most` groups: the smallest classes of a team on a kind of machine are joined, then kinds, never teams. The
 * sum of all rows stays what it is.
 */
export const compact = (rows: Rows, most: number): Rows => {
  if (rows.size <= most) return rows;
  const size = (a: Amounts): bigint => a.reduce((n, x) => n + x, 0n);
  const order = [...rows].sort(([ka, a], [kb, b]) => {
    const d = size(a) - size(b);
    return d < 0n ? -1 : d > 0n ? 1 : ka < kb ? -1 : 1;
  });
  const join = (to: (g: Group) => Group): Map<string, Amounts> => {
    const out = new Map(rows);
    for (const [key, a] of order) {
      if (out.size <= most) break;
      const joined = groupKey(to(groupOf(key)));
      if (joined === key) continue;
      out.delete(key);
      into(out, joined, a);
    }
    return out;
  };
  const byClass = join(([team, , kind]) => [team, OTHERS, kind]);
  return byClass.size <= most ? byClass : join(([team]) => [team, OTHERS, OTHERS]);
};

/** All groups' sum. */
export const total = (rows: Rows): Amounts => {
  let out = NONE;
  for (const a of rows.values()) out = addAmounts(out, a);
  return out;
};

const wider = (a: RoomBound | null, b: RoomBound): RoomBound =>
  a === null ? b : [Math.max(a[0], b[0]), Math.max(a[1], b[1]), Math.max(a[2], b[2])];

export const addGap = (gaps: readonly Gap[], gap: Gap): readonly Gap[] => {
  const all = [...gaps, gap];
  if (all.length <= GAPS_KEPT) return all;
  const [a, b, ...rest] = all as [Gap, Gap, ...Gap[]];
  const joined: Gap = {
    why: 'several',
    from: Math.min(a.from, b.from) as Micros,
    to: Math.max(a.to, b.to) as Micros,
    seqs: [Math.min(a.seqs[0], b.seqs[0]), Math.max(a.seqs[1], b.seqs[1])],
    room: a.room !== null && b.room !== null ? wider(a.room, b.room) : (a.room ?? b.room),
    open: a.open || b.open,
  };
  return [joined, ...rest];
};

/** Whether a log entry should say how much room there is (`Spent.bound`). */
export const wantsBound = (a: Accounts): boolean => a.gaps.some((g) => g.open || g.room === null);

const bounded = (gaps: readonly Gap[], at: Micros, bound: Spent['bound']): readonly Gap[] =>
  gaps.map((g) => {
    if (!g.open && (g.room !== null || bound === null)) return g;
    return {
      ...g,
      to: g.open ? (Math.max(g.to, at) as Micros) : g.to,
      room: bound === null ? g.room : g.open || g.room === null ? wider(g.room, bound.room) : g.room,
      open: g.open && bound?.shut !== true,
    };
  });

export const addPending = (pending: readonly Period[], p: Period): readonly Period[] => {
  const all = [...pending, p];
  if (all.length <= PENDING_KEPT) return all;
  const [a, b, ...rest] = all as [Period, Period, ...Period[]];
  return [{ from: a.from, to: b.to, rows: joinRows(a.rows, b.rows) }, ...rest];
};

/** The accounts with one log entry more. `at`: its time of day; 0: it has none. Log entries already in them change nothing. */
export const fold = (a: Accounts, seq: number, at: Micros, spent: Spent): Accounts => {
  if (seq <= a.upTo) return a;
  let { gaps, pending, current, closed } = a;
  const now = at === 0 ? a.at : at;
  if (seq > a.upTo + 1) {
    const why = a.upTo === 0 ? 'before' : 'records';
    gaps = addGap(gaps, { why, from: a.at, to: now, seqs: [a.upTo + 1, seq - 1], room: null, open: false });
  }
  if (at === 0)
    gaps = addGap(gaps, { why: 'untimed', from: a.at, to: a.at, seqs: [seq, seq], room: null, open: true });
  else {
    // What can't be read ends where the next log entry begins to be.
    gaps = gaps.map((g) => (g.why === 'untimed' && g.open ? { ...g, to: at, open: false } : g));
    gaps = bounded(gaps, at, spent.bound);
  }
  if (spent.closes !== null && spent.closes > closed) {
    pending = addPending(pending, { from: closed, to: spent.closes, rows: current });
    current = new Map();
    closed = spent.closes;
  }
  const { rows: spentRows } = spent;
  if (spentRows.length === 0) return { ...a, upTo: seq, at: now, gaps, pending, current, closed };
  const rows = new Map(a.rows);
  const cur = new Map(current);
  for (const r of spentRows) {
    const key = groupKey(r.group);
    const amounts = amountsOf(r);
    into(rows, key, amounts);
    into(cur, key, amounts);
  }
  return { ...a, upTo: seq, at: now, rows, current: cur, closed, pending, gaps };
};

/** The later of two views of the accounts: within a life each is the beginning of one history. */
const later = (a: Accounts, b: Accounts): Accounts =>
  b.life > a.life || (b.life === a.life && b.upTo > a.upTo) ? b : a;

/**
 * What a rebuild writes back: the latest of the views. `whole`: somebody among them knew every log entry. Else what comes
 * after the view is a gap, that stands open until nothing from before can be running any more.
 */
export const joinAccounts = (
  views: readonly Accounts[],
  life: number,
  seq: number,
  whole: boolean,
): Accounts => {
  const best = views.reduce(later);
  const upTo = Math.max(best.upTo, seq);
  const why = 'loss';
  const gap: Gap = { why, from: best.at, to: best.at, seqs: [best.upTo + 1, upTo], room: null, open: true };
  return {
    ...best,
    life: Math.max(life, best.life + 1),
    upTo,
    gaps: whole && upTo === best.upTo ? best.gaps : addGap(best.gaps, gap),
  };
};
