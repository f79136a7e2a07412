/** How commands end: one line and a stable exit code for each way to fail. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Effect } from 'effect';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { Refused } from '@lilacvalve/controller/state-store/client';
import { checkFile, printNext } from '../src/calendar/file-commands.js';
import { applyFile, retireCalendar } from '../src/calendar/state-commands.js';
import { CommandRefused, failureEnd, InvalidInput, processIo } from '../src/io.js';

const FILE = 'deploy/calendar.example.toml';

test('wrong flags and files are failures with a line that names them, and end with 2', async () => {
  const works = [
    [checkFile(processIo, '/nonexistent', { output: 'table' }), /^cannot read \/nonexistent: ENOENT/],
    [checkFile(processIo, 'deploy/balance.toml', { output: 'table' }), /^deploy\/balance\.toml: /],
    [printNext(processIo, FILE, { output: 'table', most: '0' }), /^--most: a whole number from 1 on$/],
    [printNext(processIo, FILE, { output: 'table', most: '1', after: 'noon' }), /^--after: must be a time/],
    [printNext(processIo, FILE, { output: 'table', most: '1', cutoff: 'x' }), /^--cutoff: the file has no x/],
    [applyFile(processIo, FILE, { expect: '-1' }), /^--expect: a version, or 0 for none$/],
    [applyFile(processIo, FILE, {}), /^--state HOST:PORT or --config FILE is needed$/],
    [applyFile(processIo, FILE, { state: 'here' }), /^--state: must be HOST:PORT, not here$/],
    [retireCalendar(processIo, { version: '0' }), /^--version: a whole number above/],
  ] as const;
  for (const [work, line] of works) {
    const end = failureEnd(await Effect.runPromise(Effect.flip(work)));
    assert.equal(end.status, 2, end.line);
    assert.match(end.line, line);
  }
});

test('each kind of failure has its exit code', () => {
  assert.equal(failureEnd(new InvalidInput({ message: 'x' })).status, 2);
  assert.equal(failureEnd(new CommandRefused({ message: 'x' })).status, 1);
  assert.deepEqual(failureEnd(new NoResponse({ reason: 'timeout' })), {
    line: 'state service: no answer: timeout',
    status: 3,
  });
  assert.equal(failureEnd(new Refused({ status: 400, reason: 'x' })).status, 3);
});
