/** `calendar diff`, `apply`, `show` and `retire`: the calendar in the shared state. */
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import {
  publishCalendar,
  type PublishResult,
  publishRetirement,
} from '@lilacvalve/controller/calendar/publish';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import { wholeFlag } from '../input.js';
import { type CommandFailure, CommandRefused, EXIT, type Io, type StateOptions } from '../io.js';
import { type OutputForm, printTable } from '../output.js';
import { clockChangeLines, compileFile, mostFlag, utcTime } from './file-commands.js';
import { occurrenceDifferences, storedCalendar } from './stored.js';

type Work = Effect.Effect<void, StateFailure | CommandFailure>;

/** Flags of the commands that print. */
export interface PrintOptions extends StateOptions {
  readonly output: OutputForm;
}

/** Prints what applying a file would change; exit code 1 if anything. */
export const diffFile = (io: Io, file: string, options: PrintOptions): Work =>
  Effect.gen(function* () {
    const { calendar } = yield* compileFile(io, file);
    const { store } = yield* io.open(options);
    const stored = yield* storedCalendar(store);
    const differences = occurrenceDifferences(stored?.calendar ?? null, calendar);
    io.note(`in the state: version ${stored?.head.version ?? 'none'}; the file: version ${calendar.version}`);
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

const reportPublished = (io: Io, published: PublishResult): Effect.Effect<void, CommandRefused> => {
  if (!published.ok) return Effect.fail(new CommandRefused({ message: published.reason }));
  const { version, pages, already } = published;
  return Effect.sync(() =>
    io.print(already ? `version ${version} is there already` : `version ${version} applied, ${pages} pages`),
  );
};

/** Flags of `calendar apply`. */
export interface ApplyOptions extends StateOptions {
  readonly expect?: string;
}

/** Puts a file's calendar into the shared state. */
export const applyFile = (io: Io, file: string, options: ApplyOptions): Work =>
  Effect.gen(function* () {
    const compiled = yield* compileFile(io, file);
    const { calendar } = compiled;
    const expected =
      options.expect === undefined
        ? null
        : yield* wholeFlag('--expect', options.expect, 0, 'a version, or 0 for none');
    const { store, limits } = yield* io.open(options);
    for (const line of clockChangeLines(compiled)) io.note(line);
    if (calendar.until < io.dayTime()) io.note('the whole table lies in the past: nothing will be tied');
    yield* reportPublished(io, yield* publishCalendar(store, limits, calendar, expected));
  });

const MICROS_A_MINUTE = 60e6;

/** Prints the calendar in the shared state with its coming occurrences. */
export const showCalendar = (io: Io, options: PrintOptions & { readonly most: string }): Work =>
  Effect.gen(function* () {
    const { store } = yield* io.open(options);
    const stored = yield* storedCalendar(store);
    if (stored === null) return yield* new CommandRefused({ message: 'no calendar is there' });
    const { head, calendar } = stored;
    const { version, until, count } = head;
    if (calendar === null)
      return yield* new CommandRefused({
        message: `version ${version}: its pages are not there as its head says: apply the file again`,
      });
    const { cutoffs } = calendar;
    const coming = calendar.occurrences
      .filter(({ at }) => at >= io.dayTime())
      .slice(0, yield* mostFlag(options.most));
    if (options.output === 'json')
      return io.print(JSON.stringify({ version, until, count, cutoffs, next: coming }));
    io.print(`version ${version}, ${count} occurrences until ${utcTime(until)}`);
    printTable(
      io,
      ['occurrence', 'instant (UTC)', 'lead min'],
      coming.map(({ id, at, cutoff }) => [id, utcTime(at), cutoffs[cutoff]!.lead / MICROS_A_MINUTE]),
    );
  });

/** Puts an empty calendar into the shared state. */
export const retireCalendar = (io: Io, options: StateOptions & { readonly version: string }): Work =>
  Effect.gen(function* () {
    const what = 'a whole number above the version that is there';
    const version = yield* wholeFlag('--version', options.version, 1, what);
    const { store, limits } = yield* io.open(options);
    yield* reportPublished(io, yield* publishRetirement(store, limits, version, io.dayTime() as Micros));
  });
