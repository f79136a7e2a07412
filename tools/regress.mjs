/**
 * Plays the regression that the operators ask for and compares it with the base figures in tools/regress.toml:
 * one table of site, base, now, difference, the heaviest day's processor time, the least served class of jobs, and what
 * broke. Exit status 1 on a drop over the allowed one, a broken rule or a failed day (a class less than half served
 * among them); 2 when the bench could not be run.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { Command, InvalidArgumentError } from 'commander';
import { parse, stringify } from 'smol-toml';
import {
  BEGIN_BY,
  FAIL,
  lateLargest,
  leastServed,
  servedOfAims,
  servedOfReport,
  teamsOfReport,
  WARN,
} from './served.mjs';

const count = (text) => {
  const n = Number(text);
  if (!Number.isInteger(n) || n < 1) throw new InvalidArgumentError('a whole number from 1 on');
  return n;
};
const cli = new Command()
  .name('regress')
  .description('Plays the regression days and compares them with the base figures')
  .argument('<bench>', "the operators' bench program")
  .option('--base <file>', 'base figures', join(import.meta.dirname, 'regress.toml'))
  .option('--sites <names...>', 'only sites whose name contains one of these')
  .option('--full', 'all standard days instead of the two roughest')
  .option('--hunt <days>', 'afterwards so many days with other luck on each site', count)
  .option('--jobs <n>', 'days played at once', count)
  .option('--why <text>', "goes into the bench's journal", 'regression')
  .option('--read <ids...>', 'play nothing: compare these journal entries')
  .option('--reports <files...>', 'play nothing: what runs with --report say of each class')
  .option('--take', 'afterwards write what was played as the new base figures')
  .parse();
const options = cli.opts();
const bench = resolve(cli.args[0]);

if (options.reports) {
  let failed = false;
  for (const file of options.reports) {
    const report = JSON.parse(readFileSync(file, 'utf8'));
    const say = (name, of, parts, words) => {
      const part = Math.min(...Object.values(of));
      failed ||= part < FAIL;
      const mark = part < FAIL ? ' FAILED' : part < WARN ? ' low' : '';
      process.stdout.write(
        `${report.scenario} ${report.machines} machines, ${name}: ${parts}${mark}${words}\n`,
      );
    };
    for (const { name, jobs, started, ended, begun, longest, ...c } of servedOfReport(report)) {
      const late = lateLargest({ ...c, jobs, begun }) ? ', its largest may be among the late' : '';
      say(
        name,
        { started, ended, begun },
        `${jobs} jobs, started ${started.toFixed(3)}, ended ${ended.toFixed(3)}, ` +
          `begun within ${BEGIN_BY} s ${begun.toFixed(3)}, longest wait ${longest.toFixed(0)} s`,
        late,
      );
    }
    for (const { name, jobs, started } of teamsOfReport(report))
      say(`team ${name}`, { started }, `${jobs} jobs, started ${started.toFixed(3)}`, '');
  }
  process.exit(failed ? 1 : 0);
}

/** `drop`: the largest allowed; `[[site]]`: name, file relative to the base's `root`, score, and figures by day. */
const readBase = () => {
  let base;
  try {
    base = parse(readFileSync(options.base, 'utf8'));
  } catch (e) {
    cli.error(`${options.base}: ${e.message.split('\n')[0]}`, { exitCode: 2 });
  }
  const fail = (what) => cli.error(`${options.base}: ${what}`, { exitCode: 2 });
  if (typeof base.drop !== 'number' || typeof base.root !== 'string') fail('drop and root are needed');
  for (const s of base.site ?? [])
    for (const [key, type] of [
      ['name', 'string'],
      ['file', 'string'],
      ['score', 'number'],
      ['days', 'object'],
    ])
      if (typeof s[key] !== type) fail(`site ${s.name ?? '?'}: ${key} must be a ${type}`);
  return base;
};
const base = readBase();
const chosen = base.site.filter((s) => options.sites?.some((part) => s.name.includes(part)) ?? true);
if (chosen.length === 0) cli.error('no such site', { exitCode: 2 });
// The kit's folders are named from the folder that holds the bench's kit, wherever that is.
let kit = dirname(bench);
while (!existsSync(join(kit, base.root)) && dirname(kit) !== kit) kit = dirname(kit);
const fileOf = (s) => join(kit, base.root, s.file);

const entries = () =>
  existsSync('journal') ? readdirSync('journal').filter((f) => f.endsWith('.json')) : [];
const play = (args) =>
  new Promise((done) => {
    const child = spawn(bench, args, { stdio: ['ignore', 'inherit', 'inherit'] });
    child.on('error', (e) => cli.error(`${bench}: ${e.message}`, { exitCode: 2 }));
    child.on('exit', (code) => done(code));
  });

