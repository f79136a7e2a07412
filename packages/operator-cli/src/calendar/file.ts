/** Reads a calendar file (TOML) and checks it against a schema. Each error names the field and the correction. */
import { Either, Schema } from 'effect';
import { checkedToml } from '@lilacvalve/runtime/toml';
import { MAX_CUTOFFS } from '@lilacvalve/controller/calendar/model';

/** A field that may be absent and then has the value `value`. */
const withDefault = <A, I>(schema: Schema.Schema<A, I>, value: A) =>
  Schema.optionalWith(schema, { default: () => value });
/** A field that may be absent or null; both are read as null. */
const OptionalNullable = <A, I>(schema: Schema.Schema<A, I>) =>
  Schema.optionalWith(Schema.NullOr(schema), { default: () => null });

/** A date or time that matches the pattern, written as a string or as a date of TOML. */
const dateText = (pattern: RegExp, message: string) =>
  Schema.transform(Schema.Unknown, Schema.String.pipe(Schema.pattern(pattern, { message: () => message })), {
    strict: false,
    decode: (value) => (value instanceof Date ? value.toISOString() : value),
    encode: (value) => value,
  });
const LocalDate = dateText(/^\d{4}-\d{2}-\d{2}$/, 'must be a date like 2026-12-24');
const LocalTime = dateText(/^\d{2}:\d{2}(:\d{2}(\.0+)?)?$/, 'must be a local time like "16:00"');
const LocalDateTime = dateText(
  /^\d{4}-\d{2}-\d{2}T\d{2}:\d{2}(:\d{2}(\.0+)?)?$/,
  'must be a local date and time like "2026-12-23T13:00"',
);
const Zone = Schema.String.pipe(
  Schema.filter((zone) => {
    try {
      new Intl.DateTimeFormat('en', { timeZone: zone });
      return /[A-Za-z]/.test(zone) || 'must be an IANA zone like "Africa/Cairo", not an offset';
    } catch {
      return `${JSON.stringify(zone)} is not an IANA zone: write a zone like "Africa/Cairo"`;
    }
  }),
);
const Name = Schema.String.pipe(
  Schema.pattern(/^[a-z0-9][a-z0-9._-]{0,59}$/, {
    message: () =>
      'must have at most 60 characters: lower-case letters, digits, dots, dashes, underscores; it is used in keys of the state service',
  }),
);
const Weekday = Schema.Literal('MO', 'TU', 'WE', 'TH', 'FR', 'SA', 'SU').annotations({
  message: () => 'must be one of MO, TU, WE, TH, FR, SA, SU',
});
const Names = Schema.NonEmptyArray(Schema.NonEmptyString);

const File = Schema.Struct({
  /** Increased with every change. `calendar apply` refuses a version below the stored one, and another calendar of the same version. */
  version: Schema.Int.pipe(
    Schema.positive({ message: () => 'must be an integer of at least 1 that increases with every change' }),
  ),
  /** First and last date of the calendar, both included, in the time zone of each cutoff. */
  from: LocalDate,
  until: LocalDate,
  zone: Zone,
  /** Number of days before the end of the calendar from which on controllers warn that it expires. */
  notice_days: withDefault(Schema.Int.pipe(Schema.between(1, 90)), 14),
  /** Named sets of days off. */
  off: withDefault(
    Schema.Record({
      key: Name,
      value: Schema.Struct({
        dates: withDefault(Schema.Array(LocalDate), []),
        weekdays: withDefault(Schema.Array(Weekday), []),
      }),
    }),
    {},
  ),
  cutoff: Schema.NonEmptyArray(
    Schema.Struct({
      name: Name,
      zone: Schema.optional(Zone),
      /** Local time of the occurrences. */
      at: LocalTime,
      /** Recurrence rule of RFC 5545 with FREQ=DAILY, WEEKLY, MONTHLY or YEARLY. */
      every: OptionalNullable(Schema.NonEmptyString),
      /** Single dates, in addition to the recurrence or in place of one. */
      dates: withDefault(Schema.Array(LocalDate), []),
      /** Names of sets of days off. `not_on`: days off of this cutoff only. */
      off: withDefault(Schema.Array(Schema.String), []),
      not_on: withDefault(Schema.Array(LocalDate), []),
      /** Treatment of an occurrence on a day off: skipped, or shifted to the working day before or after. */
      on_day_off: withDefault(Schema.Literal('skip', 'before', 'after'), 'skip'),
      /** Occurrences that are moved to another time. They keep their id, which has the original date. */
      moved: withDefault(Schema.Array(Schema.Struct({ date: LocalDate, to: LocalDateTime })), []),
      /** Which instant is used for a local time that does not exist or occurs twice on the day of a clock change. */
      clock_change: withDefault(Schema.Literal('earlier', 'later'), 'earlier'),
      lead_min: withDefault(Schema.Finite.pipe(Schema.between(0, 60 * 24 * 90)), 0),
      teams: OptionalNullable(Names),
      classes: OptionalNullable(Names),
      shapes: OptionalNullable(Schema.NonEmptyArray(Schema.Literal('array', 'ensemble'))),
      urgencies: OptionalNullable(
        Schema.NonEmptyArray(Schema.Literal('production', 'high', 'normal', 'low')),
      ),
    }),
  ).pipe(
    Schema.filter(
      (cutoffs) =>
        cutoffs.length <= MAX_CUTOFFS || `must have at most ${MAX_CUTOFFS} cutoffs: merge similar ones`,
    ),
  ),
});
/** A checked calendar file. */
export type CalendarFile = typeof File.Type;

const readToml = checkedToml(File, { exact: true });

/** Returns the first date in the text that does not exist. The TOML parser would silently read 30 February as 2 March. */
const findInvalidDate = (text: string): string | undefined =>
  text
    .replace(/#.*$/gm, '')
    .match(/\b\d{4}-\d{2}-\d{2}/g)
    ?.find((date) => new Date(`${date}T00:00:00Z`).toJSON()?.slice(0, 10) !== date);

/** Parses and checks a calendar file. The error is one line that names the field and the correction. */
export const readCalendarFile = (text: string): Either.Either<CalendarFile, string> => {
  const invalidDate = findInvalidDate(text);
  if (invalidDate !== undefined) return Either.left(`file: ${invalidDate} is not a valid date: correct it`);
  return readToml(text).pipe(
    Either.flatMap((file): Either.Either<CalendarFile, string> => {
      if (file.until < file.from) return Either.left('until: must not be before from: use a later date');
      const names = new Set<string>();
      for (const [i, cutoff] of file.cutoff.entries()) {
        if (names.has(cutoff.name))
          return Either.left(`cutoff.${i}.name: duplicate cutoff name ${cutoff.name}: choose another`);
        names.add(cutoff.name);
        for (const [j, set] of cutoff.off.entries())
          if (file.off[set] === undefined)
            return Either.left(
              `cutoff.${i}.off.${j}: the file has no section [off.${set}]: add it or correct the name`,
            );
        if (cutoff.every === null && cutoff.dates.length === 0)
          return Either.left(
            `cutoff.${i}.every: the cutoff has neither a recurrence nor dates: add one of them`,
          );
        if (
          cutoff.teams === null &&
          cutoff.classes === null &&
          cutoff.shapes === null &&
          cutoff.urgencies === null
        )
          return Either.left(
            `cutoff.${i}.teams: the cutoff would apply to every job: list teams, classes, shapes or urgencies`,
          );
      }
      return Either.right(file);
    }),
  );
};
