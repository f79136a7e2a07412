/** The lease that the leader key is attached to, as the controller that holds it sees it. */
import { MAX_CLOCK_DRIFT, type Micros, millis, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';

/** The lease counts as expired this much early, so that a request sent just before arrives while the lease is valid. */
const SAFETY_MARGIN = millis(150);

/** The id of the lease on the leader key, and until when this controller may act as leader. */
export class LeaderLease {
  /** The state service's number of the lease; null: this controller holds none. */
  id: number | null = null;
  /** This controller may act as leader until this time, by its own clock. */
  expiresAt = Number.NEGATIVE_INFINITY;
  /** Duration of the lease, from its grant or its last extension. */
  readonly ttl: Micros;

  constructor(settings: Settings) {
    this.ttl = Math.min(seconds(4), Math.max(seconds(2.5), settings.workers.lease / 5)) as Micros;
  }

  /** The earliest time, by this controller's clock, at which a lease expires that a request sent at `requestedAt` got. */
  expiryOf(requestedAt: Micros): Micros {
    return plus(requestedAt, this.ttl * (1 - MAX_CLOCK_DRIFT) - SAFETY_MARGIN);
  }

  /** Notes that this controller holds the lease `id`, granted by a request sent at `requestedAt`. */
  acquire(id: number, requestedAt: Micros): void {
    this.id = id;
    this.extend(requestedAt);
  }

  /** Notes that a request sent at `requestedAt` has extended the lease. */
  extend(requestedAt: Micros): void {
    this.expiresAt = this.expiryOf(requestedAt);
  }

  /** Ends the right to act by the lease. Keeps its id, so that the lease is not taken for an orphaned one. */
  expire(): void {
    this.expiresAt = Number.NEGATIVE_INFINITY;
  }
}
