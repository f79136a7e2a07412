/**
 * Orphaned jobs: after a loss that took every other trace of them, only workers still name them. They are kept running and
 * their machines' capacity stays reserved, users never get 404 for them, and when one is submitted again, its running tasks
 * become the submitted job's. After `KEEP_ORPHANED_FOR` they are aborted.
 */
import { info } from '@lilacvalve/runtime/log';
import { seconds } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import type { OrphanedJob } from '../jobs/codec.js';
import { activeJobKey, finalStateKey, TERM, orphanedJobKey } from '../jobs/keys.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import { Priority } from '../state-store/budget.js';

/** How long an orphaned job is kept after a worker first named it. */
export const KEEP_ORPHANED_FOR = seconds(600);
/** New orphaned jobs recorded in one pass. */
const MAX_WRITES = 8;

/** Records jobs that only workers name, and drops those that are gone or have been kept for long enough. */
export const reconcileOrphanedJobs = (context: CycleContext): Effect.Effect<void> =>
  Effect.gen(function* () {
    const { registry, jobState } = context;
    const fresh = [...registry.unknownJobs]
      .filter(([id]) => !jobState.orphanedJobs.has(id) && !registry.abortedUnknownJobs.has(id))
      .slice(0, MAX_WRITES);
    const write = (
      when: { key: string; stamp: number }[],
      then: { set: string; value: unknown } | { delete: string },
    ) =>
      context.store
        .transact([{ key: TERM, stamp: context.leaderTerm.stamp }, ...when], [then], Priority.Commit, 1200)
        .pipe(
          Effect.map((o) => o.ok),
          Effect.orElseSucceed(() => false),
        );
    for (const [id, tasks] of fresh) {
      const value: OrphanedJob = { since: context.dayTime(), tasks: tasks.size };
      const written = yield* write(
        [
          { key: orphanedJobKey(id), stamp: 0 },
          { key: activeJobKey(id), stamp: 0 },
          { key: finalStateKey(id), stamp: 0 },
        ],
        { set: orphanedJobKey(id), value },
      );
      if (written)
        yield* info('orphaned job found', { term: context.leaderTerm.number, job: id, tasks: tasks.size });
    }
    for (const [id, orphaned] of jobState.orphanedJobs) {
      const expired = context.dayTime() - orphaned.since > KEEP_ORPHANED_FOR;
      if (!expired && (registry.unknownJobs.has(id) || !registry.priorLeasesExpired(context.clock())))
        continue;
      // Nobody has submitted it again, or no task of it is left.
      if (expired) registry.abortedUnknownJobs.add(id);
      if (
        yield* write([{ key: orphanedJobKey(id), stamp: orphaned.revision }], { delete: orphanedJobKey(id) })
      )
        yield* info('orphaned job aborted', {
          term: context.leaderTerm.number,
          job: id,
          reason: expired ? 'not submitted again' : 'gone',
        });
    }
    if (fresh.length > 0) yield* Effect.ignore(context.watcher.refresh);
  });
