/** Options of the commands `calendar check`, `next`, `diff`, `apply`, `show` and `retire`. */
import type { Command } from 'commander';
import { type Io, type StateOptions, stateOptions } from '../io.js';
import { type OutputFormat, outputOption } from '../output.js';
import { checkFile, type NextOptions, printNext } from './file-commands.js';
import {
  type ApplyOptions,
  applyFile,
  diffFile,
  type PrintOptions,
  retireCalendar,
  showCalendar,
} from './state-commands.js';

const registerFileCommands = (calendar: Command, io: Io): void => {
  outputOption(calendar.command('check'))
    .description('validates a calendar file; if it is invalid, names the field and exits with status 2')
    .argument('<file>')
    .action((file: string, options: { output: OutputFormat }) => io.run(checkFile(io, file, options)));

  outputOption(calendar.command('next'))
    .description('lists the next occurrences of a calendar file in local time')
    .argument('<file>')
    .option('--most <n>', 'number of occurrences to list', '10')
    .option('--cutoff <name>', 'only occurrences of this cutoff')
    .option('--after <time>', 'only occurrences from this time (ISO 8601) on; default: now')
    .action((file: string, options: NextOptions) => io.run(printNext(io, file, options)));
};

const registerStateCommands = (calendar: Command, io: Io): void => {
  outputOption(stateOptions(calendar.command('diff')))
    .description('lists what applying a file would change; exit status 1 if there are changes')
    .argument('<file>')
    .action((file: string, options: PrintOptions) => io.run(diffFile(io, file, options)));

  stateOptions(calendar.command('apply'))
    .description(
      'stores a calendar in the shared state; exit status 1 if a newer one, or a different one of the same version, is stored',
    )
    .argument('<file>')
    .option('--expect <version>', 'refuse unless this version is stored at present (0: none)')
    .action((file: string, options: ApplyOptions) => io.run(applyFile(io, file, options)));

  outputOption(stateOptions(calendar.command('show')))
    .description(
      'prints the calendar in the shared state; exit status 1 if there is none or it is incomplete',
    )
    .option('--most <n>', 'number of coming occurrences to list', '20')
    .action((options: PrintOptions & { most: string }) => io.run(showCalendar(io, options)));

  stateOptions(calendar.command('retire'))
    .description('replaces the calendar by an empty one: jobs bound to a cutoff use their own due time')
    .requiredOption('--version <n>', 'version of the empty calendar, higher than the stored version')
    .action((options: StateOptions & { version: string }) => io.run(retireCalendar(io, options)));
};

/** Registers the command `calendar` and its subcommands. */
export const registerCalendar = (cli: Command, io: Io): void => {
  const calendar = cli.command('calendar').description('manages the calendar of cutoffs');
  registerFileCommands(calendar, io);
  registerStateCommands(calendar, io);
};
