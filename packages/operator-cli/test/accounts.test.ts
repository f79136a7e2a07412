/** Reports and `verify`, over a store as controllers leave it. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Micros } from '@lilacvalve/runtime/micros';
import { encodeAccounts } from '@lilacvalve/controller/accounts/codec';
import { fold } from '@lilacvalve/controller/accounts/fold';
import { openAt } from '@lilacvalve/controller/accounts/ledger';
import { type Accounts, NO_ACCOUNTS, type Rows } from '@lilacvalve/controller/accounts/model';
import { encodePage, joinPages, type Page, pageKey } from '@lilacvalve/controller/accounts/pages';
import { Phases } from '@lilacvalve/controller/accounts/phases';
import { joinShares } from '@lilacvalve/controller/accounts/share';
import { Spending } from '@lilacvalve/controller/accounts/spent';
import { JobState } from '@lilacvalve/controller/jobs/job-state';
import { encodeJob, encodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { accountsKey, activeJobKey, logEntryKey } from '@lilacvalve/controller/jobs/keys';
import { job } from '@lilacvalve/controller/support/job';
import { Luck } from '@lilacvalve/controller/support/random-source';
import { Either } from 'effect';
import { parquetReadObjects } from 'hyparquet';
import { csv, lines, parquet } from '../src/accounts/command.js';
import { EACH, readDesks } from '../src/accounts/desks.js';
import { readOf } from '../src/accounts/read.js';
import { BY, fieldsOf, placed, reportOf } from '../src/accounts/report.js';
import { verify } from '../src/accounts/verify.js';

type Entry = { readonly key: string; readonly value: unknown; readonly stamp: number };
const MINUTE = 60e6;

/** A seeded history of starts and ends, and what is in the store after it; `truth`: CPU time placed, by team. */
const history = (seed: number) => {
  const luck = new Luck(seed);
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
    const open: Rows = closes === null ? new Map() : openAt(jobState, closes, () => null, new Map());
    const j = jobs[luck.int(jobs.length)]!;
    const books = { phases: new Phases(), kindOf: () => null, types: new Map(), lent: () => false, reignFrom: 0 as Micros, day: (t: Micros) => t }; // prettier-ignore
    const spending = new Spending(books, at as Micros);
    const gone = [...j.placed.keys()].filter(() => luck.chance(0.5));
    spending.add(j, gone, 'gone');
    for (const t of gone) {
      const cpu = BigInt(at - j.placed.get(t)!.since) * BigInt(j.spec.cpus * 1000);
      truth.set(j.spec.team, (truth.get(j.spec.team) ?? 0n) + cpu);
      j.placed.delete(t);
    }
    const tasks = [luck.int(20), 20 + luck.int(20)].filter((t) => !j.placed.has(t));
    for (const task of tasks) j.placed.set(task, { task, attempt: seq, machine: 'm', since: at as Micros });
    const head = { at: at as Micros, calendar: 0, spent: { rows: spending.all(), closes, bound: null } };
    accounts = fold(accounts, seq, head.at, head.spent);
    if (closes !== null) {
      const [p] = accounts.pending;
      // Now and then the leader ends before it has said what stood open.
      const known = luck.chance(0.7);
      const shares = joinShares([['pay', 'score', 60_000, 24e9, 6e9, 0, 18e9]]);
      pages.push({ from: p!.from, to: p!.to, booked: p!.rows, open: known ? open : null, shares });
      accounts = { ...accounts, pending: [] };
    }
    const changes = new Map([[j.spec.id, { gone, start: { attempt: seq, on: new Map([['m', tasks]]) } }]]);
    if (seq > 50) entries.push({ key: logEntryKey(seq), value: encodeLogEntry(changes, head), stamp: seq });
    if (seq === 55)
      encodeAccounts(accounts, 14_000).forEach((value, n) =>
        entries.push({ key: accountsKey(n), value, stamp: seq }),
      );
  }
  // Pages of after the checkpoint are not written yet.
  for (const j of jobs) {
    entries.push({ key: activeJobKey(j.spec.id), value: encodeJob(j, 60), stamp: 61 });
    for (const p of j.placed.values()) {
      const cpu = BigInt(at - p.since) * BigInt(j.spec.cpus * 1000);
      truth.set(j.spec.team, (truth.get(j.spec.team) ?? 0n) + cpu);
    }
  }
  return { entries, pages, truth };
};

const stored = (pages: readonly Page[], level: 'm' | 'h' = 'm'): Entry[] =>
  pages.flatMap((p) =>
    encodePage(p, 16_384).map((value, n) => ({ key: pageKey(level, p.to, n), value, stamp: 62 })),
  );
