/** Reports of accounts: pure. Amounts stay integers until they are printed, so the sum of all lines is what was placed. */
import { joinRows, subtractRows, NONE, addAmounts } from '@lilacvalve/controller/accounts/fold';
import {
  type Amounts,
  groupOf,
  indexOf,
  MONEY,
  type Rows,
  type Split,
  SPLITS,
  type Unit,
} from '@lilacvalve/controller/accounts/model';
import {
  addShare,
  type ShareSum,
  type Shares,
  SHORTFALL_REASONS,
} from '@lilacvalve/controller/accounts/share';
import type { DeskOf } from './desks.js';
import type { Read } from './read.js';

export const BY = ['team', 'desk', 'class', 'kind', 'day'] as const;
export type By = (typeof BY)[number];

/** A stretch of time at whose both ends it is known what stood open. */
export interface Stretch {
  readonly from: number;
  readonly to: number;
  readonly booked: Rows;
  /** What stood open at its end, less what did at its begin: with `booked`, what was placed in it. */
  readonly carried: Rows;
  readonly shares: readonly Shares[];
}

const NOTHING: Rows = new Map();

/** All of the accounts as stretches, the last one until the last record. */
export const stretches = (r: Read): Stretch[] => {
  const periods = [
    ...r.pages,
    ...r.accounts.pending.map((p) => ({ ...p, booked: p.rows, open: null, shares: new Map() as Shares })),
    { from: r.accounts.closed, to: r.accounts.at, booked: r.accounts.current, open: r.open, shares: new Map() as Shares }, // prettier-ignore
  ];
  const out: Stretch[] = [];
  let before: Rows = NOTHING;
  let waits: (typeof periods)[number][] = [];
  for (const p of periods) {
    waits.push(p);
    if (p.open === null) continue;
    out.push({
      from: waits[0]!.from,
      to: p.to,
      booked: joinRows(NOTHING, ...waits.map((w) => w.booked)),
      carried: subtractRows(p.open, before),
      shares: waits.map((w) => w.shares),
    });
    before = p.open;
    waits = [];
  }
  return out;
};

export interface Line {
  readonly name: string;
  readonly amounts: Amounts;
  /** Placed and not yet booked, less what had been so before. */
  readonly carried: Amounts;
  readonly share: ShareSum | null;
}
export interface Report {
  readonly from: number;
  readonly to: number;
  readonly lines: readonly Line[];
}

const dayOf = (to: number): string => new Date((to - 1) / 1000).toISOString().slice(0, 10);

/** Stretches that end after `from` and not after `to`, summed. */
export const reportOf = (r: Read, by: By, from: number, to: number, deskOf: DeskOf): Report => {
  const chosen = stretches(r).filter((s) => s.to > from && s.to <= to);
  const lines = new Map<string, { amounts: Amounts; carried: Amounts; share: ShareSum | null }>();
  const at = (name: string) => {
    let l = lines.get(name);
    if (!l) lines.set(name, (l = { amounts: NONE, carried: NONE, share: null }));
    return l;
  };
  for (const s of chosen) {
    const nameOf = (team: string, jobClass: string, kind: string): string =>
      ({ team, desk: deskOf(team, jobClass), class: jobClass, kind, day: dayOf(s.to) })[by];
    for (const [key, a] of s.booked) {
      const l = at(nameOf(...groupOf(key)));
      l.amounts = addAmounts(l.amounts, a);
    }
    for (const [key, a] of s.carried) {
      const l = at(nameOf(...groupOf(key)));
      l.carried = addAmounts(l.carried, a);
    }
    for (const shares of s.shares)
      for (const [key, sum] of shares) {
        const [team, jobClass] = JSON.parse(key) as [string, string];
        if (by === 'kind') continue;
        const l = at(nameOf(team, jobClass, ''));
        l.share = l.share === null ? sum : addShare(l.share, sum);
      }
  }
  return {
    from: chosen[0]?.from ?? 0,
    to: chosen[chosen.length - 1]?.to ?? 0,
    lines: [...lines].sort(([a], [b]) => (a < b ? -1 : 1)).map(([name, l]) => ({ name, ...l })),
  };
};

/** Of one unit: all splits that are time, and what is carried. */
export const placed = (l: Line, unit: Unit): bigint => {
  let n = 0n;
  for (const s of SPLITS)
    if (s !== 'unsure') n += l.amounts[indexOf(s, unit)]! + l.carried[indexOf(s, unit)]!;
  return n;
};

/** `n` / 10^`digits` as decimal text, exact. */
export const decimal = (n: bigint, digits: number): string => {
  const sign = n < 0n ? '-' : '';
  const text = (n < 0n ? -n : n).toString().padStart(digits + 1, '0');
  return `${sign}${text.slice(0, -digits)}.${text.slice(-digits)}`;
};

/** Seconds, or seconds of a whole unit, exact: amounts are microseconds, of thousandths but for tasks. */
const secondsOf = (n: bigint, unit: Unit): string => decimal(n, unit === 'tasks' ? 6 : 9);

const SHOWN: readonly Split[] = ['useful', 'repeated', 'gathering', 'fetching', 'lent', 'unknown'];

/** One line as flat fields: exact decimal text for amounts. */
export const fieldsOf = (l: Line, all: readonly Line[]): Record<string, string> => {
  const out: Record<string, string> = { name: l.name };
  for (const unit of ['tasks', 'cpus', 'gpus', 'mem'] as const) {
    out[`${unit}_s`] = secondsOf(placed(l, unit), unit);
    for (const s of SHOWN) out[`${unit}_${s}_s`] = secondsOf(l.amounts[indexOf(s, unit)]!, unit);
    out[`${unit}_carried_s`] = secondsOf(l.carried[indexOf('unknown', unit)]!, unit);
    out[`${unit}_unsure_s`] = secondsOf(l.amounts[indexOf('unsure', unit)]!, unit);
  }
  let dominant = 0;
  for (const unit of ['cpus', 'gpus', 'mem'] as const) {
    const sum = all.reduce((n, x) => n + placed(x, unit), 0n);
    if (sum > 0n) dominant = Math.max(dominant, Number((placed(l, unit) * 1_000_000n) / sum) / 1e6);
  }
  out['dominant_share'] = dominant.toFixed(6);
  // Millionths of a price unit an hour, times microseconds: cut to millionths of a price unit.
  out['money'] = decimal((l.amounts[MONEY]! + l.carried[MONEY]!) / 3_600_000_000n, 6);
  const s = l.share;
  const part = (n: bigint): string =>
    s === null || s.waited === 0n ? '' : (Number(n / s.waited) / 1e6).toFixed(6);
  out['waited_s'] = s === null ? '0.000' : decimal(s.waited, 3);
  out['entitled'] = s === null ? '' : part(s.entitled);
  out['had'] = s === null ? '' : part(s.had);
  SHORTFALL_REASONS.forEach((w, i) => (out[`owed_${w}`] = s === null ? '' : part(s.owed[i]!)));
  return out;
};
