/**
 * Measures how many jobs of each job class, of each team, and of the largest jobs of each class were served (completed) and
 * started within four minutes of their first submission attempt, from the true state of the simulation. A job has started
 * when as many of its tasks have run as can run at once: all tasks of a gang or service, and as many tasks of an array as
 * the limit of its team allows. A task that is stopped by a command within 30 s does not count as having run.
 */
import type { JobTruth } from './job-truth.js';

/** Maximum time from a job's submission to its start, in microseconds. */
export const MAX_START_LATENCY = 240e6;
/** A task that is stopped within this time after its start does not count, in microseconds. */
const MIN_RUN = 30e6;
/** The largest jobs of a class have at least this fraction of the tasks of its largest job. */
const LARGEST_FRACTION = 0.9;
/** Minimum number of jobs counted as the largest of a class. */
const MIN_LARGEST = 5;

/** How the jobs of one group fared. The field names are those of the day's JSON line. */
export interface ServiceLevel {
  /** `class render`, `team red` or `largest render`. */
  readonly of: string;
  readonly jobs: number;
  /** The fraction of jobs that completed, 0 to 1; of services, the fraction that started. */
  readonly served: number;
  /** The fraction of jobs that started in time, 0 to 1. */
  readonly begun: number;
  /** The longest time from submission to start among the jobs that started, in seconds. */
  readonly longest: number;
}

/** A submitted job. */
export interface Submitted {
  readonly job: JobTruth;
  /** Time of the first submission attempt, in microseconds. */
  readonly at: number;
  /** How many of its tasks must have run for the job to count as started. */
  readonly need: number;
}

/** Records submissions and task starts, and computes the measures of each group. */
export class StartLatencyCheck {
  /** By job id. */
  readonly submitted = new Map<string, Submitted>();
  /** By job id and task: when the task first ran, in microseconds. */
  private readonly startTimes = new Map<string, Map<string, number>>();

  /** Records a submission. `limit`: the CPUs that the job's team may use at once; 0 or undefined: unlimited. */
  submit(job: JobTruth, now: number, limit: number | undefined): void {
    const concurrent = job.shape === 'array' && limit ? Math.floor(limit / job.cpus + 1e-6) : job.tasks;
    this.submitted.set(job.id, { job, at: now, need: Math.min(job.tasks, concurrent) });
  }

  /** Records that a task runs. */
  run(job: JobTruth, task: string, now: number): void {
    let startTimes = this.startTimes.get(job.id);
    if (!startTimes) this.startTimes.set(job.id, (startTimes = new Map()));
    if (!startTimes.has(task)) startTimes.set(task, now);
  }

  /** Records that a command stops a running task. */
  stop(job: JobTruth, task: string, now: number): void {
    const startTimes = this.startTimes.get(job.id);
    if (startTimes && now - (startTimes.get(task) ?? -1e18) < MIN_RUN) startTimes.delete(task);
  }

  /** Microseconds from submission to start; null: the job has not started. */
  wait({ job, at, need }: Submitted): number | null {
    const times = [...(this.startTimes.get(job.id)?.values() ?? [])].sort((a, b) => a - b);
    return times.length < need ? null : times[need - 1]! - at;
  }

  /**
   * The measures of each group. `state`: the latest state of a job that its user received. Cancelled jobs, jobs that were
   * never accepted and jobs whose tasks fail are left out.
   */
  rows(state: (id: string) => string | undefined): ServiceLevel[] {
    const groups = new Map<string, Submitted[]>();
    const classes = new Map<string, Submitted[]>();
    const add = (target: Map<string, Submitted[]>, name: string, submission: Submitted): void => {
      const group = target.get(name);
      if (group) group.push(submission);
      else target.set(name, [submission]);
    };
    for (const submission of this.submitted.values()) {
      const jobState = state(submission.job.id);
      if (jobState === undefined || jobState === 'aborted' || submission.job.broken) continue;
      add(classes, submission.job.jobClass, submission);
      add(groups, `class ${submission.job.jobClass}`, submission);
      add(groups, `team ${submission.job.team}`, submission);
    }
    for (const [name, submissions] of classes) {
      const sorted = [...submissions].sort(
        (a, b) => b.job.tasks - a.job.tasks || (a.job.id < b.job.id ? -1 : 1),
      );
      const minTasks = LARGEST_FRACTION * sorted[0]!.job.tasks;
      groups.set(
        `largest ${name}`,
        sorted.filter((submission, i) => i < MIN_LARGEST || submission.job.tasks >= minTasks),
      );
    }
    return [...groups].sort().map(([of, submissions]) => {
      const waits = submissions.map((submission) => this.wait(submission));
      const startWaits = waits.filter((wait) => wait !== null);
      return {
        of,
        jobs: submissions.length,
        served:
          submissions.filter((submission) =>
            submission.job.shape === 'daemon'
              ? this.wait(submission) !== null
              : state(submission.job.id) === 'done',
          ).length / submissions.length,
        begun: startWaits.filter((wait) => wait <= MAX_START_LATENCY).length / submissions.length,
        longest: Math.round(Math.max(0, ...startWaits) / 1e5) / 10,
      };
    });
  }
}
