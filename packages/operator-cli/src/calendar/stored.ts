/** The calendar in the shared state, and what another one would change of it. */
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { decodeCalendar, type CalendarHead } from '@lilacvalve/controller/calendar/codec';
import type { Calendar } from '@lilacvalve/controller/calendar/model';
import { listAll, readHead } from '@lilacvalve/controller/calendar/publish';
import { CALENDAR_PAGE } from '@lilacvalve/controller/jobs/keys';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import type { Store } from '../io.js';

/** The head in the shared state with its calendar; null: its pages are not there as the head says. */
export interface StoredCalendar {
  readonly head: CalendarHead;
  readonly calendar: Calendar | null;
}

/** The calendar in the shared state; null: none. */
export const storedCalendar = (store: Store): Effect.Effect<StoredCalendar | null, StateFailure> =>
  Effect.gen(function* () {
    const found = yield* readHead(store);
    if (found === null) return null;
    const { head } = found;
    const pages = new Map((yield* listAll(store, CALENDAR_PAGE)).map(({ key, value }) => [key, value]));
    const calendar = decodeCalendar(
      head,
      head.pages.map((key) => pages.get(key)),
    );
    return { head, calendar };
  });

/** An occurrence that comes (`before` null), goes (`after` null) or moves; printed as it is by `--output json`. */
export interface OccurrenceDifference {
  readonly id: string;
  readonly before: Micros | null;
  readonly after: Micros | null;
}

const instantOf = ({ before, after }: OccurrenceDifference): number => after ?? before ?? 0;

/** Occurrences that come, go or move from one calendar to another, by their instants. */
export const occurrenceDifferences = (before: Calendar | null, after: Calendar): OccurrenceDifference[] => {
  const differences: OccurrenceDifference[] = [];
  for (const { id, at } of after.occurrences) {
    const former = before?.byId.get(id)?.at ?? null;
    if (former !== at) differences.push({ id, before: former, after: at });
  }
  for (const { id, at } of before?.occurrences ?? [])
    if (!after.byId.has(id)) differences.push({ id, before: at, after: null });
  return differences.sort((a, b) => instantOf(a) - instantOf(b) || (a.id < b.id ? -1 : 1));
};
