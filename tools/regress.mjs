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

const wholeNumber = (text) => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1) throw new InvalidArgumentError('a whole number from 1 on');
  return value;
};
const cli = new Command()
  .name('regress')
  .description('Plays the regression days and compares them with the base figures')
  .argument('<bench>', "the operators' bench program")
  .option('--base <file>', 'base figures', join(import.meta.dirname, 'regress.toml'))
  .option('--sites <names...>', 'only sites whose name contains one of these')
  .option('--full', 'all standard days instead of the two roughest')
  .option('--hunt <days>', 'afterwards so many days with other luck on each site', wholeNumber)
  .option('--jobs <n>', 'days played at once', wholeNumber)
  .option('--why <text>', "goes into the bench's journal", 'regression')
  .option('--read <ids...>', 'play nothing: compare these journal entries')
  .option('--reports <files...>', 'play nothing: what runs with --report say of each class')
  .option('--take', 'afterwards write what was played as the new base figures')
  .parse();
const options = cli.opts();

/** Says what a report's classes and teams were served; true: one of them failed. */
const sayReport = (report) => {
  let failed = false;
  const say = (name, parts, text, remark) => {
    const least = Math.min(...Object.values(parts));
    failed ||= least < FAIL;
    const mark = least < FAIL ? ' FAILED' : least < WARN ? ' low' : '';
    process.stdout.write(
      `${report.scenario} ${report.machines} machines, ${name}: ${text}${mark}${remark}\n`,
    );
  };
  for (const served of servedOfReport(report)) {
    const { name, jobs, started, ended, begun, longest } = served;
    say(
      name,
      { started, ended, begun },
      `${jobs} jobs, started ${started.toFixed(3)}, ended ${ended.toFixed(3)}, ` +
        `begun within ${BEGIN_BY} s ${begun.toFixed(3)}, longest wait ${longest.toFixed(0)} s`,
      lateLargest(served) ? ', its largest may be among the late' : '',
    );
  }
  for (const { name, jobs, started } of teamsOfReport(report))
    say(`team ${name}`, { started }, `${jobs} jobs, started ${started.toFixed(3)}`, '');
  return failed;
};

const SITE_FIELDS = { name: 'string', file: 'string', score: 'number', days: 'object' };

/** `drop`: the largest allowed; `[[site]]`: name, file relative to the base's `root`, score, and figures by day. */
const readBase = (file) => {
  const fail = (fault) => cli.error(`${file}: ${fault}`, { exitCode: 2 });
  let base;
  try {
    base = parse(readFileSync(file, 'utf8'));
  } catch (error) {
    fail(error.message.split('\n')[0]);
  }
  if (typeof base.drop !== 'number' || typeof base.root !== 'string') fail('drop and root are needed');
  for (const site of base.site ?? [])
    for (const [field, type] of Object.entries(SITE_FIELDS))
      if (typeof site[field] !== type) fail(`site ${site.name ?? '?'}: ${field} must be a ${type}`);
  return base;
};

/** The file of a site. The kit's folders are named from the folder that holds the bench's kit, wherever that is. */
const siteFile = (bench, root, { file }) => {
  let kit = dirname(bench);
  while (!existsSync(join(kit, root)) && dirname(kit) !== kit) kit = dirname(kit);
  return join(kit, root, file);
};

const journalFiles = () =>
  existsSync('journal') ? readdirSync('journal').filter((file) => file.endsWith('.json')) : [];

/** Runs the bench to its end, whatever that is. */
const runBench = (bench, args) =>
  new Promise((done) => {
    const child = spawn(bench, args, { stdio: ['ignore', 'inherit', 'inherit'] });
    child.on('error', (error) => cli.error(`${bench}: ${error.message}`, { exitCode: 2 }));
    child.on('exit', (code) => done(code));
  });

const playSites = async (bench, root, sites) => {
  const jobs = options.jobs ? ['--jobs', String(options.jobs)] : [];
  const why = ['--why', options.why];
  const files = sites.map((site) => siteFile(bench, root, site));
  await runBench(bench, ['score', ...files, ...(options.full ? [] : ['--quick']), ...jobs, ...why]);
  if (options.hunt)
    for (const file of files)
      await runBench(bench, ['hunt', file, '--days', String(options.hunt), ...jobs, ...why]);
};

/** The journal entries to compare: those that `--read` names, or those that the bench has just written. */
const entriesToCompare = async (bench, root, sites) => {
  const known = new Set(journalFiles());
  if (!options.read) await playSites(bench, root, sites);
  return journalFiles()
    .filter((file) => (options.read ? options.read.some((id) => file.includes(id)) : !known.has(file)))
    .map((file) => JSON.parse(readFileSync(join('journal', file), 'utf8')))
    .filter(({ cmd }) => cmd === 'score' || cmd === 'hunt');
};

/** Processor seconds of a day; null: the bench did not say, or the day went over. */
const cpuSeconds = ({ spent }) =>
  spent
    ? Object.entries(spent).reduce(
        (sum, [name, amount]) => sum + (name !== 'turns' && Array.isArray(amount) ? amount[0] : 0),
        0,
      )
    : null;

const mean = (list) => list.reduce((sum, value) => sum + value, 0) / list.length;

