/**
 * The scale run: real controller processes beside hollow workers, users, a cloud and a state service on loopback. Run by
 * `npm run scale`. Exit status 1 when a rule was broken or a controller ended by itself, 2 for bad flags or too few
 * sockets, 3 when the run would have taken more of the machine than it may.
 */
import { exitOnClosedPipe } from '@lilacvalve/runtime/closed-pipe';
import { parsePositiveNumber, parseFraction, parsePositiveInteger } from '@lilacvalve/runtime/flag-values';
import { Command, Option } from 'commander';
import { serveParent } from './child.js';
import { deployedFlags } from './controllers.js';
import { CHILD_ENVIRONMENT_KEY } from './messages.js';
import { openFileLimit } from './process-usage.js';
import { MOST_MEMORY_MB, MOST_PROCESSES, flagsFault } from './refusal.js';
import { asJson, asTable, progressLine } from './report.js';
import { FAULTS, type RunOptions } from './run-model.js';
import { ScaleRun } from './scale-run.js';

/** Exit status for flags that make no run. */
const BAD_FLAGS = 2;
const PIPE_PROGRESS_EVERY = 10;

interface Flags extends Omit<RunOptions, 'zones' | 'flags' | 'limits' | 'profileDir'> {
  readonly zoneCount: number;
  readonly prof?: string;
  readonly deploy: string;
  readonly json?: boolean;
}

const command = (): Command =>
  new Command()
    .name('scale')
    .description('Real controllers beside hollow workers at a given size, with the rules checked')
    .option('--machines <n>', 'hollow workers', parsePositiveInteger, 2634)
    .option('--slots <n>', 'tasks of one CPU that a machine has room for', parsePositiveInteger, 20)
    .option('--controllers <n>', 'controllers', parsePositiveInteger, 5)
    .option('--zone-count <n>', 'zones', parsePositiveInteger, 3)
    .option('--teams <n>', 'teams', parsePositiveInteger, 80)
    .option('--team-limit <share>', 'part of all room that one team may use', parseFraction, 0.1)
    .option('--starts <n>', 'task starts a second that users ask for', parsePositiveNumber, 2400)
    .option('--run-s <s>', 'seconds that a task runs, give or take a half', parsePositiveNumber, 19.4)
    .option('--tasks <n>', 'tasks of an array', parsePositiveInteger, 1000)
    .option('--gangs <share>', 'part of the starts in gangs of up to 64', parseFraction, 0.05)
    .option('--urgent <share>', 'part of the starts that is urgent', parseFraction, 0.02)
    .option('--accelerated <share>', 'part of the starts that takes an accelerator', parseFraction, 0)
    .option('--cancelled <share>', 'part of the jobs that their users cancel', parseFraction, 0.02)
    .option('--report-s <s>', 'seconds between two reports of a worker', parsePositiveNumber, 2.5)
    .option('--lease-s <s>', 'seconds of a worker’s lease', parsePositiveNumber, 15.25)
    .option('--cancel-s <s>', 'seconds after which cancelled tasks must be gone', parsePositiveNumber, 40.25)
    .option(
      '--requests-per-s <n>',
      'requests that the state service takes a second',
      parsePositiveNumber,
      180,
    )
    .option('--writes-per-s <n>', 'changes that the state service takes a second', parsePositiveNumber, 60)
    .option('--value-kb <n>', 'KiB of one value of the state service', parsePositiveNumber, 32)
    .option('--transaction-ops <n>', 'changes of one transaction', parsePositiveInteger, 24)
    .option('--cores <n>', 'share of a core, as the controllers’ settings say it', parsePositiveNumber, 1)
    .option('--memory-mb <n>', 'memory, as the controllers’ settings say it', parsePositiveNumber, 350)
    .option('--connections <n>', 'sockets, as the controllers’ settings say it', parsePositiveInteger, 1945)
    .option('--workers-per-process <n>', 'hollow workers that share a process', parsePositiveInteger, 440)
    .option('--warmup-s <s>', 'seconds before the measurement', parsePositiveNumber, 45)
    .option('--length-s <s>', 'seconds of the measurement', parsePositiveNumber, 45)
    .addOption(
      new Option('--fault <fault>', 'after a third of the measurement').choices(FAULTS).default('none'),
    )
    .option('--seed <n>', 'seed of the stand-ins', parsePositiveInteger, 1)
    .option('--program <file>', 'the built controller', 'target/main.cjs')
    .option('--deploy <file>', 'the deploy file whose interpreter flags are taken', 'deploy/service.toml')
    .option('--prof <dir>', 'write a processor profile of each controller there')
    .option('--log-level <level>', 'log level of the controllers', 'error')
    .option('--json', 'one line of JSON instead of the table');

const reportProgress = (): ((progress: Parameters<typeof progressLine>[0]) => void) => {
  let lines = 0;
  return (progress) => {
    const line = progressLine(progress);
    if (process.stderr.isTTY) process.stderr.write(`\r${line}\u001b[K`);
    else if (lines++ % PIPE_PROGRESS_EVERY === 0) process.stderr.write(`${line}\n`);
  };
};

const main = async (): Promise<void> => {
  exitOnClosedPipe();
  const cli = command()
    .exitOverride((e) => process.exit(e.exitCode === 0 ? 0 : BAD_FLAGS))
    .parse();
  const flags = cli.opts<Flags>();
  const refused = flagsFault(flags, openFileLimit());
  if (refused !== null) cli.error(`scale: ${refused}`, { exitCode: BAD_FLAGS });
  const { zoneCount, prof, deploy, json, ...rest } = flags;
  const options: RunOptions = {
    ...rest,
    zones: Array.from({ length: zoneCount }, (_, i) => `zone-${i}`),
    flags: deployedFlags(deploy),
    ...(prof === undefined ? {} : { profileDir: prof }),
    resourceLimits: { memoryMb: MOST_MEMORY_MB, processes: MOST_PROCESSES },
  };
  const result = await new ScaleRun(options, __filename, reportProgress()).play();
  if (process.stderr.isTTY) process.stderr.write('\n');
  process.stdout.write(json === true ? asJson(result) : asTable(result));
  if (result.stopped !== null) process.exitCode = 3;
  else if (result.violations.length > 0 || result.unexpectedEnds.length > 0) process.exitCode = 1;
  setTimeout(() => process.exit(), 200);
};

if (process.env[CHILD_ENVIRONMENT_KEY] === undefined) void main();
else serveParent();
