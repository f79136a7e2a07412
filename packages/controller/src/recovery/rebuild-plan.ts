/** Plans what must be written so that the store has everything that any controller remembers. Pure, without I/O. */
import { finalState, type FinalState, type Job } from '../jobs/model.js';
import { type JobVersion, contentOf, mergeVersions, mergeFinals } from './merge.js';

/** What the store has at present, as far as the plan depends on it. */
export interface RecoveredStore {
  readonly jobs: ReadonlyMap<string, Job>;
  /** Returns the revision of a job's key if its value can't be decoded. */
  readonly damaged: (id: string) => number | undefined;
  /** Whether the job's final state is in the store. */
  readonly hasFinal: (id: string) => boolean;
  /** The generation and revision that the store's jobs count as when they are merged with the remembered versions. */
  readonly generation: number;
  readonly revision: number;
}

/** What one pass of the rebuild writes. */
export interface RebuildPlan {
  /** Final states of jobs that the store does not have in any form. */
  readonly finals: (readonly [string, FinalState])[];
  /** Finished jobs that the store has as active, with the revision of their key; 0 if the job is in a bundle only. */
  readonly close: { readonly id: string; readonly revision: number; readonly final: FinalState }[];
  /** Active jobs that the store does not have, in the order in which they are to be written. */
  readonly missing: Job[];
  /** Active jobs that the store has in another state, with the revision of their key. */
  readonly differing: { readonly job: Job; readonly revision: number }[];
}

/**
 * Cancelled jobs are written first, since their tasks must be stopped within a time limit, then services, since they serve
 * users, then other jobs with running tasks, then all others. `compareJobs` orders jobs of the same rank by urgency.
 */
const writeRank = (job: Job): number =>
  job.cancelled ? 0 : job.spec.shape === 'service' ? 1 : job.placed.size > 0 ? 2 : 3;
const compareJobs = (a: Job, b: Job): number =>
  writeRank(a) - writeRank(b) ||
  b.spec.urgency - a.spec.urgency ||
  a.spec.submitted - b.spec.submitted ||
  (a.spec.id < b.spec.id ? -1 : 1);

/**
 * Plans one pass. `versions`: the remembered versions of each job. `finals`: the remembered final states. `sequence`: the last
 * known log entry; the jobs written include the changes of all entries up to it.
 */
export const planRebuild = (
  store: RecoveredStore,
  versions: ReadonlyMap<string, readonly JobVersion[]>,
  finals: ReadonlyMap<string, FinalState>,
  sequence: number,
): RebuildPlan => {
  const plan: RebuildPlan = { finals: [], close: [], missing: [], differing: [] };
  const addFinished = (id: string, final: FinalState): void => {
    const stored = store.jobs.get(id);
    const revision = stored?.revision ?? store.damaged(id);
    if (revision === undefined) plan.finals.push([id, final]);
    else plan.close.push({ id, revision, final });
  };
  for (const [id, final] of finals) if (!store.hasFinal(id)) addFinished(id, final);
  for (const [id, list] of versions) {
    if (finals.has(id) || store.hasFinal(id)) continue;
    const stored = store.jobs.get(id);
    const all = stored
      ? [...list, { generation: store.generation, revision: store.revision, job: stored }]
      : list;
    const job: Job = { ...mergeVersions(all), compactedTo: sequence, lastSequence: sequence };
    const final = finalState(job);
    const revision = store.damaged(id);
    if (final !== null) addFinished(id, final);
    else if (stored) {
      if (contentOf(job) !== contentOf(stored)) plan.differing.push({ job, revision: stored.revision });
    } else if (revision !== undefined) plan.differing.push({ job, revision });
    else plan.missing.push(job);
  }
  plan.missing.sort(compareJobs);
  plan.differing.sort((a, b) => compareJobs(a.job, b.job));
  plan.finals.sort((a, b) => (a[0] < b[0] ? -1 : 1));
  return plan;
};

/** Merges `finals` into `target`. */
export const addFinals = (
  target: Map<string, FinalState>,
  finals: Iterable<readonly [string, FinalState]>,
): void => {
  for (const [id, final] of finals) target.set(id, mergeFinals(target.get(id), final));
};