/** Of all days of an entry, the class that was served least; undefined: no day says anything of classes. */
const leastServedOf = ({ days }) =>
  days
    .flatMap(({ name: day, aims }) => {
      const least = leastServed(servedOfAims(aims));
      return least === null ? [] : [{ day, ...least }];
    })
    .sort((a, b) => a.part - b.part)[0];

/** What was broken on the days of an entry, by day. */
const brokenOf = ({ days }, least) => [
  ...days.flatMap(({ name, rules, fault }) => [
    ...Object.keys(rules ?? {}).map((rule) => `${name}: ${rule}`),
    ...(fault ? [`${name}: ${fault.slice(0, 60)}`] : []),
  ]),
  // What the bench itself counted of classes, teams and largest jobs, where it says so.
  ...days.flatMap(({ name, served }) =>
    (served ?? []).flatMap(([of, , part]) =>
      part < FAIL ? [`${name}: ${of} ${part.toFixed(2)} served`] : [],
    ),
  ),
  ...(least !== undefined && least.part < FAIL ? [`${least.day}: ${least.name} less than half served`] : []),
];

/** The scores of a site's days then and now. Two days of six have no score of their own: the same days of the base do. */
const scoresOf = (site, { cmd, days: played, score }) => {
  const days = played.filter(({ name }) => site.days[name] !== undefined);
  const whole =
    cmd === 'score' && Object.keys(site.days).every((name) => days.some((day) => day.name === name));
  if (whole) return { days, whole, was: site.score, now: score };
  if (days.length === 0) return { days, whole, was: null, now: null };
  return {
    days,
    whole,
    was: mean(days.map(({ name }) => site.days[name])),
    now: mean(days.map((day) => day.score)),
  };
};

const heaviestCell = ({ days }) => {
  const heaviest = [...days].sort((a, b) => (cpuSeconds(b) ?? 1e9) - (cpuSeconds(a) ?? 1e9))[0];
  if (!heaviest) return '-';
  const seconds = cpuSeconds(heaviest);
  return `${seconds === null ? 'over' : Math.round(seconds)} s ${heaviest.name}`;
};

const leastCell = (least) =>
  least === undefined
    ? '-'
    : `${least.part.toFixed(2)}${least.part < WARN ? ' LOW' : ''} ${least.name}, ${least.day}`;

const differenceCell = (was, now, drop) =>
  was === null ? '-' : `${now < was ? '' : '+'}${(now - was).toFixed(3)}${drop ? ' DROP' : ''}`;

/** One line of the table, and whether it is bad. With `--take` the site's base figures become the entry's. */
const compareEntry = (site, entry, allowedDrop) => {
  const { days, whole, was, now } = scoresOf(site, entry);
  const least = leastServedOf(entry);
  const broken = brokenOf(entry, least);
  const drop = entry.cmd === 'score' && was !== null && now < was - allowedDrop;
  const dayNames = whole ? 'full' : days.map(({ name }) => name).join('+');
  const cells = [
    site.name,
    entry.cmd === 'hunt' ? 'hunt' : dayNames,
    was?.toFixed(3) ?? '-',
    now?.toFixed(3) ?? '-',
    differenceCell(was, now, drop),
    heaviestCell(entry),
    leastCell(least),
    broken.join('; ') || 'none',
  ];
  if (options.take && whole) {
    site.score = entry.score;
    site.days = Object.fromEntries(days.map(({ name, score }) => [name, score]));
  }
  return { cells, bad: broken.length > 0 || drop };
};

const HEAD = ['site', 'days', 'base', 'now', 'difference', 'heaviest day', 'least served', 'broken'];

const printTable = (rows) => {
  const widths = HEAD.map((name, i) => Math.max(name.length, ...rows.map((cells) => cells[i].length)));
  for (const cells of [HEAD, ...rows])
    process.stdout.write(
      `${cells
        .map((cell, i) => cell.padEnd(widths[i]))
        .join('  ')
        .trimEnd()}\n`,
    );
};

/** What is said at the head of the file stays. */
const writeBase = (file, base) => {
  const head = /^(#.*\n)*/.exec(readFileSync(file, 'utf8'))[0];
  writeFileSync(file, `${head}${stringify(base)}\n`);
};

/** Plays or reads, compares, prints; true: something is bad. */
const regress = async (bench) => {
  const base = readBase(options.base);
  const sites = base.site.filter(({ name }) => options.sites?.some((part) => name.includes(part)) ?? true);
  if (sites.length === 0) cli.error('no such site', { exitCode: 2 });
  const entries = await entriesToCompare(bench, base.root, sites);
  const lines = sites.flatMap((site) =>
    entries.filter((entry) => entry.site === site.name).map((entry) => compareEntry(site, entry, base.drop)),
  );
  printTable(lines.map(({ cells }) => cells));
  if (entries.length === 0) process.stdout.write('the bench left no journal entry\n');
  if (options.take) writeBase(options.base, base);
  return entries.length === 0 || lines.some(({ bad }) => bad);
};

const reportsFailed = () =>
  options.reports.map((file) => sayReport(JSON.parse(readFileSync(file, 'utf8')))).some((failed) => failed);

const bad = options.reports ? reportsFailed() : await regress(resolve(cli.args[0]));
process.exit(bad ? 1 : 0);
