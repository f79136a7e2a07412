/** The calendar's file: TOML checked by a schema; every error names the field and what to do about it. */
import { Either, Schema } from 'effect';
import { checkedToml } from '@lilacvalve/runtime/toml';
import { MAX_CUTOFFS } from '@lilacvalve/controller/calendar/model';

const or = <A, I>(schema: Schema.Schema<A, I>, value: A) =>
  Schema.optionalWith(schema, { default: () => value });
const NoneOr = <A, I>(schema: Schema.Schema<A, I>) =>
  Schema.optionalWith(Schema.NullOr(schema), { default: () => null });

/** TOML's own dates and times are taken as well as strings. */
const written = (pattern: RegExp, what: string) =>
  Schema.transform(Schema.Unknown, Schema.String.pipe(Schema.pattern(pattern, { message: () => what })), {
    strict: false,
    decode: (v) => (v instanceof Date ? v.toISOString() : v),
    encode: (v) => v,
  });
const LocalDate = written(/^\d{4}-\d{2}-\d{2}$/, 'must be a date like 2026-12-24');
const LocalTime = written(/^\d{2}:\d{2}(:\d{2}(\.0+)?)?$/, 'must be a local time like "16:00"');
const LocalDateTime = written(
  /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.0+)?)?$/,
  'must be a local date and time like "2026-12-23T13:00"',
);
const Zone = Schema.String.pipe(
  Schema.filter((z) => {
    try {
      new Intl.DateTimeFormat('en', { timeZone: z });
      return /[A-Za-z]/.test(z) || 'must be an IANA zone like "Africa/Cairo", not an offset';
    } catch {
      return `${JSON.stringify(z)} is no IANA zone: write one like "Africa/Cairo"`;
    }
  }),
);
const Name = Schema.String.pipe(
  Schema.pattern(/^[a-z0-9][a-z0-9._-]{0,59}$/, {
    message: () => 'must be up to 60 small letters, digits, dots, dashes: it becomes part of a key',
  }),
);
const Weekday = Schema.Literal('MO', 'TU', 'WE', 'TH', 'FR', 'SA', 'SU').annotations({
  message: () => 'must be one of MO, TU, WE, TH, FR, SA, SU',
});
const Names = Schema.NonEmptyArray(Schema.NonEmptyString);

const File = Schema.Struct({
  /** Raised with every change: the state takes no older one, nor another of the same number. */
  version: Schema.Int.pipe(
    Schema.positive({ message: () => 'must be a whole number from 1 on, raised with every change' }),
  ),
  /** Dates that the table covers, both included, in each cutoff's zone. */
  from: LocalDate,
  until: LocalDate,
  zone: Zone,
  /** From so many days before the end of the table on, controllers say that it runs out. */
  notice_days: or(Schema.Int.pipe(Schema.between(1, 90)), 14),
  /** Named sets of days off. */
  off: or(
    Schema.Record({
      key: Name,
      value: Schema.Struct({
        dates: or(Schema.Array(LocalDate), []),
        weekdays: or(Schema.Array(Weekday), []),
      }),
    }),
    {},
  ),
  cutoff: Schema.NonEmptyArray(
    Schema.Struct({
      name: Name,
      zone: Schema.optional(Zone),
      /** Local time of the cutoff. */
      at: LocalTime,
      /** A recurrence by RFC 5545, of days: FREQ=DAILY, WEEKLY, MONTHLY or YEARLY. */
      every: NoneOr(Schema.NonEmptyString),
      /** Single dates, beside the recurrence or instead of one. */
      dates: or(Schema.Array(LocalDate), []),
      /** Names of sets of days off, and days off of this cutoff alone. */
      off: or(Schema.Array(Schema.String), []),
      not_on: or(Schema.Array(LocalDate), []),
      /** What becomes of one that falls on a day off. */
      on_day_off: or(Schema.Literal('skip', 'before', 'after'), 'skip'),
      /** Single occurrences elsewhere: they stay the occurrence of their date. */
      moved: or(Schema.Array(Schema.Struct({ date: LocalDate, to: LocalDateTime })), []),
      /** Which instant counts for a local time that does not exist, or comes twice, on the day clocks change. */
      clock_change: or(Schema.Literal('earlier', 'later'), 'earlier'),
      lead_min: or(Schema.Finite.pipe(Schema.between(0, 60 * 24 * 90)), 0),
      teams: NoneOr(Names),
      classes: NoneOr(Names),
      shapes: NoneOr(Schema.NonEmptyArray(Schema.Literal('array', 'ensemble'))),
      urgencies: NoneOr(Schema.NonEmptyArray(Schema.Literal('production', 'high', 'normal', 'low'))),
    }),
  ).pipe(
    Schema.filter((l) => l.length <= MAX_CUTOFFS || `at most ${MAX_CUTOFFS} cutoffs: join those that can be`),
  ),
});
/** A checked calendar file. */
export type CalendarFile = typeof File.Type;

const readToml = checkedToml(File, { exact: true });

/** TOML's own dates are read leniently: 30 February would become 2 March without a word. */
const noDay = (text: string): string | undefined =>
  text
    .replace(/#.*$/gm, '')
    .match(/\b\d{4}-\d{2}-\d{2}/g)
    ?.find((d) => new Date(`${d}T00:00:00Z`).toJSON()?.slice(0, 10) !== d);

/** The checked file; or one line that names the field and the remedy. */
export const readCalendarFile = (text: string): Either.Either<CalendarFile, string> => {
  const wrong = noDay(text);
  if (wrong !== undefined) return Either.left(`file: ${wrong} is no day: correct the date`);
  return readToml(text).pipe(
    Either.flatMap((file): Either.Either<CalendarFile, string> => {
      if (file.until < file.from) return Either.left('until: is before from: give a later date');
      const names = new Set<string>();
      for (const [i, cutoff] of file.cutoff.entries()) {
        if (names.has(cutoff.name))
          return Either.left(`cutoff.${i}.name: ${cutoff.name} is there twice: names are unique`);
        names.add(cutoff.name);
        for (const [j, set] of cutoff.off.entries())
          if (file.off[set] === undefined)
            return Either.left(`cutoff.${i}.off.${j}: there is no [off.${set}]: add it or correct the name`);
        if (cutoff.every === null && cutoff.dates.length === 0)
          return Either.left(`cutoff.${i}.every: neither a recurrence nor dates: give one of them`);
        if (
          cutoff.teams === null &&
          cutoff.classes === null &&
          cutoff.shapes === null &&
          cutoff.urgencies === null
        )
          return Either.left(
            `cutoff.${i}.teams: the cutoff would tie every job: name teams, classes, shapes or urgencies`,
          );
      }
      return Either.right(file);
    }),
  );
};
