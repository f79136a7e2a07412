/** Plays one day of an experiment and says what became of it. The same experiment and seed give the same outcome. */
import type { Experiment } from './experiment.js';
import type { LeastRow } from './world/start-latency-check.js';
import type { CutoffDay } from './world/cutoffs.js';
import { BY_MEMORY } from './world/rules.js';
import { World } from './world/world.js';

/** What a day must have served of each team. */
export const SERVED_AT_LEAST = 0.5;

/** Times after the last loss, milliseconds; null: not reached, or nothing was lost. */
export interface Recovery {
  /** Until a controller doubted the store. */
  readonly noticed: number | null;
  /** Until a poll was answered otherwise than with 503, by a controller that had noticed. */
  readonly answers: number | null;
  /** Until all that is known was durable again. */
  readonly durable: number | null;
  /** Until a task was started. */
  readonly started: number | null;
}

export interface DayResult {
  readonly experiment: string;
  readonly seed: number;
  readonly broken: readonly string[];
  readonly unfinished: number;
  readonly accepted: number;
  readonly over: number;
  readonly started: number;
  /** Tasks killed by a worker whose lease ran out. */
  readonly killed: number;
  readonly losses: number;
  /** Losses through which no controller lived that had read the store: what only they knew is gone. */
  readonly unwitnessed: number;
  /** The longest that a job went without an answered poll after the last fault, seconds. */
  readonly silence: number;
  /** Answers that lacked what all who were promised to know it took along. */
  readonly excused: number;
  readonly served: Readonly<Record<string, number>>;
  /** Of each class, each team and each class's largest jobs: served, and begun within four minutes. */
  readonly least: readonly LeastRow[];
  /** There was room for all. */
  readonly room: boolean;
  readonly struck: Readonly<Record<string, number>>;
  /** How often each thing that the scenarios are about has happened. */
  readonly met: Readonly<Record<string, number>>;
  readonly recovery: Recovery;
  /** Loans made, and how services fared: seconds of replicas wanted and up, services in all and complete within 60 s. */
  readonly lending: {
    readonly loans: number;
    readonly wanted: number;
    readonly up: number;
    readonly all: number;
    readonly soon: number;
  } | null;
  /** null: the day had none. */
  readonly cutoffs: CutoffDay | null;
  /** When the day ended, seconds. */
  readonly ended: number;
}

/** What speaks against the day; empty: nothing. */
export const faultsOf = (d: DayResult): string[] => {
  const excused = d.unwitnessed > 0;
  const out = d.broken.filter((b) => !excused || !BY_MEMORY.test(b));
  if (!excused && d.broken.length === 0) {
    if (d.unfinished > 0) out.push(`${d.unfinished} accepted jobs not at their end`);
    for (const [team, part] of Object.entries(d.served))
      if (part < SERVED_AT_LEAST) out.push(`team ${team}: ${part.toFixed(2)} served`);
    for (const row of d.least) {
      if (row.of.startsWith('class ') && row.served < SERVED_AT_LEAST)
        out.push(`${row.of}: ${row.served.toFixed(2)} served`);
      if (d.room && row.of.startsWith('largest ') && row.begun < SERVED_AT_LEAST)
        out.push(`${row.of}: ${row.begun.toFixed(2)} of ${row.jobs} begun within four minutes`);
    }
  }
  return out;
};

export const playDay = (x: Experiment, seed: number, print = false): DayResult => {
  const world = new World(seed, x.troubles, x.size, print);
  const took: { -readonly [K in keyof Recovery]: Recovery[K] } = {
    noticed: null,
    answers: null,
    durable: null,
    started: null,
  };
  const step = world.time.onStep;
  let losses = 0;
  let startedBefore = 0;
  let incarnation: string | null = null;
  world.time.onStep = () => {
    step();
    if (world.dataLoss.at.length > losses) {
      losses = world.dataLoss.at.length;
      startedBefore = world.rules.started;
      incarnation = world.up()[0]?.node.lossDetector.incarnation?.id ?? null;
      Object.assign(took, { noticed: null, answers: null, durable: null, started: null });
    }
    if (losses === 0 || took.started !== null) return;
    const at = world.dataLoss.at[losses - 1]!;
    const ms = (now: number): number => Math.round((now - at) / 1000);
    if (took.noticed === null) {
      if (world.up().some((u) => u.node.lossDetector.suspected)) took.noticed = ms(world.time.now);
      return;
    }
    if (took.durable === null) {
      if (world.dataLoss.rebuilt(incarnation)) took.durable = ms(world.time.now);
      return;
    }
    if (took.answers === null && world.users.answersAt > at + took.durable * 1000)
      took.answers = ms(world.users.answersAt);
    if (world.rules.started > startedBefore) {
      // What was sent before the loss may still start; what counts is a start after the rebuild.
      if (world.rules.startedAt > at + took.durable * 1000) took.started = ms(world.rules.startedAt);
    }
  };
  world.play(x.jobs, x.troubledUs, x.quietUs);
  if (world.cutoffs !== null && world.dataLoss.at.length === 0 && world.unfinished().length === 0) {
    const miscounted = world.cutoffs.counted();
    if (miscounted !== null) world.rules.broken.push(`miscounted: ${miscounted}`);
  }
  const result: DayResult = {
    experiment: x.name,
    seed,
    broken: [...world.rules.broken],
    unfinished: world.unfinished().length,
    accepted: world.users.accepted,
    over: world.users.over,
    started: world.rules.started,
    killed: world.killed,
    losses: world.dataLoss.at.length,
    unwitnessed: world.dataLoss.unwitnessed,
    silence: world.rules.silence / 1e6,
    excused: world.dataLoss.excused,
    served: world.served(),
    least: world.least(),
    room: x.room,
    struck: { ...world.log.struck },
    met: { ...world.scenarios?.occurred },
    recovery: { ...took },
    lending: world.loans && {
      loans: world.loans.made,
      wanted: world.serving.wanted,
      up: world.serving.up,
      all: world.serving.all,
      soon: world.serving.soon,
    },
    cutoffs: world.cutoffs?.summary() ?? null,
    ended: world.time.now / 1e6,
  };
  world.stop();
  return result;
};
