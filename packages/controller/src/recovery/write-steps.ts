/** Turns a rebuild's plan into transactions that respect the limits of the state service. Pure, without I/O. */
import type { JobState } from '../jobs/job-state.js';
import {
  encodeFinalState,
  encodeJob,
  encodeJobWithin,
  encodeFinalStates,
  encodeBundle,
} from '../jobs/codec.js';
import {
  activeJobKey,
  jobUnchanged,
  finalStateKey,
  orphanedJobKey,
  FINAL_STATE_PAGE_SETS,
  finalStatePageKey,
  JOB_BUNDLES,
} from '../jobs/keys.js';
import type { Job } from '../jobs/model.js';
import type { Settings } from '../settings/settings.js';
import type { Condition, Write } from '../state-store/client.js';
import { jsonBytes, maxValueBytes } from '../state-store/transaction-limits.js';
import type { RebuildPlan } from './rebuild-plan.js';

/**
 * Maximum size of a bundle. A bundle is rewritten whenever one of its jobs finishes; bundles of this size are small enough
 * that several fit into one transaction.
 */
const MAX_BUNDLE_BYTES = 8 * 1024;
const MAX_JOBS_PER_BUNDLE = 24;
const MAX_FINALS_PER_PAGE = 300;
/** Maximum finished jobs in one transaction. Each has up to two changes of its own and one of the bundle that lists it. */
const MAX_FINALS_PER_STEP = 6;
/** Bytes that a bundle or page adds to an item: its job id, quotes, a colon and a comma. */
const ITEM_OVERHEAD_BYTES = 48;
/** Conditions that every transaction carries: on the term and on the incarnation. */
const FIXED_CONDITIONS = 2;

/** One transaction of a rebuild. */
export interface WriteStep {
  readonly when: readonly Condition[];
  readonly then: readonly Write[];
}

/** Parameters of one pass of the rebuild. */
export interface WritePass {
  /** Unique part of the names of the pass's bundles and pages. */
  readonly id: string;
  /** The last log entry whose changes the written jobs include. */
  readonly sequence: number;
  /** Whether the rebuild is the only writer: until it has ended, no other process writes jobs. */
  readonly exclusive: boolean;
}

/** Divides items into consecutive groups of at most `maxCount` items and `maxBytes` bytes of JSON. */
const groupBySize = <A>(
  items: readonly A[],
  maxCount: number,
  maxBytes: number,
  encode: (item: A) => unknown,
): A[][] => {
  const groups: A[][] = [];
  let size = 0;
  for (const item of items) {
    const itemSize = jsonBytes(encode(item)) + ITEM_OVERHEAD_BYTES;
    const last = groups[groups.length - 1];
    if (last === undefined || last.length >= maxCount || size + itemSize > maxBytes) {
      groups.push([item]);
      size = itemSize;
    } else {
      last.push(item);
      size += itemSize;
    }
  }
  return groups;
};

/** Divides items into consecutive groups of at most `maxCount` items. */
const chunks = <A>(items: readonly A[], maxCount: number): A[][] => {
  const groups: A[][] = [];
  for (let i = 0; i < items.length; i += maxCount) groups.push(items.slice(i, i + maxCount));
  return groups;
};

/** Conditions under which the job has no key of its own in the store, neither as active nor as finished. */
const isAbsent = (id: string): Condition[] => [
  { key: activeJobKey(id), revision: 0 },
  { key: finalStateKey(id), revision: 0 },
];

/** Writes a job to its own key. The value leaves out start times that do not fit (`encodeJobWithin`). */
const jobWrite = (job: Job, sequence: number, maxBytes: number): Write => ({
  set: activeJobKey(job.spec.id),
  value: encodeJobWithin(job, sequence, maxBytes)?.value ?? encodeJob(job, sequence),
});

/** Overwrites jobs that the store has in another state, each in a step of its own. */
const differingSteps = (plan: RebuildPlan, sequence: number, maxBytes: number): WriteStep[] =>
  plan.differing.map(({ job, revision }) => ({
    when: jobUnchanged(job.spec.id, revision),
    then: [jobWrite(job, sequence, maxBytes)],
  }));

/**
 * Writes an orphaned job that a view contains, under a key of its own instead of in a bundle. Its user may be cancelling the
 * orphaned job at the same time: a cancellation that arrives late is conditional on the job's key being absent, and an entry
 * in a bundle would not make it fail.
 */
const orphanedStep = (job: Job, sequence: number, maxBytes: number): WriteStep => {
  const { id } = job.spec;
  return {
    when: jobUnchanged(id, 0),
    then: [jobWrite(job, sequence, maxBytes), { delete: orphanedJobKey(id) }],
  };
};

/** Writes a job that the store does not have and that a bundle can't hold, under a key of its own. */
const largeJobStep = (job: Job, sequence: number, maxBytes: number): WriteStep => ({
  when: jobUnchanged(job.spec.id, 0),
  then: [jobWrite(job, sequence, maxBytes)],
});

