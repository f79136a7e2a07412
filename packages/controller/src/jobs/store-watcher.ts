/**
 * Feeds the cache: one long watch, and short shared reads for whoever needs a view no older than its
 * question. All waiting questions share one read.
 */
import { Deferred, Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, millis, toMillis } from '@lilacvalve/runtime/micros';
import { tick } from '@lilacvalve/runtime/tick';
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

/** Between two shared reads, so that polls cannot eat the request budget. */
const READ_GAP = { leader: millis(160), follower: millis(400) };
/** Between two answers of the watch: a leader acts on what it brings, the others only keep up. */
const WATCH_GAP_MS = { leader: 120, follower: 400 };
const WATCH_MS = 3000;
/** Between two pages of final states: they are read beside everything else. */
const HISTORY_GAP_MS = 400;
const PAGE_SIZE = 1000;
/** Changes of the store, some minute's worth of all that it takes; it keeps the last 10,000. */
const RECENT_CHANGES = 4000;

export class StoreWatcher {
  loaded = false;
  /** The cache is known to be at least as new as this moment. */
  readAsOf = Number.NEGATIVE_INFINITY as Micros;
  /** Takes every change that this view takes; null: nobody does. */
  onChanges: ((changes: readonly Change[]) => void) | null = null;
  /** Revisions of what this node wrote as leader, and may not have read yet. */
  private ownRevisions: number[] = [];
  private sharedRead: Deferred.Deferred<void, StateFailure> | null = null;
  private lastRead = Number.NEGATIVE_INFINITY;

  constructor(
    readonly jobState: JobState,
    private readonly store: StatePort,
    private readonly clock: () => Micros,
    private readonly isLeader: () => boolean,
    private readonly lossDetector: DataLossDetector,
    /** A leader that answers reports must have read more lately than that. */
    private readonly maxLag: Micros,
  ) {}

  /** The view is left: another incarnation's revisions begin anew, and one of them may be one of its own before. */
  reset(): void {
    this.loaded = false;
    this.ownRevisions = [];
  }

  /** What this node wrote as leader is committed: nothing in it is news to its view. */
  noteOwnCommit(revision: number): void {
    this.ownRevisions = [...this.ownRevisions.filter((r) => r > this.jobState.revision), revision].sort(
      (a, b) => a - b,
    );
  }

  /**
   * The revision up to which nothing is in the store that this node does not know: its view's, and what it wrote as leader
   * right after. What it wrote for users is left out: another may have told them of it, and this view lacks it.
   */
  completeRevision(): number {
    let to = this.jobState.revision;
    for (const r of this.ownRevisions) if (r === to + 1) to = r;
    return to;
  }

  /** The same, without a wait for others to share the read. */
  readonly refreshNow: Effect.Effect<void, StateFailure> = Effect.suspend(() => this.read(0));

  /** Succeeds once the cache is at least as new as this call. */
  readonly refresh: Effect.Effect<void, StateFailure> = Effect.suspend(() => {
    if (this.sharedRead) return Deferred.await(this.sharedRead);
    return Effect.flatMap(Deferred.make<void, StateFailure>(), (made) => {
      if (this.sharedRead) return Deferred.await(this.sharedRead);
      this.sharedRead = made;
      const wait = toMillis(this.lastRead + READ_GAP[this.role()] - this.clock());
      return Effect.sleep(wait).pipe(
        Effect.zipRight(
          Effect.suspend(() => {
            // Whoever asks from here on needs a read that begins later.
            this.sharedRead = null;
            this.lastRead = this.clock();
            return this.read(0);
          }),
        ),
        Effect.intoDeferred(made),
        Effect.forkDaemon,
        Effect.zipRight(Deferred.await(made)),
      );
    });
  });

  private read(blockMs: number): Effect.Effect<void, StateFailure> {
    return Effect.suspend(() => {
      const asked = this.clock();
      return this.readOnce(blockMs).pipe(
        Effect.zipRight(
          Effect.sync(() => {
            if (asked > this.readAsOf) this.readAsOf = asked;
          }),
        ),
      );
    });
  }

