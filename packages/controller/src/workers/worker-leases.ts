/**
 * Computes when a worker's lease has certainly expired. Until enough controllers have acknowledged this term, an
 * older leader that still responds to heartbeats may renew leases.
 */
import { MAX_CLOCK_DRIFT, type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { CONFIRMATION_VALID } from '../leadership/peers.js';
import type { Settings } from '../settings/settings.js';
import type { Machine } from './machine.js';

/** Covers messages that were in flight when the lease ended. */
const IN_FLIGHT_MARGIN = seconds(1);

/** Upper bounds of the workers' lease expiry. */
export class WorkerLeases {
  /** Latest time at which an older leader may have renewed leases; null if not known yet. */
  private olderLeaderUntil: Micros | null = null;

  constructor(
    private readonly settings: Settings['workers'],
    private readonly termBegan: Micros,
  ) {}

  /**
   * Called when enough controllers have acknowledged this term. Confirmations that they gave an older leader
   * before remain valid for a limited time.
   */
  termAcknowledged(at: Micros): void {
    this.olderLeaderUntil ??= plus(at, CONFIRMATION_VALID);
  }

  /**
   * Time after which the worker's lease has certainly expired, counted from the latest response that may have
   * renewed it. Until the worker has shown this term's token, an older leader may have sent that response.
   * `undefined` stands for a machine that has never been known in this term.
   */
  expiryOf(machine: Machine | undefined): Micros {
    const lastRenewal = machine?.confirmed
      ? machine.lastResponseAt
      : Math.max(
          machine?.lastResponseAt ?? this.termBegan,
          this.olderLeaderUntil ?? Number.POSITIVE_INFINITY,
        );
    return plus(lastRenewal as Micros, this.settings.lease * (1 + 2 * MAX_CLOCK_DRIFT) + IN_FLIGHT_MARGIN);
  }

  /**
   * Whether each worker known to an earlier leader has sent this leader a heartbeat or has certainly lost its
   * lease.
   */
  priorLeasesExpired(at: Micros): boolean {
    return at > this.expiryOf(undefined);
  }
}
