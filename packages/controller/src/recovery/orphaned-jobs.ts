/**
 * Jobs that only workers name: after a loss that took every other memory of them. They are kept running and their room is
 * held, they are never answered 404, and when their user submits them again what runs becomes the submitted job's. After
 * a stated time they are stopped.
 */
import { info } from '@lilacvalve/runtime/log';
import { seconds } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import type { OrphanedJob } from '../jobs/codec.js';
import { activeJobKey, finalStateKey, TERM, orphanedJobKey } from '../jobs/keys.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import { Priority } from '../state-store/budget.js';

/** Kept for so long after its first mention. */
export const KEEP_ORPHANED_FOR = seconds(600);
/** Written at one go. */
const MAX_WRITES = 8;

export const reconcileOrphanedJobs = (t: CycleContext): Effect.Effect<void> =>
  Effect.gen(function* () {
    const { registry, jobState } = t;
    const fresh = [...registry.unknownJobs]
      .filter(([id]) => !jobState.orphanedJobs.has(id) && !registry.abortedUnknownJobs.has(id))
      .slice(0, MAX_WRITES);
    const write = (
      when: { key: string; stamp: number }[],
      then: { set: string; value: unknown } | { delete: string },
    ) =>
      t.store
        .transact([{ key: TERM, stamp: t.leaderTerm.stamp }, ...when], [then], Priority.Commit, 1200)
        .pipe(
          Effect.map((o) => o.ok),
          Effect.orElseSucceed(() => false),
        );
    for (const [id, tasks] of fresh) {
      const value: OrphanedJob = { since: t.dayTime(), tasks: tasks.size };
      const written = yield* write(
        [
          { key: orphanedJobKey(id), stamp: 0 },
          { key: activeJobKey(id), stamp: 0 },
          { key: finalStateKey(id), stamp: 0 },
        ],
        { set: orphanedJobKey(id), value },
      );
      if (written)
        yield* info('job named by workers only', { term: t.leaderTerm.number, job: id, tasks: tasks.size });
    }
    for (const [id, w] of jobState.orphanedJobs) {
      const old = t.dayTime() - w.since > KEEP_ORPHANED_FOR;
      if (!old && (registry.unknownJobs.has(id) || !registry.priorLeasesExpired(t.clock()))) continue;
      // Nobody has submitted it again, or nothing of it is left.
      if (old) registry.abortedUnknownJobs.add(id);
      if (yield* write([{ key: orphanedJobKey(id), stamp: w.stamp }], { delete: orphanedJobKey(id) }))
        yield* info('ward given up', {
          term: t.leaderTerm.number,
          job: id,
          reason: old ? 'not submitted again' : 'gone',
        });
    }
    if (fresh.length > 0) yield* Effect.ignore(t.watcher.refresh);
  });
