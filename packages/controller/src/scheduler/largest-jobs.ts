/**
 * The largest jobs of each class: the ones that an order by size would serve last. A leader sees the jobs that are not over
 * only; which were larger before them is a hint that it leaves to the next one, who would else take ordinary jobs for
 * largest ones (day: cairo fleet restart, where every controller ends three times).
 */
import { Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { LARGEST_JOBS, TERM } from '../jobs/keys.js';
import type { JobSpec } from '../jobs/model.js';
import { hintWriter } from '../state-store/hint.js';
import type { StatePort } from '../state-store/port.js';

/** Within a tenth of the class's greatest number of tasks, and so many at least. */
const WITHIN = 0.9;
const AT_LEAST = 5;
/** Classes in the hint: those seen last. */
const MOST_CLASSES = 60;
const EVERY_MS = 5000;

type Sized = Pick<JobSpec, 'id' | 'jobClass' | 'tasks'>;

export class LargestJobs {
  /** The greatest of a class, largest first. */
  private readonly topByClass = new Map<string, Sized[]>();

  /** `hint`: as an earlier leader wrote it; whatever can't be read of it is left out. */
  constructor(hint: unknown = null) {
    if (typeof hint !== 'object' || hint === null) return;
    for (const [jobClass, list] of Object.entries(hint)) {
      if (!Array.isArray(list)) continue;
      for (const one of list as unknown[]) {
        const [id, tasks] = Array.isArray(one) ? (one as unknown[]) : [];
        if (typeof id === 'string' && Number.isSafeInteger(tasks))
          this.observe({ id, jobClass, tasks: tasks as number });
      }
    }
  }

  observe({ id, jobClass, tasks }: Sized): void {
    let top = this.topByClass.get(jobClass);
    if (!top) this.topByClass.set(jobClass, (top = []));
    if (top.length === AT_LEAST && tasks <= top[AT_LEAST - 1]!.tasks) return;
    if (top.some((s) => s.id === id)) return;
    top.push({ id, jobClass, tasks });
    top.sort((a, b) => b.tasks - a.tasks);
    top.length = Math.min(top.length, AT_LEAST);
  }

  /** Whether the job is one of them. */
  has({ jobClass, tasks }: Sized): boolean {
    const top = this.topByClass.get(jobClass) ?? [];
    return tasks >= Math.min(WITHIN * (top[0]?.tasks ?? 0), top[top.length - 1]?.tasks ?? 0);
  }

  /** For the next leader: by class, ids and tasks. */
  hint(): Record<string, (readonly [string, number])[]> {
    const last = [...this.topByClass].slice(-MOST_CLASSES);
    return Object.fromEntries(last.map(([c, top]) => [c, top.map((s) => [s.id, s.tasks] as const)]));
  }
}

/** Keeps the hint. */
export const largestJobsTask = (p: {
  readonly mayAct: () => boolean;
  readonly store: StatePort;
  readonly leaderTerm: { readonly stamp: number };
  readonly largestJobs: LargestJobs;
}) => {
  const write = hintWriter(p.store, { key: TERM, stamp: p.leaderTerm.stamp }, LARGEST_JOBS);
  const look = Effect.suspend(() => (p.mayAct() ? write(p.largestJobs.hint()) : Effect.void));
  return supervise('largest', Effect.sleep(EVERY_MS).pipe(Effect.zipRight(look), Effect.forever));
};
