/** What a cycle's log entry says of loans: those it makes for its stops, and those it ends. */
import type { Job } from '../jobs/model.js';
import { repaymentsWithoutStart, repaymentsByStarts, type Repayments } from './repayment.js';
import { loansOf } from './loans.js';
import { thousandths, type LoanPart } from './model.js';

/** A task about to be stopped for a service. */
export interface LendingPreemption {
  readonly job: Job;
  readonly task: number;
  readonly taker?: Job;
}

export interface NewLoans<S extends LendingPreemption> {
  readonly taker: Job;
  readonly lend: readonly LoanPart[];
  /** Tasks taken, by lender. */
  readonly taken: ReadonlyMap<string, number>;
  readonly preemptions: readonly S[];
}

/** By taker, in the order of the stops. */
export const newLoans = <S extends LendingPreemption>(stops: readonly S[]): NewLoans<S>[] => {
  const byTaker = new Map<Job, S[]>();
  for (const s of stops) {
    if (s.taker === undefined) continue;
    const list = byTaker.get(s.taker);
    if (list) list.push(s);
    else byTaker.set(s.taker, [s]);
  }
  return [...byTaker].map(([taker, of]) => {
    const parts = new Map<string, LoanPart>();
    for (const { job } of of) {
      const lender = job.spec.id;
      const old = parts.get(lender);
      const gpus = (old?.gpus ?? 0) + thousandths(job.spec.gpus);
      parts.set(lender, { lender, gpus, tasks: (old?.tasks ?? 0) + 1 });
    }
    const lend = [...parts.values()];
    return { taker, lend, taken: new Map(lend.map((p) => [p.lender, p.tasks])), preemptions: of };
  });
};

/** One loan, or a part of it, that a log entry ends; for the log. `gpus`: whole GPUs. */
export interface LoanEnd {
  readonly taker: string;
  readonly lender: string;
  readonly gpus: number;
  readonly reason: 'repaid' | 'lender over' | 'lender whole';
}
export interface LoanRepayment {
  readonly taker: string;
  readonly repay: readonly LoanPart[];
  readonly ends: readonly LoanEnd[];
}

/** `started`: tasks that the log entry starts, by job. `unsettled`: what becomes of the job's tasks is not known yet. */
export const loanRepayments = (
  jobs: ReadonlyMap<string, Job>,
  started: ReadonlyMap<string, number>,
  unsettled: (job: Job) => boolean,
): LoanRepayment[] => {
  const loans = loansOf(jobs.values());
  if (loans.length === 0) return [];
  const over = repaymentsWithoutStart(loans, { jobs, unsettled });
  // A loan of which a part is over is looked at again in the next cycle.
  const rest = loans.filter((l) => !over.get(l.taker)?.some((p) => p.lender === l.lender));
  const repaid = repaymentsByStarts(rest, started, (id) => jobs.get(id)?.spec.gpus ?? 0);
  const of = (from: Repayments, taker: string): readonly LoanPart[] => from.get(taker) ?? [];
  const end = (taker: string, p: LoanPart, reason: LoanEnd['reason']): LoanEnd => ({
    taker,
    lender: p.lender,
    gpus: p.gpus / 1000,
    reason,
  });
  return [...new Set([...over.keys(), ...repaid.keys()])].map((taker) => ({
    taker,
    repay: [...of(over, taker), ...of(repaid, taker)],
    ends: [
      ...of(over, taker).map((p) => {
        const lender = jobs.get(p.lender);
        return end(taker, p, lender === undefined || lender.cancelled ? 'lender over' : 'lender whole');
      }),
      ...of(repaid, taker).map((p) => end(taker, p, 'repaid')),
    ],
  }));
};
