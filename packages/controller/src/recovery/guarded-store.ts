/**
 * The state service as the rest of the controller uses it. Every transaction is conditional on the incarnation's key, every
 * response is compared with what was known when the request was sent, and while a data loss is suspected every request fails.
 * Requests for leases are exempt: a lease may be needed again if the store turns out to be intact, and keeping it is harmless.
 */
import { NoResponse } from '@lilacvalve/runtime/http-client';
import type { Micros } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import type { Priority } from '../state-store/budget.js';
import {
  type Changes,
  type Condition,
  type Found,
  type Outcome,
  type Page,
  Refused,
  type StateFailure,
  type Write,
} from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import type { DataLossDetector } from './data-loss-detector.js';

/** The failure of every request while a data loss is suspected. The request was certainly not carried out. */
export const dataLossSuspected = new Refused({ status: 503, reason: 'data loss suspected' });

/** Forwards requests to `unguardedStore`, unless a data loss is suspected. */
export class GuardedStore implements StatePort {
  constructor(
    private readonly unguardedStore: StatePort,
    private readonly lossDetector: DataLossDetector,
    private readonly clock: () => Micros,
  ) {}

  get lastServed(): number {
    return this.unguardedStore.lastServed;
  }
  get lastRefused(): number {
    return this.unguardedStore.lastRefused;
  }

  transact(
    when: readonly Condition[],
    then: readonly Write[],
    priority: Priority,
    timeoutMs: number,
  ): Effect.Effect<Outcome, StateFailure> {
    return Effect.suspend(() => {
      const fence = this.lossDetector.fence();
      if (this.lossDetector.suspected || fence === null) return Effect.fail(dataLossSuspected);
      const floor = this.lossDetector.revisionFloor();
      const { incarnationCount } = this.lossDetector;
      const requestedAt = this.clock();
      return this.unguardedStore.transact([...when, fence], then, priority, timeoutMs).pipe(
        Effect.flatMap((outcome): Effect.Effect<Outcome, StateFailure> => {
          if (this.lossDetector.incarnationCount !== incarnationCount)
            return Effect.fail(new NoResponse({ reason: dataLossSuspected.reason }));
          const accepted = this.lossDetector.acceptRevision(
            outcome.revision,
            outcome.ok && then.some((write) => 'set' in write) ? floor + 1 : floor,
          );
          if (!outcome.ok && outcome.failed.includes(fence.key))
            this.lossDetector.suspect(
              'other incarnation',
              `${fence.key} does not have revision ${fence.revision}`,
            );
          // A refused transaction was certainly not carried out. A commit by a store that has lost data is uncertain.
          if (outcome.ok && accepted) this.lossDetector.noteIncarnationSeen(requestedAt);
          if (accepted && !this.lossDetector.suspected) return Effect.succeed(outcome);
          return outcome.ok
            ? Effect.fail(new NoResponse({ reason: dataLossSuspected.reason }))
            : Effect.fail(dataLossSuspected);
        }),
      );
    });
  }

  get(key: string, timeoutMs?: number): Effect.Effect<Found, StateFailure> {
    return this.read(
      () => this.unguardedStore.get(key, timeoutMs),
      (found) => found.revision,
    );
  }

  page(
    prefix: string,
    after: string | null,
    limit: number,
    priority?: Priority,
  ): Effect.Effect<Page, StateFailure> {
    return this.read(
      () => this.unguardedStore.page(prefix, after, limit, priority),
      (page) => page.revision,
    );
  }

  follow(prefix: string, after: number, blockMs: number): Effect.Effect<Changes, StateFailure> {
    return this.read(
      () => this.unguardedStore.follow(prefix, after, blockMs),
      (changes) => (changes.tooOld ? null : changes.revision),
    );
  }

  grant(ttl: Micros): Effect.Effect<number, StateFailure> {
    return this.unguardedStore.grant(ttl);
  }
  extend(lease: number, timeoutMs: number): Effect.Effect<boolean, StateFailure> {
    return this.unguardedStore.extend(lease, timeoutMs);
  }
  release(lease: number): Effect.Effect<void, StateFailure> {
    return this.unguardedStore.release(lease);
  }
  leading(yes: boolean): void {
    this.unguardedStore.leading(yes);
  }
  writeWait(): Micros {
    return this.unguardedStore.writeWait();
  }

  /** Sends a read and checks its response. `revisionOf`: the response's revision; null if the response names none. */
  private read<A>(
    request: () => Effect.Effect<A, StateFailure>,
    revisionOf: (response: A) => number | null,
  ): Effect.Effect<A, StateFailure> {
    return Effect.suspend(() => {
      if (this.lossDetector.suspected) return Effect.fail(dataLossSuspected);
      const floor = this.lossDetector.revisionFloor();
      const { incarnationCount } = this.lossDetector;
      return request().pipe(
        Effect.flatMap((response) => {
          if (this.lossDetector.incarnationCount !== incarnationCount) return Effect.fail(dataLossSuspected);
          const revision = revisionOf(response);
          if (revision !== null) this.lossDetector.acceptRevision(revision, floor);
          return this.lossDetector.suspected ? Effect.fail(dataLossSuspected) : Effect.succeed(response);
        }),
      );
    });
  }
}
