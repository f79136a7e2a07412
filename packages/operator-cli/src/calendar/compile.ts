/**
 * Compiles a checked calendar file into a table of instants. Recurrences (RRULE) are expanded to plain dates; the rules of the
 * time zone (Temporal) convert local times to instants. The result depends on the file only: it is the same whenever and
 * wherever the file is compiled.
 */
import 'temporal-polyfill/global';
import { Either } from 'effect';
import { RRuleTemporal } from 'rrule-temporal';
import { Temporal } from 'temporal-polyfill';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import {
  type Calendar,
  type Cutoff,
  makeCalendar,
  MAX_OCCURRENCES,
  type Occurrence,
} from '@lilacvalve/controller/calendar/model';
import { type Shape, URGENCY } from '@lilacvalve/controller/jobs/model';
import type { CalendarFile } from './file.js';

/**
 * An occurrence whose local time is missing or ambiguous because of a clock change. `check`, `next` and `apply` report it.
 */
export interface ClockChange {
  readonly id: string;
  /** `gap`: the local time does not exist on that day. `repeat`: it occurs twice. */
  readonly kind: 'gap' | 'repeat';
  readonly local: string;
  /** The instant that is used, in the time zone of the cutoff. */
  readonly chosen: string;
}
/** The result of compiling a calendar file. */
export interface CompiledCalendar {
  readonly calendar: Calendar;
  readonly clockChanges: readonly ClockChange[];
  /** Dates that were skipped because they are days off, by cutoff. */
  readonly skipped: ReadonlyMap<string, readonly string[]>;
  /** Time zones by cutoff. */
  readonly zones: ReadonlyMap<string, string>;
}

/** Shapes of jobs by their name in calendar files. */
const SHAPES: Readonly<Record<string, Shape>> = { array: 'array', ensemble: 'gang' };
/** Frequencies that give at most one occurrence per day. */
const DAILY_OR_RARER = /(^|;)FREQ=(DAILY|WEEKLY|MONTHLY|YEARLY)(;|$)/;
const DATE_DIGITS = 'YYYY-MM-DD'.length;
const WEEKDAYS = ['MO', 'TU', 'WE', 'TH', 'FR', 'SA', 'SU'] as const;
/** Maximum number of days by which an occurrence on a day off is shifted to a working day. */
const MAX_SHIFT_DAYS = 31;

type FileCutoff = CalendarFile['cutoff'][number];

/** Returns the dates of a recurrence from `from` to `until`, both included. Throws the library's error for an invalid rule. */
const expandRecurrence = (rule: string, from: string, until: string): string[] => {
  const compactDate = from.replaceAll('-', '');
  const recurrence = new RRuleTemporal({
    rruleString: `DTSTART;TZID=UTC:${compactDate}T000000\nRRULE:${rule}`,
  });
  const day = (date: string): Temporal.ZonedDateTime => Temporal.PlainDate.from(date).toZonedDateTime('UTC');
  // The library returns times of its own copy of the Temporal types.
  const times = recurrence.between(day(from), day(until), true) as { toString(): string }[];
  return times.map((time) => time.toString().slice(0, DATE_DIGITS));
};

const microsOf = (time: Temporal.ZonedDateTime): Micros => (time.epochMilliseconds * 1000) as Micros;

/** Returns the instant of a local time, and whether a clock change makes the local time missing or ambiguous. */
export const instantOf = (
  local: Temporal.PlainDateTime,
  zone: string,
  choice: 'earlier' | 'later',
): { readonly at: Temporal.ZonedDateTime; readonly kind: ClockChange['kind'] | null } => {
  const earlier = local.toZonedDateTime(zone, { disambiguation: 'earlier' });
  const later = local.toZonedDateTime(zone, { disambiguation: 'later' });
  const at = choice === 'earlier' ? earlier : later;
  if (earlier.epochMilliseconds === later.epochMilliseconds) return { at, kind: null };
  return { at, kind: at.toPlainDateTime().equals(local) ? 'repeat' : 'gap' };
};

/** A result, or an error that names the field and the correction. */
type Checked<A> = Either.Either<A, string>;

const jobFilterOf = ({ teams, classes, shapes, urgencies }: FileCutoff): Cutoff['match'] => ({
  teams,
  classes,
  shapes: shapes?.map((shape) => SHAPES[shape]!) ?? null,
  urgencies: urgencies?.map((urgency) => URGENCY[urgency]) ?? null,
});

/** Returns the dates of a cutoff, sorted and without duplicates. The dates in `moved` must be among them. */
const datesOf = (file: CalendarFile, cutoff: FileCutoff, field: string): Checked<string[]> => {
  const dates = cutoff.dates.filter((date) => date >= file.from && date <= file.until);
  if (cutoff.every !== null) {
    if (!DAILY_OR_RARER.test(cutoff.every))
      return Either.left(
        `${field}.every: must contain FREQ=DAILY, WEEKLY, MONTHLY or YEARLY: for several times a day write several cutoffs`,
      );
    try {
      dates.push(...expandRecurrence(cutoff.every, file.from, file.until));
    } catch (error) {
      return Either.left(
        `${field}.every: ${(error as Error).message}: write a recurrence rule of RFC 5545, like FREQ=WEEKLY;BYDAY=SU,MO`,
      );
    }
  }
  const unmatched = cutoff.moved.find(({ date }) => !dates.includes(date));
  return unmatched === undefined
    ? Either.right([...new Set(dates)].sort())
    : Either.left(
        `${field}.moved: ${unmatched.date} is not a date of this cutoff: use a date that the recurrence or the list of dates contains`,
      );
};

