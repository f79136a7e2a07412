/** Which node a worker reports to. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import {
  eligibleControllers,
  assignedController,
  HeartbeatRouting,
} from '../src/workers/heartbeat-routing.js';

const NODES = ['n0', 'n1', 'n2', 'n3', 'n4'];
const but =
  (...gone: string[]) =>
  (n: string) =>
    !gone.includes(n);

// 303 tasks were killed: their workers' node stood still, and the next one in their list was down.
test('workers report to followers that answer and whose successor does', () => {
  assert.deepEqual(eligibleControllers(NODES, 'n1', but()), ['n0', 'n2', 'n3', 'n4']);
  assert.deepEqual(eligibleControllers(NODES, 'n1', but('n0')), ['n2', 'n3']);
  assert.deepEqual(eligibleControllers(['n0', 'n1'], 'n0', but()), ['n1']);
  assert.deepEqual(
    eligibleControllers(['n0', 'n1', 'n2'], 'n0', but('n2')),
    ['n1'],
    'the only one that is left',
  );
  const counts = new Map<string, number>();
  for (let i = 0; i < 1000; i++) {
    const p = assignedController(`vm-${String(i).padStart(6, '0')}`, NODES);
    counts.set(p, (counts.get(p) ?? 0) + 1);
  }
  for (const n of NODES) assert.ok(counts.get(n)! > 120, `${n} ${counts.get(n)}`);
});

test('a worker is not sent to and fro: who comes back is answered', () => {
  const places = new HeartbeatRouting('n1', NODES);
  const at = (s: number) => places.redirect('vm-1', 'n1', but(), seconds(s) as Micros);
  assert.deepEqual([at(0) !== null, at(1), at(19), at(21) !== null], [true, null, null, true]);
  assert.equal(new HeartbeatRouting('n2', NODES).redirect('vm-1', 'n1', but(), seconds(0)), null);
  assert.equal(
    new HeartbeatRouting('n1', NODES).redirect('vm-1', 'n1', but('n0', 'n2', 'n3', 'n4'), seconds(0)),
    null,
  );
  assert.equal(new HeartbeatRouting('n1', NODES).redirect('vm-1', null, but(), seconds(0)), null);
});
