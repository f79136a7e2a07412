/**
 * Loans: GPUs that a service runs on because tasks of another job were stopped for it. A loan is part of the taker's
 * durable state, so whoever has the jobs has the loans: followers, a new leader, a rebuild, a snapshot.
 */
import type { Micros } from '@lilacvalve/runtime/micros';

/** GPUs are counted in thousandths, as whole numbers: sums of loans are exact. */
export const thousandths = (gpus: number): number => Math.round(gpus * 1000);

/** What one job has lent to one service and not been given back. */
export interface Loan {
  /** Thousandths of a GPU. */
  readonly gpus: number;
  /** Tasks that were stopped for it. */
  readonly tasks: number;
  /** Time of day of the first log entry that took some of it. */
  readonly since: Micros;
}

/** What one log entry adds to a loan, or takes off it. */
export interface LoanPart {
  readonly lender: string;
  readonly gpus: number;
  readonly tasks: number;
}

/** One log entry: what it lends, then what it gives back. Neither can make an amount less than nothing. */
export const applyLoans = (
  loans: Map<string, Loan>,
  lend: readonly LoanPart[] | undefined,
  repay: readonly LoanPart[] | undefined,
  at: Micros,
): void => {
  for (const p of lend ?? []) {
    const old = loans.get(p.lender);
    loans.set(p.lender, {
      gpus: (old?.gpus ?? 0) + p.gpus,
      tasks: (old?.tasks ?? 0) + p.tasks,
      since: old?.since ?? at,
    });
  }
  for (const p of repay ?? []) {
    const old = loans.get(p.lender);
    if (old === undefined) continue;
    const gpus = Math.max(0, old.gpus - p.gpus);
    const tasks = Math.max(0, old.tasks - p.tasks);
    if (tasks === 0) loans.delete(p.lender);
    else loans.set(p.lender, { gpus, tasks, since: old.since });
  }
};
