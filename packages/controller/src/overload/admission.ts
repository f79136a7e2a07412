/** Maintains the counts and the event-loop lag that `admit` decides by. */
import { type HttpResponse, retryLater } from '@lilacvalve/runtime/http-server';
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import { countMetric } from '../metrics.js';
import { admit } from './admit.js';
import { MEMORY_LIMITS } from './memory.js';
import { type Limits, limitsOf, type Load, type WorkClass } from './model.js';
import { SLOT_PERIOD, pollSlotOf } from './poll-slots.js';

const SECOND = 1e6;

/**
 * Fractional part of the golden ratio. Its successive multiples modulo 1 are spread evenly over [0, 1), however
 * many there are.
 */
const GOLDEN_RATIO_FRACTION = 0.6180339887498949;

/** Admission control of one controller: counts the requests in flight and measures the lag of the event loop. */
export class Admission {
  private readonly inFlight: Record<WorkClass, number> = { poll: 0, submission: 0, order: 0, report: 0 };
  private readonly limits: Limits;
  private refusals = 0;
  /** When the lag timer is due, and the delay with which it last fired. */
  private timerDue = Number.POSITIVE_INFINITY;
  private lastLag = 0;
  private memoryRatio = 0;
  /**
   * Counts of the current second: its start, the polls offered in it and in the second before, and the polls
   * admitted in it because their job's slot was open.
   */
  private currentSecond = { startedAt: Number.NEGATIVE_INFINITY, polls: 0, previousPolls: 0, slotPolls: 0 };

  constructor(
    maxConnections: number,
    private readonly clock: () => Micros,
    private readonly writeWait: () => Micros,
    /** The controller's share of a core. */
    cores = 1,
    private readonly dayTime: () => Micros = clock,
    /** Returns the fraction of its memory that the controller uses. */
    private readonly memoryUsage: () => number = () => 0,
  ) {
    this.limits = limitsOf(maxConnections, cores);
  }

  /** Called when the lag timer is armed: the delay with which it fires is the lag of the event loop. */
  timerArmed(delay: Micros): void {
    this.timerDue = plus(this.clock(), delay);
  }

  /** Measures the memory usage. The result is used until the next call. */
  sampleMemory(): number {
    return (this.memoryRatio = this.memoryUsage());
  }

  /** Whether the leader may start more tasks: the state of each running task takes memory. */
  get mayStart(): boolean {
    return this.memoryRatio < MEMORY_LIMITS.starts;
  }

  /** Called when the lag timer fires; returns its delay. */
  timerFired(): Micros {
    this.lastLag = Math.max(0, this.clock() - this.timerDue);
    return this.lastLag as Micros;
  }

  /** Current lag of the event loop. An overdue timer shows a lag before it fires. */
  lag(): Micros {
    return Math.max(this.lastLag, this.clock() - this.timerDue, 0) as Micros;
  }

  load(): Load {
    return {
      lag: this.lag(),
      inFlight: this.inFlight,
      writeWait: this.writeWait(),
      slotPolls: this.currentSecond.slotPolls,
      memory: this.memoryRatio,
    };
  }

  private countPoll(): void {
    const elapsed = this.clock() - this.currentSecond.startedAt;
    if (elapsed >= SECOND)
      this.currentSecond = {
        startedAt: this.clock(),
        polls: 0,
        previousPolls: elapsed < 2 * SECOND ? this.currentSecond.polls : 0,
        slotPolls: 0,
      };
    this.currentSecond.polls++;
  }

  /**
   * Decides on admitting a piece of work. null: it is admitted, and the caller must call `leave` when it is done;
   * otherwise the response to send instead. `jobId` is the job that a poll asks for. `createsJob`: the request
   * submits a new job.
   */
  enter(work: WorkClass, jobId: string | null = null, createsJob = false): HttpResponse | null {
    if (work === 'poll') this.countPoll();
    const load = this.load();
    const crowded =
      Math.max(this.currentSecond.polls, this.currentSecond.previousPolls) >
      this.limits.slotPolls.crowdedPerSecond;
    const slot =
      work === 'poll' && jobId !== null
        ? pollSlotOf(jobId, this.dayTime(), crowded ? SLOT_PERIOD.crowded : SLOT_PERIOD.lagging)
        : null;
    const retryAfterS = admit(
      work,
      load,
      this.limits,
      (this.refusals * GOLDEN_RATIO_FRACTION) % 1,
      slot,
      createsJob,
    );
    if (retryAfterS === null) {
      if (slot?.isOpen && load.lag >= this.limits.lag.poll) this.currentSecond.slotPolls++;
      this.inFlight[work]++;
      return null;
    }
    this.refusals++;
    countMetric('refused');
    return retryLater('overloaded', retryAfterS);
  }

  leave(work: WorkClass): void {
    this.inFlight[work]--;
  }
}
