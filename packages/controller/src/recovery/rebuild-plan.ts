/** What must be written so that the store holds all that any controller remembers: a pure decision. */
import { finalState, type FinalState, type Job } from '../jobs/model.js';
import { type JobVersion, contentOf, mergeVersions, mergeFinals } from './merge.js';

/** What the store holds, as far as the plan needs it. */
export interface RecoveredStore {
  readonly jobs: ReadonlyMap<string, Job>;
  /** Revision of a job's own key whose value can't be read. */
  readonly damaged: (id: string) => number | undefined;
  /** The final state is durable. */
  readonly hasFinal: (id: string) => boolean;
  /** How its jobs rank among the versions. */
  readonly generation: number;
  readonly revision: number;
}

/** What a pass of the rebuild writes. */
export interface RebuildPlan {
  /** Final states of jobs that the store does not know. */
  readonly finals: (readonly [string, FinalState])[];
  /** Jobs that the store has as under way and that are over; with the revision of their key, 0: in a pack only. */
  readonly close: { readonly id: string; readonly stamp: number; readonly final: FinalState }[];
  /** Jobs that the store does not know, the most urgent first. */
  readonly missing: Job[];
  /** Jobs that the store has otherwise. */
  readonly differing: { readonly job: Job; readonly stamp: number }[];
}

/** Cancelled first, since their tasks must be gone in time; then what serves users now, what runs, what is urgent. */
const rank = (j: Job): number =>
  j.cancelled ? 0 : j.spec.shape === 'service' ? 1 : j.placed.size > 0 ? 2 : 3;
const byRank = (a: Job, b: Job): number =>
  rank(a) - rank(b) ||
  b.spec.urgency - a.spec.urgency ||
  a.spec.submitted - b.spec.submitted ||
  (a.spec.id < b.spec.id ? -1 : 1);

/** `seq`: the last record that anybody knows of; what is written includes all up to it. */
export const planRebuild = (
  store: RecoveredStore,
  versions: ReadonlyMap<string, readonly JobVersion[]>,
  finals: ReadonlyMap<string, FinalState>,
  seq: number,
): RebuildPlan => {
  const plan: RebuildPlan = { finals: [], close: [], missing: [], differing: [] };
  const end = (id: string, final: FinalState): void => {
    const there = store.jobs.get(id);
    const stamp = there?.revision ?? store.damaged(id);
    if (stamp === undefined) plan.finals.push([id, final]);
    else plan.close.push({ id, stamp, final });
  };
  for (const [id, f] of finals) if (!store.hasFinal(id)) end(id, f);
  for (const [id, list] of versions) {
    if (finals.has(id) || store.hasFinal(id)) continue;
    const there = store.jobs.get(id);
    const all = there
      ? [...list, { generation: store.generation, revision: store.revision, job: there }]
      : list;
    const job: Job = { ...mergeVersions(all), compactedTo: seq, lastSequence: seq };
    const final = finalState(job);
    const stamp = store.damaged(id);
    if (final !== null) end(id, final);
    else if (there) {
      if (contentOf(job) !== contentOf(there)) plan.differing.push({ job, stamp: there.revision });
    } else if (stamp !== undefined) plan.differing.push({ job, stamp });
    else plan.missing.push(job);
  }
  plan.missing.sort(byRank);
  plan.differing.sort((a, b) => byRank(a.job, b.job));
  plan.finals.sort((a, b) => (a[0] < b[0] ? -1 : 1));
  return plan;
};

/** Final states of several views. */
export const addFinals = (
  into: Map<string, FinalState>,
  finals: Iterable<readonly [string, FinalState]>,
): void => {
  for (const [id, f] of finals) into.set(id, mergeFinals(into.get(id), f));
};
