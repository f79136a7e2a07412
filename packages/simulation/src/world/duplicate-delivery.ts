/**
 * Delivers some requests a second time, late, as a network may do, in particular with requests of a process that has
 * exited.
 */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { FaultLog } from './fault-log.js';
import type { Time } from './time.js';

interface SentRequest {
  readonly at: number;
  readonly deliverAgain: () => void;
}
/** Maximum number of recent requests kept for each sender. */
const MAX_KEPT_REQUESTS = 60;
/** Maximum age of a request that may be delivered again after its sender has exited, in microseconds. */
const MAX_REPLAY_AGE = 10e6;

/** Keeps the recent requests of each sender, and delivers some of them again. Does nothing unless enabled. */
export class DuplicateDelivery {
  private readonly sent = new Map<string, SentRequest[]>();

  constructor(
    private readonly enabled: boolean,
    private readonly time: Time,
    private readonly random: RandomSource,
    private readonly log: FaultLog,
  ) {}

  /** Records a sent request. `deliverAgain` delivers a copy of it, whose response is discarded. */
  recordSent(from: string, deliverAgain: () => void): void {
    if (!this.enabled) return;
    const requests = this.sent.get(from) ?? [];
    requests.push({ at: this.time.now, deliverAgain });
    if (requests.length > MAX_KEPT_REQUESTS) requests.shift();
    this.sent.set(from, requests);
    if (this.random.chance(0.01)) this.deliverLate(deliverAgain);
  }

  /** Handles the exit of a process or a machine: some of its recent requests are delivered once more afterwards. */
  senderExited(from: string): void {
    for (const request of this.sent.get(from) ?? [])
      if (request.at > this.time.now - MAX_REPLAY_AGE && this.random.chance(0.5))
        this.deliverLate(request.deliverAgain);
    this.sent.delete(from);
  }

  private deliverLate(deliverAgain: () => void): void {
    const delay = this.random.chance(0.2) ? this.random.between(2e6, 40e6) : this.random.between(1000, 2e6);
    this.log.recordInjected('echoes');
    this.time.after(delay, deliverAgain);
  }
}
