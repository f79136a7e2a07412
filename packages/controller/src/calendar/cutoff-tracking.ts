/** The leader's part: what is said of cutoffs with each log entry, the counts of what is over, and what classes have shown. */
import { Effect } from 'effect';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { OCCURRENCE, CLASS_DURATIONS, TERM } from '../jobs/keys.js';
import { type FinalState, isComplete, type Job, type JobChange } from '../jobs/model.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, Write } from '../state-store/client.js';
import { encodeTally } from './codec.js';
import { addTally, isRisk, NO_TALLY, CUTOFF_RISK, type Tally, RISK_REASONS } from './model.js';
import { addSamples, encodeClassDurations } from './class-durations.js';
import { type SlackInputs, newCutoffRisk } from './slack.js';
import { occurrenceOf } from './tie.js';

/** In one log entry: the rest follows with the next ones. */
const MAX_RISKS = 50;
/** Samples of one job in one log entry: members of an array are much alike. */
const SAMPLES = 8;
const WRITE_EVERY = seconds(30);
const NOTICE_EVERY = seconds(86_400);

/** Never earlier than the latest log entry: a clock that was set back does not give a cutoff its time back. */
export const dayOf = (context: Pick<CycleContext, 'dayTime' | 'jobState'>): Micros =>
  Math.max(context.dayTime(), context.jobState.lastAt) as Micros;

/** The speed that jobs can get, made once when it is first asked for: most days no job has a tie. */
export const paceOf = (context: CycleContext): (() => SlackInputs) => {
  let made: SlackInputs | null = null;
  return () => {
    if (made !== null) return made;
    const types = new Map(context.types().map((k) => [k.name, k]));
    const total: [number, number, number] = [0, 0, 0];
    for (const m of context.registry.machines.values()) {
      const k = types.get(m.type);
      if (!k) continue;
      total[0] += k.cpus;
      total[1] += k.gpus;
      total[2] += k.memGb;
    }
    const limits = new Map(context.settings.teams.map((s) => [s.name, s.limit]));
    return (made = {
      classDurations: context.jobState.calendars.classDurations?.value ?? new Map(),
      limit: (team) => limits.get(team),
      total,
    });
  };
};

const hindranceOf = (context: CycleContext, job: Job) => {
  const { spec } = job;
  const limit = context.settings.teams.find((s) => s.name === spec.team)?.limit;
  let cpus = 0;
  let gpus = 0;
  for (const j of context.jobState.jobs.values()) {
    if (j.spec.team !== spec.team) continue;
    cpus += j.spec.cpus * j.placed.size;
    gpus += j.spec.gpus * j.placed.size;
  }
  const more = spec.shape === 'array' ? 1 : spec.tasks;
  const over = (most: number | undefined, held: number, need: number): boolean =>
    most !== undefined && most > 0 && held + need * more > most + 1e-6;
  let lost = false;
  for (const r of context.jobState.logTail.values()) {
    const c = r.jobs.get(spec.id);
    if ((c?.gone?.length ?? 0) > (c?.failed?.length ?? 0)) lost = true;
  }
  return { limited: over(limit?.cpus, cpus, spec.cpus) || over(limit?.gpus, gpus, spec.gpus), lost };
};

/** By job, what a log entry of this time says of its cutoff. */
export const cutoffRisksOf = (context: CycleContext, day: Micros): Map<string, number> => {
  const out = new Map<string, number>();
  const { calendars } = context.jobState;
  if (calendars.current === null || calendars.current.cutoffs.length === 0) return out;
  const pace = paceOf(context);
  for (const job of context.jobState.jobs.values()) {
    if (job.spec.tie === null || job.cancelled || isComplete(job)) continue;
    // What the same log entry completes is not at risk; it may have missed.
    const ends = context.registry.exits.get(job.spec.id);
    const over = ends !== undefined && job.done.size + ends.done.size >= job.spec.tasks;
    const say = newCutoffRisk(job, calendars.current, day, pace, () => hindranceOf(context, job));
    if (say === null || (over && isRisk(say))) continue;
    out.set(job.spec.id, say);
    if (out.size >= MAX_RISKS) break;
  }
  return out;
};

