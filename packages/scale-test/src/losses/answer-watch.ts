/** Measures how long requests about a job stay unanswered. Outside faults, exceeding the maximum is a violation. */

/** Returns the time of a monotonic clock, in seconds. */
const nowS = (): number => performance.now() / 1000;

/** Tracks the responses about all jobs of a run. */
export class ResponseWatch {
  /** Longest time without a response about a job outside faults, in seconds. */
  longestUnansweredS = 0;
  private readonly answeredAt = new Map<string, number>();
  private faultEndsAt = 0;

  /** Outside faults, more than `maxUnansweredS` seconds without a response about a job are a violation. */
  constructor(private readonly maxUnansweredS: number) {}

  /** Extends the current fault to at least `seconds` from now. */
  extendFault(seconds: number): void {
    this.faultEndsAt = Math.max(this.faultEndsAt, nowS() + seconds);
  }

  /**
   * Records the end of a poll. `answered`: a response with the job's state or status 404 was received. Returns a
   * violation if the job has been unanswered for too long, else null. After a violation the measured time begins anew.
   */
  recordPoll(job: string, answered: boolean): string | null {
    const now = nowS();
    const unansweredS = now - Math.max(this.answeredAt.get(job) ?? now, this.faultEndsAt);
    this.longestUnansweredS = Math.max(this.longestUnansweredS, unansweredS);
    if (answered || !this.answeredAt.has(job)) this.answeredAt.set(job, now);
    if (answered || unansweredS <= this.maxUnansweredS) return null;
    this.answeredAt.set(job, now);
    return `${job}: no response for ${Math.round(unansweredS)} s`;
  }
}
