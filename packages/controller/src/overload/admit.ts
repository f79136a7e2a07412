/**
 * Admission decision: a pure function of measured lag and counts (docs/overload.md). Refused clients get
 * the time of their retry immediately. The retries are spread over a time that grows with the backlog, so that they do not
 * arrive together. A poll is refused only outside its job's slot (poll-slots.ts), except that the number of polls
 * admitted because of their slot is bounded.
 */
import { toSeconds } from '@lilacvalve/runtime/micros';
import { MEMORY_LIMITS } from './memory.js';
import type { Limits, Load, WorkClass } from './model.js';
import type { PollSlot } from './poll-slots.js';

/** Maximum `Retry-After`, in seconds. By the protocol for users, clients do not wait longer than this. */
const MAX_RETRY_AFTER_S = 30;
/** Retries are spread over this many times the current backlog. */
const RETRY_SPREAD_FACTOR = 3;

/**
 * Returns the number of seconds after which to retry, or null if the work is admitted. `random` in [0, 1) spreads
 * the retries. `slot` is the slot of the job that a poll asks for. `createsJob`: the request submits a new job,
 * which takes memory until it has finished.
 */
export const admit = (
  work: WorkClass,
  load: Load,
  limits: Limits,
  random: number,
  slot: PollSlot | null = null,
  createsJob = false,
): number | null => {
  const lagging = load.lag >= limits.lag[work];
  const full = load.inFlight[work] >= limits.inFlight[work];
  const writesDelayed = work === 'submission' && load.writeWait >= limits.writeWait;
  const memoryShort = createsJob && load.memory >= MEMORY_LIMITS.submissions;
  if (!lagging && !full && !writesDelayed && !memoryShort) return null;
  if (
    slot?.isOpen &&
    load.inFlight.poll < limits.slotPolls.inFlight &&
    load.slotPolls < limits.slotPolls.perSecond
  )
    return null;
  const backlogS = toSeconds(Math.max(load.lag, writesDelayed ? load.writeWait : 0));
  // With a short lag, any poll may be served after a retry; with a longer lag, a retry makes sense only in the
  // job's own slot.
  if (slot !== null && load.lag >= limits.lag.submission)
    return Math.min(
      MAX_RETRY_AFTER_S,
      Math.max(1, Math.ceil(toSeconds(slot.opensIn + random * slot.duration))),
    );
  return Math.min(MAX_RETRY_AFTER_S, 1 + Math.floor(random * (1 + RETRY_SPREAD_FACTOR * backlogS)));
};
