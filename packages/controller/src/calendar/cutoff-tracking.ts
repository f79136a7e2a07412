/** The leader's tracking of cutoffs: which jobs are at risk or late, the outcome counts of finished jobs, and the durations of classes. */
import { Effect } from 'effect';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import { OCCURRENCE, CLASS_DURATIONS, TERM } from '../jobs/keys.js';
import { type FinalState, isComplete, type Job, type JobChange } from '../jobs/model.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import { Priority } from '../state-store/budget.js';
import { maxValueBytes } from '../state-store/transaction-limits.js';
import type { Condition, Write } from '../state-store/client.js';
import { encodeOutcomeCounts } from './codec.js';
import {
  addOutcomeCounts,
  isRisk,
  NO_OUTCOMES,
  CUTOFF_RISK,
  type OutcomeCounts,
  RISK_REASONS,
} from './model.js';
import { addSamples, encodeClassDurations } from './class-durations.js';
import { type SlackInputs, newCutoffRisk } from './slack.js';
import { occurrenceOf } from './cutoff-binding.js';

/** Maximum number of risk changes in one log entry; the remaining ones follow in the next entries. */
const MAX_RISKS = 50;
/** Maximum number of samples of one array job in one log entry, because tasks of one array take similar times. */
const MAX_SAMPLES_PER_JOB = 8;
/** Minimum intervals between two writes of the class durations, and between two notices that the calendar expires. */
const WRITE_INTERVAL = seconds(30);
const NOTICE_INTERVAL = seconds(86_400);

/** Returns the time of day, but never earlier than the latest log entry: a clock that is set back must not extend a cutoff. */
export const monotonicDayTime = (context: Pick<CycleContext, 'dayTime' | 'jobState'>): Micros =>
  Math.max(context.dayTime(), context.jobState.lastEntryAt) as Micros;

/** Returns a function that computes the slack inputs on its first call only: on most days no job is bound to a cutoff. */
export const slackInputsOf = (context: CycleContext): (() => SlackInputs) => {
  let computed: SlackInputs | null = null;
  return () => {
    if (computed !== null) return computed;
    const types = new Map(context.types().map((type) => [type.name, type]));
    const total: [number, number, number] = [0, 0, 0];
    for (const machine of context.registry.machines.values()) {
      const type = types.get(machine.type);
      if (!type) continue;
      total[0] += type.cpus;
      total[1] += type.gpus;
      total[2] += type.memGb;
    }
    const limits = new Map(context.settings.teams.map((team) => [team.name, team.limit]));
    return (computed = {
      classDurations: context.jobState.calendars.classDurations?.value ?? new Map(),
      limit: (team) => limits.get(team),
      total,
    });
  };
};

const delayCausesOf = (context: CycleContext, job: Job) => {
  const { spec } = job;
  const limit = context.settings.teams.find((team) => team.name === spec.team)?.limit;
  let cpus = 0;
  let gpus = 0;
  for (const other of context.jobState.jobs.values()) {
    if (other.spec.team !== spec.team) continue;
    cpus += other.spec.cpus * other.placed.size;
    gpus += other.spec.gpus * other.placed.size;
  }
  const nextTasks = spec.shape === 'array' ? 1 : spec.tasks;
  const exceeds = (max: number | undefined, held: number, perTask: number): boolean =>
    max !== undefined && max > 0 && held + perTask * nextTasks > max + 1e-6;
  let lost = false;
  for (const logEntry of context.jobState.logTail.values()) {
    const change = logEntry.jobs.get(spec.id);
    if ((change?.exited?.length ?? 0) > (change?.failed?.length ?? 0)) lost = true;
  }
  return {
    limited: exceeds(limit?.cpus, cpus, spec.cpus) || exceeds(limit?.gpus, gpus, spec.gpus),
    lost,
  };
};

/** Returns, by job, the changes of cutoff risks that a log entry at this time of day contains. */
export const cutoffRisksOf = (context: CycleContext, day: Micros): Map<string, number> => {
  const out = new Map<string, number>();
  const { calendars } = context.jobState;
  if (calendars.current === null || calendars.current.cutoffs.length === 0) return out;
  const slackInputs = slackInputsOf(context);
  for (const job of context.jobState.jobs.values()) {
    if (job.spec.cutoffBinding === null || job.cancelled || isComplete(job)) continue;
    // A job that the same log entry completes is not at risk, but it may have missed its cutoff.
    const exits = context.registry.exits.get(job.spec.id);
    const completes = exits !== undefined && job.completed.size + exits.completed.size >= job.spec.tasks;
    const risk = newCutoffRisk(job, calendars.current, day, slackInputs, () => delayCausesOf(context, job));
    if (risk === null || (completes && isRisk(risk))) continue;
    out.set(job.spec.id, risk);
    if (out.size >= MAX_RISKS) break;
  }
  return out;
};

