/**
 * Tests of the command `loans` on keys of the state service: log entries that add and repay loans are applied, and the team of a
 * lender that is a finished job is shown as unknown.
 */
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

const submittedAt = Date.UTC(2026, 10, 3, 9, 14, 2) * 1000;
const taker = job('job-1', {
  shape: 'service',
  gpus: 1,
  tasks: 4,
  team: 'search',
  submitted: submittedAt as never,
});
taker.loans.set('job-3', { gpus: 1500, tasks: 3, since: submittedAt as never });
const lender = job('job-2', { gpus: 1, tasks: 4, team: 'vision' });
const jobChanges: Record<string, JobChange> = {
  'job-1': {
    lend: [{ lender: 'job-2', gpus: 4000, tasks: 4 }],
    repay: [{ lender: 'job-3', gpus: 500, tasks: 1 }],
  },
  'job-2': { preemptedForServices: 4 },
};
const entries = [
  ...[taker, lender].map((loanJob) => ({
    key: activeJobKey(loanJob.spec.id),
    value: encodeJob(loanJob, 0),
    revision: 1,
  })),
  {
    key: logEntryKey(1),
    value: encodeLogEntry(new Map(Object.entries(jobChanges)), {
      ...NO_HEADER,
      at: (submittedAt + 5e6) as never,
    }),
    revision: 2,
  },
];

/** Runs `loans` with the arguments and returns the lines that it prints. */
const runLoans = async (...args: string[]): Promise<string[]> => {
  const lines: string[] = [];
  const store = {
    page: (prefix: string) =>
      Effect.succeed({
        entries: entries.filter((entry) => entry.key.startsWith(prefix)),
        more: false,
        revision: 2,
      }),
  };
  const io = {
    print: (line: string) => void lines.push(line),
    open: () => Effect.succeed({ store: store as unknown as Store }),
    run: (command: Effect.Effect<void, never>) => Effect.runPromise(command),
  };
  const cli = new Command();
  registerLoans(cli, io as unknown as Io);
  await cli.parseAsync(['node', 'operate', 'loans', ...args]);
  return lines;
};

test('loans lists all loans oldest first, or only those of a team', async () => {
  assert.deepEqual(
    (await runLoans()).slice(1).map((line) => line.split(/\s+/)),
    [
      ['job-1', 'search', 'job-3', '-', '1', '2', '2026-11-03T09:14:02.000Z'],
      ['job-1', 'search', 'job-2', 'vision', '4', '4', '2026-11-03T09:14:07.000Z'],
    ],
  );
  const rows = JSON.parse((await runLoans('--output', 'json', '--team', 'vision'))[0]!) as {
    lender: string;
  }[];
  assert.deepEqual(
    rows.map((row) => row.lender),
    ['job-2'],
  );
});
