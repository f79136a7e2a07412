/** The command `simulate`: plays days of an experiment, replays one day with its log, or reduces a failing day. */
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { Command, InvalidArgumentError } from 'commander';
import { type Experiment, readExperiment } from './experiment.js';
import { type DayResult, failuresOf, playDay } from './play.js';
import { summaryLines } from './report.js';
import { shrink } from './shrink.js';

const parsePositiveInteger = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1)
    throw new InvalidArgumentError('expected a whole number of at least 1');
  return value;
};
const parseSeedRange = (text: string): [number, number] => {
  const match = /^(\d+)(?:\.\.(\d+))?$/.exec(text);
  if (!match) throw new InvalidArgumentError('expected a seed, or a range such as 1..500');
  return [Number(match[1]), Number(match[2] ?? match[1])];
};

const program = new Command().name('simulate').description('Plays deployments in virtual time');
const loadExperiment = (file: string): Experiment => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (error) {
    return program.error(`${file}: ${(error as Error).message}`, { exitCode: 2 });
  }
  const experiment = readExperiment(text);
  return experiment._tag === 'Left'
    ? program.error(`${file}: ${experiment.left}`, { exitCode: 2 })
    : experiment.right;
};

/** Plays a range of seeds in several processes at once; each process prints its days as JSON lines. */
const playInProcesses = async (
  file: string,
  [from, to]: readonly [number, number],
  processes: number,
): Promise<DayResult[]> => {
  const days: DayResult[] = [];
  const playFrom = (first: number): Promise<void> =>
    new Promise((resolve) => {
      const child = spawn(
        process.execPath,
        [process.argv[1]!, 'play', file, '--seeds', `${first}..${to}`, '--step', String(processes), '--json'],
        { stdio: ['ignore', 'pipe', 'inherit'] },
      );
      let incompleteLine = '';
      child.stdout.on('data', (chunk: Buffer) => {
        const lines = (incompleteLine + chunk.toString()).split('\n');
        incompleteLine = lines.pop()!;
        for (const line of lines) days.push(JSON.parse(line) as DayResult);
      });
      child.on('exit', () => resolve());
    });
  await Promise.all(Array.from({ length: Math.min(processes, to - from + 1) }, (_, i) => playFrom(from + i)));
  return days.sort((a, b) => a.seed - b.seed);
};

program
  .command('play')
  .description('plays days; exit status 1 if one of them fails')
  .argument('<file>', 'the experiment')
  .option('--seeds <range>', 'a seed, or a range such as 1..500', parseSeedRange, [1, 20])
  .option('--jobs <n>', 'number of parallel processes', parsePositiveInteger, 1)
  .option('--step <n>', 'interval between played seeds', parsePositiveInteger, 1)
  .option('--json', 'one line of JSON a day instead of the table')
  .action(
    async (
      file: string,
      options: { seeds: [number, number]; jobs: number; step: number; json?: boolean },
    ) => {
      const experiment = loadExperiment(file);
      let days: DayResult[] = [];
      if (options.jobs > 1) days = await playInProcesses(file, options.seeds, options.jobs);
      else
        for (let seed = options.seeds[0]; seed <= options.seeds[1]; seed += options.step) {
          const day = playDay(experiment, seed);
          days.push(day);
          if (options.json) process.stdout.write(`${JSON.stringify(day)}\n`);
        }
      if (options.jobs > 1 && options.json)
        for (const day of days) process.stdout.write(`${JSON.stringify(day)}\n`);
      if (!options.json) process.stdout.write(`${[experiment.name, ...summaryLines(days)].join('\n  ')}\n`);
      const expected = Math.floor((options.seeds[1] - options.seeds[0]) / options.step) + 1;
      if (days.length < expected) {
        process.stderr.write(`${expected - days.length} days were not completed\n`);
        process.exitCode = 2;
      } else process.exitCode = days.some((day) => failuresOf(day).length > 0) ? 1 : 0;
    },
  );

program
  .command('replay')
  .description('plays one day again and prints the log of the controllers')
  .argument('<file>', 'the experiment')
  .requiredOption('--seed <n>', 'the seed of the day', parsePositiveInteger)
  .action((file: string, options: { seed: number }) => {
    const day = playDay(loadExperiment(file), options.seed, true);
    process.stdout.write(`${JSON.stringify(day)}\n`);
    process.exitCode = failuresOf(day).length > 0 ? 1 : 0;
  });

program
  .command('shrink')
  .description('removes faults and jobs as long as the day still fails, and prints the remaining ones')
  .argument('<file>', 'the experiment')
  .requiredOption('--seed <n>', 'the seed of the day', parsePositiveInteger)
  .action((file: string, options: { seed: number }) => {
    const experiment = loadExperiment(file);
    const fails = (candidate: Experiment): boolean => failuresOf(playDay(candidate, options.seed)).length > 0;
    if (!fails(experiment))
      return program.error(`seed ${options.seed}: the day does not fail`, { exitCode: 2 });
    const smallest = shrink(experiment, fails, (without) =>
      process.stderr.write(`fails without ${without}\n`),
    );
    const day = playDay(smallest, options.seed);
    process.stdout.write(
      `${JSON.stringify({ jobs: smallest.jobs, troubles: smallest.troubles, faults: failuresOf(day) }, null, 2)}\n`,
    );
  });

void program.parseAsync();
