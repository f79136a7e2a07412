/**
 * A rate limiter (token bucket) with priorities. The state service limits all controllers together; each keeps to a share of
 * the whole, and within that leases go before commits and commits before reads.
 */
import { Effect } from 'effect';
import { type Micros, now } from '@lilacvalve/runtime/micros';

/** In which order waiting requests get the budget. */
export const enum Priority {
  Lease = 0,
  Commit = 1,
  Read = 2,
  /** Housekeeping: whenever nothing else wants the budget. */
  Upkeep = 3,
}

/** The clock, and a call after so many milliseconds; simulations put in their own. */
export interface Timing {
  readonly now: () => Micros;
  readonly after: (ms: number, go: () => void) => void;
}
const REAL_TIME: Timing = { now, after: (ms, go) => void setTimeout(go, ms) };

interface WaitingRequest {
  readonly priority: Priority;
  readonly cost: number;
  readonly go: () => void;
}

/** A token bucket of `rate` a second and at most `burst` at once. */
export class Budget {
  private tokens: number;
  private refilledAt: Micros;
  /** Bounded by who asks: users' requests are limited in number (overload), tasks ask one at a time. */
  private readonly waiting: WaitingRequest[] = [];
  /** The cost of all waiting requests together. */
  private queuedCost = 0;
  private timerSet = false;

  constructor(
    private rate: number,
    private readonly burst: number,
    private readonly time: Timing = REAL_TIME,
  ) {
    this.tokens = burst;
    this.refilledAt = time.now();
  }

  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
  }

  /** After a refusal: other controllers have used what this one thought was its share. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }

  /** Completes once `cost` is taken from the budget. Leases never wait. */
  take(priority: Priority, cost: number): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.refill();
      // Leases may overdraw: losing the lease costs more than a refusal.
      if (
        priority === Priority.Lease ||
        (this.waiting.length === 0 && this.tokens >= Math.min(cost, this.burst))
      ) {
        this.tokens -= cost;
        return Effect.void;
      }
      return Effect.async<void>((resume) => {
        const entry: WaitingRequest = { priority, cost, go: () => resume(Effect.void) };
        const at = this.waiting.findIndex((w) => w.priority > priority);
        if (at < 0) this.waiting.push(entry);
        else this.waiting.splice(at, 0, entry);
        this.queuedCost += cost;
        this.setTimer();
        return Effect.sync(() => {
          const i = this.waiting.indexOf(entry);
          if (i < 0) return;
          this.waiting.splice(i, 1);
          this.queuedCost -= cost;
        });
      });
    });
  }

  /** How long one more request would wait; microseconds. */
  wait(): Micros {
    this.refill();
    return Math.max(0, Math.round(((this.queuedCost - this.tokens) / this.rate) * 1e6)) as Micros;
  }

  private refill(): void {
    const now = this.time.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) / 1e6) * this.rate);
    this.refilledAt = now;
  }

  private setTimer(): void {
    if (this.timerSet || this.waiting.length === 0) return;
    const need = Math.min(this.waiting[0]!.cost, this.burst) - this.tokens;
    this.timerSet = true;
    this.time.after(Math.max(1, Math.ceil((need / this.rate) * 1000)), () => this.grantWaiting());
  }

  private grantWaiting(): void {
    this.timerSet = false;
    this.refill();
    while (this.waiting.length > 0 && this.tokens >= Math.min(this.waiting[0]!.cost, this.burst)) {
      const waiter = this.waiting.shift()!;
      this.queuedCost -= waiter.cost;
      this.tokens -= waiter.cost;
      waiter.go();
    }
    this.setTimer();
  }
}

/** One controller's shares of the state service's rate limits. */
export class StoreBudgets {
  readonly requests: Budget;
  readonly writes: Budget;

  constructor(
    private readonly nodes: number,
    private readonly limits: { readonly rps: number; readonly writeRps: number },
    time: Timing = REAL_TIME,
  ) {
    const share = 1 / Math.max(1, nodes);
    this.requests = new Budget(limits.rps * share, limits.rps * share, time);
    this.writes = new Budget(limits.writeRps * share, limits.writeRps * share, time);
  }

  /** The leader writes the most: it takes a larger share of the limits than its followers. */
  leading(yes: boolean): void {
    const nodes = this.nodes;
    const part = nodes <= 1 ? 0.95 : yes ? 0.5 : 0.5 / (nodes - 1);
    this.requests.setRate(this.limits.rps * (nodes <= 1 ? 0.95 : yes ? 0.4 : 0.6 / (nodes - 1)));
    this.writes.setRate(this.limits.writeRps * part);
  }

  /** After a refusal: other controllers have used what this one thought was its share. */
  drain(): void {
    this.requests.drain();
    this.writes.drain();
  }
}
