/**
 * Times the pure scheduling cycle on a fleet of a given size. Run by `npm run turns -- [machines] [waiting] [rounds]`;
 * prints the middle and the longest of the rounds in milliseconds.
 *
 * Without `--held` the fleet is a mixed one, all busy, on which most of what waits finds no room. With `--held N` every
 * machine has room for N small tasks and a part of that room (`--free`) has just fallen free, as between two turns of a
 * fleet whose tasks last for seconds: the turn has to place as many tasks as have ended.
 */
import { Command } from 'commander';
import { exitOnClosedPipe } from '@lilacvalve/runtime/closed-pipe';
import { parseFraction, parsePositiveInteger } from '@lilacvalve/runtime/flag-values';
import type { Micros } from '@lilacvalve/runtime/micros';
import { makeCalendar } from '@lilacvalve/controller/calendar/model';
import { cutoffRank, newCutoffRisk } from '@lilacvalve/controller/calendar/slack';
import type { Job } from '@lilacvalve/controller/jobs/model';
import { schedule } from '@lilacvalve/controller/scheduler/cycle';
import type { CycleInput, CycleResult } from '@lilacvalve/controller/scheduler/model';
import { type SampleFleet, mixedFleet, shortTaskFleet } from './sample-fleet.js';

interface Options {
  readonly held?: number;
  readonly free: number;
  readonly teams: number;
  readonly json?: boolean;
}

interface Times {
  /** Milliseconds. */
  readonly median: number;
  readonly longest: number;
}

const timed = (rounds: number, run: () => void): Times => {
  const times: number[] = [];
  for (let i = 0; i < rounds; i++) {
    const began = performance.now();
    run();
    times.push(performance.now() - began);
  }
  times.sort((a, b) => a - b);
  return { median: times[rounds >> 1]!, longest: times[rounds - 1]! };
};

/** What a calendar adds to a turn: half of the jobs are tied to one of 1,000 occurrences. */
const timeCutoffs = (jobs: readonly Job[], rounds: number): string => {
  const calendar = makeCalendar(
    {
      version: 1,
      until: 1e15 as Micros,
      notice: 0 as Micros,
      cutoffs: [
        {
          name: 'c',
          lead: 0 as Micros,
          match: { teams: null, classes: null, shapes: null, urgencies: null },
        },
      ],
    },
    Array.from({ length: 1000 }, (_, i) => ({ id: `c@${i}`, cutoff: 0, at: (1e9 + i * 60e6) as Micros })),
  );
  const tied = jobs
    .filter((_, i) => i % 2 === 0)
    .map((j, i) => ({ ...j, spec: { ...j.spec, cutoffBinding: `c@${i % 1000}` } }));
  const pace = { classDurations: new Map(), limit: () => undefined, total: [10_000, 400, 40_000] as const };
  const { median, longest } = timed(rounds, () => {
    for (const j of tied) {
      cutoffRank(j, calendar, 1e9 as Micros, () => pace);
      newCutoffRisk(
        j,
        calendar,
        1e9 as Micros,
        () => pace,
        () => ({ limited: false, lost: false }),
      );
    }
  });
  return (
    `cutoffs of ${tied.length} of ${jobs.length} jobs, ${calendar.occurrences.length} occurrences: ` +
    `${median.toFixed(2)} ms a turn more, longest ${longest.toFixed(2)} ms\n`
  );
};

const startedBy = (result: CycleResult): number =>
  result.starts.reduce(
    (n, s) => n + [...s.tasksByMachine.values()].reduce((k, tasks) => k + tasks.length, 0),
    0,
  );

const run = (machines: number, waiting: number, rounds: number, options: Options): void => {
  const fleet: SampleFleet =
    options.held === undefined
      ? mixedFleet(machines, waiting)
      : shortTaskFleet({ machines, waiting, held: options.held, free: options.free, teams: options.teams });
  const input: CycleInput = fleet.input;
  let result = schedule(input);
  const turn = timed(rounds, () => (result = schedule(input)));
  const tasks = input.queued.reduce((n, q) => n + q.tasks.length, 0);
  const figures = {
    machines,
    held: input.placedTasks.length,
    waiting: tasks,
    teams: input.teams.length,
    medianMs: Number(turn.median.toFixed(2)),
    longestMs: Number(turn.longest.toFixed(2)),
    started: startedBy(result),
    stops: result.preemptions.length,
    unplaced: result.unplaced.length,
  };
  if (options.json === true) {
    process.stdout.write(`${JSON.stringify(figures)}\n`);
    return;
  }
  process.stdout.write(
    `${machines} machines, ${figures.held} tasks held, ${tasks} waiting, ${figures.teams} teams: ` +
      `turn ${figures.medianMs} ms, longest ${figures.longestMs} ms; ` +
      `starts ${figures.started}, stops ${figures.stops}, unplaced ${figures.unplaced}\n`,
  );
  const jobs = [...new Set([...input.placedTasks.map((h) => h.job), ...input.queued.map((q) => q.job)])];
  process.stdout.write(timeCutoffs(jobs, rounds));
};

exitOnClosedPipe();
new Command()
  .name('turns')
  .description('Times the pure scheduling cycle on a fleet of a given size')
  .argument('[machines]', 'machines', parsePositiveInteger, 600)
  .argument('[waiting]', 'tasks that wait', parsePositiveInteger, 5000)
  .argument('[rounds]', 'cycles that are timed', parsePositiveInteger, 200)
  .option('--held <n>', 'tasks that each machine has room for: a fleet of short tasks', parsePositiveInteger)
  .option('--free <share>', 'with --held: the part of that room that is free', parseFraction, 0.05)
  .option('--teams <n>', 'with --held: teams', parsePositiveInteger, 4)
  .option('--json', 'one line of JSON')
  .action(run)
  .parse();
