/**
 * Stores a calendar in the state service, for the operators' command: the pages first, then one conditional change of the
 * head. If the command ends between two steps, controllers use either the previous or the new calendar. Pages that are left
 * behind are named by no head, and the next `calendar apply` deletes them.
 */
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { CALENDAR_HEAD, CALENDAR_PAGE, INCARNATION, OCCURRENCE, REBUILD } from '../jobs/keys.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Entry, StateFailure, Write } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import { decodeCalendar, decodeHead, type CalendarHead, type PagedCalendar } from './codec.js';
import { paginateCalendar } from './calendars.js';
import { type Calendar, makeCalendar } from './model.js';
import { CONDITIONS_PER_OP, jsonBytes } from '../state-store/transaction-limits.js';

export type CalendarStore = Pick<StatePort, 'get' | 'page' | 'transact'>;
export interface StoreLimits {
  readonly valueBytes: number;
  readonly txnOps: number;
}
export type PublishResult =
  | { readonly ok: true; readonly version: number; readonly pages: number; readonly already: boolean }
  | { readonly ok: false; readonly reason: string };

const TIMEOUT_MS = 3000;
/** Conditions besides those on the pages: the incarnation, the head, and a margin. */
const OTHER_CONDITIONS = 4;

/** Returns all entries below a prefix. */
export const listAll = (
  store: Pick<StatePort, 'page'>,
  prefix: string,
): Effect.Effect<Entry[], StateFailure> =>
  Effect.gen(function* () {
    const out: Entry[] = [];
    for (;;) {
      const listing = yield* store.page(prefix, out[out.length - 1]?.key ?? null, 500);
      out.push(...listing.entries);
      if (!listing.more || listing.entries.length === 0) return out;
    }
  });

/**
 * Returns the condition that the store still has its present incarnation, so that a delayed transaction is refused by a
 * later one. Returns null if the store has no incarnation or is being rebuilt.
 */
const incarnationCondition = (store: CalendarStore): Effect.Effect<Condition[] | null, StateFailure> =>
  Effect.gen(function* () {
    const list = yield* listAll(store, INCARNATION);
    const generationOf = (entry: Entry): number => (entry.value as { g?: number } | null)?.g ?? 0;
    const last = list.reduce<Entry | null>(
      (a, b) => (a === null || generationOf(b) > generationOf(a) ? b : a),
      null,
    );
    const { entry: rebuild } = yield* store.get(REBUILD);
    const phase = (rebuild?.value as { phase?: string } | undefined)?.phase;
    if (last === null || (rebuild !== null && phase !== 'wait')) return null;
    return [{ key: last.key, revision: last.revision }];
  });

/** Returns the stored head with its revision, or null if there is none. */
export const readHead = (
  store: CalendarStore,
): Effect.Effect<{ head: CalendarHead; revision: number } | null, StateFailure> =>
  Effect.map(store.get(CALENDAR_HEAD), ({ entry }) =>
    entry === null ? null : { head: decodeHead(entry.value), revision: entry.revision },
  );

const sameJson = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

/** Whether all pages of a head are stored and have its digest. They may not be after a data loss that was not fully repaired. */
const isComplete = (store: CalendarStore, head: CalendarHead): Effect.Effect<boolean, StateFailure> =>
  Effect.map(listAll(store, CALENDAR_PAGE), (list) => {
    const pages = new Map(list.map((page) => [page.key, page.value]));
    const values = head.pages.map((key) => pages.get(key));
    return decodeCalendar(head, values) !== null;
  });

/** Stores a page unless it is stored already. Returns its revision, or null if the key holds another value or the write was refused. */
const putPage = (
  store: CalendarStore,
  base: readonly Condition[],
  page: PagedCalendar['pages'][number],
): Effect.Effect<number | null, StateFailure> =>
  Effect.gen(function* () {
    const set = { set: page.key, value: page.value };
    const outcome = yield* store.transact(
      [...base, { key: page.key, revision: 0 }],
      [set],
      Priority.Commit,
      TIMEOUT_MS,
    );
    if (outcome.ok) return outcome.revision;
    const { entry } = yield* store.get(page.key);
    return entry !== null && sameJson(entry.value, page.value) ? entry.revision : null;
  });

/**
 * Stores a calendar and switches controllers to it. `expected`: the version that must be stored now (0: none), or the change
 * is refused; null: any older version. After a failure without a response it is not known whether the calendar was switched:
 * repeating the call with the same calendar is safe and returns the outcome.
 */
