/** The worker registry: when a placement counts as gone, and where starts go. */
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

// The lease of a machine that the new leader had never heard of expired before enough controllers knew the term.
test('leases of machines never heard of expire only after the new term is acknowledged', () => {
  const jobState = new JobState();
  const zero = 0 as Micros;
  const started = job('job-1', { spot: false });
  started.attempt = 1;
  started.placed.set(0, { task: 0, attempt: 1, machine: 'unheard', since: 0 as Micros });
  jobState.apply({
    key: activeJobKey('job-1'),
    value: JSON.parse(JSON.stringify(encodeJob(started, 0))),
    stamp: 1,
  });
  const registry = new WorkerRegistry(worldSettings('n0'), jobState, 2, zero);
  assert.deepEqual(registry.expireLeases(seconds(100), false), []);
  assert.deepEqual(registry.expireLeases(seconds(101), true), []);
  // Acknowledged at 101 s; older leaders' responses count 3 s more, then the lease of 12 s with drift and margin.
  assert.deepEqual(registry.expireLeases(seconds(116), true), []);
  assert.deepEqual(registry.expireLeases(seconds(118), true), ['unheard']);
});

/** The registry of a term in which `job-1/0` is placed on `m`. */
const placed = (term: number, began = 0, withdrawn = false): WorkerRegistry => {
  const started = job('job-1', { spot: false });
  started.cancelled = withdrawn;
  started.attempt = 1;
  started.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  const jobState = new JobState();
  const value: unknown = JSON.parse(JSON.stringify(encodeJob(started, 0)));
  jobState.apply({ key: activeJobKey('job-1'), value, stamp: 1 });
  return new WorkerRegistry(worldSettings('n0'), jobState, term, seconds(began));
};
const said = (
  token: number,
  tenure: number,
  tick: number,
  over: Partial<ReportedTask> | null,
): Heartbeat => ({
  machine: 'm',
  addr: '',
  type: 'c8',
  zone: 'a',
  spot: false,
  incarnation: tenure,
  sequence: tick,
  fencingToken: token,
  recall: null,
  tasks:
    over === null
      ? []
      : [{ key: 'job-1/0', attempt: 1, status: 'running', cause: null, saved: false, ...over }],
});

// A late heartbeat of the incarnation before was applied first. An older leader had repeated the start in the new one, where it
// ran on while this leader started it elsewhere.
test('a new incarnation ends what ran in the one before, but not what it holds itself', () => {
  const endsTask = (token: number, holds: boolean): boolean => {
    const registry = placed(5);
    const report = (tenure: number, known: number, there: boolean) =>
      registry.applyHeartbeat(said(known, tenure, tenure, there ? {} : null), seconds(tenure));
    report(3, 4, true);
    report(4, token, holds);
    return registry.hasObservedExit('job-1', 0);
  };
  assert.equal(endsTask(5, false), true);
  assert.equal(endsTask(5, true), false);
  assert.equal(endsTask(4, true), false);
  // It may still come, in the older leader's response.
  assert.equal(endsTask(4, false), false);
});

// The new leader heard of an exit that the old one, which held on, had not heard of: it started the same attempt again in
// the worker's next incarnation, while the new one started the task elsewhere.
test('an exit counts once no older leader can start that attempt again', () => {
  const exit = { status: 'exited', cause: 'unknown' } as const;
  const older = placed(4);
  older.applyHeartbeat(said(4, 3, 10, null), seconds(0));
  older.applyHeartbeat(said(4, 4, 30, null), seconds(13));
  assert.deepEqual(older.ordersFor(older.machines.get('m')!), [{ op: 'start', key: 'job-1/0', attempt: 1 }]);
  const heard = (token: number, at: number, acknowledged = true): boolean => {
    const registry = placed(5, 9);
    registry.expireLeases(seconds(10), acknowledged);
    registry.applyHeartbeat(said(token, 3, 20, exit), seconds(at));
    return registry.hasObservedExit('job-1', 0);
  };
  assert.equal(heard(4, 11), false);
  assert.equal(heard(5, 11), true);
  // 10 s, older leaders' responses for 3 s more, a lease of 12 s, drift and margin.
  assert.deepEqual([heard(4, 25.9), heard(4, 26.1), heard(4, 99, false)], [false, true, false]);
  const done = placed(5, 9);
  done.applyHeartbeat(said(4, 3, 20, { status: 'exited', cause: 'done' }), seconds(11));
  assert.equal(done.hasObservedExit('job-1', 0), true);
});

