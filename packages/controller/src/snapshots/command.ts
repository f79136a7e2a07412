/** The command line tool for snapshots: verifies, prints and compares a controller's snapshot, and restores it. */
import { logLayer } from '@lilacvalve/runtime/log';
import { DiskFiles } from '@lilacvalve/snapshot/files';
import { checkFiles, type SnapshotContent, compareContents, loadSnapshot } from '@lilacvalve/snapshot/read';
import { Command, InvalidArgumentError } from 'commander';
import { Effect, Either } from 'effect';
import { readSettings } from '../settings/settings.js';
import { StateStore } from '../state-store/client.js';
import { restoreSnapshot } from './restore.js';

const cli = new Command()
  .name('lilacvalve-snapshot')
  .description('Inspects and restores snapshots of the state service')
  .showHelpAfterError(false);
const print = (line: string): void => void process.stdout.write(`${line}\n`);
/** Parses a positive whole number. */
const parseCount = (text: string): number => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('a whole number from 1 on');
  return value;
};
/** Loads a snapshot; ends the command with status 1 if it has no usable base. */
const loadContent = async (dir: string): Promise<SnapshotContent> =>
  (await loadSnapshot(new DiskFiles(dir))) ??
  cli.error(`${dir}: no complete and undamaged base file found`, { exitCode: 1 });

cli
  .command('verify')
  .description('reads and checks all files; status 1 if nothing can be restored or a block is damaged')
  .argument('<dir>')
  .option('--output <form>', 'output format: text or json', 'text')
  .action(async (dir: string, options: { output: string }) => {
    const files = await checkFiles(new DiskFiles(dir));
    const content = await loadSnapshot(new DiskFiles(dir));
    if (options.output === 'json') print(JSON.stringify({ files, revision: content?.revision ?? null }));
    else {
      for (const file of files)
        print(
          `${file.name}: ${file.usable ? 'whole' : 'not usable'}, ${file.entries} entries, ${file.bytes} bytes` +
            (file.flaw
              ? `; ${file.flaw.kind} at block ${file.flaw.block}, byte ${file.flaw.offset}: ${file.flaw.reason}`
              : ''),
        );
      print(
        content === null
          ? 'nothing can be restored'
          : `can be restored up to revision ${content.revision}, generation ${content.generation}`,
      );
    }
    process.exitCode = content === null || files.some((file) => file.flaw?.kind === 'damaged') ? 1 : 0;
  });

cli
  .command('show')
  .description('prints keys with their revisions and values')
  .argument('<dir>')
  .option('--prefix <prefix>', 'only keys with this prefix', '')
  .option('--most <n>', 'maximum number of keys', parseCount, 100)
  .action(async (dir: string, options: { prefix: string; most: number }) => {
    const content = await loadContent(dir);
    const keys = [...content.entries.keys()].filter((key) => key.startsWith(options.prefix)).sort();
    for (const key of keys.slice(0, options.most)) {
      const entry = content.entries.get(key)!;
      print(`${key}\t${entry.revision}\t${JSON.stringify(entry.value)}`);
    }
    if (keys.length > options.most) print(`(${keys.length - options.most} more)`);
  });

cli
  .command('diff')
  .description('prints the keys whose values differ between two snapshots; status 1 if there are any')
  .argument('<left>')
  .argument('<right>')
  .action(async (left: string, right: string) => {
    const differences = compareContents(await loadContent(left), await loadContent(right));
    for (const difference of differences)
      print(`${difference.left === null ? '+' : difference.right === null ? '-' : '~'} ${difference.key}`);
    process.exitCode = differences.length > 0 ? 1 : 0;
  });

cli
  .command('restore')
  .description('writes a snapshot into an empty state service; run again after an interruption, it continues')
  .argument('<dir>')
  .requiredOption(
    '--config <file>',
    "a controller's settings file, with the address and the limits of the state service",
  )
  .action(async (dir: string, options: { config: string }) => {
    const settings = readSettings(options.config);
    if (Either.isLeft(settings)) return cli.error(`settings: ${settings.left}`, { exitCode: 2 });
    const content = await loadContent(dir);
    // No controller is writing to the store, so this command may use the whole request rate.
    const store = new StateStore({ ...settings.right, controllerCount: 1 });
    store.leading(true);
    let lastPrinted = 0;
    const result = await Effect.runPromise(
      restoreSnapshot(content, store, settings.right.state, (written, total) => {
        if (process.stderr.isTTY) process.stderr.write(`\r${written} of ${total} keys`);
        else if (written - lastPrinted >= 1000)
          process.stderr.write(`${(lastPrinted = written)} of ${total} keys\n`);
      }).pipe(
        Effect.catchAll((failure) =>
          Effect.succeed({
            ok: false,
            reason: `request to the state service failed: ${failure.reason}`,
          } as const),
        ),
        Effect.provide(logLayer('error')),
      ),
    );
    if (process.stderr.isTTY) process.stderr.write('\n');
    if (!result.ok) return cli.error(result.reason, { exitCode: 1 });
    print(`${result.written} keys restored${result.resumed ? ', continuing an interrupted restore' : ''}`);
    process.exit(0);
  });

void cli.parseAsync();
