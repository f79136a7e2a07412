/** The accounts as the shared state or a snapshot has them, with the pages and what is placed now. */
import { DiskFiles } from '@lilacvalve/snapshot/files';
import { load } from '@lilacvalve/snapshot/read';
import { openAt } from '@lilacvalve/controller/accounts/ledger';
import { joinRows, lessRows } from '@lilacvalve/controller/accounts/fold';
import type { Accounts, Rows } from '@lilacvalve/controller/accounts/model';
import { type Page, PAGES, pagesOf } from '@lilacvalve/controller/accounts/pages';
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
import { EXIT, Fail, type Store } from '../io.js';

export interface Read {
  readonly accounts: Accounts;
  /** In order; none lies within another. */
  readonly pages: readonly Page[];
  /** What is placed, from its start to the last record. */
  readonly open: Rows;
  /** Placements of which nobody knows since when they are. */
  readonly ageless: number;
  /** What is booked and on no page, nor waits for one: pages that are lost, or damaged. */
  readonly undated: Rows;
}

interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly stamp: number;
}

const chosen = (all: readonly Page[]): Page[] =>
  all.filter(
    (p, i) =>
      !all.some(
        (q, j) =>
          i !== j &&
          q.from <= p.from &&
          q.to >= p.to &&
          (q.to - q.from > p.to - p.from || (q.to - q.from === p.to - p.from && j < i)),
      ),
  );

export const readOf = (jobState: JobState, entries: Iterable<Entry>): Read => {
  const { accounts } = jobState;
  // A page of a period that the accounts have without one is of a history that a loss has ended.
  const paged = accounts.pending[0]?.from ?? accounts.closed;
  const pages = chosen(
    pagesOf(entries)
      .map((p) => p.page)
      .filter((p) => p.to <= paged),
  );
  const dated = joinRows(accounts.current, ...accounts.pending.map((p) => p.rows), ...pages.map((p) => p.booked)); // prettier-ignore
  let ageless = 0;
  for (const job of jobState.jobs.values()) for (const p of job.placed.values()) if (p.since === 0) ageless++;
  return {
    accounts,
    pages,
    open: openAt(jobState, accounts.at, () => null, new Map()),
    ageless,
    undated: lessRows(accounts.rows, dated),
  };
};

/** One view: what is listed, then what has changed since the listing began. */
export const readStore = (store: Store): Effect.Effect<Read, StateFailure> =>
  Effect.gen(function* () {
    for (;;) {
      const first = yield* store.page(TERM, null, 1);
      const entries: Entry[] = [];
      // The accounts last, as controllers read them.
      for (const prefix of [STORE_STATUS, LOG_ENTRIES, JOB_BUNDLES, ACTIVE_JOBS, PAGES, ACCOUNTS])
        entries.push(...(yield* listAll(store, prefix)));
      const c = yield* store.follow(ROOT, first.revision, 0);
      if (c.tooOld) continue;
      const jobState = new JobState();
      jobState.load(entries, first.revision);
      jobState.advance(c.changes, c.revision);
      const pages = new Map(entries.map((e) => [e.key, e]));
      for (const x of c.changes)
        if (x.value === undefined) pages.delete(x.key);
        else pages.set(x.key, x);
      return readOf(jobState, pages.values());
    }
  });

export const readSnapshot = (dir: string): Effect.Effect<Read, Fail> =>
  Effect.gen(function* () {
    const content = yield* Effect.tryPromise({
      try: () => load(new DiskFiles(dir)),
      catch: (e) => new Fail(`--snapshot: ${(e as Error).message}`, EXIT.input),
    });
    if (content === null)
      return yield* Effect.fail(new Fail(`--snapshot: ${dir}: no base that is whole`, EXIT.input));
    const entries = [...content.entries.values()];
    const jobState = new JobState();
    jobState.load(entries, content.revision);
    return readOf(jobState, entries);
  });