  private readOnce(blockMs: number): Effect.Effect<void, StateFailure> {
    return Effect.suspend(() => {
      const asked = this.clock();
      if (!this.loaded) return this.reload;
      return this.store.follow(ROOT, this.jobState.revision, blockMs).pipe(
        Effect.flatMap((c) => {
          if (c.tooOld) return this.reload;
          if (this.sawOtherIncarnation(c.changes)) return Effect.fail(dataLossSuspected);
          return Effect.zipRight(
            this.lossDetector.incarnationSeenRecently() ? Effect.void : this.confirmIncarnation,
            Effect.suspend(() => {
              if (c.changes.length > 0) this.onChanges?.(c.changes);
              this.jobState.advance(c.changes, c.revision);
              return this.verifyView(asked);
            }),
          );
        }),
      );
    });
  }

  /** Whether another incarnation has begun: its changes are none of this view's. */
  private sawOtherIncarnation(changes: readonly Change[]): boolean {
    const known = this.lossDetector.incarnation;
    if (known === null) return false;
    const other = changes.find(
      (c) => c.key.startsWith(INCARNATION) && (c.value === undefined) === (c.key === INCARNATION + known.id),
    );
    if (other === undefined) return false;
    this.lossDetector.suspect('other incarnation', other.key);
    return true;
  }

  /** Fails unless the store is still of this node's incarnation. */
  private readonly confirmIncarnation: Effect.Effect<void, StateFailure> = Effect.suspend(() => {
    const known = this.lossDetector.incarnation;
    if (known === null) return Effect.void;
    const asked = this.clock();
    return this.store.get(INCARNATION + known.id).pipe(
      Effect.flatMap(({ entry }) => {
        if (entry?.stamp === known.revision) this.lossDetector.noteIncarnationSeen(asked);
        else this.lossDetector.suspect('other incarnation', `${known.id} is not there`);
        return this.lossDetector.suspected ? Effect.fail(dataLossSuspected) : Effect.void;
      }),
    );
  });

  /** Holds what was read at `asked` against what is known. `anew`: everything was read. */
  private verifyView(asked: Micros, anew = false): Effect.Effect<void, StateFailure> {
    return Effect.suspend(() => {
      const { jobState, lossDetector } = this;
      lossDetector.handleIncarnationRead(jobState.incarnation);
      lossDetector.checkTerm(jobState.term, asked);
      for (const key of jobState.damaged.keys())
        if (key.startsWith(ACTIVE_JOBS) && jobState.jobs.has(key.slice(ACTIVE_JOBS.length)))
          lossDetector.suspect('value damaged', key);
      // Nobody wrote it so: whoever read it before knows what it said, and this view alone proves nothing.
      const hole = anew || jobState.damaged.size > 0 ? jobState.missingRecord() : null;
      if (hole !== null) lossDetector.suspect('value damaged', hole, true);
      if (anew && jobState.calendarLost) lossDetector.suspect('key lost', CALENDAR_HEAD);
      if (lossDetector.suspected) return Effect.fail(dataLossSuspected);
      if (lossDetector.incarnation !== null && jobState.revision >= lossDetector.revisionFloor())
        lossDetector.onIncarnationConfirmed(lossDetector.incarnation.id);
      return Effect.void;
    });
  }

  /** All entries below a prefix, with the lowest revision of its pages. */
  readonly listAll = (prefix: string): Effect.Effect<{ entries: Entry[]; base: number }, StateFailure> => {
    const entries: Entry[] = [];
    let base = Number.POSITIVE_INFINITY;
    const from = (after: string | null): Effect.Effect<void, StateFailure> =>
      this.store.page(prefix, after, PAGE_SIZE).pipe(
        Effect.flatMap((p) => {
          base = Math.min(base, p.revision);
          entries.push(...p.entries);
          const last = p.entries[p.entries.length - 1];
          return p.more && last ? from(last.key) : Effect.void;
        }),
      );
    return Effect.map(from(null), () => ({ entries, base }));
  };

