/** `loans` over a store's keys: what records add and take is in it, and a lender that is over is named as such. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Command } from 'commander';
import { Effect } from 'effect';
import { encodeJob, encodeLogEntry } from '@lilacvalve/controller/jobs/codec';
import { activeJobKey, logEntryKey } from '@lilacvalve/controller/jobs/keys';
import { type JobChange, NO_HEADER } from '@lilacvalve/controller/jobs/model';
import { job } from '@lilacvalve/controller/support/job';
import type { Io, Store } from '../src/io.js';
import { registerLoans } from '../src/loans.js';

const at = Date.UTC(2026, 10, 3, 9, 14, 2) * 1000;
const taker = job('job-1', { shape: 'service', gpus: 1, tasks: 4, team: 'search', submitted: at as never });
taker.loans.set('job-3', { gpus: 1500, tasks: 3, since: at as never });
const lender = job('job-2', { gpus: 1, tasks: 4, team: 'vision' });
const change: Record<string, JobChange> = {
  'job-1': {
    lend: [{ lender: 'job-2', gpus: 4000, tasks: 4 }],
    repay: [{ lender: 'job-3', gpus: 500, tasks: 1 }],
  },
  'job-2': { preemptedForServices: 4 },
};
const entries = [
  ...[taker, lender].map((j) => ({ key: activeJobKey(j.spec.id), value: encodeJob(j, 0), revision: 1 })),
  {
    key: logEntryKey(1),
    value: encodeLogEntry(new Map(Object.entries(change)), { ...NO_HEADER, at: (at + 5e6) as never }),
    revision: 2,
  },
];

const said = async (...args: string[]): Promise<string[]> => {
  const lines: string[] = [];
  const store = {
    page: (prefix: string) =>
      Effect.succeed({ entries: entries.filter((e) => e.key.startsWith(prefix)), more: false, revision: 2 }),
  };
  const io = {
    print: (l: string) => void lines.push(l),
    open: () => Effect.succeed({ store: store as unknown as Store }),
    run: (work: Effect.Effect<void, never>) => Effect.runPromise(work),
  };
  const cli = new Command();
  registerLoans(cli, io as unknown as Io);
  await cli.parseAsync(['node', 'operate', 'loans', ...args]);
  return lines;
};

test('loans are listed oldest first, whole or by team', async () => {
  assert.deepEqual(
    (await said()).slice(1).map((l) => l.split(/\s+/)),
    [
      ['job-1', 'search', 'job-3', '-', '1', '2', '2026-11-03T09:14:02.000Z'],
      ['job-1', 'search', 'job-2', 'vision', '4', '4', '2026-11-03T09:14:07.000Z'],
    ],
  );
  const rows = JSON.parse((await said('--output', 'json', '--team', 'vision'))[0]!) as { lender: string }[];
  assert.deepEqual(
    rows.map((r) => r.lender),
    ['job-2'],
  );
});
