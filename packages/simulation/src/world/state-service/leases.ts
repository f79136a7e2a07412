/** The state service's leases: each expires when it is not extended in time. */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Time } from '../time.js';

/** A lease expires late by up to this, microseconds. */
const EXPIRES_WITHIN = 100_000;

interface Lease {
  readonly ttl: number;
  readonly cancel: () => void;
}

/** Leases by number, from 1 on. */
export class Leases {
  private readonly leases = new Map<number, Lease>();
  private next = 1;

  /** `onExpired`: called when a lease's time is over; it is for the service to end it, which it can't while it is out. */
  constructor(
    private readonly time: Time,
    private readonly random: RandomSource,
    private readonly onExpired: (id: number) => void,
  ) {}

  has(id: number): boolean {
    return this.leases.has(id);
  }

  /** A new lease of so many microseconds. */
  grant(ttl: number): number {
    const id = this.next++;
    this.arm(id, ttl);
    return id;
  }

  /** The lease has its full time again. false: there is no such lease. */
  extend(id: number): boolean {
    const lease = this.leases.get(id);
    if (lease) this.arm(id, lease.ttl);
    return lease !== undefined;
  }

  /** Every lease has its full time again. */
  extendAll(): void {
    for (const [id, lease] of [...this.leases]) this.arm(id, lease.ttl);
  }

  /** Ends a lease. false: there is no such lease. */
  remove(id: number): boolean {
    const lease = this.leases.get(id);
    if (!lease) return false;
    lease.cancel();
    this.leases.delete(id);
    return true;
  }

  /** Ends all leases without a word. The times that they had, by number. */
  removeAll(): ReadonlyMap<number, number> {
    const ttls = new Map([...this.leases].map(([id, lease]) => [id, lease.ttl]));
    for (const lease of this.leases.values()) lease.cancel();
    this.leases.clear();
    return ttls;
  }

  /** As a service that knows of no lease: numbers begin with 1 again. */
  reset(): void {
    this.removeAll();
    this.next = 1;
  }

  /** Starts a lease's time, whether it is known or not. */
  arm(id: number, ttl: number): void {
    this.leases.get(id)?.cancel();
    const cancel = this.time.after(ttl + this.random.between(0, EXPIRES_WITHIN), () => this.onExpired(id));
    this.leases.set(id, { ttl, cancel });
  }
}
