/** `cutoffs`: by occurrence the jobs that are tied to it, what has become of them, and which are at risk and why. */
import type { Command } from 'commander';
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { isRisk, NO_OUTCOMES, CUTOFF_RISK, RISK_REASONS } from '@lilacvalve/controller/calendar/model';
import { listAll } from '@lilacvalve/controller/calendar/publish';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import {
  ACTIVE_JOBS,
  CALENDAR,
  STORE_STATUS,
  JOB_BUNDLES,
  LOG_ENTRIES,
  ROOT,
  TERM,
} from '@lilacvalve/controller/jobs/keys';
import { isComplete, type Job } from '@lilacvalve/controller/jobs/model';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import {
  type CommandFailure,
  CommandRefused,
  type Io,
  type StateOptions,
  stateOptions,
  type Store,
} from './io.js';
import { type Cell, isoTime, type OutputForm, outputOption, printTable } from './output.js';

interface CutoffOptions extends StateOptions {
  readonly output: OutputForm;
  readonly all?: boolean;
  readonly names: string;
}

/** How often the state is read before the command gives up. */
const MOST_READS = 5;

/** The shared state as of one moment: listings, then what changed since the oldest of them. */
export const readJobState = (store: Store): Effect.Effect<JobState, StateFailure | CommandRefused> =>
  Effect.gen(function* () {
    for (let read = 0; read < MOST_READS; read++) {
      const base = (yield* store.page(ROOT, null, 1)).revision;
      const lists = yield* Effect.forEach(
        [STORE_STATUS, CALENDAR, LOG_ENTRIES, JOB_BUNDLES, ACTIVE_JOBS, TERM],
        (prefix) => listAll(store, prefix),
      );
      const since = yield* store.follow(ROOT, base, 0);
      if (since.tooOld) continue;
      const jobState = new JobState();
      jobState.load(lists.flat(), base);
      jobState.advance(since.changes, since.revision);
      return jobState;
    }
    return yield* new CommandRefused({ message: 'the state changes faster than it can be read: try again' });
  });

/** One occurrence of a cutoff; printed as it is by `--output json`. */
export interface CutoffRow {
  readonly id: string;
  /** Time of day, microseconds; null: the calendar has dropped it. */
  readonly at: Micros | null;
  readonly state: 'coming' | 'passed' | 'retired';
  readonly tied: number;
  readonly done: number;
  readonly cancelled: number;
  readonly running: number;
  readonly waiting: number;
  readonly atRisk: number;
  /** By reason, how many of those at risk. */
  readonly why: Readonly<Record<string, number>>;
  /** Over too late, or not over though it has passed. */
  readonly missed: number;
  /** Those that are late or at risk, at most so many as asked for. */
  readonly jobs: readonly { readonly id: string; readonly why: string }[];
}

/** A row while jobs are counted into it. */
type CountedRow = { -readonly [Key in keyof CutoffRow]: CutoffRow[Key] } & {
  readonly why: Record<string, number>;
  readonly jobs: { readonly id: string; readonly why: string }[];
};

const emptyRow = ({ calendars }: JobState, id: string, now: Micros): CountedRow => {
  const at = calendars.current?.byId.get(id)?.at ?? null;
  const { done, cancelled, missed } = calendars.outcomeCounts.get(id)?.value ?? NO_OUTCOMES;
  return {
    id,
    at,
    state: at === null ? 'retired' : at < now ? 'passed' : 'coming',
    tied: done + cancelled,
    done,
    cancelled,
    running: 0,
    waiting: 0,
    atRisk: 0,
    why: {},
    missed,
    jobs: [],
  };
};

/** The reason that a late job is listed with; others have the reason of their risk. */
const MISSED = 'missed';

/** Why a job that is not cancelled is late or at risk; null: it is neither. */
const lateness = (row: CountedRow, job: Job, isDone: boolean, now: Micros): string | null => {
  if (job.cutoffRisk === CUTOFF_RISK.missed || (!isDone && row.at !== null && row.at < now)) return MISSED;
  if (isDone || row.state !== 'coming' || !isRisk(job.cutoffRisk)) return null;
  return RISK_REASONS[job.cutoffRisk!] ?? null;
};

