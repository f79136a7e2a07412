/** Recomputes the sums of the accounts from what they are made of. */
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
import { decimal, stretches } from './report.js';

type Gap = Accounts['gaps'][number];

/** What a recomputation found. */
export interface Verification {
  /** What does not agree; empty: all does. */
  readonly wrong: readonly string[];
  /** What is known to be missing, and its bounds. */
  readonly notes: readonly string[];
}

const time = (at: number): string => (at === 0 ? 'the beginning' : isoTime(at));

const cpuSeconds = (rows: AmountsByGroup): string => {
  const all = totalAmounts(rows);
  let sum = 0n;
  for (const split of USAGE_CATEGORIES) if (split !== 'unsure') sum += all[amountIndex(split, 'cpus')]!;
  return decimal(sum, 9);
};

/** Pages that are missing between others, or before the current period. */
const missingPages = ({ pages, accounts }: AccountsView): string[] => {
  const periods = [...pages, ...accounts.pending, { from: accounts.closed, to: accounts.closed }];
  return periods.flatMap(({ from }, i) => {
    const before = periods[i - 1];
    return before === undefined || before.to === from
      ? []
      : [`no page from ${time(before.to)} to ${time(from)}`];
  });
};

/** Amounts below 0, and amounts without any time of tasks. */
const impossibleAmounts = (rows: AmountsByGroup): string[] => {
  const wrong: string[] = [];
  for (const [key, amounts] of rows)
    for (const split of USAGE_CATEGORIES)
      for (const unit of UNITS) {
        const amount = amounts[amountIndex(split, unit)]!;
        if (amount < 0n || (amount > 0n && amounts[amountIndex(split, 'tasks')] === 0n))
          wrong.push(`${key}: ${split} ${unit} is ${amount}`);
      }
  return wrong;
};

const gapNote = ({ from, to, why, room, open, seqs }: Gap): string => {
  const lengthS = (to - from) / 1e6;
  const most = room?.map((thousandths) => ((thousandths / 1000) * lengthS).toFixed(3));
  const bound =
    most === undefined
      ? 'its bound is not known yet'
      : `the sums may be off by at most ${most[0]} CPU, ${most[1]} GPU and ${most[2]} GB seconds`;
  return `gap (${why}) from ${time(from)} to ${open ? 'now' : time(to)}, records ${seqs[0]} to ${seqs[1]}: ${bound}`;
};

/** Recomputes all sums of a view. */
export const verifyAccounts = (view: AccountsView): Verification => {
  const { accounts, undated, open, ageless } = view;
  const wrong: string[] = [];
  if (undated.size > 0)
    wrong.push(
      `pages lack what the sums have: ${cpuSeconds(undated)} CPU seconds of ${undated.size} groups have no date`,
    );
  wrong.push(...missingPages(view), ...impossibleAmounts(accounts.rows));
  // Every stretch's booked and carried together are all that is booked and all that stands open.
  const all = stretches(view).flatMap(({ booked, carried }) => [booked, carried]);
  const rest = subtractRows(joinRows(accounts.rows, open), joinRows(undated, ...all));
  if (rest.size > 0) wrong.push(`stretches lack ${cpuSeconds(rest)} CPU seconds`);
  const notes = accounts.gaps.map(gapNote);
  const unsure = totalAmounts(accounts.rows);
  if (unsure[amountIndex('unsure', 'tasks')]! > 0n)
    notes.push(
      `placements of unknown age ended: at most ${decimal(unsure[amountIndex('unsure', 'cpus')]!, 9)} CPU seconds beside the sums`,
    );
  if (ageless > 0) notes.push(`${ageless} tasks are placed of which nobody knows since when`);
  return { wrong, notes };
};
