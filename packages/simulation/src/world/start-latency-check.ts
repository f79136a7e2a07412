/**
 * What a day did for each class, each team, and each class's largest jobs, counted from the world's side: served (at
 * their end), and begun within four minutes of the first attempt to submit. A job has begun when so many of its tasks
 * have run as must be there at once: all of a gang or service, of an array what its team's limit lets. A task that a
 * command stops within 30 s has not run.
 */
import type { JobTruth } from './job-truth.js';

/** A job begins in time within this, microseconds. */
export const BEGIN_BY = 240e6;
const NOT_A_START = 30e6;
/** The largest of a class: within a tenth of its greatest number of tasks, and so many at least. */
const LARGEST = 0.9;
const AT_LEAST = 5;

export interface LeastRow {
  /** `class render`, `team red` or `largest render`. */
  readonly of: string;
  readonly jobs: number;
  /** Parts of them, 0 to 1. */
  readonly served: number;
  readonly begun: number;
  /** Seconds from submission to the begin, of those that began. */
  readonly longest: number;
}

export interface Submitted {
  readonly job: JobTruth;
  readonly at: number;
  /** How many of its tasks must have run. */
  readonly need: number;
}

export class StartLatencyCheck {
  readonly submitted = new Map<string, Submitted>();
  private readonly ran = new Map<string, Map<string, number>>();

  submit(job: JobTruth, now: number, limit: number | undefined): void {
    const most = job.shape === 'array' && limit ? Math.floor(limit / job.cpus + 1e-6) : job.tasks;
    this.submitted.set(job.id, { job, at: now, need: Math.min(job.tasks, most) });
  }
  run(job: JobTruth, task: string, now: number): void {
    let of = this.ran.get(job.id);
    if (!of) this.ran.set(job.id, (of = new Map()));
    if (!of.has(task)) of.set(task, now);
  }
  stop(job: JobTruth, task: string, now: number): void {
    const of = this.ran.get(job.id);
    if (of && now - (of.get(task) ?? -1e18) < NOT_A_START) of.delete(task);
  }
  /** Microseconds from submission to the begin; null: it has not begun. */
  wait({ job, at, need }: Submitted): number | null {
    const times = [...(this.ran.get(job.id)?.values() ?? [])].sort((a, b) => a - b);
    return times.length < need ? null : times[need - 1]! - at;
  }

  /** `state`: what users were last told; those cancelled, broken or never accepted are left out. */
  rows(state: (id: string) => string | undefined): LeastRow[] {
    const groups = new Map<string, Submitted[]>();
    const classes = new Map<string, Submitted[]>();
    const put = (into: Map<string, Submitted[]>, of: string, s: Submitted): void => {
      const list = into.get(of);
      if (list) list.push(s);
      else into.set(of, [s]);
    };
    for (const s of this.submitted.values()) {
      const told = state(s.job.id);
      if (told === undefined || told === 'aborted' || s.job.broken) continue;
      put(classes, s.job.jobClass, s);
      put(groups, `class ${s.job.jobClass}`, s);
      put(groups, `team ${s.job.team}`, s);
    }
    for (const [name, of] of classes) {
      const sorted = [...of].sort((a, b) => b.job.tasks - a.job.tasks || (a.job.id < b.job.id ? -1 : 1));
      const line = LARGEST * sorted[0]!.job.tasks;
      groups.set(
        `largest ${name}`,
        sorted.filter((s, i) => i < AT_LEAST || s.job.tasks >= line),
      );
    }
    return [...groups].sort().map(([of, list]) => {
      const waits = list.map((s) => this.wait(s));
      const began = waits.filter((w) => w !== null);
      return {
        of,
        jobs: list.length,
        served:
          list.filter((s) => (s.job.shape === 'daemon' ? this.wait(s) !== null : state(s.job.id) === 'done'))
            .length / list.length,
        begun: began.filter((w) => w <= BEGIN_BY).length / list.length,
        longest: Math.round(Math.max(0, ...began) / 1e5) / 10,
      };
    });
  }
}