  /**
   * What has ended within the last changes, at one go: the rest is read at leisure (`history`). Should all controllers have
   * started anew a moment before the store comes back as it was some seconds ago, nobody else would know that it was over.
   */
  private recentFinals(base: number): Effect.Effect<readonly Change[]> {
    return this.store.follow(FINAL_STATES, Math.max(0, base - RECENT_CHANGES), 0).pipe(
      Effect.map((c) => (c.tooOld ? [] : c.changes.filter((e) => e.value !== undefined))),
      Effect.orElseSucceed(() => []),
    );
  }

  /** Reads everything anew, then what changed meanwhile: only then is the view whole. */
  private readonly reload: Effect.Effect<void, StateFailure> = Effect.suspend(() => {
    const asked = this.clock();
    const { incarnationCount: life } = this.lossDetector;
    // The accounts last: a checkpoint read before the log entries could lack some that are deleted meanwhile.
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
        const base = Math.min(...lists.map((l) => l.base));
        return Effect.all([this.store.follow(ROOT, base, 0), this.recentFinals(base)]).pipe(
          Effect.flatMap(([c, ended]) => {
            if (c.tooOld) return Effect.suspend(() => this.reload);
            if (this.lossDetector.incarnationCount !== life) return Effect.fail(dataLossSuspected);
            // Another read was faster. Going back, the view would miss what a follow on its way says it has already.
            if (this.loaded && c.revision <= this.jobState.revision) return this.verifyView(asked);
            this.jobState.load(
              lists.flatMap((l) => l.entries),
              base,
            );
            for (const e of ended) this.jobState.apply(e);
            this.jobState.advance(c.changes, c.revision);
            this.loaded = true;
            return info('store listed', { revision: c.revision, jobs: this.jobState.jobs.size }).pipe(
              Effect.zipRight(this.verifyView(asked, true)),
            );
          }),
        );
      }),
    );
  });

  /** Reads the final states too, at leisure: should the store lose them, this node can tell them. */
  readonly loadFinalStates = supervise(
    'history',
    Effect.suspend(() => {
      const { finalStates: finals } = this.jobState;
      if (!this.loaded || finals.complete) return tick(2000);
      const from = (prefix: string, after: string | null): Effect.Effect<void, StateFailure> =>
        this.store.page(prefix, after, PAGE_SIZE, Priority.Upkeep).pipe(
          Effect.flatMap((p) => {
            for (const e of p.entries) this.jobState.apply({ ...e });
            const last = p.entries[p.entries.length - 1];
            return p.more && last
              ? Effect.zipRight(
                  Effect.sleep(HISTORY_GAP_MS),
                  Effect.suspend(() => from(prefix, last.key)),
                )
              : Effect.void;
          }),
        );
      const before = finals.size;
      return from(FINAL_STATES, null).pipe(
        Effect.zipRight(from(FINAL_STATE_PAGES, null)),
        Effect.zipRight(
          Effect.suspend(() => {
            finals.complete = this.loaded && finals.hasRoom;
            return info('final states read', { known: finals.size, before });
          }),
        ),
        Effect.catchAll(() => Effect.sleep(2000)),
      );
    }).pipe(Effect.forever),
  );

  readonly run = supervise(
    'watch',
    Effect.suspend(() => {
      // Shared reads for users keep a follower up as well as its watch would: one of the two is enough.
      const left = this.readAsOf + millis(WATCH_GAP_MS.follower) - this.clock();
      if (this.loaded && !this.isLeader() && left > 0) return Effect.sleep(toMillis(left));
      const held =
        this.isLeader() && this.maxLag > 0 ? Math.min(WATCH_MS, toMillis(this.maxLag / 4)) : WATCH_MS;
      return this.read(this.loaded ? held : 0).pipe(
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
