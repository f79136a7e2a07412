/** Requests that are delivered a second time, late: what a network or a dying process may do with any of them. */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { FaultLog } from './fault-log.js';
import type { Time } from './time.js';

interface SentRequest {
  readonly at: number;
  readonly again: () => void;
}
/** Requests of one sender that may come again. */
const KEPT = 60;
/** Requests no older than this may come again after their sender's end, microseconds. */
const KEPT_FOR = 10e6;

/** Remembers what each sender has sent lately, and delivers some of it once more. Does nothing unless enabled. */
export class DuplicateDelivery {
  private readonly sent = new Map<string, SentRequest[]>();

  constructor(
    private readonly enabled: boolean,
    private readonly time: Time,
    private readonly random: RandomSource,
    private readonly log: FaultLog,
  ) {}

  /** A request has been sent. `again` delivers a copy of it, whose answer nobody waits for. */
  sending(from: string, again: () => void): void {
    if (!this.enabled) return;
    const list = this.sent.get(from) ?? [];
    list.push({ at: this.time.now, again });
    if (list.length > KEPT) list.shift();
    this.sent.set(from, list);
    if (this.random.chance(0.01)) this.deliverLate(again);
  }

  /** A process or a machine has ended: what it sent lately may come once more after it. */
  senderEnded(from: string): void {
    for (const request of this.sent.get(from) ?? [])
      if (request.at > this.time.now - KEPT_FOR && this.random.chance(0.5)) this.deliverLate(request.again);
    this.sent.delete(from);
  }

  private deliverLate(again: () => void): void {
    const delay = this.random.chance(0.2) ? this.random.between(2e6, 40e6) : this.random.between(1000, 2e6);
    this.log.strike('echoes');
    this.time.after(delay, again);
  }
}
