/**
 * A rate budget with priorities. The state service limits all controllers together; each keeps to a part
 * of the whole, and within it leases go before commits and commits before reads.
 */
import { Effect } from 'effect';
import { type Micros, now } from '@lilacvalve/runtime/micros';

export const enum Priority {
  Lease = 0,
  Commit = 1,
  Read = 2,
  /** Tidying up: whenever nothing else wants the budget. */
  Upkeep = 3,
}

/** The clock that it goes by, and a call after so many milliseconds. */
export interface Timing {
  readonly now: () => Micros;
  readonly after: (ms: number, go: () => void) => void;
}
const STEADY: Timing = { now, after: (ms, go) => void setTimeout(go, ms) };

interface Waiting {
  readonly priority: Priority;
  readonly cost: number;
  readonly go: () => void;
}

export class Budget {
  private tokens: number;
  private last: Micros;
  /** As long as there are askers: users' requests are bounded in number (overload), duties ask one at a time. */
  private readonly waiting: Waiting[] = [];
  /** What all of them ask for. */
  private asked = 0;
  private armed = false;

  constructor(
    private rate: number,
    private readonly burst: number,
    private readonly time: Timing = STEADY,
  ) {
    this.tokens = burst;
    this.last = time.now();
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
    const t = this.time.now();
    this.tokens = Math.min(this.burst, this.tokens + ((t - this.last) / 1e6) * this.rate);
    this.last = t;
  }

  private arm(): void {
    if (this.armed || this.waiting.length === 0) return;
    const need = Math.min(this.waiting[0]!.cost, this.burst) - this.tokens;
    this.armed = true;
    this.time.after(Math.max(1, Math.ceil((need / this.rate) * 1000)), () => this.pump());
  }

  private pump(): void {
    this.armed = false;
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

/** One controller's parts of what the state service takes of all together. */
export class Parts {
  readonly requests: Budget;
  readonly writes: Budget;

  constructor(
    private readonly nodes: number,
    private readonly all: { readonly rps: number; readonly writeRps: number },
    time: Timing = STEADY,
  ) {
    const share = 1 / Math.max(1, nodes);
    this.requests = new Budget(all.rps * share, all.rps * share, time);
    this.writes = new Budget(all.writeRps * share, all.writeRps * share, time);
  }

  /** The leader writes the most: it takes a larger part of the budgets than its followers. */
  leading(yes: boolean): void {
    const n = this.nodes;
    const part = n <= 1 ? 0.95 : yes ? 0.5 : 0.5 / (n - 1);
    this.requests.setRate(this.all.rps * (n <= 1 ? 0.95 : yes ? 0.4 : 0.6 / (n - 1)));
    this.writes.setRate(this.all.writeRps * part);
  }

  /** After a refusal: the others have used what we thought was ours. */
  drain(): void {
    this.requests.drain();
    this.writes.drain();
  }
}
