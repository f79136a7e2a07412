/**
 * A rate limiter (token bucket) with priorities. The state service limits the rate of all controllers together. Each
 * controller keeps to a fixed fraction of the limit; within it, leases precede commits, and commits precede reads.
 */
import { Effect } from 'effect';
import { type Micros, monotonicNow } from '@lilacvalve/runtime/micros';

/** Priority of a request to the state service; a lower number is granted first. */
export const enum Priority {
  Lease = 0,
  Commit = 1,
  Read = 2,
  /** Background maintenance: granted only when no other request is waiting. */
  Upkeep = 3,
}

/** The clock and timers of a limiter; simulations provide their own. */
export interface Timing {
  readonly now: () => Micros;
  /** Calls `callback` after `ms` milliseconds. */
  readonly after: (ms: number, callback: () => void) => void;
}
const REAL_TIME: Timing = { now: monotonicNow, after: (ms, callback) => void setTimeout(callback, ms) };

interface WaitingRequest {
  readonly priority: Priority;
  readonly cost: number;
  readonly grant: () => void;
}

/** A token bucket that is refilled by `rate` tokens a second and holds at most `burst`. */
export class Budget {
  private tokens: number;
  private refilledAt: Micros;
  /**
   * Waiting requests in the order in which they are granted. Bounded by the callers: admission control (src/overload)
   * limits users' requests, and each background task waits for one request at a time.
   */
  private readonly waiting: WaitingRequest[] = [];
  /** The cost of all waiting requests together. */
  private queuedCost = 0;
  private timerSet = false;

  constructor(
    private rate: number,
    private readonly burst: number,
    private readonly timing: Timing = REAL_TIME,
  ) {
    this.tokens = burst;
    this.refilledAt = timing.now();
  }

  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
  }

  /** Empties the bucket. Called after a refusal, which shows that other controllers have used up the common limit. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }

  /** Completes once `cost` is taken from the budget. Leases never wait. */
  take(priority: Priority, cost: number): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.refill();
      // A lease request may overdraw the bucket: losing the lease costs more than a refused request.
      if (
        priority === Priority.Lease ||
        (this.waiting.length === 0 && this.tokens >= Math.min(cost, this.burst))
      ) {
        this.tokens -= cost;
        return Effect.void;
      }
      return Effect.async<void>((resume) => {
        const request: WaitingRequest = { priority, cost, grant: () => resume(Effect.void) };
        const position = this.waiting.findIndex((queued) => queued.priority > priority);
        if (position < 0) this.waiting.push(request);
        else this.waiting.splice(position, 0, request);
        this.queuedCost += cost;
        this.setTimer();
        return Effect.sync(() => {
          const index = this.waiting.indexOf(request);
          if (index < 0) return;
          this.waiting.splice(index, 1);
          this.queuedCost -= cost;
        });
      });
    });
  }

  /** How long a request made now would wait, in microseconds. */
  wait(): Micros {
    this.refill();
    return Math.max(0, Math.round(((this.queuedCost - this.tokens) / this.rate) * 1e6)) as Micros;
  }

  private refill(): void {
    const now = this.timing.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.refilledAt) / 1e6) * this.rate);
    this.refilledAt = now;
  }

  private setTimer(): void {
    if (this.timerSet || this.waiting.length === 0) return;
    const missing = Math.min(this.waiting[0]!.cost, this.burst) - this.tokens;
    this.timerSet = true;
    this.timing.after(Math.max(1, Math.ceil((missing / this.rate) * 1000)), () => this.grantWaiting());
  }

  private grantWaiting(): void {
    this.timerSet = false;
    this.refill();
    while (this.waiting.length > 0 && this.tokens >= Math.min(this.waiting[0]!.cost, this.burst)) {
      const request = this.waiting.shift()!;
      this.queuedCost -= request.cost;
      this.tokens -= request.cost;
      request.grant();
    }
    this.setTimer();
  }
}

/** One controller's fractions of the state service's limits for requests and for writes. */
export class StoreBudgets {
  readonly requests: Budget;
  readonly writes: Budget;

  constructor(
    private readonly controllers: number,
    private readonly limits: { readonly rps: number; readonly writeRps: number },
    timing: Timing = REAL_TIME,
  ) {
    const fraction = 1 / Math.max(1, controllers);
    this.requests = new Budget(limits.rps * fraction, limits.rps * fraction, timing);
    this.writes = new Budget(limits.writeRps * fraction, limits.writeRps * fraction, timing);
  }

  /** Sets the rates for a leader or a follower: the leader writes the most and gets a larger fraction of the limits. */
  leading(isLeader: boolean): void {
    const controllers = this.controllers;
    const writeFraction = controllers <= 1 ? 0.95 : isLeader ? 0.5 : 0.5 / (controllers - 1);
    this.requests.setRate(
      this.limits.rps * (controllers <= 1 ? 0.95 : isLeader ? 0.4 : 0.6 / (controllers - 1)),
    );
    this.writes.setRate(this.limits.writeRps * writeFraction);
  }

  /** Empties both buckets. Called after a refusal, which shows that other controllers have used up the common limit. */
  drain(): void {
    this.requests.drain();
    this.writes.drain();
  }
}
