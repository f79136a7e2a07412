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
  MOST_OCCURRENCES,
  type Occurrence,
} from '@lilacvalve/controller/calendar/model';
import { type Shape, URGENCY } from '@lilacvalve/controller/jobs/model';
import type { CalendarFile } from './file.js';

/** What the clocks' change makes of one occurrence; said by `check`, `next` and `apply`. */
export interface Oddity {
  readonly id: string;
  /** `gap`: the local time does not exist on that day. `repeat`: it comes twice. */
  readonly kind: 'gap' | 'repeat';
  readonly local: string;
  /** The instant that counts, in the zone. */
  readonly chosen: string;
}
export interface Compiled {
  readonly calendar: Calendar;
  readonly oddities: readonly Oddity[];
  /** By cutoff, dates that fell on a day off and were skipped. */
  readonly skipped: ReadonlyMap<string, readonly string[]>;
  readonly zones: ReadonlyMap<string, string>;
}

const SHAPES: Readonly<Record<string, Shape>> = { array: 'array', ensemble: 'gang' };
const FREQ = /(^|;)FREQ=(DAILY|WEEKLY|MONTHLY|YEARLY)(;|$)/;
const WEEKDAYS = ['MO', 'TU', 'WE', 'TH', 'FR', 'SA', 'SU'] as const;
/** A moved occurrence looks for a day that is not off within so many days. */
const FARTHEST = 31;

type FileCutoff = CalendarFile['cutoff'][number];

/** Dates that the recurrence names from `from` to `until`. Throws what the library says of a bad one. */
const recurring = (rule: string, from: string, until: string): string[] => {
  const compact = from.replaceAll('-', '');
  const r = new RRuleTemporal({ rruleString: `DTSTART;TZID=UTC:${compact}T000000\nRRULE:${rule}` });
  const day = (d: string): Temporal.ZonedDateTime => Temporal.PlainDate.from(d).toZonedDateTime('UTC');
  // The library types its times by its own copy of the specification.
  return (r.between(day(from) as never, day(until) as never, true) as { toString(): string }[]).map((d) =>
    d.toString().slice(0, 10),
  );
};

const microsOf = (z: Temporal.ZonedDateTime): Micros => (z.epochMilliseconds * 1000) as Micros;

/** The instant of a local time, and whether the clocks' change makes it odd. */
export const instantOf = (
  local: Temporal.PlainDateTime,
  zone: string,
  choice: 'earlier' | 'later',
): { readonly at: Temporal.ZonedDateTime; readonly kind: Oddity['kind'] | null } => {
  const earlier = local.toZonedDateTime(zone, { disambiguation: 'earlier' });
  const later = local.toZonedDateTime(zone, { disambiguation: 'later' });
  const at = choice === 'earlier' ? earlier : later;
  if (earlier.epochMilliseconds === later.epochMilliseconds) return { at, kind: null };
  return { at, kind: at.toPlainDateTime().equals(local) ? 'repeat' : 'gap' };
};

/** Either the table, or one line that names the field and the remedy. */
export const compile = (file: CalendarFile): Either.Either<Compiled, string> => {
  const cutoffs: Cutoff[] = [];
  const occurrences: Occurrence[] = [];
  const oddities: Oddity[] = [];
  const skipped = new Map<string, string[]>();
  const zones = new Map<string, string>();
  for (const [i, c] of file.cutoff.entries()) {
    const zone = c.zone ?? file.zone;
    zones.set(c.name, zone);
    cutoffs.push({
      name: c.name,
      lead: seconds(c.lead_min * 60),
      match: {
        teams: c.teams,
        classes: c.classes,
        shapes: c.shapes?.map((s) => SHAPES[s]!) ?? null,
        urgencies: c.urgencies?.map((u) => URGENCY[u]) ?? null,
      },
    });
    let dates: string[] = [...c.dates].filter((d) => d >= file.from && d <= file.until);
    if (c.every !== null) {
      if (!FREQ.test(c.every))
        return Either.left(
          `cutoff.${i}.every: must say FREQ=DAILY, WEEKLY, MONTHLY or YEARLY: for several times a day write several cutoffs`,
        );
      try {
        dates.push(...recurring(c.every, file.from, file.until));
      } catch (e) {
        return Either.left(
          `cutoff.${i}.every: ${(e as Error).message}: write a recurrence by RFC 5545, like FREQ=WEEKLY;BYDAY=SU,MO`,
        );
      }
    }
    dates = [...new Set(dates)].sort();
    const moved = new Map(c.moved.map((m) => [m.date, m.to]));
    for (const d of moved.keys())
      if (!dates.includes(d))
        return Either.left(
          `cutoff.${i}.moved: ${d} is no date of it: name the date that the recurrence gives`,
        );
    const isOff = offDays(file, c);
    for (const date of dates) {
      const local = placeOf(c, date, moved.get(date), isOff);
      if (local === null) {
        const list = skipped.get(c.name);
        if (list) list.push(date);
        else skipped.set(c.name, [date]);
        continue;
      }
      let plain: Temporal.PlainDateTime;
      try {
        plain = Temporal.PlainDateTime.from(local, { overflow: 'reject' });
      } catch {
        return Either.left(`cutoff.${i}: ${local} is no local time: correct "at" or "moved"`);
      }
      const { at, kind } = instantOf(plain, zone, c.clock_change);
      const id = `${c.name}@${date}`;
      occurrences.push({ id, cutoff: i, at: microsOf(at) });
      if (kind !== null) oddities.push({ id, kind, local: plain.toString(), chosen: at.toString() });
    }
    if (occurrences.length > MOST_OCCURRENCES)
      return Either.left(
        `until: the table would hold more than ${MOST_OCCURRENCES} occurrences: choose an earlier date`,
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
  return Either.right({ calendar, oddities, skipped, zones });
};

const offDays = (file: CalendarFile, c: FileCutoff): ((date: string) => boolean) => {
  const dates = new Set<string>(c.not_on);
  const weekdays = new Set<string>();
  for (const name of c.off) {
    for (const d of file.off[name]!.dates) dates.add(d);
    for (const w of file.off[name]!.weekdays) weekdays.add(w);
  }
  return (date) => dates.has(date) || weekdays.has(WEEKDAYS[Temporal.PlainDate.from(date).dayOfWeek - 1]!);
};

/** The local date and time of the occurrence of `date`; null: it is skipped. */
const placeOf = (
  c: FileCutoff,
  date: string,
  moved: string | undefined,
  isOff: (date: string) => boolean,
): string | null => {
  if (moved !== undefined) return moved;
  let day = Temporal.PlainDate.from(date);
  if (isOff(date)) {
    if (c.on_day_off === 'skip') return null;
    const step = c.on_day_off === 'before' ? -1 : 1;
    for (let n = 0; isOff(day.toString()); n++) {
      if (n >= FARTHEST) return null;
      day = day.add({ days: step });
    }
  }
  return `${day.toString()}T${c.at}`;
};

/** An instant as people of a zone write it. */
export const localOf = (at: Micros, zone: string): string => {
  const z = Temporal.Instant.fromEpochMilliseconds(Math.floor(at / 1000)).toZonedDateTimeISO(zone);
  return `${z.toPlainDateTime().toString({ smallestUnit: 'second' })}${z.offset}`;
};
