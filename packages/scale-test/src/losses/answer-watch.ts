/** Watches for how long nothing is answered about a job: once all faults are over, too long a silence is a violation. */

/** Seconds of a clock that only goes forward. */
const nowS = (): number => performance.now() / 1000;

/** One watch serves all users of a run. */
export class AnswerWatch {
  /** Seconds of the longest silence outside faults. */
  longestS = 0;
  private readonly answeredAt = new Map<string, number>();
  private faultsUntil = 0;

  /** A silence of more than `mostS` seconds outside faults is a violation. */
  constructor(private readonly mostS: number) {}

  /** A fault goes on for so many seconds more. */
  faultLasts(seconds: number): void {
    this.faultsUntil = Math.max(this.faultsUntil, nowS() + seconds);
  }

  /**
   * A poll has ended. `answered`: it was not refused, reset or left without an answer. Returns the violation, said once for
   * each silence; null: there is none.
   */
  polled(job: string, answered: boolean): string | null {
    const now = nowS();
    const silentS = now - Math.max(this.answeredAt.get(job) ?? now, this.faultsUntil);
    this.longestS = Math.max(this.longestS, silentS);
    if (answered || !this.answeredAt.has(job)) this.answeredAt.set(job, now);
    if (answered || silentS <= this.mostS) return null;
    this.answeredAt.set(job, now);
    return `${job}: no answer for ${Math.round(silentS)} s`;
  }
}
