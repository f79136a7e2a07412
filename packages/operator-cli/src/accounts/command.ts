/** The commands `accounts report` and `accounts verify`: options and output formats. */
import { writeFileSync } from 'node:fs';
import { type Command, Option } from 'commander';
import { stringify } from 'csv-stringify/sync';
import { Effect, Either } from 'effect';
import { parquetWriteBuffer } from 'hyparquet-writer';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import { timeFlag } from '../input.js';
import { type CommandFailure, EXIT, InvalidInput, type Io, type StateOptions, stateOptions } from '../io.js';
import { isoTime, type OutputFormat, outputOption, table } from '../output.js';
import { type DeskOf, DESK_PER_CLASS, readDesks } from './desks.js';
import { type AccountsView, readSnapshot, readStore } from './read.js';
import {
  fieldsOf,
  type Grouping,
  GROUPINGS,
  type LineFields,
  placed,
  type Report,
  reportOf,
} from './report.js';
import { verifyAccounts } from './verify.js';

type CommandEffect = Effect.Effect<void, StateFailure | CommandFailure>;

interface SourceOptions extends StateOptions {
  readonly snapshot?: string;
}
interface ReportOptions extends SourceOptions {
  readonly by: Grouping;
  readonly from?: string;
  readonly to?: string;
  readonly desks?: string;
  readonly output: 'table' | 'json' | 'csv' | 'parquet';
  readonly file?: string;
}
interface VerifyOptions extends SourceOptions {
  readonly output: OutputFormat;
}

const readView = (
  io: Io,
  options: SourceOptions,
): Effect.Effect<AccountsView, StateFailure | InvalidInput> =>
  options.snapshot === undefined
    ? Effect.flatMap(io.open(options), ({ store }) => readStore(store))
    : readSnapshot(options.snapshot);

const allFields = ({ lines: all }: Report): LineFields[] => all.map((line) => fieldsOf(line, all));

/** Rounds decimal text to one digit. */
const rounded = (text: string): number => Math.round(Number(text) * 10) / 10;

const TIME_COLUMNS = ['cpus_s', 'cpus_useful_s', 'cpus_repeated_s', 'cpus_gathering_s', 'cpus_fetching_s', 'cpus_lent_s', 'cpus_unknown_s', 'cpus_carried_s', 'gpus_s', 'mem_s']; // prettier-ignore

/** Formats a report as the lines of a table, with rounded amounts. The other output formats have more digits. */
export const tableLines = (report: Report): string[] =>
  table(
    ['name', 'cpu s', 'useful', 'repeated', 'gang', 'fetching', 'lent', 'unknown', 'carried', 'gpu s', 'GB s', 'share', 'money', 'waited s', 'entitled', 'had'], // prettier-ignore
    allFields(report).map((fields) => [
      fields.name!,
      ...TIME_COLUMNS.map((column) => rounded(fields[column]!)),
      Number(Number(fields.dominant_share).toFixed(3)),
      Number(fields.money),
      Math.round(Number(fields.waited_s)),
      fields.entitled === '' ? null : Number(fields.entitled),
      fields.had === '' ? null : Number(fields.had),
    ]),
  );

/** Formats a report as CSV with a heading line and exact amounts. */
export const csv = (report: Report): string => stringify(allFields(report), { header: true });

/** Encodes a report as Parquet. Amounts are doubles and may be rounded; CSV and JSON output are exact. */
export const parquet = (report: Report): Buffer => {
  const rows = allFields(report);
  const columns = Object.keys(rows[0] ?? { name: '' });
  return Buffer.from(
    parquetWriteBuffer({
      columnData: columns.map((name) =>
        name === 'name'
          ? { name, data: rows.map((row) => row.name!), type: 'STRING' as const, nullable: false }
          : {
              name,
              data: rows.map((row) => (row[name] === '' ? null : Number(row[name]))),
              type: 'DOUBLE' as const,
              nullable: true,
            },
      ),
    }),
  );
};

const json = (report: Report, { accounts }: AccountsView): string =>
  JSON.stringify({
    from: isoTime(report.from),
    to: isoTime(report.to),
    lines: allFields(report),
    gaps: accounts.gaps,
  });

