/** Reads the calendar in the shared state and compares it with another one. */
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { decodeCalendar, type CalendarHead } from '@lilacvalve/controller/calendar/codec';
import type { Calendar } from '@lilacvalve/controller/calendar/model';
import { listAll, readHead } from '@lilacvalve/controller/calendar/publish';
import { CALENDAR_PAGE } from '@lilacvalve/controller/jobs/keys';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import type { Store } from '../io.js';

/** The stored head and its calendar. `calendar` null: pages that the head lists are missing or damaged. */
export interface StoredCalendar {
  readonly head: CalendarHead;
  readonly calendar: Calendar | null;
}

/** Reads the calendar in the shared state; null: none is stored. */
export const storedCalendar = (store: Store): Effect.Effect<StoredCalendar | null, StateFailure> =>
  Effect.gen(function* () {
    const stored = yield* readHead(store);
    if (stored === null) return null;
    const { head } = stored;
    const pages = new Map((yield* listAll(store, CALENDAR_PAGE)).map(({ key, value }) => [key, value]));
    const calendar = decodeCalendar(
      head,
      head.pages.map((key) => pages.get(key)),
    );
    return { head, calendar };
  });

/**
 * An occurrence that is added (`before` null), removed (`after` null) or moved. `--output json` prints it unchanged.
 */
export interface OccurrenceDifference {
  readonly id: string;
  readonly before: Micros | null;
  readonly after: Micros | null;
}

const instantOf = ({ before, after }: OccurrenceDifference): number => after ?? before ?? 0;

/** Returns the occurrences that are added, removed or moved between two calendars, ordered by time. */
export const occurrenceDifferences = (before: Calendar | null, after: Calendar): OccurrenceDifference[] => {
  const differences: OccurrenceDifference[] = [];
  for (const { id, at } of after.occurrences) {
    const previous = before?.byId.get(id)?.at ?? null;
    if (previous !== at) differences.push({ id, before: previous, after: at });
  }
  for (const { id, at } of before?.occurrences ?? [])
    if (!after.byId.has(id)) differences.push({ id, before: at, after: null });
  return differences.sort((a, b) => instantOf(a) - instantOf(b) || (a.id < b.id ? -1 : 1));
};
