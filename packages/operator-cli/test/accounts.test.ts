/** Tests of `accounts report` and `accounts verify` on entries of the state service as controllers write them. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Micros } from '@lilacvalve/runtime/micros';
import { encodeAccounts } from '@lilacvalve/controller/accounts/codec';
import { applyToAccounts } from '@lilacvalve/controller/accounts/aggregate';
import { openPlacementsAt } from '@lilacvalve/controller/accounts/ledger';
import { type Accounts, NO_ACCOUNTS, type AmountsByGroup } from '@lilacvalve/controller/accounts/model';
import { encodePage, joinPages, type Page, pageKey } from '@lilacvalve/controller/accounts/pages';
import { PhaseTracker } from '@lilacvalve/controller/accounts/phases';
import { joinShares } from '@lilacvalve/controller/accounts/share';
import { UsageRows } from '@lilacvalve/controller/accounts/usage-rows';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { encodeJob, encodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { accountsKey, activeJobKey, logEntryKey } from '@lilacvalve/controller/jobs/keys';
import { job } from '@lilacvalve/controller/support/job';
import { RandomSource } from '@lilacvalve/controller/support/random-source';
import { Either } from 'effect';
import { parquetReadObjects } from 'hyparquet';
import { csv, parquet, tableLines } from '../src/accounts/command.js';
import { DESK_PER_CLASS, readDesks } from '../src/accounts/desks.js';
import { accountsView } from '../src/accounts/read.js';
import { GROUPINGS, fieldsOf, placed, reportOf } from '../src/accounts/report.js';
import { verifyAccounts } from '../src/accounts/verify.js';

interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}
const MINUTE = 60e6;

/**
 * Simulates seeded starts and exits of tasks. Returns the store entries and pages after them, and `truth`: the placed CPU time by
 * team, which is computed independently of the accounts.
 */
const history = (seed: number) => {
  const random = new RandomSource(seed);
  const jobState = new JobState();
  const entries: Entry[] = [];
  const truth = new Map<string, bigint>();
  const jobs = ['pay', 'risk'].flatMap((team, i) =>
    ['score', 'settle'].map((jobClass, k) =>
      job(`job-${i}${k}`, { team, jobClass, tasks: 40, cpus: 1.5 + k, gpus: k, submitted: 1 as Micros }),
    ),
  );
  for (const placedJob of jobs) jobState.jobs.set(placedJob.spec.id, placedJob);
  let accounts: Accounts = NO_ACCOUNTS;
  const pages: Page[] = [];
  let at = 1_800_000_000_000_000;
  for (let seq = 1; seq <= 60; seq++) {
    at += 1 + random.int(25e6);
    const minute = (at - (at % MINUTE)) as Micros;
    const closes = minute > accounts.closed ? minute : null;
    const open: AmountsByGroup =
      closes === null ? new Map() : openPlacementsAt(jobState, closes, () => null, new Map());
    const chosen = jobs[random.int(jobs.length)]!;
    const context = { phases: new PhaseTracker(), kindOf: () => null, types: new Map(), onLentCapacity: () => false, termFrom: 0 as Micros, dayTimeOf: (time: Micros) => time }; // prettier-ignore
    const usageRows = new UsageRows(context, at as Micros);
    const exited = [...chosen.placed.keys()].filter(() => random.chance(0.5));
    usageRows.add(chosen, exited, 'gone');
    for (const task of exited) {
      const cpuTime = BigInt(at - chosen.placed.get(task)!.since) * BigInt(chosen.spec.cpus * 1000);
      truth.set(chosen.spec.team, (truth.get(chosen.spec.team) ?? 0n) + cpuTime);
      chosen.placed.delete(task);
    }
    const tasks = [random.int(20), 20 + random.int(20)].filter((task) => !chosen.placed.has(task));
    for (const task of tasks)
      chosen.placed.set(task, { task, attempt: seq, machine: 'm', since: at as Micros });
    const head = { at: at as Micros, calendar: 0, usage: { rows: usageRows.all(), closes, bound: null } };
    accounts = applyToAccounts(accounts, seq, head.at, head.usage);
    if (closes !== null) {
      const period = accounts.pending[0]!;
      // In some cases the leader stops before it records the open placements.
      const openKnown = random.chance(0.7);
      const shares = joinShares([['pay', 'score', 60_000, 24e9, 6e9, 0, 18e9]]);
      pages.push({
        from: period.from,
        to: period.to,
        booked: period.rows,
        open: openKnown ? open : null,
        shares,
      });
      accounts = { ...accounts, pending: [] };
    }
    const changes = new Map([
      [chosen.spec.id, { exited, start: { attempt: seq, on: new Map([['m', tasks]]) } }],
    ]);
    if (seq > 50)
      entries.push({ key: logEntryKey(seq), value: encodeLogEntry(changes, head), revision: seq });
    if (seq === 55)
      encodeAccounts(accounts, 14_000).forEach((value, part) =>
        entries.push({ key: accountsKey(part), value, revision: seq }),
      );
  }
  // Pages of periods after the checkpoint are not written yet.
  for (const placed of jobs) {
    entries.push({ key: activeJobKey(placed.spec.id), value: encodeJob(placed, 60), revision: 61 });
    for (const placement of placed.placed.values()) {
      const cpuTime = BigInt(at - placement.since) * BigInt(placed.spec.cpus * 1000);
      truth.set(placed.spec.team, (truth.get(placed.spec.team) ?? 0n) + cpuTime);
    }
  }
  return { entries, pages, truth };
};

