/** The choice of the controller that a worker sends its heartbeats to. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import {
  eligibleControllers,
  assignedController,
  HeartbeatRouting,
} from '../src/workers/heartbeat-routing.js';

const CONTROLLERS = ['n0', 'n1', 'n2', 'n3', 'n4'];
const allExcept =
  (...unreachable: string[]) =>
  (controller: string) =>
    !unreachable.includes(controller);

// Regression: 303 tasks were killed because their workers' controller had stalled and the next one in their list
// was down.
test('workers are assigned to followers that are reachable and whose successor is', () => {
  assert.deepEqual(eligibleControllers(CONTROLLERS, 'n1', allExcept()), ['n0', 'n2', 'n3', 'n4']);
  assert.deepEqual(eligibleControllers(CONTROLLERS, 'n1', allExcept('n0')), ['n2', 'n3']);
  assert.deepEqual(eligibleControllers(['n0', 'n1'], 'n0', allExcept()), ['n1']);
  assert.deepEqual(
    eligibleControllers(['n0', 'n1', 'n2'], 'n0', allExcept('n2')),
    ['n1'],
    'the only reachable follower',
  );
  const counts = new Map<string, number>();
  for (let index = 0; index < 1000; index++) {
    const controller = assignedController(`vm-${String(index).padStart(6, '0')}`, CONTROLLERS);
    counts.set(controller, (counts.get(controller) ?? 0) + 1);
  }
  for (const controller of CONTROLLERS)
    assert.ok(counts.get(controller)! > 120, `${controller} got ${counts.get(controller)} of 1000 workers`);
});

test('a worker that returns soon after a redirect is served, not redirected again', () => {
  const routing = new HeartbeatRouting('n1', CONTROLLERS);
  const redirectAt = (second: number) =>
    routing.redirect('vm-1', 'n1', allExcept(), seconds(second) as Micros);
  assert.deepEqual(
    [redirectAt(0) !== null, redirectAt(1), redirectAt(19), redirectAt(21) !== null],
    [true, null, null, true],
  );
  assert.equal(new HeartbeatRouting('n2', CONTROLLERS).redirect('vm-1', 'n1', allExcept(), seconds(0)), null);
  assert.equal(
    new HeartbeatRouting('n1', CONTROLLERS).redirect(
      'vm-1',
      'n1',
      allExcept('n0', 'n2', 'n3', 'n4'),
      seconds(0),
    ),
    null,
  );
  assert.equal(new HeartbeatRouting('n1', CONTROLLERS).redirect('vm-1', null, allExcept(), seconds(0)), null);
});
