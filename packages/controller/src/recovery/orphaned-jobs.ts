/**
 * Orphaned jobs: jobs that are known only from the heartbeats of workers that run their tasks, after a data loss that took
 * everything else. Their tasks keep running, the capacity they use stays reserved, and users never get 404 for them. If such a
 * job is submitted again, its running tasks are adopted by the submitted job. After `ORPHANED_JOB_TIMEOUT` it is aborted.
 */
import { info } from '@lilacvalve/runtime/log';
import { seconds } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import type { OrphanedJob } from '../jobs/codec.js';
import { activeJobKey, finalStateKey, TERM, orphanedJobKey } from '../jobs/keys.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import { Priority } from '../state-store/budget.js';

/** How long an orphaned job is kept after a worker first reported it. */
export const ORPHANED_JOB_TIMEOUT = seconds(600);
/** Maximum new orphaned jobs recorded in one pass. */
const MAX_JOBS_PER_PASS = 8;

/** Records new orphaned jobs, and removes those without a task left and those whose timeout has passed. */
export const reconcileOrphanedJobs = (context: CycleContext): Effect.Effect<void> =>
  Effect.gen(function* () {
    const { registry, jobState } = context;
    const newJobs = [...registry.unknownJobs]
      .filter(([id]) => !jobState.orphanedJobs.has(id) && !registry.abortedUnknownJobs.has(id))
      .slice(0, MAX_JOBS_PER_PASS);
    const write = (
      when: { key: string; revision: number }[],
      then: { set: string; value: unknown } | { delete: string },
    ) =>
      context.store
        .transact(
          [{ key: TERM, revision: context.leaderTerm.revision }, ...when],
          [then],
          Priority.Commit,
          1200,
        )
        .pipe(
          Effect.map((outcome) => outcome.ok),
          Effect.orElseSucceed(() => false),
        );
    for (const [id, tasks] of newJobs) {
      const value: OrphanedJob = { since: context.dayTime(), tasks: tasks.size };
      const written = yield* write(
        [
          { key: orphanedJobKey(id), revision: 0 },
          { key: activeJobKey(id), revision: 0 },
          { key: finalStateKey(id), revision: 0 },
        ],
        { set: orphanedJobKey(id), value },
      );
      if (written)
        yield* info('orphaned job found', { term: context.leaderTerm.number, job: id, tasks: tasks.size });
    }
    for (const [id, orphaned] of jobState.orphanedJobs) {
      const expired = context.dayTime() - orphaned.since > ORPHANED_JOB_TIMEOUT;
      if (!expired && (registry.unknownJobs.has(id) || !registry.priorLeasesExpired(context.clock())))
        continue;
      // Either the job was not submitted again in time, and its tasks are stopped, or no worker runs a task of it any more.
      if (expired) registry.abortedUnknownJobs.add(id);
      if (
        yield* write([{ key: orphanedJobKey(id), revision: orphaned.revision }], {
          delete: orphanedJobKey(id),
        })
      )
        yield* info('orphaned job aborted', {
          term: context.leaderTerm.number,
          job: id,
          reason: expired ? 'not submitted again' : 'no task left',
        });
    }
    if (newJobs.length > 0) yield* Effect.ignore(context.watcher.refresh);
  });
