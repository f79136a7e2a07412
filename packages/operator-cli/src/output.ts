/** Output of commands: tables for people, JSON for programs. */
import { type Command, Option } from 'commander';
import type { Io } from './io.js';

/** Values of `--output`. */
export type OutputFormat = 'table' | 'json';

/** Adds the option `--output` to a command. */
export const outputOption = (command: Command): Command =>
  command.addOption(
    new Option('--output <form>', 'output format').choices(['table', 'json']).default('table'),
  );

/** Value of a table cell; null (no value) is printed as `-`. */
export type Cell = string | number | null;

/** Returns the lines of a table. Each column is as wide as its widest cell; numbers are right-aligned. */
export const table = (headings: readonly string[], rows: readonly (readonly Cell[])[]): string[] => {
  const text = (cell: Cell | undefined): string => (cell === null || cell === undefined ? '-' : String(cell));
  const widths = headings.map((name, i) => Math.max(name.length, ...rows.map((row) => text(row[i]).length)));
  const formatLine = (cells: readonly (Cell | undefined)[]): string =>
    cells
      .map((cell, i) => {
        const width = widths[i] ?? 0;
        return typeof cell === 'number' ? text(cell).padStart(width) : text(cell).padEnd(width);
      })
      .join('  ')
      .trimEnd();
  return [formatLine(headings), ...rows.map(formatLine)];
};

/** Prints a table line by line. */
export const printTable = (io: Io, headings: readonly string[], rows: readonly (readonly Cell[])[]): void => {
  for (const line of table(headings, rows)) io.print(line);
};

/** Formats a time of day (microseconds) as ISO 8601 in UTC, with milliseconds. */
export const isoTime = (time: number): string => new Date(time / 1000).toISOString();
