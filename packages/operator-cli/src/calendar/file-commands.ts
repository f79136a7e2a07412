/** The commands `calendar check` and `calendar next`. They read a calendar file only and do not use the state service. */
import { Effect, Either } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { timeFlag, integerFlag } from '../input.js';
import { InvalidInput, type Io } from '../io.js';
import { isoTime, type OutputFormat, printTable } from '../output.js';
import { type ClockChange, compile, type CompiledCalendar, localOf } from './compile.js';
import { readCalendarFile } from './file.js';

/** Reads, validates and compiles a calendar file. */
export const compileFile = (io: Io, path: string): Effect.Effect<CompiledCalendar, InvalidInput> =>
  Effect.flatMap(io.read(path), (text) =>
    readCalendarFile(text).pipe(
      Either.flatMap(compile),
      Either.mapLeft((reason) => new InvalidInput({ message: `${path}: ${reason}` })),
    ),
  );

/** Formats a time of day (microseconds) as ISO 8601 in UTC; milliseconds are omitted if they are 0. */
export const utcTime = (at: number): string => isoTime(at).replace('.000Z', 'Z');

/** Parses the value of `--most`. */
export const parseMost = (text: string): Either.Either<number, InvalidInput> =>
  integerFlag('--most', text, 1, 'an integer of at least 1');

/** Returns a line for each occurrence whose local time is missing or ambiguous because of a clock change. */
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

const summarizeCutoffs = ({ calendar, zones, skipped }: CompiledCalendar): CutoffSummary[] =>
  calendar.cutoffs.map(({ name }, index) => ({
    cutoff: name,
    zone: zones.get(name)!,
    occurrences: calendar.occurrences.filter(({ cutoff }) => cutoff === index).length,
    skipped: skipped.get(name)?.length ?? 0,
  }));

/** Validates a calendar file and prints its cutoffs with the number of their occurrences. */
export const checkFile = (
  io: Io,
  file: string,
  { output }: { readonly output: OutputFormat },
): Effect.Effect<void, InvalidInput> =>
  Effect.map(compileFile(io, file), (compiled) => {
    const { version, until, occurrences } = compiled.calendar;
    const cutoffs = summarizeCutoffs(compiled);
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

/** Options of `calendar next`. */
export interface NextOptions {
  readonly output: OutputFormat;
  readonly most: string;
  readonly cutoff?: string;
  readonly after?: string;
}

interface LocalOccurrence {
  readonly id: string;
  readonly local: string;
  readonly zone: string;
  readonly at: Micros;
  /** Local time until which submitted jobs are bound to the occurrence: its time less the lead time of the cutoff. */
  readonly tiesUntil: string;
  readonly clocks: ClockChange['kind'] | null;
}

const localOccurrences = (
  { calendar, zones, clockChanges }: CompiledCalendar,
  after: number,
  cutoffIndex: number,
  maxCount: number,
): LocalOccurrence[] => {
  const clockChangeById = new Map(clockChanges.map(({ id, kind }) => [id, kind]));
  return calendar.occurrences
    .filter(({ at, cutoff }) => at >= after && (cutoffIndex < 0 || cutoff === cutoffIndex))
    .slice(0, maxCount)
    .map(({ id, at, cutoff }) => {
      const { name, lead } = calendar.cutoffs[cutoff]!;
      const zone = zones.get(name)!;
      return {
        id,
        local: localOf(at, zone),
        zone,
        at,
        tiesUntil: localOf((at - lead) as Micros, zone),
        clocks: clockChangeById.get(id) ?? null,
      };
    });
};

/** Prints the next occurrences of a calendar file in local time. */
export const printNext = (io: Io, file: string, options: NextOptions): Effect.Effect<void, InvalidInput> =>
  Effect.gen(function* () {
    const compiled = yield* compileFile(io, file);
    const after = yield* timeFlag('--after', options.after, io.dayTime());
    const index = compiled.calendar.cutoffs.findIndex(({ name }) => name === options.cutoff);
    if (options.cutoff !== undefined && index < 0)
      return yield* new InvalidInput({ message: `--cutoff: the file has no cutoff ${options.cutoff}` });
    const list = localOccurrences(compiled, after, index, yield* parseMost(options.most));
    if (options.output === 'json') return io.print(JSON.stringify(list));
    printTable(
      io,
      ['occurrence', 'local', 'zone', 'ties until', 'clocks'],
      list.map(({ id, local, zone, tiesUntil, clocks }) => [id, local, zone, tiesUntil, clocks]),
    );
  });
