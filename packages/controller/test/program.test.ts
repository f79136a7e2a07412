/** The settings parser, the built program's command line, and the codecs of ranges, jobs and log entries. */
import assert from 'node:assert/strict';
import type { Micros } from '@lilacvalve/runtime/micros';
import { spawn, spawnSync } from 'node:child_process';
import { readFileSync, writeFileSync, mkdtempSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { Either } from 'effect';
import fc from 'fast-check';
import { decodeRanges, encodeRanges } from '../src/jobs/ranges.js';
import { decodeJob, decodeLogEntry, encodeJob, encodeLogEntry } from '../src/jobs/codec.js';
import { parseSettings } from '../src/settings/settings.js';

const FIXTURE = 'packages/controller/test/fixtures/node.toml';
const text = readFileSync(FIXTURE, 'utf8');

test('settings: unknown fields are ignored, durations become microseconds, errors name the field', () => {
  const settings = Either.getOrThrow(parseSettings(text));
  assert.equal(settings.workers.lease, 12_000_000);
  assert.equal(settings.state.valueBytes, 16_384);
  const cases: [string, string, RegExp][] = [
    ['label = "node-0"\n', '', /^label: .*missing/],
    ['lease_s = 12.0', 'lease_s = "long"', /^cluster\.workers\.lease_s: /],
    ['listen = "127.0.0.1:0"', 'listen = "here"', /^listen: must be IPv4:port/],
    ['txn_ops = 20', 'txn_ops = 0', /^cluster\.state\.txn_ops: /],
    ['[cluster]', '[cluster', /^not TOML: /],
  ];
  for (const [from, to, expectedError] of cases) {
    const parsed = parseSettings(text.replace(from, to));
    assert.ok(Either.isLeft(parsed), to);
    assert.match(parsed.left, expectedError);
  }
});

test('the built program prints help and version, checks settings, and exits with one line for invalid settings', () => {
  const run = (...args: string[]) => spawnSync('node', ['target/main.cjs', ...args], { encoding: 'utf8' });
  assert.match(run('--help').stdout, /--config <file>/);
  assert.equal(
    run('--version').stdout.trim(),
    (JSON.parse(readFileSync('package.json', 'utf8')) as { version: string }).version,
  );
  assert.equal(run('--check', '--config', FIXTURE).status, 0);
  const invalidFile = join(mkdtempSync(join(tmpdir(), 'lilacvalve-')), 'bad.toml');
  writeFileSync(invalidFile, text.replace('rps = 100.0', ''));
  const result = run('--config', invalidFile);
  assert.equal(result.status, 2);
  assert.match(result.stderr, /^settings: cluster\.state\.rps: .*\n$/);
});

test('the built program starts, listens and exits on SIGTERM', async () => {
  const child = spawn('node', ['target/main.cjs', '--config', FIXTURE], {
    env: { ...process.env, LOG_LEVEL: 'info' },
  });
  let log = '';
  await new Promise<void>((resolve, reject) => {
    child.stderr.on('data', (chunk: Buffer) => {
      log += chunk.toString();
      if (log.includes('listening')) resolve();
    });
    child.on('exit', () => reject(new Error(`the program exited: ${log}`)));
  });
  child.removeAllListeners('exit');
  const code = await new Promise<number | null>((resolve) => {
    child.on('exit', resolve);
    child.kill('SIGTERM');
  });
  assert.notEqual(code, null);
  assert.match(log, /info listening node=node-0/);
});

test('ranges, jobs and log entries are unchanged after encoding and decoding', () => {
  fc.assert(
    fc.property(fc.uniqueArray(fc.nat(500)), (numbers) => {
      assert.deepEqual(
        decodeRanges(encodeRanges(numbers)),
        [...numbers].sort((left, right) => left - right),
      );
    }),
    { seed: 3 },
  );
  const spec = {
    id: 'job-1',
    jobClass: 'c',
    team: 't',
    shape: 'array' as const,
    urgency: 1 as const,
    tasks: 9,
    cpus: 1.5,
    gpus: 0,
    memGb: 2,
    image: 'i',
    imageGb: 1,
    types: ['x'],
    zone: null,
    oneZone: false,
    spread: true,
    spot: true,
    estimate: 5 as never,
    checkpoint: 6 as never,
    save: 7 as never,
    deadline: null,
    submitted: 8 as never,
    cutoffBinding: null,
  };
  const job = {
    spec,
    cancelled: true,
    attempt: 4,
    completed: new Set([0, 1]),
    placed: new Map([
      [2, { task: 2, attempt: 3, machine: 'm', since: 0 as Micros }],
      [5, { task: 5, attempt: 4, machine: 'n', since: 1_000_008 as Micros }],
    ]),
    failedOn: new Set(['k', 'l']),
    loans: new Map([['job-7', { gpus: 1500, tasks: 3, since: 77 as Micros }]]),
    preemptedForServices: 2,
    revision: 11,
    compactedTo: 6,
    lastSequence: 6,
  };
  assert.deepEqual(decodeJob('job-1', JSON.parse(JSON.stringify(encodeJob(job, 6))), 11), job);
  const us = [5, 0, 3, 0, 0, 0, 0];
  const row = { group: ['red', 'x', 'c8-spot'], shape: [1500, 0, 2000], rate: 400_000, us } as const;
  const bound = { room: [8000, 0, 32_000], shut: false } as const;
  const head = { at: 77 as Micros, calendar: 4, usage: { rows: [row], closes: 60 as Micros, bound } };
  const jobs = new Map([
    [
      'job-1',
      {
        completed: [1, 2],
        exited: [5],
        failed: [5],
        start: { attempt: 7, on: new Map([['m', [3, 4]]]) },
        lend: [{ lender: 'job-2', gpus: 2500, tasks: 5 }],
        repay: [{ lender: 'job-3', gpus: 0, tasks: 1 }],
        preemptedForServices: 2,
      },
    ],
  ]);
  assert.deepEqual(decodeLogEntry(9, JSON.parse(JSON.stringify(encodeLogEntry(jobs, head))), 12), {
    sequence: 9,
    revision: 12,
    head: { ...head, usage: { ...head.usage, rows: [{ ...row, us: [5, 0, 3] }] } },
    jobs,
  });
});
