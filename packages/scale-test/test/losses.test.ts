/** Tests which observations the losses test reports as violations. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ResponseWatch } from '../src/losses/answer-watch.js';
import { AttemptHistory } from '../src/losses/attempt-history.js';
import type { WorkerEvent } from '../src/model.js';

const event = (machine: string, attempt: number, kind: 'ordered' | 'completed'): WorkerEvent => ({
  job: 'job-1',
  task: 0,
  attempt,
  machine,
  at: 0,
  ...(kind === 'ordered' ? { kind: 'ordered' } : { kind: 'left', completed: true }),
});

test('a job without a response for longer than allowed is reported once, and not during a fault', () => {
  const watch = new ResponseWatch(0);
  assert.equal(
    watch.recordPoll('job-1', false),
    null,
    'the time without a response begins at the first poll',
  );
  const busyUntil = performance.now() + 5;
  while (performance.now() < busyUntil);
  assert.equal(watch.recordPoll('job-2', true), null);
  assert.match(watch.recordPoll('job-1', false) ?? '', /^job-1: no response for 0 s$/);
  assert.ok(watch.longestUnansweredS >= 0.005);
  watch.extendFault(60);
  assert.equal(watch.recordPoll('job-1', false), null, 'no violation is reported during a fault');
});

test('a task on two machines at once and an attempt ordered on two machines are violations', () => {
  const holdingMachines: string[] = [];
  const history = new AttemptHistory(() => holdingMachines);
  history.recordEvent(event('vm-1', 1, 'ordered'));
  history.recordEvent(event('vm-1', 1, 'ordered'));
  assert.deepEqual(history.violations, [], 'a repeated order to the same machine is allowed');
  holdingMachines.push('vm-1');
  history.recordEvent(event('vm-2', 2, 'ordered'));
  assert.deepEqual(history.violations, ['job-1/0 is on both vm-1 and vm-2']);
  holdingMachines.length = 0;
  history.recordEvent(event('vm-2', 1, 'ordered'));
  assert.deepEqual(history.violations.slice(1), ['job-1/0: attempt 1 was ordered on two machines']);
});

test('a task that is completed twice is counted but is no violation', () => {
  const history = new AttemptHistory(() => []);
  history.recordEvent(event('vm-1', 1, 'completed'));
  assert.equal(history.completedAgain, 0);
  history.recordEvent(event('vm-2', 2, 'completed'));
  assert.equal(history.completedAgain, 1);
  assert.deepEqual(history.violations, []);
});
