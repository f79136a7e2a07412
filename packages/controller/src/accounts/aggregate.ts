/** Aggregates log entries into accounts. Pure functions, applied in log order, with the same result on every controller. */
import type { Micros } from '@lilacvalve/runtime/micros';
import {
  type Accounts,
  type Amounts,
  type Gap,
  MAX_GAPS,
  type Group,
  groupKey,
  groupOf,
  COST_INDEX,
  MERGED,
  MAX_PENDING_PERIODS,
  type Period,
  type CapacityBound,
  type AmountsByGroup,
  type Usage,
  type UsageRow,
  USAGE_CATEGORIES,
  UNITS,
  AMOUNTS_LENGTH,
} from './model.js';

export const ZERO_AMOUNTS: Amounts = Array.from({ length: AMOUNTS_LENGTH }, () => 0n);
const UNSURE = USAGE_CATEGORIES.indexOf('unsure');

export const addAmounts = (a: Amounts, b: Amounts): Amounts => a.map((value, i) => value + b[i]!);
export const subtractAmounts = (a: Amounts, b: Amounts): Amounts => a.map((value, i) => value - b[i]!);
const isZero = (amounts: Amounts): boolean => amounts.every((value) => value === 0n);

/** Returns the amounts of a row. Microseconds times units exceed 2^53 within days, so the products are big integers. */
export const amountsOf = (row: UsageRow): Amounts => {
  const out = [...ZERO_AMOUNTS];
  const perTask = [1n, ...row.shape.map(BigInt)];
  let placedUs = 0n;
  USAGE_CATEGORIES.forEach((_, category) => {
    const us = BigInt(row.us[category] ?? 0);
    if (us === 0n) return;
    if (category !== UNSURE) placedUs += us;
    UNITS.forEach((__, unit) => (out[category * UNITS.length + unit] = us * perTask[unit]!));
  });
  out[COST_INDEX] = placedUs * BigInt(row.rate);
  return out;
};

const addTo = (rows: Map<string, Amounts>, key: string, amounts: Amounts): void => {
  const old = rows.get(key);
  rows.set(key, old === undefined ? amounts : addAmounts(old, amounts));
};

/** Returns the sums of several sets of rows, by group. */
export const joinRows = (...all: readonly AmountsByGroup[]): AmountsByGroup => {
  const [first, ...rest] = all;
  const out = new Map(first);
  for (const rows of rest) for (const [key, amounts] of rows) addTo(out, key, amounts);
  return out;
};
/** Returns `a` minus `b`, without the groups whose amounts are all zero. */
export const subtractRows = (a: AmountsByGroup, b: AmountsByGroup): AmountsByGroup => {
  const out = new Map(a);
  for (const [key, amounts] of b) out.set(key, subtractAmounts(out.get(key) ?? ZERO_AMOUNTS, amounts));
  for (const [key, amounts] of out) if (isZero(amounts)) out.delete(key);
  return out;
};

/**
 * Reduces rows to at most `maxGroups` groups: merges the smallest classes of a team on one kind of machine, then the kinds
 * of a team. Teams are never merged, so one group per team may remain above the limit. The sum of all rows is unchanged.
 */
export const mergeSmallGroups = (rows: AmountsByGroup, maxGroups: number): AmountsByGroup => {
  if (rows.size <= maxGroups) return rows;
  const size = (amounts: Amounts): bigint => amounts.reduce((sum, value) => sum + value, 0n);
  const order = [...rows].sort(([keyA, a], [keyB, b]) => {
    const difference = size(a) - size(b);
    return difference < 0n ? -1 : difference > 0n ? 1 : keyA < keyB ? -1 : 1;
  });
  const merge = (to: (group: Group) => Group): Map<string, Amounts> => {
    const out = new Map(rows);
    for (const [key, amounts] of order) {
      if (out.size <= maxGroups) break;
      const mergedKey = groupKey(to(groupOf(key)));
      if (mergedKey === key) continue;
      out.delete(key);
      addTo(out, mergedKey, amounts);
    }
    return out;
  };
  const byClass = merge(([team, , kind]) => [team, MERGED, kind]);
  return byClass.size <= maxGroups ? byClass : merge(([team]) => [team, MERGED, MERGED]);
};

/** Returns the sum over all groups. */
export const totalAmounts = (rows: AmountsByGroup): Amounts => {
  let out = ZERO_AMOUNTS;
  for (const amounts of rows.values()) out = addAmounts(out, amounts);
  return out;
};

const maxBound = (a: CapacityBound | null, b: CapacityBound): CapacityBound =>
  a === null ? b : [Math.max(a[0], b[0]), Math.max(a[1], b[1]), Math.max(a[2], b[2])];

