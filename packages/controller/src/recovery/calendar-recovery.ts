/**
 * Recovers the calendar in a rebuild. Merges what the controllers remember of the keys below `s/c/` (the calendar's head and
 * pages, the outcome counts of its occurrences, the durations by job class) and plans the transactions that write it back.
 */
import {
  decodeCalendar,
  encodeCalendar,
  encodeOutcomeCounts,
  decodeOutcomeCounts,
  type CalendarHead,
} from '../calendar/codec.js';
import { type Calendars, paginateCalendar, type RememberedCalendar } from '../calendar/calendars.js';
import { mergeOutcomeCounts, type OutcomeCounts } from '../calendar/model.js';
import {
  decodeClassDurations,
  encodeClassDurations,
  type ClassDurations,
} from '../calendar/class-durations.js';
import { CALENDAR_HEAD, OCCURRENCE, CLASS_DURATIONS } from '../jobs/keys.js';
import type { WriteStep } from './write-steps.js';

/** Maximum outcome counts written in one transaction. */
const MAX_COUNTS_PER_STEP = 8;

const sampleCount = (durations: ClassDurations): number =>
  [...durations.values()].flat().reduce((sum, count) => sum + count, 0);

/**
 * Merges what two controllers remember: the newer calendar, the higher outcome counts, and the class durations with more
 * samples. The merge is commutative and idempotent.
 */
export const mergeCalendars = (a: RememberedCalendar, b: RememberedCalendar): RememberedCalendar => {
  const outcomeCounts = new Map<string, OutcomeCounts>(a.outcomeCounts);
  for (const [id, counts] of b.outcomeCounts) {
    const known = outcomeCounts.get(id);
    outcomeCounts.set(id, known === undefined ? counts : mergeOutcomeCounts(known, counts));
  }
  const [older, newer] = (a.calendar?.version ?? 0) < (b.calendar?.version ?? 0) ? [a, b] : [b, a];
  return {
    calendar: newer.calendar ?? older.calendar,
    outcomeCounts,
    classDurations:
      sampleCount(b.classDurations) > sampleCount(a.classDurations) ? b.classDurations : a.classDurations,
  };
};

const areEqual = (a: OutcomeCounts, b: OutcomeCounts | undefined): boolean =>
  JSON.stringify(encodeOutcomeCounts(a)) === JSON.stringify(b === undefined ? null : encodeOutcomeCounts(b));

/**
 * Returns the transactions that write what the store lacks of `remembered`; none if the store lacks nothing. The calendar's
 * pages are written before the head that refers to them. `damaged`: revisions of the stored keys whose values can't be
 * decoded.
 */
export const calendarWriteSteps = (
  stored: Calendars,
  remembered: RememberedCalendar,
  valueBytes: number,
  damaged: ReadonlyMap<string, number> = new Map(),
): WriteStep[] => {
  const revisionOf = (key: string, known: number | undefined): number => damaged.get(key) ?? known ?? 0;
  const steps: WriteStep[] = [];
  const { calendar } = remembered;
  if (
    calendar !== null &&
    (damaged.has(CALENDAR_HEAD) || (stored.head?.value.version ?? 0) < calendar.version || !stored.complete)
  ) {
    const { head, pages } = paginateCalendar(calendar, valueBytes);
    for (const page of pages)
      steps.push({
        when: [{ key: page.key, revision: revisionOf(page.key, stored.pages.get(page.key)?.revision) }],
        then: [{ set: page.key, value: page.value }],
      });
    steps.push({
      when: [{ key: CALENDAR_HEAD, revision: revisionOf(CALENDAR_HEAD, stored.head?.revision) }],
      then: [{ set: CALENDAR_HEAD, value: head }],
    });
  }
  const updates = [...remembered.outcomeCounts].flatMap(([id, counts]) => {
    const storedCounts = stored.outcomeCounts.get(id);
    const merged = storedCounts === undefined ? counts : mergeOutcomeCounts(storedCounts.value, counts);
    if (areEqual(merged, storedCounts?.value)) return [];
    const key = OCCURRENCE + id;
    return [
      {
        when: { key, revision: revisionOf(key, storedCounts?.revision) },
        then: { set: key, value: encodeOutcomeCounts(merged) },
      },
    ];
  });
  for (let i = 0; i < updates.length; i += MAX_COUNTS_PER_STEP) {
    const group = updates.slice(i, i + MAX_COUNTS_PER_STEP);
    steps.push({ when: group.map((update) => update.when), then: group.map((update) => update.then) });
  }
  if (stored.classDurations === null && remembered.classDurations.size > 0)
    steps.push({
      when: [{ key: CLASS_DURATIONS, revision: revisionOf(CLASS_DURATIONS, undefined) }],
      then: [{ set: CLASS_DURATIONS, value: encodeClassDurations(remembered.classDurations, valueBytes) }],
    });
  return steps;
};

/** The form in which controllers send each other what they remember of the calendar. */
export type WireRemembered = readonly [
  calendar: readonly [head: CalendarHead, pages: readonly unknown[]] | null,
  tallies: readonly (readonly [string, unknown])[],
  shown: unknown,
];
export const encodeRemembered = (remembered: RememberedCalendar): WireRemembered => {
  const paged =
    remembered.calendar === null ? null : encodeCalendar(remembered.calendar, Number.POSITIVE_INFINITY);
  return [
    paged === null ? null : [paged.head, paged.pages.map((page) => page.value)],
    [...remembered.outcomeCounts].map(([id, counts]) => [id, encodeOutcomeCounts(counts)]),
    encodeClassDurations(remembered.classDurations),
  ];
};
/** Decodes what `encodeRemembered` returned; null for anything that is not an array. */
export const decodeRemembered = (wire: unknown): RememberedCalendar | null => {
  if (!Array.isArray(wire)) return null;
  const [calendar, tallies, shown] = wire as unknown as WireRemembered;
  return {
    calendar: calendar === null ? null : decodeCalendar(calendar[0], calendar[1]),
    outcomeCounts: new Map(tallies.map(([id, counts]) => [id, decodeOutcomeCounts(counts)])),
    classDurations: decodeClassDurations(shown),
  };
};
