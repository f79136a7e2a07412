/** The leases of the state service. A lease expires unless it is extended in time. */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Time } from '../time.js';

/** Maximum delay between the end of a lease's time and its expiry, in microseconds. */
const MAX_EXPIRY_DELAY = 100_000;

interface Lease {
  /** Duration in microseconds. */
  readonly ttl: number;
  /** Cancels the scheduled expiry. */
  readonly cancel: () => void;
}

/** Leases by their number, starting at 1. */
export class Leases {
  private readonly leases = new Map<number, Lease>();
  private next = 1;

  /** `onExpired`: called when a lease expires. The service then ends the lease, unless the service is down. */
  constructor(
    private readonly time: Time,
    private readonly random: RandomSource,
    private readonly onExpired: (id: number) => void,
  ) {}

  has(id: number): boolean {
    return this.leases.has(id);
  }

  /** Grants a lease of `ttl` microseconds and returns its number. */
  grant(ttl: number): number {
    const id = this.next++;
    this.start(id, ttl);
    return id;
  }

  /** Restarts the time of a lease. Returns false if no such lease exists. */
  extend(id: number): boolean {
    const lease = this.leases.get(id);
    if (lease) this.start(id, lease.ttl);
    return lease !== undefined;
  }

  /** Restarts the time of every lease. */
  extendAll(): void {
    for (const [id, lease] of [...this.leases]) this.start(id, lease.ttl);
  }

  /** Ends a lease. Returns false if no such lease exists. */
  remove(id: number): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.cancel();
    this.leases.delete(id);
    return true;
  }

  /** Ends all leases without deleting the keys bound to them. Returns their durations by number. */
  removeAll(): ReadonlyMap<number, number> {
    const ttls = new Map([...this.leases].map(([id, lease]) => [id, lease.ttl]));
    for (const lease of this.leases.values()) lease.cancel();
    this.leases.clear();
    return ttls;
  }

  /** Removes all leases and restarts their numbers at 1, as in a service that lost all data. */
  reset(): void {
    this.removeAll();
    this.next = 1;
  }

  /** Starts the time of a lease, and creates the lease if it does not exist. */
  start(id: number, ttl: number): void {
    this.leases.get(id)?.cancel();
    const cancel = this.time.after(ttl + this.random.between(0, MAX_EXPIRY_DELAY), () => this.onExpired(id));
    this.leases.set(id, { ttl, cancel });
  }
}
