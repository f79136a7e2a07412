/**
 * The scale test: real controller processes with hollow workers, users, a cloud and a state service on loopback. Run by
 * `npm run scale`. The exit status is 1 if a rule was violated or a controller exited unexpectedly, 2 for invalid flags
 * or too few sockets, and 3 if the run was stopped because it exceeded its memory or process limit.
 */
import { exitOnClosedPipe } from '@lilacvalve/runtime/closed-pipe';
import { parsePositiveNumber, parseFraction, parsePositiveInteger } from '@lilacvalve/runtime/flag-values';
import { Command, Option } from 'commander';
import { serveParent } from './child.js';
import { deployedFlags } from './controllers.js';
import { CHILD_ENVIRONMENT_KEY } from './messages.js';
import { openFileLimit } from './process-usage.js';
import { MAX_MEMORY_MB, MAX_PROCESSES, validateFlags } from './flag-validation.js';
import { asJson, asTable, progressLine } from './report.js';
import { FAULTS, type RunOptions } from './run-model.js';
import { ScaleRun } from './scale-run.js';

/** Exit status for invalid flags. */
const INVALID_FLAGS_STATUS = 2;
/** If stderr is not a terminal, one of this many progress lines is printed. */
const PIPED_PROGRESS_INTERVAL = 10;

interface Flags extends Omit<RunOptions, 'zones' | 'flags' | 'limits' | 'profileDir'> {
  readonly zoneCount: number;
  readonly prof?: string;
  readonly deploy: string;
  readonly json?: boolean;
}

const command = (): Command =>
  new Command()
    .name('scale')
    .description('Run real controllers with hollow workers and check the rules of the protocol')
    .option('--machines <n>', 'number of hollow workers', parsePositiveInteger, 2634)
    .option('--slots <n>', 'tasks of one CPU that fit on a machine', parsePositiveInteger, 20)
    .option('--controllers <n>', 'number of controllers', parsePositiveInteger, 5)
    .option('--zone-count <n>', 'number of zones', parsePositiveInteger, 3)
    .option('--teams <n>', 'number of teams', parsePositiveInteger, 80)
    .option('--team-limit <share>', 'fraction of all resources that a team may use', parseFraction, 0.1)
    .option('--starts <n>', 'task starts per second that users request', parsePositiveNumber, 2400)
    .option('--run-s <s>', 'run time of a task in seconds, plus or minus 50%', parsePositiveNumber, 19.4)
    .option('--tasks <n>', 'tasks per array', parsePositiveInteger, 1000)
    .option('--gangs <share>', 'fraction of the starts in gangs of up to 64', parseFraction, 0.05)
    .option('--urgent <share>', 'fraction of the starts that are urgent', parseFraction, 0.02)
    .option('--accelerated <share>', 'fraction of the starts that need an accelerator', parseFraction, 0)
    .option('--cancelled <share>', 'fraction of the jobs that users cancel', parseFraction, 0.02)
    .option('--report-s <s>', 'seconds between two heartbeats of a worker', parsePositiveNumber, 2.5)
    .option('--lease-s <s>', 'duration of a worker’s lease, in seconds', parsePositiveNumber, 15.25)
    .option('--cancel-s <s>', 'seconds until cancelled tasks must be stopped', parsePositiveNumber, 40.25)
    .option('--requests-per-s <n>', 'request rate limit of the state service', parsePositiveNumber, 180)
    .option('--writes-per-s <n>', 'change rate limit of the state service', parsePositiveNumber, 60)
    .option('--value-kb <n>', 'maximum size of a value in the state service, in KiB', parsePositiveNumber, 32)
    .option('--transaction-ops <n>', 'maximum number of changes per transaction', parsePositiveInteger, 24)
    .option('--cores <n>', 'cores per controller, for its settings', parsePositiveNumber, 1)
    .option('--memory-mb <n>', 'memory per controller, for its settings', parsePositiveNumber, 350)
    .option('--connections <n>', 'sockets per controller, for its settings', parsePositiveInteger, 1945)
    .option('--workers-per-process <n>', 'hollow workers per process', parsePositiveInteger, 440)
    .option('--warmup-s <s>', 'seconds to run before the measurement', parsePositiveNumber, 45)
    .option('--length-s <s>', 'duration of the measurement, in seconds', parsePositiveNumber, 45)
    .addOption(
      new Option('--fault <fault>', 'injected after 30% of the measurement').choices(FAULTS).default('none'),
    )
    .option('--seed <n>', 'seed of the random source', parsePositiveInteger, 1)
    .option('--program <file>', 'program file of the controller', 'target/main.cjs')
    .option('--deploy <file>', 'file with the interpreter flags of the controllers', 'deploy/service.toml')
    .option('--prof <dir>', 'directory for a CPU profile of each controller')
    .option('--log-level <level>', 'log level of the controllers', 'error')
    .option('--json', 'print one line of JSON instead of the table');

const reportProgress = (): ((progress: Parameters<typeof progressLine>[0]) => void) => {
  let lineCount = 0;
  return (progress) => {
    const line = progressLine(progress);
    if (process.stderr.isTTY) process.stderr.write(`\r${line}\u001b[K`);
    else if (lineCount++ % PIPED_PROGRESS_INTERVAL === 0) process.stderr.write(`${line}\n`);
  };
};

const main = async (): Promise<void> => {
  exitOnClosedPipe();
  const cli = command()
    .exitOverride((error) => process.exit(error.exitCode === 0 ? 0 : INVALID_FLAGS_STATUS))
    .parse();
  const flags = cli.opts<Flags>();
  const flagsError = validateFlags(flags, openFileLimit());
  if (flagsError !== null) cli.error(`scale: ${flagsError}`, { exitCode: INVALID_FLAGS_STATUS });
  const { zoneCount, prof, deploy, json, ...remainingFlags } = flags;
  const options: RunOptions = {
    ...remainingFlags,
    zones: Array.from({ length: zoneCount }, (_, i) => `zone-${i}`),
    flags: deployedFlags(deploy),
    ...(prof === undefined ? {} : { profileDir: prof }),
    resourceLimits: { memoryMb: MAX_MEMORY_MB, processes: MAX_PROCESSES },
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
