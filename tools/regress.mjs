/**
 * Runs the operators' regression on the bench and compares its scores with the base scores in tools/regress.toml. Prints a
 * table with site, base score, present score, difference, processor time of the heaviest day, least served class of jobs,
 * and violations. Exit status 1 if a score dropped by more than the allowed amount, a rule was violated or a day failed (for
 * example because less than half of a class was served); 2 if the bench could not be run.
 */
import { spawn } from 'node:child_process';
import { existsSync, readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { dirname, join, resolve } from 'node:path';
import { Command, InvalidArgumentError } from 'commander';
import { parse, stringify } from 'smol-toml';
import {
  START_DEADLINE_S,
  FAILED_BELOW,
  largestMayBeLate,
  leastServed,
  servedOfAims,
  servedOfReport,
  teamsOfReport,
  LOW_BELOW,
} from './served.mjs';

const wholeNumber = (text) => {
  const value = Number(text);
  if (!Number.isInteger(value) || value < 1)
    throw new InvalidArgumentError('must be an integer of at least 1');
  return value;
};
const cli = new Command()
  .name('regress')
  .description('Runs the regression days and compares their scores with the base scores')
  .argument('<bench>', "path of the operators' bench program")
  .option('--base <file>', 'file with the base scores', join(import.meta.dirname, 'regress.toml'))
  .option('--sites <names...>', 'only sites whose name contains one of these texts')
  .option('--full', 'run all standard days instead of the two hardest')
  .option('--hunt <days>', 'then run this number of days with other random seeds on each site', wholeNumber)
  .option('--jobs <n>', 'number of days to run concurrently', wholeNumber)
  .option('--why <text>', "reason that is recorded in the bench's journal", 'regression')
  .option('--read <ids...>', 'run nothing: compare these journal entries')
  .option(
    '--reports <files...>',
    'run nothing: print the served fractions of each class from reports that runs wrote with --report',
  )
  .option('--take', 'then write the scores of these runs as the new base scores')
  .parse();
const options = cli.opts();

/** Prints the served fractions of a report's classes and teams. Returns whether one of them failed. */
const printReport = (report) => {
  let failed = false;
  const printGroup = (name, fractions, text, remark) => {
    const least = Math.min(...Object.values(fractions));
    failed ||= least < FAILED_BELOW;
    const mark = least < FAILED_BELOW ? ' FAILED' : least < LOW_BELOW ? ' low' : '';
    process.stdout.write(
      `${report.scenario} ${report.machines} machines, ${name}: ${text}${mark}${remark}\n`,
    );
  };
  for (const served of servedOfReport(report)) {
    const { name, jobs, started, completed, startedInTime, longestWaitS } = served;
    printGroup(
      name,
      { started, completed, startedInTime },
      `${jobs} jobs, started ${started.toFixed(3)}, ended ${completed.toFixed(3)}, ` +
        `begun within ${START_DEADLINE_S} s ${startedInTime.toFixed(3)}, longest wait ${longestWaitS.toFixed(0)} s`,
      largestMayBeLate(served) ? ', its largest may be among the late' : '',
    );
  }
  for (const { name, jobs, started } of teamsOfReport(report))
    printGroup(`team ${name}`, { started }, `${jobs} jobs, started ${started.toFixed(3)}`, '');
  return failed;
};

/** Required fields of a site in the base file, with their types. */
const SITE_FIELDS = { name: 'string', file: 'string', score: 'number', days: 'object' };

/**
 * Reads the base file. `drop`: the largest allowed drop of a score. Each `[[site]]` has a name, a file relative to `root`, a
 * score, and scores by day.
 */
const readBase = (file) => {
  const fail = (reason) => cli.error(`${file}: ${reason}`, { exitCode: 2 });
  let base;
  try {
    base = parse(readFileSync(file, 'utf8'));
  } catch (error) {
    fail(error.message.split('\n')[0]);
  }
  if (typeof base.drop !== 'number' || typeof base.root !== 'string')
    fail('the fields drop (a number) and root (a string) are required');
  for (const site of base.site ?? [])
    for (const [field, type] of Object.entries(SITE_FIELDS))
      if (typeof site[field] !== type) fail(`site ${site.name ?? '?'}: ${field} must be a ${type}`);
  return base;
};

/**
 * Returns the path of a site's file. `root` is looked up in the folder of the bench and then in each folder above it.
 */
const siteFile = (bench, root, { file }) => {
  let folder = dirname(bench);
  while (!existsSync(join(folder, root)) && dirname(folder) !== folder) folder = dirname(folder);
  return join(folder, root, file);
};

const journalFiles = () =>
  existsSync('journal') ? readdirSync('journal').filter((file) => file.endsWith('.json')) : [];

/** Runs the bench until it exits. The promise resolves whatever its exit code is. */
const runBench = (bench, args) =>
  new Promise((resolveExit) => {
    const child = spawn(bench, args, { stdio: ['ignore', 'inherit', 'inherit'] });
    child.on('error', (error) => cli.error(`${bench}: ${error.message}`, { exitCode: 2 }));
    child.on('exit', (code) => resolveExit(code));
  });

/** Runs the days of the sites, and with `--hunt` further days. */
const runSites = async (bench, root, sites) => {
  const jobs = options.jobs ? ['--jobs', String(options.jobs)] : [];
  const why = ['--why', options.why];
  const files = sites.map((site) => siteFile(bench, root, site));
  await runBench(bench, ['score', ...files, ...(options.full ? [] : ['--quick']), ...jobs, ...why]);
  if (options.hunt)
    for (const file of files)
      await runBench(bench, ['hunt', file, '--days', String(options.hunt), ...jobs, ...why]);
};

/** Returns the journal entries to compare: those that `--read` names, or those that the bench writes in this run. */
const entriesToCompare = async (bench, root, sites) => {
  const earlier = new Set(journalFiles());
  if (!options.read) await runSites(bench, root, sites);
  return journalFiles()
    .filter((file) => (options.read ? options.read.some((id) => file.includes(id)) : !earlier.has(file)))
    .map((file) => JSON.parse(readFileSync(join('journal', file), 'utf8')))
    .filter(({ cmd }) => cmd === 'score' || cmd === 'hunt');
};

/** Returns the processor seconds of a day; null: the bench did not record them, or the day exceeded its limit. */
const cpuSeconds = ({ spent }) =>
  spent
    ? Object.entries(spent).reduce(
        (sum, [name, amount]) => sum + (name !== 'turns' && Array.isArray(amount) ? amount[0] : 0),
        0,
      )
    : null;

const mean = (list) => list.reduce((sum, value) => sum + value, 0) / list.length;

/** Returns the least served class over all days of an entry; undefined: no day has figures of classes. */
const leastServedOf = ({ days }) =>
  days
    .flatMap(({ name: day, aims }) => {
      const least = leastServed(servedOfAims(aims));
      return least === null ? [] : [{ day, ...least }];
    })
    .sort((a, b) => a.fraction - b.fraction)[0];

/** Returns the violations and faults of an entry's days, each with the name of the day. */
const violationsOf = ({ days }, least) => [
  ...days.flatMap(({ name, rules, fault }) => [
    ...Object.keys(rules ?? {}).map((rule) => `${name}: ${rule}`),
    ...(fault ? [`${name}: ${fault.slice(0, 60)}`] : []),
  ]),
  // Served fractions of classes, teams and largest jobs that the bench itself recorded. Older entries do not have them.
  ...days.flatMap(({ name, served }) =>
    (served ?? []).flatMap(([group, , fraction]) =>
      fraction < FAILED_BELOW ? [`${name}: ${group} ${fraction.toFixed(2)} served`] : [],
    ),
  ),
  ...(least !== undefined && least.fraction < FAILED_BELOW
    ? [`${least.day}: ${least.name} less than half served`]
    : []),
];

/**
 * Returns the base score and the present score of a site. If only some of its days were run, both are means over these days,
 * because the site's own score is that of all days.
 */
const scoresOf = (site, { cmd, days: runDays, score }) => {
  const days = runDays.filter(({ name }) => site.days[name] !== undefined);
  const complete =
    cmd === 'score' && Object.keys(site.days).every((name) => days.some((day) => day.name === name));
  if (complete) return { days, complete, baseScore: site.score, now: score };
  if (days.length === 0) return { days, complete, baseScore: null, now: null };
  return {
    days,
    complete,
    baseScore: mean(days.map(({ name }) => site.days[name])),
    now: mean(days.map((day) => day.score)),
  };
};

/** Formats the processor time of the heaviest day; a day without a figure counts as the heaviest. */
const heaviestCell = ({ days }) => {
  const heaviest = [...days].sort((a, b) => (cpuSeconds(b) ?? 1e9) - (cpuSeconds(a) ?? 1e9))[0];
  if (!heaviest) return '-';
  const seconds = cpuSeconds(heaviest);
  return `${seconds === null ? 'over' : Math.round(seconds)} s ${heaviest.name}`;
};

const leastCell = (least) =>
  least === undefined
    ? '-'
    : `${least.fraction.toFixed(2)}${least.fraction < LOW_BELOW ? ' LOW' : ''} ${least.name}, ${least.day}`;

const differenceCell = (baseScore, now, drop) =>
  baseScore === null
    ? '-'
    : `${now < baseScore ? '' : '+'}${(now - baseScore).toFixed(3)}${drop ? ' DROP' : ''}`;

/** Returns a line of the table, and whether it fails the regression. With `--take`, the scores of the entry become the base scores. */
const compareEntry = (site, entry, allowedDrop) => {
  const { days, complete, baseScore, now } = scoresOf(site, entry);
  const least = leastServedOf(entry);
  const violations = violationsOf(entry, least);
  const drop = entry.cmd === 'score' && baseScore !== null && now < baseScore - allowedDrop;
  const dayList = complete ? 'full' : days.map(({ name }) => name).join('+');
  const cells = [
    site.name,
    entry.cmd === 'hunt' ? 'hunt' : dayList,
    baseScore?.toFixed(3) ?? '-',
    now?.toFixed(3) ?? '-',
    differenceCell(baseScore, now, drop),
    heaviestCell(entry),
    leastCell(least),
    violations.join('; ') || 'none',
  ];
  if (options.take && complete) {
    site.score = entry.score;
    site.days = Object.fromEntries(days.map(({ name, score }) => [name, score]));
  }
  return { cells, failed: violations.length > 0 || drop };
};

const HEADINGS = ['site', 'days', 'base', 'now', 'difference', 'heaviest day', 'least served', 'broken'];

const printTable = (rows) => {
  const widths = HEADINGS.map((name, i) => Math.max(name.length, ...rows.map((cells) => cells[i].length)));
  for (const cells of [HEADINGS, ...rows])
    process.stdout.write(
      `${cells
        .map((cell, i) => cell.padEnd(widths[i]))
        .join('  ')
        .trimEnd()}\n`,
    );
};

/** Writes the base file. The comment at its head is kept. */
const writeBase = (file, base) => {
  const headComment = /^(#.*\n)*/.exec(readFileSync(file, 'utf8'))[0];
  writeFileSync(file, `${headComment}${stringify(base)}\n`);
};

/** Runs the regression or reads its journal entries, and prints the comparison. Returns whether the regression failed. */
const regress = async (bench) => {
  const base = readBase(options.base);
  const sites = base.site.filter(({ name }) => options.sites?.some((text) => name.includes(text)) ?? true);
  if (sites.length === 0) cli.error('no site in the base file matches --sites', { exitCode: 2 });
  const entries = await entriesToCompare(bench, base.root, sites);
  const lines = sites.flatMap((site) =>
    entries.filter((entry) => entry.site === site.name).map((entry) => compareEntry(site, entry, base.drop)),
  );
  printTable(lines.map(({ cells }) => cells));
  if (entries.length === 0) process.stdout.write('the bench wrote no journal entry\n');
  if (options.take) writeBase(options.base, base);
  return entries.length === 0 || lines.some(({ failed }) => failed);
};

const reportsFailed = () =>
  options.reports.map((file) => printReport(JSON.parse(readFileSync(file, 'utf8')))).some((failed) => failed);

const failed = options.reports ? reportsFailed() : await regress(resolve(cli.args[0]));
process.exit(failed ? 1 : 0);
