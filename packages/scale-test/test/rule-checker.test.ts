/** Every rule that a scale run checks is seen to be broken when it is. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { EventOrder } from '../src/event-order.js';
import type { JobDescription, MachineDescription, WorkerEvent } from '../src/model.js';
import { parseTaskName, taskName } from '../src/model.js';
import { type RuleName, type ReportedState, RuleChecker } from '../src/rule-checker.js';

const CANCEL_MS = 1000;
const MACHINES: readonly MachineDescription[] = [
  { id: 'm1', kind: 'box', zone: 'a' },
  { id: 'm2', kind: 'box', zone: 'b' },
  { id: 'm3', kind: 'gpu', zone: 'a' },
];
const job = (over: Partial<JobDescription> = {}): JobDescription => ({
  id: 'job-1',
  team: 'red',
  jobClass: 'bulk',
  shape: 'array',
  urgency: 'normal',
  tasks: 3,
  vcpus: 1,
  accelerators: 0,
  memGb: 1,
  image: 'i',
  imageGb: 1,
  kinds: null,
  zone: null,
  samePlace: false,
  scatter: false,
  runMs: 1000,
  saveEveryMs: 0,
  saveTakesMs: 0,
  ...over,
});

class History {
  readonly checker: RuleChecker;
  private at = 0;

  constructor(description: JobDescription) {
    this.checker = new RuleChecker({
      limits: new Map([['red', { vcpus: 4, accelerators: 0 }]]),
      cancelMs: CANCEL_MS,
      machine: (id) => MACHINES.find((m) => m.id === id),
    });
    this.checker.jobSubmitted(description);
  }

  event(kind: 'ordered' | 'started', task: number, machine: string, attempt = 1): this {
    this.checker.handleEvent({ kind, job: 'job-1', task, attempt, machine, at: this.at });
    return this;
  }

  left(task: number, machine: string, completed = true): this {
    this.checker.handleEvent({
      kind: 'left',
      job: 'job-1',
      task,
      attempt: 1,
      machine,
      at: this.at,
      completed,
    });
    return this;
  }

  accepted(status = 201): this {
    this.checker.submissionAnswered('job-1', status);
    return this;
  }

  told(status: number, state?: ReportedState, id = 'job-1'): this {
    this.checker.jobReported(id, status, state, this.at);
    return this;
  }

  cancels(): this {
    this.checker.cancelRequested('job-1');
    return this;
  }

  passes(ms: number): this {
    this.at += ms;
    this.checker.checkCancelled(this.at);
    return this;
  }

  get broken(): RuleName[] {
    return this.checker.violations.map((v) => v.rule);
  }
}

const BREAKS: readonly (readonly [
  RuleName,
  string,
  Partial<JobDescription>,
  (history: History) => History,
])[] = [
  [
    'ran_twice',
    'on two machines',
    {},
    (history) => history.event('started', 0, 'm1').event('started', 0, 'm2'),
  ],
  [
    'attempt_reused',
    'elsewhere',
    {},
    (history) => history.event('ordered', 0, 'm1').event('ordered', 0, 'm2'),
  ],
  [
    'quota',
    'CPUs over the limit',
    { vcpus: 3 },
    (history) => history.event('started', 0, 'm1').event('started', 1, 'm1'),
  ],
  ['wrong_place', 'another type', { kinds: ['gpu'] }, (history) => history.event('started', 0, 'm1')],
  ['wrong_place', 'another zone', { zone: 'b' }, (history) => history.event('started', 0, 'm1')],
  [
    'wrong_place',
    'two zones',
    { samePlace: true },
    (history) => history.event('started', 0, 'm1').event('started', 1, 'm2'),
  ],
  [
    'wrong_place',
    'too many in one zone',
    { scatter: true },
    (history) => history.event('started', 0, 'm1').event('started', 1, 'm1').event('started', 2, 'm3'),
  ],
  [
    'ran_cancelled',
    'still there',
    {},
    (history) =>
      history
        .event('started', 0, 'm1')
        .cancels()
        .told(200, 'aborted')
        .passes(CANCEL_MS + 1),
  ],
  [
    'ran_cancelled',
    'started too late',
    {},
    (history) =>
      history
        .cancels()
        .told(200, 'aborted')
        .passes(CANCEL_MS + 1)
        .event('started', 0, 'm1'),
  ],
  ['forgotten', 'not known', {}, (history) => history.accepted().told(404)],
  ['forgotten', 'refused', {}, (history) => history.accepted().accepted(422)],
  ['invented', 'known', {}, (history) => history.told(200, 'pending', 'job-9')],
  [
    'not_done',
    'done too soon',
    {},
    (history) => history.event('started', 0, 'm1').left(0, 'm1').told(200, 'done'),
  ],
  ['went_back', 'cancelled by nobody', {}, (history) => history.told(200, 'aborted')],
  [
    'went_back',
    'from cancelled',
    {},
    (history) => history.cancels().told(200, 'aborted').told(200, 'running'),
  ],
];

test('each broken rule is seen, and only that', () => {
  for (const [rule, what, over, play] of BREAKS)
    assert.deepEqual(play(new History(job(over))).broken, [rule], `${rule}: ${what}`);
});

test('a history that keeps the rules breaks none', () => {
  const history = new History(job({ scatter: true })).accepted();
  history.event('ordered', 0, 'm1').event('started', 0, 'm1').event('started', 1, 'm2').told(200, 'running');
  history.left(0, 'm1', false).event('ordered', 0, 'm2', 2).event('started', 0, 'm2', 2).left(0, 'm2');
  history.left(1, 'm2').event('started', 2, 'm3').left(2, 'm3').told(200, 'done').told(200, 'done');
  assert.deepEqual(history.broken, []);
  const cancelled = new History(job()).accepted().event('started', 0, 'm1').cancels().told(200, 'aborted');
  cancelled
    .passes(CANCEL_MS - 1)
    .left(0, 'm1', false)
    .passes(CANCEL_MS);
  assert.deepEqual(cancelled.broken, []);
});

test('events are handed on by their times, once none earlier can come', () => {
  const taken: number[] = [];
  const order = new EventOrder((e) => taken.push(e.at));
  const at = (ms: number): WorkerEvent => ({
    kind: 'ordered',
    job: 'j',
    task: 0,
    attempt: 1,
    machine: 'm',
    at: ms,
  });
  order.add([at(1000), at(1300)]);
  order.add([at(900)]);
  order.flush(1450);
  assert.deepEqual(taken, [900, 1000]);
  order.flush(0, true);
  assert.deepEqual(taken, [900, 1000, 1300]);
  assert.deepEqual(parseTaskName(taskName('job-1', 7)), { job: 'job-1', task: 7 });
});
