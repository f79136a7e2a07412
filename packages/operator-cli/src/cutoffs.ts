/**
 * The command `cutoffs`: for each occurrence of a cutoff, counts the jobs that are bound to it by state, and lists which of them
 * are at risk and why.
 */
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
import { type Cell, isoTime, type OutputFormat, outputOption, printTable } from './output.js';

interface CutoffOptions extends StateOptions {
  readonly output: OutputFormat;
  readonly all?: boolean;
  readonly names: string;
}

/** Reads of the state before the command fails because the state changes too fast. */
const MAX_READS = 5;

/** Reads a consistent view of the shared state: lists all keys, then applies the changes made since the listing began. */
export const readJobState = (store: Store): Effect.Effect<JobState, StateFailure | CommandRefused> =>
  Effect.gen(function* () {
    for (let attempt = 0; attempt < MAX_READS; attempt++) {
      const baseRevision = (yield* store.page(ROOT, null, 1)).revision;
      const lists = yield* Effect.forEach(
        [STORE_STATUS, CALENDAR, LOG_ENTRIES, JOB_BUNDLES, ACTIVE_JOBS, TERM],
        (prefix) => listAll(store, prefix),
      );
      const followed = yield* store.follow(ROOT, baseRevision, 0);
      if (followed.tooOld) continue;
      const jobState = new JobState();
      jobState.load(lists.flat(), baseRevision);
      jobState.advance(followed.changes, followed.revision);
      return jobState;
    }
    return yield* new CommandRefused({ message: 'the state changes faster than it can be read: try again' });
  });

/** One occurrence of a cutoff; `--output json` prints it unchanged. */
export interface CutoffRow {
  readonly id: string;
  /** Time of day, microseconds; null: the occurrence is no longer in the calendar. */
  readonly at: Micros | null;
  readonly state: 'coming' | 'passed' | 'retired';
  readonly tied: number;
  readonly done: number;
  readonly cancelled: number;
  readonly running: number;
  readonly waiting: number;
  readonly atRisk: number;
  /** Number of jobs at risk by reason. */
  readonly why: Readonly<Record<string, number>>;
  /** Jobs that completed after the cutoff, or are unfinished although it has passed. */
  readonly missed: number;
  /** Jobs that are late or at risk, at most as many as `--names` allows. */
  readonly jobs: readonly { readonly id: string; readonly why: string }[];
}

/** A row that is still being counted. */
type CountedRow = { -readonly [Key in keyof CutoffRow]: CutoffRow[Key] } & {
  readonly why: Record<string, number>;
  readonly jobs: { readonly id: string; readonly why: string }[];
};

const createRow = ({ calendars }: JobState, id: string, now: Micros): CountedRow => {
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

/** Reason shown for a late job. A job at risk shows the reason of its risk. */
const MISSED = 'missed';

/** Returns why a job, which must not be cancelled, is late or at risk; null: it is neither. */
const lateOrAtRiskReason = (row: CountedRow, job: Job, isDone: boolean, now: Micros): string | null => {
  if (job.cutoffRisk === CUTOFF_RISK.missed || (!isDone && row.at !== null && row.at < now)) return MISSED;
  if (isDone || row.state !== 'coming' || !isRisk(job.cutoffRisk)) return null;
  return RISK_REASONS[job.cutoffRisk!] ?? null;
};

/** Counts a job that is bound to the occurrence. Lists it by id if it is late or at risk, up to `maxListedJobs` jobs. */
const countJob = (row: CountedRow, job: Job, now: Micros, maxListedJobs: number): void => {
  const isDone = !job.cancelled && isComplete(job);
  row.tied++;
  if (isDone) row.done++;
  else if (job.cancelled) row.cancelled++;
  else if (job.placed.size > 0) row.running++;
  else row.waiting++;
  if (job.cancelled) return;
  const why = lateOrAtRiskReason(row, job, isDone, now);
  if (why === null) return;
  if (why === MISSED) row.missed++;
  else {
    row.atRisk++;
    row.why[why] = (row.why[why] ?? 0) + 1;
  }
  if (row.jobs.length < maxListedJobs) row.jobs.push({ id: job.spec.id, why });
};

/**
 * Returns a row for each occurrence to which jobs are or were bound, earliest first. Occurrences that are no longer in the
 * calendar come last. `now`: time of day, microseconds.
 */
export const cutoffRows = (jobState: JobState, now: Micros, maxListedJobs: number): CutoffRow[] => {
  const rows = new Map<string, CountedRow>();
  const rowOf = (id: string): CountedRow => {
    let row = rows.get(id);
    if (row === undefined) rows.set(id, (row = createRow(jobState, id, now)));
    return row;
  };
  for (const id of jobState.calendars.outcomeCounts.keys()) rowOf(id);
  for (const job of jobState.jobs.values())
    if (job.spec.cutoffBinding !== null) countJob(rowOf(job.spec.cutoffBinding), job, now, maxListedJobs);
  return [...rows.values()].sort(
    (a, b) =>
      (a.at ?? Number.POSITIVE_INFINITY) - (b.at ?? Number.POSITIVE_INFINITY) || (a.id < b.id ? -1 : 1),
  );
};

/** Registers the command `cutoffs`. */
export const registerCutoffs = (cli: Command, io: Io): void => {
  outputOption(stateOptions(cli.command('cutoffs')))
    .description(
      'counts jobs by cutoff: bound (tied), done, running, waiting, at risk with the reason, missed',
    )
    .option('--all', 'include past cutoffs that no job missed')
    .option('--names <n>', 'number of late or endangered jobs to list for each cutoff', '5')
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
    if (calendar === null)
      io.printDiagnostic('no calendar is stored: jobs bound to a cutoff use their own due time');
    else if (now > calendar.until - calendar.notice)
      io.printDiagnostic(`the calendar ends at ${isoTime(calendar.until)}: apply a newer one`);
    printTable(
      io,
      ['cutoff', 'instant (UTC)', 'state', 'tied', 'done', 'run', 'wait', 'risk', 'why', 'missed'],
      rows.map(cellsOf),
    );
    for (const row of rows) for (const { id, why } of row.jobs) io.print(`${row.id}: ${id}: ${why}`);
  });

/** Length of an ISO 8601 time without the fraction of a second. */
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
