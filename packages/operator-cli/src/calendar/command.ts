/** `calendar check | next | diff | apply | show | retire`. */
import type { Command } from 'commander';
import { Effect, Either } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { decodeCalendar, type Head } from '@lilacvalve/controller/calendar/codec';
import type { Calendar } from '@lilacvalve/controller/calendar/model';
import { listAll, publish, readHead, retire, type Published } from '@lilacvalve/controller/calendar/publish';
import { CALENDAR_PAGE } from '@lilacvalve/controller/jobs/keys';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import { EXIT, Fail, type Io, type StateOptions, stateOptions, type Store } from '../io.js';
import { type Form, outputOption, table } from '../output.js';
import { compile, type Compiled, localOf } from './compile.js';
import { readCalendarFile } from './file.js';

const compiled = (io: Io, path: string): Compiled => {
  const made = readCalendarFile(io.read(path)).pipe(Either.flatMap(compile));
  if (Either.isLeft(made)) throw new Fail(`${path}: ${made.left}`, EXIT.input);
  return made.right;
};

/** The calendar in the shared state; null: none. `whole` false: its pages are not there as its head says. */
export const stored = (
  store: Store,
): Effect.Effect<{ head: Head; calendar: Calendar | null } | null, StateFailure> =>
  Effect.gen(function* () {
    const there = yield* readHead(store);
    if (there === null) return null;
    const pages = new Map((yield* listAll(store, CALENDAR_PAGE)).map((p) => [p.key, p.value]));
    const { head } = there;
    return {
      head,
      calendar: decodeCalendar(
        head,
        head.pages.map((k) => pages.get(k)),
      ),
    };
  });

const utc = (at: number): string => new Date(at / 1000).toISOString().replace('.000Z', 'Z');

export type Difference = {
  readonly id: string;
  readonly before: Micros | null;
  readonly after: Micros | null;
};
/** Occurrences that come, go or move from one calendar to another. */
export const differences = (before: Calendar | null, after: Calendar): Difference[] => {
  const out: Difference[] = [];
  for (const o of after.occurrences) {
    const was = before?.byId.get(o.id)?.at ?? null;
    if (was !== o.at) out.push({ id: o.id, before: was, after: o.at });
  }
  for (const o of before?.occurrences ?? [])
    if (!after.byId.has(o.id)) out.push({ id: o.id, before: o.at, after: null });
  return out.sort((a, b) => (a.after ?? a.before!) - (b.after ?? b.before!) || (a.id < b.id ? -1 : 1));
};

const count = (text: string): number => {
  const n = Number(text);
  if (!Number.isInteger(n) || n < 1) throw new Fail('--most: a whole number from 1 on', EXIT.input);
  return n;
};

const oddLines = (c: Compiled): string[] =>
  c.oddities.map((o) =>
    o.kind === 'gap'
      ? `${o.id}: ${o.local} does not exist on that day (clocks go forward): ${o.chosen} counts`
      : `${o.id}: ${o.local} comes twice on that day (clocks go back): ${o.chosen} counts`,
  );

