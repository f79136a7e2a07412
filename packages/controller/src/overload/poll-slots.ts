/**
 * Selects the polls that a lagging controller serves. Time of day is divided into slots, the same on all
 * controllers, and a hash of the job's id determines the slots in which its polls are served. Each job is
 * therefore served regularly, whichever controller gets its polls, and no list of refused polls is needed
 * (docs/answers.md states the bound). All functions are pure.
 */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';

/**
 * Length of a slot. It exceeds the time between two polls of a user (about 5 s, and 2 s for an unanswered poll),
 * so that at least one poll falls into each slot.
 */
export const SLOT_DURATION = seconds(8);
/**
 * A job's slot recurs after this many slots: `lagging` while the controller lags, `crowded` while it also gets
 * more polls than it could serve with the shorter period. `crowded` is a multiple of `lagging`, so that a slot of
 * the longer period is also one of the shorter period on other controllers.
 */
export const SLOT_PERIOD = { lagging: 3, crowded: 6 } as const;
/** One of the periods in `SLOT_PERIOD`. */
export type SlotPeriod = (typeof SLOT_PERIOD)[keyof typeof SLOT_PERIOD];
/**
 * Margin at both ends of a slot. The clocks of controllers differ, so a poll close to the end of a slot may fall
 * into the next one elsewhere.
 */
const CLOCK_SKEW_MARGIN = seconds(0.5);

/** The position of a job's slot relative to the current time. */
export interface PollSlot {
  /** Whether the job's slot is the current one. */
  readonly isOpen: boolean;
  /**
   * Time until the job's next slot begins, without its margin (0: it has begun), and the length of the slot
   * without its margins.
   */
  readonly opensIn: Micros;
  readonly duration: Micros;
}

/** 32-bit FNV-1a hash with a final mixing step. */
const hash = (text: string): number => {
  let digest = 2166136261;
  for (let index = 0; index < text.length; index++)
    digest = Math.imul(digest ^ text.charCodeAt(index), 16777619);
  digest = Math.imul(digest ^ (digest >>> 15), 2246822519);
  return (digest ^ (digest >>> 13)) >>> 0;
};

/** Computes the slot of a job. `dayTime` is the time of day. */
export const pollSlotOf = (id: string, dayTime: Micros, period: SlotPeriod): PollSlot => {
  const slot = Math.floor(dayTime / SLOT_DURATION);
  const ownSlot = hash(id) % SLOT_PERIOD.crowded;
  const slotsAhead = (((ownSlot - slot) % period) + period) % period;
  const opensAt = (slot + slotsAhead) * SLOT_DURATION + CLOCK_SKEW_MARGIN;
  return {
    isOpen: slotsAhead === 0,
    opensIn: Math.max(0, opensAt - dayTime) as Micros,
    // One second less, because `Retry-After` is given in whole seconds.
    duration: (SLOT_DURATION - 2 * CLOCK_SKEW_MARGIN - seconds(1)) as Micros,
  };
};
