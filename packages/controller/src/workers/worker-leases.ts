/**
 * When a worker's lease has surely expired. An older leader that still answers heartbeats may renew it, until enough
 * controllers know this term.
 */
import { DRIFT, type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { CONFIRMATION_VALID } from '../leadership/peers.js';
import type { Settings } from '../settings/settings.js';
import type { Machine } from './machine.js';

/** Spared for messages that were on their way when the lease ended. */
const MARGIN = seconds(1);

/** Until when each worker's lease may run. */
export class WorkerLeases {
  /** Until when an older leader may have renewed leases; null: not known yet. */
  private olderLeaderUntil: Micros | null = null;

  constructor(
    private readonly settings: Settings['workers'],
    private readonly termBegan: Micros,
  ) {}

  /** Enough controllers have acknowledged this term: what they granted an older leader still counts for a while. */
  termAcknowledged(at: Micros): void {
    this.olderLeaderUntil ??= plus(at, CONFIRMATION_VALID);
  }

  /**
   * After this a worker's lease has surely expired, counted from the response that may have renewed it last. Until the
   * worker has shown this term's token, that may be an older leader's. `undefined`: a worker never heard of.
   */
  expiryOf(machine: Machine | undefined): Micros {
    const from = machine?.confirmed
      ? machine.lastAnswered
      : Math.max(machine?.lastAnswered ?? this.termBegan, this.olderLeaderUntil ?? Number.POSITIVE_INFINITY);
    return plus(from as Micros, this.settings.lease * (1 + 2 * DRIFT) + MARGIN);
  }

  /** Whatever an earlier leader knew of has sent this one a heartbeat, or its lease has surely expired. */
  priorExpired(at: Micros): boolean {
    return at > this.expiryOf(undefined);
  }
}
