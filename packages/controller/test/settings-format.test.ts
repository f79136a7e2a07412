/**
 * Guards the interfaces that operators and the platform use: the settings file's keys, flags and commands, environment
 * variables, exit statuses and the deploy file. Scripts and deployments depend on them.
 */
import assert from 'node:assert/strict';
import { execFile, spawnSync } from 'node:child_process';
import { readFileSync } from 'node:fs';
import { basename } from 'node:path';
import { test } from 'node:test';
import { promisify } from 'node:util';
import { Either } from 'effect';
import { parseSettings } from '../src/settings/settings.js';

const FIXTURE = 'packages/controller/test/fixtures/node.toml';
const text = readFileSync(FIXTURE, 'utf8');

test('settings file: every key is read, and every key without a default is required', () => {
  const complete = JSON.stringify(Either.getOrThrow(parseSettings(text)));
  const lines = text.split('\n');
  let section = '';
  const outcomes: string[] = [];
  lines.forEach((line, lineIndex) => {
    section = /^\[+([^\]]+)\]/.exec(line)?.[1] ?? section;
    const key = /^(\w+) = /.exec(line)?.[1];
    if (key === undefined || key === 'a_field_of_the_future') return;
    const without = parseSettings(
      lines
        .map((other, index) => (index === lineIndex ? other.replace(key, `${key}_other`) : other))
        .join('\n'),
    );
    const missing = Either.isLeft(without);
    // Leaving a key out changes the settings unless its value in the file is the default.
    const changed = missing || JSON.stringify(without.right) !== complete;
    outcomes.push(`${section === '' ? '' : `${section}.`}${key}${missing ? '' : changed ? ' ?' : ' ??'}`);
  });
  assert.deepEqual(outcomes, [
    ...['label', 'zone', 'listen', 'cluster_listen', 'others.label', 'others.zone', 'others.peer_addr'],
    ...['services.cloud', 'services.state', 'cluster.nodes', 'cluster.zones ?', 'cluster.skew_ms ?'],
    ...['cluster.teams.name', 'cluster.teams.cpus ?', 'cluster.teams.cpus_max ?'],
    // The file sets these to 0, which is their default.
    ...['cluster.teams.gpus ??', 'cluster.teams.gpus_max ??'],
    ...['cluster.objectives.kind', 'cluster.objectives.class ?', 'cluster.objectives.within_s ?'],
    ...['cluster.objectives.share ?', 'cluster.workers.report_s', 'cluster.workers.lease_s'],
    ...['cluster.workers.gang_wait_s', 'cluster.workers.gang_peer_s', 'cluster.workers.cancel_s'],
    ...['cluster.state.rps', 'cluster.state.write_rps', 'cluster.state.value_kb', 'cluster.state.txn_ops'],
    ...['cluster.cloud.rps', 'cluster.cloud.list_lag_s', 'cluster.machine_limits.cores'],
    ...['cluster.machine_limits.memory_mb', 'cluster.machine_limits.max_connections'],
  ]);
  for (const line of ['gpus = 3.0', 'gpus_max = 3.0', 'times = 3.0']) {
    const key = line.split(' ')[0]!;
    const changedText = text.includes(`\n${key} = `)
      ? text.replace(new RegExp(`\n${key} = .*`), `\n${line}`)
      : text.replace('share = 0.9', `share = 0.9\n${line}`);
    assert.notEqual(JSON.stringify(Either.getOrThrow(parseSettings(changedText))), complete, key);
  }
});

test('deploy file: the build and run commands are unchanged', () => {
  assert.equal(
    readFileSync('deploy/service.toml', 'utf8'),
    'build = "[ node_modules -nt package-lock.json ] || npm ci --silent; node tools/build.mjs"\n' +
      'run = "node --single-threaded --max-old-space-size=240 --min-semi-space-size=16 --max-semi-space-size=16 target/main.cjs --config"\n',
  );
});

