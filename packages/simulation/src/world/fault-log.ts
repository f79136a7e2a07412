/** What faults have struck, and until when answers may be missing because of them. */
import type { Faults } from './faults.js';
import type { Step } from './lending.js';
import type { Rules } from './rules.js';
import type { Time } from './time.js';

/** A fault by its name, a message passed on by another controller, or a leader's death after a step of a loan. */
export type Strike = keyof Faults | 'relayed' | `after_${Step}`;

/** Counts the faults that struck, and extends the time in which the rules excuse missing answers. */
export class FaultLog {
  /** How often each fault struck: one that no seed ever draws is not tested. */
  readonly struck: Partial<Record<Strike, number>> = {};

  constructor(
    private readonly time: Time,
    private readonly rules: Rules,
  ) {}

  /** Counts a fault. Always true, so that a condition may end with it. */
  strike(what: Strike): true {
    this.struck[what] = (this.struck[what] ?? 0) + 1;
    return true;
  }

  /** A fault begins that lasts so long: until then, nobody need be answered. */
  disturbed(lasts: number): void {
    this.disturbedUntil(this.time.now + lasts);
  }

  /** As `disturbed`, up to a moment. */
  disturbedUntil(end: number): void {
    this.rules.quiescentAt = Math.max(this.rules.quiescentAt, end);
  }
}
