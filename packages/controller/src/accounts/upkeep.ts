/** The accounts' part of the leader's upkeep: pages of periods that are over, and joining old ones. */
import { info } from '@lilacvalve/runtime/log';
import type { Micros } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import { ACCOUNTS, accountsKey, TERM } from '../jobs/keys.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Entry, StateFailure, Write } from '../state-store/client.js';
import { encodeAccounts } from './codec.js';
import type { Accounts } from './model.js';
import {
  dueAt,
  encodePage,
  endOf,
  joinPages,
  type Level,
  levelKey,
  type Page,
  pageKey,
  pagesOf,
} from './pages.js';
import { compactShares, joinShares, shortfalls } from './share.js';

/** The accounts as values of the store. */
export const checkpointWrites = (t: CycleContext, a: Accounts): Write[] =>
  encodeAccounts(a, t.settings.state.valueBytes * 0.9).map((value, n) => ({ set: accountsKey(n), value }));

const pageWrites = (t: CycleContext, level: Level, p: Page, to = p.to): Write[] =>
  encodePage(p, t.settings.state.valueBytes).map((value, n) => ({ set: pageKey(level, to, n), value }));

const transact = (t: CycleContext, when: readonly Condition[], then: readonly Write[]) =>
  t.store
    .transact([{ key: TERM, stamp: t.leaderTerm.stamp }, ...when], then, Priority.Upkeep, 1500)
    .pipe(Effect.zipLeft(Effect.ignore(t.watcher.refresh)));

/** Writes the page of the oldest period without one. true: there was one. */
export const writePage = (t: CycleContext): Effect.Effect<boolean, StateFailure> =>
  Effect.gen(function* () {
    const { accounts, checkpoint } = t.jobState;
    const [period, ...pending] = accounts.pending;
    if (period === undefined || t.jobState.rebuild !== null) return false;
    const { closing } = t.ledger;
    // A page of before it was written, though nothing was heard of it: who waited then stands there.
    for (const end of closing.keys()) if (end <= period.from) closing.delete(end);
    const ends = [...closing.keys()].filter((to) => to <= period.to);
    const shares = joinShares(
      ends.flatMap((to) => compactShares(closing.get(to)!.shares, Number.POSITIVE_INFINITY)),
    );
    const { from, to } = period;
    const page: Page = { from, to, booked: period.rows, open: closing.get(to)?.open ?? null, shares };
    const o = yield* transact(
      t,
      // A checkpoint of before must be the one that this state goes on from.
      [{ key: ACCOUNTS, stamp: checkpoint.stamp }],
      [...pageWrites(t, 'm', page), ...checkpointWrites(t, { ...accounts, pending })],
    );
    if (!o.ok) return true;
    for (const end of ends) closing.delete(end);
    for (const s of shortfalls(shares))
      yield* info('share owed', {
        term: t.leaderTerm.number,
        team: s.team,
        class: s.jobClass,
        waitedS: s.waited,
        entitled: s.entitled,
        had: s.had,
        reason: s.why,
      });
    return true;
  });

const JOIN_EVERY = 120e6;
/** Pages in one listing, and deletions in one transaction. */
const LISTED = 200;
const DELETED = 7;

/** Joins the oldest pages of each level that are due: first the page that holds them all, then they go. */
export const joinOld = (t: CycleContext): Effect.Effect<void, StateFailure> =>
  Effect.gen(function* () {
    const now = t.clock();
    if (now - t.ledger.joinedAt < JOIN_EVERY) return;
    t.ledger.joinedAt = now;
    // What has not come so far up yet: a page that is joined without it would be without it for good.
    let below = t.jobState.accounts.pending[0]?.to ?? Number.POSITIVE_INFINITY;
    for (const level of ['m', 'h', 'd'] as const) {
      const first = yield* t.store.page(levelKey(level), null, LISTED, Priority.Upkeep);
      const { closed } = t.jobState.accounts;
      const oldest = pagesOf(first.entries)[0];
      if (oldest === undefined) continue;
      const due = dueAt(level, oldest.page.to, closed);
      const early = due === null || below <= due.to;
      below = Math.min(below, oldest.page.to);
      if (early) continue;
      const inside = (e: Entry): boolean =>
        e.key < pageKey(level, (due.to + 1e6) as Micros) && e.key.startsWith(levelKey(level));
      const entries: Entry[] = [...first.entries];
      // A store may give fewer at once than asked for.
      for (let more = first.more; more && inside(entries[entries.length - 1]!);) {
        const next = yield* t.store.page(
          levelKey(level),
          entries[entries.length - 1]!.key,
          LISTED,
          Priority.Upkeep,
        );
        entries.push(...next.entries);
        more = next.more && next.entries.length > 0;
      }
      const there = yield* t.store.get(pageKey(due.up, due.to));
      const members = pagesOf(entries.filter(inside)).filter((x) => endOf(due.up, x.page.to) === due.to);
      if (there.entry === null) {
        const when = [{ key: pageKey(due.up, due.to), stamp: 0 }];
        const o = yield* transact(
          t,
          when,
          pageWrites(t, due.up, joinPages(members.map((m) => m.page)), due.to),
        );
        if (!o.ok) return;
      }
      const keys = members.flatMap((m) => m.keys);
      for (let i = 0; i < keys.length && t.mayAct(); i += DELETED)
        yield* transact(
          t,
          [],
          keys.slice(i, i + DELETED).map((key) => ({ delete: key })),
        );
    }
  });
