/**
 * Drafts the log entries of a cycle: the observed exits and the starts on the freed resources, in one or more log entries that
 * one transaction commits together, within the state service's limits on values and transactions.
 *
 * With 80 teams the usage rows of the accounts alone fill most of a value, and a single log entry that could not hold all
 * exits would hold no starts at all. So changes that do not fit into one log entry go into the next one of the same
 * transaction, and as many tasks of an array are started as fit.
 */
import type { LogEntryUsage } from '../accounts/log-entry-usage.js';
import type { JobChange } from '../jobs/model.js';
import { loanRepayments, type LoanEnd, newLoans } from '../lending/loan-changes.js';
import type { Condition } from '../state-store/client.js';
import type { CycleContext } from './cycle-context.js';
import { DraftBuilder, type JobExits } from './draft-builder.js';
import type { Preemption, Start } from './model.js';

/** Changes of one cycle, within the limits of one transaction. */
export interface Draft {
  /** The changes by job, for each log entry in order; empty if there is nothing to write. */
  readonly entries: readonly ReadonlyMap<string, JobChange>[];
  readonly conditions: readonly Condition[];
  /** Maximum bytes of the transaction. */
  readonly bytes: number;
  /** Whether the draft holds all changes that were to be recorded. */
  readonly complete: boolean;
  /** Preemptions whose loans are in the draft. */
  readonly lendingPreemptions: readonly Preemption[];
  /** Loans that the draft ends or reduces. */
  readonly endedLoans: readonly LoanEnd[];
}

/** Returns the exits that the worker registry has observed and no log entry records yet. */
const observedExits = (context: CycleContext): JobExits[] => {
  const exitsByJob: JobExits[] = [];
  for (const [id, exits] of context.registry.exits) {
    const job = context.jobState.jobs.get(id);
    if (!job) continue;
    // A gang completes as a whole: completion overrides other exits of its members.
    const exited = [...exits.exited].filter((task) => !exits.completed.has(task));
    exitsByJob.push({
      job,
      completed: [...exits.completed],
      exited,
      failed: exited.filter((task) => exits.failed.has(task)),
    });
  }
  return exitsByJob;
};

/** Adds repayments of loans and the new loans of the preemptions. */
const draftLoans = (
  context: CycleContext,
  builder: DraftBuilder,
  preemptions: readonly Preemption[],
): void => {
  for (const { taker, repay, ends } of loanRepayments(context.jobState.jobs, builder.started, (job) =>
    context.registry.hasUnresolvedTasks(job),
  ))
    if (builder.add(taker, (present) => ({ ...present, repay }))) builder.endedLoans.push(...ends);
  for (const { taker, lend, taken, preemptions: loanPreemptions } of newLoans(preemptions)) {
    if (!builder.hasConditionsLeft()) break;
    if (!builder.canStoreLoans(taker, lend.length)) continue;
    const { id } = taker.spec;
    if (!builder.add(id, (present) => ({ ...present, lend }))) continue;
    // The condition prevents a loan to a service that is cancelled in the meantime.
    builder.requireUnchanged(taker);
    let allAdded = true;
    for (const [lender, count] of taken)
      allAdded &&= builder.add(lender, (present) => ({
        ...present,
        preemptedForServices: (present?.preemptedForServices ?? 0) + count,
      }));
    if (allAdded) builder.lendingPreemptions.push(...loanPreemptions);
  }
};

/**
 * Drafts the log entries of a cycle. `cutoffRisks`: the cutoff risks to record, by job. `maxBytes`: maximum
 * bytes of the transaction, beside the state service's limits.
 */
export const draftOf = (
  context: CycleContext,
  starts: readonly Start[],
  preemptions: readonly Preemption[],
  { usageRows }: LogEntryUsage,
  cutoffRisks: ReadonlyMap<string, number>,
  maxBytes = Number.POSITIVE_INFINITY,
): Draft => {
  const builder = new DraftBuilder(context, usageRows, maxBytes);
  const exitsByJob = observedExits(context);
  builder.reserveRows(exitsByJob);
  for (const exits of exitsByJob) builder.addExits(exits);
  for (const [id, risk] of cutoffRisks) builder.add(id, (present) => ({ ...present, cutoffRisk: risk }));
  // The starts rely on the resources freed by all exits: if an exit did not fit, they wait for the next cycle.
  if (builder.complete) {
    // Tasks that were found running after a data loss are recorded before new starts.
    for (const start of [...context.registry.adoptions(), ...starts]) builder.addStart(start);
    draftLoans(context, builder, preemptions);
  }
  // The first log entry holds the usage rows, so it is kept even if all changes are in later ones.
  const logEntries = builder.entries.some((entry) => entry.changes.size > 0)
    ? builder.entries.map((entry) => entry.changes)
    : [];
  return {
    entries: logEntries,
    conditions: builder.conditions,
    bytes: builder.transactionBytes(),
    complete: builder.complete,
    lendingPreemptions: builder.lendingPreemptions,
    endedLoans: builder.endedLoans,
  };
};
