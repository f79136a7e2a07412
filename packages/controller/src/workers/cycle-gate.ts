/** Delays heartbeat responses until the next scheduling cycle has run. */
import type { Micros } from '@lilacvalve/runtime/micros';

interface Waiter {
  readonly waitingSince: Micros;
  readonly callback: () => void;
}

/**
 * Callbacks that wait for the next scheduling cycle. A callback registered during a cycle waits for the cycle
 * after it. The number of callbacks is bounded by the heartbeats that senders have in flight to this controller.
 */
export class CycleGate {
  private waitingForNext: Waiter[] = [];
  private waitingForCurrent: Waiter[] = [];

  constructor(private readonly clock: () => Micros) {}

  /** Calls `callback` when the first cycle that begins after this call has ended. */
  wait(callback: () => void): void {
    this.waitingForNext.push({ waitingSince: this.clock(), callback });
  }

  /** Marks the start of a cycle. */
  cycleBegan(): void {
    this.waitingForCurrent.push(...this.waitingForNext.splice(0));
  }

  /** Marks the end of a cycle and releases the callbacks that waited for it. */
  cycleEnded(): void {
    release(this.waitingForCurrent.splice(0));
  }

  /**
   * Releases callbacks that have waited for at least `maxWait`: the log entry of a cycle may itself wait for the
   * state service.
   */
  releaseOverdue(maxWait: Micros): void {
    const oldestAllowed = this.clock() - maxWait;
    const overdue = [...this.waitingForCurrent, ...this.waitingForNext].filter(
      (waiter) => waiter.waitingSince <= oldestAllowed,
    );
    if (overdue.length === 0) return;
    this.waitingForCurrent = this.waitingForCurrent.filter((waiter) => waiter.waitingSince > oldestAllowed);
    this.waitingForNext = this.waitingForNext.filter((waiter) => waiter.waitingSince > oldestAllowed);
    release(overdue);
  }
}

/** Runs all callbacks even if some throw, then rethrows the first failure to the supervised task. */
const release = (waiters: readonly Waiter[]): void => {
  let firstFailure: { readonly reason: unknown } | null = null;
  for (const waiter of waiters) {
    try {
      waiter.callback();
    } catch (reason) {
      firstFailure ??= { reason };
    }
  }
  if (firstFailure !== null) throw firstFailure.reason;
};
