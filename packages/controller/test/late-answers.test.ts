/** Guards on the way of a heartbeat and its response: what is late, or was asked for before something else became known. */
import assert from 'node:assert/strict';
import * as http from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import { DataLossDetector } from '../src/recovery/data-loss-detector.js';
import { expectedShare } from '../src/provisioning/boot-tracker.js';
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

const setJob = (jobState: JobState, stamp: number, withdrawn: boolean): void => {
  const j = job('job-1', { spot: false });
  j.cancelled = withdrawn;
  j.attempt = 1;
  j.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  jobState.apply({ key: activeJobKey('job-1'), value: JSON.parse(JSON.stringify(encodeJob(j, 0))), stamp });
};
/** The leader's registry: `job-1/0` is to be started on `m`. */
const registry = (jobState = new JobState()): WorkerRegistry => {
  setJob(jobState, 1, false);
  return new WorkerRegistry(settings, jobState, TERM, 0 as Micros);
};
const report = (tenure: number, tick: number, token = TERM): Heartbeat => ({
  machine: 'm',
  addr: '',
  type: 'c8',
  zone: 'a',
  spot: false,
  incarnation: tenure,
  sequence: tick,
  fencingToken: token,
  recall: null,
  tasks: [],
});

/** A leader whose responses wait for a scheduling cycle until `turn` is called. */
const leader = (
  b: WorkerRegistry,
  lossDetector: Pick<DataLossDetector, 'noteToken' | 'suspected'> | null = null,
) => {
  const waiting: (() => void)[] = [];
  const deposedBy: number[] = [];
  const state = { term: TERM as number | null, at: 10 };
  const leaderTerm = () =>
    state.term === null ? null : { number: state.term, stamp: 1, began: 0 as Micros };
  const leadership = {
    answeringTerm: leaderTerm,
    currentTerm: leaderTerm,
    mayStart: () => true,
    depose: (t: number) => void deposedBy.push(t),
  };
  const receive = heartbeatReceiver(
    leadership,
    () => ({ registry: b, afterNextCycle: (then) => void waiting.push(then) }),
    () => seconds(state.at),
    new Contacts(settings),
    lossDetector ?? { suspected: false, noteToken: () => undefined },
  );
  const take = (r: Heartbeat): { answers: HeartbeatResponses | null; given: boolean } => {
    const out = { answers: null as HeartbeatResponses | null, given: false };
    b.needsCycle = true;
    receive([r], (a) => Object.assign(out, { answers: a, given: true }));
    return out;
  };
  const turn = (): void => waiting.splice(0).forEach((then) => then());
  return { take, turn, state, deposedBy };
};
const STARTS = /"run".*"job-1\/0"/;

test('a heartbeat that waited for a cycle gets no start once a newer one is known, of its incarnation or the next', () => {
  for (const [first, second] of [
    [report(1, 1), report(1, 2)],
    // The next incarnation may number its heartbeats as it likes: the same number says nothing.
    [report(1, 7), report(2, 7)],
  ] as const) {
    const l = leader(registry());
    const older = l.take(first);
    const newer = l.take(second);
    assert.deepEqual([older.given, newer.given], [false, false], 'both wait');
    l.turn();
    assert.deepEqual(older.answers, { term: TERM, bodies: [''] }, 'its lease, and nothing else');
    assert.match(newer.answers!.bodies[0]!, STARTS);
  }
});

test('a heartbeat that waited for a cycle is not answered once the term is over, or another one has begun', () => {
  for (const then of [null, TERM + 1]) {
    const l = leader(registry());
    const waits = l.take(report(1, 1));
    l.state.term = then;
    l.turn();
    assert.deepEqual([waits.given, waits.answers], [true, null], `${then}`);
  }
  const l = leader(registry());
  const waits = l.take(report(1, 1));
  l.turn();
  assert.match(waits.answers!.bodies[0]!, STARTS);
});

test('a copy of an old heartbeat proves a higher fencing token, also while a loss is suspected', () => {
  for (const active of [false, true]) {
    const heardTokens: number[] = [];
    const l = leader(registry(), { suspected: active, noteToken: (t) => void heardTokens.push(t) });
    l.take(report(2, 9));
    // Sent long before: its tasks, its session and what it lacks say nothing. That the token was given does.
    l.take(report(1, 3, 99));
    assert.deepEqual(
      [l.deposedBy, heardTokens],
      [
        [TERM, 99],
        [TERM, 99],
      ],
    );
  }
  // A token of an earlier incarnation of the store, in the first one that anybody knows of: it had data before.
  const lossDetector = new DataLossDetector(
    () => 0 as Micros,
    () => TERM,
  );
  lossDetector.handleIncarnationRead({ id: 'i', generation: 0, revision: 1, termFloor: 50, startedAt: 0 });
  const l = leader(registry(), lossDetector);
  l.take(report(2, 9, 51));
  assert.equal(lossDetector.suspected, false, 'given in this life');
  l.take(report(1, 3, 7));
  assert.equal(lossDetector.suspected, true);
});

test("the response to a direct order is no heartbeat: a start in flight is not in it, and hasn't failed", async () => {
  const jobState = new JobState();
  const b = registry(jobState);
  // The leader answers a heartbeat with the start; it is on its way when the job is cancelled.
  assert.equal(b.ordersFor(b.applyHeartbeat(report(1, 1), seconds(10))!)[0]?.op, 'start');
  setJob(jobState, 2, true);
  const answer = {
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
  const got: string[] = [];
  const server = http.createServer((req, res) => {
    let text = '';
    req.on('data', (c: Buffer) => (text += c.toString()));
    req.on('end', () => {
      got.push(text);
      res.end(JSON.stringify(answer));
    });
  });
  await new Promise<void>((r) => server.listen(0, '127.0.0.1', r));
  const m = b.machines.get('m')!;
  m.addr = `127.0.0.1:${(server.address() as AddressInfo).port}`;
  const { sequence: tick } = m;
  b.urgentOrders.push({
    machine: m,
    order: { op: 'stop', key: 'job-1/0', attempt: 1, grace: 0 as Micros },
  });
  const admission = { enter: () => null, leave: () => undefined };
  await Effect.runPromise(sendUrgentOrders(b, new WorkerClient(settings), admission));
  for (let i = 0; i < 100 && got.length === 0; i++) await new Promise((r) => setTimeout(r, 10));
  await new Promise((r) => setTimeout(r, 50));
  server.close();
  assert.equal(got.length, 1);
  assert.match(got[0]!, /"stop"/);
  assert.deepEqual([m.sequence, b.exits.size], [tick, 0], 'nothing is concluded from it');
  // Taken for a heartbeat, it would free the room of a task that starts when the response arrives.
  b.applyHeartbeat(readHeartbeat(Buffer.from(JSON.stringify(answer)))!, seconds(11));
  assert.deepEqual([...(b.exits.get('job-1')?.gone ?? [])], [0]);
});

test('a machine that never shows the fencing token counts as pending capacity for 40 s, not for ever', () => {
  const b = registry();
  const boot = seconds(10);
  const counts: number[] = [];
  for (let at = 10; at <= 80; at += 2) {
    const m = b.applyHeartbeat(report(1, at, TERM - 1), seconds(at))!;
    b.expireLeases(seconds(at), true);
    counts.push(expectedShare(pendingMachine(m, boot, seconds(at))));
  }
  assert.equal(counts[0], 1);
  assert.ok(
    counts.some((c) => c > 0 && c < 1),
    'it counts for less and less',
  );
  // 10 s are the first heartbeat's.
  assert.deepEqual(
    counts.slice(21).filter((c) => c > 0),
    [],
  );
});