export const publishCalendar = (
  store: CalendarStore,
  limits: StoreLimits,
  calendar: Calendar,
  expected: number | null = null,
): Effect.Effect<PublishResult, StateFailure> =>
  Effect.gen(function* () {
    const refuse = (reason: string): PublishResult => ({ ok: false, reason });
    const { head, pages } = paginateCalendar(calendar, limits.valueBytes);
    // The transaction that changes the head has one condition per page, so the number of its conditions bounds the pages.
    const maxPages = limits.txnOps * CONDITIONS_PER_OP - OTHER_CONDITIONS;
    if (pages.length > maxPages)
      return refuse(
        `calendar too large: ${pages.length} pages, but one transaction can switch to at most ${maxPages}`,
      );
    for (const value of [head, ...pages.map((page) => page.value)])
      if (jsonBytes(value) > limits.valueBytes)
        return refuse(
          `calendar too large: a value of ${jsonBytes(value)} bytes, but one may have at most ${limits.valueBytes}: shorten the cutoffs' lists of teams and classes`,
        );
    const base = yield* incarnationCondition(store);
    if (base === null)
      return refuse('the state service has just begun or is being rebuilt: try again in a minute');
    const stored = yield* readHead(store);
    const version = stored?.head.version ?? 0;
    const again = stored !== null && version === head.version && stored.head.digest === head.digest;
    if (again && (yield* isComplete(store, stored.head)))
      return { ok: true, version, pages: pages.length, already: true };
    if (expected !== null && version !== expected)
      return refuse(`the stored version is ${version}, not ${expected} as expected: another user applied it`);
    if (version === head.version && !again)
      return refuse(`version ${version} is already stored with other content: raise "version" in the file`);
    if (version > head.version)
      return refuse(
        `the stored version ${version} is newer than ${head.version}: raise "version" in the file`,
      );
    yield* clean(store, limits, base, stored, new Set(head.pages));
    const stamps: Condition[] = [];
    for (const page of pages) {
      const revision = yield* putPage(store, base, page);
      if (revision === null)
        return refuse(
          `page ${page.key} is already stored with other content, or the state service lost data`,
        );
      stamps.push({ key: page.key, revision });
    }
    const outcome = yield* store.transact(
      [...base, { key: CALENDAR_HEAD, revision: stored?.revision ?? 0 }, ...stamps],
      [{ set: CALENDAR_HEAD, value: head }],
      Priority.Commit,
      TIMEOUT_MS,
    );
    if (outcome.ok) return { ok: true, version: head.version, pages: pages.length, already: false };
    const now = yield* readHead(store);
    // Either an earlier attempt of this command succeeded and its response was lost, or another user applied the same file.
    if (now?.head.digest === head.digest)
      return { ok: true, version: head.version, pages: pages.length, already: true };
    return refuse(
      now !== null && now.revision !== stored?.revision
        ? `another user applied version ${now.head.version} at the same time: theirs holds`
        : 'the store changed meanwhile: try again',
    );
  });

/**
 * Takes the calendar out of use: stores an empty one with a higher version, so that no older file can be applied by mistake.
 * Jobs keep their cutoff bindings, but are scheduled by their own `dueS`.
 */
export const publishRetirement = (
  store: CalendarStore,
  limits: StoreLimits,
  version: number,
  until: Micros,
): Effect.Effect<PublishResult, StateFailure> =>
  publishCalendar(store, limits, makeCalendar({ version, until, notice: 0 as Micros, cutoffs: [] }, []));

/**
 * Deletes the pages that neither the stored head (`stored`) nor the new calendar (`mine`) names, and the outcome counts of
 * occurrences that are not in the stored head's pages.
 */
const clean = (
  store: CalendarStore,
  limits: StoreLimits,
  base: readonly Condition[],
  stored: { readonly head: CalendarHead; readonly revision: number } | null,
  mine: ReadonlySet<string>,
): Effect.Effect<void, StateFailure> =>
  Effect.gen(function* () {
    const kept = new Set([...(stored?.head.pages ?? []), ...mine]);
    const pages = yield* listAll(store, CALENDAR_PAGE);
    const occurrenceIds = new Set<string>();
    const cutoffNames: string[] = [];
    const values = new Map(pages.map((page) => [page.key, page.value]));
    for (const key of stored?.head.pages ?? [])
      for (const item of (values.get(key) as [string | number, string][] | undefined) ?? []) {
        if (typeof item[0] === 'string') cutoffNames.push(item[0]);
        else occurrenceIds.add(`${cutoffNames[item[0]]}@${item[1]}`);
      }
    const counts = cutoffNames.length === 0 ? [] : yield* listAll(store, OCCURRENCE);
    const obsolete = [
      ...pages.filter((page) => !kept.has(page.key)),
      ...counts.filter((entry) => !occurrenceIds.has(entry.key.slice(OCCURRENCE.length))),
    ];
    for (let i = 0; i < obsolete.length; i += Math.min(8, limits.txnOps)) {
      const batch = obsolete.slice(i, i + Math.min(8, limits.txnOps));
      const then: Write[] = batch.map((entry) => ({ delete: entry.key }));
      // Refused if the head has changed meanwhile: the new head may name the pages that are to be deleted.
      const when = [
        ...base,
        { key: CALENDAR_HEAD, revision: stored?.revision ?? 0 },
        ...batch.map((entry) => ({ key: entry.key, revision: entry.revision })),
      ];
      const outcome = yield* store.transact(when, then, Priority.Upkeep, TIMEOUT_MS);
      if (!outcome.ok) return;
    }
  });
