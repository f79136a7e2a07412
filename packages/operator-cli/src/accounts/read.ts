/** The accounts as the shared state or a snapshot has them, with the pages and what is placed now. */
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

/** The accounts with what they are made of, as of one moment. */
export interface AccountsView {
  readonly accounts: Accounts;
  /** In order; none lies within another. */
  readonly pages: readonly Page[];
  /** What is placed, from its start to the last record. */
  readonly open: AmountsByGroup;
  /** Placements of which nobody knows since when they are. */
  readonly ageless: number;
  /** What is booked and on no page, nor waits for one: pages that are lost, or damaged. */
  readonly undated: AmountsByGroup;
}

interface StateEntry {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}

/** Pages that lie within no other one; of equal ones the first. */
const outermostPages = (all: readonly Page[]): Page[] =>
  all.filter(
    (page, i) =>
      !all.some((other, j) => {
        if (i === j || other.from > page.from || other.to < page.to) return false;
        const longerBy = other.to - other.from - (page.to - page.from);
        return longerBy > 0 || (longerBy === 0 && j < i);
      }),
  );

/** The view that a job state and the entries beside it give. */
export const accountsView = (jobState: JobState, entries: Iterable<StateEntry>): AccountsView => {
  const { accounts } = jobState;
  // A page of a period that the accounts have without one is of a history that a loss has ended.
  const paged = accounts.pending[0]?.from ?? accounts.closed;
  const pages = outermostPages(
    parsePages(entries)
      .map((p) => p.page)
      .filter((p) => p.to <= paged),
  );
  const dated = joinRows(accounts.current, ...accounts.pending.map((p) => p.rows), ...pages.map((p) => p.booked)); // prettier-ignore
  let ageless = 0;
  for (const job of jobState.jobs.values()) for (const p of job.placed.values()) if (p.since === 0) ageless++;
  return {
    accounts,
    pages,
    open: openPlacementsAt(jobState, accounts.at, () => null, new Map()),
    ageless,
    undated: subtractRows(accounts.rows, dated),
  };
};

/** One view: what is listed, then what has changed since the listing began. */
export const readStore = (store: Store): Effect.Effect<AccountsView, StateFailure> =>
  Effect.gen(function* () {
    for (;;) {
      const first = yield* store.page(TERM, null, 1);
      const entries: StateEntry[] = [];
      // The accounts last, as controllers read them.
      for (const prefix of [STORE_STATUS, LOG_ENTRIES, JOB_BUNDLES, ACTIVE_JOBS, PAGE_PREFIX, ACCOUNTS])
        entries.push(...(yield* listAll(store, prefix)));
      const since = yield* store.follow(ROOT, first.revision, 0);
      if (since.tooOld) continue;
      const jobState = new JobState();
      jobState.load(entries, first.revision);
      jobState.advance(since.changes, since.revision);
      const pages = new Map(entries.map((entry) => [entry.key, entry]));
      for (const change of since.changes)
        if (change.value === undefined) pages.delete(change.key);
        else pages.set(change.key, change);
      return accountsView(jobState, pages.values());
    }
  });

/** The view of a snapshot's directory. Fails where it can't be read, or holds no base that is whole. */
export const readSnapshot = (dir: string): Effect.Effect<AccountsView, InvalidInput> =>
  Effect.gen(function* () {
    const content = yield* Effect.tryPromise({
      try: () => loadSnapshot(new DiskFiles(dir)),
      catch: (error) => new InvalidInput({ message: `--snapshot: ${(error as Error).message}` }),
    });
    if (content === null)
      return yield* new InvalidInput({ message: `--snapshot: ${dir}: no base that is whole` });
    const entries = [...content.entries.values()];
    const jobState = new JobState();
    jobState.load(entries, content.revision);
    return accountsView(jobState, entries);
  });
