/** The worker registry: when a placed task counts as exited, and which starts are dispatched. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob } from '../src/jobs/codec.js';
import { activeJobKey } from '../src/jobs/keys.js';
import { Contacts } from '../src/leadership/contacts.js';
import { isUnreachable } from '../src/provisioning/machine-health.js';
import { WorkerRegistry } from '../src/workers/worker-registry.js';
import type { Heartbeat, ReportedTask } from '../src/workers/codec.js';
import { heartbeatReceiver } from '../src/workers/heartbeat-handler.js';
import { job } from './support/job.js';
import { worldSettings } from './support/settings.js';

// Regression: the lease of a machine that the new leader did not know expired before enough controllers had
// acknowledged the term, while an older leader could still renew it.
test('leases of unknown machines expire only after the new term is acknowledged', () => {
  const jobState = new JobState();
  const zero = 0 as Micros;
  const placedJob = job('job-1', { spot: false });
  placedJob.attempt = 1;
  placedJob.placed.set(0, { task: 0, attempt: 1, machine: 'unknown', since: 0 as Micros });
  jobState.apply({
    key: activeJobKey('job-1'),
    value: JSON.parse(JSON.stringify(encodeJob(placedJob, 0))),
    revision: 1,
  });
  const registry = new WorkerRegistry(worldSettings('n0'), jobState, 2, zero);
  assert.deepEqual(registry.expireLeases(seconds(100), false), []);
  assert.deepEqual(registry.expireLeases(seconds(101), true), []);
  // The term is acknowledged at 101 s. Responses of older leaders count for 3 s more, followed by the lease of 12
  // s with drift and margin.
  assert.deepEqual(registry.expireLeases(seconds(116), true), []);
  assert.deepEqual(registry.expireLeases(seconds(118), true), ['unknown']);
});

/** The registry of a term in which `job-1/0` is placed on the machine `m`. */
const registryWithPlacement = (term: number, beganS = 0, cancelled = false): WorkerRegistry => {
  const placedJob = job('job-1', { spot: false });
  placedJob.cancelled = cancelled;
  placedJob.attempt = 1;
  placedJob.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  const jobState = new JobState();
  const value: unknown = JSON.parse(JSON.stringify(encodeJob(placedJob, 0)));
  jobState.apply({ key: activeJobKey('job-1'), value, revision: 1 });
  return new WorkerRegistry(worldSettings('n0'), jobState, term, seconds(beganS));
};
const heartbeatOf = (
  fencingToken: number,
  incarnation: number,
  sequence: number,
  overrides: Partial<ReportedTask> | null,
): Heartbeat => ({
  machine: 'm',
  addr: '',
  type: 'c8',
  zone: 'a',
  spot: false,
  incarnation,
  sequence,
  fencingToken,
  recall: null,
  tasks:
    overrides === null
      ? []
      : [{ key: 'job-1/0', attempt: 1, status: 'running', cause: null, saved: false, ...overrides }],
});

// Regression: a late heartbeat of the previous incarnation was applied first. An older leader had repeated the
// start in the new incarnation, and the task kept running there while this leader started it elsewhere.
test('a new incarnation ends the tasks of the previous one, but not those that it reports itself', () => {
  const endsTask = (token: number, holdsTask: boolean): boolean => {
    const registry = registryWithPlacement(5);
    const applyHeartbeat = (incarnation: number, seenToken: number, hasTask: boolean) =>
      registry.applyHeartbeat(
        heartbeatOf(seenToken, incarnation, incarnation, hasTask ? {} : null),
        seconds(incarnation),
      );
    applyHeartbeat(3, 4, true);
    applyHeartbeat(4, token, holdsTask);
    return registry.hasObservedExit('job-1', 0);
  };
  assert.equal(endsTask(5, false), true);
  assert.equal(endsTask(5, true), false);
  assert.equal(endsTask(4, true), false);
  // The start may still arrive with the older leader's response.
  assert.equal(endsTask(4, false), false);
});

