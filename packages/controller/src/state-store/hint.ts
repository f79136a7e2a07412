/**
 * Hints that a leader writes for its successor, one key each. A hint that is lost or outdated costs the successor time, but
 * never correctness.
 */
import { Effect } from 'effect';
import { Priority } from './budget.js';
import type { Condition } from './client.js';
import type { StatePort } from './port.js';

/**
 * Returns a function that writes a value to `key`, under the condition `when`, unless it equals the last value written or
 * rejected. A failed write is not repeated; the next call writes again.
 */
export const hintWriter = (store: StatePort, when: Condition, key: string) => {
  let settled = '';
  return (value: unknown): Effect.Effect<void> =>
    Effect.suspend(() => {
      const text = JSON.stringify(value);
      if (text === settled) return Effect.void;
      return store.transact([when], [{ set: key, value }], Priority.Upkeep, 1200).pipe(
        Effect.tap((outcome) => Effect.sync(() => (settled = outcome.ok ? text : settled))),
        Effect.tapErrorTag('Rejected', () => Effect.sync(() => (settled = text))),
        Effect.ignore,
      );
    });
};
