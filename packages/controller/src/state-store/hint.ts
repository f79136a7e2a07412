/** A hint for the next leader: one key, written when its value has changed. If it is lost or old, that costs time only. */
import { Effect } from 'effect';
import { Priority } from './budget.js';
import type { Condition } from './client.js';
import type { StatePort } from './port.js';

/** Writes `value` to `key` unless it was the last one written. A failed write is left to the next call. */
export const hintWriter = (store: StatePort, when: Condition, key: string) => {
  let written = '';
  return (value: unknown): Effect.Effect<void> =>
    Effect.suspend(() => {
      const text = JSON.stringify(value);
      if (text === written) return Effect.void;
      return store.transact([when], [{ set: key, value }], Priority.Upkeep, 1200).pipe(
        Effect.tap((r) => Effect.sync(() => (written = r.ok ? text : written))),
        Effect.ignore,
      );
    });
};
