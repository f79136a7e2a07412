/** Reports and `verify`, over a store as controllers leave it. */
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
import { csv, lines, parquet } from '../src/accounts/command.js';
import { EACH_CLASS, readDesks } from '../src/accounts/desks.js';
import { accountsView } from '../src/accounts/read.js';
import { GROUPINGS, fieldsOf, placed, reportOf } from '../src/accounts/report.js';
import { verifyAccounts } from '../src/accounts/verify.js';

interface Entry {
  readonly key: string;
  readonly value: unknown;
  readonly revision: number;
}
const MINUTE = 60e6;

/** A seeded history of starts and ends, and what is in the store after it; `truth`: CPU time placed, by team. */
const history = (seed: number) => {
  const luck = new RandomSource(seed);
  const jobState = new JobState();
  const entries: Entry[] = [];
  const truth = new Map<string, bigint>();
  const jobs = ['pay', 'risk'].flatMap((team, i) =>
    ['score', 'settle'].map((jobClass, k) =>
      job(`job-${i}${k}`, { team, jobClass, tasks: 40, cpus: 1.5 + k, gpus: k, submitted: 1 as Micros }),
    ),
  );
  for (const j of jobs) jobState.jobs.set(j.spec.id, j);
  let accounts: Accounts = NO_ACCOUNTS;
  const pages: Page[] = [];
  let at = 1_800_000_000_000_000;
  for (let seq = 1; seq <= 60; seq++) {
    at += 1 + luck.int(25e6);
    const minute = (at - (at % MINUTE)) as Micros;
    const closes = minute > accounts.closed ? minute : null;
    const open: AmountsByGroup =
      closes === null ? new Map() : openPlacementsAt(jobState, closes, () => null, new Map());
    const chosen = jobs[luck.int(jobs.length)]!;
    const books = { phases: new PhaseTracker(), kindOf: () => null, types: new Map(), onLentCapacity: () => false, termFrom: 0 as Micros, dayTimeOf: (t: Micros) => t }; // prettier-ignore
    const spending = new UsageRows(books, at as Micros);
    const gone = [...chosen.placed.keys()].filter(() => luck.chance(0.5));
    spending.add(chosen, gone, 'gone');
    for (const task of gone) {
      const cpu = BigInt(at - chosen.placed.get(task)!.since) * BigInt(chosen.spec.cpus * 1000);
      truth.set(chosen.spec.team, (truth.get(chosen.spec.team) ?? 0n) + cpu);
      chosen.placed.delete(task);
    }
    const tasks = [luck.int(20), 20 + luck.int(20)].filter((t) => !chosen.placed.has(t));
    for (const task of tasks)
      chosen.placed.set(task, { task, attempt: seq, machine: 'm', since: at as Micros });
    const head = { at: at as Micros, calendar: 0, usage: { rows: spending.all(), closes, bound: null } };
    accounts = applyToAccounts(accounts, seq, head.at, head.usage);
    if (closes !== null) {
      const period = accounts.pending[0]!;
      // Now and then the leader ends before it has said what stood open.
      const known = luck.chance(0.7);
      const shares = joinShares([['pay', 'score', 60_000, 24e9, 6e9, 0, 18e9]]);
      pages.push({
        from: period.from,
        to: period.to,
        booked: period.rows,
        open: known ? open : null,
        shares,
      });
      accounts = { ...accounts, pending: [] };
    }
    const changes = new Map([
      [chosen.spec.id, { exited: gone, start: { attempt: seq, on: new Map([['m', tasks]]) } }],
    ]);
    if (seq > 50)
      entries.push({ key: logEntryKey(seq), value: encodeLogEntry(changes, head), revision: seq });
    if (seq === 55)
      encodeAccounts(accounts, 14_000).forEach((value, part) =>
        entries.push({ key: accountsKey(part), value, revision: seq }),
      );
  }
  // Pages of after the checkpoint are not written yet.
  for (const placed of jobs) {
    entries.push({ key: activeJobKey(placed.spec.id), value: encodeJob(placed, 60), revision: 61 });
    for (const placement of placed.placed.values()) {
      const cpu = BigInt(at - placement.since) * BigInt(placed.spec.cpus * 1000);
      truth.set(placed.spec.team, (truth.get(placed.spec.team) ?? 0n) + cpu);
    }
  }
  return { entries, pages, truth };
};

const stored = (pages: readonly Page[], level: 'm' | 'h' = 'm'): Entry[] =>
  pages.flatMap((page) =>
    encodePage(page, 16_384).map((value, n) => ({ key: pageKey(level, page.to, n), value, revision: 62 })),
  );
const reading = (entries: readonly Entry[]) => {
  const wire = JSON.parse(JSON.stringify(entries)) as Entry[];
  const jobState = new JobState();
  jobState.load(wire, 70);
  return accountsView(jobState, wire);
};
const written = (seed: number) => {
  const made = history(seed);
  const all = reading([...made.entries, ...stored(made.pages)]);
  return { ...made, all, upTo: all.accounts.closed };
};

