/** Supervision of a long-lived task: whatever fails inside is logged, and the task starts again with backoff. */
import { Cause, Clock, Effect } from 'effect';
import { error } from './log.js';

const LONGEST_WAIT_MS = 5_000;
/** A task that ran this long before it failed starts again without the backoff of earlier failures. */
const HEALTHY_MS = 10_000;

export const supervise = <E, R>(
  name: string,
  body: Effect.Effect<unknown, E, R>,
): Effect.Effect<never, never, R> =>
  Effect.gen(function* () {
    let wait = 100;
    for (;;) {
      const began = yield* Clock.currentTimeMillis;
      const exit = yield* Effect.exit(body);
      if (exit._tag === 'Failure') {
        if (Cause.isInterruptedOnly(exit.cause)) return yield* Effect.interrupt;
        yield* error('supervised task failed', { name, reason: Cause.pretty(exit.cause).slice(0, 600) });
        const lasted = (yield* Clock.currentTimeMillis) - began;
        wait = lasted > HEALTHY_MS ? 200 : Math.min(LONGEST_WAIT_MS, wait * 2);
      }
      yield* Effect.sleep(wait);
    }
  });
