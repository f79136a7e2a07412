/**
 * Who of the workers has lately reached this node, whatever it answered. A node may reach the state service
 * and no worker: as leader it would let every lease run out. Giving way needs evidence from both sides: workers
 * that did reach this node and do not any more, and a peer they knock at instead. Where all nodes are equally cut
 * off, nobody gives way.
 */
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { Settings } from '../settings/settings.js';

/** Of the workers heard within a lease: fewer than this part heard lately means cut off. */
const LOST_BELOW = 1 / 4;
/** A peer must hear from this part of them, and from this many times as many as this node. */
const PEER_PART = 1 / 4;
const PEER_TIMES = 2;
/** The evidence must have stood for so long. */
const CERTAIN = seconds(2);
/** Away from the lead after giving way; doubles while it happens again within `FORGET`. */
const AWAY = seconds(20);
const LONGEST_AWAY = seconds(160);
const FORGET = seconds(300);

export class Contacts {
  private readonly seen = new Map<string, Micros>();
  private times = 0;
  private lostSince: Micros | null = null;
  private gaveWayAt = Number.NEGATIVE_INFINITY;
  /** Long enough that each worker reports at least once. */
  readonly window: Micros;

  constructor(private readonly settings: Settings) {
    this.window = Math.max(seconds(3), settings.workers.report * 1.5 + 1e6) as Micros;
  }

  note(machine: string, at: Micros): void {
    this.seen.set(machine, at);
  }

  /** Workers heard within the window. */
  recent(at: Micros): number {
    let n = 0;
    for (const [id, t] of this.seen) {
      if (at - t <= this.window) n++;
      else if (at - t > this.settings.workers.lease) this.seen.delete(id);
    }
    return n;
  }

  /** The reason why this leader should give way to a peer; null: it should not. `peers`: what they say they hear. */
  cutOff(at: Micros, peers: readonly { readonly node: string; readonly contacts: number }[]): string | null {
    const recent = this.recent(at);
    const lately = this.seen.size;
    const better = peers.find(
      (p) => p.contacts >= Math.max(1, lately * PEER_PART) && p.contacts >= recent * PEER_TIMES,
    );
    if (recent >= lately * LOST_BELOW || better === undefined) {
      this.lostSince = null;
      return null;
    }
    // What a peer said is older than what this node counts: where all workers fall silent, it looks better for a moment.
    this.lostSince ??= at;
    if (at - this.lostSince < CERTAIN) return null;
    return `hears ${recent} of ${lately} workers, ${better.node} hears ${better.contacts}`;
  }

  /** For how long to stay away after giving way now: longer each time, so that the lead does not go to and fro. */
  away(at: Micros): Micros {
    if (at > plus(this.gaveWayAt as Micros, FORGET)) this.times = 0;
    this.gaveWayAt = at;
    return Math.min(LONGEST_AWAY, AWAY * 2 ** this.times++) as Micros;
  }
}