const reading = (entries: readonly Entry[]) => {
  const wire = JSON.parse(JSON.stringify(entries)) as Entry[];
  const jobState = new JobState();
  jobState.load(wire, 70);
  return readOf(jobState, wire);
};
const written = (seed: number) => {
  const h = history(seed);
  const all = reading([...h.entries, ...stored(h.pages)]);
  return { ...h, all, upTo: all.accounts.closed };
};

test('every way to divide a report gives the same sum, which is the time placed', () => {
  for (const seed of [1, 2, 3, 4]) {
    const { all, truth } = written(seed);
    assert.deepEqual(verify(all), { wrong: [], notes: [] });
    const want = [...truth.values()].reduce((a, b) => a + b, 0n);
    for (const by of BY) {
      const r = reportOf(all, by, Number.NEGATIVE_INFINITY, Number.POSITIVE_INFINITY, EACH);
      assert.equal(
        r.lines.reduce((n, l) => n + placed(l, 'cpus'), 0n),
        want,
        by,
      );
      if (by === 'team')
        assert.deepEqual(
          new Map(r.lines.map((l) => [l.name, placed(l, 'cpus')])),
          new Map([...truth].sort()),
        );
    }
    // Cut in two at any page, nothing is there twice or missing.
    const cut = all.pages[Math.floor(all.pages.length / 2)]!.to;
    const parts = [reportOf(all, 'team', 0, cut, EACH), reportOf(all, 'team', cut, 9e18, EACH)];
    assert.equal(
      parts.flatMap((p) => p.lines).reduce((n, l) => n + placed(l, 'cpus'), 0n),
      want,
    );
  }
});

test('minutes joined to an hour say the same; a lost, damaged or doubled page is found', () => {
  const { entries, pages, all } = written(5);
  const report = (r: typeof all) => reportOf(r, 'class', 0, 9e18, EACH).lines.map((l) => fieldsOf(l, []));
  const half = Math.floor(pages.length / 2);
  const joined = [...stored([joinPages(pages.slice(0, half))], 'h'), ...stored(pages.slice(half))];
  assert.deepEqual(report(reading([...entries, ...joined])), report(all));
  // The hour is there and its minutes are not deleted yet.
  const both = reading([...entries, ...joined, ...stored(pages)]);
  assert.deepEqual(report(both), report(all));
  assert.deepEqual(verify(both).wrong, []);
  const less = reading([...entries, ...stored(pages.filter((_, i) => i !== 2))]);
  assert.match(verify(less).wrong.join('\n'), /pages lack what the sums have[^]*no page from/);
  const bad = stored(pages).map((e, i) => (i === 3 ? { ...e, value: { c: 7 } } : e));
  assert.equal(verify(reading([...entries, ...bad])).wrong.length, 2);
  const other = pages.map((p, i) => (i === 2 ? { ...p, booked: new Map([...p.booked].slice(1)) } : p));
  assert.match(verify(reading([...entries, ...stored(other)])).wrong.join(), /pages lack/);
  // A record that is gone is a gap, and said so.
  const gap = reading([...entries.filter((e) => e.key !== logEntryKey(58)), ...stored(pages)]);
  assert.match(
    verify(gap).notes.join(),
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
    const r = readDesks(text);
    assert.ok(Either.isLeft(r) && what.test(r.left), Either.isLeft(r) ? r.left : text);
  }
});

test('table, CSV and parquet read back to what the report says', async () => {
  const { all } = written(7);
  const report = reportOf(all, 'desk', 0, 9e18, EACH);
  const fields = report.lines.map((l) => fieldsOf(l, report.lines));
  const [head, ...rows] = csv(report).trim().split('\n');
  assert.deepEqual(
    rows.map((r) => Object.fromEntries(head!.split(',').map((k, i) => [k, r.split(',')[i]]))),
    fields,
  );
  const score = fields.find((f) => f['name'] === 'pay/score')!;
  assert.ok(Number(score['waited_s']) > 0 && Number(score['waited_s']) % 60 === 0);
  assert.deepEqual(
    [score['entitled'], score['had'], score['owed_room']],
    ['0.400000', '0.100000', '0.300000'],
  );
  const data = parquet(report);
  const back = await parquetReadObjects({
    file: data.buffer.slice(data.byteOffset, data.byteOffset + data.length) as ArrayBuffer,
  });
  assert.deepEqual(
    back.map((r) => Object.fromEntries(Object.entries(r).map(([k, v]) => [k, v]))),
    fields.map((f) =>
      Object.fromEntries(
        Object.entries(f).map(([k, v]) => [k, k === 'name' ? v : v === '' ? null : Number(v)]),
      ),
    ),
  );
  assert.equal(lines(report).length, 1 + fields.length);
});
