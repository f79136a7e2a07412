/** Supervision of long-lived tasks: a failure is logged, and the task is restarted with backoff. */
import { Cause, Clock, Effect } from 'effect';
import { error } from './log.js';

/** Maximum delay before a restart. */
const MAX_DELAY_MS = 5_000;
/** After a run of at least this duration, the backoff of earlier failures is reset. */
const HEALTHY_RUN_MS = 10_000;

/** Runs `body` forever; restarts it when it completes or fails. Only an interruption ends the task. */
export const supervise = <E, R>(
  name: string,
  body: Effect.Effect<unknown, E, R>,
): Effect.Effect<never, never, R> =>
  Effect.gen(function* () {
    let delay = 100;
    for (;;) {
      const startedAt = yield* Clock.currentTimeMillis;
      const exit = yield* Effect.exit(body);
      if (exit._tag === 'Failure') {
        if (Cause.isInterruptedOnly(exit.cause)) return yield* Effect.interrupt;
        yield* error('supervised task failed', { name, reason: Cause.pretty(exit.cause).slice(0, 600) });
        const runTime = (yield* Clock.currentTimeMillis) - startedAt;
        delay = runTime > HEALTHY_RUN_MS ? 200 : Math.min(MAX_DELAY_MS, delay * 2);
      }
      yield* Effect.sleep(delay);
    }
  });