/** Returns the gaps with `gap` added; the two oldest are merged if there are more than `MAX_GAPS`. */
export const addGap = (gaps: readonly Gap[], gap: Gap): readonly Gap[] => {
  const all = [...gaps, gap];
  if (all.length <= MAX_GAPS) return all;
  const [a, b, ...rest] = all as [Gap, Gap, ...Gap[]];
  const merged: Gap = {
    why: 'several',
    from: Math.min(a.from, b.from) as Micros,
    to: Math.max(a.to, b.to) as Micros,
    seqs: [Math.min(a.seqs[0], b.seqs[0]), Math.max(a.seqs[1], b.seqs[1])],
    room: a.room !== null && b.room !== null ? maxBound(a.room, b.room) : (a.room ?? b.room),
    open: a.open || b.open,
  };
  return [merged, ...rest];
};

/** Whether the next log entry should state the capacity of all machines (`Usage.bound`). */
export const needsCapacityBound = (accounts: Accounts): boolean =>
  accounts.gaps.some((gap) => gap.open || gap.room === null);

/** Extends the open gaps to `at`, and applies the capacity that a log entry states to the gaps that need it. */
const boundGaps = (gaps: readonly Gap[], at: Micros, bound: Usage['bound']): readonly Gap[] =>
  gaps.map((gap) => {
    if (!gap.open && (gap.room !== null || bound === null)) return gap;
    return {
      ...gap,
      to: gap.open ? (Math.max(gap.to, at) as Micros) : gap.to,
      room:
        bound === null ? gap.room : gap.open || gap.room === null ? maxBound(gap.room, bound.room) : gap.room,
      open: gap.open && bound?.shut !== true,
    };
  });

/** Returns the periods with `period` added; the two oldest are merged if there are more than `MAX_PENDING_PERIODS`. */
export const addPending = (pending: readonly Period[], period: Period): readonly Period[] => {
  const all = [...pending, period];
  if (all.length <= MAX_PENDING_PERIODS) return all;
  const [a, b, ...rest] = all as [Period, Period, ...Period[]];
  return [{ from: a.from, to: b.to, rows: joinRows(a.rows, b.rows) }, ...rest];
};

/**
 * Returns the accounts with one more log entry applied. `at`: time of day of the entry; 0: it has none. A log entry that the
 * accounts already include changes nothing.
 */
export const applyToAccounts = (accounts: Accounts, seq: number, at: Micros, usage: Usage): Accounts => {
  if (seq <= accounts.upTo) return accounts;
  let { gaps, pending, current, closed } = accounts;
  const now = at === 0 ? accounts.at : at;
  if (seq > accounts.upTo + 1) {
    const why = accounts.upTo === 0 ? 'before' : 'records';
    gaps = addGap(gaps, {
      why,
      from: accounts.at,
      to: now,
      seqs: [accounts.upTo + 1, seq - 1],
      room: null,
      open: false,
    });
  }
  if (at === 0)
    gaps = addGap(gaps, {
      why: 'untimed',
      from: accounts.at,
      to: accounts.at,
      seqs: [seq, seq],
      room: null,
      open: true,
    });
  else {
    // The gap of an unreadable log entry ends at the next log entry that has a time of day.
    gaps = gaps.map((gap) => (gap.why === 'untimed' && gap.open ? { ...gap, to: at, open: false } : gap));
    gaps = boundGaps(gaps, at, usage.bound);
  }
  if (usage.closes !== null && usage.closes > closed) {
    pending = addPending(pending, { from: closed, to: usage.closes, rows: current });
    current = new Map();
    closed = usage.closes;
  }
  const { rows: usageRows } = usage;
  if (usageRows.length === 0) return { ...accounts, upTo: seq, at: now, gaps, pending, current, closed };
  const rows = new Map(accounts.rows);
  const newCurrent = new Map(current);
  for (const row of usageRows) {
    const key = groupKey(row.group);
    const amounts = amountsOf(row);
    addTo(rows, key, amounts);
    addTo(newCurrent, key, amounts);
  }
  return { ...accounts, upTo: seq, at: now, rows, current: newCurrent, closed, pending, gaps };
};

/** Returns the later of two views of the accounts. With the same `life`, one view is always a continuation of the other. */
const laterOf = (a: Accounts, b: Accounts): Accounts =>
  b.life > a.life || (b.life === a.life && b.upTo > a.upTo) ? b : a;

/**
 * Returns the accounts that a rebuild of the store writes back: the latest of the controllers' views. `whole`: one of the
 * views included every log entry. Otherwise the time after the latest view becomes a gap, which stays open until no task
 * from before the data loss can still be running.
 */
export const joinAccounts = (
  views: readonly Accounts[],
  life: number,
  seq: number,
  whole: boolean,
): Accounts => {
  const best = views.reduce(laterOf);
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
