/** What a run of losses calls a violation: silence outside faults, a task on two machines, an attempt that is used twice. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { AnswerWatch } from '../src/losses/answer-watch.js';
import { AttemptHistory } from '../src/losses/attempt-history.js';
import type { WorkerEvent } from '../src/model.js';

const event = (machine: string, attempt: number, what: 'ordered' | 'completed'): WorkerEvent => ({
  job: 'job-1',
  task: 0,
  attempt,
  machine,
  at: 0,
  ...(what === 'ordered' ? { kind: 'ordered' } : { kind: 'left', completed: true }),
});

test('a silence longer than allowed is told once, and not while a fault lasts', () => {
  const watch = new AnswerWatch(0);
  assert.equal(watch.polled('job-1', false), null, 'its silence begins here');
  const wait = performance.now() + 5;
  while (performance.now() < wait);
  assert.equal(watch.polled('job-2', true), null);
  assert.match(watch.polled('job-1', false) ?? '', /^job-1: no answer for 0 s$/);
  assert.ok(watch.longestS >= 0.005);
  watch.faultLasts(60);
  assert.equal(watch.polled('job-1', false), null, 'a fault lasts');
});

test('a task on two machines at once and an attempt that two machines used are violations', () => {
  const holding: string[] = [];
  const history = new AttemptHistory(() => holding);
  history.take(event('vm-1', 1, 'ordered'));
  history.take(event('vm-1', 1, 'ordered'));
  assert.deepEqual(history.violations, [], 'the same machine may be told again');
  holding.push('vm-1');
  history.take(event('vm-2', 2, 'ordered'));
  assert.deepEqual(history.violations, ['job-1/0 on vm-1 and vm-2']);
  holding.length = 0;
  history.take(event('vm-2', 1, 'ordered'));
  assert.deepEqual(history.violations.slice(1), ['job-1/0 attempt 1 twice']);
});

test('a task that is completed twice is counted, not a violation', () => {
  const history = new AttemptHistory(() => []);
  history.take(event('vm-1', 1, 'completed'));
  assert.equal(history.completedAgain, 0);
  history.take(event('vm-2', 2, 'completed'));
  assert.equal(history.completedAgain, 1);
  assert.deepEqual(history.violations, []);
});
