/**
 * Keeps a controller's view of the store up to date: by one long-polling watch, and by reads on demand for requests that
 * need a view no older than the request. Requests that wait at the same time share one read.
 */
import { Deferred, Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, millis, toMillis } from '@lilacvalve/runtime/micros';
import { sleepUntilTick } from '@lilacvalve/runtime/tick';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import { dataLossSuspected } from '../recovery/guarded-store.js';
import { Priority } from '../state-store/budget.js';
import type { Change, Entry, StateFailure } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import type { JobState } from './job-state.js';
import {
  ACCOUNTS,
  ACTIVE_JOBS,
  CALENDAR,
  CALENDAR_HEAD,
  FINAL_STATES,
  INCARNATION,
  LEADER,
  STORE_STATUS,
  FINAL_STATE_PAGES,
  JOB_BUNDLES,
  LOG_ENTRIES,
  ROOT,
  TERM,
  MACHINE_TYPES,
} from './keys.js';

/** Minimum interval between two shared reads, so that users' polls cannot use up the request budget. */
const READ_GAP = { leader: millis(160), follower: millis(400) };
/** Pause after each response to the watch: a leader acts on the changes, a follower only keeps its view up to date. */
const WATCH_GAP_MS = { leader: 120, follower: 400 };
/** How long the state service may hold a watch request while there is no change. */
const WATCH_MS = 3000;
/** Pause between two pages of final states, which are read in the background. */
const FINAL_STATES_GAP_MS = 400;
/** Keys in one page of a listing. */
const PAGE_SIZE = 1000;
/** Number of revisions: about a minute of writes at the highest rate. The service keeps the last 10,000 changes. */
const RECENT_CHANGES = 4000;

/** Reads the state service and applies what it reads to a `JobState`. */
export class StoreWatcher {
  /** Whether the view has been read completely, in this incarnation of the store. */
  loaded = false;
  /** The view includes everything that was committed before this time. */
  readAsOf = Number.NEGATIVE_INFINITY as Micros;
  /** Called with the changes that are about to be applied to the view. */
  onChanges: ((changes: readonly Change[]) => void) | null = null;
  /** Revisions that this controller has written as leader and may not have read yet, in ascending order. */
  private ownRevisions: number[] = [];
  private pendingRead: Deferred.Deferred<void, StateFailure> | null = null;
  private lastSharedReadAt = Number.NEGATIVE_INFINITY;

  constructor(
    readonly jobState: JobState,
    private readonly store: StatePort,
    private readonly clock: () => Micros,
    private readonly isLeader: () => boolean,
    private readonly lossDetector: DataLossDetector,
    /** Maximum age of the view by which a leader may respond to heartbeats; 0: no limit can be kept. */
    private readonly maxViewAge: Micros,
  ) {}

  /** Prepares for another incarnation of the store: its revisions start again, and may coincide with earlier own ones. */
  reset(): void {
    this.loaded = false;
    this.ownRevisions = [];
  }

  /** Notes a revision that this controller has committed as leader: the view already includes its changes. */
  noteOwnCommit(revision: number): void {
    this.ownRevisions = [...this.ownRevisions.filter((own) => own > this.jobState.revision), revision].sort(
      (a, b) => a - b,
    );
  }

  /**
   * The revision up to which this controller knows all changes of the store: its view's, or the last of the revisions that
   * it wrote as leader right after it. Its writes for users do not count: another controller may already have confirmed
   * such a write to the user while this view still lacks it.
   */
  completeRevision(): number {
    let complete = this.jobState.revision;
    for (const own of this.ownRevisions) if (own === complete + 1) complete = own;
    return complete;
  }

  /** Like `refresh`, but starts a read at once instead of sharing one. */
  readonly refreshNow: Effect.Effect<void, StateFailure> = Effect.suspend(() => this.read(0));

  /** Succeeds once the view includes everything that was committed before this call. */
  readonly refresh: Effect.Effect<void, StateFailure> = Effect.suspend(() => {
    if (this.pendingRead) return Deferred.await(this.pendingRead);
    return Effect.flatMap(Deferred.make<void, StateFailure>(), (created) => {
      if (this.pendingRead) return Deferred.await(this.pendingRead);
      this.pendingRead = created;
      const wait = toMillis(this.lastSharedReadAt + READ_GAP[this.role()] - this.clock());
      return Effect.sleep(wait).pipe(
        Effect.zipRight(
          Effect.suspend(() => {
            // Calls from now on need a read that starts later than this one.
            this.pendingRead = null;
            this.lastSharedReadAt = this.clock();
            return this.read(0);
          }),
        ),
        Effect.intoDeferred(created),
        Effect.forkDaemon,
        Effect.zipRight(Deferred.await(created)),
      );
    });
  });

