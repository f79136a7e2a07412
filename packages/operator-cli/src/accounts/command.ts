/** `accounts report | verify`. */
import { writeFileSync } from 'node:fs';
import { type Command, Option } from 'commander';
import { stringify } from 'csv-stringify/sync';
import { Effect, Either } from 'effect';
import { parquetWriteBuffer } from 'hyparquet-writer';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import { timeFlag } from '../input.js';
import { type CommandFailure, EXIT, InvalidInput, type Io, type StateOptions, stateOptions } from '../io.js';
import { isoTime, type OutputForm, outputOption, table } from '../output.js';
import { type DeskOf, EACH_CLASS, readDesks } from './desks.js';
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

type Work = Effect.Effect<void, StateFailure | CommandFailure>;

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
  readonly output: OutputForm;
}

const readView = (
  io: Io,
  options: SourceOptions,
): Effect.Effect<AccountsView, StateFailure | InvalidInput> =>
  options.snapshot === undefined
    ? Effect.flatMap(io.open(options), ({ store }) => readStore(store))
    : readSnapshot(options.snapshot);

const allFields = ({ lines: all }: Report): LineFields[] => all.map((line) => fieldsOf(line, all));

const rounded = (text: string): number => Math.round(Number(text) * 10) / 10;

const TIME_COLUMNS = ['cpus_s', 'cpus_useful_s', 'cpus_repeated_s', 'cpus_gathering_s', 'cpus_fetching_s', 'cpus_lent_s', 'cpus_unknown_s', 'cpus_carried_s', 'gpus_s', 'mem_s']; // prettier-ignore

/** Lines for people: whole figures are in the other forms. */
export const lines = (report: Report): string[] =>
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

/** Exact figures with a line of names. */
export const csv = (report: Report): string => stringify(allFields(report), { header: true });

/** Names as text, the rest as doubles: exact figures are in CSV and JSON. */
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

const rendered = (output: ReportOptions['output'], report: Report, view: AccountsView): string | Buffer => {
  switch (output) {
    case 'parquet':
      return parquet(report);
    case 'csv':
      return csv(report);
    case 'json':
      return json(report, view);
    case 'table':
      return lines(report).join('\n');
  }
};

const desksOf = (io: Io, file: string | undefined): Effect.Effect<DeskOf, InvalidInput> =>
  file === undefined
    ? Effect.succeed(EACH_CLASS)
    : Effect.flatMap(io.read(file), (text) =>
        Either.mapLeft(readDesks(text), (fault) => new InvalidInput({ message: `--desks: ${fault}` })),
      );

const NANOS = 1_000_000_000n;

const printReport = (io: Io, options: ReportOptions): Work =>
  Effect.gen(function* () {
    const from = yield* timeFlag('--from', options.from, Number.NEGATIVE_INFINITY);
    const to = yield* timeFlag('--to', options.to, Number.POSITIVE_INFINITY);
    if (options.output === 'parquet' && options.file === undefined)
      return yield* new InvalidInput({ message: '--file PATH is needed for parquet' });
    const desks = yield* desksOf(io, options.desks);
    const view = yield* readView(io, options);
    const report = reportOf(view, options.by, from, to, desks);
    const data = rendered(options.output, report, view);
    if (options.file !== undefined) writeFileSync(options.file, data);
    else io.print(data.toString().trimEnd());
    const cpuSeconds = report.lines.reduce((sum, line) => sum + placed(line, 'cpus'), 0n) / NANOS;
    io.note(
      `from ${report.from === 0 ? 'the beginning' : isoTime(report.from)} to ${isoTime(report.to)}; ` +
        `${cpuSeconds} CPU seconds placed`,
    );
    for (const note of verifyAccounts(view).notes) io.note(note);
  });

const printVerification = (io: Io, options: VerifyOptions): Work =>
  Effect.gen(function* () {
    const view = yield* readView(io, options);
    const verification = verifyAccounts(view);
    const { wrong, notes } = verification;
    const { upTo, at, life, rows } = view.accounts;
    if (options.output === 'json')
      io.print(JSON.stringify({ ...verification, record: upTo, at, life, groups: rows.size }));
    else {
      for (const fault of wrong) io.print(`wrong: ${fault}`);
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

/** Registers `accounts` and its subcommands. */
export const registerAccounts = (cli: Command, io: Io): void => {
  const accounts = cli.command('accounts').description('accounts of machine time');

  sourceOptions(accounts.command('report'))
    .description('who had which machine time, and who waited for it')
    .addOption(new Option('--by <what>', 'a line for each').choices([...GROUPINGS]).default('team'))
    .option('--from <time>', 'periods that end after this time (ISO 8601); without it from the first one on')
    .option('--to <time>', 'periods that end by this time; without it until the last record')
    .option('--desks <file>', 'desks (TOML) for --by desk; without it each class of each team')
    .addOption(
      new Option('--output <form>', 'how to print')
        .choices(['table', 'json', 'csv', 'parquet'])
        .default('table'),
    )
    .option('--file <path>', 'write there instead; needed for parquet')
    .action((options: ReportOptions) => io.run(printReport(io, options)));

  outputOption(sourceOptions(accounts.command('verify')))
    .description('recomputes the sums; status 1 if something does not agree')
    .action((options: VerifyOptions) => io.run(printVerification(io, options)));
};
