/** Retries a transaction of a leadership term until its outcome is known. */
import { Effect, Random } from 'effect';
import { TERM } from '../jobs/keys.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Outcome, Rejected, Write } from '../state-store/client.js';
import type { CycleContext } from './cycle-context.js';

/** Outcome of a transaction; `revision` is null if the transaction was applied at an unknown revision. */
export type KnownOutcome =
  Exclude<Outcome, { ok: true }> | { readonly ok: true; readonly revision: number | null };

/**
 * Sends the transaction until its outcome is known, or until the leadership term has ended (null). While the leader may not
 * act, the function waits: if it gave up, a log entry might be applied without this controller's knowledge. Fails if the
 * state service rejects the transaction: then no copy of it was or will be applied.
 *
 * `probe`: a key whose condition fails if the transaction was applied before. If a resent transaction fails on it and not on
 * the term, the first copy was applied.
 */
export const transactUntilKnown = (
  context: CycleContext,
  when: readonly Condition[],
  then: readonly Write[],
  probe: string,
  priority = Priority.Commit,
): Effect.Effect<KnownOutcome | null, Rejected> =>
  Effect.gen(function* () {
    let mayBeApplied = false;
    for (;;) {
      if (!context.isCurrentTerm()) return null;
      if (!context.mayAct()) {
        yield* Effect.sleep(100);
        continue;
      }
      const result = yield* Effect.either(context.store.transact(when, then, priority, 1200));
      if (result._tag === 'Right') {
        // An earlier copy got no response, and now the probe key has changed: that copy was applied.
        if (
          !result.right.ok &&
          mayBeApplied &&
          result.right.failed.includes(probe) &&
          !result.right.failed.includes(TERM)
        ) {
          return { ok: true, revision: null } as const;
        }
        if (result.right.ok) context.watcher.noteOwnCommit(result.right.revision);
        return result.right;
      }
      if (result.left._tag === 'Rejected') return yield* result.left;
      if (result.left._tag === 'NoResponse') mayBeApplied = true;
      yield* Effect.sleep(60 + 80 * (yield* Random.next));
    }
  });
