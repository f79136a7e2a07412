/** The list of subcommands: a new subcommand is registered here. */
import type { Command } from 'commander';
import { registerAccounts } from './accounts/command.js';
import { registerCalendar } from './calendar/command.js';
import { registerCutoffs } from './cutoffs.js';
import type { Io } from './io.js';
import { registerLoans } from './loans.js';

/** Adds all subcommands to the program. */
export const registerCommands = (cli: Command, io: Io): void => {
  registerCalendar(cli, io);
  registerCutoffs(cli, io);
  registerAccounts(cli, io);
  registerLoans(cli, io);
};
