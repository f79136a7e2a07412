/** The commands `calendar diff`, `apply`, `show` and `retire`, which use the calendar in the shared state. */
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import {
  publishCalendar,
  type PublishResult,
  publishRetirement,
} from '@lilacvalve/controller/calendar/publish';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import { integerFlag } from '../input.js';
import { type CommandFailure, CommandRefused, EXIT, type Io, type StateOptions } from '../io.js';
import { type OutputFormat, printTable } from '../output.js';
import { clockChangeLines, compileFile, parseMost, utcTime } from './file-commands.js';
import { occurrenceDifferences, storedCalendar } from './stored.js';

type CommandEffect = Effect.Effect<void, StateFailure | CommandFailure>;

/** Options of the commands that print the calendar or its changes. */
export interface PrintOptions extends StateOptions {
  readonly output: OutputFormat;
}

/** Prints what applying a file would change. Exit code 1 if there are changes. */
export const diffFile = (io: Io, file: string, options: PrintOptions): CommandEffect =>
  Effect.gen(function* () {
    const { calendar } = yield* compileFile(io, file);
    const { store } = yield* io.open(options);
    const stored = yield* storedCalendar(store);
    const differences = occurrenceDifferences(stored?.calendar ?? null, calendar);
    io.printDiagnostic(
      `stored: version ${stored?.head.version ?? 'none'}; file: version ${calendar.version}`,
    );
    if (options.output === 'json') io.print(JSON.stringify(differences));
    else
      printTable(
        io,
        ['occurrence', 'now', 'file'],
        differences.map(({ id, before, after }) => [
          id,
          before === null ? null : utcTime(before),
          after === null ? null : utcTime(after),
        ]),
      );
    if (differences.length > 0) process.exitCode = EXIT.refused;
  });

/** Prints the result of storing a calendar. Fails if it was refused. */
const reportPublished = (io: Io, published: PublishResult): Effect.Effect<void, CommandRefused> => {
  if (!published.ok) return Effect.fail(new CommandRefused({ message: published.reason }));
  const { version, pages, already } = published;
  return Effect.sync(() =>
    io.print(already ? `version ${version} is there already` : `version ${version} applied, ${pages} pages`),
  );
};

/** Options of `calendar apply`. */
export interface ApplyOptions extends StateOptions {
  readonly expect?: string;
}

/** Stores the calendar of a file in the shared state. */
export const applyFile = (io: Io, file: string, options: ApplyOptions): CommandEffect =>
  Effect.gen(function* () {
    const compiled = yield* compileFile(io, file);
    const { calendar } = compiled;
    const expected =
      options.expect === undefined
        ? null
        : yield* integerFlag('--expect', options.expect, 0, 'a version number, or 0 for none');
    const { store, limits } = yield* io.open(options);
    for (const line of clockChangeLines(compiled)) io.printDiagnostic(line);
    if (calendar.until < io.dayTime())
      io.printDiagnostic('all occurrences of the calendar are in the past: no job will be bound to them');
    yield* reportPublished(io, yield* publishCalendar(store, limits, calendar, expected));
  });

const MICROS_PER_MINUTE = 60e6;

/** Prints the version and the coming occurrences of the calendar in the shared state. */
export const showCalendar = (io: Io, options: PrintOptions & { readonly most: string }): CommandEffect =>
  Effect.gen(function* () {
    const { store } = yield* io.open(options);
    const stored = yield* storedCalendar(store);
    if (stored === null) return yield* new CommandRefused({ message: 'no calendar is stored' });
    const { head, calendar } = stored;
    const { version, until, count } = head;
    if (calendar === null)
      return yield* new CommandRefused({
        message: `version ${version}: its pages are missing or damaged: apply the file again`,
      });
    const { cutoffs } = calendar;
    const coming = calendar.occurrences
      .filter(({ at }) => at >= io.dayTime())
      .slice(0, yield* parseMost(options.most));
    if (options.output === 'json')
      return io.print(JSON.stringify({ version, until, count, cutoffs, next: coming }));
    io.print(`version ${version}, ${count} occurrences until ${utcTime(until)}`);
    printTable(
      io,
      ['occurrence', 'instant (UTC)', 'lead min'],
      coming.map(({ id, at, cutoff }) => [id, utcTime(at), cutoffs[cutoff]!.lead / MICROS_PER_MINUTE]),
    );
  });

/** Replaces the calendar in the shared state by an empty one. */
export const retireCalendar = (io: Io, options: StateOptions & { readonly version: string }): CommandEffect =>
  Effect.gen(function* () {
    const expected = 'an integer higher than the stored version';
    const version = yield* integerFlag('--version', options.version, 1, expected);
    const { store, limits } = yield* io.open(options);
    yield* reportPublished(io, yield* publishRetirement(store, limits, version, io.dayTime() as Micros));
  });
