/** Stored forms of loans: in a job's key, and in a log entry's change of a job. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Loan, LoanChange } from './model.js';

/** lender -> [thousandths of a GPU, tasks, microseconds from the taker's submission to the first log entry] */
export type StoredLoans = Readonly<Record<string, readonly [number, number, number]>>;
/** lender -> [thousandths of a GPU, tasks] */
export type StoredLoanChanges = Readonly<Record<string, readonly [number, number]>>;

export const encodeLoans = (loans: ReadonlyMap<string, Loan>, submitted: Micros): StoredLoans =>
  Object.fromEntries(
    [...loans].map(([id, loan]) => [id, [loan.gpus, loan.tasks, loan.since - submitted] as const]),
  );

/** Throws on values that `encodeLoans` cannot have written. */
export const decodeLoans = (stored: StoredLoans | undefined, submitted: Micros): Map<string, Loan> => {
  const out = new Map<string, Loan>();
  for (const [id, loan] of Object.entries(stored ?? {})) {
    if (!Array.isArray(loan) || loan.length !== 3 || !loan.every((value) => Number.isSafeInteger(value)))
      throw new Error(`loan of ${id}: expected three safe integers, found ${JSON.stringify(loan)}`);
    const [gpus, tasks, sinceSubmission] = loan as unknown as [number, number, number];
    out.set(id, { gpus, tasks, since: (submitted + sinceSubmission) as Micros });
  }
  return out;
};

export const encodeLoanChanges = (changes: readonly LoanChange[]): StoredLoanChanges =>
  Object.fromEntries(changes.map((change) => [change.lender, [change.gpus, change.tasks] as const]));

/** Throws on values that `encodeLoanChanges` cannot have written. */
export const decodeLoanChanges = (stored: StoredLoanChanges | undefined): LoanChange[] | undefined =>
  stored === undefined
    ? undefined
    : Object.entries(stored).map(([lender, change]) => {
        if (!Array.isArray(change) || !change.every((value) => Number.isSafeInteger(value)))
          throw new Error(
            `loan change of ${lender}: expected safe integers, found ${JSON.stringify(change)}`,
          );
        const [gpus, tasks] = change as unknown as [number, number];
        return { lender, gpus, tasks };
      });
