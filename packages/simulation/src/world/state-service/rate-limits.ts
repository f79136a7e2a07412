/** The state service's limits on requests and writes, and the port of a controller that keeps to its share of them. */
import { Effect } from 'effect';
import { StoreBudgets, Priority } from '@lilacvalve/controller/state-store/budget';
import { Refused, type StateFailure } from '@lilacvalve/controller/state-store/client';
import type { StatePort } from '@lilacvalve/controller/state-store/port';
import type { Time } from '../time.js';

/** Requests, and puts and deletes, a second for all controllers together. */
export interface Limits {
  readonly rps: number;
  readonly writeRps: number;
  readonly nodes: number;
}

/** Allows what the limits leave, and counts all that is asked for. */
export class RateLimits {
  /** null: controllers may ask as much as they like. */
  limits: Limits | null = null;
  /** Every put and delete that was asked for: when. */
  readonly written: number[] = [];
  refusedAsTooMany = 0;
  /** What is left of this second's worth. */
  private readonly left = { at: 0, rps: 0, writeRps: 0 };

  constructor(private readonly time: Time) {}

  /** Whether the limits allow a request with so many puts and deletes. */
  allows(writes: number): boolean {
    const { left, limits } = this;
    const { now } = this.time;
    for (let i = 0; i < writes; i++) this.written.push(now);
    if (limits === null) return true;
    const passed = (now - left.at) / 1e6;
    left.at = now;
    for (const kind of ['rps', 'writeRps'] as const)
      left[kind] = Math.min(limits[kind], left[kind] + passed * limits[kind]);
    if (left.rps >= 1 && left.writeRps >= writes) {
      left.rps--;
      left.writeRps -= writes;
      return true;
    }
    this.refusedAsTooMany++;
    return false;
  }

  /** The port by a controller's budgets, as the client does it. Fails with `Refused` (429) beyond the service's limits. */
  limited(port: StatePort, limits: Limits): StatePort {
    const timing = {
      now: this.time.micros,
      after: (ms: number, go: () => void) => void this.time.after(ms * 1000, go),
    };
    const parts = new StoreBudgets(limits.nodes, limits, timing);
    const call = <A>(priority: Priority, writes: number, ask: () => Effect.Effect<A, StateFailure>) =>
      Effect.suspend(() => (writes > 0 ? parts.writes.take(priority, writes) : Effect.void)).pipe(
        Effect.zipRight(parts.requests.take(priority, 1)),
        Effect.zipRight(
          Effect.suspend(() => {
            if (this.allows(writes)) return ask();
            parts.drain();
            return Effect.fail(new Refused({ status: 429, reason: 'too many' }));
          }),
        ),
      );
    const limited: Partial<StatePort> = {
      leading: (yes) => parts.leading(yes),
      writeWait: () => parts.writes.wait(),
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
      get: (unlimited, key) => limited[key as keyof StatePort] ?? Reflect.get(unlimited, key),
    });
  }
}
