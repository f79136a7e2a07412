/** Reads the accounts, with their pages and the placements still open, from the shared state or from a snapshot. */
import { DiskFiles } from '@lilacvalve/snapshot/files';
import { loadSnapshot } from '@lilacvalve/snapshot/read';
import { openPlacementsAt } from '@lilacvalve/controller/accounts/ledger';
import { joinRows, subtractRows } from '@lilacvalve/controller/accounts/aggregate';
import type { Accounts, AmountsByGroup } from '@lilacvalve/controller/accounts/model';
import { type Page, PAGE_PREFIX, parsePages } from '@lilacvalve/controller/accounts/pages';
import { listAll } from '@lilacvalve/controller/calendar/publish';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import {
  ACCOUNTS,
  ACTIVE_JOBS,
  STORE_STATUS,
  JOB_BUNDLES,
  LOG_ENTRIES,
  ROOT,
  TERM,
} from '@lilacvalve/controller/jobs/keys';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import { Effect } from 'effect';
import { InvalidInput, type Store } from '../io.js';

/** A consistent view of the accounts and of the data from which their sums are computed. */
export interface AccountsView {
  readonly accounts: Accounts;
  /** Pages of closed periods, ordered by time. No page's period lies within that of another. */
  readonly pages: readonly Page[];
  /** Usage of tasks that are placed now, from their start to the last log entry. */
  readonly open: AmountsByGroup;
  /** Number of placements whose start time is unknown. */
  readonly unknownAgeCount: number;
  /** Usage that is booked but neither on a page nor waiting for one: its pages are lost or damaged. */
  readonly undated: AmountsByGroup;
}

interface StateEntry {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}

/** Returns the pages whose period lies within no other page's period. Of pages with equal periods, returns the first. */
const outermostPages = (all: readonly Page[]): Page[] =>
  all.filter(
    (page, i) =>
      !all.some((other, j) => {
        if (i === j || other.from > page.from || other.to < page.to) return false;
        const excess = other.to - other.from - (page.to - page.from);
        return excess > 0 || (excess === 0 && j < i);
      }),
  );

/** Builds the view from a job state and from store entries that include the pages. */
export const accountsView = (jobState: JobState, entries: Iterable<StateEntry>): AccountsView => {
  const { accounts } = jobState;
  // A page may cover a period that the accounts still hold as pending or current. It was written before a data loss that
  // reset the accounts to an earlier point, and is ignored.
  const pagedUntil = accounts.pending[0]?.from ?? accounts.closed;
  const pages = outermostPages(
    parsePages(entries)
      .map((parsed) => parsed.page)
      .filter((page) => page.to <= pagedUntil),
  );
  const dated = joinRows(accounts.current, ...accounts.pending.map((period) => period.rows), ...pages.map((page) => page.booked)); // prettier-ignore
  let unknownAgeCount = 0;
  for (const job of jobState.jobs.values())
    for (const placement of job.placed.values()) if (placement.since === 0) unknownAgeCount++;
  return {
    accounts,
    pages,
    open: openPlacementsAt(jobState, accounts.at, () => null, new Map()),
    unknownAgeCount,
    undated: subtractRows(accounts.rows, dated),
  };
};

/** Reads the view from the state service: lists all keys, then applies the changes made since the listing began. */
export const readStore = (store: Store): Effect.Effect<AccountsView, StateFailure> =>
  Effect.gen(function* () {
    for (;;) {
      const first = yield* store.page(TERM, null, 1);
      const entries: StateEntry[] = [];
      // The accounts come last: controllers read the keys in the same order.
      for (const prefix of [STORE_STATUS, LOG_ENTRIES, JOB_BUNDLES, ACTIVE_JOBS, PAGE_PREFIX, ACCOUNTS])
        entries.push(...(yield* listAll(store, prefix)));
      const followed = yield* store.follow(ROOT, first.revision, 0);
      if (followed.tooOld) continue;
      const jobState = new JobState();
      jobState.load(entries, first.revision);
      jobState.advance(followed.changes, followed.revision);
      const pages = new Map(entries.map((entry) => [entry.key, entry]));
      for (const change of followed.changes)
        if (change.value === undefined) pages.delete(change.key);
        else pages.set(change.key, change);
      return accountsView(jobState, pages.values());
    }
  });

/** Reads the view from a snapshot's directory. Fails if it cannot be read or has no complete base file. */
export const readSnapshot = (dir: string): Effect.Effect<AccountsView, InvalidInput> =>
  Effect.gen(function* () {
    const content = yield* Effect.tryPromise({
      try: () => loadSnapshot(new DiskFiles(dir)),
      catch: (error) => new InvalidInput({ message: `--snapshot: ${(error as Error).message}` }),
    });
    if (content === null)
      return yield* new InvalidInput({ message: `--snapshot: ${dir}: no complete base file found` });
    const entries = [...content.entries.values()];
    const jobState = new JobState();
    jobState.load(entries, content.revision);
    return accountsView(jobState, entries);
  });