/** Store entries of the pages at the level of minutes (`m`) or hours (`h`). */
const pageEntries = (pages: readonly Page[], level: 'm' | 'h' = 'm'): Entry[] =>
  pages.flatMap((page) =>
    encodePage(page, 16_384).map((value, n) => ({ key: pageKey(level, page.to, n), value, revision: 62 })),
  );
/** Builds the view from entries that are passed through JSON, as they are read from the state service. */
const viewOf = (entries: readonly Entry[]) => {
  const decoded = JSON.parse(JSON.stringify(entries)) as Entry[];
  const jobState = new JobState();
  jobState.load(decoded, 70);
  return accountsView(jobState, decoded);
};
const historyWithView = (seed: number) => {
  const generated = history(seed);
  const all = viewOf([...generated.entries, ...pageEntries(generated.pages)]);
  return { ...generated, all, upTo: all.accounts.closed };
};

test('the lines of a report add up to the placed time, for each grouping and for adjacent time intervals', () => {
  for (const seed of [1, 2, 3, 4]) {
    const { all, truth } = historyWithView(seed);
    assert.deepEqual(verifyAccounts(all), { wrong: [], notes: [] });
    const expectedSum = [...truth.values()].reduce((a, b) => a + b, 0n);
    for (const by of GROUPINGS) {
      const report = reportOf(all, by, Number.NEGATIVE_INFINITY, Number.POSITIVE_INFINITY, DESK_PER_CLASS);
      assert.equal(
        report.lines.reduce((sum, line) => sum + placed(line, 'cpus'), 0n),
        expectedSum,
        by,
      );
      if (by === 'team')
        assert.deepEqual(
          new Map(report.lines.map((line) => [line.name, placed(line, 'cpus')])),
          new Map([...truth].sort()),
        );
    }
    // Two reports that meet at the end of a page neither repeat nor omit usage.
    const cut = all.pages[Math.floor(all.pages.length / 2)]!.to;
    const reports = [
      reportOf(all, 'team', 0, cut, DESK_PER_CLASS),
      reportOf(all, 'team', cut, 9e18, DESK_PER_CLASS),
    ];
    assert.equal(
      reports.flatMap((report) => report.lines).reduce((sum, line) => sum + placed(line, 'cpus'), 0n),
      expectedSum,
    );
  }
});