// Regression: the new leader observed an exit that the old leader, which had not stepped down, did not know of.
// The old leader started the same attempt again in the worker's next incarnation, while the new leader started the
// task elsewhere.
test('an exit is recorded only once no older leader can start the same attempt again', () => {
  const exit = { status: 'exited', cause: 'unknown' } as const;
  const older = registryWithPlacement(4);
  older.applyHeartbeat(heartbeatOf(4, 3, 10, null), seconds(0));
  older.applyHeartbeat(heartbeatOf(4, 4, 30, null), seconds(13));
  assert.deepEqual(older.ordersFor(older.machines.get('m')!), [{ op: 'start', key: 'job-1/0', attempt: 1 }]);
  const isExitObserved = (token: number, at: number, acknowledged = true): boolean => {
    const registry = registryWithPlacement(5, 9);
    registry.expireLeases(seconds(10), acknowledged);
    registry.applyHeartbeat(heartbeatOf(token, 3, 20, exit), seconds(at));
    return registry.hasObservedExit('job-1', 0);
  };
  assert.equal(isExitObserved(4, 11), false);
  assert.equal(isExitObserved(5, 11), true);
  // 10 s, then 3 s in which responses of older leaders count, a lease of 12 s, drift and margin.
  assert.deepEqual(
    [isExitObserved(4, 25.9), isExitObserved(4, 26.1), isExitObserved(4, 99, false)],
    [false, true, false],
  );
  const completed = registryWithPlacement(5, 9);
  completed.applyHeartbeat(heartbeatOf(4, 3, 20, { status: 'exited', cause: 'done' }), seconds(11));
  assert.equal(completed.hasObservedExit('job-1', 0), true);
});

// Regression: a leader that suspected a data loss for longer than a lease kept renewing leases, and afterwards
// took them all for expired.
test('leases renewed while a data loss is suspected count, and older heartbeats remain stale', () => {
  let registry = registryWithPlacement(5);
  let at = 0;
  let suspected = true;
  const leaderTerm = { number: 5, revision: 1, began: 0 as Micros };
  let mayStart = true;
  const leadership = {
    respondingTerm: () => leaderTerm,
    currentTerm: () => null,
    depose: () => undefined,
    mayStart: () => mayStart,
  };
  const receive = heartbeatReceiver(
    leadership,
    () => ({ registry, afterNextCycle: () => undefined }),
    () => seconds(at),
    new Contacts(worldSettings('n0')),
    {
      get suspected() {
        return suspected;
      },
      noteToken: () => undefined,
    },
  );
  const receiveAt = (heartbeat: Heartbeat, when: number): void => {
    at = when;
    receive([heartbeat], (responses) => assert.deepEqual(responses, { term: 5, bodies: [''] }));
  };
  registry.expireLeases(0 as Micros, true);
  for (let second = 1; second < 30; second += 2)
    receiveAt(heartbeatOf(5, 1, second, { status: 'running' }), second);
  suspected = false;
  assert.deepEqual(registry.expireLeases(seconds(31), true), []);
  receiveAt(heartbeatOf(0, 1, 20, null), 32);
  assert.equal(registry.hasObservedExit('job-1', 0), false, 'a stale heartbeat records no exit');
  receiveAt(heartbeatOf(5, 1, 31, { status: 'running' }), 32);
  assert.deepEqual(registry.expireLeases(seconds(60), true), ['m']);
  // Regression: tasks of cancelled jobs kept running under leases renewed while a data loss was suspected, because
  // the first stop order had been lost.
  suspected = true;
  registry = registryWithPlacement(5, 0, true);
  receive([heartbeatOf(5, 1, 1, { status: 'running' })], (responses) =>
    assert.match(
      responses!.bodies[0]!,
      /"stop".*"job-1\/0"/,
      'tasks of cancelled jobs are stopped while a data loss is suspected',
    ),
  );
  // Regression: a leader that held only its read lease started tasks of jobs whose cancellation other controllers
  // had already confirmed to users.
  suspected = false;
  registry = registryWithPlacement(5);
  const responseBody = (sequence: number): string => {
    let body = '';
    receive([heartbeatOf(5, 1, sequence, null)], (responses) => (body = responses!.bodies[0]!));
    return body;
  };
  mayStart = false;
  assert.equal(responseBody(2), '');
  mayStart = true;
  assert.match(responseBody(3), /"run".*"job-1\/0"/);
});

