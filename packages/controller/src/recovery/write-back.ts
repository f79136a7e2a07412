/** The second step of a rebuild: what has been gathered is made durable, under conditions that let a step be repeated. */
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

/** A pass writes what is missing by then; more are needed only where writes fail or others write at the same time. */
const MAX_PASSES = 20;

/** Applies one step, however often that must be tried. false: a condition failed, or the term is over. */
export const applyStep = (context: RebuildContext, step: WriteStep): Effect.Effect<boolean> =>
  Effect.gen(function* () {
    const when = [{ key: TERM, stamp: context.leaderTerm.stamp }, ...step.when];
    for (;;) {
      if (!context.isCurrentTerm()) return false;
      if (!context.mayAct()) {
        yield* Effect.sleep(100);
        continue;
      }
      const sent = yield* Effect.either(context.store.transact(when, step.then, Priority.Commit, 1500));
      if (sent._tag === 'Right') return sent.right.ok;
      yield* Effect.sleep(60 + 80 * (yield* Random.next));
    }
  });

/** Ids of all jobs whose final state is durable, by a key of its own or on a page. */
const durableFinals = (watcher: StoreWatcher): Effect.Effect<Set<string>, StateFailure> =>
  Effect.gen(function* () {
    const out = new Set<string>();
    for (const e of (yield* watcher.listAll(FINAL_STATES)).entries) out.add(e.key.slice(FINAL_STATES.length));
    for (const entry of (yield* watcher.listAll(FINAL_STATE_PAGES)).entries)
      for (const [id] of decodeFinalStates(entry.value)) out.add(id);
    return out;
  });

/** Counts the passes of this process, so that no two write bundles of one name. */
let runs = 0;

/** Makes durable what has been gathered, in as many passes as it takes. true: all of it is. `quiet`: see `Pass`. */
export const writeBack = (
  context: RebuildContext,
  gathered: GatheredViews,
  quiet: boolean,
): Effect.Effect<boolean, StateFailure> =>
  Effect.gen(function* () {
    for (let pass = 0; pass < MAX_PASSES && context.isCurrentTerm(); pass++) {
      yield* context.watcher.refresh;
      const finals = gathered.finalStates(context);
      const durable = yield* durableFinals(context.watcher);
      const headers = gathered.allHeaders(context);
      // While others append records, a job may include only those that are known by now.
      const seq = quiet
        ? Math.max(context.jobState.lastSequence, ...headers.map((h) => h.lastSeq))
        : context.jobState.lastSequence;
      const plan = planRebuild(
        {
          jobs: context.jobState.jobs,
          damaged: (id) => context.jobState.damaged.get(activeJobKey(id)),
          hasFinal: (id) => durable.has(id),
          // What is left after a loss may be of any age; what has been written since a rebuild is the latest.
          generation: quiet ? -1 : Number.MAX_SAFE_INTEGER,
          revision: -1,
        },
        gathered.versionsByJob(context),
        finals,
        seq,
      );
      const run = `${context.leaderTerm.number}-${++runs}`;
      // A record that can't be read: what is known of it comes from the views.
      const unreadable = [...context.jobState.damaged].filter(([key]) => key.startsWith(LOG_ENTRIES));
      const steps = [
        ...calendarWriteSteps(
          context.jobState.calendars,
          gathered.joinedCalendar(context),
          context.settings.state.valueBytes,
          context.jobState.damaged,
        ),
        ...writeSteps(context.jobState, context.settings.state, plan, { run, seq, quiet }),
        ...unreadable.map(([key, stamp]): WriteStep => ({ when: [{ key, stamp }], then: [{ delete: key }] })),
      ];
      if (steps.length === 0) return true;
      yield* info('rebuild writing', {
        term: context.leaderTerm.number,
        missing: plan.missing.length,
        differing: plan.differing.length,
        over: plan.finals.length + plan.close.length,
        changes: steps.reduce((n, s) => n + s.then.length, 0),
      });
      for (const step of steps) {
        yield* applyStep(context, step);
        if (!context.isCurrentTerm()) return false;
      }
    }
    return false;
  });
