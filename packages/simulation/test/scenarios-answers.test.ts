/** What users are told around a job's acceptance, end and cancellation: close looks, and cancellations at the last end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { faultsOf, playDay } from '../src/play.js';
import { BUSIEST, LOOKS, REFUSED, UNANSWERED } from '../src/world/scenarios/concurrent-reads.js';
import { SMALL } from '../src/world/deployment-size.js';
import { playScenarios } from './support/scenario-days.js';

const CLOSE = [
  'asked elsewhere, accepted at once before',
  'asked elsewhere, done at once before',
  'asked elsewhere, aborted at once before',
  'submitted again elsewhere, accepted at once before',
  'submitted again elsewhere, done at once before',
  'submitted again elsewhere, aborted at once before',
  'cancelled at once',
  '404 in the storm',
];

test('rules hold: users look closely, at no great cost', () => {
  const troubles = { concurrentReads: true };
  const size = { size: SMALL, jobs: 12, room: false, troubledUs: 130e6, quietUs: 300e6 };
  const day = playDay({ name: 'close looks', ...size, troubles }, 1);
  assert.deepEqual(faultsOf(day), []);
  for (const what of [...CLOSE, LOOKS, BUSIEST]) assert.ok((day.met[what] ?? 0) > 0, what);
  // Shared reads: what the smallest deployment allows is not reached, and nobody is sent away.
  assert.ok(day.met[BUSIEST]! <= 80, `${day.met[BUSIEST]} requests in a second`);
  const refused = (day.met[REFUSED] ?? 0) + (day.met[UNANSWERED] ?? 0);
  assert.ok(refused <= day.met[LOOKS]! / 100, `${refused} of ${day.met[LOOKS]} refused`);
});

playScenarios([
  [
    'users look closely, beside crashes, outages and late writes',
    { concurrentReads: true, nodeCrash: true, quickRestart: true, lateWrites: true, stateOutage: true },
    CLOSE,
  ],
  [
    'cancelled at the last end',
    { cancelAtCompletion: true },
    [
      'cancellation before the end was durable',
      'cancellation as the end became durable',
      'cancellation just after the end',
      'question before the end was durable',
      'question as the end became durable',
      'question just after the end',
      'submission before the end was durable',
      'submission as the end became durable',
      'submission just after the end',
      'withdrawal before the end',
      'completed after its cancellation was confirmed',
    ],
  ],
  [
    'cancelled at the last end, machines deaf',
    { cancelAtCompletion: true, inboundLoss: true },
    ['withdrawal after the end'],
  ],
]);
