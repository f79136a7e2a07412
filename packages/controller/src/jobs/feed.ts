/**
 * Feeds the cache: one long watch, and short shared reads for whoever needs a view no older than its
 * question. All waiting questions share one read.
 */
import { Deferred, Effect } from 'effect';
import { duty } from '@lilacvalve/base/duty';
import { info } from '@lilacvalve/base/log';
import { type Micros, millis, toMillis } from '@lilacvalve/base/micros';
import type { Entry, StateFailure } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import type { JobCache } from './cache.js';
import { ACTIVE, LEADER, RECORD, ROOT, TERM, TYPES } from './keys.js';

/** Between two shared reads, so that polls cannot eat the request budget. */
const READ_GAP = { leader: millis(160), follower: millis(400) };
/** Between two answers of the watch: a leader acts on what it brings, the others only keep up. */
const WATCH_GAP_MS = { leader: 120, follower: 400 };
const WATCH_MS = 3000;

export class Feed {
  loaded = false;
  /** The cache is known to be at least as new as this moment. */
  readAsOf = Number.NEGATIVE_INFINITY as Micros;
  private batch: Deferred.Deferred<void, StateFailure> | null = null;
  private lastRead = Number.NEGATIVE_INFINITY;

  constructor(
    readonly cache: JobCache,
    private readonly store: StatePort,
    private readonly clock: () => Micros,
    private readonly leading: () => boolean,
  ) {}

  /** Succeeds once the cache is at least as new as this call. */
  readonly refresh: Effect.Effect<void, StateFailure> = Effect.suspend(() => {
    if (this.batch) return Deferred.await(this.batch);
    return Effect.flatMap(Deferred.make<void, StateFailure>(), (made) => {
      if (this.batch) return Deferred.await(this.batch);
      this.batch = made;
      const wait = toMillis(this.lastRead + READ_GAP[this.part()] - this.clock());
      return Effect.sleep(wait).pipe(
        Effect.zipRight(
          Effect.suspend(() => {
            // Whoever asks from here on needs a read that begins later.
            this.batch = null;
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
      if (!this.loaded) return this.reload;
      return this.store.follow(ROOT, this.cache.revision, blockMs).pipe(
        Effect.flatMap((c) => {
          if (c.tooOld) return this.reload;
          this.cache.advance(c.changes, c.revision);
          return Effect.void;
        }),
      );
    });
  }

  /** Reads everything anew, then what changed meanwhile: only then is the view whole. */
  private readonly reload: Effect.Effect<void, StateFailure> = Effect.suspend(() => {
    const entries: Entry[] = [];
    let base = Number.POSITIVE_INFINITY;
    const all = (prefix: string, after: string | null): Effect.Effect<void, StateFailure> =>
      this.store.page(prefix, after, 1000).pipe(
        Effect.flatMap((p) => {
          base = Math.min(base, p.revision);
          entries.push(...p.entries);
          const last = p.entries[p.entries.length - 1];
          return p.more && last ? all(prefix, last.key) : Effect.void;
        }),
      );
    return all(RECORD, null).pipe(
      Effect.zipRight(all(ACTIVE, null)),
      Effect.zipRight(all(LEADER, null)),
      Effect.zipRight(all(TERM, null)),
      Effect.zipRight(all(TYPES, null)),
      Effect.zipRight(
        Effect.suspend(() =>
          this.store.follow(ROOT, base, 0).pipe(
            Effect.flatMap((c) => {
              if (c.tooOld) return Effect.suspend(() => this.reload);
              this.cache.load(entries, base);
              this.cache.advance(c.changes, c.revision);
              this.loaded = true;
              return info('store read', { revision: c.revision, jobs: this.cache.jobs.size });
            }),
          ),
        ),
      ),
    );
  });

  readonly run = duty(
    'watch',
    Effect.suspend(() => {
      // Shared reads for users keep a follower up as well as its watch would: one of the two is enough.
      const left = this.readAsOf + millis(WATCH_GAP_MS.follower) - this.clock();
      if (this.loaded && !this.leading() && left > 0) return Effect.sleep(toMillis(left));
      return this.read(this.loaded ? WATCH_MS : 0).pipe(
        Effect.matchEffect({
          onSuccess: () => Effect.sleep(WATCH_GAP_MS[this.part()]),
          onFailure: () => Effect.sleep(400),
        }),
      );
    }).pipe(Effect.forever),
  );

  private part(): 'leader' | 'follower' {
    return this.leading() ? 'leader' : 'follower';
  }
}
