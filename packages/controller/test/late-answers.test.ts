/** Late and outdated messages: heartbeats that wait for a scheduling cycle, copies of old heartbeats, late responses. */
import assert from 'node:assert/strict';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import { DataLossDetector } from '../src/recovery/data-loss-detector.js';
import { expectedFraction } from '../src/provisioning/boot-tracker.js';
import { pendingMachine } from '../src/provisioning/machine-health.js';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob } from '../src/jobs/codec.js';
import { activeJobKey } from '../src/jobs/keys.js';
import { Contacts } from '../src/leadership/contacts.js';
import { WorkerRegistry } from '../src/workers/worker-registry.js';
import { type HeartbeatResponses, readHeartbeat, type Heartbeat } from '../src/workers/codec.js';
import { heartbeatReceiver } from '../src/workers/heartbeat-handler.js';
import { sendUrgentOrders, WorkerClient } from '../src/workers/worker-client.js';
import { job } from './support/job.js';
import { worldSettings } from './support/settings.js';

const settings = worldSettings('n0');
const TERM = 5;

/** Stores `job-1`, whose task 0 is placed on machine `m`, at revision `stamp`. */
const setJob = (jobState: JobState, revision: number, cancelled: boolean): void => {
  const placedJob = job('job-1', { spot: false });
  placedJob.cancelled = cancelled;
  placedJob.attempt = 1;
  placedJob.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  jobState.apply({
    key: activeJobKey('job-1'),
    value: JSON.parse(JSON.stringify(encodeJob(placedJob, 0))),
    revision,
  });
};
/** The leader's registry: `job-1/0` is to be started on `m`. */
const newRegistry = (jobState = new JobState()): WorkerRegistry => {
  setJob(jobState, 1, false);
  return new WorkerRegistry(settings, jobState, TERM, 0 as Micros);
};
const heartbeat = (incarnation: number, sequence: number, token = TERM): Heartbeat => ({
  machine: 'm',
  addr: '',
  type: 'c8',
  zone: 'a',
  spot: false,
  incarnation,
  sequence,
  fencingToken: token,
  recall: null,
  tasks: [],
});

/** A leader whose responses to heartbeats wait for a scheduling cycle until `runCycle` is called. */
const newLeader = (
  registry: WorkerRegistry,
  lossDetector: Pick<DataLossDetector, 'noteToken' | 'suspected'> | null = null,
) => {
  const waiting: (() => void)[] = [];
  const deposedBy: number[] = [];
  const state = { term: TERM as number | null, at: 10 };
  const leaderTerm = () =>
    state.term === null ? null : { number: state.term, revision: 1, began: 0 as Micros };
  const leadership = {
    respondingTerm: leaderTerm,
    currentTerm: leaderTerm,
    mayStart: () => true,
    depose: (token: number) => void deposedBy.push(token),
  };
  const receiver = heartbeatReceiver(
    leadership,
    () => ({ registry, afterNextCycle: (then) => void waiting.push(then) }),
    () => seconds(state.at),
    new Contacts(settings),
    lossDetector ?? { suspected: false, noteToken: () => undefined },
  );
  const receive = (received: Heartbeat): { responses: HeartbeatResponses | null; responded: boolean } => {
    const result = { responses: null as HeartbeatResponses | null, responded: false };
    registry.needsCycle = true;
    receiver([received], (responses) => Object.assign(result, { responses, responded: true }));
    return result;
  };
  const runCycle = (): void => waiting.splice(0).forEach((then) => then());
  return { receive, runCycle, state, deposedBy };
};
const STARTS = /"run".*"job-1\/0"/;

test('a heartbeat that waited for a cycle gets no start if a newer one, of its or the next incarnation, has arrived', () => {
  for (const [first, second] of [
    [heartbeat(1, 1), heartbeat(1, 2)],
    // A new incarnation of the worker may start its sequence numbers anywhere, so that equal numbers mean nothing.
    [heartbeat(1, 7), heartbeat(2, 7)],
  ] as const) {
    const leader = newLeader(newRegistry());
    const older = leader.receive(first);
    const newer = leader.receive(second);
    assert.deepEqual([older.responded, newer.responded], [false, false], 'both wait');
    leader.runCycle();
    assert.deepEqual(older.responses, { term: TERM, bodies: [''] }, 'its lease is renewed, without orders');
    assert.match(newer.responses!.bodies[0]!, STARTS);
  }
});

test('a heartbeat that waited for a cycle gets no response if the term has ended or another one has begun', () => {
  for (const laterTerm of [null, TERM + 1]) {
    const leader = newLeader(newRegistry());
    const waiting = leader.receive(heartbeat(1, 1));
    leader.state.term = laterTerm;
    leader.runCycle();
    assert.deepEqual([waiting.responded, waiting.responses], [true, null], `${laterTerm}`);
  }
  const leader = newLeader(newRegistry());
  const waiting = leader.receive(heartbeat(1, 1));
  leader.runCycle();
  assert.match(waiting.responses!.bodies[0]!, STARTS);
});