/** Logs the risk changes of a log entry. Called once the entry is durable. */
export const logCutoffRisks = (
  context: CycleContext,
  jobs: ReadonlyMap<string, JobChange>,
  day: Micros,
): Effect.Effect<void> =>
  Effect.forEach(
    [...jobs].filter(
      ([, change]) => change.cutoffRisk !== undefined && change.cutoffRisk !== CUTOFF_RISK.nothing,
    ),
    ([id, change]) => {
      const spec = context.jobState.jobs.get(id)?.spec;
      const occurrence = spec === undefined ? null : occurrenceOf(context.jobState.calendars.current, spec);
      const fields = { term: context.leaderTerm.number, job: id, cutoff: occurrence?.id };
      return change.cutoffRisk === CUTOFF_RISK.missed
        ? info('cutoff missed', fields)
        : info('cutoff at risk', {
            ...fields,
            why: RISK_REASONS[change.cutoffRisk!],
            inS: occurrence === null ? undefined : Math.round((occurrence.at - day) / 1e6),
          });
    },
    { discard: true },
  );

/** Samples the durations of the tasks that a log entry completes. Must be called before the entry is applied to the jobs. */
export const recordSamples = (
  context: CycleContext,
  jobs: ReadonlyMap<string, JobChange>,
  at: Micros,
): void => {
  if ((context.jobState.calendars.current?.cutoffs.length ?? 0) === 0) return;
  for (const [id, change] of jobs) {
    const job = context.jobState.jobs.get(id);
    if (job === undefined || !change.completed?.length || job.spec.estimate <= 0) continue;
    const { ratios } = context.classSamples;
    let list = ratios.get(job.spec.jobClass);
    if (!list) ratios.set(job.spec.jobClass, (list = []));
    // The members of a gang complete together, so one sample represents all of them.
    for (const task of change.completed.slice(0, job.spec.shape === 'array' ? MAX_SAMPLES_PER_JOB : 1)) {
      const since = job.placed.get(task)?.since ?? 0;
      if (since > 0 && list.length < 256) list.push((at - since) / job.spec.estimate);
    }
  }
};

/** Returns the conditions and writes that add finished jobs to the outcome counts of the occurrences they are bound to. */
export const outcomeCountWrites = (
  jobState: JobState,
  finished: readonly { readonly job: Job; readonly final: FinalState }[],
): { readonly when: Condition[]; readonly then: Write[] } => {
  const added = new Map<string, OutcomeCounts>();
  for (const { job, final } of finished) {
    const { cutoffBinding: occurrenceId } = job.spec;
    if (occurrenceId === null) continue;
    const done = final.status === 'done' ? 1 : 0;
    added.set(
      occurrenceId,
      addOutcomeCounts(added.get(occurrenceId) ?? NO_OUTCOMES, {
        done,
        risked: done === 1 && isRisk(job.cutoffRisk) ? 1 : 0,
        missed: done === 1 && job.cutoffRisk === CUTOFF_RISK.missed ? 1 : 0,
        cancelled: 1 - done,
      }),
    );
  }
  const when: Condition[] = [];
  const then: Write[] = [];
  for (const [id, counts] of added) {
    const stored = jobState.calendars.outcomeCounts.get(id);
    const key = OCCURRENCE + id;
    when.push({ key, revision: stored?.revision ?? 0 });
    then.push({
      set: key,
      value: encodeOutcomeCounts(
        addOutcomeCounts(jobState.calendars.outcomeCountsOf(id) ?? NO_OUTCOMES, counts),
      ),
    });
  }
  return { when, then };
};

/** Periodically stores the class durations, and logs when the calendar is about to expire. */
export const calendarMaintenance = (context: CycleContext): Effect.Effect<void> =>
  Effect.gen(function* () {
    const { calendars } = context.jobState;
    const calendar = calendars.current;
    if (calendar === null || calendar.cutoffs.length === 0) return;
    const at = context.clock();
    const { classSamples: samples } = context;
    const day = monotonicDayTime(context);
    if (
      day > calendar.until - calendar.notice &&
      (samples.noticedAt === null || at - samples.noticedAt > NOTICE_INTERVAL)
    ) {
      samples.noticedAt = at;
      yield* info('calendar expires soon', {
        term: context.leaderTerm.number,
        version: calendar.version,
        inDays: Math.round((calendar.until - day) / 86_400e6),
      });
    }
    if (samples.ratios.size === 0 || (samples.writtenAt !== null && at - samples.writtenAt < WRITE_INTERVAL))
      return;
    samples.writtenAt = at;
    const ratios = new Map(samples.ratios);
    samples.ratios.clear();
    // A failed or refused transaction is ignored: it loses only a few samples.
    yield* Effect.ignore(
      context.store.transact(
        [
          { key: TERM, revision: context.leaderTerm.revision },
          { key: CLASS_DURATIONS, revision: calendars.classDurations?.revision ?? 0 },
        ],
        [
          {
            set: CLASS_DURATIONS,
            value: encodeClassDurations(
              addSamples(calendars.remembered().classDurations, ratios),
              maxValueBytes(context.settings.state),
            ),
          },
        ],
        Priority.Upkeep,
        1500,
      ),
    );
  });
