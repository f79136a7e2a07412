/** `calendar check` and `calendar next`: what a calendar file says. They reach no state service. */
import { Effect, Either } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { timeFlag, wholeFlag } from '../input.js';
import { InvalidInput, type Io } from '../io.js';
import { isoTime, type OutputForm, printTable } from '../output.js';
import { type ClockChange, compile, type CompiledCalendar, localOf } from './compile.js';
import { readCalendarFile } from './file.js';

/** Reads, checks and compiles a calendar file. */
export const compileFile = (io: Io, path: string): Effect.Effect<CompiledCalendar, InvalidInput> =>
  Effect.flatMap(io.read(path), (text) =>
    readCalendarFile(text).pipe(
      Either.flatMap(compile),
      Either.mapLeft((fault) => new InvalidInput({ message: `${path}: ${fault}` })),
    ),
  );

/** An instant in UTC without milliseconds where they are 0. */
export const utcTime = (at: number): string => isoTime(at).replace('.000Z', 'Z');

/** What `--most` takes. */
export const mostFlag = (text: string): Either.Either<number, InvalidInput> =>
  wholeFlag('--most', text, 1, 'a whole number from 1 on');

/** One line for each occurrence that a change of the clocks makes odd. */
export const clockChangeLines = ({ clockChanges }: CompiledCalendar): string[] =>
  clockChanges.map(({ id, kind, local, chosen }) =>
    kind === 'gap'
      ? `${id}: ${local} does not exist on that day (clocks go forward): ${chosen} counts`
      : `${id}: ${local} comes twice on that day (clocks go back): ${chosen} counts`,
  );

interface CutoffSummary {
  readonly cutoff: string;
  readonly zone: string;
  readonly occurrences: number;
  readonly skipped: number;
}

const summaries = ({ calendar, zones, skipped }: CompiledCalendar): CutoffSummary[] =>
  calendar.cutoffs.map(({ name }, index) => ({
    cutoff: name,
    zone: zones.get(name)!,
    occurrences: calendar.occurrences.filter(({ cutoff }) => cutoff === index).length,
    skipped: skipped.get(name)?.length ?? 0,
  }));

/** Reads a file through and prints what it gives. */
export const checkFile = (
  io: Io,
  file: string,
  { output }: { readonly output: OutputForm },
): Effect.Effect<void, InvalidInput> =>
  Effect.map(compileFile(io, file), (compiled) => {
    const { version, until, occurrences } = compiled.calendar;
    const cutoffs = summaries(compiled);
    if (output === 'json')
      return io.print(JSON.stringify({ version, until, cutoffs, oddities: compiled.clockChanges }));
    printTable(
      io,
      ['cutoff', 'zone', 'occurrences', 'days off'],
      cutoffs.map((summary) => [summary.cutoff, summary.zone, summary.occurrences, summary.skipped]),
    );
    for (const line of clockChangeLines(compiled)) io.print(line);
    io.print(`version ${version}: ${occurrences.length} occurrences until ${utcTime(until)}`);
  });

/** Flags of `calendar next`. */
export interface NextOptions {
  readonly output: OutputForm;
  readonly most: string;
  readonly cutoff?: string;
  readonly after?: string;
}

interface LocalOccurrence {
  readonly id: string;
  readonly local: string;
  readonly zone: string;
  readonly at: Micros;
  /** Jobs that are submitted until then are tied to it. */
  readonly tiesUntil: string;
  readonly clocks: ClockChange['kind'] | null;
}

const localOccurrences = (
  { calendar, zones, clockChanges }: CompiledCalendar,
  after: number,
  cutoffIndex: number,
  most: number,
): LocalOccurrence[] => {
  const clocks = new Map(clockChanges.map(({ id, kind }) => [id, kind]));
  return calendar.occurrences
    .filter(({ at, cutoff }) => at >= after && (cutoffIndex < 0 || cutoff === cutoffIndex))
    .slice(0, most)
    .map(({ id, at, cutoff }) => {
      const { name, lead } = calendar.cutoffs[cutoff]!;
      const zone = zones.get(name)!;
      return {
        id,
        local: localOf(at, zone),
        zone,
        at,
        tiesUntil: localOf((at - lead) as Micros, zone),
        clocks: clocks.get(id) ?? null,
      };
    });
};

/** Prints the next occurrences that a file gives, in local time. */
export const printNext = (io: Io, file: string, options: NextOptions): Effect.Effect<void, InvalidInput> =>
  Effect.gen(function* () {
    const compiled = yield* compileFile(io, file);
    const after = yield* timeFlag('--after', options.after, io.dayTime());
    const index = compiled.calendar.cutoffs.findIndex(({ name }) => name === options.cutoff);
    if (options.cutoff !== undefined && index < 0)
      return yield* new InvalidInput({ message: `--cutoff: the file has no ${options.cutoff}` });
    const list = localOccurrences(compiled, after, index, yield* mostFlag(options.most));
    if (options.output === 'json') return io.print(JSON.stringify(list));
    printTable(
      io,
      ['occurrence', 'local', 'zone', 'ties until', 'clocks'],
      list.map(({ id, local, zone, tiesUntil, clocks }) => [id, local, zone, tiesUntil, clocks]),
    );
  });
