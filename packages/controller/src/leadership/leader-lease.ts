/** The lease that makes this node leader: its id in the state service, and until when this node may act by it. */
import { DRIFT, type Micros, millis, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';

/** For the time that an answer of the state service takes to arrive and be acted on. */
const SAFETY_MARGIN = millis(150);

/** The lease on the leader key, and until when it gives a right to act. */
export class LeaderLease {
  /** The state service's number of the lease; null: this node holds none. */
  id: number | null = null;
  /** This node may act before this moment and not after. */
  expiresAt = Number.NEGATIVE_INFINITY;
  /** How long a grant or an extension lasts. */
  readonly ttl: Micros;

  constructor(settings: Settings) {
    this.ttl = Math.min(seconds(4), Math.max(seconds(2.5), settings.workers.lease / 5)) as Micros;
  }

  /** When a lease that was granted or extended by a request sent at `asked` expires, by this node's clock at the earliest. */
  expiryOf(asked: Micros): Micros {
    return plus(asked, this.ttl * (1 - DRIFT) - SAFETY_MARGIN);
  }

  /** Holds the lease `id`, which was asked for at `asked`. */
  acquire(id: number, asked: Micros): void {
    this.id = id;
    this.extend(asked);
  }

  /** The lease was extended by a request sent at `asked`. */
  extend(asked: Micros): void {
    this.expiresAt = this.expiryOf(asked);
  }

  /** This node may not act by the lease any more; its id stays known, so that it is told from an orphaned one. */
  expire(): void {
    this.expiresAt = Number.NEGATIVE_INFINITY;
  }
}