/** Counts one tied job; at most `mostJobs` of those that are late or at risk are named. */
const countJob = (row: CountedRow, job: Job, now: Micros, mostJobs: number): void => {
  const isDone = !job.cancelled && isComplete(job);
  row.tied++;
  if (isDone) row.done++;
  else if (job.cancelled) row.cancelled++;
  else if (job.placed.size > 0) row.running++;
  else row.waiting++;
  if (job.cancelled) return;
  const why = lateness(row, job, isDone, now);
  if (why === null) return;
  if (why === MISSED) row.missed++;
  else {
    row.atRisk++;
    row.why[why] = (row.why[why] ?? 0) + 1;
  }
  if (row.jobs.length < mostJobs) row.jobs.push({ id: job.spec.id, why });
};

/**
 * Rows of occurrences that have or had jobs, the earliest first; those that the calendar dropped last. Pure. `now`: time of
 * day, microseconds.
 */
export const cutoffRows = (jobState: JobState, now: Micros, mostJobs: number): CutoffRow[] => {
  const rows = new Map<string, CountedRow>();
  const rowOf = (id: string): CountedRow => {
    let row = rows.get(id);
    if (row === undefined) rows.set(id, (row = emptyRow(jobState, id, now)));
    return row;
  };
  for (const id of jobState.calendars.outcomeCounts.keys()) rowOf(id);
  for (const job of jobState.jobs.values())
    if (job.spec.cutoffBinding !== null) countJob(rowOf(job.spec.cutoffBinding), job, now, mostJobs);
  return [...rows.values()].sort(
    (a, b) =>
      (a.at ?? Number.POSITIVE_INFINITY) - (b.at ?? Number.POSITIVE_INFINITY) || (a.id < b.id ? -1 : 1),
  );
};

/** Registers `cutoffs`. */
export const registerCutoffs = (cli: Command, io: Io): void => {
  outputOption(stateOptions(cli.command('cutoffs')))
    .description('by cutoff: jobs tied, done, running, waiting, at risk and why, missed')
    .option('--all', 'also those that have passed and missed nothing')
    .option('--names <n>', 'name so many of the jobs at risk or late, by cutoff', '5')
    .action((options: CutoffOptions) => io.run(printCutoffs(io, options)));
};

const printCutoffs = (io: Io, options: CutoffOptions): Effect.Effect<void, StateFailure | CommandFailure> =>
  Effect.gen(function* () {
    const { store } = yield* io.open(options);
    const jobState = yield* readJobState(store);
    const calendar = jobState.calendars.current;
    const now = io.dayTime() as Micros;
    const rows = cutoffRows(jobState, now, Number(options.names) || 0).filter(
      (row) => options.all === true || row.state !== 'passed' || row.running + row.waiting + row.missed > 0,
    );
    if (options.output === 'json') {
      const version = calendar?.version ?? null;
      return io.print(JSON.stringify({ version, until: calendar?.until ?? null, now, cutoffs: rows }));
    }
    if (calendar === null) io.note('no calendar is there: tied jobs go by their own due time');
    else if (now > calendar.until - calendar.notice)
      io.note(`the calendar's table ends at ${isoTime(calendar.until)}: apply a newer one`);
    printTable(
      io,
      ['cutoff', 'instant (UTC)', 'state', 'tied', 'done', 'run', 'wait', 'risk', 'why', 'missed'],
      rows.map(cellsOf),
    );
    for (const row of rows) for (const { id, why } of row.jobs) io.print(`${row.id}: ${id}: ${why}`);
  });

const SECONDS_DIGITS = 'YYYY-MM-DDTHH:mm:ss'.length;

const cellsOf = (row: CutoffRow): Cell[] => [
  row.id,
  row.at === null ? null : isoTime(row.at).slice(0, SECONDS_DIGITS),
  row.state,
  row.tied,
  row.done,
  row.running,
  row.waiting,
  row.atRisk,
  Object.entries(row.why)
    .map(([reason, jobs]) => `${reason} ${jobs}`)
    .join(', ') || null,
  row.missed,
];
