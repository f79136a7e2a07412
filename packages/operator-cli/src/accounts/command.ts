/** `accounts report | verify`. */
import { writeFileSync } from 'node:fs';
import { type Command, Option } from 'commander';
import { stringify } from 'csv-stringify/sync';
import { Effect, Either } from 'effect';
import { parquetWriteBuffer } from 'hyparquet-writer';
import { EXIT, Fail, type Io, type StateOptions, stateOptions } from '../io.js';
import { type Form, outputOption, table } from '../output.js';
import { EACH, readDesks } from './desks.js';
import { type Read, readSnapshot, readStore } from './read.js';
import { BY, type By, fieldsOf, placed, type Report, reportOf } from './report.js';
import { verify } from './verify.js';

interface Source extends StateOptions {
  readonly snapshot?: string;
}
interface ReportOptions extends Source {
  readonly by: By;
  readonly from?: string;
  readonly to?: string;
  readonly desks?: string;
  readonly output: 'table' | 'json' | 'csv' | 'parquet';
  readonly file?: string;
}

const source = (
  io: Io,
  o: Source,
): Effect.Effect<Read, Fail | import('@lilacvalve/controller/state-store/client').StateFailure> =>
  o.snapshot === undefined ? readStore(io.open(o).store) : readSnapshot(o.snapshot);

const moment = (option: string, text: string | undefined, otherwise: number): number => {
  if (text === undefined) return otherwise;
  const at = Date.parse(text) * 1000;
  if (!Number.isFinite(at)) throw new Fail(`${option}: must be a time like 2027-01-06T10:00:00Z`, EXIT.input);
  return at;
};

const iso = (at: number): string => new Date(at / 1000).toISOString();
const rounded = (text: string): number => Math.round(Number(text) * 10) / 10;

/** Lines for people: whole figures are in the other forms. */
export const lines = (report: Report): string[] => {
  const all = report.lines.map((l) => fieldsOf(l, report.lines));
  return table(
    ['name', 'cpu s', 'useful', 'repeated', 'gang', 'fetching', 'lent', 'unknown', 'carried', 'gpu s', 'GB s', 'share', 'money', 'waited s', 'entitled', 'had'], // prettier-ignore
    all.map((f) => [
      f['name']!,
      ...['cpus_s', 'cpus_useful_s', 'cpus_repeated_s', 'cpus_gathering_s', 'cpus_fetching_s', 'cpus_lent_s', 'cpus_unknown_s', 'cpus_carried_s', 'gpus_s', 'mem_s'].map((k) => rounded(f[k]!)), // prettier-ignore
      Number(Number(f['dominant_share']).toFixed(3)),
      Number(f['money']),
      Math.round(Number(f['waited_s'])),
      f['entitled'] === '' ? null : Number(f['entitled']),
      f['had'] === '' ? null : Number(f['had']),
    ]),
  );
};

export const csv = (report: Report): string =>
  stringify(
    report.lines.map((l) => fieldsOf(l, report.lines)),
    { header: true },
  );

/** Names as text, the rest as doubles: exact figures are in CSV and JSON. */
export const parquet = (report: Report): Buffer => {
  const rows = report.lines.map((l) => fieldsOf(l, report.lines));
  const names = Object.keys(rows[0] ?? { name: '' });
  return Buffer.from(
    parquetWriteBuffer({
      columnData: names.map((name) =>
        name === 'name'
          ? { name, data: rows.map((r) => r[name]!), type: 'STRING' as const, nullable: false }
          : {
              name,
              data: rows.map((r) => (r[name] === '' ? null : Number(r[name]))),
              type: 'DOUBLE' as const,
              nullable: true,
            },
      ),
    }),
  );
};

export const registerAccounts = (cli: Command, io: Io): void => {
  const accounts = cli.command('accounts').description('accounts of machine time');
  const sourced = (c: Command): Command =>
    stateOptions(c).option('--snapshot <dir>', 'read a snapshot instead of the state service');

  sourced(accounts.command('report'))
    .description('who had which machine time, and who waited for it')
    .addOption(new Option('--by <what>', 'a line for each').choices([...BY]).default('team'))
    .option('--from <time>', 'periods that end after this time (ISO 8601); without it from the first one on')
    .option('--to <time>', 'periods that end by this time; without it until the last record')
    .option('--desks <file>', 'desks (TOML) for --by desk; without it each class of each team')
    .addOption(
      new Option('--output <form>', 'how to print')
        .choices(['table', 'json', 'csv', 'parquet'])
        .default('table'),
    )
    .option('--file <path>', 'write there instead; needed for parquet')
    .action((o: ReportOptions) =>
      io.run(() =>
        Effect.gen(function* () {
          const from = moment('--from', o.from, Number.NEGATIVE_INFINITY);
          const to = moment('--to', o.to, Number.POSITIVE_INFINITY);
          if (o.output === 'parquet' && o.file === undefined)
            return yield* Effect.fail(new Fail('--file PATH is needed for parquet', EXIT.input));
          const desks = o.desks === undefined ? Either.right(EACH) : readDesks(io.read(o.desks));
          if (Either.isLeft(desks)) return yield* Effect.fail(new Fail(`--desks: ${desks.left}`, EXIT.input));
          const read = yield* source(io, o);
          const report = reportOf(read, o.by, from, to, desks.right);
          const put = (data: string | Buffer): void => {
            if (o.file !== undefined) writeFileSync(o.file, data);
            else io.print(data.toString().trimEnd());
          };
          if (o.output === 'parquet') put(parquet(report));
          else if (o.output === 'csv') put(csv(report));
          else if (o.output === 'json')
            put(
              JSON.stringify({
                from: iso(report.from),
                to: iso(report.to),
                lines: report.lines.map((l) => fieldsOf(l, report.lines)),
                gaps: read.accounts.gaps,
              }),
            );
          else put(lines(report).join('\n'));
          io.note(
            `from ${report.from === 0 ? 'the beginning' : iso(report.from)} to ${iso(report.to)}; ` +
              `${report.lines.reduce((n, l) => n + placed(l, 'cpus'), 0n) / 1_000_000_000n} CPU seconds placed`,
          );
          for (const n of verify(read).notes) io.note(n);
        }),
      ),
    );

  outputOption(sourced(accounts.command('verify')))
    .description('recomputes the sums; status 1 if something does not agree')
    .action((o: Source & { output: Form }) =>
      io.run(() =>
        Effect.gen(function* () {
          const read = yield* source(io, o);
          const v = verify(read);
          const { upTo, at, life, rows } = read.accounts;
          if (o.output === 'json')
            io.print(JSON.stringify({ ...v, record: upTo, at, life, groups: rows.size }));
          else {
            for (const l of v.wrong) io.print(`wrong: ${l}`);
            for (const l of v.notes) io.print(l);
            io.print(
              `${v.wrong.length === 0 ? 'sums agree' : 'sums do not agree'}: record ${upTo} of ${at === 0 ? '-' : iso(at)}, ` +
                `${rows.size} groups, ${read.pages.length} pages`,
            );
          }
          if (v.wrong.length > 0) process.exitCode = EXIT.refused;
        }),
      ),
    );
};
