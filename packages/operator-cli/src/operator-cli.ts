/** The operators' commands: calendars, accounts, loans. Reads and writes the shared state, never a controller. */
import { Command } from 'commander';
import { registerCommands } from './command.js';
import { processIo } from './io.js';

const cli = new Command()
  .name('lilacvalve-operate')
  .description("The operators' commands")
  .showHelpAfterError(false);
registerCommands(cli, processIo);
void cli.parseAsync();
