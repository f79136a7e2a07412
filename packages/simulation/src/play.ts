/** Plays one day of an experiment and returns its result. The same experiment and seed always give the same result. */
import type { Experiment } from './experiment.js';
import type { ServiceLevel } from './world/start-latency-check.js';
import type { CutoffCounts } from './world/cutoffs.js';
import { KNOWLEDGE_DEPENDENT_RULES } from './world/rules.js';
import { World } from './world/world.js';

/** Minimum fraction of the jobs of each team and class that a day must finish. */
export const SERVED_AT_LEAST = 0.5;

/** Durations from the last data loss, in milliseconds; null: not reached, or no loss occurred. */
export interface Recovery {
  /** Until a controller suspected the data loss. */
  readonly noticed: number | null;
  /** Until, after the rebuild, a poll was answered with another status than 503. */
  readonly answers: number | null;
  /** Until everything that the controllers know was durable again. */
  readonly durable: number | null;
  /** Until a task was started after the rebuild. */
  readonly started: number | null;
}

/** The result of a day. Its fields are the fields of the day's JSON line. */
export interface DayResult {
  readonly experiment: string;
  readonly seed: number;
  /** The violations, each beginning with the name of the broken rule. */
  readonly broken: readonly string[];
  /** Accepted jobs without a final state at the end of the day. */
  readonly unfinished: number;
  readonly accepted: number;
  /** Finished jobs. */
  readonly over: number;
  /** Tasks started. */
  readonly started: number;
  /** Tasks killed by a worker whose lease expired. */
  readonly killed: number;
  /** Data losses of the state service. */
  readonly losses: number;
  /** Data losses that no controller survived that had read the store before, so that its knowledge is lost. */
  readonly unwitnessed: number;
  /** The longest time for which polls of one job got no response after the last fault, in seconds. */
  readonly silence: number;
  /** Responses that lacked data which every controller that had to know it lost when it ended. */
  readonly excused: number;
  /** By team: the fraction of its jobs that finished, 0 to 1. */
  readonly served: Readonly<Record<string, number>>;
  /** For each class, team and group of a class's largest jobs: the fractions that finished and that began within four minutes. */
  readonly least: readonly ServiceLevel[];
  /** Whether the capacity was sufficient for all jobs. */
  readonly room: boolean;
  /** By fault: how often it was injected. */
  readonly struck: Readonly<Record<string, number>>;
  /** How often each situation that the scenarios are meant to cause has occurred. */
  readonly met: Readonly<Record<string, number>>;
  readonly recovery: Recovery;
  /** Loans; seconds of replicas wanted and running; services, and those that were complete within 60 s. */
  readonly lending: {
    readonly loans: number;
    readonly wanted: number;
    readonly up: number;
    readonly all: number;
    readonly soon: number;
  } | null;
  /** The results of cutoffs; null: the day had none. */
  readonly cutoffs: CutoffCounts | null;
  /** Virtual time at which the day ended, in seconds. */
  readonly ended: number;
}

/**
 * The reasons for which a day fails; empty: it passes. After a data loss that no controller survived, violations of rules
 * that depend on the controllers' memory are tolerated.
 */
export const failuresOf = (day: DayResult): string[] => {
  const tolerateMemoryLoss = day.unwitnessed > 0;
  const failures = day.broken.filter(
    (violation) => !tolerateMemoryLoss || !KNOWLEDGE_DEPENDENT_RULES.test(violation),
  );
  if (!tolerateMemoryLoss && day.broken.length === 0) {
    if (day.unfinished > 0) failures.push(`${day.unfinished} accepted jobs unfinished`);
    for (const [team, fraction] of Object.entries(day.served))
      if (fraction < SERVED_AT_LEAST) failures.push(`team ${team}: ${fraction.toFixed(2)} served`);
    for (const row of day.least) {
      if (row.of.startsWith('class ') && row.served < SERVED_AT_LEAST)
        failures.push(`${row.of}: ${row.served.toFixed(2)} served`);
      if (day.room && row.of.startsWith('largest ') && row.begun < SERVED_AT_LEAST)
        failures.push(`${row.of}: ${row.begun.toFixed(2)} of ${row.jobs} begun within four minutes`);
    }
  }
  return failures;
};

/** Plays a day; `print`: with the controllers' log on the standard output. */
export const playDay = (experiment: Experiment, seed: number, print = false): DayResult => {
  const world = new World(seed, experiment.troubles, experiment.size, print);
  const recovery: { -readonly [K in keyof Recovery]: Recovery[K] } = {
    noticed: null,
    answers: null,
    durable: null,
    started: null,
  };
  const checkStep = world.time.onStep;
  let losses = 0;
  let startsBeforeLoss = 0;
  let incarnation: string | null = null;
  world.time.onStep = () => {
    checkStep();
    if (world.dataLoss.lossTimes.length > losses) {
      losses = world.dataLoss.lossTimes.length;
      startsBeforeLoss = world.rules.started;
      incarnation = world.up()[0]?.controller.lossDetector.incarnation?.id ?? null;
      Object.assign(recovery, { noticed: null, answers: null, durable: null, started: null });
    }
    if (losses === 0 || recovery.started !== null) return;
    const lostAt = world.dataLoss.lossTimes[losses - 1]!;
    const millisecondsAfterLoss = (now: number): number => Math.round((now - lostAt) / 1000);
    if (recovery.noticed === null) {
      if (world.up().some((controller) => controller.controller.lossDetector.suspected))
        recovery.noticed = millisecondsAfterLoss(world.time.now);
      return;
    }
    if (recovery.durable === null) {
      if (world.dataLoss.rebuilt(incarnation)) recovery.durable = millisecondsAfterLoss(world.time.now);
      return;
    }
    if (recovery.answers === null && world.users.lastResponseAt > lostAt + recovery.durable * 1000)
      recovery.answers = millisecondsAfterLoss(world.users.lastResponseAt);
    if (world.rules.started > startsBeforeLoss) {
      // Orders sent before the loss may still start tasks; only a start after the rebuild counts.
      if (world.rules.startedAt > lostAt + recovery.durable * 1000)
        recovery.started = millisecondsAfterLoss(world.rules.startedAt);
    }
  };
  world.play(experiment.jobs, experiment.troubledUs, experiment.quietUs);
  if (world.cutoffs !== null && world.dataLoss.lossTimes.length === 0 && world.unfinished().length === 0) {
    const miscounted = world.cutoffs.countMismatch();
    if (miscounted !== null) world.rules.violations.push(`miscounted: ${miscounted}`);
  }
  const result: DayResult = {
    experiment: experiment.name,
    seed,
    broken: [...world.rules.violations],
    unfinished: world.unfinished().length,
    accepted: world.users.accepted,
    over: world.users.finished,
    started: world.rules.started,
    killed: world.killed,
    losses: world.dataLoss.lossTimes.length,
    unwitnessed: world.dataLoss.unwitnessed,
    silence: world.rules.longestSilence / 1e6,
    excused: world.dataLoss.dismissed,
    served: world.servedFractions(),
    least: world.serviceLevels(),
    room: experiment.hasSufficientCapacity,
    struck: { ...world.log.injected },
    met: { ...world.scenarios?.occurred },
    recovery: { ...recovery },
    lending: world.loans && {
      loans: world.loans.loanCount,
      wanted: world.serving.wantedSeconds,
      up: world.serving.runningSeconds,
      all: world.serving.serviceCount,
      soon: world.serving.completeInTime,
    },
    cutoffs: world.cutoffs?.summary() ?? null,
    ended: world.time.now / 1e6,
  };
  world.stop();
  return result;
};
