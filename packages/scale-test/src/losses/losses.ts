/**
 * The losses test: the state service of real controllers on loopback repeatedly loses data while controllers are
 * killed, and the responses to users and the events of workers are checked. It is meant for manual measurements and
 * takes minutes of real time. Run by `npm run losses`. The exit status is 1 if a job was lost, a response contradicted
 * an earlier one, or a task ran on two machines at once.
 */
import { Command, InvalidArgumentError, Option } from 'commander';
import { sleepMs } from '../clock.js';
import { KILL_TARGETS } from './controller-faults.js';
import { type LossOptions, LossRun, resultLine } from './loss-run.js';

/** Time for the controllers to exit after SIGTERM. */
const EXIT_TIMEOUT_MS = 1000;

const parseNonNegative = (text: string): number => {
  const value = Number(text);
  if (!Number.isFinite(value) || value < 0) throw new InvalidArgumentError('expected a non-negative number');
  return value;
};

const command = (): Command =>
  new Command()
    .name('losses')
    .description('Run real controllers while the state service repeatedly loses data')
    .option('--program <file>', 'program file of the controller', 'target/main.cjs')
    .option('--nodes <n>', 'number of controllers', parseNonNegative, 3)
    .option('--machines <n>', 'number of machines', parseNonNegative, 60)
    .option('--jobs <rate>', 'jobs submitted per second', parseNonNegative, 1.5)
    .option('--tasks <n>', 'tasks per job', parseNonNegative, 6)
    .option('--run-ms <ms>', 'average run time of a task, in milliseconds', parseNonNegative, 6000)
    .option('--for <s>', 'seconds during which data losses are injected', parseNonNegative, 600)
    .option('--every <s>', 'maximum seconds between two data losses', parseNonNegative, 45)
    .addOption(
      new Option('--kill <whom>', 'controllers to kill with SIGKILL around each data loss')
        .choices(KILL_TARGETS)
        .default('one'),
    )
    .option('--at-once', 'restart killed controllers within 100 ms and kill them again a few times')
    .option(
      '--restarts <s>',
      'seconds between kills of one, half or all controllers between the losses; 0: never',
      parseNonNegative,
      0,
    )
    .option('--no-losses', 'inject no data losses')
    .option(
      '--forgotten <s>',
      'seconds without a response about a job, outside faults, that count as a violation',
      parseNonNegative,
      75,
    )
    .option('--snapshots', 'let each controller keep snapshots')
    .option('--log <level>', 'log level of the controllers', 'error')
    .option('--seed <n>', 'seed of the random source', parseNonNegative, 1);

const main = async (): Promise<never> => {
  const options = command().parse().opts<LossOptions>();
  const run = new LossRun(options, (line) => void process.stderr.write(`${line}\n`));
  const result = await run.play();
  process.stdout.write(`${resultLine(result)}\n`);
  await sleepMs(EXIT_TIMEOUT_MS);
  process.exit(result.faults.length > 0 ? 1 : 0);
};

void main();