const formatReport = (
  output: ReportOptions['output'],
  report: Report,
  view: AccountsView,
): string | Buffer => {
  switch (output) {
    case 'parquet':
      return parquet(report);
    case 'csv':
      return csv(report);
    case 'json':
      return json(report, view);
    case 'table':
      return tableLines(report).join('\n');
  }
};

const readDeskOption = (io: Io, file: string | undefined): Effect.Effect<DeskOf, InvalidInput> =>
  file === undefined
    ? Effect.succeed(DESK_PER_CLASS)
    : Effect.flatMap(io.read(file), (text) =>
        Either.mapLeft(readDesks(text), (reason) => new InvalidInput({ message: `--desks: ${reason}` })),
      );

/** A CPU second in the unit of amounts: microseconds times thousandths of a CPU. */
const AMOUNT_PER_CPU_SECOND = 1_000_000_000n;

const printReport = (io: Io, options: ReportOptions): CommandEffect =>
  Effect.gen(function* () {
    const from = yield* timeFlag('--from', options.from, Number.NEGATIVE_INFINITY);
    const to = yield* timeFlag('--to', options.to, Number.POSITIVE_INFINITY);
    if (options.output === 'parquet' && options.file === undefined)
      return yield* new InvalidInput({ message: '--file PATH is required for --output parquet' });
    const desks = yield* readDeskOption(io, options.desks);
    const view = yield* readView(io, options);
    const report = reportOf(view, options.by, from, to, desks);
    const data = formatReport(options.output, report, view);
    if (options.file !== undefined) writeFileSync(options.file, data);
    else io.print(data.toString().trimEnd());
    const cpuSeconds =
      report.lines.reduce((sum, line) => sum + placed(line, 'cpus'), 0n) / AMOUNT_PER_CPU_SECOND;
    io.printDiagnostic(
      `from ${report.from === 0 ? 'the beginning' : isoTime(report.from)} to ${isoTime(report.to)}; ` +
        `${cpuSeconds} CPU seconds placed`,
    );
    for (const note of verifyAccounts(view).notes) io.printDiagnostic(note);
  });

const printVerification = (io: Io, options: VerifyOptions): CommandEffect =>
  Effect.gen(function* () {
    const view = yield* readView(io, options);
    const verification = verifyAccounts(view);
    const { wrong, notes } = verification;
    const { upTo, at, life, rows } = view.accounts;
    if (options.output === 'json')
      io.print(JSON.stringify({ ...verification, record: upTo, at, life, groups: rows.size }));
    else {
      for (const discrepancy of wrong) io.print(`wrong: ${discrepancy}`);
      for (const note of notes) io.print(note);
      io.print(
        `${wrong.length === 0 ? 'sums agree' : 'sums do not agree'}: record ${upTo} of ${at === 0 ? '-' : isoTime(at)}, ` +
          `${rows.size} groups, ${view.pages.length} pages`,
      );
    }
    if (wrong.length > 0) process.exitCode = EXIT.refused;
  });

const sourceOptions = (command: Command): Command =>
  stateOptions(command).option('--snapshot <dir>', 'read a snapshot instead of the state service');

/** Registers the command `accounts` and its subcommands. */
export const registerAccounts = (cli: Command, io: Io): void => {
  const accounts = cli.command('accounts').description('accounts of the machine time that jobs used');

  sourceOptions(accounts.command('report'))
    .description('reports the machine time used and the time waited, by team or another grouping')
    .addOption(
      new Option('--by <what>', 'what a line of the report stands for')
        .choices([...GROUPINGS])
        .default('team'),
    )
    .option(
      '--from <time>',
      'include periods that end after this time (ISO 8601); default: from the first period',
    )
    .option('--to <time>', 'include periods that end by this time; default: until the last log entry')
    .option('--desks <file>', 'desks (TOML) for --by desk; default: one desk for each class of each team')
    .addOption(
      new Option('--output <form>', 'output format')
        .choices(['table', 'json', 'csv', 'parquet'])
        .default('table'),
    )
    .option('--file <path>', 'write to this file instead of standard output; required for parquet')
    .action((options: ReportOptions) => io.run(printReport(io, options)));

  outputOption(sourceOptions(accounts.command('verify')))
    .description('recomputes the sums of the accounts; exit status 1 if they do not agree')
    .action((options: VerifyOptions) => io.run(printVerification(io, options)));
};