  /** Reads the changes since the last read. The service may hold the request for `blockMs` while there is no change. */
  private read(blockMs: number): Effect.Effect<void, StateFailure> {
    return Effect.suspend(() => {
      const requestedAt = this.clock();
      return this.readOnce(blockMs).pipe(
        Effect.zipRight(
          Effect.sync(() => {
            if (requestedAt > this.readAsOf) this.readAsOf = requestedAt;
          }),
        ),
      );
    });
  }

  private readOnce(blockMs: number): Effect.Effect<void, StateFailure> {
    return Effect.suspend(() => {
      const requestedAt = this.clock();
      if (!this.loaded) return this.reload;
      return this.store.follow(ROOT, this.jobState.revision, blockMs).pipe(
        Effect.flatMap((response) => {
          if (response.tooOld) return this.reload;
          if (this.sawOtherIncarnation(response.changes)) return Effect.fail(dataLossSuspected);
          return Effect.zipRight(
            this.lossDetector.incarnationSeenRecently() ? Effect.void : this.confirmIncarnation,
            Effect.suspend(() => {
              if (response.changes.length > 0) this.onChanges?.(response.changes);
              this.jobState.advance(response.changes, response.revision);
              return this.verifyView(requestedAt);
            }),
          );
        }),
      );
    });
  }

  /** Whether the changes show that another incarnation has begun, so that they must not be applied to this view. */
  private sawOtherIncarnation(changes: readonly Change[]): boolean {
    const known = this.lossDetector.incarnation;
    if (known === null) return false;
    const otherIncarnation = changes.find(
      (change) =>
        change.key.startsWith(INCARNATION) &&
        (change.value === undefined) === (change.key === INCARNATION + known.id),
    );
    if (otherIncarnation === undefined) return false;
    this.lossDetector.suspect('other incarnation', otherIncarnation.key);
    return true;
  }

  /** Fails unless the store still has the key of the incarnation that this controller knows. */
  private readonly confirmIncarnation: Effect.Effect<void, StateFailure> = Effect.suspend(() => {
    const known = this.lossDetector.incarnation;
    if (known === null) return Effect.void;
    const requestedAt = this.clock();
    return this.store.get(INCARNATION + known.id).pipe(
      Effect.flatMap(({ entry }) => {
        if (entry?.revision === known.revision) this.lossDetector.noteIncarnationSeen(requestedAt);
        else
          this.lossDetector.suspect(
            'other incarnation',
            `the key of ${known.id} is missing or was rewritten`,
          );
        return this.lossDetector.suspected ? Effect.fail(dataLossSuspected) : Effect.void;
      }),
    );
  });

  /**
   * Checks the view, read by a request sent at `requestedAt`, for signs of a data loss, and fails if there are any.
   * `fullRead`: the whole store was read, not only changes.
   */
  private verifyView(requestedAt: Micros, fullRead = false): Effect.Effect<void, StateFailure> {
    return Effect.suspend(() => {
      const { jobState, lossDetector } = this;
      lossDetector.handleIncarnationRead(jobState.incarnation);
      lossDetector.checkTerm(jobState.term, requestedAt);
      for (const key of jobState.damaged.keys())
        if (key.startsWith(ACTIVE_JOBS) && jobState.jobs.has(key.slice(ACTIVE_JOBS.length)))
          lossDetector.suspect('value damaged', key);
      // No controller writes such a value or gap: the store has damaged the data. A controller that has read the key before
      // knows its content; this view alone proves nothing.
      const missingKey = fullRead || jobState.damaged.size > 0 ? jobState.missingEntryKey() : null;
      if (missingKey !== null) lossDetector.suspect('value damaged', missingKey, true);
      if (fullRead && jobState.calendarLost) lossDetector.suspect('key lost', CALENDAR_HEAD);
      if (lossDetector.suspected) return Effect.fail(dataLossSuspected);
      if (lossDetector.incarnation !== null && jobState.revision >= lossDetector.revisionFloor())
        lossDetector.onIncarnationConfirmed(lossDetector.incarnation.id);
      return Effect.void;
    });
  }

  /** Lists all entries below a prefix. `base`: the lowest revision of the listed pages. */
  readonly listAll = (prefix: string): Effect.Effect<{ entries: Entry[]; base: number }, StateFailure> => {
    const entries: Entry[] = [];
    let base = Number.POSITIVE_INFINITY;
    const listFrom = (after: string | null): Effect.Effect<void, StateFailure> =>
      this.store.page(prefix, after, PAGE_SIZE).pipe(
        Effect.flatMap((page) => {
          base = Math.min(base, page.revision);
          entries.push(...page.entries);
          const last = page.entries[page.entries.length - 1];
          return page.more && last ? listFrom(last.key) : Effect.void;
        }),
      );
    return Effect.map(listFrom(null), () => ({ entries, base }));
  };

