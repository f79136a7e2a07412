/** The command `loans`: lists open loans of GPUs in the shared state, from a lender job to the service that borrows them. */
import type { Command } from 'commander';
import { Effect } from 'effect';
import { listAll } from '@lilacvalve/controller/calendar/publish';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { ACTIVE_JOBS, JOB_BUNDLES, LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import { loansOf } from '@lilacvalve/controller/lending/loans';
import type { Entry, StateFailure } from '@lilacvalve/controller/state-store/client';
import { type CommandFailure, type Io, type StateOptions, stateOptions, type Store } from './io.js';
import { isoTime, type OutputFormat, outputOption, printTable } from './output.js';

interface LoanOptions extends StateOptions {
  readonly output: OutputFormat;
  readonly team?: string;
}

/** One loan; `--output json` prints it unchanged. */
export interface LoanRow {
  readonly taker: string;
  readonly takerTeam: string;
  readonly lender: string;
  /** null: the lender is a finished job; the next log entry ends the loan. */
  readonly lenderTeam: string | null;
  readonly gpus: number;
  readonly tasks: number;
  /** Start of the loan, ISO 8601 in UTC. */
  readonly since: string;
}

/** Returns the open loans, oldest first. With `team`, returns only loans from or to that team. */
export const loanRows = (jobState: JobState, team?: string): LoanRow[] =>
  loansOf(jobState.jobs.values())
    .map((loan) => ({
      taker: loan.taker,
      takerTeam: jobState.jobs.get(loan.taker)!.spec.team,
      lender: loan.lender,
      lenderTeam: jobState.jobs.get(loan.lender)?.spec.team ?? null,
      gpus: loan.gpus / 1000,
      tasks: loan.tasks,
      since: isoTime(loan.since),
    }))
    .filter((row) => team === undefined || row.takerTeam === team || row.lenderTeam === team);

/**
 * Reads the jobs of the shared state. Log entries are read before the jobs' keys: a log entry that is compacted into a job's key
 * during the read is then seen in at least one of both.
 */
export const readJobs = (store: Store): Effect.Effect<JobState, StateFailure> =>
  Effect.gen(function* () {
    const entries: Entry[] = [];
    for (const prefix of [LOG_ENTRIES, JOB_BUNDLES, ACTIVE_JOBS])
      entries.push(...(yield* listAll(store, prefix)));
    const jobState = new JobState();
    jobState.load(entries, 0);
    return jobState;
  });

/** Registers the command `loans`. */
export const registerLoans = (cli: Command, io: Io): void => {
  outputOption(stateOptions(cli.command('loans')))
    .description('lists open loans of GPUs with taker and lender')
    .option('--team <name>', 'only loans from or to this team')
    .action((options: LoanOptions) => io.run(printLoans(io, options)));
};

const printLoans = (io: Io, options: LoanOptions): Effect.Effect<void, StateFailure | CommandFailure> =>
  Effect.gen(function* () {
    const { store } = yield* io.open(options);
    const rows = loanRows(yield* readJobs(store), options.team);
    if (options.output === 'json') return io.print(JSON.stringify(rows));
    printTable(
      io,
      ['taker', 'team', 'lender', 'team', 'gpus', 'tasks', 'since'],
      rows.map((row) => [
        row.taker,
        row.takerTeam,
        row.lender,
        row.lenderTeam,
        row.gpus,
        row.tasks,
        row.since,
      ]),
    );
  });
