/**
 * The checked file becomes a table of instants. Dates come from the recurrence (RRULE, over plain dates), instants from
 * the zone's rules (Temporal). Pure: the same file gives the same table, whenever and wherever it is compiled.
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

/** What the clocks' change makes of one occurrence; said by `check`, `next` and `apply`. */
export interface ClockChange {
  readonly id: string;
  /** `gap`: the local time does not exist on that day. `repeat`: it comes twice. */
  readonly kind: 'gap' | 'repeat';
  readonly local: string;
  /** The instant that counts, in the zone. */
  readonly chosen: string;
}
/** What a calendar file stands for. */
export interface CompiledCalendar {
  readonly calendar: Calendar;
  readonly clockChanges: readonly ClockChange[];
  /** By cutoff, dates that fell on a day off and were skipped. */
  readonly skipped: ReadonlyMap<string, readonly string[]>;
  readonly zones: ReadonlyMap<string, string>;
}

const SHAPES: Readonly<Record<string, Shape>> = { array: 'array', ensemble: 'gang' };
const FREQ = /(^|;)FREQ=(DAILY|WEEKLY|MONTHLY|YEARLY)(;|$)/;
const DATE_DIGITS = 'YYYY-MM-DD'.length;
const WEEKDAYS = ['MO', 'TU', 'WE', 'TH', 'FR', 'SA', 'SU'] as const;
/** A moved occurrence looks for a day that is not off within so many days. */
const FARTHEST_DAYS = 31;

type FileCutoff = CalendarFile['cutoff'][number];

/** Dates that the recurrence names from `from` to `until`. Throws what the library says of a bad one. */
const recurring = (rule: string, from: string, until: string): string[] => {
  const compact = from.replaceAll('-', '');
  const recurrence = new RRuleTemporal({ rruleString: `DTSTART;TZID=UTC:${compact}T000000\nRRULE:${rule}` });
  const day = (date: string): Temporal.ZonedDateTime => Temporal.PlainDate.from(date).toZonedDateTime('UTC');
  // The library types its times by its own copy of the specification.
  const times = recurrence.between(day(from), day(until), true) as { toString(): string }[];
  return times.map((time) => time.toString().slice(0, DATE_DIGITS));
};

const microsOf = (z: Temporal.ZonedDateTime): Micros => (z.epochMilliseconds * 1000) as Micros;

/** The instant of a local time, and whether the clocks' change makes it odd. */
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

type Checked<A> = Either.Either<A, string>;

const matchOf = ({ teams, classes, shapes, urgencies }: FileCutoff): Cutoff['match'] => ({
  teams,
  classes,
  shapes: shapes?.map((shape) => SHAPES[shape]!) ?? null,
  urgencies: urgencies?.map((urgency) => URGENCY[urgency]) ?? null,
});

/** Dates of a cutoff, sorted, each once; those that are moved must be among them. */
const datesOf = (file: CalendarFile, cutoff: FileCutoff, field: string): Checked<string[]> => {
  const dates = cutoff.dates.filter((date) => date >= file.from && date <= file.until);
  if (cutoff.every !== null) {
    if (!FREQ.test(cutoff.every))
      return Either.left(
        `${field}.every: must say FREQ=DAILY, WEEKLY, MONTHLY or YEARLY: for several times a day write several cutoffs`,
      );
    try {
      dates.push(...recurring(cutoff.every, file.from, file.until));
    } catch (error) {
      return Either.left(
        `${field}.every: ${(error as Error).message}: write a recurrence by RFC 5545, like FREQ=WEEKLY;BYDAY=SU,MO`,
      );
    }
  }
  const stray = cutoff.moved.find(({ date }) => !dates.includes(date));
  return stray === undefined
    ? Either.right([...new Set(dates)].sort())
    : Either.left(`${field}.moved: ${stray.date} is no date of it: name the date that the recurrence gives`);
};

const parseLocal = (local: string, field: string): Checked<Temporal.PlainDateTime> => {
  try {
    return Either.right(Temporal.PlainDateTime.from(local, { overflow: 'reject' }));
  } catch {
    return Either.left(`${field}: ${local} is no local time: correct "at" or "moved"`);
  }
};

interface CutoffTable {
  readonly occurrences: readonly Occurrence[];
  readonly clockChanges: readonly ClockChange[];
  /** Dates that fell on a day off and were skipped. */
  readonly skipped: readonly string[];
}

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
    const isOff = offDays(file, cutoff);
    for (const date of dates) {
      const local = localTimeOf(cutoff, date, moved.get(date), isOff);
      if (local === null) {
        skipped.push(date);
        continue;
      }
      const plain = yield* parseLocal(local, field);
      const { at, kind } = instantOf(plain, zone, cutoff.clock_change);
      const id = `${cutoff.name}@${date}`;
      occurrences.push({ id, cutoff: index, at: microsOf(at) });
      if (kind !== null) clockChanges.push({ id, kind, local: plain.toString(), chosen: at.toString() });
    }
    return { occurrences, clockChanges, skipped };
  });

/** Either the table, or one line that names the field and the remedy. */
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
      cutoffs.push({ name, lead: seconds(cutoff.lead_min * 60), match: matchOf(cutoff) });
      const compiled = yield* compileCutoff(file, cutoff, index, zone);
      occurrences.push(...compiled.occurrences);
      clockChanges.push(...compiled.clockChanges);
      if (compiled.skipped.length > 0) skipped.set(name, compiled.skipped);
      if (occurrences.length > MAX_OCCURRENCES)
        return yield* Either.left(
          `until: the table would hold more than ${MAX_OCCURRENCES} occurrences: choose an earlier date`,
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

const offDays = (file: CalendarFile, cutoff: FileCutoff): ((date: string) => boolean) => {
  const dates = new Set<string>(cutoff.not_on);
  const weekdays = new Set<string>();
  for (const name of cutoff.off) {
    for (const date of file.off[name]!.dates) dates.add(date);
    for (const weekday of file.off[name]!.weekdays) weekdays.add(weekday);
  }
  return (date) => dates.has(date) || weekdays.has(WEEKDAYS[Temporal.PlainDate.from(date).dayOfWeek - 1]!);
};

/** The local date and time of the occurrence of `date`; null: it is skipped. */
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
      if (days >= FARTHEST_DAYS) return null;
      day = day.add({ days: step });
    }
  }
  return `${day.toString()}T${cutoff.at}`;
};

/** An instant as people of a zone write it. */
export const localOf = (at: Micros, zone: string): string => {
  const zoned = Temporal.Instant.fromEpochMilliseconds(Math.floor(at / 1000)).toZonedDateTimeISO(zone);
  return `${zoned.toPlainDateTime().toString({ smallestUnit: 'second' })}${zoned.offset}`;
};
