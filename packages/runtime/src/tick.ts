/**
 * Aligned timers. Periodic tasks run at the multiples of their period, so that many of them run at the same moment. Waking the
 * process rarely for many tasks costs a fraction of waking it for each one.
 */
import { Clock, Effect } from 'effect';

/**
 * Returns the milliseconds from the time `nowMs` to the next multiple of `periodMs`. The result is at least a tenth of the
 * period, so that a timer that fires slightly early does not fire twice for one tick.
 */
export const msUntilTick = (nowMs: number, periodMs: number): number => {
  const remaining = periodMs - (nowMs % periodMs);
  return remaining < periodMs / 10 ? remaining + periodMs : remaining;
};

/** Sleeps until the next multiple of `periodMs`. */
export const sleepUntilTick = (periodMs: number): Effect.Effect<void> =>
  Effect.flatMap(Clock.currentTimeMillis, (nowMs) => Effect.sleep(msUntilTick(nowMs, periodMs)));

/** Runs an effect, and interrupts it at the next multiple of `periodMs`. */
export const runUntilTick = <A>(effect: Effect.Effect<A>, periodMs: number): Effect.Effect<void> =>
  Effect.flatMap(Clock.currentTimeMillis, (nowMs) =>
    Effect.asVoid(Effect.timeoutOption(effect, msUntilTick(nowMs, periodMs))),
  );
