/** The snapshots' command: looks at what controllers have kept on a disk, and puts it back. */
import { logLayer } from '@lilacvalve/runtime/log';
import { DiskFiles } from '@lilacvalve/snapshot/files';
import { check, type Content, differences, load } from '@lilacvalve/snapshot/read';
import { Command, InvalidArgumentError } from 'commander';
import { Effect, Either } from 'effect';
import { readSettings } from '../settings/settings.js';
import { StateStore } from '../state-store/client.js';
import { restore } from './restore.js';

const cli = new Command()
  .name('lilacvalve-snapshot')
  .description('Snapshots of the state service')
  .showHelpAfterError(false);
const print = (line: string): void => void process.stdout.write(`${line}\n`);
const count = (text: string): number => {
  const n = Number(text);
  if (!Number.isInteger(n) || n < 1) throw new InvalidArgumentError('a whole number from 1 on');
  return n;
};
const content = async (dir: string): Promise<Content> =>
  (await load(new DiskFiles(dir))) ?? cli.error(`${dir}: no base that is whole`, { exitCode: 1 });

cli
  .command('verify')
  .description('reads every file through; status 1 if nothing could be restored, or a block is damaged')
  .argument('<dir>')
  .option('--output <form>', 'text or json', 'text')
  .action(async (dir: string, o: { output: string }) => {
    const files = await check(new DiskFiles(dir));
    const best = await load(new DiskFiles(dir));
    if (o.output === 'json') print(JSON.stringify({ files, revision: best?.revision ?? null }));
    else {
      for (const f of files)
        print(
          `${f.name}: ${f.usable ? 'whole' : 'not usable'}, ${f.entries} entries, ${f.bytes} bytes` +
            (f.flaw
              ? `; ${f.flaw.kind} at block ${f.flaw.block}, byte ${f.flaw.offset}: ${f.flaw.reason}`
              : ''),
        );
      print(
        best === null
          ? 'nothing can be restored'
          : `can be restored up to revision ${best.revision}, generation ${best.generation}`,
      );
    }
    process.exitCode = best === null || files.some((f) => f.flaw?.kind === 'damaged') ? 1 : 0;
  });

cli
  .command('show')
  .description('prints keys and values')
  .argument('<dir>')
  .option('--prefix <prefix>', 'only keys below it', '')
  .option('--most <n>', 'at the most so many', count, 100)
  .action(async (dir: string, o: { prefix: string; most: number }) => {
    const c = await content(dir);
    const keys = [...c.entries.keys()].filter((k) => k.startsWith(o.prefix)).sort();
    for (const k of keys.slice(0, o.most)) {
      const e = c.entries.get(k)!;
      print(`${k}\t${e.stamp}\t${JSON.stringify(e.value)}`);
    }
    if (keys.length > o.most) print(`(${keys.length - o.most} more)`);
  });

cli
  .command('diff')
  .description('keys that two snapshots have otherwise; status 1 if there are any')
  .argument('<left>')
  .argument('<right>')
  .action(async (left: string, right: string) => {
    const list = differences(await content(left), await content(right));
    for (const d of list) print(`${d.left === null ? '+' : d.right === null ? '-' : '~'} ${d.key}`);
    process.exitCode = list.length > 0 ? 1 : 0;
  });

cli
  .command('restore')
  .description('writes a snapshot into an empty state service; begun again, it goes on where it was')
  .argument('<dir>')
  .requiredOption(
    '--config <file>',
    "the platform's settings file of a controller: address and limits of the service",
  )
  .action(async (dir: string, o: { config: string }) => {
    const settings = readSettings(o.config);
    if (Either.isLeft(settings)) return cli.error(`settings: ${settings.left}`, { exitCode: 2 });
    const c = await content(dir);
    // Nobody else is writing: the whole of the rate is this command's.
    const store = new StateStore({ ...settings.right, nodes: 1 });
    store.leading(true);
    let shown = 0;
    const result = await Effect.runPromise(
      restore(c, store, settings.right.state, (written, all) => {
        if (process.stderr.isTTY) process.stderr.write(`\r${written} of ${all} keys`);
        else if (written - shown >= 1000) process.stderr.write(`${(shown = written)} of ${all} keys\n`);
      }).pipe(
        Effect.catchAll((e) =>
          Effect.succeed({ ok: false, reason: `the state service: ${e.reason}` } as const),
        ),
        Effect.provide(logLayer('error')),
      ),
    );
    if (process.stderr.isTTY) process.stderr.write('\n');
    if (!result.ok) return cli.error(result.reason, { exitCode: 1 });
    print(`${result.written} keys restored${result.resumed ? ', after an earlier beginning' : ''}`);
    process.exit(0);
  });

void cli.parseAsync();
