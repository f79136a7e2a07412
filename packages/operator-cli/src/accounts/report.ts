/**
 * Computes reports from the accounts, without side effects. Amounts are integers until they are printed, so the sum of all
 * lines is exactly the placed usage.
 */
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

/** Groupings of a report: what each line stands for. */
export const GROUPINGS = ['team', 'desk', 'class', 'kind', 'day'] as const;
/** One of `GROUPINGS`. */
export type Grouping = (typeof GROUPINGS)[number];

/** A time interval for which the open placements are known at its start and at its end. */
export interface Interval {
  readonly from: number;
  readonly to: number;
  readonly booked: AmountsByGroup;
  /** Open usage at the end minus open usage at the start. Added to `booked`, this is the usage within the interval. */
  readonly carried: AmountsByGroup;
  readonly shares: readonly Shares[];
}

const NO_AMOUNTS: AmountsByGroup = new Map();

/** A period of the accounts. `open` null: the open placements at its end are unknown. */
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

/** Divides the accounts into intervals. The last interval ends with the last log entry. */
export const intervalsOf = (view: AccountsView): Interval[] => {
  const out: Interval[] = [];
  let openBefore: AmountsByGroup = NO_AMOUNTS;
  let periods: Period[] = [];
  for (const period of periodsOf(view)) {
    periods.push(period);
    if (period.open === null) continue;
    out.push({
      from: periods[0]!.from,
      to: period.to,
      booked: joinRows(NO_AMOUNTS, ...periods.map(({ booked }) => booked)),
      carried: subtractRows(period.open, openBefore),
      shares: periods.map(({ shares }) => shares),
    });
    openBefore = period.open;
    periods = [];
  }
  return out;
};

/** A line of a report: the usage and shares of one team, desk, class, machine type or day. */
export interface ReportLine {
  readonly name: string;
  readonly amounts: Amounts;
  /** Open usage at the end of the report minus open usage at its start. */
  readonly carried: Amounts;
  readonly share: ShareSum | null;
}
/** A report: lines ordered by name, and its period in microseconds (0 if it contains no interval). */
export interface Report {
  readonly from: number;
  readonly to: number;
  readonly lines: readonly ReportLine[];
}

/** The UTC day of an interval that ends at `to`; an interval that ends at midnight belongs to the day before. */
const dayOf = (to: number): string => new Date((to - 1) / 1000).toISOString().slice(0, 10);

type Sums = { -readonly [Key in keyof Omit<ReportLine, 'name'>]: ReportLine[Key] };

