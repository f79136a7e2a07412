/**
 * Tracks the largest jobs of each class: an order by remaining work would serve them last. A leader sees unfinished jobs
 * only, so it writes the sizes of the largest jobs to the store as a hint for the next leader. Without the hint a new
 * leader would take ordinary jobs for the largest ones when all controllers are restarted several times within a day.
 */
import { Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { LARGEST_JOBS, TERM } from '../jobs/keys.js';
import type { JobSpec } from '../jobs/model.js';
import { hintWriter } from '../state-store/hint.js';
import type { StatePort } from '../state-store/port.js';
import { lastWithin, maxValueBytes } from '../state-store/transaction-limits.js';

/** A job is one of the largest if it has at least this fraction of its class's greatest number of tasks. */
const SIZE_RATIO = 0.9;
/** This many jobs of a class with the most tasks are always among its largest. */
const JOBS_PER_CLASS = 5;
/** Number of classes in the hint: those that were added last. */
const MAX_CLASSES = 60;
const WRITE_INTERVAL_MS = 5000;

type JobSize = Pick<JobSpec, 'id' | 'jobClass' | 'tasks'>;

/** The largest jobs seen of each class. */
export class LargestJobs {
  /** By class, the jobs with the most tasks, largest first. */
  private readonly topByClass = new Map<string, JobSize[]>();

  /** `hint`: the hint of an earlier leader; malformed items are ignored. */
  constructor(hint: unknown = null) {
    if (typeof hint !== 'object' || hint === null) return;
    for (const [jobClass, list] of Object.entries(hint)) {
      if (!Array.isArray(list)) continue;
      for (const item of list as unknown[]) {
        const [id, tasks] = Array.isArray(item) ? (item as unknown[]) : [];
        if (typeof id === 'string' && Number.isSafeInteger(tasks))
          this.observe({ id, jobClass, tasks: tasks as number });
      }
    }
  }

  /** Records the job if it is among its class's jobs with the most tasks. */
  observe({ id, jobClass, tasks }: JobSize): void {
    let top = this.topByClass.get(jobClass);
    if (!top) this.topByClass.set(jobClass, (top = []));
    if (top.length === JOBS_PER_CLASS && tasks <= top[JOBS_PER_CLASS - 1]!.tasks) return;
    if (top.some((job) => job.id === id)) return;
    top.push({ id, jobClass, tasks });
    top.sort((a, b) => b.tasks - a.tasks);
    top.length = Math.min(top.length, JOBS_PER_CLASS);
  }

  /** Whether the job is among the largest of its class. */
  has({ jobClass, tasks }: JobSize): boolean {
    const top = this.topByClass.get(jobClass) ?? [];
    return tasks >= Math.min(SIZE_RATIO * (top[0]?.tasks ?? 0), top[top.length - 1]?.tasks ?? 0);
  }

  /** Returns the hint for the next leader in at most `maxBytes` of JSON: job ids and numbers of tasks, by class. */
  hint(maxBytes = Number.POSITIVE_INFINITY): Record<string, (readonly [string, number])[]> {
    const latest = [...this.topByClass]
      .slice(-MAX_CLASSES)
      .map(([jobClass, top]) => [jobClass, top.map((job) => [job.id, job.tasks] as const)] as const);
    return Object.fromEntries(lastWithin(latest, maxBytes));
  }
}

/** Supervised task that writes the hint to the store periodically. */
export const largestJobsTask = (context: {
  readonly mayAct: () => boolean;
  readonly store: StatePort;
  readonly leaderTerm: { readonly revision: number };
  readonly largestJobs: LargestJobs;
  readonly settings: { readonly state: { readonly valueBytes: number } };
}) => {
  const write = hintWriter(context.store, { key: TERM, revision: context.leaderTerm.revision }, LARGEST_JOBS);
  const writeHint = Effect.suspend(() =>
    context.mayAct() ? write(context.largestJobs.hint(maxValueBytes(context.settings.state))) : Effect.void,
  );
  return supervise(
    'largest',
    Effect.sleep(WRITE_INTERVAL_MS).pipe(Effect.zipRight(writeHint), Effect.forever),
  );
};
