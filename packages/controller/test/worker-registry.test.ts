/** The leader's book: when a placement counts as gone. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob } from '../src/jobs/codec.js';
import { activeJobKey } from '../src/jobs/keys.js';
import { Contacts } from '../src/leadership/contacts.js';
import { isDeaf } from '../src/provisioning/autoscaler.js';
import { WorkerRegistry } from '../src/workers/worker-registry.js';
import type { Heartbeat, ReportedTask } from '../src/workers/codec.js';
import { heartbeatReceiver } from '../src/workers/heartbeat-handler.js';
import { job } from './support/job.js';
import { worldSettings } from './support/settings.js';

// A machine the new leader had never heard of once lapsed without waiting for enough nodes to know the term.
test('leases of unheard machines run out only after the new term is acknowledged', () => {
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
  // Acknowledged at 101 s; older words count 3 s more, then the lease of 12 s with drift and margin.
  assert.deepEqual(registry.expireLeases(seconds(116), true), []);
  assert.deepEqual(registry.expireLeases(seconds(118), true), ['unheard']);
});

/** The book of a term in which `job-1/0` is placed on `m`. */
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

// A late report of the session before was taken in first. An older leader had repeated the start in the new one, where it
// ran on while this leader started it elsewhere.
test('a new session ends what ran in the one before, but not what it holds itself', () => {
  const told = (token: number, holds: boolean): boolean => {
    const registry = placed(5);
    const report = (tenure: number, known: number, there: boolean) =>
      registry.applyHeartbeat(said(known, tenure, tenure, there ? {} : null), seconds(tenure));
    report(3, 4, true);
    report(4, token, holds);
    return registry.hasObservedExit('job-1', 0);
  };
  assert.equal(told(5, false), true);
  assert.equal(told(5, true), false);
  assert.equal(told(4, true), false);
  // It may still come, in the older leader's answer.
  assert.equal(told(4, false), false);
});

// The new leader heard of an exit that the old one, which held on, had not heard of: it started the same attempt again in
// the machine's next session, while the new one started the task elsewhere.
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
  // 10 s, the word of older leaders for 3 s more, a lease of 12 s, drift and margin.
  assert.deepEqual([heard(4, 25.9), heard(4, 26.1), heard(4, 99, false)], [false, true, false]);
  const done = placed(5, 9);
  done.applyHeartbeat(said(4, 3, 20, { status: 'exited', cause: 'done' }), seconds(11));
  assert.equal(done.hasObservedExit('job-1', 0), true);
});

// A leader that doubted the store for longer than a lease went on answering; then it counted all leases from before.
test('leases count from what was answered during a doubt, and what came then is not taken for older', () => {
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
  // What users cancelled went on under leases renewed in doubt where the first stop had been lost.
  suspected = true;
  registry = placed(5, 0, true);
  receive([said(5, 1, 1, { status: 'running' })], (a) =>
    assert.match(a!.bodies[0]!, /"stop".*"job-1\/0"/, 'stopped in doubt too'),
  );
  // A hold started what others had told users is cancelled, for as long as it lasted.
  suspected = false;
  registry = placed(5);
  const told = (tick: number): string => {
    let body = '';
    receive([said(5, 1, tick, null)], (a) => (body = a!.bodies[0]!));
    return body;
  };
  starts = false;
  assert.equal(told(2), '');
  starts = true;
  assert.match(told(3), /"run".*"job-1\/0"/);
});

// A machine that reported, and that answers did not reach, held its job's place for as long as it went on.
test('a machine that never shows the new token keeps no job waiting, and is returned', () => {
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
    [70, 80].map((at) => isDeaf(m, workers, seconds(at))),
    [false, true],
  );
});

// What a member said before another told that the gang is done stayed, and was recorded once more after its end.
test('the end of a gang settles what its members had said before', () => {
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

// It looked the best place for whatever waited: empty, with a current report, and every start sent to it was lost.
test('what answers in vain start on a machine goes elsewhere, and the machine gets nothing for a while', () => {
  const registry = placed(5);
  const miss = (tick: number, at: number, there = false): boolean => {
    const m = registry.applyHeartbeat(said(5, 1, tick, there ? {} : null), seconds(at))!;
    registry.ordersFor(m);
    return registry.hasObservedExit('job-1', 0);
  };
  // Held up together, nobody waited for the answers between them.
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