test('joining pages to an hour changes no report; verify detects lost and damaged pages and lost log entries', () => {
  const { entries, pages, all } = historyWithView(5);
  const reportFields = (view: typeof all) =>
    reportOf(view, 'class', 0, 9e18, DESK_PER_CLASS).lines.map((line) => fieldsOf(line, []));
  const half = Math.floor(pages.length / 2);
  const joined = [...pageEntries([joinPages(pages.slice(0, half))], 'h'), ...pageEntries(pages.slice(half))];
  assert.deepEqual(reportFields(viewOf([...entries, ...joined])), reportFields(all));
  // The page of the hour is written, and the pages of its minutes are not deleted yet.
  const overlapping = viewOf([...entries, ...joined, ...pageEntries(pages)]);
  assert.deepEqual(reportFields(overlapping), reportFields(all));
  assert.deepEqual(verifyAccounts(overlapping).wrong, []);
  const withoutPage = viewOf([...entries, ...pageEntries(pages.filter((_, i) => i !== 2))]);
  assert.match(
    verifyAccounts(withoutPage).wrong.join('\n'),
    /pages lack usage that the sums include[^]*no page from/,
  );
  const damaged = pageEntries(pages).map((entry, i) => (i === 3 ? { ...entry, value: { c: 7 } } : entry));
  assert.equal(verifyAccounts(viewOf([...entries, ...damaged])).wrong.length, 2);
  const incomplete = pages.map((page, i) =>
    i === 2 ? { ...page, booked: new Map([...page.booked].slice(1)) } : page,
  );
  assert.match(verifyAccounts(viewOf([...entries, ...pageEntries(incomplete)])).wrong.join(), /pages lack/);
  // A missing log entry is reported as a gap.
  const withGap = viewOf([
    ...entries.filter((entry) => entry.key !== logEntryKey(58)),
    ...pageEntries(pages),
  ]);
  assert.match(
    verifyAccounts(withGap).notes.join(),
    /gap \(records\) from .* log entries 58 to 58: the bound of the error is not known yet/,
  );
});

test('desks group teams and classes; the error for an invalid file names the field', () => {
  const { all } = historyWithView(6);
  const desks = readDesks(
    '[[desk]]\nname = "front"\nteams = ["pay", "risk"]\nclasses = ["score"]\n[[desk]]\nname = "back"\nteams = ["risk"]\nclasses = ["settle"]\n',
  );
  assert.ok(Either.isRight(desks));
  const names = reportOf(all, 'desk', 0, 9e18, desks.right).lines.map((line) => line.name);
  assert.deepEqual(names, ['back', 'front', 'pay/settle']);
  for (const [text, expectedError] of [
    ['[[desk]]\nname = "a"\nteams = []', /teams/],
    ['[[desk]]\nname = "a"\nteams = ["t"]\nclass = ["x"]', /desk\.0\.class/],
    [
      '[[desk]]\nname = "a"\nteams = ["t"]\n[[desk]]\nname = "a"\nteams = ["u"]',
      /desk\[1\]\.name: duplicate desk name a/,
    ],
    [
      '[[desk]]\nname = "a"\nteams = ["t"]\n[[desk]]\nname = "b"\nteams = ["t"]',
      /desk\[1\]: b and a both include work of t/,
    ],
  ] as const) {
    const result = readDesks(text);
    assert.ok(
      Either.isLeft(result) && expectedError.test(result.left),
      Either.isLeft(result) ? result.left : text,
    );
  }
});

test('CSV and Parquet output have the fields of the report, and the table has a line for each', async () => {
  const { all } = historyWithView(7);
  const report = reportOf(all, 'desk', 0, 9e18, DESK_PER_CLASS);
  const fields = report.lines.map((line) => fieldsOf(line, report.lines));
  const [heading, ...rows] = csv(report).trim().split('\n');
  assert.deepEqual(
    rows.map((row) => Object.fromEntries(heading!.split(',').map((name, i) => [name, row.split(',')[i]]))),
    fields,
  );
  const score = fields.find((line) => line.name === 'pay/score')!;
  assert.ok(Number(score.waited_s) > 0 && Number(score.waited_s) % 60 === 0);
  assert.deepEqual([score.entitled, score.had, score.owed_room], ['0.400000', '0.100000', '0.300000']);
  const data = parquet(report);
  const readRows = await parquetReadObjects({
    file: data.buffer.slice(data.byteOffset, data.byteOffset + data.length) as ArrayBuffer,
  });
  assert.deepEqual(
    readRows.map((row) => Object.fromEntries(Object.entries(row).map(([name, value]) => [name, value]))),
    fields.map((row) =>
      Object.fromEntries(
        Object.entries(row).map(([name, value]) => [
          name,
          name === 'name' ? value : value === '' ? null : Number(value),
        ]),
      ),
    ),
  );
  assert.equal(tableLines(report).length, 1 + fields.length);
});