export const registerCalendar = (cli: Command, io: Io): void => {
  const calendar = cli.command('calendar').description('the calendar of cutoffs');

  outputOption(calendar.command('check'))
    .description('reads a calendar file through; status 2 and the field where it is wrong')
    .argument('<file>')
    .action((file: string, o: { output: Form }) =>
      io.run(() =>
        Effect.sync(() => {
          const c = compiled(io, file);
          const by = c.calendar.cutoffs.map((k, i) => {
            const list = c.calendar.occurrences.filter((x) => x.cutoff === i);
            return {
              cutoff: k.name,
              zone: c.zones.get(k.name)!,
              occurrences: list.length,
              skipped: c.skipped.get(k.name)?.length ?? 0,
            };
          });
          if (o.output === 'json')
            return io.print(
              JSON.stringify({
                version: c.calendar.version,
                until: c.calendar.until,
                cutoffs: by,
                oddities: c.oddities,
              }),
            );
          for (const l of table(
            ['cutoff', 'zone', 'occurrences', 'days off'],
            by.map((b) => [b.cutoff, b.zone, b.occurrences, b.skipped]),
          ))
            io.print(l);
          for (const l of oddLines(c)) io.print(l);
          io.print(
            `version ${c.calendar.version}: ${c.calendar.occurrences.length} occurrences until ${utc(c.calendar.until)}`,
          );
        }),
      ),
    );

  outputOption(calendar.command('next'))
    .description('the next occurrences that a calendar file gives, in local time')
    .argument('<file>')
    .option('--most <n>', 'so many', '10')
    .option('--cutoff <name>', 'of this cutoff only')
    .option('--after <time>', 'after this time (ISO 8601) instead of now')
    .action((file: string, o: { output: Form; most: string; cutoff?: string; after?: string }) =>
      io.run(() =>
        Effect.sync(() => {
          const c = compiled(io, file);
          const after = o.after === undefined ? io.dayTime() : Date.parse(o.after) * 1000;
          if (!Number.isFinite(after))
            throw new Fail('--after: must be a time like 2027-01-06T10:00:00Z', EXIT.input);
          const index = c.calendar.cutoffs.findIndex((k) => k.name === o.cutoff);
          if (o.cutoff !== undefined && index < 0)
            throw new Fail(`--cutoff: the file has no ${o.cutoff}`, EXIT.input);
          const odd = new Map(c.oddities.map((x) => [x.id, x.kind]));
          const list = c.calendar.occurrences
            .filter((x) => x.at >= after && (index < 0 || x.cutoff === index))
            .slice(0, count(o.most))
            .map((x) => {
              const k = c.calendar.cutoffs[x.cutoff]!;
              const zone = c.zones.get(k.name)!;
              return {
                id: x.id,
                local: localOf(x.at, zone),
                zone,
                at: x.at,
                tiesUntil: localOf((x.at - k.lead) as Micros, zone),
                clocks: odd.get(x.id) ?? null,
              };
            });
          if (o.output === 'json') return io.print(JSON.stringify(list));
          for (const l of table(
            ['occurrence', 'local', 'zone', 'ties until', 'clocks'],
            list.map((x) => [x.id, x.local, x.zone, x.tiesUntil, x.clocks]),
          ))
            io.print(l);
        }),
      ),
    );

  const printDifferences = (list: readonly Difference[], output: Form): void => {
    if (output === 'json') return io.print(JSON.stringify(list));
    for (const l of table(
      ['occurrence', 'now', 'file'],
      list.map((d) => [
        d.id,
        d.before === null ? null : utc(d.before),
        d.after === null ? null : utc(d.after),
      ]),
    ))
      io.print(l);
  };

  outputOption(stateOptions(calendar.command('diff')))
    .description('what applying a file would change; status 1 if anything')
    .argument('<file>')
    .action((file: string, o: StateOptions & { output: Form }) =>
      io.run(() =>
        Effect.gen(function* () {
          const c = compiled(io, file);
          const there = yield* stored(io.open(o).store);
          const list = differences(there?.calendar ?? null, c.calendar);
          io.note(
            `in the state: version ${there?.head.version ?? 'none'}; the file: version ${c.calendar.version}`,
          );
          printDifferences(list, o.output);
          if (list.length > 0) process.exitCode = EXIT.refused;
        }),
      ),
    );

  const finish = (p: Published): Effect.Effect<void, Fail> =>
    p.ok
      ? Effect.sync(() =>
          io.print(
            p.already
              ? `version ${p.version} is there already`
              : `version ${p.version} applied, ${p.pages} pages`,
          ),
        )
      : Effect.fail(new Fail(p.reason));

  stateOptions(calendar.command('apply'))
    .description(
      'puts a calendar into the shared state; status 1 if a newer one, or another of its version, is there',
    )
    .argument('<file>')
    .option('--expect <version>', 'refuse unless this version is there now (0: none)')
    .action((file: string, o: StateOptions & { expect?: string }) =>
      io.run(() =>
        Effect.gen(function* () {
          const c = compiled(io, file);
          const expect = o.expect === undefined ? null : Number(o.expect);
          if (expect !== null && !(Number.isSafeInteger(expect) && expect >= 0))
            throw new Fail('--expect: a version, or 0 for none', EXIT.input);
          const { store, limits } = io.open(o);
          for (const l of oddLines(c)) io.note(l);
          if (c.calendar.until < io.dayTime())
            io.note('the whole table lies in the past: nothing will be tied');
          yield* finish(yield* publish(store, limits, c.calendar, expect));
        }),
      ),
    );

  outputOption(stateOptions(calendar.command('show')))
    .description('the calendar in the shared state; status 1 if there is none, or it is not whole')
    .option('--most <n>', 'so many of the coming occurrences', '20')
    .action((o: StateOptions & { output: Form; most: string }) =>
      io.run(() =>
        Effect.gen(function* () {
          const there = yield* stored(io.open(o).store);
          if (there === null) return yield* Effect.fail(new Fail('no calendar is there'));
          const { head, calendar: c } = there;
          if (c === null)
            return yield* Effect.fail(
              new Fail(
                `version ${head.version}: its pages are not there as its head says: apply the file again`,
              ),
            );
          const coming = c.occurrences.filter((x) => x.at >= io.dayTime()).slice(0, count(o.most));
          if (o.output === 'json')
            return io.print(
              JSON.stringify({
                version: head.version,
                until: head.until,
                count: head.count,
                cutoffs: c.cutoffs,
                next: coming,
              }),
            );
          io.print(`version ${head.version}, ${head.count} occurrences until ${utc(head.until)}`);
          for (const l of table(
            ['occurrence', 'instant (UTC)', 'lead min'],
            coming.map((x) => [x.id, utc(x.at), c.cutoffs[x.cutoff]!.lead / 60e6]),
          ))
            io.print(l);
        }),
      ),
    );

  stateOptions(calendar.command('retire'))
    .description('takes the calendar out of use: tied jobs go by their own due time')
    .requiredOption('--version <n>', 'the version of the empty calendar: above the one that is there')
    .action((o: StateOptions & { version: string }) =>
      io.run(() =>
        Effect.gen(function* () {
          const version = Number(o.version);
          if (!Number.isSafeInteger(version) || version < 1)
            throw new Fail('--version: a whole number above the version that is there', EXIT.input);
          const { store, limits } = io.open(o);
          yield* finish(yield* retire(store, limits, version, io.dayTime() as Micros));
        }),
      ),
    );
};
