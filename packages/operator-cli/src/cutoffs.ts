/** `cutoffs`: by occurrence the jobs that are tied to it, what has become of them, and which are at risk and why. */
import type { Command } from 'commander';
import { Effect } from 'effect';
import type { Micros } from '@lilacvalve/runtime/micros';
import { isRisk, NO_TALLY, CUTOFF_RISK, RISK_REASONS } from '@lilacvalve/controller/calendar/model';
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
import { isComplete } from '@lilacvalve/controller/jobs/model';
import type { StateFailure } from '@lilacvalve/controller/state-store/client';
import { Fail, type Io, type StateOptions, stateOptions, type Store } from './io.js';
import { type Form, outputOption, table } from './output.js';

const READS = 5;

/** The shared state as of one moment: listings, then what changed since the oldest of them. */
export const readState = (store: Store): Effect.Effect<JobState, StateFailure | Fail> =>
  Effect.gen(function* () {
    for (let n = 0; n < READS; n++) {
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
    return yield* Effect.fail(new Fail('the state changes faster than it can be read: try again'));
  });

export interface Row {
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

/** Rows of occurrences that have or had jobs, the earliest first; those that the calendar dropped last. Pure. */
export const rowsOf = (jobState: JobState, day: Micros, names: number): Row[] => {
  const { current } = jobState.calendars;
  type Open = {
    -readonly [K in keyof Row]: Row[K] extends readonly (infer A)[] ? A[] : Row[K];
  } & { why: Record<string, number> };
  const rows = new Map<string, Open>();
  const rowOf = (id: string): Open => {
    let r = rows.get(id);
    if (!r) {
      const at = current?.byId.get(id)?.at ?? null;
      const t = jobState.calendars.tallies.get(id)?.value ?? NO_TALLY;
      r = {
        id,
        at,
        state: at === null ? 'retired' : at < day ? 'passed' : 'coming',
        tied: t.done + t.cancelled,
        done: t.done,
        cancelled: t.cancelled,
        running: 0,
        waiting: 0,
        atRisk: 0,
        why: {},
        missed: t.missed,
        jobs: [],
      };
      rows.set(id, r);
    }
    return r;
  };
  for (const id of jobState.calendars.tallies.keys()) rowOf(id);
  for (const job of jobState.jobs.values()) {
    const { tie, id } = job.spec;
    if (tie === null) continue;
    const r = rowOf(tie);
    r.tied++;
    const done = !job.cancelled && isComplete(job);
    if (done) r.done++;
    else if (job.cancelled) r.cancelled++;
    else if (job.placed.size > 0) r.running++;
    else r.waiting++;
    const late =
      job.cutoffRisk === CUTOFF_RISK.missed || (!done && !job.cancelled && r.at !== null && r.at < day);
    if (late && !job.cancelled) {
      r.missed++;
      if (r.jobs.length < names) r.jobs.push({ id, why: 'missed' });
    } else if (!done && !job.cancelled && r.state === 'coming' && isRisk(job.cutoffRisk)) {
      const why = RISK_REASONS[job.cutoffRisk!]!;
      r.atRisk++;
      r.why[why] = (r.why[why] ?? 0) + 1;
      if (r.jobs.length < names) r.jobs.push({ id, why });
    }
  }
  return [...rows.values()].sort(
    (a, b) =>
      (a.at ?? Number.POSITIVE_INFINITY) - (b.at ?? Number.POSITIVE_INFINITY) || (a.id < b.id ? -1 : 1),
  );
};

export const registerCutoffs = (cli: Command, io: Io): void => {
  outputOption(stateOptions(cli.command('cutoffs')))
    .description('by cutoff: jobs tied, done, running, waiting, at risk and why, missed')
    .option('--all', 'also those that have passed and missed nothing')
    .option('--names <n>', 'name so many of the jobs at risk or late, by cutoff', '5')
    .action((o: StateOptions & { output: Form; all?: boolean; names: string }) =>
      io.run(() =>
        Effect.gen(function* () {
          const jobState = yield* readState(io.open(o).store);
          const c = jobState.calendars.current;
          const day = io.dayTime() as Micros;
          const rows = rowsOf(jobState, day, Number(o.names) || 0).filter(
            (r) => o.all === true || r.state !== 'passed' || r.running + r.waiting + r.missed > 0,
          );
          if (o.output === 'json')
            return io.print(
              JSON.stringify({
                version: c?.version ?? null,
                until: c?.until ?? null,
                now: day,
                cutoffs: rows,
              }),
            );
          if (c === null) io.note('no calendar is there: tied jobs go by their own due time');
          else if (day > c.until - c.notice)
            io.note(
              `the calendar's table ends at ${new Date(c.until / 1000).toISOString()}: apply a newer one`,
            );
          for (const l of table(
            ['cutoff', 'instant (UTC)', 'state', 'tied', 'done', 'run', 'wait', 'risk', 'why', 'missed'],
            rows.map((r) => [
              r.id,
              r.at === null ? null : new Date(r.at / 1000).toISOString().slice(0, 19),
              r.state,
              r.tied,
              r.done,
              r.running,
              r.waiting,
              r.atRisk,
              Object.entries(r.why)
                .map(([k, n]) => `${k} ${n}`)
                .join(', ') || null,
              r.missed,
            ]),
          ))
            io.print(l);
          for (const r of rows) for (const j of r.jobs) io.print(`${r.id}: ${j.id}: ${j.why}`);
        }),
      ),
    );
};
