/** `loans`: which service runs on whose GPUs, as the shared state has it. */
import type { Command } from 'commander';
import { Effect } from 'effect';
import { listAll } from '@lilacvalve/controller/calendar/publish';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { ACTIVE_JOBS, JOB_BUNDLES, LOG_ENTRIES } from '@lilacvalve/controller/jobs/keys';
import { loansOf } from '@lilacvalve/controller/lending/loans';
import type { Entry } from '@lilacvalve/controller/state-store/client';
import { type Io, type StateOptions, stateOptions, type Store } from './io.js';
import { type Form, outputOption, table } from './output.js';

export interface Row {
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
export const rowsOf = (jobState: JobState, team?: string): Row[] =>
  loansOf(jobState.jobs.values())
    .map((l) => ({
      taker: l.taker,
      takerTeam: jobState.jobs.get(l.taker)!.spec.team,
      lender: l.lender,
      lenderTeam: jobState.jobs.get(l.lender)?.spec.team ?? null,
      gpus: l.gpus / 1000,
      tasks: l.tasks,
      since: new Date(l.since / 1000).toISOString(),
    }))
    .filter((r) => team === undefined || r.takerTeam === team || r.lenderTeam === team);

/** Records first: a job's key that is read later includes what has been folded into it meanwhile. */
export const readJobs = (store: Store) =>
  Effect.gen(function* () {
    const entries: Entry[] = [];
    for (const prefix of [LOG_ENTRIES, JOB_BUNDLES, ACTIVE_JOBS])
      entries.push(...(yield* listAll(store, prefix)));
    const jobState = new JobState();
    jobState.load(entries, 0);
    return jobState;
  });

export const registerLoans = (cli: Command, io: Io): void => {
  outputOption(stateOptions(cli.command('loans')))
    .description('open loans of GPUs, by taker and lender')
    .option('--team <name>', 'only loans from or to this team')
    .action((o: StateOptions & { output: Form; team?: string }) =>
      io.run(() =>
        Effect.gen(function* () {
          const rows = rowsOf(yield* readJobs(io.open(o).store), o.team);
          if (o.output === 'json') return io.print(JSON.stringify(rows));
          const cells = rows.map((r) => [
            r.taker,
            r.takerTeam,
            r.lender,
            r.lenderTeam,
            r.gpus,
            r.tasks,
            r.since,
          ]);
          for (const l of table(['taker', 'team', 'lender', 'team', 'gpus', 'tasks', 'since'], cells))
            io.print(l);
        }),
      ),
    );
};