const parseLocal = (local: string, field: string): Checked<Temporal.PlainDateTime> => {
  try {
    return Either.right(Temporal.PlainDateTime.from(local, { overflow: 'reject' }));
  } catch {
    return Either.left(`${field}: ${local} is not a valid local time: correct "at" or "moved"`);
  }
};

interface CutoffTable {
  readonly occurrences: readonly Occurrence[];
  readonly clockChanges: readonly ClockChange[];
  /** Dates that were skipped because they are days off. */
  readonly skipped: readonly string[];
}

/** Compiles the occurrences of one cutoff. */
const compileCutoff = (
  file: CalendarFile,
  cutoff: FileCutoff,
  index: number,
  zone: string,
): Checked<CutoffTable> =>
  Either.gen(function* () {
    const field = `cutoff.${index}`;
    const occurrences: Occurrence[] = [];
    const clockChanges: ClockChange[] = [];
    const skipped: string[] = [];
    const moved = new Map(cutoff.moved.map(({ date, to }) => [date, to]));
    const dates = yield* datesOf(file, cutoff, field);
    const isOff = dayOffTest(file, cutoff);
    for (const date of dates) {
      const local = localTimeOf(cutoff, date, moved.get(date), isOff);
      if (local === null) {
        skipped.push(date);
        continue;
      }
      const localTime = yield* parseLocal(local, field);
      const { at, kind } = instantOf(localTime, zone, cutoff.clock_change);
      const id = `${cutoff.name}@${date}`;
      occurrences.push({ id, cutoff: index, at: microsOf(at) });
      if (kind !== null) clockChanges.push({ id, kind, local: localTime.toString(), chosen: at.toString() });
    }
    return { occurrences, clockChanges, skipped };
  });

/** Compiles a calendar file. The error is one line that names the field and the correction. */
export const compile = (file: CalendarFile): Checked<CompiledCalendar> =>
  Either.gen(function* () {
    const cutoffs: Cutoff[] = [];
    const occurrences: Occurrence[] = [];
    const clockChanges: ClockChange[] = [];
    const skipped = new Map<string, readonly string[]>();
    const zones = new Map<string, string>();
    for (const [index, cutoff] of file.cutoff.entries()) {
      const { name } = cutoff;
      const zone = cutoff.zone ?? file.zone;
      zones.set(name, zone);
      cutoffs.push({ name, lead: seconds(cutoff.lead_min * 60), match: jobFilterOf(cutoff) });
      const compiled = yield* compileCutoff(file, cutoff, index, zone);
      occurrences.push(...compiled.occurrences);
      clockChanges.push(...compiled.clockChanges);
      if (compiled.skipped.length > 0) skipped.set(name, compiled.skipped);
      if (occurrences.length > MAX_OCCURRENCES)
        return yield* Either.left(
          `until: the calendar would have more than ${MAX_OCCURRENCES} occurrences: choose an earlier date`,
        );
    }
    const until = Temporal.PlainDate.from(file.until).add({ days: 1 }).toZonedDateTime(file.zone);
    const calendar = makeCalendar(
      {
        version: file.version,
        until: microsOf(until),
        notice: seconds(file.notice_days * 86_400),
        cutoffs,
      },
      occurrences,
    );
    return { calendar, clockChanges, skipped, zones };
  });

/** Returns a function that tells whether a date is a day off for the cutoff. */
const dayOffTest = (file: CalendarFile, cutoff: FileCutoff): ((date: string) => boolean) => {
  const dates = new Set<string>(cutoff.not_on);
  const weekdays = new Set<string>();
  for (const name of cutoff.off) {
    for (const date of file.off[name]!.dates) dates.add(date);
    for (const weekday of file.off[name]!.weekdays) weekdays.add(weekday);
  }
  return (date) => dates.has(date) || weekdays.has(WEEKDAYS[Temporal.PlainDate.from(date).dayOfWeek - 1]!);
};

/** Returns the local date and time of the occurrence of `date`; null: the occurrence is skipped. */
const localTimeOf = (
  cutoff: FileCutoff,
  date: string,
  moved: string | undefined,
  isOff: (date: string) => boolean,
): string | null => {
  if (moved !== undefined) return moved;
  let day = Temporal.PlainDate.from(date);
  if (isOff(date)) {
    if (cutoff.on_day_off === 'skip') return null;
    const step = cutoff.on_day_off === 'before' ? -1 : 1;
    for (let days = 0; isOff(day.toString()); days++) {
      if (days >= MAX_SHIFT_DAYS) return null;
      day = day.add({ days: step });
    }
  }
  return `${day.toString()}T${cutoff.at}`;
};

/** Formats an instant as local time of a zone with the UTC offset. */
export const localOf = (at: Micros, zone: string): string => {
  const zoned = Temporal.Instant.fromEpochMilliseconds(Math.floor(at / 1000)).toZonedDateTimeISO(zone);
  return `${zoned.toPlainDateTime().toString({ smallestUnit: 'second' })}${zoned.offset}`;
};