/** Writes jobs that the store does not have, in bundles. */
const bundleSteps = (
  jobs: readonly Job[],
  pass: WritePass,
  state: Settings['state'],
  maxBytes: number,
): WriteStep[] => {
  const maxJobs = Math.max(
    1,
    Math.min(MAX_JOBS_PER_BUNDLE, Math.floor((state.txnOps * 4 - FIXED_CONDITIONS - 1) / 2)),
  );
  return groupBySize(jobs, maxJobs, maxBytes, (job) => encodeJob(job, pass.sequence)).map((bundle, index) => {
    const key = `${JOB_BUNDLES}${pass.id}-${String(index).padStart(6, '0')}`;
    return {
      when: [{ key, revision: 0 }, ...bundle.flatMap((job) => isAbsent(job.spec.id))],
      then: [{ set: key, value: encodeBundle(bundle) }],
    };
  });
};

/** Divides the jobs to close into groups that one transaction can close. */
const closingGroups = (jobState: JobState, plan: RebuildPlan, maxJobs: number): RebuildPlan['close'][] => {
  const groups: RebuildPlan['close'][] = [];
  for (let start = 0; start < plan.close.length;) {
    const next = plan.close.slice(start, start + maxJobs);
    const count = jobState.removableTogether(next.map((job) => job.id));
    groups.push(next.slice(0, count));
    start += count;
  }
  return groups;
};

/** Replaces active jobs by their final states, and removes them from their bundles. */
const closingSteps = (jobState: JobState, plan: RebuildPlan, maxJobs: number): WriteStep[] =>
  closingGroups(jobState, plan, maxJobs).map((finished) => {
    const bundles = jobState.removalFromBundles(finished.map((job) => job.id));
    return {
      when: [
        ...finished.map((job) => ({ key: activeJobKey(job.id), revision: job.revision })),
        ...bundles.when,
      ],
      then: [
        ...finished.flatMap((job): Write[] => [
          { delete: activeJobKey(job.id) },
          { set: finalStateKey(job.id), value: encodeFinalState(job.final) },
        ]),
        ...bundles.then,
      ],
    };
  });

/** Writes final states of jobs that the store does not have, on pages. The first step also registers the pass's pages. */
const finalPageSteps = (plan: RebuildPlan, passId: string, maxBytes: number): WriteStep[] =>
  groupBySize(plan.finals, MAX_FINALS_PER_PAGE, maxBytes, ([id]) => id).map((page, index) => {
    const key = finalStatePageKey(passId, page[page.length - 1]![0]);
    const registration: Write[] = index === 0 ? [{ set: FINAL_STATE_PAGE_SETS + passId, value: 1 }] : [];
    return {
      when: [{ key, revision: 0 }],
      then: [...registration, { set: key, value: encodeFinalStates(page) }],
    };
  });

/** Writes final states of jobs that the store does not have, each under its own key and only if the job is still absent. */
const finalKeySteps = (plan: RebuildPlan, maxJobs: number): WriteStep[] =>
  chunks(plan.finals, maxJobs).map((finals) => ({
    when: finals.flatMap(([id]) => isAbsent(id)),
    then: finals.map(([id, final]) => ({ set: finalStateKey(id), value: encodeFinalState(final) })),
  }));

/** Returns all steps of a pass, in the order in which they are to be applied. */
export const writeSteps = (
  jobState: JobState,
  state: Settings['state'],
  plan: RebuildPlan,
  pass: WritePass,
): WriteStep[] => {
  const maxJobBytes = maxValueBytes(state);
  const maxBytes = Math.min(MAX_BUNDLE_BYTES, state.valueBytes * 0.8);
  const maxFinals = Math.max(1, Math.min(MAX_FINALS_PER_STEP, Math.floor(state.txnOps / 3)));
  const isOrphaned = (job: Job): boolean => jobState.orphanedJobs.has(job.spec.id);
  const orphaned = plan.missing.filter(isOrphaned);
  const others = plan.missing.filter((job) => !isOrphaned(job));
  const isLarge = (job: Job): boolean =>
    jsonBytes(encodeJob(job, pass.sequence)) + ITEM_OVERHEAD_BYTES > maxBytes;
  const large = new Set(others.filter(isLarge));
  return [
    ...differingSteps(plan, pass.sequence, maxJobBytes),
    ...orphaned.map((job) => orphanedStep(job, pass.sequence, maxJobBytes)),
    ...[...large].map((job) => largeJobStep(job, pass.sequence, maxJobBytes)),
    ...bundleSteps(
      others.filter((job) => !large.has(job)),
      pass,
      state,
      maxBytes,
    ),
    ...closingSteps(jobState, plan, maxFinals),
    ...(pass.exclusive ? finalPageSteps(plan, pass.id, maxBytes) : finalKeySteps(plan, maxFinals)),
  ];
};
