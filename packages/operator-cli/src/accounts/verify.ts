/** Verifies the accounts: recomputes their sums from pages, pending periods and open placements. */
import { joinRows, subtractRows, totalAmounts } from '@lilacvalve/controller/accounts/aggregate';
import {
  type Accounts,
  amountIndex,
  type AmountsByGroup,
  USAGE_CATEGORIES,
  UNITS,
} from '@lilacvalve/controller/accounts/model';
import type { AccountsView } from './read.js';
import { isoTime } from '../output.js';
import { decimal, intervalsOf } from './report.js';

type Gap = Accounts['gaps'][number];

/** Result of a verification. */
export interface Verification {
  /** Discrepancies; empty if all sums agree. */
  readonly wrong: readonly string[];
  /** Usage that is known to be missing, with its upper bounds. */
  readonly notes: readonly string[];
}

const formatTime = (time: number): string => (time === 0 ? 'the beginning' : isoTime(time));

const cpuSeconds = (rows: AmountsByGroup): string => {
  const totals = totalAmounts(rows);
  let sum = 0n;
  for (const category of USAGE_CATEGORIES)
    if (category !== 'unsure') sum += totals[amountIndex(category, 'cpus')]!;
  return decimal(sum, 9);
};

/** Reports pages that are missing between two others or before the current period. */
const missingPages = ({ pages, accounts }: AccountsView): string[] => {
  const periods = [...pages, ...accounts.pending, { from: accounts.closed, to: accounts.closed }];
  return periods.flatMap(({ from }, i) => {
    const previous = periods[i - 1];
    return previous === undefined || previous.to === from
      ? []
      : [`no page from ${formatTime(previous.to)} to ${formatTime(from)}`];
  });
};

/** Reports negative amounts, and amounts of a category in which the group has no task time. */
const impossibleAmounts = (rows: AmountsByGroup): string[] => {
  const wrong: string[] = [];
  for (const [key, amounts] of rows)
    for (const category of USAGE_CATEGORIES)
      for (const unit of UNITS) {
        const amount = amounts[amountIndex(category, unit)]!;
        if (amount < 0n || (amount > 0n && amounts[amountIndex(category, 'tasks')] === 0n))
          wrong.push(`${key}: ${category} ${unit} is ${amount}`);
      }
  return wrong;
};

const gapNote = ({ from, to, why, room, open, seqs }: Gap): string => {
  const lengthS = (to - from) / 1e6;
  const bounds = room?.map((thousandths) => ((thousandths / 1000) * lengthS).toFixed(3));
  const bound =
    bounds === undefined
      ? 'the bound of the error is not known yet'
      : `the error of the sums is at most ${bounds[0]} CPU, ${bounds[1]} GPU and ${bounds[2]} GB seconds`;
  return `gap (${why}) from ${formatTime(from)} to ${open ? 'now' : formatTime(to)}, log entries ${seqs[0]} to ${seqs[1]}: ${bound}`;
};

/** Recomputes all sums of a view and compares them. */
export const verifyAccounts = (view: AccountsView): Verification => {
  const { accounts, undated, open, unknownAgeCount } = view;
  const wrong: string[] = [];
  if (undated.size > 0)
    wrong.push(
      `pages lack usage that the sums include: ${cpuSeconds(undated)} CPU seconds of ${undated.size} groups are on no page`,
    );
  wrong.push(...missingPages(view), ...impossibleAmounts(accounts.rows));
  // The booked and carried usage of all intervals must add up to all booked usage and all open usage.
  const parts = intervalsOf(view).flatMap(({ booked, carried }) => [booked, carried]);
  const missing = subtractRows(joinRows(accounts.rows, open), joinRows(undated, ...parts));
  if (missing.size > 0) wrong.push(`the intervals of the reports lack ${cpuSeconds(missing)} CPU seconds`);
  const notes = accounts.gaps.map(gapNote);
  const totals = totalAmounts(accounts.rows);
  if (totals[amountIndex('unsure', 'tasks')]! > 0n)
    notes.push(
      `placements of unknown start time ended: the sums may lack up to ${decimal(totals[amountIndex('unsure', 'cpus')]!, 9)} CPU seconds`,
    );
  if (unknownAgeCount > 0) notes.push(`${unknownAgeCount} placed tasks have an unknown start time`);
  return { wrong, notes };
};
