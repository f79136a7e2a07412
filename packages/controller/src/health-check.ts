/**
 * Health checks that every controller runs, whether it leads or not: event-loop lag, memory, metrics and the
 * connection to the state service.
 */
import { supervise } from '@lilacvalve/runtime/supervise';
import { debug, info } from '@lilacvalve/runtime/log';
import { type Micros, millis, toMillis } from '@lilacvalve/runtime/micros';
import { sleepUntilTick, msUntilTick } from '@lilacvalve/runtime/tick';
import { Clock, Effect, FiberRef, LogLevel, Runtime } from 'effect';
import type { StoreWatcher } from './jobs/store-watcher.js';
import type { Admission } from './overload/admission.js';
import { MEMORY_LIMITS } from './overload/memory.js';
import type { StatePort } from './state-store/port.js';
import { setAnomalyListener, takeMetrics } from './metrics.js';

/** Interval between two checks. */
const CHECK_INTERVAL = millis(500);
/** Interval after a check that found a lag above `RECHECK_LAG`. */
const LAG_RECHECK_INTERVAL = millis(100);
const RECHECK_LAG = millis(300);
/** Event-loop lag from which a log line is written. */
const STALL_LOG_MS = 1500;
const LOAD_INTERVAL_MS = 10_000;

/** Whether the state service serves this controller, judged by the results of the controller's own requests. */
export const isServedBy =
  (store: Pick<StatePort, 'lastServed' | 'lastRefused'>, clock: () => Micros) => (): boolean => {
    const at = clock();
    if (at - store.lastServed > 2.5e6) return false;
    return store.lastServed >= store.lastRefused || at - store.lastServed < 1e6;
  };

/**
 * Sends a request to the state service when no other has been served for a second, so that `isServedBy` is up to
 * date even without users' requests.
 */
export const storeProbe = (
  store: Pick<StatePort, 'lastServed'>,
  watcher: StoreWatcher,
  clock: () => Micros,
) =>
  supervise(
    'probe',
    Effect.suspend(() =>
      clock() - store.lastServed > 1e6 ? Effect.ignore(watcher.refresh) : Effect.void,
    ).pipe(Effect.zipRight(sleepUntilTick(500)), Effect.forever),
  );

/** Logs when the controller approaches its memory limit and refuses new jobs, and when it accepts them again. */
export const memoryCheck = (admission: Admission) => {
  let memoryShort = false;
  return supervise(
    'memory',
    Effect.suspend(() => {
      const usageRatio = admission.sampleMemory();
      const isShort = usageRatio >= MEMORY_LIMITS.submissions;
      const logged =
        isShort === memoryShort
          ? Effect.void
          : info(isShort ? 'memory short' : 'memory suffices', { part: usageRatio.toFixed(2) });
      memoryShort = isShort;
      return logged;
    }).pipe(Effect.zipRight(sleepUntilTick(toMillis(CHECK_INTERVAL))), Effect.forever),
  );
};

/**
 * Logs stalls of the event loop. During a stall the controller's clocks advance, so its leader lease may have
 * expired.
 */
export const eventLoopCheck = (admission: Admission, isLeader: () => boolean) =>
  supervise(
    'event-loop-check',
    Effect.suspend(() => {
      // After a lag, the next check follows sooner, because the controller may have recovered immediately.
      const interval = admission.lag() > RECHECK_LAG ? LAG_RECHECK_INTERVAL : CHECK_INTERVAL;
      return Effect.flatMap(Clock.currentTimeMillis, (at) => {
        const ms = msUntilTick(at, toMillis(interval));
        admission.timerArmed(millis(ms));
        return Effect.sleep(ms);
      }).pipe(
        Effect.zipRight(
          Effect.suspend(() => {
            const lagMs = toMillis(admission.timerFired());
            return lagMs < STALL_LOG_MS
              ? Effect.void
              : info('event loop stalled', { ms: lagMs, leads: isLeader() });
          }),
        ),
      );
    }).pipe(Effect.forever),
  );

/** Logs each malformed or unexpected message, if the log level is debug. */
const logAnomalies = Effect.gen(function* () {
  if (LogLevel.greaterThan(yield* FiberRef.get(FiberRef.currentMinimumLogLevel), LogLevel.Debug)) return;
  const runtime = yield* Effect.runtime();
  setAnomalyListener((event, fields) => void Runtime.runFork(runtime)(debug(event, fields)));
});

/** Periodically logs the controller's metrics. */
export const loadReport = (isLeader: () => boolean) =>
  supervise(
    'load',
    logAnomalies.pipe(
      Effect.zipRight(Effect.sleep(LOAD_INTERVAL_MS)),
      Effect.zipRight(Effect.suspend(() => info('load', { leads: isLeader(), ...takeMetrics() }))),
      Effect.forever,
    ),
  );
