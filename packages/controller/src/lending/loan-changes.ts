/** The loan changes of a cycle's log entry: the loans that its preemptions make, and the loans that it ends. */
import type { Job } from '../jobs/model.js';
import { repaymentsWithoutStart, repaymentsByStarts, type Repayments } from './repayment.js';
import { loansOf } from './loans.js';
import { thousandths, type LoanChange } from './model.js';

/** A task that is to be preempted, with the service that takes its resources (`taker`). */
export interface LendingPreemption {
  readonly job: Job;
  readonly task: number;
  readonly taker?: Job;
}

/** The loans of one taker. */
export interface NewLoans<S extends LendingPreemption> {
  readonly taker: Job;
  readonly lend: readonly LoanChange[];
  /** Number of preempted tasks by lender. */
  readonly taken: ReadonlyMap<string, number>;
  readonly preemptions: readonly S[];
}

/** Returns the loans that preemptions make, by taker, in the order of the preemptions. */
export const newLoans = <S extends LendingPreemption>(preemptions: readonly S[]): NewLoans<S>[] => {
  const byTaker = new Map<Job, S[]>();
  for (const preemption of preemptions) {
    if (preemption.taker === undefined) continue;
    const list = byTaker.get(preemption.taker);
    if (list) list.push(preemption);
    else byTaker.set(preemption.taker, [preemption]);
  }
  return [...byTaker].map(([taker, takerPreemptions]) => {
    const byLender = new Map<string, LoanChange>();
    for (const { job } of takerPreemptions) {
      const lender = job.spec.id;
      const old = byLender.get(lender);
      const gpus = (old?.gpus ?? 0) + thousandths(job.spec.gpus);
      byLender.set(lender, { lender, gpus, tasks: (old?.tasks ?? 0) + 1 });
    }
    const lend = [...byLender.values()];
    return {
      taker,
      lend,
      taken: new Map(lend.map((loan) => [loan.lender, loan.tasks])),
      preemptions: takerPreemptions,
    };
  });
};

/** A loan, or some of its tasks, that a log entry ends; written to the log. */
export interface LoanEnd {
  readonly taker: string;
  readonly lender: string;
  /** GPUs, not thousandths. */
  readonly gpus: number;
  /**
   * The lender's tasks were started again; the lender finished or was cancelled; or the lender lacks fewer tasks than it
   * lent, because the tasks were never stopped or were started unobserved.
   */
  readonly reason: 'repaid' | 'lender finished' | 'lender tasks running';
}
export interface LoanRepayment {
  readonly taker: string;
  readonly repay: readonly LoanChange[];
  readonly ends: readonly LoanEnd[];
}

/**
 * Returns the loans that a log entry ends. `started`: number of tasks that the entry starts, by job. `unsettled`: whether the
 * state of some of the job's tasks is not known yet.
 */
export const loanRepayments = (
  jobs: ReadonlyMap<string, Job>,
  started: ReadonlyMap<string, number>,
  unsettled: (job: Job) => boolean,
): LoanRepayment[] => {
  const loans = loansOf(jobs.values());
  if (loans.length === 0) return [];
  const withoutStart = repaymentsWithoutStart(loans, { jobs, unsettled });
  // A loan that ends in part without a start is not repaid by starts until the next cycle.
  const rest = loans.filter((loan) => !withoutStart.get(loan.taker)?.some((p) => p.lender === loan.lender));
  const byStarts = repaymentsByStarts(rest, started, (id) => jobs.get(id)?.spec.gpus ?? 0);
  const repaymentsOf = (repayments: Repayments, taker: string): readonly LoanChange[] =>
    repayments.get(taker) ?? [];
  const loanEnd = (taker: string, repayment: LoanChange, reason: LoanEnd['reason']): LoanEnd => ({
    taker,
    lender: repayment.lender,
    gpus: repayment.gpus / 1000,
    reason,
  });
  return [...new Set([...withoutStart.keys(), ...byStarts.keys()])].map((taker) => ({
    taker,
    repay: [...repaymentsOf(withoutStart, taker), ...repaymentsOf(byStarts, taker)],
    ends: [
      ...repaymentsOf(withoutStart, taker).map((repayment) => {
        const lender = jobs.get(repayment.lender);
        return loanEnd(
          taker,
          repayment,
          lender === undefined || lender.cancelled ? 'lender finished' : 'lender tasks running',
        );
      }),
      ...repaymentsOf(byStarts, taker).map((repayment) => loanEnd(taker, repayment, 'repaid')),
    ],
  }));
};
