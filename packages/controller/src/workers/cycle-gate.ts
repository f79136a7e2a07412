/** Holds heartbeats' responses back until the next scheduling cycle has run. */
import type { Micros } from '@lilacvalve/runtime/micros';

interface Waiter {
  readonly since: Micros;
  readonly then: () => void;
}

/**
 * Those that wait for the next cycle; whoever asks during a cycle waits for the one after it. As many as there are heartbeats
 * on their way to this controller, which their senders bound.
 */
export class CycleGate {
  private next: Waiter[] = [];
  private current: Waiter[] = [];

  constructor(private readonly clock: () => Micros) {}

  /** Calls `then` once a cycle that begins after this has ended. */
  wait(then: () => void): void {
    this.next.push({ since: this.clock(), then });
  }

  /** A cycle begins. */
  cycleBegan(): void {
    this.current.push(...this.next.splice(0));
  }

  /** It has ended. */
  cycleEnded(): void {
    release(this.current.splice(0));
  }

  /** Releases those that have waited for `longest`: a cycle's record may wait for the state service. */
  releaseOverdue(longest: Micros): void {
    const limit = this.clock() - longest;
    const overdue = [...this.current, ...this.next].filter((w) => w.since <= limit);
    if (overdue.length === 0) return;
    this.current = this.current.filter((w) => w.since > limit);
    this.next = this.next.filter((w) => w.since > limit);
    release(overdue);
  }
}

/** One that fails must not keep the others waiting; the first failure is thrown to the supervised task. */
const release = (waiters: readonly Waiter[]): void => {
  let failed: { readonly reason: unknown } | null = null;
  for (const waiter of waiters) {
    try {
      waiter.then();
    } catch (reason) {
      failed ??= { reason };
    }
  }
  if (failed !== null) throw failed.reason;
};
