/**
 * Merges what several controllers remember of a job. Within an incarnation every view is a prefix of the same history, so the
 * latest view decides which placements have ended. Whatever a user was told (accepted, cancelled, done) is kept, whichever
 * view contains it, and a task that may be running counts as running. The merge is commutative, associative and idempotent
 * (docs/rebuild.md).
 */
import { encodeRanges } from '../jobs/ranges.js';
import { FAILURES_KEPT, type FinalState, isComplete, type Job, type Placement } from '../jobs/model.js';

/** A job as one view has it, with the view's generation and revision. */
export interface JobVersion {
  readonly generation: number;
  /** The revision of the view; -1 if the state of the job may be of any revision. */
  readonly revision: number;
  readonly job: Job;
}

const placements = (job: Job): Placement[] => [...job.placed.values()].sort((a, b) => a.task - b.task);

/** Returns a job's state as one string. Two views have the same state of a job if their strings are equal. */
export const contentOf = (job: Job): string =>
  [
    job.cancelled ? 'w' : isComplete(job) ? 'c' : 'o',
    job.attempt,
    encodeRanges(job.completed),
    placements(job)
      .map((placement) => `${placement.task}:${placement.attempt}@${placement.machine}`)
      .join(),
    [...job.failedOn].sort().join(),
    [...job.loans]
      .map(([lender, loan]) => `${lender}:${loan.gpus}/${loan.tasks}@${loan.since}`)
      .sort()
      .join(),
    job.preemptedForServices,
  ].join('|');

/** Whether `a` is the later version. Equal versions are ordered by content, so that all controllers choose the same one. */
const isLater = (a: JobVersion, b: JobVersion): boolean =>
  a.generation !== b.generation
    ? a.generation > b.generation
    : a.revision !== b.revision
      ? a.revision > b.revision
      : contentOf(a.job) < contentOf(b.job);

/** Merges all `versions` of one job; there must be at least one. */
export const mergeVersions = (versions: readonly JobVersion[]): Job => {
  const latest = versions.reduce((best, version) => (isLater(version, best) ? version : best));
  const { spec } = latest.job;
  // The earliest submission time counts: a user's retry must not restart the job's waiting time.
  const earliest = versions.reduce((best, version) =>
    version.job.spec.submitted < best.job.spec.submitted ? version : best,
  ).job.spec;
  const done = new Set<number>();
  for (const version of versions) for (const task of version.job.completed) done.add(task);
  const placed = new Map<number, Placement>();
  for (const placement of latest.job.placed.values())
    if (!done.has(placement.task)) placed.set(placement.task, placement);
  // A start with a higher attempt than the latest view's counts as running: a leader may have committed it in log entries
  // that no other controller had read.
  for (const version of versions)
    for (const placement of version.job.placed.values()) {
      if (placement.attempt <= latest.job.attempt || done.has(placement.task)) continue;
      const other = placed.get(placement.task);
      if (
        other &&
        (other.attempt > placement.attempt ||
          (other.attempt === placement.attempt && other.machine <= placement.machine))
      )
        continue;
      placed.set(placement.task, placement);
    }
  const failedOn = new Set<string>();
  for (const version of versions) for (const machine of version.job.failedOn) failedOn.add(machine);
  const completed = versions.some((version) => !version.job.cancelled && isComplete(version.job));
  return {
    spec: { ...spec, submitted: earliest.submitted, cutoffBinding: earliest.cutoffBinding },
    // If a view has the job completed without a cancellation, the completion was committed before any cancellation, and a
    // user may have been told `done`.
    cancelled: !completed && versions.some((version) => version.job.cancelled),
    attempt: Math.max(...versions.map((version) => version.job.attempt)),
    completed: done,
    placed: new Map([...placed].sort((a, b) => a[0] - b[0])),
    failedOn: new Set([...failedOn].sort().slice(0, FAILURES_KEPT)),
    loans: new Map([...latest.job.loans].sort((a, b) => (a[0] < b[0] ? -1 : 1))),
    preemptedForServices: Math.max(...versions.map((version) => version.job.preemptedForServices)),
    revision: 0,
    compactedTo: 0,
    lastSequence: 0,
    ...(latest.job.cutoffRisk === undefined ? {} : { cutoffRisk: latest.job.cutoffRisk }),
  };
};

/** Merges two final states that users may both have been told. `done` wins over `cancelled`: the work was completed. */
export const mergeFinals = (a: FinalState | undefined, b: FinalState): FinalState =>
  a === undefined || (a.status === 'cancelled' && b.status === 'done') ? b : a;
