/** What a node does whether it leads or not, to know how it stands: its pulse, its counts, its tie to the state service. */
import { supervise } from '@lilacvalve/runtime/supervise';
import { debug, info } from '@lilacvalve/runtime/log';
import { type Micros, millis, toMillis } from '@lilacvalve/runtime/micros';
import { tick, untilTick } from '@lilacvalve/runtime/tick';
import { Clock, Effect, FiberRef, LogLevel, Runtime } from 'effect';
import type { StoreWatcher } from './jobs/store-watcher.js';
import type { Admission } from './overload/admission.js';
import { MEMORY_LIMITS } from './overload/memory.js';
import type { StatePort } from './state-store/port.js';
import { listenToAnomalies, takeMetrics } from './metrics.js';

const CHECK_EVERY = millis(500);
const QUICK_CHECK_EVERY = millis(100);
const LATE = millis(300);
/** A pulse so much too late is worth a line in the log. */
const STILL_MS = 1500;
const LOAD_EVERY_MS = 10_000;

/** Whether the state service serves this node, as far as its own requests tell. */
export const isServedBy =
  (store: Pick<StatePort, 'lastServed' | 'lastRefused'>, clock: () => Micros) => (): boolean => {
    const at = clock();
    if (at - store.lastServed > 2.5e6) return false;
    return store.lastServed >= store.lastRefused || at - store.lastServed < 1e6;
  };

/** Keeps that true to the moment, also when no user asks for anything. */
export const storeProbe = (
  store: Pick<StatePort, 'lastServed'>,
  watcher: StoreWatcher,
  clock: () => Micros,
) =>
  supervise(
    'probe',
    Effect.suspend(() =>
      clock() - store.lastServed > 1e6 ? Effect.ignore(watcher.refresh) : Effect.void,
    ).pipe(Effect.zipRight(tick(500)), Effect.forever),
  );

/** Operators should see in the log that a node nears its memory's limit and takes no more jobs, and when that is over. */
export const memoryCheck = (admission: Admission) => {
  let short = false;
  return supervise(
    'memory',
    Effect.suspend(() => {
      const part = admission.lookAtMemory();
      const now = part >= MEMORY_LIMITS.submissions;
      const said =
        now === short
          ? Effect.void
          : info(now ? 'memory short' : 'memory suffices', { part: part.toFixed(2) });
      short = now;
      return said;
    }).pipe(Effect.zipRight(tick(toMillis(CHECK_EVERY))), Effect.forever),
  );
};

/** Operators should see in the log that this node stood still: its clocks ran on, and its right may be gone. */
export const eventLoopCheck = (admission: Admission, leads: () => boolean) =>
  supervise(
    'event-loop-check',
    Effect.suspend(() => {
      // One that was late is looked at again soon: the node may have caught up at once.
      const beat = admission.lag() > LATE ? QUICK_CHECK_EVERY : CHECK_EVERY;
      return Effect.flatMap(Clock.currentTimeMillis, (at) => {
        const ms = untilTick(at, toMillis(beat));
        admission.sleeps(millis(ms));
        return Effect.sleep(ms);
      }).pipe(
        Effect.zipRight(
          Effect.suspend(() => {
            const gap = toMillis(admission.woke());
            return gap < STILL_MS ? Effect.void : info('event loop stalled', { ms: gap, leads: leads() });
          }),
        ),
      );
    }).pipe(Effect.forever),
  );

/** One line for each odd message, where the log's level asks for it. */
const oddLines = Effect.gen(function* () {
  if (LogLevel.greaterThan(yield* FiberRef.get(FiberRef.currentMinimumLogLevel), LogLevel.Debug)) return;
  const runtime = yield* Effect.runtime();
  listenToAnomalies((event, fields) => void Runtime.runFork(runtime)(debug(event, fields)));
});

/** What this node did, whether it leads or not. */
export const loadReport = (leads: () => boolean) =>
  supervise(
    'load',
    oddLines.pipe(
      Effect.zipRight(Effect.sleep(LOAD_EVERY_MS)),
      Effect.zipRight(Effect.suspend(() => info('load', { leads: leads(), ...takeMetrics() }))),
      Effect.forever,
    ),
  );
