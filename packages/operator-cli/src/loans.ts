/** `loans`: which service runs on whose GPUs, as the shared state has it. */
import type { Command } from 'commander';
import { Effect } from 'effect';
import { listAll } from '@lilacvalve/controller/calendar/publish';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { ACTIVE_JOBS, JOB_BUNDLES, LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import { loansOf } from '@lilacvalve/controller/lending/loans';
import type { Entry, StateFailure } from '@lilacvalve/controller/state-store/client';
import { type CommandFailure, type Io, type StateOptions, stateOptions, type Store } from './io.js';
import { isoTime, type OutputForm, outputOption, printTable } from './output.js';

interface LoanOptions extends StateOptions {
  readonly output: OutputForm;
  readonly team?: string;
}

/** One loan; printed as it is by `--output json`. */
export interface LoanRow {
  readonly taker: string;
  readonly takerTeam: string;
  readonly lender: string;
  /** null: the lender is over; the loan ends with the next record. */
  readonly lenderTeam: string | null;
  readonly gpus: number;
  readonly tasks: number;
  /** ISO, UTC. */
  readonly since: string;
}

/** Oldest first. `team`: only loans from or to that team. */
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

/** Records first: a job's key that is read later includes what has been folded into it meanwhile. */
export const readPlacedJobs = (store: Store): Effect.Effect<JobState, StateFailure> =>
  Effect.gen(function* () {
    const entries: Entry[] = [];
    for (const prefix of [LOG_ENTRIES, JOB_BUNDLES, ACTIVE_JOBS])
      entries.push(...(yield* listAll(store, prefix)));
    const jobState = new JobState();
    jobState.load(entries, 0);
    return jobState;
  });

/** Registers `loans`. */
export const registerLoans = (cli: Command, io: Io): void => {
  outputOption(stateOptions(cli.command('loans')))
    .description('open loans of GPUs, by taker and lender')
    .option('--team <name>', 'only loans from or to this team')
    .action((options: LoanOptions) => io.run(printLoans(io, options)));
};

const printLoans = (io: Io, options: LoanOptions): Effect.Effect<void, StateFailure | CommandFailure> =>
  Effect.gen(function* () {
    const { store } = yield* io.open(options);
    const rows = loanRows(yield* readPlacedJobs(store), options.team);
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