// Regression: a machine whose heartbeats arrived but which got no responses held its job's placement indefinitely.
test('a machine that never shows the new fencing token loses its tasks and is returned', () => {
  const registry = registryWithPlacement(5);
  let sequence = 0;
  let freedAtS = 0;
  for (let at = 1; at < 90; at += 2) {
    registry.expireLeases(seconds(at), true);
    // Its lease, renewed by the previous leader, ends at 9 s.
    const machine = registry.applyHeartbeat(
      heartbeatOf(4, at < 9 ? 1 : 2, ++sequence, at < 9 ? {} : null),
      seconds(at),
    )!;
    registry.ordersFor(machine);
    assert.equal(registry.isSchedulable(machine, seconds(at)), false);
    if (freedAtS === 0 && registry.hasObservedExit('job-1', 0)) freedAtS = at;
  }
  assert.ok(
    freedAtS > 17 && freedAtS < 27,
    `expected the exit to be recorded between 17 s and 27 s, got ${freedAtS} s`,
  );
  const { workers } = worldSettings('n0');
  const machine = registry.machines.get('m')!;
  assert.deepEqual(
    [70, 80].map((at) => isUnreachable(machine, workers, seconds(at))),
    [false, true],
  );
});

// Regression: an exit of a gang member observed before the gang's completion was kept, and was recorded once more
// after the job had finished.
test('the completion of a gang drops exits of its members observed earlier', () => {
  const jobState = new JobState();
  const gang = job('job-1', { spot: false, shape: 'gang', tasks: 2 });
  gang.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  gang.placed.set(1, { task: 1, attempt: 1, machine: 'removed', since: 0 as Micros });
  jobState.apply({ key: activeJobKey('job-1'), value: encodeJob(gang, 0), revision: 1 });
  const registry = new WorkerRegistry(worldSettings('n0'), jobState, 5, 0 as Micros);
  registry.removeMachine('removed');
  registry.applyHeartbeat(heartbeatOf(5, 1, 1, { status: 'exited', cause: 'done' }), seconds(1));
  const { completed, exited } = registry.exits.get('job-1')!;
  assert.deepEqual([[...completed], [...exited]], [[0, 1], [1]]);
  registry.dropDurableExits('job-1', [0, 1], []);
  assert.equal(registry.exits.size, 0);
});

// Regression: a machine to which every start was lost looked like the best choice for all queued tasks, because it
// was idle and sent heartbeats.
test('tasks whose starts never reach a worker are placed elsewhere, and its machine gets no tasks for a while', () => {
  const registry = registryWithPlacement(5);
  const applyHeartbeat = (sequence: number, at: number, hasTask = false): boolean => {
    const machine = registry.applyHeartbeat(heartbeatOf(5, 1, sequence, hasTask ? {} : null), seconds(at))!;
    registry.ordersFor(machine);
    return registry.hasObservedExit('job-1', 0);
  };
  // These heartbeats were delayed together, so the lost responses between them do not count.
  for (let sequence = 1; sequence < 9; sequence++)
    assert.equal(applyHeartbeat(sequence, 1 + sequence / 10), false);
  assert.deepEqual(
    [applyHeartbeat(9, 7), applyHeartbeat(10, 12), applyHeartbeat(11, 17)],
    [false, false, true],
  );
  const machine = registry.machines.get('m')!;
  assert.deepEqual(
    [registry.isSchedulable(machine, seconds(17)), machine.cooldownUntil],
    [false, seconds(27)],
  );
  assert.deepEqual(registry.unreachableWorkers, ['m']);
  const reachable = registryWithPlacement(5);
  for (const [sequence, at] of [
    [1, 1],
    [2, 6],
    [3, 11],
  ] as const)
    reachable.ordersFor(reachable.applyHeartbeat(heartbeatOf(5, 1, sequence, null), seconds(at))!);
  reachable.applyHeartbeat(heartbeatOf(5, 1, 4, {}), seconds(16));
  assert.equal(reachable.hasObservedExit('job-1', 0), false);
});