const known = new Set(entries());
if (!options.read) {
  const jobs = options.jobs ? ['--jobs', String(options.jobs)] : [];
  const why = ['--why', options.why];
  await play(['score', ...chosen.map(fileOf), ...(options.full ? [] : ['--quick']), ...jobs, ...why]);
  if (options.hunt)
    for (const s of chosen) await play(['hunt', fileOf(s), '--days', String(options.hunt), ...jobs, ...why]);
}
const made = entries()
  .filter((f) => (options.read ? options.read.some((id) => f.includes(id)) : !known.has(f)))
  .map((f) => JSON.parse(readFileSync(join('journal', f), 'utf8')))
  .filter((e) => e.cmd === 'score' || e.cmd === 'hunt');

const spent = (day) =>
  day.spent
    ? Object.entries(day.spent).reduce((n, [k, v]) => n + (k !== 'turns' && Array.isArray(v) ? v[0] : 0), 0)
    : null;
const mean = (list) => list.reduce((n, x) => n + x, 0) / list.length;
const rows = [];
let bad = made.length === 0;
for (const s of chosen) {
  for (const e of made.filter((x) => x.site === s.name)) {
    const days = e.days.filter((d) => s.days[d.name] !== undefined);
    const whole = e.cmd === 'score' && Object.keys(s.days).every((n) => days.some((d) => d.name === n));
    // Two days of six have no score of their own to compare with: the same days of the base do.
    const was = whole ? s.score : days.length > 0 ? mean(days.map((d) => s.days[d.name])) : null;
    const now = whole ? e.score : days.length > 0 ? mean(days.map((d) => d.score)) : null;
    const least = e.days
      .flatMap((d) => {
        const c = leastServed(servedOfAims(d.aims));
        return c === null ? [] : [{ day: d.name, ...c }];
      })
      .sort((a, b) => a.part - b.part)[0];
    const unserved = least !== undefined && least.part < FAIL;
    // What the bench itself counted of classes, teams and largest jobs, where it says so.
    const under = e.days.flatMap((d) =>
      (d.served ?? []).flatMap(([of, , part]) =>
        part < FAIL ? [`${d.name}: ${of} ${part.toFixed(2)} served`] : [],
      ),
    );
    const broken = e.days.flatMap((d) => [
      ...Object.keys(d.rules ?? {}).map((r) => `${d.name}: ${r}`),
      ...(d.fault ? [`${d.name}: ${d.fault.slice(0, 60)}`] : []),
    ]);
    const drop = e.cmd === 'score' && was !== null && now < was - base.drop;
    broken.push(...under);
    if (unserved) broken.push(`${least.day}: ${least.name} less than half served`);
    bad ||= broken.length > 0 || drop;
    const heaviest = [...e.days].sort((a, b) => (spent(b) ?? 1e9) - (spent(a) ?? 1e9))[0];
    const seconds = heaviest ? spent(heaviest) : null;
    rows.push([
      s.name,
      e.cmd === 'hunt' ? 'hunt' : whole ? 'full' : days.map((d) => d.name).join('+'),
      was?.toFixed(3) ?? '-',
      now?.toFixed(3) ?? '-',
      was === null ? '-' : `${now < was ? '' : '+'}${(now - was).toFixed(3)}${drop ? ' DROP' : ''}`,
      heaviest ? `${seconds === null ? 'over' : Math.round(seconds)} s ${heaviest.name}` : '-',
      least === undefined
        ? '-'
        : `${least.part.toFixed(2)}${least.part < WARN ? ' LOW' : ''} ${least.name}, ${least.day}`,
      broken.join('; ') || 'none',
    ]);
    if (options.take && whole) {
      s.score = e.score;
      s.days = Object.fromEntries(days.map((d) => [d.name, d.score]));
    }
  }
}
const head = ['site', 'days', 'base', 'now', 'difference', 'heaviest day', 'least served', 'broken'];
const widths = head.map((h, i) => Math.max(h.length, ...rows.map((r) => r[i].length)));
for (const r of [head, ...rows])
  process.stdout.write(
    `${r
      .map((c, i) => c.padEnd(widths[i]))
      .join('  ')
      .trimEnd()}\n`,
  );
if (made.length === 0) process.stdout.write('the bench left no journal entry\n');
if (options.take) {
  // What is said at the head of the file stays.
  const head = /^(#.*\n)*/.exec(readFileSync(options.base, 'utf8'))[0];
  writeFileSync(options.base, `${head}${stringify(base)}\n`);
}
process.exit(bad ? 1 : 0);
