/**
 * Prints the capacity table, computed from the size file and the measured slopes; `--write` inserts it into a page. Run
 * by `npm run capacity`. The exit status is 2 if a file cannot be read or is invalid.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { exitOnClosedPipe } from '@lilacvalve/runtime/closed-pipe';
import { Command } from 'commander';
import { readCapacityInput } from './model.js';
import { capacityTables, withTables } from './table.js';

exitOnClosedPipe();
const cli = new Command()
  .name('capacity')
  .description('Compute the load of each role at the planned size from measured slopes')
  .option('--size <file>', 'file with the planned size', 'docs/capacity/size.toml')
  .option('--slopes <file>', 'file with the measured slopes', 'docs/capacity/slopes.toml')
  .option('--write <page>', 'insert the tables into this page instead of printing them')
  .parse();
const options = cli.opts<{ size: string; slopes: string; write?: string }>();
try {
  const tables = capacityTables(readCapacityInput(options.size, options.slopes));
  if (options.write === undefined) process.stdout.write(tables);
  else writeFileSync(options.write, withTables(readFileSync(options.write, 'utf8'), tables));
} catch (error) {
  cli.error(`capacity: ${(error as Error).message.split('\n')[0]}`, { exitCode: 2 });
}
