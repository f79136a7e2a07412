/**
 * Whether to take work on: a pure decision from measured lag and counts (docs/overload.md). Refused work is told at
 * once when to come back, spread over a time that grows with what there is too much of, so that the refused do not
 * come back together. A poll is refused only out of its job's turn (turns.ts), up to a bound on what turns may cost.
 */
import { toSeconds } from '@lilacvalve/runtime/micros';
import { MEMORY_LIMITS } from './memory.js';
import type { Limits, Load, Work } from './model.js';
import type { Turn } from './turns.js';

/** Protocol, "Users": a longer `Retry-After` than this is not waited for. */
const LONGEST_S = 30;
/** The refused come back over so many times what the node is behind. */
const SPREAD = 3;

/**
 * Whole seconds after which to come back; null: the work is taken on. `luck` in [0, 1) spreads the refused. `turn`: of the
 * job that a poll asks about. `grows`: a new job, which is kept until it is over.
 */
export const admit = (
  work: Work,
  load: Load,
  limits: Limits,
  luck: number,
  turn: Turn | null = null,
  grows = false,
): number | null => {
  const late = load.lag >= limits.lag[work];
  const full = load.inFlight[work] >= limits.inFlight[work];
  const writes = work === 'submission' && load.writeWait >= limits.writeWait;
  const short = grows && load.memory >= MEMORY_LIMITS.submissions;
  if (!late && !full && !writes && !short) return null;
  if (turn?.mine && load.inFlight.poll < limits.turns.inFlight && load.turns < limits.turns.aSecond)
    return null;
  const behind = toSeconds(Math.max(load.lag, writes ? load.writeWait : 0));
  // Behind for a moment only, it answers whoever comes next; else a poll is worth its while in its own turn.
  if (turn !== null && load.lag >= limits.lag.submission)
    return Math.min(LONGEST_S, Math.max(1, Math.ceil(toSeconds(turn.after + luck * turn.lasts))));
  return Math.min(LONGEST_S, 1 + Math.floor(luck * (1 + SPREAD * behind)));
};
