/** The capacity table as Markdown, and its place in a page. */
import { Data } from 'effect';
import type { CapacityInput } from './model.js';
import { type CapacityRow, capacityRows, timesOver } from './rows.js';

const BEGIN = '<!-- npm run capacity: begin -->';
const END = '<!-- npm run capacity: end -->';

const figure = (value: number): string => {
  if (value >= 100) return Math.round(value).toLocaleString('en-US');
  return value >= 10 ? value.toFixed(1) : value.toFixed(2);
};

const cells = (row: CapacityRow): string[] => {
  const times = timesOver(row);
  return [
    row.role,
    row.what,
    row.formula,
    row.value === null ? 'not measured' : `${figure(row.value)} ${row.unit}`,
    row.limit === null ? '' : figure(row.limit),
    times === null ? '' : figure(times),
    row.mechanism,
    row.state,
  ];
};

const HEAD = ['role', 'what', 'formula', 'at the size', 'limit', 'times', 'carried by', ''];

const markdown = (rows: readonly (readonly string[])[]): string => {
  const widths = rows[0]!.map((_, i) => Math.max(3, ...rows.map((r) => r[i]!.length)));
  const line = (r: readonly string[]): string => `| ${r.map((c, i) => c.padEnd(widths[i]!)).join(' | ')} |\n`;
  const rule = `| ${widths.map((w) => '-'.repeat(w)).join(' | ')} |\n`;
  return line(rows[0]!) + rule + rows.slice(1).map(line).join('');
};

/** The rows, then the slopes that they were worked out from. */
export const capacityTables = (input: CapacityInput): string => {
  const slopes = input.slopes.map((s) => [s.name, `${s.value} ${s.unit}`, `\`${s.command}\``, s.points]);
  return (
    `${markdown([HEAD, ...capacityRows(input).map(cells)])}\nSlopes:\n\n` +
    markdown([['slope', 'value', 'measured by', 'from'], ...slopes])
  );
};

/** A page has no place for the tables. */
export class MissingTablePlace extends Data.TaggedError('MissingTablePlace')<{
  readonly begin: string;
  readonly end: string;
}> {
  override get message(): string {
    return `the page lacks "${this.begin}" and "${this.end}"`;
  }
}

/** The page with the tables in their place. Throws `MissingTablePlace`. */
export const withTables = (page: string, tables: string): string => {
  const from = page.indexOf(BEGIN);
  const to = page.indexOf(END);
  if (from < 0 || to < from) throw new MissingTablePlace({ begin: BEGIN, end: END });
  return `${page.slice(0, from + BEGIN.length)}\n\n${tables}\n${page.slice(to)}`;
};