test('a copy of an old heartbeat proves that a higher fencing token exists, even while a data loss is suspected', () => {
  for (const suspected of [false, true]) {
    const notedTokens: number[] = [];
    const leader = newLeader(newRegistry(), {
      suspected,
      noteToken: (token) => void notedTokens.push(token),
    });
    leader.receive(heartbeat(2, 9));
    // An outdated heartbeat: its tasks and its incarnation are ignored, but it proves that the token was given out.
    leader.receive(heartbeat(1, 3, 99));
    assert.deepEqual(
      [leader.deposedBy, notedTokens],
      [
        [TERM, 99],
        [TERM, 99],
      ],
    );
  }
  // A token below the term floor of the first known incarnation was given out before it: an earlier store was lost.
  const lossDetector = new DataLossDetector(
    () => 0 as Micros,
    () => TERM,
  );
  lossDetector.handleIncarnationRead({ id: 'i', generation: 0, revision: 1, termFloor: 50, startedAt: 0 });
  const leader = newLeader(newRegistry(), lossDetector);
  leader.receive(heartbeat(2, 9, 51));
  assert.equal(lossDetector.suspected, false, 'a token of the present incarnation of the store');
  leader.receive(heartbeat(1, 3, 7));
  assert.equal(lossDetector.suspected, true);
});

// A worker's response to a direct order has the form of a heartbeat. Taken for one, it would show that a task whose start is
// still on its way has failed, and free the task's resources before it starts.
test('the response to a direct order does not count as a heartbeat, so a start on its way has not failed', async () => {
  const jobState = new JobState();
  const registry = newRegistry(jobState);
  // The leader responds to a heartbeat with the start, which is on its way when the job is cancelled.
  assert.equal(registry.ordersFor(registry.applyHeartbeat(heartbeat(1, 1), seconds(10))!)[0]?.op, 'start');
  setJob(jobState, 2, true);
  const response = {
    host: 'm',
    addr: '',
    hostKind: 'c8',
    room: 'a',
    borrowed: false,
    tenure: 1,
    tick: 2,
    warrant: TERM,
    recallS: null,
    pieces: [],
  };
  const receivedBodies: string[] = [];
  const server = http.createServer((req, res) => {
    let text = '';
    req.on('data', (chunk: Buffer) => (text += chunk.toString()));
    req.on('end', () => {
      receivedBodies.push(text);
      res.end(JSON.stringify(response));
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const machine = registry.machines.get('m')!;
  machine.addr = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const { sequence: sequenceBefore } = machine;
  registry.urgentOrders.push({
    machine,
    order: { op: 'stop', key: 'job-1/0', attempt: 1, grace: 0 as Micros },
  });
  const admission = { enter: () => null, leave: () => undefined };
  await Effect.runPromise(sendUrgentOrders(registry, new WorkerClient(settings), admission));
  for (let i = 0; i < 100 && receivedBodies.length === 0; i++)
    await new Promise((resolve) => setTimeout(resolve, 10));
  await new Promise((resolve) => setTimeout(resolve, 50));
  server.close();
  assert.equal(receivedBodies.length, 1);
  assert.match(receivedBodies[0]!, /"stop"/);
  assert.deepEqual(
    [machine.sequence, registry.exits.size],
    [sequenceBefore, 0],
    'the response changes nothing in the registry',
  );
  // Counter-check: applied as a heartbeat, the same body does free the task's resources.
  registry.applyHeartbeat(readHeartbeat(Buffer.from(JSON.stringify(response)))!, seconds(11));
  assert.deepEqual([...(registry.exits.get('job-1')?.exited ?? [])], [0]);
});

test('a machine that never shows the fencing token counts as pending capacity for 40 s at most', () => {
  const registry = newRegistry();
  const boot = seconds(10);
  const fractions: number[] = [];
  for (let at = 10; at <= 80; at += 2) {
    const machine = registry.applyHeartbeat(heartbeat(1, at, TERM - 1), seconds(at))!;
    registry.expireLeases(seconds(at), true);
    fractions.push(expectedFraction(pendingMachine(machine, boot, seconds(at))));
  }
  assert.equal(fractions[0], 1);
  assert.ok(
    fractions.some((fraction) => fraction > 0 && fraction < 1),
    'the machine counts for a decreasing fraction',
  );
  // The first heartbeat is at 10 s, so that item 21 is 42 s later.
  assert.deepEqual(
    fractions.slice(21).filter((fraction) => fraction > 0),
    [],
  );
});
