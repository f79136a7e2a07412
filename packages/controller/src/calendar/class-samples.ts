/** Samples of class durations that a leader has gathered since it last stored them. Kept in memory for one leadership term. */
import type { Micros } from '@lilacvalve/runtime/micros';

export class ClassSamples {
  /** Ratios of task durations to their estimates that are not stored yet, by class. */
  readonly ratios = new Map<string, number[]>();
  /** Clock time when samples were last stored; null: not in this term. */
  writtenAt: Micros | null = null;
  /** Clock time when the leader last logged that the calendar expires soon; null: not in this term. */
  noticedAt: Micros | null = null;
}
