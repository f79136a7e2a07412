/** How commands print: a table for people, JSON for programs. */
import { type Command, Option } from 'commander';
import type { Io } from './io.js';

/** The choices of `--output`. */
export type OutputForm = 'table' | 'json';

/** `--output` of a command. */
export const outputOption = (command: Command): Command =>
  command.addOption(
    new Option('--output <form>', 'how to print').choices(['table', 'json']).default('table'),
  );

/** null: nothing is there; printed as `-`. */
export type Cell = string | number | null;

/** Lines with columns as wide as their widest cell; numbers stand to the right. */
export const table = (head: readonly string[], rows: readonly (readonly Cell[])[]): string[] => {
  const text = (cell: Cell | undefined): string => (cell === null || cell === undefined ? '-' : String(cell));
  const widths = head.map((name, i) => Math.max(name.length, ...rows.map((row) => text(row[i]).length)));
  const lineOf = (cells: readonly (Cell | undefined)[]): string =>
    cells
      .map((cell, i) => {
        const width = widths[i] ?? 0;
        return typeof cell === 'number' ? text(cell).padStart(width) : text(cell).padEnd(width);
      })
      .join('  ')
      .trimEnd();
  return [lineOf(head), ...rows.map(lineOf)];
};

/** Prints a table. */
export const printTable = (io: Io, head: readonly string[], rows: readonly (readonly Cell[])[]): void => {
  for (const line of table(head, rows)) io.print(line);
};

/** An instant in microseconds as ISO 8601 in UTC, with milliseconds. */
export const isoTime = (at: number): string => new Date(at / 1000).toISOString();
