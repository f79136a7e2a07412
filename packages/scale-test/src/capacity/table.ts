/** Formats the capacity table as Markdown and inserts it into a page. */
import { Data } from 'effect';
import type { CapacityInput } from './model.js';
import { type CapacityRow, capacityRows, limitRatio } from './rows.js';

const BEGIN_MARKER = '<!-- npm run capacity: begin -->';
const END_MARKER = '<!-- npm run capacity: end -->';

const formatFigure = (value: number): string => {
  if (value >= 100) return Math.round(value).toLocaleString('en-US');
  return value >= 10 ? value.toFixed(1) : value.toFixed(2);
};

const formatCells = (row: CapacityRow): string[] => {
  const ratio = limitRatio(row);
  return [
    row.role,
    row.quantity,
    row.formula,
    row.value === null ? 'not measured' : `${formatFigure(row.value)} ${row.unit}`,
    row.limit === null ? '' : formatFigure(row.limit),
    ratio === null ? '' : formatFigure(ratio),
    row.mechanism,
    row.state,
  ];
};

const HEADINGS = ['role', 'what', 'formula', 'at the size', 'limit', 'times', 'carried by', ''];

const formatTable = (rows: readonly (readonly string[])[]): string => {
  const widths = rows[0]!.map((_, column) => Math.max(3, ...rows.map((row) => row[column]!.length)));
  const formatLine = (line: readonly string[]): string =>
    `| ${line.map((cell, column) => cell.padEnd(widths[column]!)).join(' | ')} |\n`;
  const separator = `| ${widths.map((width) => '-'.repeat(width)).join(' | ')} |\n`;
  return formatLine(rows[0]!) + separator + rows.slice(1).map(formatLine).join('');
};

/** Returns the capacity table, followed by the table of the slopes that it was computed from. */
export const capacityTables = (input: CapacityInput): string => {
  const slopes = input.slopes.map((slope) => [
    slope.name,
    `${slope.value} ${slope.unit}`,
    `\`${slope.command}\``,
    slope.points,
  ]);
  return (
    `${formatTable([HEADINGS, ...capacityRows(input).map(formatCells)])}\nSlopes:\n\n` +
    formatTable([['slope', 'value', 'measured by', 'from'], ...slopes])
  );
};

/** Thrown when a page lacks the markers between which the tables are inserted. */
export class MissingTableMarkers extends Data.TaggedError('MissingTableMarkers')<{
  readonly begin: string;
  readonly end: string;
}> {
  override get message(): string {
    return `the page lacks the markers "${this.begin}" and "${this.end}" in this order`;
  }
}

/** Returns the page with the tables between the markers. Throws `MissingTableMarkers`. */
export const withTables = (page: string, tables: string): string => {
  const beginIndex = page.indexOf(BEGIN_MARKER);
  const endIndex = page.indexOf(END_MARKER);
  if (beginIndex < 0 || endIndex < beginIndex)
    throw new MissingTableMarkers({ begin: BEGIN_MARKER, end: END_MARKER });
  return `${page.slice(0, beginIndex + BEGIN_MARKER.length)}\n\n${tables}\n${page.slice(endIndex)}`;
};
