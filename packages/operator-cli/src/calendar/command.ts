/** `calendar check | next | diff | apply | show | retire`: their flags. */
import type { Command } from 'commander';
import { type Io, type StateOptions, stateOptions } from '../io.js';
import { type OutputForm, outputOption } from '../output.js';
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
    .description('reads a calendar file through; status 2 and the field where it is wrong')
    .argument('<file>')
    .action((file: string, options: { output: OutputForm }) => io.run(checkFile(io, file, options)));

  outputOption(calendar.command('next'))
    .description('the next occurrences that a calendar file gives, in local time')
    .argument('<file>')
    .option('--most <n>', 'so many', '10')
    .option('--cutoff <name>', 'of this cutoff only')
    .option('--after <time>', 'after this time (ISO 8601) instead of now')
    .action((file: string, options: NextOptions) => io.run(printNext(io, file, options)));
};

const registerStateCommands = (calendar: Command, io: Io): void => {
  outputOption(stateOptions(calendar.command('diff')))
    .description('what applying a file would change; status 1 if anything')
    .argument('<file>')
    .action((file: string, options: PrintOptions) => io.run(diffFile(io, file, options)));

  stateOptions(calendar.command('apply'))
    .description(
      'puts a calendar into the shared state; status 1 if a newer one, or another of its version, is there',
    )
    .argument('<file>')
    .option('--expect <version>', 'refuse unless this version is there now (0: none)')
    .action((file: string, options: ApplyOptions) => io.run(applyFile(io, file, options)));

  outputOption(stateOptions(calendar.command('show')))
    .description('the calendar in the shared state; status 1 if there is none, or it is not whole')
    .option('--most <n>', 'so many of the coming occurrences', '20')
    .action((options: PrintOptions & { most: string }) => io.run(showCalendar(io, options)));

  stateOptions(calendar.command('retire'))
    .description('takes the calendar out of use: tied jobs go by their own due time')
    .requiredOption('--version <n>', 'the version of the empty calendar: above the one that is there')
    .action((options: StateOptions & { version: string }) => io.run(retireCalendar(io, options)));
};

/** Registers `calendar` and its subcommands. */
export const registerCalendar = (cli: Command, io: Io): void => {
  const calendar = cli.command('calendar').description('the calendar of cutoffs');
  registerFileCommands(calendar, io);
  registerStateCommands(calendar, io);
};
