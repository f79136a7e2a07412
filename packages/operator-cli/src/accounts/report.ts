/** Reports of accounts: pure. Amounts stay integers until they are printed, so the sum of all lines is what was placed. */
import { joinRows, subtractRows, ZERO_AMOUNTS, addAmounts } from '@lilacvalve/controller/accounts/aggregate';
import {
  type Amounts,
  groupOf,
  amountIndex,
  COST_INDEX,
  type AmountsByGroup,
  type UsageCategory,
  USAGE_CATEGORIES,
  type Unit,
} from '@lilacvalve/controller/accounts/model';
import {
  addShare,
  type ShareSum,
  type Shares,
  SHORTFALL_REASONS,
} from '@lilacvalve/controller/accounts/share';
import type { DeskOf } from './desks.js';
import type { AccountsView } from './read.js';

/** What a report has a line for each of. */
export const GROUPINGS = ['team', 'desk', 'class', 'kind', 'day'] as const;
/** One of them. */
export type Grouping = (typeof GROUPINGS)[number];

/** A stretch of time at whose both ends it is known what stood open. */
export interface Stretch {
  readonly from: number;
  readonly to: number;
  readonly booked: AmountsByGroup;
  /** What stood open at its end, less what did at its begin: with `booked`, what was placed in it. */
  readonly carried: AmountsByGroup;
  readonly shares: readonly Shares[];
}

const NOTHING: AmountsByGroup = new Map();

/** A period of the accounts; `open` null: it is not known what stood open at its end. */
interface Period {
  readonly from: number;
  readonly to: number;
  readonly booked: AmountsByGroup;
  readonly open: AmountsByGroup | null;
  readonly shares: Shares;
}

const periodsOf = ({ pages, accounts, open }: AccountsView): Period[] => {
  const noShares: Shares = new Map();
  const { pending, closed, at, current } = accounts;
  return [
    ...pages,
    ...pending.map(({ from, to, rows }) => ({ from, to, booked: rows, open: null, shares: noShares })),
    { from: closed, to: at, booked: current, open, shares: noShares },
  ];
};

/** All of the accounts as stretches, the last one until the last record. */
export const stretches = (view: AccountsView): Stretch[] => {
  const out: Stretch[] = [];
  let openBefore: AmountsByGroup = NOTHING;
  let periods: Period[] = [];
  for (const period of periodsOf(view)) {
    periods.push(period);
    if (period.open === null) continue;
    out.push({
      from: periods[0]!.from,
      to: period.to,
      booked: joinRows(NOTHING, ...periods.map(({ booked }) => booked)),
      carried: subtractRows(period.open, openBefore),
      shares: periods.map(({ shares }) => shares),
    });
    openBefore = period.open;
    periods = [];
  }
  return out;
};

/** What one name had. */
export interface ReportLine {
  readonly name: string;
  readonly amounts: Amounts;
  /** Placed and not yet booked, less what had been so before. */
  readonly carried: Amounts;
  readonly share: ShareSum | null;
}
/** Lines by name; times are microseconds, 0 where no stretch is in it. */
export interface Report {
  readonly from: number;
  readonly to: number;
  readonly lines: readonly ReportLine[];
}

const dayOf = (to: number): string => new Date((to - 1) / 1000).toISOString().slice(0, 10);

type Sums = { -readonly [Key in keyof Omit<ReportLine, 'name'>]: ReportLine[Key] };

/** Stretches that end after `from` and not after `to`, summed by `grouping`. */
export const reportOf = (
  view: AccountsView,
  grouping: Grouping,
  from: number,
  to: number,
  deskOf: DeskOf,
): Report => {
  const chosen = stretches(view).filter((stretch) => stretch.to > from && stretch.to <= to);
  const lines = new Map<string, Sums>();
  const sumsOf = (name: string): Sums => {
    let sums = lines.get(name);
    if (sums === undefined)
      lines.set(name, (sums = { amounts: ZERO_AMOUNTS, carried: ZERO_AMOUNTS, share: null }));
    return sums;
  };
  for (const stretch of chosen) {
    const nameOf = (team: string, jobClass: string, kind: string): string =>
      ({ team, desk: deskOf(team, jobClass), class: jobClass, kind, day: dayOf(stretch.to) })[grouping];
    for (const [key, amounts] of stretch.booked) {
      const sums = sumsOf(nameOf(...groupOf(key)));
      sums.amounts = addAmounts(sums.amounts, amounts);
    }
    for (const [key, amounts] of stretch.carried) {
      const sums = sumsOf(nameOf(...groupOf(key)));
      sums.carried = addAmounts(sums.carried, amounts);
    }
    // Shares are of a team's class: they have no kind of machines.
    if (grouping === 'kind') continue;
    for (const [key, share] of stretch.shares.flatMap((shares) => [...shares])) {
      const [team, jobClass] = JSON.parse(key) as [string, string];
      const sums = sumsOf(nameOf(team, jobClass, ''));
      sums.share = sums.share === null ? share : addShare(sums.share, share);
    }
  }
  return {
    from: chosen[0]?.from ?? 0,
    to: chosen.at(-1)?.to ?? 0,
    lines: [...lines].sort(([a], [b]) => (a < b ? -1 : 1)).map(([name, sums]) => ({ name, ...sums })),
  };
};

