/** Reads the open loans from the jobs: for the scheduling cycle, the accounts, the operators' commands and the checks. */
import type { Job, JobSpec } from '../jobs/model.js';
import type { Loan } from './model.js';

/** An open loan with its taker and its lender. */
export interface OpenLoan extends Loan {
  readonly taker: string;
  readonly lender: string;
}

/** Whether GPUs may be lent to replicas of this job: it is a service that uses GPUs. */
export const mayBorrow = (spec: JobSpec): boolean => spec.shape === 'service' && spec.gpus > 0;

/** Returns what `job` has borrowed, in thousandths of a GPU. */
export const borrowedBy = (job: Job): number => {
  let sum = 0;
  for (const loan of job.loans.values()) sum += loan.gpus;
  return sum;
};

/** Returns all open loans, oldest first; loans of the same age by taker and lender, so that all controllers have one order. */
export const loansOf = (jobs: Iterable<Job>): OpenLoan[] => {
  const out: OpenLoan[] = [];
  for (const job of jobs)
    for (const [lender, loan] of job.loans) out.push({ ...loan, taker: job.spec.id, lender });
  return out.sort(
    (a, b) =>
      a.since - b.since || (a.taker < b.taker ? -1 : a.taker > b.taker ? 1 : a.lender < b.lender ? -1 : 1),
  );
};

/** Returns what each job has lent at present, in thousandths of a GPU, by the job's id. */
export const lentOf = (loans: readonly OpenLoan[]): Map<string, number> => {
  const out = new Map<string, number>();
  for (const loan of loans) out.set(loan.lender, (out.get(loan.lender) ?? 0) + loan.gpus);
  return out;
};
