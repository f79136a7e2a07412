/** Keeps the counts and the lag that `admit` decides from. */
import { type Answer, retryLater } from '@lilacvalve/runtime/http-server';
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import { countMetric } from '../metrics.js';
import { admit } from './admit.js';
import { MEMORY_LIMITS } from './memory.js';
import { type Limits, limitsOf, type Load, type Work } from './model.js';
import { SHARES, turnOf } from './turns.js';

const SECOND = 1e6;

/** Successive multiples of it, taken modulo 1, lie as evenly as can be however many there are. */
const GOLDEN = 0.6180339887498949;

/** Admission control of one controller: counts what is in flight and measures how late its event loop runs. */
export class Admission {
  private readonly inFlight: Record<Work, number> = { poll: 0, submission: 0, order: 0, report: 0 };
  private readonly limits: Limits;
  private refusals = 0;
  /** When the pulse is due, and how late the last one was. */
  private due = Number.POSITIVE_INFINITY;
  private last = 0;
  private memoryPart = 0;
  /** The second that is counted; polls offered in it and in the one before, and taken in it by right of their turn. */
  private second = { at: Number.NEGATIVE_INFINITY, offered: 0, before: 0, turns: 0 };

  constructor(
    maxConnections: number,
    private readonly clock: () => Micros,
    private readonly writeWait: () => Micros,
    /** The node's share of a core. */
    cores = 1,
    private readonly dayTime: () => Micros = clock,
    /** The part of its memory that the node uses. */
    private readonly memory: () => number = () => 0,
  ) {
    this.limits = limitsOf(maxConnections, cores);
  }

  /** The pulse sleeps: how late it is when it wakes is how late everything is. */
  sleeps(forMicros: Micros): void {
    this.due = plus(this.clock(), forMicros);
  }

  /** Looks at the memory; what it answers holds until it is asked again. */
  lookAtMemory(): number {
    return (this.memoryPart = this.memory());
  }

  /** The leader must not let more tasks run than it has memory for. */
  get mayStart(): boolean {
    return this.memoryPart < MEMORY_LIMITS.starts;
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
    return {
      lag: this.lag(),
      inFlight: this.inFlight,
      writeWait: this.writeWait(),
      turns: this.second.turns,
      memory: this.memoryPart,
    };
  }

  private count(): void {
    const passed = this.clock() - this.second.at;
    if (passed >= SECOND)
      this.second = {
        at: this.clock(),
        offered: 0,
        before: passed < 2 * SECOND ? this.second.offered : 0,
        turns: 0,
      };
    this.second.offered++;
  }

  /**
   * null: taken on, and `leave` must be called once it is answered; else what to answer instead. `job`: whom a poll asks
   * about. `grows`: a new job.
   */
  enter(work: Work, job: string | null = null, grows = false): Answer | null {
    if (work === 'poll') this.count();
    const load = this.load();
    const storm = Math.max(this.second.offered, this.second.before) > this.limits.turns.storm;
    const turn =
      work === 'poll' && job !== null
        ? turnOf(job, this.dayTime(), storm ? SHARES.storm : SHARES.behind)
        : null;
    const afterS = admit(work, load, this.limits, (this.refusals * GOLDEN) % 1, turn, grows);
    if (afterS === null) {
      if (turn?.mine && load.lag >= this.limits.lag.poll) this.second.turns++;
      this.inFlight[work]++;
      return null;
    }
    this.refusals++;
    countMetric('refused');
    return retryLater('overloaded', afterS);
  }

  leave(work: Work): void {
    this.inFlight[work]--;
  }
}