test('every way to divide a report gives the same sum, which is the time placed', () => {
  for (const seed of [1, 2, 3, 4]) {
    const { all, truth } = written(seed);
    assert.deepEqual(verifyAccounts(all), { wrong: [], notes: [] });
    const want = [...truth.values()].reduce((a, b) => a + b, 0n);
    for (const by of GROUPINGS) {
      const report = reportOf(all, by, Number.NEGATIVE_INFINITY, Number.POSITIVE_INFINITY, EACH_CLASS);
      assert.equal(
        report.lines.reduce((n, l) => n + placed(l, 'cpus'), 0n),
        want,
        by,
      );
      if (by === 'team')
        assert.deepEqual(
          new Map(report.lines.map((l) => [l.name, placed(l, 'cpus')])),
          new Map([...truth].sort()),
        );
    }
    // Cut in two at any page, nothing is there twice or missing.
    const cut = all.pages[Math.floor(all.pages.length / 2)]!.to;
    const parts = [reportOf(all, 'team', 0, cut, EACH_CLASS), reportOf(all, 'team', cut, 9e18, EACH_CLASS)];
    assert.equal(
      parts.flatMap((p) => p.lines).reduce((n, l) => n + placed(l, 'cpus'), 0n),
      want,
    );
  }
});

test('minutes joined to an hour say the same; a lost, damaged or doubled page is found', () => {
  const { entries, pages, all } = written(5);
  const report = (view: typeof all) =>
    reportOf(view, 'class', 0, 9e18, EACH_CLASS).lines.map((l) => fieldsOf(l, []));
  const half = Math.floor(pages.length / 2);
  const joined = [...stored([joinPages(pages.slice(0, half))], 'h'), ...stored(pages.slice(half))];
  assert.deepEqual(report(reading([...entries, ...joined])), report(all));
  // The hour is there and its minutes are not deleted yet.
  const both = reading([...entries, ...joined, ...stored(pages)]);
  assert.deepEqual(report(both), report(all));
  assert.deepEqual(verifyAccounts(both).wrong, []);
  const less = reading([...entries, ...stored(pages.filter((_, i) => i !== 2))]);
  assert.match(verifyAccounts(less).wrong.join('\n'), /pages lack what the sums have[^]*no page from/);
  const bad = stored(pages).map((e, i) => (i === 3 ? { ...e, value: { c: 7 } } : e));
  assert.equal(verifyAccounts(reading([...entries, ...bad])).wrong.length, 2);
  const other = pages.map((p, i) => (i === 2 ? { ...p, booked: new Map([...p.booked].slice(1)) } : p));
  assert.match(verifyAccounts(reading([...entries, ...stored(other)])).wrong.join(), /pages lack/);
  // A record that is gone is a gap, and said so.
  const gap = reading([...entries.filter((e) => e.key !== logEntryKey(58)), ...stored(pages)]);
  assert.match(
    verifyAccounts(gap).notes.join(),
    /gap \(records\) from .* records 58 to 58: its bound is not known yet/,
  );
});

test('desks name teams and classes; a file that is wrong is refused with its field', () => {
  const { all } = written(6);
  const desks = readDesks(
    '[[desk]]\nname = "front"\nteams = ["pay", "risk"]\nclasses = ["score"]\n[[desk]]\nname = "back"\nteams = ["risk"]\nclasses = ["settle"]\n',
  );
  assert.ok(Either.isRight(desks));
  const names = reportOf(all, 'desk', 0, 9e18, desks.right).lines.map((l) => l.name);
  assert.deepEqual(names, ['back', 'front', 'pay/settle']);
  for (const [text, what] of [
    ['[[desk]]\nname = "a"\nteams = []', /teams/],
    ['[[desk]]\nname = "a"\nteams = ["t"]\nclass = ["x"]', /desk\.0\.class/],
    [
      '[[desk]]\nname = "a"\nteams = ["t"]\n[[desk]]\nname = "a"\nteams = ["u"]',
      /desk\[1\]\.name: a is there twice/,
    ],
    [
      '[[desk]]\nname = "a"\nteams = ["t"]\n[[desk]]\nname = "b"\nteams = ["t"]',
      /desk\[1\]: b and a both have work of t/,
    ],
  ] as const) {
    const read = readDesks(text);
    assert.ok(Either.isLeft(read) && what.test(read.left), Either.isLeft(read) ? read.left : text);
  }
});

test('table, CSV and parquet read back to what the report says', async () => {
  const { all } = written(7);
  const report = reportOf(all, 'desk', 0, 9e18, EACH_CLASS);
  const fields = report.lines.map((l) => fieldsOf(l, report.lines));
  const [head, ...rows] = csv(report).trim().split('\n');
  assert.deepEqual(
    rows.map((r) => Object.fromEntries(head!.split(',').map((k, i) => [k, r.split(',')[i]]))),
    fields,
  );
  const score = fields.find((f) => f.name === 'pay/score')!;
  assert.ok(Number(score.waited_s) > 0 && Number(score.waited_s) % 60 === 0);
  assert.deepEqual([score.entitled, score.had, score.owed_room], ['0.400000', '0.100000', '0.300000']);
  const data = parquet(report);
  const back = await parquetReadObjects({
    file: data.buffer.slice(data.byteOffset, data.byteOffset + data.length) as ArrayBuffer,
  });
  assert.deepEqual(
    back.map((r) => Object.fromEntries(Object.entries(r).map(([k, v]) => [k, v]))),
    fields.map((row) =>
      Object.fromEntries(
        Object.entries(row).map(([k, v]) => [k, k === 'name' ? v : v === '' ? null : Number(v)]),
      ),
    ),
  );
  assert.equal(lines(report).length, 1 + fields.length);
});
