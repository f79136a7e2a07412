/** What a leader sees of classes' durations between two writes of them; kept in memory for a leadership term. */
import type { Micros } from '@lilacvalve/runtime/micros';

/** Samples that are not written yet, and when the leader last wrote them and warned of the calendar's end. */
export class ClassSamples {
  /** By class: how many times their estimate tasks took. */
  readonly ratios = new Map<string, number[]>();
  writtenAt: Micros | null = null;
  noticedAt: Micros | null = null;
}
