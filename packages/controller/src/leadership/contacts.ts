/**
 * Tracks which workers have recently reached this controller, whatever the response was. A leader that reaches the state
 * service but no workers would let every worker's lease expire, and should step down. That takes two pieces of evidence:
 * workers that used to reach this controller no longer do, and they reach a peer instead. If all controllers are equally
 * cut off, no leader steps down.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';

/** A controller is cut off if fewer than this fraction of the workers that reached it within a lease did so recently. */
const CUT_OFF_BELOW = 1 / 4;
/** A peer qualifies as successor only if at least this fraction of the same number of workers reach it. */
const PEER_MIN_FRACTION = 1 / 4;
/** A peer qualifies as successor only if at least this many times as many workers reach it as reach this controller. */
const PEER_MIN_RATIO = 2;
/** How long the evidence must hold without interruption before the leader steps down. */
const EVIDENCE_MIN_AGE = seconds(2);
/** How long not to campaign after stepping down; doubles each time within `BACKOFF_RESET_AFTER` of the previous one. */
const BASE_BACKOFF = seconds(20);
const MAX_BACKOFF = seconds(160);
const BACKOFF_RESET_AFTER = seconds(300);

/** The workers that reach this controller. Decides whether it should step down because too few do. */
export class Contacts {
  private readonly lastContact = new Map<string, Micros>();
  private stepDowns = 0;
  private cutOffSince: Micros | null = null;
  private steppedDownAt = Number.NEGATIVE_INFINITY;
  /** A worker counts as reaching this controller for this long after a heartbeat: longer than the heartbeat interval. */
  readonly window: Micros;

  constructor(private readonly settings: Settings) {
    this.window = Math.max(seconds(3), settings.workers.heartbeatInterval * 1.5 + 1e6) as Micros;
  }

  /** Notes that a worker's heartbeat has arrived. */
  recordContact(machine: string, at: Micros): void {
    this.lastContact.set(machine, at);
  }

  /** Number of workers that have reached this controller within the window. Drops workers silent for a worker lease. */
  recentCount(at: Micros): number {
    let count = 0;
    for (const [machine, lastContactAt] of this.lastContact) {
      if (at - lastContactAt <= this.window) count++;
      else if (at - lastContactAt > this.settings.workers.lease) this.lastContact.delete(machine);
    }
    return count;
  }

  /**
   * The reason why this leader should step down in favour of a peer; null: it should not. `peers`: the possible successors,
   * with the number of workers that reach each (`contacts`).
   */
  cutOffReason(
    at: Micros,
    peers: readonly { readonly node: string; readonly contacts: number }[],
  ): string | null {
    const recent = this.recentCount(at);
    const withinLease = this.lastContact.size;
    const successor = peers.find(
      (peer) =>
        peer.contacts >= Math.max(1, withinLease * PEER_MIN_FRACTION) &&
        peer.contacts >= recent * PEER_MIN_RATIO,
    );
    if (recent >= withinLease * CUT_OFF_BELOW || successor === undefined) {
      this.cutOffSince = null;
      return null;
    }
    // A peer's count is older than this controller's own: when all workers fall silent, the peer's looks higher at first.
    this.cutOffSince ??= at;
    if (at - this.cutOffSince < EVIDENCE_MIN_AGE) return null;
    return `reached by ${recent} of ${withinLease} workers, ${successor.node} by ${successor.contacts}`;
  }

  /** How long not to campaign after stepping down at `at`: longer each time, so that leadership does not flap. */
  backoff(at: Micros): Micros {
    if (at > plus(this.steppedDownAt as Micros, BACKOFF_RESET_AFTER)) this.stepDowns = 0;
    this.steppedDownAt = at;
    return Math.min(MAX_BACKOFF, BASE_BACKOFF * 2 ** this.stepDowns++) as Micros;
  }
}
