/** The second step of a rebuild: makes the gathered views durable. Each transaction's conditions make a repetition harmless. */
import { info } from '@lilacvalve/runtime/log';
import { Effect, Random } from 'effect';
import { decodeFinalStates } from '../jobs/codec.js';
import { activeJobKey, FINAL_STATES, FINAL_STATE_PAGES, LOG_ENTRIES, TERM } from '../jobs/keys.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import { Priority } from '../state-store/budget.js';
import type { StateFailure } from '../state-store/client.js';
import { calendarWriteSteps } from './calendar-recovery.js';
import type { GatheredViews } from './gathered-views.js';
import type { RebuildContext } from './rebuild-context.js';
import { planRebuild } from './rebuild-plan.js';
import { type WriteStep, writeSteps } from './write-steps.js';

/** Maximum passes. A second one is needed only if writes failed or other processes wrote at the same time. */
const MAX_PASSES = 20;

/**
 * Applies one step and retries until the store responds. Returns false if a condition failed, the state service rejected the
 * step, or the term has ended.
 */
export const applyStep = (context: RebuildContext, step: WriteStep): Effect.Effect<boolean> =>
  Effect.gen(function* () {
    const when = [{ key: TERM, revision: context.leaderTerm.revision }, ...step.when];
    for (;;) {
      if (!context.isCurrentTerm()) return false;
      if (!context.mayAct()) {
        yield* Effect.sleep(100);
        continue;
      }
      const result = yield* Effect.either(context.store.transact(when, step.then, Priority.Commit, 1500));
      if (result._tag === 'Right') return result.right.ok;
      if (result.left._tag === 'Rejected') return false;
      yield* Effect.sleep(60 + 80 * (yield* Random.next));
    }
  });

/** Returns the ids of all jobs whose final state is in the store, under a key of its own or on a page. */
const durableFinals = (watcher: StoreWatcher): Effect.Effect<Set<string>, StateFailure> =>
  Effect.gen(function* () {
    const ids = new Set<string>();
    for (const entry of (yield* watcher.listAll(FINAL_STATES)).entries)
      ids.add(entry.key.slice(FINAL_STATES.length));
    for (const entry of (yield* watcher.listAll(FINAL_STATE_PAGES)).entries)
      for (const [id] of decodeFinalStates(entry.value)) ids.add(id);
    return ids;
  });

/** Number of passes in this process, so that no two passes write bundles of the same name. */
let passCount = 0;

/**
 * Writes the gathered views in as many passes as necessary. Returns whether all of their content is durable. `exclusive`: see
 * `WritePass.exclusive`.
 */
export const writeBack = (
  context: RebuildContext,
  gathered: GatheredViews,
  exclusive: boolean,
): Effect.Effect<boolean, StateFailure> =>
  Effect.gen(function* () {
    for (let pass = 0; pass < MAX_PASSES && context.isCurrentTerm(); pass++) {
      yield* context.watcher.refresh;
      const finals = gathered.finalStates(context);
      const durable = yield* durableFinals(context.watcher);
      const headers = gathered.allHeaders(context);
      // While other processes append log entries, a written job may include only the entries in this controller's view.
      const sequence = exclusive
        ? Math.max(context.jobState.lastSequence, ...headers.map((header) => header.lastSequence))
        : context.jobState.lastSequence;
      const plan = planRebuild(
        {
          jobs: context.jobState.jobs,
          damaged: (id) => context.jobState.damaged.get(activeJobKey(id)),
          hasFinal: (id) => durable.has(id),
          // What the store has after a loss may be of any age. What was written after a rebuild is newer than any view.
          generation: exclusive ? -1 : Number.MAX_SAFE_INTEGER,
          revision: -1,
        },
        gathered.versionsByJob(context),
        finals,
        sequence,
      );
      const id = `${context.leaderTerm.number}-${++passCount}`;
      // Log entries that can't be decoded are deleted: the gathered views contain what is known of them.
      const undecodable = [...context.jobState.damaged].filter(([key]) => key.startsWith(LOG_ENTRIES));
      const steps = [
        ...calendarWriteSteps(
          context.jobState.calendars,
          gathered.mergedCalendar(context),
          context.settings.state.valueBytes,
          context.jobState.damaged,
        ),
        ...writeSteps(context.jobState, context.settings.state, plan, { id, sequence, exclusive }),
        ...undecodable.map(([key, revision]): WriteStep => ({
          when: [{ key, revision: revision }],
          then: [{ delete: key }],
        })),
      ];
      if (steps.length === 0) return true;
      yield* info('rebuild writing', {
        term: context.leaderTerm.number,
        missing: plan.missing.length,
        differing: plan.differing.length,
        over: plan.finals.length + plan.close.length,
        changes: steps.reduce((sum, step) => sum + step.then.length, 0),
      });
      for (const step of steps) {
        yield* applyStep(context, step);
        if (!context.isCurrentTerm()) return false;
      }
    }
    return false;
  });
