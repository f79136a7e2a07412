/** What users are told around a job's acceptance, end and cancellation: close looks, and cancellations at the last end. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { faultsOf, playDay } from '../src/play.js';
import { BUSIEST, FOLLOW_UPS, REFUSED, UNANSWERED } from '../src/world/scenarios/concurrent-reads.js';
import { SMALL } from '../src/world/deployment-size.js';
import { playScenarios } from './support/scenario-days.js';

const CLOSE = [
  'polled at another controller right after the job was accepted',
  'polled at another controller right after the job was done',
  'polled at another controller right after the job was aborted',
  'submitted again at another controller right after the job was accepted',
  'submitted again at another controller right after the job was done',
  'submitted again at another controller right after the job was aborted',
  'cancelled right after acceptance',
  '404 for an unknown job',
];

test('rules hold: users look closely, at no great cost', () => {
  const troubles = { concurrentReads: true };
  const size = { size: SMALL, jobs: 12, room: false, troubledUs: 130e6, quietUs: 300e6 };
  const day = playDay({ name: 'close looks', ...size, troubles }, 1);
  assert.deepEqual(faultsOf(day), []);
  for (const what of [...CLOSE, FOLLOW_UPS, BUSIEST]) assert.ok((day.met[what] ?? 0) > 0, what);
  // Shared reads: what the smallest deployment allows is not reached, and nobody is sent away.
  assert.ok(day.met[BUSIEST]! <= 80, `${day.met[BUSIEST]} requests in a second`);
  const refused = (day.met[REFUSED] ?? 0) + (day.met[UNANSWERED] ?? 0);
  assert.ok(refused <= day.met[FOLLOW_UPS]! / 100, `${refused} of ${day.met[FOLLOW_UPS]} refused`);
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
      'cancel request before the completion was durable',
      'cancel request while the completion became durable',
      'cancel request just after the completion was durable',
      'poll before the completion was durable',
      'poll while the completion became durable',
      'poll just after the completion was durable',
      'submission before the completion was durable',
      'submission while the completion became durable',
      'submission just after the completion was durable',
      'cancellation committed before the completion',
      'task completed after the cancellation was confirmed',
    ],
  ],
  [
    'cancelled at the last end, machines deaf',
    { cancelAtCompletion: true, inboundLoss: true },
    ['cancellation committed after the completion'],
  ],
]);
