/**
 * Whether to take work on: a pure decision from measured lag and counts (docs/overload.md). Refused work is told at
 * once when to come back, spread over a time that grows with what there is too much of, so that the refused do not
 * come back together.
 */
import { toSeconds } from '@lilacvalve/base/micros';
import type { Limits, Load, Work } from './model.js';

/** Protocol, "Users": a longer `Retry-After` than this is not waited for. */
const LONGEST_S = 30;
/** The refused come back over so many times what the node is behind. */
const SPREAD = 3;

/** Whole seconds after which to come back; null: the work is taken on. `luck` in [0, 1) spreads the refused. */
export const admit = (work: Work, load: Load, limits: Limits, luck: number): number | null => {
  const late = load.lag >= limits.lag[work];
  const full = load.inFlight[work] >= limits.inFlight[work];
  const writes = work === 'submission' && load.writeWait >= limits.writeWait;
  if (!late && !full && !writes) return null;
  const behind = toSeconds(Math.max(load.lag, writes ? load.writeWait : 0));
  return Math.min(LONGEST_S, 1 + Math.floor(luck * (1 + SPREAD * behind)));
};