/** Sums the intervals that end after `from` and not after `to`, by `grouping`. */
export const reportOf = (
  view: AccountsView,
  grouping: Grouping,
  from: number,
  to: number,
  deskOf: DeskOf,
): Report => {
  const chosen = intervalsOf(view).filter((interval) => interval.to > from && interval.to <= to);
  const lines = new Map<string, Sums>();
  const sumsOf = (name: string): Sums => {
    let sums = lines.get(name);
    if (sums === undefined)
      lines.set(name, (sums = { amounts: ZERO_AMOUNTS, carried: ZERO_AMOUNTS, share: null }));
    return sums;
  };
  for (const interval of chosen) {
    const nameOf = (team: string, jobClass: string, kind: string): string =>
      ({ team, desk: deskOf(team, jobClass), class: jobClass, kind, day: dayOf(interval.to) })[grouping];
    for (const [key, amounts] of interval.booked) {
      const sums = sumsOf(nameOf(...groupOf(key)));
      sums.amounts = addAmounts(sums.amounts, amounts);
    }
    for (const [key, amounts] of interval.carried) {
      const sums = sumsOf(nameOf(...groupOf(key)));
      sums.carried = addAmounts(sums.carried, amounts);
    }
    // Shares are recorded by team and class, without a machine type.
    if (grouping === 'kind') continue;
    for (const [key, share] of interval.shares.flatMap((shares) => [...shares])) {
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

/** Returns the placed usage of a unit: the sum of all categories, except the uncertain bound, and of the carried usage. */
export const placed = ({ amounts, carried }: ReportLine, unit: Unit): bigint => {
  let sum = 0n;
  for (const category of USAGE_CATEGORIES)
    if (category !== 'unsure')
      sum += amounts[amountIndex(category, unit)]! + carried[amountIndex(category, unit)]!;
  return sum;
};

/** Formats `amount` / 10^`digits` as exact decimal text. */
export const decimal = (amount: bigint, digits: number): string => {
  const sign = amount < 0n ? '-' : '';
  const text = (amount < 0n ? -amount : amount).toString().padStart(digits + 1, '0');
  return `${sign}${text.slice(0, -digits)}.${text.slice(-digits)}`;
};

/**
 * Formats an amount as exact seconds of a whole unit. Amounts of tasks are microseconds; amounts of other units are
 * microseconds times thousandths of the unit.
 */
const secondsOf = (amount: bigint, unit: Unit): string => decimal(amount, unit === 'tasks' ? 6 : 9);

const REPORTED_CATEGORIES: readonly UsageCategory[] = [
  'useful',
  'repeated',
  'gathering',
  'fetching',
  'lent',
  'unknown',
];

/** Returns the dominant share of a line: its largest fraction of the total of all lines, over CPU, GPU and memory. */
const dominantShare = (line: ReportLine, all: readonly ReportLine[]): number => {
  let dominant = 0;
  for (const unit of ['cpus', 'gpus', 'mem'] as const) {
    const sum = all.reduce((total, other) => total + placed(other, unit), 0n);
    if (sum > 0n) dominant = Math.max(dominant, Number((placed(line, unit) * 1_000_000n) / sum) / 1e6);
  }
  return dominant;
};

/** The fields of a line, in output order. Their names are the columns or fields of CSV, JSON and Parquet output. */
export type LineFields = Record<string, string>;

const timeFields = ({ amounts, carried }: ReportLine, unit: Unit): LineFields => {
  const fields: LineFields = {};
  for (const category of REPORTED_CATEGORIES)
    fields[`${unit}_${category}_s`] = secondsOf(amounts[amountIndex(category, unit)]!, unit);
  fields[`${unit}_carried_s`] = secondsOf(carried[amountIndex('unknown', unit)]!, unit);
  fields[`${unit}_unsure_s`] = secondsOf(amounts[amountIndex('unsure', unit)]!, unit);
  return fields;
};

const shareFields = ({ share }: ReportLine): LineFields => {
  const averageFraction = (sum: bigint): string =>
    share === null || share.waited === 0n ? '' : (Number(sum / share.waited) / 1e6).toFixed(6);
  return {
    waited_s: share === null ? '0.000' : decimal(share.waited, 3),
    entitled: share === null ? '' : averageFraction(share.entitled),
    had: share === null ? '' : averageFraction(share.had),
    ...Object.fromEntries(
      SHORTFALL_REASONS.map((reason, i) => [
        `owed_${reason}`,
        share === null ? '' : averageFraction(share.owed[i]!),
      ]),
    ),
  };
};

/** Returns the fields of a line. Amounts are exact decimal text. */
export const fieldsOf = (line: ReportLine, all: readonly ReportLine[]): LineFields => {
  const fields: LineFields = { name: line.name };
  for (const unit of ['tasks', 'cpus', 'gpus', 'mem'] as const)
    Object.assign(fields, { [`${unit}_s`]: secondsOf(placed(line, unit), unit) }, timeFields(line, unit));
  // Costs are millionths of a price unit per hour, times microseconds: truncated to millionths of a price unit.
  const money = decimal((line.amounts[COST_INDEX]! + line.carried[COST_INDEX]!) / 3_600_000_000n, 6);
  return { ...fields, dominant_share: dominantShare(line, all).toFixed(6), money, ...shareFields(line) };
};
