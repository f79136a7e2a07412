/**
 * Puts a calendar into the shared state, for the operators' command: pages first, then one conditional change of the head.
 * Whatever step it ends at, controllers use either the calendar before or the new one; what is left behind is named
 * by no head and is deleted by the next one who applies.
 */
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { CALENDAR_HEAD, CALENDAR_PAGE, INCARNATION, OCCURRENCE, REBUILD } from '../jobs/keys.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Entry, StateFailure, Write } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import { decodeCalendar, decodeHead, type Head, type PagedCalendar } from './codec.js';
import { pagesOf } from './calendars.js';
import { type Calendar, makeCalendar } from './model.js';

export type Store = Pick<StatePort, 'get' | 'page' | 'transact'>;
export interface Limits {
  readonly valueBytes: number;
  readonly txnOps: number;
}
export type Published =
  | { readonly ok: true; readonly version: number; readonly pages: number; readonly already: boolean }
  | { readonly ok: false; readonly reason: string };

const TIMEOUT_MS = 3000;

export const listAll = (
  store: Pick<StatePort, 'page'>,
  prefix: string,
): Effect.Effect<Entry[], StateFailure> =>
  Effect.gen(function* () {
    const out: Entry[] = [];
    for (;;) {
      const p = yield* store.page(prefix, out[out.length - 1]?.key ?? null, 500);
      out.push(...p.entries);
      if (!p.more || p.entries.length === 0) return out;
    }
  });

/** The store's incarnation as a condition: a late change never lands in a later one. null: it has none, or is being rebuilt. */
const standing = (store: Store): Effect.Effect<Condition[] | null, StateFailure> =>
  Effect.gen(function* () {
    const list = yield* listAll(store, INCARNATION);
    const g = (e: Entry): number => (e.value as { g?: number } | null)?.g ?? 0;
    const last = list.reduce<Entry | null>((a, b) => (a === null || g(b) > g(a) ? b : a), null);
    const { entry: rebuild } = yield* store.get(REBUILD);
    const phase = (rebuild?.value as { phase?: string } | undefined)?.phase;
    if (last === null || (rebuild !== null && phase !== 'wait')) return null;
    return [{ key: last.key, stamp: last.stamp }];
  });

/** The head there is; null: none. */
export const readHead = (store: Store): Effect.Effect<{ head: Head; stamp: number } | null, StateFailure> =>
  Effect.map(store.get(CALENDAR_HEAD), ({ entry }) =>
    entry === null ? null : { head: decodeHead(entry.value), stamp: entry.stamp },
  );

const same = (a: unknown, b: unknown): boolean => JSON.stringify(a) === JSON.stringify(b);

/** Its pages are there, and are what it stands for: not after a loss that nobody could make good. */
const isWhole = (store: Store, head: Head): Effect.Effect<boolean, StateFailure> =>
  Effect.map(listAll(store, CALENDAR_PAGE), (list) => {
    const pages = new Map(list.map((p) => [p.key, p.value]));
    const values = head.pages.map((k) => pages.get(k));
    return decodeCalendar(head, values) !== null;
  });

/** Sets one page unless it is there already with this content. Its stamp; null: something else is there. */
const putPage = (
  store: Store,
  base: readonly Condition[],
  page: PagedCalendar['pages'][number],
): Effect.Effect<number | null, StateFailure> =>
  Effect.gen(function* () {
    const set = { set: page.key, value: page.value };
    const o = yield* store.transact(
      [...base, { key: page.key, stamp: 0 }],
      [set],
      Priority.Commit,
      TIMEOUT_MS,
    );
    if (o.ok) return o.revision;
    const { entry } = yield* store.get(page.key);
    return entry !== null && same(entry.value, page.value) ? entry.stamp : null;
  });

/**
 * `expected`: refuse unless this version is there now (0: none); null: any older one. A failure (no answer) leaves it open
 * whether the calendar was switched: asking again with the same calendar is safe and says so.
 */
