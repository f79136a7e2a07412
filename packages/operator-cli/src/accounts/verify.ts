/** Recomputes the sums of the accounts from what they are made of. */
import { joinRows, subtractRows, total } from '@lilacvalve/controller/accounts/fold';
import { indexOf, type Rows, SPLITS, UNITS } from '@lilacvalve/controller/accounts/model';
import type { Read } from './read.js';
import { decimal, stretches } from './report.js';

export interface Verified {
  /** What does not agree; empty: all does. */
  readonly wrong: readonly string[];
  /** What is known to be missing, and its bounds. */
  readonly notes: readonly string[];
}

const time = (at: number): string => (at === 0 ? 'the beginning' : new Date(at / 1000).toISOString());
const cpuSeconds = (rows: Rows): string => {
  const all = total(rows);
  let n = 0n;
  for (const s of SPLITS) if (s !== 'unsure') n += all[indexOf(s, 'cpus')]!;
  return decimal(n, 9);
};

export const verify = (r: Read): Verified => {
  const wrong: string[] = [];
  const notes: string[] = [];
  const { accounts } = r;
  if (r.undated.size > 0)
    wrong.push(
      `pages lack what the sums have: ${cpuSeconds(r.undated)} CPU seconds of ${r.undated.size} groups have no date`,
    );
  const periods = [...r.pages, ...accounts.pending];
  periods.forEach((p, i) => {
    const before = periods[i - 1];
    if (before !== undefined && before.to !== p.from)
      wrong.push(`no page from ${time(before.to)} to ${time(p.from)}`);
  });
  const last = periods[periods.length - 1];
  if (last !== undefined && last.to !== accounts.closed)
    wrong.push(`no page from ${time(last.to)} to ${time(accounts.closed)}`);
  for (const [key, a] of accounts.rows) {
    for (const s of SPLITS)
      for (const u of UNITS) {
        const n = a[indexOf(s, u)]!;
        if (n < 0n || (n > 0n && a[indexOf(s, 'tasks')] === 0n)) wrong.push(`${key}: ${s} ${u} is ${n}`);
      }
  }
  // Every stretch's booked and carried together are all that is booked and all that stands open.
  const all = stretches(r).flatMap((s) => [s.booked, s.carried]);
  const rest = subtractRows(joinRows(accounts.rows, r.open), joinRows(r.undated, ...all));
  if (rest.size > 0) wrong.push(`stretches lack ${cpuSeconds(rest)} CPU seconds`);
  for (const g of accounts.gaps) {
    const s = (g.to - g.from) / 1e6;
    const most = g.room?.map((x) => ((x / 1000) * s).toFixed(3));
    notes.push(
      `gap (${g.why}) from ${time(g.from)} to ${g.open ? 'now' : time(g.to)}, records ${g.seqs[0]} to ${g.seqs[1]}: ` +
        (most === undefined
          ? 'its bound is not known yet'
          : `the sums may be off by at most ${most[0]} CPU, ${most[1]} GPU and ${most[2]} GB seconds`),
    );
  }
  const unsure = total(accounts.rows);
  if (unsure[indexOf('unsure', 'tasks')]! > 0n)
    notes.push(
      `placements of unknown age ended: at most ${decimal(unsure[indexOf('unsure', 'cpus')]!, 9)} CPU seconds beside the sums`,
    );
  if (r.ageless > 0) notes.push(`${r.ageless} tasks are placed of which nobody knows since when`);
  return { wrong, notes };
};
