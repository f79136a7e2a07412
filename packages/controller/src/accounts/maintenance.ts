/** The leader's maintenance of the accounts: writes the pages of closed periods and joins old pages. */
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
  nextMerge,
  encodePage,
  periodEnd,
  joinPages,
  type Level,
  levelKey,
  type Page,
  pageKey,
  parsePages,
} from './pages.js';
import { compactShares, joinShares, shortfalls } from './share.js';

/** Returns the writes that store the accounts' checkpoint. */
export const checkpointWrites = (context: CycleContext, accounts: Accounts): Write[] =>
  encodeAccounts(accounts, context.settings.state.valueBytes * 0.9).map((value, n) => ({
    set: accountsKey(n),
    value,
  }));

const pageWrites = (context: CycleContext, level: Level, page: Page, to = page.to): Write[] =>
  encodePage(page, context.settings.state.valueBytes).map((value, n) => ({
    set: pageKey(level, to, n),
    value,
  }));

/** Runs a transaction on the condition that this leader's term is still current, and then refreshes the store watcher. */
const transact = (context: CycleContext, when: readonly Condition[], then: readonly Write[]) =>
  context.store
    .transact([{ key: TERM, revision: context.leaderTerm.revision }, ...when], then, Priority.Upkeep, 1500)
    .pipe(Effect.zipLeft(Effect.ignore(context.watcher.refresh)));

/** Writes the page of the oldest period that has none. Returns whether there was such a period. */
export const writePage = (context: CycleContext): Effect.Effect<boolean, StateFailure> =>
  Effect.gen(function* () {
    const { accounts, checkpoint } = context.jobState;
    const [period, ...pending] = accounts.pending;
    if (period === undefined || context.jobState.rebuild !== null) return false;
    const { closing } = context.ledger;
    // Shares of earlier periods: their page was written by a transaction whose response was lost, and contains them.
    for (const end of closing.keys()) if (end <= period.from) closing.delete(end);
    const ends = [...closing.keys()].filter((to) => to <= period.to);
    const shares = joinShares(
      ends.flatMap((to) => compactShares(closing.get(to)!.shares, Number.POSITIVE_INFINITY)),
    );
    const { from, to } = period;
    const page: Page = { from, to, booked: period.rows, open: closing.get(to)?.open ?? null, shares };
    const outcome = yield* transact(
      context,
      // The stored checkpoint must be the one from which this controller's accounts continue.
      [{ key: ACCOUNTS, revision: checkpoint.revision }],
      [...pageWrites(context, 'm', page), ...checkpointWrites(context, { ...accounts, pending })],
    );
    if (!outcome.ok) return true;
    for (const end of ends) closing.delete(end);
    for (const shortfall of shortfalls(shares))
      yield* info('share owed', {
        term: context.leaderTerm.number,
        team: shortfall.team,
        class: shortfall.jobClass,
        waitedS: shortfall.waited,
        entitled: shortfall.entitled,
        had: shortfall.had,
        reason: shortfall.why,
      });
    return true;
  });

/** Minimum interval between two searches for pages to join, in microseconds. */
const JOIN_INTERVAL = 120e6;
/** Maximum number of entries in one listing of pages. */
const LISTING_SIZE = 200;
/** Maximum number of deletions in one transaction. */
const DELETIONS_PER_TRANSACTION = 7;

/** Joins the oldest due pages of each level: writes the page that contains them all, then deletes them. */
export const joinOldPages = (context: CycleContext): Effect.Effect<void, StateFailure> =>
  Effect.gen(function* () {
    const now = context.clock();
    if (now - context.ledger.joinedAt < JOIN_INTERVAL) return;
    context.ledger.joinedAt = now;
    // End of the oldest pending period or page that is still to be joined into this level. A page that was joined without
    // it would never include it.
    let oldestBelow = context.jobState.accounts.pending[0]?.to ?? Number.POSITIVE_INFINITY;
    for (const level of ['m', 'h', 'd'] as const) {
      const first = yield* context.store.page(levelKey(level), null, LISTING_SIZE, Priority.Upkeep);
      const { closed } = context.jobState.accounts;
      const oldest = parsePages(first.entries)[0];
      if (oldest === undefined) continue;
      const due = nextMerge(level, oldest.page.to, closed);
      const early = due === null || oldestBelow <= due.to;
      oldestBelow = Math.min(oldestBelow, oldest.page.to);
      if (early) continue;
      const inside = (entry: Entry): boolean =>
        entry.key < pageKey(level, (due.to + 1e6) as Micros) && entry.key.startsWith(levelKey(level));
      const entries: Entry[] = [...first.entries];
      // A store may return fewer entries per listing than requested.
      for (let more = first.more; more && inside(entries[entries.length - 1]!);) {
        const next = yield* context.store.page(
          levelKey(level),
          entries[entries.length - 1]!.key,
          LISTING_SIZE,
          Priority.Upkeep,
        );
        entries.push(...next.entries);
        more = next.more && next.entries.length > 0;
      }
      const joined = yield* context.store.get(pageKey(due.up, due.to));
      const members = parsePages(entries.filter(inside)).filter(
        (member) => periodEnd(due.up, member.page.to) === due.to,
      );
      if (joined.entry === null) {
        const when = [{ key: pageKey(due.up, due.to), revision: 0 }];
        const outcome = yield* transact(
          context,
          when,
          pageWrites(context, due.up, joinPages(members.map((member) => member.page)), due.to),
        );
        if (!outcome.ok) return;
      }
      const keys = members.flatMap((member) => member.keys);
      for (let i = 0; i < keys.length && context.mayAct(); i += DELETIONS_PER_TRANSACTION)
        yield* transact(
          context,
          [],
          keys.slice(i, i + DELETIONS_PER_TRANSACTION).map((key) => ({ delete: key })),
        );
    }
  });