/** Once the log entry is durable. */
export const logCutoffRisks = (
  context: CycleContext,
  jobs: ReadonlyMap<string, JobChange>,
  day: Micros,
): Effect.Effect<void> =>
  Effect.forEach(
    [...jobs].filter(([, c]) => c.cutoffRisk !== undefined && c.cutoffRisk !== CUTOFF_RISK.nothing),
    ([id, c]) => {
      const spec = context.jobState.jobs.get(id)?.spec;
      const o = spec === undefined ? null : occurrenceOf(context.jobState.calendars.current, spec);
      const fields = { term: context.leaderTerm.number, job: id, cutoff: o?.id };
      return c.cutoffRisk === CUTOFF_RISK.missed
        ? info('cutoff missed', fields)
        : info('cutoff at risk', {
            ...fields,
            why: RISK_REASONS[c.cutoffRisk!],
            inS: o === null ? undefined : Math.round((o.at - day) / 1e6),
          });
    },
    { discard: true },
  );

/** Takes what a log entry's ends show of their classes; called before the log entry is applied to the jobs. */
export const recordSamples = (
  context: CycleContext,
  jobs: ReadonlyMap<string, JobChange>,
  at: Micros,
): void => {
  if ((context.jobState.calendars.current?.cutoffs.length ?? 0) === 0) return;
  for (const [id, c] of jobs) {
    const job = context.jobState.jobs.get(id);
    if (job === undefined || !c.done?.length || job.spec.estimate <= 0) continue;
    const { ratios } = context.classSamples;
    let list = ratios.get(job.spec.jobClass);
    if (!list) ratios.set(job.spec.jobClass, (list = []));
    // Members of a gang end together: one of them tells as much as all.
    for (const task of c.done.slice(0, job.spec.shape === 'array' ? SAMPLES : 1)) {
      const since = job.placed.get(task)?.since ?? 0;
      if (since > 0 && list.length < 256) list.push((at - since) / job.spec.estimate);
    }
  }
};

/** What is written with the closing of these jobs: the counts of their occurrences. */
export const tallyWrites = (
  jobState: JobState,
  over: readonly { readonly job: Job; readonly final: FinalState }[],
): { readonly when: Condition[]; readonly then: Write[] } => {
  const sums = new Map<string, Tally>();
  for (const { job, final } of over) {
    const { tie } = job.spec;
    if (tie === null) continue;
    const done = final.status === 'done' ? 1 : 0;
    sums.set(
      tie,
      addTally(sums.get(tie) ?? NO_TALLY, {
        done,
        risked: done === 1 && isRisk(job.cutoffRisk) ? 1 : 0,
        missed: done === 1 && job.cutoffRisk === CUTOFF_RISK.missed ? 1 : 0,
        cancelled: 1 - done,
      }),
    );
  }
  const when: Condition[] = [];
  const then: Write[] = [];
  for (const [id, sum] of sums) {
    const there = jobState.calendars.tallies.get(id);
    const key = OCCURRENCE + id;
    when.push({ key, stamp: there?.revision ?? 0 });
    then.push({ set: key, value: encodeTally(addTally(jobState.calendars.tally(id) ?? NO_TALLY, sum)) });
  }
  return { when, then };
};

/** Writes what classes have shown now and then, and says when the calendar's table is about to run out. */
export const calendarUpkeep = (context: CycleContext): Effect.Effect<void> =>
  Effect.gen(function* () {
    const { calendars } = context.jobState;
    const calendar = calendars.current;
    if (calendar === null || calendar.cutoffs.length === 0) return;
    const at = context.clock();
    const { classSamples: learned } = context;
    const day = dayOf(context);
    if (
      day > calendar.until - calendar.notice &&
      (learned.noticedAt === null || at - learned.noticedAt > NOTICE_EVERY)
    ) {
      learned.noticedAt = at;
      yield* info('calendar runs out', {
        term: context.leaderTerm.number,
        version: calendar.version,
        inDays: Math.round((calendar.until - day) / 86_400e6),
      });
    }
    if (learned.ratios.size === 0 || (learned.writtenAt !== null && at - learned.writtenAt < WRITE_EVERY))
      return;
    learned.writtenAt = at;
    const ratios = new Map(learned.ratios);
    learned.ratios.clear();
    // Lost or refused: a few samples less.
    yield* Effect.ignore(
      context.store.transact(
        [
          { key: TERM, stamp: context.leaderTerm.stamp },
          { key: CLASS_DURATIONS, stamp: calendars.classDurations?.revision ?? 0 },
        ],
        [
          {
            set: CLASS_DURATIONS,
            value: encodeClassDurations(addSamples(calendars.remembered().shown, ratios)),
          },
        ],
        Priority.Upkeep,
        1500,
      ),
    );
  });
