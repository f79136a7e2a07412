/**
 * Entry point of the operators' commands: calendar, cutoffs, accounts, loans. The commands talk to the state service and never
 * to a controller.
 */
import { Command } from 'commander';
import { registerCommands } from './command.js';
import { processIo } from './io.js';

const cli = new Command()
  .name('lilacvalve-operate')
  .description("The operators' commands")
  .showHelpAfterError(false);
registerCommands(cli, processIo);
void cli.parseAsync();
