/**
 * Duties that look at something now and then do it at the same moments, the multiples of their period: a node that wakes
 * seldom for many things does them for a fraction of what it costs to wake for each.
 */
import { Clock, Effect } from 'effect';

/** Milliseconds from `at` to the next tick: at least a tenth of the period, so that a timer a moment early ticks once. */
export const untilTick = (at: number, everyMs: number): number => {
  const left = everyMs - (at % everyMs);
  return left < everyMs / 10 ? left + everyMs : left;
};

/** Until the next multiple of `everyMs`. */
export const tick = (everyMs: number): Effect.Effect<void> =>
  Effect.flatMap(Clock.currentTimeMillis, (at) => Effect.sleep(untilTick(at, everyMs)));

/** `what`, given up at the next tick. */
export const orTick = <A>(what: Effect.Effect<A>, everyMs: number): Effect.Effect<void> =>
  Effect.flatMap(Clock.currentTimeMillis, (at) =>
    Effect.asVoid(Effect.timeoutOption(what, untilTick(at, everyMs))),
  );
