/** Events of several processes arrive out of order; they are handed on by their times, once none earlier can come. */
import type { WorkerEvent } from './model.js';

/** A process sends its events at least this often, and they are here this soon after. */
const SETTLED_MS = 400;

/** Gathers events until they are flushed. */
export class EventOrder {
  private waiting: WorkerEvent[] = [];

  constructor(private readonly deliver: (event: WorkerEvent) => void) {}

  add(events: readonly WorkerEvent[]): void {
    for (const event of events) this.waiting.push(event);
  }

  /** Hands on what is old enough at `at`; all of it with `all`. */
  flush(at: number, all = false): void {
    if (this.waiting.length === 0) return;
    this.waiting.sort((a, b) => a.at - b.at);
    const until = all ? Number.POSITIVE_INFINITY : at - SETTLED_MS;
    const end = this.waiting.findIndex((event) => event.at > until);
    const ready = this.waiting.splice(0, end < 0 ? this.waiting.length : end);
    for (const event of ready) this.deliver(event);
  }
}
