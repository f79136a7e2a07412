/**
 * Merges what several nodes remember of a job. Within an incarnation every view is a prefix of one history, so the later
 * view is right about what has ended; whatever a user was told (accepted, cancelled, done) holds, whichever view has it; and
 * what may be running counts as running. The merge is commutative, associative and idempotent (docs/rebuild.md).
 */
import { encodeRanges } from '../jobs/ranges.js';
import { FAILURES_KEPT, type FinalState, isComplete, type Job, type Placement } from '../jobs/model.js';

/** A job as one view has it, and as of when. */
export interface JobVersion {
  readonly generation: number;
  /** Revision of the view; lower than any: it may be of any time. */
  readonly revision: number;
  readonly job: Job;
}

const placements = (job: Job): Placement[] => [...job.placed.values()].sort((a, b) => a.task - b.task);

/** A job's state in one string: two views have the same state of the job if their strings are equal. */
export const contentOf = (job: Job): string =>
  [
    job.cancelled ? 'w' : isComplete(job) ? 'c' : 'o',
    job.attempt,
    encodeRanges(job.done),
    placements(job)
      .map((p) => `${p.task}:${p.attempt}@${p.machine}`)
      .join(),
    [...job.failedOn].sort().join(),
    [...job.loans]
      .map(([lender, l]) => `${lender}:${l.gpus}/${l.tasks}@${l.since}`)
      .sort()
      .join(),
    job.preemptedForServices,
  ].join('|');

/** The later of two versions; of equal ones, the one whose content comes first, so that all nodes choose alike. */
const later = (a: JobVersion, b: JobVersion): boolean =>
  a.generation !== b.generation
    ? a.generation > b.generation
    : a.revision !== b.revision
      ? a.revision > b.revision
      : contentOf(a.job) < contentOf(b.job);

/** `versions`: at least one, all of one job. */
export const mergeVersions = (versions: readonly JobVersion[]): Job => {
  const last = versions.reduce((best, c) => (later(c, best) ? c : best));
  const { spec } = last.job;
  // The first that was accepted: a user's retry does not start a job's time anew.
  const first = versions.reduce((best, c) => (c.job.spec.submitted < best.job.spec.submitted ? c : best)).job
    .spec;
  const done = new Set<number>();
  for (const c of versions) for (const t of c.job.done) done.add(t);
  const placed = new Map<number, Placement>();
  for (const p of last.job.placed.values()) if (!done.has(p.task)) placed.set(p.task, p);
  // Started later than the latest view knows of: perhaps by a leader whose last records nobody else had read.
  for (const c of versions)
    for (const p of c.job.placed.values()) {
      if (p.attempt <= last.job.attempt || done.has(p.task)) continue;
      const other = placed.get(p.task);
      if (other && (other.attempt > p.attempt || (other.attempt === p.attempt && other.machine <= p.machine)))
        continue;
      placed.set(p.task, p);
    }
  const failed = new Set<string>();
  for (const c of versions) for (const m of c.job.failedOn) failed.add(m);
  const told = versions.some((c) => !c.job.cancelled && isComplete(c.job));
  return {
    spec: { ...spec, submitted: first.submitted, tie: first.tie },
    // A user who was told `done` was told so from a record that came before any withdrawal.
    cancelled: !told && versions.some((c) => c.job.cancelled),
    attempt: Math.max(...versions.map((c) => c.job.attempt)),
    done,
    placed: new Map([...placed].sort((a, b) => a[0] - b[0])),
    failedOn: new Set([...failed].sort().slice(0, FAILURES_KEPT)),
    loans: new Map([...last.job.loans].sort((a, b) => (a[0] < b[0] ? -1 : 1))),
    preemptedForServices: Math.max(...versions.map((c) => c.job.preemptedForServices)),
    revision: 0,
    compactedTo: 0,
    lastSequence: 0,
    ...(last.job.cutoffRisk === undefined ? {} : { cutoffRisk: last.job.cutoffRisk }),
  };
};

/** Of two final states that users were both told, `done` wins: it was true. */
export const mergeFinals = (a: FinalState | undefined, b: FinalState): FinalState =>
  a === undefined || (a.status === 'cancelled' && b.status === 'done') ? b : a;
