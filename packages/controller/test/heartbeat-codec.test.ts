/** Heartbeats as the leader decodes them: tasks that a machine repeats are not decoded again, and mean the same. */
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
import { Luck } from './support/random-source.js';
import { worldSettings } from './support/settings.js';

type Fields = Record<string, unknown>;

/** Bodies as workers send them, and as nobody should. */
const bodyOf = (luck: Luck, tick: number): string => {
  const pieces: Fields[] = Array.from({ length: luck.int(3) }, (_, i) => ({
    piece: `job-00${luck.int(2)}/${i}`,
    try: 1 + luck.int(2),
    status: luck.chance(0.8) ? 'running' : 'ended',
    ...(luck.chance(0.2) ? { cause: 'done', stored: luck.chance(0.5) } : {}),
  }));
  const head: Fields = {
    host: `vm-${luck.int(3)}`,
    addr: luck.chance(0.1) ? 'a\\"pieces":[' : '10.1.0.2:9000',
    hostKind: 'g',
    room: 'a',
    borrowed: luck.chance(0.5),
    tenure: 1 + luck.int(2),
    tick,
    warrant: luck.int(3),
    recallS: luck.chance(0.1) ? 30.5 : null,
  };
  const kind = luck.int(20);
  if (kind === 0) return JSON.stringify({ pieces, ...head });
  if (kind === 1) return JSON.stringify({ ...head, more: { pieces: [1] }, pieces });
  if (kind === 2) return `${JSON.stringify({ ...head, pieces }).slice(0, -1)},"warrant":9}`;
  if (kind === 3) return JSON.stringify({ ...head, pieces, tick: 'x' });
  if (kind === 4)
    return JSON.stringify({ ...head, pieces: [...pieces, luck.chance(0.5) ? null : { piece: 7 }] });
  if (kind === 5) return JSON.stringify(head);
  if (kind === 6) return JSON.stringify({ ...head, pieces: null });
  if (kind === 7) return JSON.stringify([{ ...head, pieces }]);
  if (kind === 8) return JSON.stringify({ ...head, tick: -1, pieces });
  if (kind === 9) return JSON.stringify({ ...head, pieces }).slice(0, -1 - luck.int(40));
  if (kind === 10) return `${JSON.stringify({ ...head, pieces }).slice(0, -1)},"pieces":[]}`;
  if (kind === 11) return `${JSON.stringify({ ...head, pieces })}}`;
  return JSON.stringify({ ...head, pieces });
};

test('a heartbeat is decoded as if it were the first, whatever its machine and others have sent before', () => {
  let again = 0;
  for (let seed = 1; seed <= 60; seed++) {
    const luck = new Luck(seed);
    const reader = new HeartbeatReader();
    const lists = new Set<unknown>();
    for (let tick = 0; tick < 150; tick++) {
      const body = Buffer.from(bodyOf(luck, tick));
      const read = reader.read(body);
      assert.deepEqual(read, readHeartbeat(body), `seed ${seed}, ${String(body)}`);
      if (read !== null && lists.has(read.tasks)) again++;
      lists.add(read?.tasks);
    }
  }
  assert.ok(again > 300, `only ${again} lists were known`);
});

test("malformed, stale and unknown heartbeats get the protocol's response, end nothing, and are counted and logged", () => {
  const running = job('job-1', { spot: false });
  running.placed.set(0, { task: 0, attempt: 2, machine: 'vm-1', since: 0 as Micros });
  const jobState = new JobState();
  jobState.apply({ key: activeJobKey('job-1'), value: encodeJob(running, 0), stamp: 1 });
  const settings = worldSettings('n0');
  const registry = new WorkerRegistry(settings, jobState, 3, 0 as Micros);
  registry.removeMachine('vm-2');
  const leaderTerm = { number: 3, stamp: 1, began: 0 as Micros };
  const leadership = {
    answeringTerm: () => leaderTerm,
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
  const lost = () => assert.fail('passed on');
  const handle = heartbeatHandler(
    receive,
    () => true,
    lost,
    () => null,
    () => undefined,
    new HeartbeatReader(),
  );
  const there = { piece: 'job-1/0', try: 2, status: 'running' };
  const ended = { ...there, status: 'ended', cause: 'error' };
  const body = (tenure: number, tick: number, pieces: Fields[], host = 'vm-1'): string => {
    const head = { host, addr: 'x:1', hostKind: 'c8', room: 'a', borrowed: false };
    return JSON.stringify({ ...head, tenure, tick, warrant: 3, recallS: null, pieces });
  };
  const lines: string[] = [];
  const answers: string[] = [];
  takeMetrics();
  setAnomalyListener((event, fields) => lines.push(`${event} ${fields.machine ?? ''}`));
  const plain = '200 {"warrant":3,"orders":[]}';
  const cases: [string | null, string, string][] = [
    [body(2, 5, [there]), plain, ''],
    [body(2, 5, [ended]), plain, 'stale heartbeat vm-1'],
    [body(2, 4, [ended]), plain, 'stale heartbeat vm-1'],
    [body(1, 99, []), plain, 'stale heartbeat vm-1'],
    [body(1, 1, [there], 'vm-2'), plain, 'stale heartbeat vm-2'],
    [body(2, 6, [there, ended]), '400', 'malformed heartbeat vm-1'],
    [body(2, 6, [{ ...ended, try: 0 }]), '400', 'malformed heartbeat vm-1'],
    [body(2, 6, [ended]).slice(0, -2), '400', 'malformed heartbeat vm-1'],
    [null, '400', 'heartbeat too large '],
    [body(2, 6, [there, { ...there, piece: 'job-1/7' }]), '200', 'unknown task reported vm-1'],
  ];
  for (const [text, answer, line] of cases) {
    const before = lines.length;
    handle({ method: 'POST', path: HEARTBEAT_PATH, body: text === null ? null : Buffer.from(text) }, (a) =>
      answers.push(`${a.status} ${String(a.body)}`),
    );
    assert.ok(answers[answers.length - 1]!.startsWith(answer), `${text}: ${answers[answers.length - 1]}`);
    assert.deepEqual(lines.slice(before), line === '' ? [] : [line], `${text}`);
  }
  setAnomalyListener(null);
  const { late, malformed, strange } = takeMetrics();
  assert.deepEqual([late, malformed, strange, registry.exits.size], [4, 4, 1, 0]);
});
