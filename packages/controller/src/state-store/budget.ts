/**
 * A rate budget with priorities. The state service limits all controllers together; each keeps to a part
 * of the whole, and within it leases go before commits and commits before reads.
 */
import { Effect } from 'effect';
import { type Micros, now } from '@lilacvalve/base/micros';

export const enum Priority {
  Lease = 0,
  Commit = 1,
  Read = 2,
  /** Tidying up: whenever nothing else wants the budget. */
  Upkeep = 3,
}

interface Waiting {
  readonly priority: Priority;
  readonly cost: number;
  readonly go: () => void;
}

export class Budget {
  private tokens: number;
  private last = now();
  /** As long as there are askers: users' requests are bounded in number (overload), duties ask one at a time. */
  private readonly waiting: Waiting[] = [];
  /** What all of them ask for. */
  private asked = 0;
  private timer: NodeJS.Timeout | null = null;

  constructor(
    private rate: number,
    private readonly burst: number,
  ) {
    this.tokens = burst;
  }

  setRate(rate: number): void {
    this.refill();
    this.rate = rate;
  }

  /** After a refusal: the others have used what we thought was ours. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }

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
        const entry: Waiting = { priority, cost, go: () => resume(Effect.void) };
        const at = this.waiting.findIndex((w) => w.priority > priority);
        if (at < 0) this.waiting.push(entry);
        else this.waiting.splice(at, 0, entry);
        this.asked += cost;
        this.arm();
        return Effect.sync(() => {
          const i = this.waiting.indexOf(entry);
          if (i < 0) return;
          this.waiting.splice(i, 1);
          this.asked -= cost;
        });
      });
    });
  }

  /** How long one more would wait. */
  wait(): Micros {
    this.refill();
    return Math.max(0, Math.round(((this.asked - this.tokens) / this.rate) * 1e6)) as Micros;
  }

  private refill(): void {
    const t = now();
    this.tokens = Math.min(this.burst, this.tokens + ((t - this.last) / 1e6) * this.rate);
    this.last = t;
  }

  private arm(): void {
    if (this.timer !== null || this.waiting.length === 0) return;
    const need = Math.min(this.waiting[0]!.cost, this.burst) - this.tokens;
    this.timer = setTimeout(() => this.pump(), Math.max(1, Math.ceil((need / this.rate) * 1000)));
  }

  private pump(): void {
    this.timer = null;
    this.refill();
    while (this.waiting.length > 0 && this.tokens >= Math.min(this.waiting[0]!.cost, this.burst)) {
      const w = this.waiting.shift()!;
      this.asked -= w.cost;
      this.tokens -= w.cost;
      w.go();
    }
    this.arm();
  }
}
