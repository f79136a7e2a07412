/** Keeps the counts and the lag that `admit` decides from. */
import { type Answer, retryLater } from '@lilacvalve/base/http-server';
import { type Micros, plus } from '@lilacvalve/base/micros';
import { tally } from '../tally.js';
import { admit } from './admit.js';
import { type Limits, limitsOf, type Load, type Work } from './model.js';

/** Successive multiples of it, taken modulo 1, lie as evenly as can be however many there are. */
const GOLDEN = 0.6180339887498949;

export class Admission {
  private readonly inFlight: Record<Work, number> = { poll: 0, submission: 0, order: 0, report: 0 };
  private readonly limits: Limits;
  private refusals = 0;
  /** When the pulse is due, and how late the last one was. */
  private due = Number.POSITIVE_INFINITY;
  private last = 0;

  constructor(
    maxConnections: number,
    private readonly clock: () => Micros,
    private readonly writeWait: () => Micros,
  ) {
    this.limits = limitsOf(maxConnections);
  }

  /** The pulse sleeps: how late it is when it wakes is how late everything is. */
  sleeps(forMicros: Micros): void {
    this.due = plus(this.clock(), forMicros);
  }

  /** How late it woke. */
  woke(): Micros {
    this.last = Math.max(0, this.clock() - this.due);
    return this.last as Micros;
  }

  /** A pulse that is overdue says more than the one before it. */
  lag(): Micros {
    return Math.max(this.last, this.clock() - this.due, 0) as Micros;
  }

  load(): Load {
    return { lag: this.lag(), inFlight: this.inFlight, writeWait: this.writeWait() };
  }

  /** null: taken on, and `leave` must be called once it is answered; else what to answer instead. */
  enter(work: Work): Answer | null {
    const afterS = admit(work, this.load(), this.limits, (this.refusals * GOLDEN) % 1);
    if (afterS === null) {
      this.inFlight[work]++;
      return null;
    }
    this.refusals++;
    tally('refused');
    return retryLater('overloaded', afterS);
  }

  leave(work: Work): void {
    this.inFlight[work]--;
  }
}
