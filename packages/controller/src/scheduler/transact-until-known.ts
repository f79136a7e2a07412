/** Sends a transaction of a leadership term until its outcome is known. */
import { Effect, Random } from 'effect';
import { TERM } from '../jobs/keys.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Outcome, Write } from '../state-store/client.js';
import type { CycleContext } from './cycle-context.js';

/** An outcome; `revision` null: applied, but at which revision is not known. */
export type KnownOutcome =
  Exclude<Outcome, { ok: true }> | { readonly ok: true; readonly revision: number | null };

/**
 * Sends one transaction until its outcome is known or the leadership term is over. Without right it waits: giving up
 * in between would leave a log entry that may be applied and that nobody here counts with.
 */
export const transactUntilKnown = (
  t: CycleContext,
  when: readonly Condition[],
  then: readonly Write[],
  probe: string,
  priority = Priority.Commit,
): Effect.Effect<KnownOutcome | null> =>
  Effect.gen(function* () {
    let unsure = false;
    for (;;) {
      if (!t.isCurrentTerm()) return null;
      if (!t.mayAct()) {
        yield* Effect.sleep(100);
        continue;
      }
      const r = yield* Effect.either(t.store.transact(when, then, priority, 1200));
      if (r._tag === 'Right') {
        // Sent before without an answer, and now its own key stands in the way: the first copy was applied.
        if (!r.right.ok && unsure && r.right.failed.includes(probe) && !r.right.failed.includes(TERM)) {
          return { ok: true, revision: null } as const;
        }
        if (r.right.ok) t.watcher.noteOwnCommit(r.right.revision);
        return r.right;
      }
      if (r.left._tag === 'NoAnswer') unsure = true;
      yield* Effect.sleep(60 + 80 * (yield* Random.next));
    }
  });