test('service: environment variable LOG_LEVEL and exit statuses', () => {
  const status = (args: string[], level?: string): number | null =>
    spawnSync('node', ['target/main.cjs', ...args], {
      env: { ...process.env, ...(level === undefined ? {} : { LOG_LEVEL: level }) },
    }).status;
  assert.equal(status(['--check', '--config', FIXTURE]), 0);
  assert.equal(status(['--config', 'package.json']), 2);
  assert.equal(status(['--config', FIXTURE], 'loud'), 2);
  assert.equal(status([]), 1);
  assert.equal(status(['--config', FIXTURE, '--balance', '59']), 1);
});

/** The expected commands, flags and arguments of each program; sorted, since their order in the code does not matter. */
const COMMANDS = {
  service: '--balance <seconds>, --check, --config <file>, --snapshots <dir>',
  capacity: '--size <file>, --slopes <file>, --write <page>',
  operate:
    '--after <time>, --all, --by <what>, --config <file>, --cutoff <name>, --desks <file>, --expect ' +
    '<version>, --file <path>, --from <time>, --most <n>, --most <n>, --names <n>, --output <form>, ' +
    '--output <form>, --snapshot <dir>, --state <host:port>, --team <name>, --to <time>, --version ' +
    '<n>, <file>, <file>, <file>, <file>, accounts, apply, calendar, check, cutoffs, diff, loans, ' +
    'next, report, retire, show, verify',
  losses:
    '--at-once, --every <s>, --for <s>, --forgotten <s>, --jobs <rate>, --kill <whom>, --log <level>, ' +
    '--machines <n>, --no-losses, --nodes <n>, --program <file>, --restarts <s>, --run-ms <ms>, --seed ' +
    '<n>, --snapshots, --tasks <n>',
  recovery: '',
  scale:
    '--accelerated <share>, --cancel-s <s>, --cancelled <share>, --connections <n>, --controllers ' +
    '<n>, --cores <n>, --deploy <file>, --fault <fault>, --gangs <share>, --json, --lease-s <s>, ' +
    '--length-s <s>, --log-level <level>, --machines <n>, --memory-mb <n>, --prof <dir>, --program ' +
    '<file>, --report-s <s>, --requests-per-s <n>, --run-s <s>, --seed <n>, --slots <n>, --starts ' +
    '<n>, --tasks <n>, --team-limit <share>, --teams <n>, --transaction-ops <n>, --urgent <share>, ' +
    '--value-kb <n>, --warmup-s <s>, --workers-per-process <n>, --writes-per-s <n>, --zone-count <n>',
  simulate:
    '--jobs <n>, --json, --seed <n>, --seed <n>, --seeds <range>, --step <n>, <file>, <file>, ' +
    '<file>, play, replay, shrink',
  snapshot:
    '--config <file>, --most <n>, --output <form>, --prefix <prefix>, <dir>, <dir>, <dir>, <left>, ' +
    '<right>, diff, restore, show, verify',
  turns: '--free <share>, --held <n>, --json, --teams <n>, [machines], [rounds], [waiting]',
};
/** Returns the commands, flags and arguments that a bundled program declares. */
const declaredNames = (bundle: string): string => {
  const code = bundle.replace(/\/\*[\s\S]*?\*\//g, '').replace(/^\s*\/\/.*$/gm, '');
  const declarations = code.matchAll(
    /(?:\.(?:command|option|requiredOption|argument)|new \w*Option)\(\s*["'`]([^"'`]+)["'`]/g,
  );
  return [...declarations]
    .map((match) => match[1]!)
    .filter((name) => !name.includes('${'))
    .sort()
    .join(', ');
};
test('commands and flags of the service and of each tool in package.json are unchanged', async () => {
  const { scripts } = JSON.parse(readFileSync('package.json', 'utf8')) as { scripts: Record<string, string> };
  const tools = Object.entries(scripts).flatMap(([name, line]) => {
    const file = /--tool (\S+)/.exec(line)?.[1];
    return file === undefined ? [] : [[name, file] as const];
  });
  const found: Record<string, string> = { service: declaredNames(readFileSync('target/main.cjs', 'utf8')) };
  await Promise.all(
    tools.map(async ([name, file]) => {
      await promisify(execFile)('node', ['tools/build.mjs', '--tool', file]);
      found[name] = declaredNames(readFileSync(`target/${basename(file, '.ts')}.cjs`, 'utf8'));
    }),
  );
  assert.deepEqual(found, COMMANDS);
});