// A leader that suspected a loss for longer than a lease went on answering; then it counted all leases from before.
test('leases count from heartbeats answered while a loss is suspected, and those are not taken for stale', () => {
  let registry = placed(5);
  let at = 0;
  let suspected = true;
  const leaderTerm = { number: 5, stamp: 1, began: 0 as Micros };
  let starts = true;
  const leadership = {
    answeringTerm: () => leaderTerm,
    currentTerm: () => null,
    depose: () => undefined,
    mayStart: () => starts,
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
  const answered = (r: Heartbeat, when: number): void => {
    at = when;
    receive([r], (a) => assert.deepEqual(a, { term: 5, bodies: [''] }));
  };
  registry.expireLeases(0 as Micros, true);
  for (let t = 1; t < 30; t += 2) answered(said(5, 1, t, { status: 'running' }), t);
  suspected = false;
  assert.deepEqual(registry.expireLeases(seconds(31), true), []);
  answered(said(0, 1, 20, null), 32);
  assert.equal(registry.hasObservedExit('job-1', 0), false, 'an old copy');
  answered(said(5, 1, 31, { status: 'running' }), 32);
  assert.deepEqual(registry.expireLeases(seconds(60), true), ['m']);
  // What users cancelled went on under leases renewed while a loss was suspected, where the first stop had been lost.
  suspected = true;
  registry = placed(5, 0, true);
  receive([said(5, 1, 1, { status: 'running' })], (a) =>
    assert.match(a!.bodies[0]!, /"stop".*"job-1\/0"/, 'stopped while a loss is suspected too'),
  );
  // A leader under its read lease started what others had told users is cancelled, for as long as that lasted.
  suspected = false;
  registry = placed(5);
  const responseBody = (tick: number): string => {
    let body = '';
    receive([said(5, 1, tick, null)], (a) => (body = a!.bodies[0]!));
    return body;
  };
  starts = false;
  assert.equal(responseBody(2), '');
  starts = true;
  assert.match(responseBody(3), /"run".*"job-1\/0"/);
});

// A machine whose heartbeats came and that responses did not reach held its job's place for as long as it went on.
test('a machine that never shows the new fencing token keeps no job waiting, and is returned', () => {
  const registry = placed(5);
  let tick = 0;
  let freed = 0;
  for (let at = 1; at < 90; at += 2) {
    registry.expireLeases(seconds(at), true);
    // Its lease, renewed by the leader before, ends at 9 s.
    const m = registry.applyHeartbeat(said(4, at < 9 ? 1 : 2, ++tick, at < 9 ? {} : null), seconds(at))!;
    registry.ordersFor(m);
    assert.equal(registry.isSchedulable(m, seconds(at)), false);
    if (freed === 0 && registry.hasObservedExit('job-1', 0)) freed = at;
  }
  assert.ok(freed > 17 && freed < 27, `freed at ${freed} s`);
  const { workers } = worldSettings('n0');
  const m = registry.machines.get('m')!;
  assert.deepEqual(
    [70, 80].map((at) => isUnreachable(m, workers, seconds(at))),
    [false, true],
  );
});

// An exit of a member observed before the gang's completion stayed, and was recorded once more after its end.
test('the completion of a gang drops the exits of its members observed before', () => {
  const jobState = new JobState();
  const gang = job('job-1', { spot: false, shape: 'gang', tasks: 2 });
  gang.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  gang.placed.set(1, { task: 1, attempt: 1, machine: 'gone', since: 0 as Micros });
  jobState.apply({ key: activeJobKey('job-1'), value: encodeJob(gang, 0), stamp: 1 });
  const registry = new WorkerRegistry(worldSettings('n0'), jobState, 5, 0 as Micros);
  registry.removeMachine('gone');
  registry.applyHeartbeat(said(5, 1, 1, { status: 'exited', cause: 'done' }), seconds(1));
  const { done, gone } = registry.exits.get('job-1')!;
  assert.deepEqual([[...done], [...gone]], [[0, 1], [1]]);
  registry.dropDurableExits('job-1', [0, 1], []);
  assert.equal(registry.exits.size, 0);
});

// It looked the best place for whatever waited: empty, with a current heartbeat, and every start sent to it was lost.
test('starts that never reach a worker go elsewhere, and its machine gets nothing for a while', () => {
  const registry = placed(5);
  const miss = (tick: number, at: number, there = false): boolean => {
    const m = registry.applyHeartbeat(said(5, 1, tick, there ? {} : null), seconds(at))!;
    registry.ordersFor(m);
    return registry.hasObservedExit('job-1', 0);
  };
  // Held up together, nobody waited for the responses between them.
  for (let tick = 1; tick < 9; tick++) assert.equal(miss(tick, 1 + tick / 10), false);
  assert.deepEqual([miss(9, 7), miss(10, 12), miss(11, 17)], [false, false, true]);
  const m = registry.machines.get('m')!;
  assert.deepEqual([registry.isSchedulable(m, seconds(17)), m.cooldownUntil], [false, seconds(27)]);
  assert.deepEqual(registry.unreachableWorkers, ['m']);
  const heard = placed(5);
  for (const [tick, at] of [
    [1, 1],
    [2, 6],
    [3, 11],
  ] as const)
    heard.ordersFor(heard.applyHeartbeat(said(5, 1, tick, null), seconds(at))!);
  heard.applyHeartbeat(said(5, 1, 4, {}), seconds(16));
  assert.equal(heard.hasObservedExit('job-1', 0), false);
});