export const publish = (
  store: Store,
  limits: Limits,
  calendar: Calendar,
  expected: number | null = null,
): Effect.Effect<Published, StateFailure> =>
  Effect.gen(function* () {
    const refuse = (reason: string): Published => ({ ok: false, reason });
    const { head, pages } = pagesOf(calendar, limits.valueBytes);
    // The head names its pages, and is switched on the condition that each is there.
    if (pages.length > limits.txnOps * 4 - 4)
      return refuse(`too large: ${pages.length} pages, at most ${limits.txnOps * 4 - 4} fit one change`);
    const base = yield* standing(store);
    if (base === null)
      return refuse('the state service has just begun or is being rebuilt: try again in a minute');
    const there = yield* readHead(store);
    const version = there?.head.version ?? 0;
    const again = there !== null && version === head.version && there.head.digest === head.digest;
    if (again && (yield* isWhole(store, there.head)))
      return { ok: true, version, pages: pages.length, already: true };
    if (expected !== null && version !== expected)
      return refuse(`version ${version} is there, not ${expected}: somebody else has applied one`);
    if (version === head.version && !again)
      return refuse(`version ${version} is there with other content: raise "version" in the file`);
    if (version > head.version)
      return refuse(`version ${version} is there, newer than ${head.version}: raise "version" in the file`);
    yield* clean(store, limits, base, there, new Set(head.pages));
    const stamps: Condition[] = [];
    for (const p of pages) {
      const stamp = yield* putPage(store, base, p);
      if (stamp === null) return refuse(`page ${p.key} is there with other content, or the store was lost`);
      stamps.push({ key: p.key, stamp });
    }
    const o = yield* store.transact(
      [...base, { key: CALENDAR_HEAD, stamp: there?.stamp ?? 0 }, ...stamps],
      [{ set: CALENDAR_HEAD, value: head }],
      Priority.Commit,
      TIMEOUT_MS,
    );
    if (o.ok) return { ok: true, version: head.version, pages: pages.length, already: false };
    const now = yield* readHead(store);
    // Its own first try, whose answer was lost, or another who applied the very same.
    if (now?.head.digest === head.digest)
      return { ok: true, version: head.version, pages: pages.length, already: true };
    return refuse(
      now !== null && now.stamp !== there?.stamp
        ? `somebody else applied version ${now.head.version} at the same time: theirs holds`
        : 'the store changed meanwhile: try again',
    );
  });

/**
 * Takes the calendar out of use: an empty one with a higher version, so that no older file can be applied by mistake.
 * Tied jobs keep their ties and go by their own `dueS`.
 */
export const retire = (
  store: Store,
  limits: Limits,
  version: number,
  until: Micros,
): Effect.Effect<Published, StateFailure> =>
  publish(store, limits, makeCalendar({ version, until, notice: 0 as Micros, cutoffs: [] }, []));

/** Deletes pages that neither the head nor this apply names, and counts of occurrences that the head's pages don't name. */
const clean = (
  store: Store,
  limits: Limits,
  base: readonly Condition[],
  there: { readonly head: Head; readonly stamp: number } | null,
  mine: ReadonlySet<string>,
): Effect.Effect<void, StateFailure> =>
  Effect.gen(function* () {
    const kept = new Set([...(there?.head.pages ?? []), ...mine]);
    const pages = yield* listAll(store, CALENDAR_PAGE);
    const dates = new Set<string>();
    const names: string[] = [];
    const values = new Map(pages.map((p) => [p.key, p.value]));
    for (const key of there?.head.pages ?? [])
      for (const item of (values.get(key) as [string | number, string][] | undefined) ?? []) {
        if (typeof item[0] === 'string') names.push(item[0]);
        else dates.add(`${names[item[0]]}@${item[1]}`);
      }
    const counts = names.length === 0 ? [] : yield* listAll(store, OCCURRENCE);
    const old = [
      ...pages.filter((p) => !kept.has(p.key)),
      ...counts.filter((c) => !dates.has(c.key.slice(OCCURRENCE.length))),
    ];
    for (let i = 0; i < old.length; i += Math.min(8, limits.txnOps)) {
      const part = old.slice(i, i + Math.min(8, limits.txnOps));
      const then: Write[] = part.map((e) => ({ delete: e.key }));
      // Not if the head has been switched meanwhile: to these, perhaps.
      const when = [
        ...base,
        { key: CALENDAR_HEAD, stamp: there?.stamp ?? 0 },
        ...part.map((e) => ({ key: e.key, stamp: e.stamp })),
      ];
      const o = yield* store.transact(when, then, Priority.Upkeep, TIMEOUT_MS);
      if (!o.ok) return;
    }
  });
