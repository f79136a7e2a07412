/**
 * Loans: GPUs on which a service runs because tasks of another job were preempted for it. A loan is part of the stored state
 * of the taker (the service), so every copy of the jobs contains the loans: on followers and new leaders, after a rebuild of
 * the store, and in snapshots.
 */
import type { Micros } from '@lilacvalve/runtime/micros';

/** Converts GPUs to thousandths of a GPU: whole numbers, so that sums of loans are exact. */
export const thousandths = (gpus: number): number => Math.round(gpus * 1000);

/** What one job (the lender) has lent to one service (the taker) and has not got back. */
export interface Loan {
  /** Thousandths of a GPU. */
  readonly gpus: number;
  /** Number of the lender's tasks that were preempted. */
  readonly tasks: number;
  /** Time of day of the first log entry that lent some of it. */
  readonly since: Micros;
}

/** What one log entry adds to a loan, or takes off it. */
export interface LoanChange {
  readonly lender: string;
  readonly gpus: number;
  readonly tasks: number;
}

/** Applies one log entry to a taker's loans, first what it lends, then what it repays. Amounts never become negative. */
export const applyLoans = (
  loans: Map<string, Loan>,
  lend: readonly LoanChange[] | undefined,
  repay: readonly LoanChange[] | undefined,
  at: Micros,
): void => {
  for (const change of lend ?? []) {
    const old = loans.get(change.lender);
    loans.set(change.lender, {
      gpus: (old?.gpus ?? 0) + change.gpus,
      tasks: (old?.tasks ?? 0) + change.tasks,
      since: old?.since ?? at,
    });
  }
  for (const change of repay ?? []) {
    const old = loans.get(change.lender);
    if (old === undefined) continue;
    const gpus = Math.max(0, old.gpus - change.gpus);
    const tasks = Math.max(0, old.tasks - change.tasks);
    if (tasks === 0) loans.delete(change.lender);
    else loans.set(change.lender, { gpus, tasks, since: old.since });
  }
};