/** Of one unit: all splits that are time, and what is carried. */
export const placed = ({ amounts, carried }: ReportLine, unit: Unit): bigint => {
  let sum = 0n;
  for (const split of USAGE_CATEGORIES)
    if (split !== 'unsure') sum += amounts[amountIndex(split, unit)]! + carried[amountIndex(split, unit)]!;
  return sum;
};

/** `amount` / 10^`digits` as decimal text, exact. */
export const decimal = (amount: bigint, digits: number): string => {
  const sign = amount < 0n ? '-' : '';
  const text = (amount < 0n ? -amount : amount).toString().padStart(digits + 1, '0');
  return `${sign}${text.slice(0, -digits)}.${text.slice(-digits)}`;
};

/** Seconds, or seconds of a whole unit, exact: amounts are microseconds, of thousandths but for tasks. */
const secondsOf = (amount: bigint, unit: Unit): string => decimal(amount, unit === 'tasks' ? 6 : 9);

const SHOWN: readonly UsageCategory[] = ['useful', 'repeated', 'gathering', 'fetching', 'lent', 'unknown'];

/** The largest part that the line has of any unit of all lines. */
const dominantShare = (line: ReportLine, all: readonly ReportLine[]): number => {
  let dominant = 0;
  for (const unit of ['cpus', 'gpus', 'mem'] as const) {
    const sum = all.reduce((before, other) => before + placed(other, unit), 0n);
    if (sum > 0n) dominant = Math.max(dominant, Number((placed(line, unit) * 1_000_000n) / sum) / 1e6);
  }
  return dominant;
};

/** The fields of a report's line, in their order; their names are the columns of CSV, JSON and Parquet. */
export type LineFields = Record<string, string>;

const timeFields = ({ amounts, carried }: ReportLine, unit: Unit): LineFields => {
  const fields: LineFields = {};
  for (const split of SHOWN)
    fields[`${unit}_${split}_s`] = secondsOf(amounts[amountIndex(split, unit)]!, unit);
  fields[`${unit}_carried_s`] = secondsOf(carried[amountIndex('unknown', unit)]!, unit);
  fields[`${unit}_unsure_s`] = secondsOf(amounts[amountIndex('unsure', unit)]!, unit);
  return fields;
};

const shareFields = ({ share }: ReportLine): LineFields => {
  const part = (sum: bigint): string =>
    share === null || share.waited === 0n ? '' : (Number(sum / share.waited) / 1e6).toFixed(6);
  return {
    waited_s: share === null ? '0.000' : decimal(share.waited, 3),
    entitled: share === null ? '' : part(share.entitled),
    had: share === null ? '' : part(share.had),
    ...Object.fromEntries(
      SHORTFALL_REASONS.map((why, i) => [`owed_${why}`, share === null ? '' : part(share.owed[i]!)]),
    ),
  };
};

/** One line as flat fields: exact decimal text for amounts. */
export const fieldsOf = (line: ReportLine, all: readonly ReportLine[]): LineFields => {
  const fields: LineFields = { name: line.name };
  for (const unit of ['tasks', 'cpus', 'gpus', 'mem'] as const)
    Object.assign(fields, { [`${unit}_s`]: secondsOf(placed(line, unit), unit) }, timeFields(line, unit));
  // Millionths of a price unit an hour, times microseconds: cut to millionths of a price unit.
  const money = decimal((line.amounts[COST_INDEX]! + line.carried[COST_INDEX]!) / 3_600_000_000n, 6);
  return { ...fields, dominant_share: dominantShare(line, all).toFixed(6), money, ...shareFields(line) };
};
