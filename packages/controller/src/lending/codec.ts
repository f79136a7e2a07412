/** Durable forms of loans, inside a job's key and inside a log entry's change of a job. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Loan, LoanPart } from './model.js';

/** lender -> [thousandths of a GPU, tasks, microseconds from the taker's submission to the first log entry] */
export type StoredLoans = Readonly<Record<string, readonly [number, number, number]>>;
/** lender -> [thousandths of a GPU, tasks] */
export type StoredLoanParts = Readonly<Record<string, readonly [number, number]>>;

export const encodeLoans = (loans: ReadonlyMap<string, Loan>, submitted: Micros): StoredLoans =>
  Object.fromEntries([...loans].map(([id, l]) => [id, [l.gpus, l.tasks, l.since - submitted] as const]));

/** Throws on what `encodeLoans` can't have written. */
export const decodeLoans = (v: StoredLoans | undefined, submitted: Micros): Map<string, Loan> => {
  const out = new Map<string, Loan>();
  for (const [id, l] of Object.entries(v ?? {})) {
    if (!Array.isArray(l) || l.length !== 3 || !l.every((x) => Number.isSafeInteger(x)))
      throw new Error(`not a loan of ${id}`);
    const [gpus, tasks, after] = l as unknown as [number, number, number];
    out.set(id, { gpus, tasks, since: (submitted + after) as Micros });
  }
  return out;
};

export const encodeLoanParts = (parts: readonly LoanPart[]): StoredLoanParts =>
  Object.fromEntries(parts.map((p) => [p.lender, [p.gpus, p.tasks] as const]));

/** Throws on what `encodeParts` can't have written. */
export const decodeLoanParts = (v: StoredLoanParts | undefined): LoanPart[] | undefined =>
  v === undefined
    ? undefined
    : Object.entries(v).map(([lender, p]) => {
        if (!Array.isArray(p) || !p.every((x) => Number.isSafeInteger(x)))
          throw new Error(`no part of ${lender}`);
        const [gpus, tasks] = p as unknown as [number, number];
        return { lender, gpus, tasks };
      });
