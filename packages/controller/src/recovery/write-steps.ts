/** The transactions by which a rebuild writes its plan: pure, from the plan and the state service's limits. */
import type { JobState } from '../jobs/job-state.js';
import { encodeFinalState, encodeJob, encodeFinalStates, encodeBundle } from '../jobs/codec.js';
import {
  activeJobKey,
  jobUnchanged,
  finalStateKey,
  orphanedJobKey,
  FINAL_STATE_PARTS,
  finalStatePageKey,
  JOB_BUNDLES,
} from '../jobs/keys.js';
import type { Job } from '../jobs/model.js';
import type { Settings } from '../settings/settings.js';
import type { Condition, Write } from '../state-store/client.js';
import type { RebuildPlan } from './rebuild-plan.js';

/** A bundle is written anew when one of its jobs ends: small enough that several fit into one transaction. */
const BUNDLE_BYTES = 8 * 1024;
const BUNDLE_JOBS = 24;
/** Final states on one page. */
const PAGE_FINALS = 300;
/** Final states written by keys of their own in one transaction, each with two changes and perhaps a bundle's. */
const MAX_FINALS = 6;
/** Conditions that every transaction carries: the term and the incarnation. */
const FIXED_CONDITIONS = 2;

/** One transaction of a rebuild. */
export interface WriteStep {
  readonly when: readonly Condition[];
  readonly then: readonly Write[];
}

/** How one pass of the rebuild writes. */
export interface Pass {
  /** Names the pass's bundles and pages. */
  readonly run: string;
  /** The last record that what is written includes. */
  readonly seq: number;
  /** Nobody else can be writing these jobs yet. */
  readonly quiet: boolean;
}

/** Groups of at most `count` items whose JSON is at most `bytes` long together. */
const groupBySize = <A>(
  items: readonly A[],
  count: number,
  bytes: number,
  encode: (a: A) => unknown,
): A[][] => {
  const out: A[][] = [];
  let size = 0;
  for (const item of items) {
    const itemSize = JSON.stringify(encode(item)).length + 24;
    const last = out[out.length - 1];
    if (last === undefined || last.length >= count || size + itemSize > bytes) {
      out.push([item]);
      size = itemSize;
    } else {
      last.push(item);
      size += itemSize;
    }
  }
  return out;
};

/** Consecutive parts of at most `count` items. */
const chunks = <A>(items: readonly A[], count: number): A[][] => {
  const out: A[][] = [];
  for (let i = 0; i < items.length; i += count) out.push(items.slice(i, i + count));
  return out;
};

/** The job is not in the store in any form: neither active nor final. */
const isAbsent = (id: string): Condition[] => [
  { key: activeJobKey(id), stamp: 0 },
  { key: finalStateKey(id), stamp: 0 },
];

/** Jobs that the store has otherwise: each in a step of its own. */
const differingSteps = (plan: RebuildPlan, seq: number): WriteStep[] =>
  plan.differing.map(({ job, stamp }) => ({
    when: jobUnchanged(job.spec.id, stamp),
    then: [{ set: activeJobKey(job.spec.id), value: encodeJob(job, seq) }],
  }));

/**
 * An orphaned job that the views know after all gets a key of its own: its user may be cancelling it, and a late
 * cancellation must find that key, since a bundle would not stop it.
 */
const orphanedStep = (job: Job, seq: number): WriteStep => {
  const { id } = job.spec;
  return {
    when: jobUnchanged(id, 0),
    then: [{ set: activeJobKey(id), value: encodeJob(job, seq) }, { delete: orphanedJobKey(id) }],
  };
};

/** Jobs that the store does not know, in bundles. */
const bundleSteps = (
  jobs: readonly Job[],
  pass: Pass,
  state: Settings['state'],
  bytes: number,
): WriteStep[] => {
  const count = Math.max(1, Math.min(BUNDLE_JOBS, Math.floor((state.txnOps * 4 - FIXED_CONDITIONS - 1) / 2)));
  return groupBySize(jobs, count, bytes, (job) => encodeJob(job, pass.seq)).map((bundle, n) => {
    const key = `${JOB_BUNDLES}${pass.run}-${String(n).padStart(6, '0')}`;
    return {
      when: [{ key, stamp: 0 }, ...bundle.flatMap((job) => isAbsent(job.spec.id))],
      then: [{ set: key, value: encodeBundle(bundle) }],
    };
  });
};

/** Ends jobs that the store has as active. */
const closingSteps = (jobState: JobState, plan: RebuildPlan, count: number): WriteStep[] =>
  chunks(plan.close, count).map((ended) => {
    const bundles = jobState.removalFromBundles(ended.map((e) => e.id));
    return {
      when: [...ended.map((e) => ({ key: activeJobKey(e.id), stamp: e.stamp })), ...bundles.when],
      then: [
        ...ended.flatMap((entry): Write[] => [
          { delete: activeJobKey(entry.id) },
          { set: finalStateKey(entry.id), value: encodeFinalState(entry.final) },
        ]),
        ...bundles.then,
      ],
    };
  });

/** Final states of jobs that the store does not know, on pages. */
const finalPageSteps = (plan: RebuildPlan, run: string, bytes: number): WriteStep[] =>
  groupBySize(plan.finals, PAGE_FINALS, bytes, ([id]) => id).map((page, n) => {
    const key = finalStatePageKey(run, page[page.length - 1]![0]);
    const first: Write[] = n === 0 ? [{ set: FINAL_STATE_PARTS + run, value: 1 }] : [];
    return { when: [{ key, stamp: 0 }], then: [...first, { set: key, value: encodeFinalStates(page) }] };
  });

/** The same by keys of their own, each under the condition that nobody has written the job meanwhile. */
const finalKeySteps = (plan: RebuildPlan, count: number): WriteStep[] =>
  chunks(plan.finals, count).map((finals) => ({
    when: finals.flatMap(([id]) => isAbsent(id)),
    then: finals.map(([id, final]) => ({ set: finalStateKey(id), value: encodeFinalState(final) })),
  }));

/** All steps of a pass, in the order in which they are to be applied. */
export const writeSteps = (
  jobState: JobState,
  state: Settings['state'],
  plan: RebuildPlan,
  pass: Pass,
): WriteStep[] => {
  const bytes = Math.min(BUNDLE_BYTES, state.valueBytes * 0.8);
  const finals = Math.max(1, Math.min(MAX_FINALS, Math.floor(state.txnOps / 3)));
  const isOrphaned = (job: Job): boolean => jobState.orphanedJobs.has(job.spec.id);
  return [
    ...differingSteps(plan, pass.seq),
    ...plan.missing.filter(isOrphaned).map((job) => orphanedStep(job, pass.seq)),
    ...bundleSteps(
      plan.missing.filter((job) => !isOrphaned(job)),
      pass,
      state,
      bytes,
    ),
    ...closingSteps(jobState, plan, finals),
    ...(pass.quiet ? finalPageSteps(plan, pass.run, bytes) : finalKeySteps(plan, finals)),
  ];
};
