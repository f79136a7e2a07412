/** Tests that the rule checker of the scale test detects a violation of each rule and accepts a correct history. */
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
const job = (overrides: Partial<JobDescription> = {}): JobDescription => ({
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
  ...overrides,
});

class History {
  readonly checker: RuleChecker;
  private at = 0;

  constructor(description: JobDescription) {
    this.checker = new RuleChecker({
      limits: new Map([['red', { vcpus: 4, accelerators: 0 }]]),
      cancelMs: CANCEL_MS,
      machine: (id) => MACHINES.find((machine) => machine.id === id),
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

  submissionResponse(status = 201): this {
    this.checker.handleSubmissionResponse('job-1', status);
    return this;
  }

  jobResponse(status: number, state?: ReportedState, id = 'job-1'): this {
    this.checker.handleJobResponse(id, status, state, this.at);
    return this;
  }

  cancelRequest(): this {
    this.checker.cancelRequested('job-1');
    return this;
  }

  advance(ms: number): this {
    this.at += ms;
    this.checker.checkCancelled(this.at);
    return this;
  }

  get violatedRules(): RuleName[] {
    return this.checker.violations.map((violation) => violation.rule);
  }
}

const VIOLATIONS: readonly (readonly [
  RuleName,
  string,
  Partial<JobDescription>,
  (history: History) => History,
])[] = [
  [
    'ran_twice',
    'a task started on two machines',
    {},
    (history) => history.event('started', 0, 'm1').event('started', 0, 'm2'),
  ],
  [
    'attempt_reused',
    'an attempt ordered on two machines',
    {},
    (history) => history.event('ordered', 0, 'm1').event('ordered', 0, 'm2'),
  ],
  [
    'quota',
    'more CPUs than the limit',
    { vcpus: 3 },
    (history) => history.event('started', 0, 'm1').event('started', 1, 'm1'),
  ],
  [
    'wrong_place',
    'a machine type that the job does not allow',
    { kinds: ['gpu'] },
    (history) => history.event('started', 0, 'm1'),
  ],
  [
    'wrong_place',
    'a zone that the job does not allow',
    { zone: 'b' },
    (history) => history.event('started', 0, 'm1'),
  ],
  [
    'wrong_place',
    'two zones for a job that must share one',
    { samePlace: true },
    (history) => history.event('started', 0, 'm1').event('started', 1, 'm2'),
  ],
  [
    'wrong_place',
    'more than half of a scattered job in one zone',
    { scatter: true },
    (history) => history.event('started', 0, 'm1').event('started', 1, 'm1').event('started', 2, 'm3'),
  ],
  [
    'ran_cancelled',
    'a task on its machine too long after the cancellation',
    {},
    (history) =>
      history
        .event('started', 0, 'm1')
        .cancelRequest()
        .jobResponse(200, 'aborted')
        .advance(CANCEL_MS + 1),
  ],
  [
    'ran_cancelled',
    'a task started too long after the cancellation',
    {},
    (history) =>
      history
        .cancelRequest()
        .jobResponse(200, 'aborted')
        .advance(CANCEL_MS + 1)
        .event('started', 0, 'm1'),
  ],
  [
    'forgotten',
    'status 404 for an accepted job',
    {},
    (history) => history.submissionResponse().jobResponse(404),
  ],
  [
    'forgotten',
    'an accepted job rejected at its next submission',
    {},
    (history) => history.submissionResponse().submissionResponse(422),
  ],
  [
    'invented',
    'status 200 for a job never submitted',
    {},
    (history) => history.jobResponse(200, 'pending', 'job-9'),
  ],
  [
    'not_done',
    'reported done before all tasks completed',
    {},
    (history) => history.event('started', 0, 'm1').left(0, 'm1').jobResponse(200, 'done'),
  ],
  [
    'went_back',
    'reported aborted without a cancellation request',
    {},
    (history) => history.jobResponse(200, 'aborted'),
  ],
  [
    'went_back',
    'reported running after aborted',
    {},
    (history) => history.cancelRequest().jobResponse(200, 'aborted').jobResponse(200, 'running'),
  ],
];

test('each violation is reported under its own rule only', () => {
  for (const [rule, what, overrides, applyTo] of VIOLATIONS)
    assert.deepEqual(applyTo(new History(job(overrides))).violatedRules, [rule], `${rule}: ${what}`);
});

test('a history that follows all rules has no violations', () => {
  const history = new History(job({ scatter: true })).submissionResponse();
  history
    .event('ordered', 0, 'm1')
    .event('started', 0, 'm1')
    .event('started', 1, 'm2')
    .jobResponse(200, 'running');
  history.left(0, 'm1', false).event('ordered', 0, 'm2', 2).event('started', 0, 'm2', 2).left(0, 'm2');
  history
    .left(1, 'm2')
    .event('started', 2, 'm3')
    .left(2, 'm3')
    .jobResponse(200, 'done')
    .jobResponse(200, 'done');
  assert.deepEqual(history.violatedRules, []);
  const cancelled = new History(job())
    .submissionResponse()
    .event('started', 0, 'm1')
    .cancelRequest()
    .jobResponse(200, 'aborted');
  cancelled
    .advance(CANCEL_MS - 1)
    .left(0, 'm1', false)
    .advance(CANCEL_MS);
  assert.deepEqual(cancelled.violatedRules, []);
});

test('events are delivered in the order of their times, after the delivery delay', () => {
  const deliveredAt: number[] = [];
  const order = new EventOrder((event) => deliveredAt.push(event.at));
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
  assert.deepEqual(deliveredAt, [900, 1000]);
  order.flush(0, true);
  assert.deepEqual(deliveredAt, [900, 1000, 1300]);
  assert.deepEqual(parseTaskName(taskName('job-1', 7)), { job: 'job-1', task: 7 });
});
