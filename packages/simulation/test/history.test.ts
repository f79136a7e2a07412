/**
 * Tests the checker of users' responses: it must report each kind of outdated or contradictory response, and accept
 * overlapping requests whose responses arrive in any order.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type ReportedResponse, type RequestKind, History } from '../src/world/history.js';

/** A request and its response, with the times at which the request is sent and the response arrives. */
type Call = readonly [began: number, ended: number, kind: RequestKind, response: ReportedResponse];

/**
 * Returns the names of the rules that the calls violate, in the order in which their responses arrive. All calls are
 * about `job-1`.
 */
const violatedRules = (calls: readonly Call[]): string[] => {
  const history = new History();
  const violations: string[] = [];
  const events = calls.flatMap(([began, ended, kind, response]) => {
    let request: ReturnType<History['requestSent']>;
    return [
      { at: began, run: () => void (request = history.requestSent(kind, 'job-1', `n${began % 3}`, began)) },
      { at: ended, run: () => void violations.push(...history.responseReceived(request, response, ended)) },
    ];
  });
  for (const event of events.sort((left, right) => left.at - right.at)) event.run();
  return violations.map((violation) => violation.slice(0, violation.indexOf(':')));
};
const success = (state: string, done?: number): ReportedResponse => ({ status: 200, state, done });
const ACCEPTED: Call = [1, 3, 'submit', { status: 201, state: 'pending' }];
const CANCELLED: Call = [10, 15, 'cancel', success('aborted')];

const violationCases: readonly (readonly [scenario: string, calls: readonly Call[], rule: string])[] = [
  [
    'a job that was accepted is unknown to a later poll',
    [ACCEPTED, [4, 6, 'poll', { status: 404 }]],
    'forgotten',
  ],
  ['a job that a poll returned is unknown to a later poll', [[1, 9, 'submit', { status: 503 }], [2, 3, 'poll', success('pending')], [4, 6, 'poll', { status: 404 }]], 'forgotten'], // prettier-ignore
  [
    'a later submission of an accepted job is refused with 422',
    [ACCEPTED, [4, 6, 'submit', { status: 422 }]],
    'forgotten',
  ],
  [
    'a later submission of an accepted job is refused with 400',
    [ACCEPTED, [4, 6, 'submit', { status: 400 }]],
    'forgotten',
  ],
  [
    'an accepted job is unknown to a later cancellation',
    [ACCEPTED, [4, 6, 'cancel', { status: 404 }]],
    'forgotten',
  ],
  ['a later submission of an accepted job gets 201 again', [ACCEPTED, [4, 6, 'submit', { status: 201, state: 'pending' }]], 'accepted_twice'], // prettier-ignore
  ['a later poll returns fewer completed tasks', [ACCEPTED, [4, 6, 'poll', success('running', 3)], [7, 8, 'poll', success('running', 2)]], 'older_answer'], // prettier-ignore
  ['a poll returns fewer completed tasks than the highest number before, with a lower number reported in between', [ACCEPTED, [4, 9, 'poll', success('running', 1)], [5, 6, 'poll', success('running', 3)], [10, 11, 'poll', success('running', 2)]], 'older_answer'], // prettier-ignore
  ['a completed job is reported as running', [ACCEPTED, [4, 6, 'poll', success('done', 3)], [7, 8, 'poll', success('running', 3)]], 'older_answer'], // prettier-ignore
  ['a cancelled job is reported as running', [ACCEPTED, CANCELLED, [16, 18, 'poll', success('running', 3)]], 'older_answer'], // prettier-ignore
  ['a later submission of a cancelled job reports it as pending', [ACCEPTED, CANCELLED, [16, 18, 'submit', success('pending')]], 'older_answer'], // prettier-ignore
  [
    'a cancelled job is later reported as done',
    [ACCEPTED, CANCELLED, [16, 18, 'poll', success('done', 1)]],
    'older_answer',
  ],
  [
    'a completed job is later reported as aborted',
    [ACCEPTED, [4, 6, 'poll', success('done', 1)], CANCELLED],
    'older_answer',
  ],
  [
    'overlapping requests report a job as aborted and as done',
    [ACCEPTED, CANCELLED, [11, 16, 'poll', success('done', 1)]],
    'two_ends',
  ],
  ['a job that no user submitted is known', [[1, 2, 'poll', success('running')]], 'invented'],
  ['a job is known before its submission is sent', [[1, 2, 'poll', success('running')], [3, 9, 'submit', success('running')]], 'invented'], // prettier-ignore
  [
    'a job that no user cancelled is reported as aborted',
    [ACCEPTED, [4, 6, 'poll', success('aborted')]],
    'invented',
  ],
];
for (const [scenario, calls, rule] of violationCases)
  test(`reports a violation: ${scenario}`, () => {
    assert.deepEqual(violatedRules(calls), [rule]);
  });

const validCases: readonly (readonly [scenario: string, calls: readonly Call[]])[] = [
  ['a poll that overlaps the submission gets 404', [ACCEPTED, [2, 4, 'poll', { status: 404 }]]],
  ['a job that no user submitted is unknown to a poll and a cancellation', [[1, 2, 'poll', { status: 404 }], [3, 4, 'cancel', { status: 404 }]]], // prettier-ignore
  ['requests about a cancelled job are refused with 503 and 429', [ACCEPTED, CANCELLED, [16, 17, 'poll', { status: 503 }], [18, 19, 'submit', { status: 429 }]]], // prettier-ignore
  ['a poll sent before the cancellation was confirmed reports the job as running', [ACCEPTED, CANCELLED, [12, 18, 'poll', success('running', 1)]]], // prettier-ignore
  ['a poll sent before a higher number of completed tasks was reported returns a lower one', [ACCEPTED, [4, 9, 'poll', success('running', 1)], [5, 6, 'poll', success('running', 3)]]], // prettier-ignore
  ['a running job is pending again because a task was stopped', [ACCEPTED, [4, 6, 'poll', success('running', 0)], [7, 8, 'poll', success('pending', 0)]]], // prettier-ignore
  [
    'overlapping submissions of one job both get 201',
    [ACCEPTED, [2, 4, 'submit', { status: 201, state: 'pending' }]],
  ],
  ['the same final state is reported repeatedly', [ACCEPTED, CANCELLED, [16, 17, 'cancel', success('aborted')], [18, 19, 'submit', success('aborted')]]], // prettier-ignore
  ['submissions of a job that was never accepted are refused with 400 and 422', [[1, 2, 'submit', { status: 400 }], [3, 4, 'submit', { status: 422 }]]], // prettier-ignore
];
for (const [scenario, calls] of validCases)
  test(`accepts: ${scenario}`, () => {
    assert.deepEqual(violatedRules(calls), []);
  });
