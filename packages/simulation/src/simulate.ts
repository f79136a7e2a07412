/** The lab's command: plays an experiment's days, one again with its log, or the smallest that still fails. */
import { spawn } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { Command, InvalidArgumentError } from 'commander';
import { type Experiment, readExperiment } from './experiment.js';
import { type DayResult, faultsOf, playDay } from './play.js';
import { table } from './report.js';
import { shrink } from './shrink.js';

const count = (text: string): number => {
  const n = Number(text);
  if (!Number.isInteger(n) || n < 1) throw new InvalidArgumentError('a whole number from 1 on');
  return n;
};
const range = (text: string): [number, number] => {
  const m = /^(\d+)(?:\.\.(\d+))?$/.exec(text);
  if (!m) throw new InvalidArgumentError('a seed, or a range such as 1..500');
  return [Number(m[1]), Number(m[2] ?? m[1])];
};

const cli = new Command().name('simulate').description('Plays deployments in virtual time');
const load = (file: string): Experiment => {
  let text: string;
  try {
    text = readFileSync(file, 'utf8');
  } catch (e) {
    return cli.error(`${file}: ${(e as Error).message}`, { exitCode: 2 });
  }
  const x = readExperiment(text);
  return x._tag === 'Left' ? cli.error(`${file}: ${x.left}`, { exitCode: 2 }) : x.right;
};

/** Days of a range of seeds in so many processes at once; each prints its days as JSON lines. */
const playAll = async (
  file: string,
  [from, to]: readonly [number, number],
  jobs: number,
): Promise<DayResult[]> => {
  const days: DayResult[] = [];
  const one = (first: number): Promise<void> =>
    new Promise((done) => {
      const child = spawn(
        process.execPath,
        [process.argv[1]!, 'play', file, '--seeds', `${first}..${to}`, '--step', String(jobs), '--json'],
        { stdio: ['ignore', 'pipe', 'inherit'] },
      );
      let rest = '';
      child.stdout.on('data', (part: Buffer) => {
        const lines = (rest + part.toString()).split('\n');
        rest = lines.pop()!;
        for (const line of lines) days.push(JSON.parse(line) as DayResult);
      });
      child.on('exit', () => done());
    });
  await Promise.all(Array.from({ length: Math.min(jobs, to - from + 1) }, (_, i) => one(from + i)));
  return days.sort((a, b) => a.seed - b.seed);
};

cli
  .command('play')
  .description('plays days; exit status 1 if one of them has a fault')
  .argument('<file>', 'the experiment')
  .option('--seeds <range>', 'such as 1..500', range, [1, 20])
  .option('--jobs <n>', 'processes at once', count, 1)
  .option('--step <n>', 'every so many seeds only', count, 1)
  .option('--json', 'one line of JSON a day instead of the table')
  .action(
    async (file: string, o: { seeds: [number, number]; jobs: number; step: number; json?: boolean }) => {
      const x = load(file);
      let days: DayResult[] = [];
      if (o.jobs > 1) days = await playAll(file, o.seeds, o.jobs);
      else
        for (let seed = o.seeds[0]; seed <= o.seeds[1]; seed += o.step) {
          const day = playDay(x, seed);
          days.push(day);
          if (o.json) process.stdout.write(`${JSON.stringify(day)}\n`);
        }
      if (o.jobs > 1 && o.json) for (const d of days) process.stdout.write(`${JSON.stringify(d)}\n`);
      if (!o.json) process.stdout.write(`${[x.name, ...table(days)].join('\n  ')}\n`);
      const expected = Math.floor((o.seeds[1] - o.seeds[0]) / o.step) + 1;
      if (days.length < expected) {
        process.stderr.write(`${expected - days.length} days were not played to their end\n`);
        process.exitCode = 2;
      } else process.exitCode = days.some((d) => faultsOf(d).length > 0) ? 1 : 0;
    },
  );

cli
  .command('replay')
  .description('plays one day again, with what the controllers log')
  .argument('<file>', 'the experiment')
  .requiredOption('--seed <n>', 'the day', count)
  .action((file: string, o: { seed: number }) => {
    const day = playDay(load(file), o.seed, true);
    process.stdout.write(`${JSON.stringify(day)}\n`);
    process.exitCode = faultsOf(day).length > 0 ? 1 : 0;
  });

cli
  .command('shrink')
  .description('leaves out what a failing day fails without, and prints what is left')
  .argument('<file>', 'the experiment')
  .requiredOption('--seed <n>', 'the day', count)
  .action((file: string, o: { seed: number }) => {
    const x = load(file);
    const fails = (e: Experiment): boolean => faultsOf(playDay(e, o.seed)).length > 0;
    if (!fails(x)) return cli.error(`seed ${o.seed}: the day has no fault`, { exitCode: 2 });
    const least = shrink(x, fails, (without) => process.stderr.write(`fails without ${without}\n`));
    const day = playDay(least, o.seed);
    process.stdout.write(
      `${JSON.stringify({ jobs: least.jobs, troubles: least.troubles, faults: faultsOf(day) }, null, 2)}\n`,
    );
  });

void cli.parseAsync();
