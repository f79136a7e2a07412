/**
 * Real controllers on loopback whose state service loses data again and again, while controllers are killed; users' and
 * workers' histories are kept and checked. For measurements by hand: it takes minutes of real time. Run by
 * `npm run losses`. Exit status 1 if a job was lost or answered wrongly, or a task ran twice at once.
 */
import { Command, InvalidArgumentError, Option } from 'commander';
import { sleepMs } from '../clock.js';
import { KILLED } from './controller-faults.js';
import { type LossOptions, LossRun, resultLine } from './loss-run.js';

/** Controllers have so long to end. */
const END_WITHIN_MS = 1000;

const notNegative = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) throw new InvalidArgumentError('a number from 0 on');
  return value;
};

const command = (): Command =>
  new Command()
    .name('losses')
    .description('Loses the state service again and again under real controllers')
    .option('--program <file>', 'the built controller', 'target/main.cjs')
    .option('--nodes <n>', 'controllers', notNegative, 3)
    .option('--machines <n>', 'machines', notNegative, 60)
    .option('--jobs <rate>', 'jobs submitted a second', notNegative, 1.5)
    .option('--tasks <n>', 'tasks of each', notNegative, 6)
    .option('--run-ms <ms>', 'run time of a task', notNegative, 6000)
    .option('--for <s>', 'how long losses go on', notNegative, 600)
    .option('--every <s>', 'between two losses', notNegative, 45)
    .addOption(
      new Option('--kill <whom>', 'killed with SIGKILL near each loss').choices(KILLED).default('one'),
    )
    .option('--at-once', 'killed controllers are started again within 100 ms, and killed again a few times')
    .option(
      '--restarts <s>',
      'between the losses, one, half or all are killed every so often; 0: never',
      notNegative,
      0,
    )
    .option('--no-losses', 'nothing is lost')
    .option(
      '--forgotten <s>',
      'a job without an answer for so long after the troubles is forgotten',
      notNegative,
      75,
    )
    .option('--snapshots', 'each controller keeps snapshots')
    .option('--log <level>', 'log level of the controllers', 'error')
    .option('--seed <n>', 'seed of the faults', notNegative, 1);

const main = async (): Promise<never> => {
  const options = command().parse().opts<LossOptions>();
  const run = new LossRun(options, (line) => void process.stderr.write(`${line}\n`));
  const result = await run.play();
  process.stdout.write(`${resultLine(result)}\n`);
  await sleepMs(END_WITHIN_MS);
  process.exit(result.faults.length > 0 ? 1 : 0);
};

void main();
