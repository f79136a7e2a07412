/**
 * Which loans end, and which lenders are served first with free resources. A loan is repaid by starts of its lender's tasks,
 * on whichever machine. It ends with its taker or its lender. A loan also ends if its lender lacks no task: then the
 * preemption was never carried out.
 */
import type { Job } from '../jobs/model.js';
import type { OpenLoan } from './loans.js';
import { thousandths, type LoanChange } from './model.js';

/** What a log entry repays, by taker. */
export type Repayments = Map<string, LoanChange[]>;

const addRepayment = (out: Repayments, taker: string, repayment: LoanChange): void => {
  const list = out.get(taker);
  if (list) list.push(repayment);
  else out.set(taker, [repayment]);
};

/**
 * Returns the repayments by the tasks of lenders that a log entry starts. `started`: number of started tasks by job. `loans`
 * in the order of `loansOf`: the oldest loans are repaid first.
 */
export const repaymentsByStarts = (
  loans: readonly OpenLoan[],
  started: ReadonlyMap<string, number>,
  gpusOf: (lender: string) => number,
): Repayments => {
  const out: Repayments = new Map();
  const remaining = new Map(started);
  for (const loan of loans) {
    const repaidTasks = Math.min(loan.tasks, remaining.get(loan.lender) ?? 0);
    if (repaidTasks <= 0) continue;
    remaining.set(loan.lender, remaining.get(loan.lender)! - repaidTasks);
    const gpus =
      repaidTasks === loan.tasks
        ? loan.gpus
        : Math.min(loan.gpus, thousandths(gpusOf(loan.lender) * repaidTasks));
    addRepayment(out, loan.taker, { lender: loan.lender, gpus, tasks: repaidTasks });
  }
  return out;
};

export interface LenderState {
  readonly jobs: ReadonlyMap<string, Job>;
  /** Some task of this job is being stopped, has ended without a log entry, or may do either without being observed. */
  readonly unsettled: (job: Job) => boolean;
}

/** Returns the number of the job's tasks that neither run nor are completed. */
const missingTasks = (job: Job): number => job.spec.tasks - job.completed.size - job.placed.size;

/**
 * Returns the repayments that need no start: of loans whose lender finished or was cancelled, and of the tasks that a lender
 * lent beyond those that it lacks.
 */
export const repaymentsWithoutStart = (loans: readonly OpenLoan[], state: LenderState): Repayments => {
  const out: Repayments = new Map();
  const unassignedMissing = new Map<string, number>();
  for (const loan of loans) {
    const lender = state.jobs.get(loan.lender);
    if (lender === undefined || lender.cancelled) {
      addRepayment(out, loan.taker, { lender: loan.lender, gpus: loan.gpus, tasks: loan.tasks });
      continue;
    }
    if (state.unsettled(lender)) continue;
    // The lender's missing tasks account for its oldest loans. The other lent tasks were never stopped, or were started
    // again unobserved.
    const missing = unassignedMissing.get(loan.lender) ?? missingTasks(lender);
    const stillLent = Math.min(loan.tasks, missing);
    unassignedMissing.set(loan.lender, missing - stillLent);
    const repaidTasks = loan.tasks - stillLent;
    if (repaidTasks > 0)
      addRepayment(out, loan.taker, {
        lender: loan.lender,
        gpus: stillLent === 0 ? loan.gpus : Math.min(loan.gpus, thousandths(lender.spec.gpus * repaidTasks)),
        tasks: repaidTasks,
      });
  }
  return out;
};

/** A job and the number of its tasks that wait to be started. */
export interface WaitingJob {
  readonly job: Job;
  readonly tasks: number;
}

/**
 * Returns the lenders that are served first with free resources and with resources that are being freed, and for how many
 * tasks each: those with an open loan, oldest loans first. A lender is left out while GPU work of higher urgency waits,
 * which could only preempt its tasks again.
 */
export const lendersToRepay = (
  loans: readonly OpenLoan[],
  waiting: readonly WaitingJob[],
): Map<string, number> => {
  const out = new Map<string, number>();
  if (loans.length === 0) return out;
  const byId = new Map(waiting.map((entry) => [entry.job.spec.id, entry]));
  let highestUrgency = -1;
  for (const { job } of waiting)
    if (job.spec.gpus > 0 && job.spec.urgency > highestUrgency) highestUrgency = job.spec.urgency;
  for (const loan of loans) {
    const entry = byId.get(loan.lender);
    if (entry === undefined || entry.job.spec.urgency < highestUrgency) continue;
    const tasks =
      entry.job.spec.shape === 'gang'
        ? entry.tasks
        : Math.min(entry.tasks, (out.get(loan.lender) ?? 0) + loan.tasks);
    out.set(loan.lender, tasks);
  }
  return out;
};
