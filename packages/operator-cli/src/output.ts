/** How commands print: a table for people, JSON for programs. */
import { type Command, Option } from 'commander';

export type Form = 'table' | 'json';
export const outputOption = (c: Command): Command =>
  c.addOption(new Option('--output <form>', 'how to print').choices(['table', 'json']).default('table'));

export type Cell = string | number | null;

/** Columns as wide as their widest cell; numbers stand to the right. */
export const table = (head: readonly string[], rows: readonly (readonly Cell[])[]): string[] => {
  const text = (c: Cell | undefined): string => (c === null || c === undefined ? '-' : String(c));
  const widths = head.map((h, i) => Math.max(h.length, ...rows.map((r) => text(r[i]).length)));
  const put = (cells: readonly (Cell | undefined)[]): string =>
    cells
      .map((c, i) => (typeof c === 'number' ? text(c).padStart(widths[i]!) : text(c).padEnd(widths[i]!)))
      .join('  ')
      .trimEnd();
  return [put(head), ...rows.map(put)];
};
