/** Responses to requests around a job's acceptance, completion and cancellation. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { failuresOf, playDay } from '../src/play.js';
import { BUSIEST, FOLLOW_UPS, REFUSED, UNANSWERED } from '../src/world/scenarios/concurrent-reads.js';
import { SMALL } from '../src/world/deployment-size.js';
import { playScenarios } from './support/scenario-days.js';

const FOLLOW_UP_SITUATIONS = [
  'polled at another controller right after the job was accepted',
  'polled at another controller right after the job was done',
  'polled at another controller right after the job was aborted',
  'submitted again at another controller right after the job was accepted',
  'submitted again at another controller right after the job was done',
  'submitted again at another controller right after the job was aborted',
  'cancelled right after acceptance',
  '404 for an unknown job',
];

test('rules hold: follow-up requests cause few requests to the state service and are hardly ever refused', () => {
  const troubles = { concurrentReads: true };
  const size = { size: SMALL, jobs: 12, hasSufficientCapacity: false, troubledUs: 130e6, quietUs: 300e6 };
  const day = playDay({ name: 'follow-up requests', ...size, troubles }, 1);
  assert.deepEqual(failuresOf(day), []);
  for (const situation of [...FOLLOW_UP_SITUATIONS, FOLLOW_UPS, BUSIEST])
    assert.ok((day.met[situation] ?? 0) > 0, situation);
  // Reads are shared: the rate that the smallest deployment allows is not reached, and at most 1% of the requests are refused.
  assert.ok(day.met[BUSIEST]! <= 80, `${day.met[BUSIEST]} state service requests in a second`);
  const refused = (day.met[REFUSED] ?? 0) + (day.met[UNANSWERED] ?? 0);
  assert.ok(
    refused <= day.met[FOLLOW_UPS]! / 100,
    `${refused} of ${day.met[FOLLOW_UPS]} follow-up requests refused`,
  );
});

playScenarios([
  [
    'follow-up requests during crashes, outages and late writes',
    { concurrentReads: true, nodeCrash: true, quickRestart: true, lateWrites: true, stateOutage: true },
    FOLLOW_UP_SITUATIONS,
  ],
  [
    'cancellations around the completion of the last task',
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
    'cancellations around the completion of the last task, on machines without inbound messages',
    { cancelAtCompletion: true, inboundLoss: true },
    ['cancellation committed after the completion'],
  ],
]);
