/**
 * Prints the capacity table from the size file and the measured slopes; `--write` puts it into its page. Run by
 * `npm run capacity`. Exit status 2 where a file can't be read or is wrong.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { exitOnClosedPipe } from '@lilacvalve/runtime/closed-pipe';
import { Command } from 'commander';
import { readCapacityInput } from './model.js';
import { capacityTables, withTables } from './table.js';

exitOnClosedPipe();
const cli = new Command()
  .name('capacity')
  .description('What each role has to carry at the size to come, from measured slopes')
  .option('--size <file>', 'the size', 'docs/capacity/size.toml')
  .option('--slopes <file>', 'what was measured', 'docs/capacity/slopes.toml')
  .option('--write <page>', 'put the tables into this page instead of printing them')
  .parse();
const options = cli.opts<{ size: string; slopes: string; write?: string }>();
try {
  const tables = capacityTables(readCapacityInput(options.size, options.slopes));
  if (options.write === undefined) process.stdout.write(tables);
  else writeFileSync(options.write, withTables(readFileSync(options.write, 'utf8'), tables));
} catch (error) {
  cli.error(`capacity: ${(error as Error).message.split('\n')[0]}`, { exitCode: 2 });
}
