/**
 * Decoding of heartbeats by the leader: a task list that a machine repeats is not decoded again, with the same
 * result.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Micros } from '@lilacvalve/runtime/micros';
import { JobState } from '../src/jobs/job-state.js';
import { encodeJob } from '../src/jobs/codec.js';
import { activeJobKey } from '../src/jobs/keys.js';
import { Contacts } from '../src/leadership/contacts.js';
import { setAnomalyListener, takeMetrics } from '../src/metrics.js';
import { WorkerRegistry } from '../src/workers/worker-registry.js';
import { HeartbeatReader, HEARTBEAT_PATH, readHeartbeat } from '../src/workers/codec.js';
import { heartbeatReceiver, heartbeatHandler } from '../src/workers/heartbeat-handler.js';
import { job } from './support/job.js';
import { RandomSource } from './support/random-source.js';
import { worldSettings } from './support/settings.js';

type Fields = Record<string, unknown>;

/** Random heartbeat bodies: most as workers send them, some malformed or unusual. */
const bodyOf = (random: RandomSource, sequence: number): string => {
  const pieces: Fields[] = Array.from({ length: random.int(3) }, (_, index) => ({
    piece: `job-00${random.int(2)}/${index}`,
    try: 1 + random.int(2),
    status: random.chance(0.8) ? 'running' : 'ended',
    ...(random.chance(0.2) ? { cause: 'done', stored: random.chance(0.5) } : {}),
  }));
  const head: Fields = {
    host: `vm-${random.int(3)}`,
    addr: random.chance(0.1) ? 'a\\"pieces":[' : '10.1.0.2:9000',
    hostKind: 'g',
    room: 'a',
    borrowed: random.chance(0.5),
    tenure: 1 + random.int(2),
    tick: sequence,
    warrant: random.int(3),
    recallS: random.chance(0.1) ? 30.5 : null,
  };
  const kind = random.int(20);
  if (kind === 0) return JSON.stringify({ pieces, ...head });
  if (kind === 1) return JSON.stringify({ ...head, more: { pieces: [1] }, pieces });
  if (kind === 2) return `${JSON.stringify({ ...head, pieces }).slice(0, -1)},"warrant":9}`;
  if (kind === 3) return JSON.stringify({ ...head, pieces, tick: 'x' });
  if (kind === 4)
    return JSON.stringify({ ...head, pieces: [...pieces, random.chance(0.5) ? null : { piece: 7 }] });
  if (kind === 5) return JSON.stringify(head);
  if (kind === 6) return JSON.stringify({ ...head, pieces: null });
  if (kind === 7) return JSON.stringify([{ ...head, pieces }]);
  if (kind === 8) return JSON.stringify({ ...head, tick: -1, pieces });
  if (kind === 9) return JSON.stringify({ ...head, pieces }).slice(0, -1 - random.int(40));
  if (kind === 10) return `${JSON.stringify({ ...head, pieces }).slice(0, -1)},"pieces":[]}`;
  if (kind === 11) return `${JSON.stringify({ ...head, pieces })}}`;
  return JSON.stringify({ ...head, pieces });
};

test('decoding a heartbeat does not depend on the heartbeats decoded before', () => {
  let reusedLists = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const random = new RandomSource(seed);
    const reader = new HeartbeatReader();
    const seenLists = new Set<unknown>();
    for (let sequence = 0; sequence < 150; sequence++) {
      const body = Buffer.from(bodyOf(random, sequence));
      const read = reader.read(body);
      assert.deepEqual(read, readHeartbeat(body), `seed ${seed}, body ${String(body)}`);
      if (read !== null && seenLists.has(read.tasks)) reusedLists++;
      seenLists.add(read?.tasks);
    }
  }
  assert.ok(reusedLists > 300, `expected more than 300 reused task lists, got ${reusedLists}`);
});

test("malformed, stale and unknown heartbeats get the protocol's response, record no exit, and are counted and logged", () => {
  const runningJob = job('job-1', { spot: false });
  runningJob.placed.set(0, { task: 0, attempt: 2, machine: 'vm-1', since: 0 as Micros });
  const jobState = new JobState();
  jobState.apply({ key: activeJobKey('job-1'), value: encodeJob(runningJob, 0), revision: 1 });
  const settings = worldSettings('n0');
  const registry = new WorkerRegistry(settings, jobState, 3, 0 as Micros);
  registry.removeMachine('vm-2');
  const leaderTerm = { number: 3, revision: 1, began: 0 as Micros };
  const leadership = {
    respondingTerm: () => leaderTerm,
    currentTerm: () => null,
    depose: () => undefined,
    mayStart: () => true,
  };
  const receive = heartbeatReceiver(
    leadership,
    () => ({ registry, afterNextCycle: () => undefined }),
    () => 0 as Micros,
    new Contacts(settings),
    { suspected: false, noteToken: () => undefined },
  );
  const forward = () => assert.fail('a leader must not forward heartbeats');
  const handle = heartbeatHandler(
    receive,
    () => true,
    forward,
    () => null,
    () => undefined,
    new HeartbeatReader(),
  );
  const runningTask = { piece: 'job-1/0', try: 2, status: 'running' };
  const exitedTask = { ...runningTask, status: 'ended', cause: 'error' };
  const body = (tenure: number, tick: number, pieces: Fields[], host = 'vm-1'): string => {
    const head = { host, addr: 'x:1', hostKind: 'c8', room: 'a', borrowed: false };
    return JSON.stringify({ ...head, tenure, tick, warrant: 3, recallS: null, pieces });
  };
  const lines: string[] = [];
  const responses: string[] = [];
  takeMetrics();
  setAnomalyListener((event, fields) => lines.push(`${event} ${fields.machine ?? ''}`));
  const emptyResponse = '200 {"warrant":3,"orders":[]}';
  const cases: [string | null, string, string][] = [
    [body(2, 5, [runningTask]), emptyResponse, ''],
    [body(2, 5, [exitedTask]), emptyResponse, 'stale heartbeat vm-1'],
    [body(2, 4, [exitedTask]), emptyResponse, 'stale heartbeat vm-1'],
    [body(1, 99, []), emptyResponse, 'stale heartbeat vm-1'],
    [body(1, 1, [runningTask], 'vm-2'), emptyResponse, 'stale heartbeat vm-2'],
    [body(2, 6, [runningTask, exitedTask]), '400', 'malformed heartbeat vm-1'],
    [body(2, 6, [{ ...exitedTask, try: 0 }]), '400', 'malformed heartbeat vm-1'],
    [body(2, 6, [exitedTask]).slice(0, -2), '400', 'malformed heartbeat vm-1'],
    [null, '400', 'heartbeat too large '],
    [body(2, 6, [runningTask, { ...runningTask, piece: 'job-1/7' }]), '200', 'unknown task reported vm-1'],
  ];
  for (const [text, expectedResponse, expectedLine] of cases) {
    const lineCount = lines.length;
    handle(
      { method: 'POST', path: HEARTBEAT_PATH, body: text === null ? null : Buffer.from(text) },
      (response) => responses.push(`${response.status} ${String(response.body)}`),
    );
    assert.ok(
      responses[responses.length - 1]!.startsWith(expectedResponse),
      `${text}: ${responses[responses.length - 1]}`,
    );
    assert.deepEqual(lines.slice(lineCount), expectedLine === '' ? [] : [expectedLine], `${text}`);
  }
  setAnomalyListener(null);
  const { late, malformed, strange } = takeMetrics();
  assert.deepEqual([late, malformed, strange, registry.exits.size], [4, 4, 1, 0]);
});
