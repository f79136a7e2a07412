/**
 * Measures the pure scheduling cycle on a fleet of a given size. Run by `npm run turns -- [machines] [waiting] [rounds]`;
 * prints the median and the longest duration of the cycles in milliseconds.
 *
 * Without `--held` the fleet is a mixed one whose machines are all busy, so that most waiting tasks cannot be placed. With
 * `--held N` every machine has capacity for N small tasks, and a fraction of that capacity (`--free`) has just been freed, as
 * between two cycles on a fleet whose tasks last for seconds: the cycle has to place as many tasks as have exited.
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

/** The options of the command. */
interface Options {
  readonly held?: number;
  readonly free: number;
  readonly teams: number;
  readonly json?: boolean;
}

/** Durations of cycles, in milliseconds. */
interface CycleTimes {
  readonly median: number;
  readonly longest: number;
}

const measure = (cycles: number, run: () => void): CycleTimes => {
  const durations: number[] = [];
  for (let i = 0; i < cycles; i++) {
    const startedAt = performance.now();
    run();
    durations.push(performance.now() - startedAt);
  }
  durations.sort((a, b) => a - b);
  return { median: durations[cycles >> 1]!, longest: durations[cycles - 1]! };
};

/** Measures the time that a calendar adds to a cycle when half of the jobs are bound to one of 1,000 occurrences. */
const measureCutoffs = (jobs: readonly Job[], cycles: number): string => {
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
  const boundJobs = jobs
    .filter((_, i) => i % 2 === 0)
    .map((job, i) => ({ ...job, spec: { ...job.spec, cutoffBinding: `c@${i % 1000}` } }));
  const expectedPace = {
    classDurations: new Map(),
    limit: () => undefined,
    total: [10_000, 400, 40_000] as const,
  };
  const { median, longest } = measure(cycles, () => {
    for (const job of boundJobs) {
      cutoffRank(job, calendar, 1e9 as Micros, () => expectedPace);
      newCutoffRisk(
        job,
        calendar,
        1e9 as Micros,
        () => expectedPace,
        () => ({ limited: false, lost: false }),
      );
    }
  });
  return (
    `cutoffs of ${boundJobs.length} of ${jobs.length} jobs, ${calendar.occurrences.length} occurrences: ` +
    `${median.toFixed(2)} ms more per cycle, longest ${longest.toFixed(2)} ms\n`
  );
};

const countStarts = (result: CycleResult): number =>
  result.starts.reduce(
    (total, start) =>
      total + [...start.tasksByMachine.values()].reduce((count, tasks) => count + tasks.length, 0),
    0,
  );

const run = (machines: number, waiting: number, cycles: number, options: Options): void => {
  const fleet: SampleFleet =
    options.held === undefined
      ? mixedFleet(machines, waiting)
      : shortTaskFleet({ machines, waiting, held: options.held, free: options.free, teams: options.teams });
  const input: CycleInput = fleet.input;
  let result = schedule(input);
  const cycleTimes = measure(cycles, () => (result = schedule(input)));
  const tasks = input.queued.reduce((total, queuedJob) => total + queuedJob.tasks.length, 0);
  const figures = {
    machines,
    held: input.placedTasks.length,
    waiting: tasks,
    teams: input.teams.length,
    medianMs: Number(cycleTimes.median.toFixed(2)),
    longestMs: Number(cycleTimes.longest.toFixed(2)),
    started: countStarts(result),
    stops: result.preemptions.length,
    unplaced: result.unplaced.length,
  };
  if (options.json === true) {
    process.stdout.write(`${JSON.stringify(figures)}\n`);
    return;
  }
  process.stdout.write(
    `${machines} machines, ${figures.held} tasks placed, ${tasks} waiting, ${figures.teams} teams: ` +
      `cycle ${figures.medianMs} ms, longest ${figures.longestMs} ms; ` +
      `starts ${figures.started}, preemptions ${figures.stops}, unplaced ${figures.unplaced}\n`,
  );
  const jobs = [
    ...new Set([
      ...input.placedTasks.map((placedTask) => placedTask.job),
      ...input.queued.map((queuedJob) => queuedJob.job),
    ]),
  ];
  process.stdout.write(measureCutoffs(jobs, cycles));
};

exitOnClosedPipe();
new Command()
  .name('turns')
  .description('Times the pure scheduling cycle on a fleet of a given size')
  .argument('[machines]', 'machines', parsePositiveInteger, 600)
  .argument('[waiting]', 'waiting tasks', parsePositiveInteger, 5000)
  .argument('[rounds]', 'number of measured cycles', parsePositiveInteger, 200)
  .option(
    '--held <n>',
    'measure a fleet of short tasks with capacity for so many on each machine',
    parsePositiveInteger,
  )
  .option('--free <share>', 'with --held: fraction of that capacity that is free', parseFraction, 0.05)
  .option('--teams <n>', 'with --held: number of teams', parsePositiveInteger, 4)
  .option('--json', 'one line of JSON')
  .action(run)
  .parse();
