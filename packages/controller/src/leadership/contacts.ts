/**
 * Which workers have lately reached this node, whatever it answered. A node may reach the state service and no worker: as
 * leader it would let every worker's lease expire. Stepping down needs evidence from both sides: workers that did reach
 * this node and do not any more, and a peer that they reach instead. Where all nodes are equally cut off, nobody steps
 * down.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';

/** Cut off: of the workers heard within a lease, fewer than this share were heard lately. */
const CUT_OFF_BELOW = 1 / 4;
/** A peer must hear from this share of them, and from this many times as many as this node. */
const PEER_MIN_SHARE = 1 / 4;
const PEER_MIN_RATIO = 2;
/** The evidence must have been there for so long without a gap. */
const EVIDENCE_MIN_AGE = seconds(2);
/** No campaign for so long after stepping down; doubles with each time within `BACKOFF_RESET_AFTER` of the last. */
const BASE_BACKOFF = seconds(20);
const MAX_BACKOFF = seconds(160);
const BACKOFF_RESET_AFTER = seconds(300);

/** The workers that reach this node, and whether it should step down for want of them. */
export class Contacts {
  private readonly lastContact = new Map<string, Micros>();
  private stepDowns = 0;
  private cutOffSince: Micros | null = null;
  private steppedDownAt = Number.NEGATIVE_INFINITY;
  /** Long enough that each worker sends at least one heartbeat. */
  readonly window: Micros;

  constructor(private readonly settings: Settings) {
    this.window = Math.max(seconds(3), settings.workers.report * 1.5 + 1e6) as Micros;
  }

  /** A worker's heartbeat arrived. */
  recordContact(machine: string, at: Micros): void {
    this.lastContact.set(machine, at);
  }

  /** How many workers were heard within the window. Forgets those not heard for a worker lease. */
  recentCount(at: Micros): number {
    let count = 0;
    for (const [id, heardAt] of this.lastContact) {
      if (at - heardAt <= this.window) count++;
      else if (at - heardAt > this.settings.workers.lease) this.lastContact.delete(id);
    }
    return count;
  }

  /** Why this leader should step down in favour of a peer; null: it should not. `contacts`: workers that reach that peer. */
  cutOffReason(
    at: Micros,
    peers: readonly { readonly node: string; readonly contacts: number }[],
  ): string | null {
    const recent = this.recentCount(at);
    const withinLease = this.lastContact.size;
    const better = peers.find(
      (p) => p.contacts >= Math.max(1, withinLease * PEER_MIN_SHARE) && p.contacts >= recent * PEER_MIN_RATIO,
    );
    if (recent >= withinLease * CUT_OFF_BELOW || better === undefined) {
      this.cutOffSince = null;
      return null;
    }
    // A peer's count is older than this node's: where all workers fall silent, the peer looks better for a moment.
    this.cutOffSince ??= at;
    if (at - this.cutOffSince < EVIDENCE_MIN_AGE) return null;
    return `hears ${recent} of ${withinLease} workers, ${better.node} hears ${better.contacts}`;
  }

  /** How long not to campaign after stepping down now: longer each time, so that leadership does not flap. */
  backoff(at: Micros): Micros {
    if (at > plus(this.steppedDownAt as Micros, BACKOFF_RESET_AFTER)) this.stepDowns = 0;
    this.steppedDownAt = at;
    return Math.min(MAX_BACKOFF, BASE_BACKOFF * 2 ** this.stepDowns++) as Micros;
  }
}