  /**
   * Reads the final states among the latest changes with one request; `loadFinalStates` reads the others in the background.
   * If all controllers restart just before the store reverts to its state of some seconds ago, no other controller could
   * tell that these jobs were finished.
   */
  private readRecentFinalStates(base: number): Effect.Effect<readonly Change[]> {
    return this.store.follow(FINAL_STATES, Math.max(0, base - RECENT_CHANGES), 0).pipe(
      Effect.map((response) =>
        response.tooOld ? [] : response.changes.filter((change) => change.value !== undefined),
      ),
      Effect.orElseSucceed(() => []),
    );
  }

  /** Lists the whole store, then reads the changes made during the listing, without which the view is inconsistent. */
  private readonly reload: Effect.Effect<void, StateFailure> = Effect.suspend(() => {
    const requestedAt = this.clock();
    const { incarnationCount } = this.lossDetector;
    // The accounts come last: a checkpoint that is read before the log entries could lack entries deleted meanwhile.
    const prefixes = [
      STORE_STATUS,
      CALENDAR,
      LOG_ENTRIES,
      JOB_BUNDLES,
      ACTIVE_JOBS,
      LEADER,
      TERM,
      MACHINE_TYPES,
      ACCOUNTS,
    ];
    return Effect.forEach(prefixes, (prefix) => this.listAll(prefix)).pipe(
      Effect.flatMap((lists) => {
        const base = Math.min(...lists.map((list) => list.base));
        return Effect.all([this.store.follow(ROOT, base, 0), this.readRecentFinalStates(base)]).pipe(
          Effect.flatMap(([response, recentFinals]) => {
            if (response.tooOld) return Effect.suspend(() => this.reload);
            if (this.lossDetector.incarnationCount !== incarnationCount)
              return Effect.fail(dataLossSuspected);
            // Another read has brought a newer view. Reverting it would lose changes: a watch request under way continues
            // from the newer revision and will not return them again.
            if (this.loaded && response.revision <= this.jobState.revision)
              return this.verifyView(requestedAt);
            this.jobState.load(
              lists.flatMap((list) => list.entries),
              base,
            );
            for (const change of recentFinals) this.jobState.apply(change);
            this.jobState.advance(response.changes, response.revision);
            this.loaded = true;
            return info('store listed', {
              revision: response.revision,
              jobs: this.jobState.jobs.size,
            }).pipe(Effect.zipRight(this.verifyView(requestedAt, true)));
          }),
        );
      }),
    );
  });

  /** Reads all final states in the background, so that this controller can restore them if the store loses them. */
  readonly loadFinalStates = supervise(
    'final-states',
    Effect.suspend(() => {
      const { finalStates } = this.jobState;
      if (!this.loaded || finalStates.complete) return sleepUntilTick(2000);
      const readFrom = (prefix: string, after: string | null): Effect.Effect<void, StateFailure> =>
        this.store.page(prefix, after, PAGE_SIZE, Priority.Upkeep).pipe(
          Effect.flatMap((page) => {
            for (const entry of page.entries) this.jobState.apply({ ...entry });
            const last = page.entries[page.entries.length - 1];
            return page.more && last
              ? Effect.zipRight(
                  Effect.sleep(FINAL_STATES_GAP_MS),
                  Effect.suspend(() => readFrom(prefix, last.key)),
                )
              : Effect.void;
          }),
        );
      const before = finalStates.size;
      return readFrom(FINAL_STATES, null).pipe(
        Effect.zipRight(readFrom(FINAL_STATE_PAGES, null)),
        Effect.zipRight(
          Effect.suspend(() => {
            finalStates.complete = this.loaded && finalStates.isBelowCapacity;
            return info('final states read', { known: finalStates.size, before });
          }),
        ),
        Effect.catchAll(() => Effect.sleep(2000)),
      );
    }).pipe(Effect.forever),
  );

  /** Keeps the view up to date for ever. Never fails. */
  readonly run = supervise(
    'watch',
    Effect.suspend(() => {
      // A follower whose view was just brought up to date by a shared read for users needs no watch request.
      const untilNextRead = this.readAsOf + millis(WATCH_GAP_MS.follower) - this.clock();
      if (this.loaded && !this.isLeader() && untilNextRead > 0) return Effect.sleep(toMillis(untilNextRead));
      const blockMs =
        this.isLeader() && this.maxViewAge > 0 ? Math.min(WATCH_MS, toMillis(this.maxViewAge / 4)) : WATCH_MS;
      return this.read(this.loaded ? blockMs : 0).pipe(
        Effect.matchEffect({
          onSuccess: () => Effect.sleep(WATCH_GAP_MS[this.role()]),
          onFailure: () => Effect.sleep(400),
        }),
      );
    }).pipe(Effect.forever),
  );

  private role(): 'leader' | 'follower' {
    return this.isLeader() ? 'leader' : 'follower';
  }
}
