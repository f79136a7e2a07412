/** Rate limits of the state service, and a controller's port that keeps to the controller's fraction of them. */
import { Effect } from 'effect';
import { StoreBudgets, Priority } from '@lilacvalve/controller/state-store/budget';
import { Refused, type StateFailure } from '@lilacvalve/controller/state-store/client';
import type { StatePort } from '@lilacvalve/controller/state-store/port';
import type { Time } from '../time.js';

/** Rate limits for all controllers together. */
export interface Limits {
  /** Requests per second. */
  readonly rps: number;
  /** Puts and deletes per second. */
  readonly writeRps: number;
  /** Number of controllers that share the limits. */
  readonly controllers: number;
}

/** Applies the rate limits, and records all requested writes. */
export class RateLimits {
  /** null: unlimited. */
  limits: Limits | null = null;
  /** The time of every requested put and delete, in microseconds. */
  readonly written: number[] = [];
  /** Number of requests rejected because of the limits. */
  refusedAsTooMany = 0;
  /** Unused requests and writes, at most one second's worth, as of the time `at`. */
  private readonly remaining = { at: 0, rps: 0, writeRps: 0 };

  constructor(private readonly time: Time) {}

  /** Whether the limits allow a request with `writes` puts and deletes. An allowed request counts against them. */
  allows(writes: number): boolean {
    const { remaining, limits } = this;
    const { now } = this.time;
    for (let i = 0; i < writes; i++) this.written.push(now);
    if (limits === null) return true;
    const elapsed = (now - remaining.at) / 1e6;
    remaining.at = now;
    for (const kind of ['rps', 'writeRps'] as const)
      remaining[kind] = Math.min(limits[kind], remaining[kind] + elapsed * limits[kind]);
    if (remaining.rps >= 1 && remaining.writeRps >= writes) {
      remaining.rps--;
      remaining.writeRps -= writes;
      return true;
    }
    this.refusedAsTooMany++;
    return false;
  }

  /**
   * Wraps a port with the budgets that the real client applies. A request beyond the limits of the service fails with
   * `Refused` (429).
   */
  limited(port: StatePort, limits: Limits): StatePort {
    const timing = {
      now: this.time.micros,
      after: (ms: number, go: () => void) => void this.time.after(ms * 1000, go),
    };
    const budgets = new StoreBudgets(limits.controllers, limits, timing);
    const call = <A>(priority: Priority, writes: number, send: () => Effect.Effect<A, StateFailure>) =>
      Effect.suspend(() => (writes > 0 ? budgets.writes.take(priority, writes) : Effect.void)).pipe(
        Effect.zipRight(budgets.requests.take(priority, 1)),
        Effect.zipRight(
          Effect.suspend(() => {
            if (this.allows(writes)) return send();
            budgets.drain();
            return Effect.fail(new Refused({ status: 429, reason: 'too many' }));
          }),
        ),
      );
    const limited: Partial<StatePort> = {
      leading: (isLeading) => budgets.leading(isLeading),
      writeWait: () => budgets.writes.wait(),
      transact: (when, then, priority, ms) =>
        call(priority, then.length, () => port.transact(when, then, priority, ms)),
      get: (key, ms) => call(Priority.Read, 0, () => port.get(key, ms)),
      page: (prefix, after, limit, priority = Priority.Read) =>
        call(priority, 0, () => port.page(prefix, after, limit, priority)),
      follow: (prefix, after, ms) =>
        call(ms === 0 ? Priority.Commit : Priority.Read, 0, () => port.follow(prefix, after, ms)),
      grant: (ttl) => call(Priority.Lease, 0, () => port.grant(ttl)),
      extend: (lease, ms) => call(Priority.Lease, 0, () => port.extend(lease, ms)),
      release: (lease) => call(Priority.Lease, 0, () => port.release(lease)),
    };
    return new Proxy(port, {
      get: (target, key) => limited[key as keyof StatePort] ?? Reflect.get(target, key),
    });
  }
}
