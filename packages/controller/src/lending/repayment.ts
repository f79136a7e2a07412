/**
 * What ends loans, and who comes first on room. A loan is repaid by starts of its lender, wherever the room is; it ends
 * with its taker or its lender; and one whose lender lacks nothing was never carried out.
 */
import type { Job } from '../jobs/model.js';
import type { OpenLoan } from './loans.js';
import { thousandths, type LoanPart } from './model.js';

/** What a log entry gives back, by taker. */
export type Repayments = Map<string, LoanPart[]>;

const put = (out: Repayments, taker: string, part: LoanPart): void => {
  const list = out.get(taker);
  if (list) list.push(part);
  else out.set(taker, [part]);
};

/** `started`: tasks of lenders that a log entry starts. The oldest loans come first. `loans` as `loansOf` orders them. */
export const repaymentsByStarts = (
  loans: readonly OpenLoan[],
  started: ReadonlyMap<string, number>,
  gpusOf: (lender: string) => number,
): Repayments => {
  const out: Repayments = new Map();
  const left = new Map(started);
  for (const l of loans) {
    const n = Math.min(l.tasks, left.get(l.lender) ?? 0);
    if (n <= 0) continue;
    left.set(l.lender, left.get(l.lender)! - n);
    const gpus = n === l.tasks ? l.gpus : Math.min(l.gpus, thousandths(gpusOf(l.lender) * n));
    put(out, l.taker, { lender: l.lender, gpus, tasks: n });
  }
  return out;
};

export interface LenderState {
  readonly jobs: ReadonlyMap<string, Job>;
  /** Some task of this job is being stopped, has ended without a log entry, or may do either unseen. */
  readonly unsettled: (job: Job) => boolean;
}

/** Tasks of a job that neither run nor are done. */
const missing = (job: Job): number => job.spec.tasks - job.done.size - job.placed.size;

/** Loans that are over without a start: the lender is over or cancelled, or it lacks less than it lent. */
export const repaymentsWithoutStart = (loans: readonly OpenLoan[], s: LenderState): Repayments => {
  const out: Repayments = new Map();
  const owed = new Map<string, number>();
  for (const l of loans) {
    const lender = s.jobs.get(l.lender);
    if (lender === undefined || lender.cancelled) {
      put(out, l.taker, { lender: l.lender, gpus: l.gpus, tasks: l.tasks });
      continue;
    }
    if (s.unsettled(lender)) continue;
    // What it lacks now pays for the oldest loans; the rest was never taken, or it got that back unseen.
    const lacks = owed.get(l.lender) ?? missing(lender);
    const real = Math.min(l.tasks, lacks);
    owed.set(l.lender, lacks - real);
    const n = l.tasks - real;
    if (n > 0)
      put(out, l.taker, {
        lender: l.lender,
        gpus: real === 0 ? l.gpus : Math.min(l.gpus, thousandths(lender.spec.gpus * n)),
        tasks: n,
      });
  }
  return out;
};

/** A job with tasks to start, as far as it matters here. */
export interface WaitingJob {
  readonly job: Job;
  readonly tasks: number;
}

/**
 * Lenders that come first on free room and on room being left, with how many tasks: those with an open loan, while no
 * GPU work of higher urgency waits, which could only stop them again. Oldest loans first.
 */
export const lendersToRepay = (
  loans: readonly OpenLoan[],
  waiting: readonly WaitingJob[],
): Map<string, number> => {
  const out = new Map<string, number>();
  if (loans.length === 0) return out;
  const byId = new Map(waiting.map((w) => [w.job.spec.id, w]));
  let highest = -1;
  for (const { job } of waiting)
    if (job.spec.gpus > 0 && job.spec.urgency > highest) highest = job.spec.urgency;
  for (const l of loans) {
    const w = byId.get(l.lender);
    if (w === undefined || w.job.spec.urgency < highest) continue;
    const n = w.job.spec.shape === 'gang' ? w.tasks : Math.min(w.tasks, (out.get(l.lender) ?? 0) + l.tasks);
    out.set(l.lender, n);
  }
  return out;
};
