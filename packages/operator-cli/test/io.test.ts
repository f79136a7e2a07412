/** Tests of failing commands: each failure prints one line and has a stable exit code. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Effect } from 'effect';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { Refused } from '@lilacvalve/controller/state-store/client';
import { checkFile, printNext } from '../src/calendar/file-commands.js';
import { applyFile, retireCalendar } from '../src/calendar/state-commands.js';
import { CommandRefused, failureExit, InvalidInput, processIo } from '../src/io.js';

const FILE = 'deploy/calendar.example.toml';

test('an invalid flag, argument or file is named in the error line, and the exit code is 2', async () => {
  const failingCommands = [
    [checkFile(processIo, '/nonexistent', { output: 'table' }), /^cannot read \/nonexistent: ENOENT/],
    [checkFile(processIo, 'deploy/balance.toml', { output: 'table' }), /^deploy\/balance\.toml: /],
    [
      printNext(processIo, FILE, { output: 'table', most: '0' }),
      /^--most: must be an integer of at least 1$/,
    ],
    [printNext(processIo, FILE, { output: 'table', most: '1', after: 'noon' }), /^--after: must be a time/],
    [
      printNext(processIo, FILE, { output: 'table', most: '1', cutoff: 'x' }),
      /^--cutoff: the file has no cutoff x$/,
    ],
    [applyFile(processIo, FILE, { expect: '-1' }), /^--expect: must be a version number, or 0 for none$/],
    [applyFile(processIo, FILE, {}), /^--state HOST:PORT or --config FILE is needed$/],
    [applyFile(processIo, FILE, { state: 'here' }), /^--state: must be HOST:PORT, not here$/],
    [
      retireCalendar(processIo, { version: '0' }),
      /^--version: must be an integer higher than the stored version$/,
    ],
  ] as const;
  for (const [command, expectedLine] of failingCommands) {
    const exit = failureExit(await Effect.runPromise(Effect.flip(command)));
    assert.equal(exit.status, 2, exit.line);
    assert.match(exit.line, expectedLine);
  }
});

test('each type of failure has its own exit code', () => {
  assert.equal(failureExit(new InvalidInput({ message: 'x' })).status, 2);
  assert.equal(failureExit(new CommandRefused({ message: 'x' })).status, 1);
  assert.deepEqual(failureExit(new NoResponse({ reason: 'timeout' })), {
    line: 'state service: no response: timeout',
    status: 3,
  });
  assert.equal(failureExit(new Refused({ status: 400, reason: 'x' })).status, 3);
});
