/** The checker of answers' order sees each kind of older answer, and lets what overlaps come in either order. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Answered, type Ask, History } from '../src/world/history.js';

type Call = readonly [began: number, ended: number, ask: Ask, answer: Answered];

/** The rules that the calls break, by their ends; the job is `job-1`. */
const broken = (calls: readonly Call[]): string[] => {
  const history = new History();
  const out: string[] = [];
  const events = calls.flatMap(([began, ended, ask, answer]) => {
    let asked: ReturnType<History['begins']>;
    return [
      { at: began, go: () => void (asked = history.begins(ask, 'job-1', `n${began % 3}`, began)) },
      { at: ended, go: () => void out.push(...history.ends(asked, answer, ended)) },
    ];
  });
  for (const e of events.sort((a, b) => a.at - b.at)) e.go();
  return out.map((w) => w.slice(0, w.indexOf(':')));
};
const ok = (state: string, done?: number): Answered => ({ status: 200, state, done });
const ACCEPTED: Call = [1, 3, 'submit', { status: 201, state: 'pending' }];
const CANCELLED: Call = [10, 15, 'cancel', ok('aborted')];

const faults: readonly (readonly [what: string, calls: readonly Call[], rule: string])[] = [
  ['404 after an acceptance', [ACCEPTED, [4, 6, 'poll', { status: 404 }]], 'forgotten'],
  ['404 after an answer to a question', [[1, 9, 'submit', { status: 503 }], [2, 3, 'poll', ok('pending')], [4, 6, 'poll', { status: 404 }]], 'forgotten'], // prettier-ignore
  ['422 to a repeated submission', [ACCEPTED, [4, 6, 'submit', { status: 422 }]], 'forgotten'],
  ['400 to a repeated submission', [ACCEPTED, [4, 6, 'submit', { status: 400 }]], 'forgotten'],
  ['404 to a cancellation', [ACCEPTED, [4, 6, 'cancel', { status: 404 }]], 'forgotten'],
  ['201 for the second time', [ACCEPTED, [4, 6, 'submit', { status: 201, state: 'pending' }]], 'accepted_twice'], // prettier-ignore
  ['fewer tasks done', [ACCEPTED, [4, 6, 'poll', ok('running', 3)], [7, 8, 'poll', ok('running', 2)]], 'older_answer'], // prettier-ignore
  ['fewer than the most, another between', [ACCEPTED, [4, 9, 'poll', ok('running', 1)], [5, 6, 'poll', ok('running', 3)], [10, 11, 'poll', ok('running', 2)]], 'older_answer'], // prettier-ignore
  ['running after its end', [ACCEPTED, [4, 6, 'poll', ok('done', 3)], [7, 8, 'poll', ok('running', 3)]], 'older_answer'], // prettier-ignore
  ['running after a cancellation', [ACCEPTED, CANCELLED, [16, 18, 'poll', ok('running', 3)]], 'older_answer'], // prettier-ignore
  ['pending to a repeated submission after a cancellation', [ACCEPTED, CANCELLED, [16, 18, 'submit', ok('pending')]], 'older_answer'], // prettier-ignore
  ['done after cancelled', [ACCEPTED, CANCELLED, [16, 18, 'poll', ok('done', 1)]], 'older_answer'],
  ['cancelled after done', [ACCEPTED, [4, 6, 'poll', ok('done', 1)], CANCELLED], 'older_answer'],
  ['done and cancelled at once', [ACCEPTED, CANCELLED, [11, 16, 'poll', ok('done', 1)]], 'two_ends'],
  ['known without a submission', [[1, 2, 'poll', ok('running')]], 'invented'],
  ['known before its submission', [[1, 2, 'poll', ok('running')], [3, 9, 'submit', ok('running')]], 'invented'], // prettier-ignore
  ['cancelled by nobody', [ACCEPTED, [4, 6, 'poll', ok('aborted')]], 'invented'],
];
for (const [what, calls, rule] of faults)
  test(`seen: ${what}`, () => {
    assert.deepEqual(broken(calls), [rule]);
  });

const sound: readonly (readonly [what: string, calls: readonly Call[]])[] = [
  ['404 that overlaps the acceptance', [ACCEPTED, [2, 4, 'poll', { status: 404 }]]],
  ['404 of a job that nobody submitted', [[1, 2, 'poll', { status: 404 }], [3, 4, 'cancel', { status: 404 }]]], // prettier-ignore
  ['refusals after everything', [ACCEPTED, CANCELLED, [16, 17, 'poll', { status: 503 }], [18, 19, 'submit', { status: 429 }]]], // prettier-ignore
  ['running, asked before the cancellation was confirmed', [ACCEPTED, CANCELLED, [12, 18, 'poll', ok('running', 1)]]], // prettier-ignore
  ['fewer done, asked before more were told', [ACCEPTED, [4, 9, 'poll', ok('running', 1)], [5, 6, 'poll', ok('running', 3)]]], // prettier-ignore
  ['pending again: a task was stopped', [ACCEPTED, [4, 6, 'poll', ok('running', 0)], [7, 8, 'poll', ok('pending', 0)]]], // prettier-ignore
  ['201 twice, at once: its user has both', [ACCEPTED, [2, 4, 'submit', { status: 201, state: 'pending' }]]],
  ['the same end again and again', [ACCEPTED, CANCELLED, [16, 17, 'cancel', ok('aborted')], [18, 19, 'submit', ok('aborted')]]], // prettier-ignore
  ['400 and 422 of a job that nobody accepted', [[1, 2, 'submit', { status: 400 }], [3, 4, 'submit', { status: 422 }]]], // prettier-ignore
];
for (const [what, calls] of sound)
  test(`let through: ${what}`, () => {
    assert.deepEqual(broken(calls), []);
  });
