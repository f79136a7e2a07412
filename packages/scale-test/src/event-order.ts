/** Sorts events that arrive out of order from several processes and delivers them once no earlier event can arrive. */
import type { WorkerEvent } from './model.js';

/** Age after which an event is delivered; longer than a process buffers its events plus the time to send them. */
const DELIVERY_DELAY_MS = 400;

/** Buffers events until they are flushed. */
export class EventOrder {
  private buffered: WorkerEvent[] = [];

  constructor(private readonly deliver: (event: WorkerEvent) => void) {}

  add(events: readonly WorkerEvent[]): void {
    for (const event of events) this.buffered.push(event);
  }

  /** Delivers the events that are old enough at the time `now`; with `all`, every buffered event. */
  flush(now: number, all = false): void {
    if (this.buffered.length === 0) return;
    this.buffered.sort((a, b) => a.at - b.at);
    const until = all ? Number.POSITIVE_INFINITY : now - DELIVERY_DELAY_MS;
    const end = this.buffered.findIndex((event) => event.at > until);
    const ready = this.buffered.splice(0, end < 0 ? this.buffered.length : end);
    for (const event of ready) this.deliver(event);
  }
}
