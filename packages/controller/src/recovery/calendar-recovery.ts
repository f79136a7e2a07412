/** The calendar in a rebuild: what controllers remember of the keys below `s/c/` is joined and written back. */
import { decodeCalendar, encodeCalendar, encodeTally, decodeTally, type Head } from '../calendar/codec.js';
import { type Calendars, pagesOf, type Remembered } from '../calendar/calendars.js';
import { laterTally, type Tally } from '../calendar/model.js';
import {
  decodeClassDurations,
  encodeClassDurations,
  type ClassDurations,
} from '../calendar/class-durations.js';
import { CALENDAR_HEAD, OCCURRENCE, CLASS_DURATIONS } from '../jobs/keys.js';
import type { WriteStep } from './write-steps.js';

/** Counts in one transaction. */
const TALLIES = 8;

const weight = (s: ClassDurations): number => [...s.values()].flat().reduce((n, c) => n + c, 0);

/** Of two memories: the newer calendar, the higher counts. Neither order nor repetition matters. */
export const joinCalendars = (a: Remembered, b: Remembered): Remembered => {
  const tallies = new Map<string, Tally>(a.tallies);
  for (const [id, t] of b.tallies) {
    const there = tallies.get(id);
    tallies.set(id, there === undefined ? t : laterTally(there, t));
  }
  const [older, newer] = (a.calendar?.version ?? 0) < (b.calendar?.version ?? 0) ? [a, b] : [b, a];
  return {
    calendar: newer.calendar ?? older.calendar,
    tallies,
    shown: weight(b.shown) > weight(a.shown) ? b.shown : a.shown,
  };
};

const same = (a: Tally, b: Tally | undefined): boolean =>
  JSON.stringify(encodeTally(a)) === JSON.stringify(b === undefined ? null : encodeTally(b));

/**
 * What the store lacks of it: pages first, then the head; none: nothing. `damaged`: revisions of keys that are there and
 * can't be read.
 */
export const calendarWriteSteps = (
  there: Calendars,
  best: Remembered,
  valueBytes: number,
  damaged: ReadonlyMap<string, number> = new Map(),
): WriteStep[] => {
  const stampOf = (key: string, known: number | undefined): number => damaged.get(key) ?? known ?? 0;
  const steps: WriteStep[] = [];
  const { calendar } = best;
  if (
    calendar !== null &&
    (damaged.has(CALENDAR_HEAD) || (there.head?.value.version ?? 0) < calendar.version || !there.complete)
  ) {
    const { head, pages } = pagesOf(calendar, valueBytes);
    for (const p of pages)
      steps.push({
        when: [{ key: p.key, stamp: stampOf(p.key, there.pages.get(p.key)?.revision) }],
        then: [{ set: p.key, value: p.value }],
      });
    steps.push({
      when: [{ key: CALENDAR_HEAD, stamp: stampOf(CALENDAR_HEAD, there.head?.revision) }],
      then: [{ set: CALENDAR_HEAD, value: head }],
    });
  }
  const counts = [...best.tallies].flatMap(([id, t]) => {
    const stored = there.tallies.get(id);
    const sum = stored === undefined ? t : laterTally(stored.value, t);
    if (same(sum, stored?.value)) return [];
    const key = OCCURRENCE + id;
    return [
      { when: { key, stamp: stampOf(key, stored?.revision) }, then: { set: key, value: encodeTally(sum) } },
    ];
  });
  for (let i = 0; i < counts.length; i += TALLIES) {
    const part = counts.slice(i, i + TALLIES);
    steps.push({ when: part.map((c) => c.when), then: part.map((c) => c.then) });
  }
  if (there.classDurations === null && best.shown.size > 0)
    steps.push({
      when: [{ key: CLASS_DURATIONS, stamp: stampOf(CLASS_DURATIONS, undefined) }],
      then: [{ set: CLASS_DURATIONS, value: encodeClassDurations(best.shown) }],
    });
  return steps;
};

export type WireRemembered = readonly [
  calendar: readonly [head: Head, pages: readonly unknown[]] | null,
  tallies: readonly (readonly [string, unknown])[],
  shown: unknown,
];
export const encodeRemembered = (r: Remembered): WireRemembered => {
  const paged = r.calendar === null ? null : encodeCalendar(r.calendar, Number.POSITIVE_INFINITY);
  return [
    paged === null ? null : [paged.head, paged.pages.map((p) => p.value)],
    [...r.tallies].map(([id, t]) => [id, encodeTally(t)]),
    encodeClassDurations(r.shown),
  ];
};
/** null: nothing that can be read. */
export const decodeRemembered = (wire: unknown): Remembered | null => {
  if (!Array.isArray(wire)) return null;
  const [calendar, tallies, shown] = wire as unknown as WireRemembered;
  return {
    calendar: calendar === null ? null : decodeCalendar(calendar[0], calendar[1]),
    tallies: new Map(tallies.map(([id, t]) => [id, decodeTally(t)])),
    shown: decodeClassDurations(shown),
  };
};
