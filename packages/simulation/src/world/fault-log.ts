/** Records which faults were injected, and until when responses may be missing because of them. */
import type { Faults } from './faults.js';
import type { LoanStep } from './lending.js';
import type { Rules } from './rules.js';
import type { Time } from './time.js';

/**
 * Name of an injected fault: a fault of the day, a request that one controller relayed to another (`relayed`), or a
 * crash of the leader after a step of a loan.
 */
export type FaultName = keyof Faults | 'relayed' | `after_${LoanStep}`;

/** Counts injected faults, and extends the disruption during which the rules accept missing responses. */
export class FaultLog {
  /** Number of times that each fault was injected. A fault that no seed ever injects is not tested. */
  readonly injected: Partial<Record<FaultName, number>> = {};

  constructor(
    private readonly time: Time,
    private readonly rules: Rules,
  ) {}

  /** Counts an injected fault. Always returns true, so that a condition can end with this call. */
  recordInjected(fault: FaultName): true {
    this.injected[fault] = (this.injected[fault] ?? 0) + 1;
    return true;
  }

  /** Marks a disruption of `durationUs` from now on, during which requests may go without a response. */
  disruptedFor(durationUs: number): void {
    this.disruptedUntil(this.time.now + durationUs);
  }

  /** Marks a disruption up to the time `end`, in microseconds of simulated time. */
  disruptedUntil(end: number): void {
    this.rules.disruptedUntil = Math.max(this.rules.disruptedUntil, end);
  }
}
