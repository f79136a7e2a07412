/**
 * Pins the names and paths of the protocol: each body that a controller sends to users, workers, the cloud and the
 * state service, as text, and each field that it reads. Other programs depend on them.
 */
import assert from 'node:assert/strict';
import { createServer, type IncomingMessage } from 'node:http';
import type { AddressInfo } from 'node:net';
import { test } from 'node:test';
import { Effect, Either } from 'effect';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { route, workClassOf } from '../src/api/router.js';
import { CloudClient } from '../src/provisioning/cloud.js';
import { encodeJob } from '../src/jobs/codec.js';
import { readSubmission } from '../src/jobs/submission-codec.js';
import { activeJobKey, finalStateKey } from '../src/jobs/keys.js';
import { StateStore } from '../src/state-store/client.js';
import { Priority } from '../src/state-store/budget.js';
import {
  emptyResponse,
  readHeartbeat,
  HeartbeatReader,
  HEARTBEAT_PATH,
  senderOf,
  encodeOrders,
} from '../src/workers/codec.js';
import { WorkerClient } from '../src/workers/worker-client.js';
import { worldSettings } from './support/settings.js';

/** Runs a server that sends the listed responses in order; returns the method, path and body of each request. */
const withServer = async (
  responses: readonly (readonly [status: number, body: string])[],
  useAddress: (address: string) => Promise<void>,
): Promise<string[]> => {
  const requests: string[] = [];
  const server = createServer((request: IncomingMessage, response) => {
    let body = '';
    request.on('data', (chunk: Buffer) => (body += chunk.toString()));
    request.on('end', () => {
      const [status, responseBody] = responses[requests.length] ?? [500, ''];
      requests.push(`${request.method} ${request.url} ${body}`.trim());
      response.writeHead(status, { 'Content-Type': 'application/json', Connection: 'close' });
      response.end(responseBody);
    });
  });
  await new Promise<void>((done) => void server.listen(0, '127.0.0.1', done));
  try {
    await useAddress(`127.0.0.1:${(server.address() as AddressInfo).port}`);
  } finally {
    server.close();
    server.closeAllConnections();
  }
  return requests;
};
const run = <A, E>(effect: Effect.Effect<A, E>): Promise<A> => Effect.runPromise(effect);

test('state service: requests and responses', async () => {
  const responses = [
    [200, '{"ledgerRev":432}'],
    [409, '{"failed":["a/b"],"ledgerRev":431}'],
    [200, '{"k":"a/b","value":{"x":1},"stamp":412,"tenancy":7}'],
    [404, '{"ledgerRev":431}'],
    [200, '{"entries":[{"k":"c/8","value":2,"stamp":5}],"more":true,"ledgerRev":431}'],
    [200, '{"ledgerRev":433,"log":[{"set":"c/9","value":3,"stamp":433},{"delete":"c/d","stamp":432}]}'],
    [410, '{}'],
    [200, '{"tenancy":7}'],
    [200, '{}'],
    [404, '{}'],
    [200, '{}'],
  ] as const;
  const requests = await withServer(responses, async (address) => {
    const store = new StateStore(worldSettings('n0', { stateAddress: address }));
    const writes = [{ set: 'a/b', value: { x: 1 }, lease: 7 }, { set: 'a/c', value: 2 }, { delete: 'c/d' }];
    const conditions = [{ key: 'a/b', revision: 0 }];
    const results: unknown[] = [
      await run(store.transact(conditions, writes, Priority.Commit, 1000)),
      await run(store.transact(conditions, [], Priority.Commit, 1000)),
      (await run(store.get('a/b'))).entry,
      await run(store.get('a/c')),
      await run(store.page('c/', 'c/7', 200)),
      await run(store.follow('c/', 431, 10_000)),
      await run(store.follow('c/', 1, 0)),
      await run(store.grant(seconds(5))),
      await run(store.extend(7, 500)),
      await run(store.extend(8, 500)),
      await run(store.release(7)),
    ];
    // Compares values only, because the internal property names may change.
    assert.deepEqual(
      results.map((value) =>
        Object.values(Object(value) as object)
          .flat()
          .flatMap((item: unknown) =>
            typeof item === 'object' && item !== null ? Object.values(item) : [item],
          ),
      ),
      [
        [true, 432],
        [false, 'a/b', 431],
        ['a/b', 1, 412],
        [null, 431],
        ['c/8', 2, 5, true, 431],
        [false, 433, 'c/9', 3, 433, 'c/d', undefined, 432],
        [true],
        [],
        [],
        [],
        [], // prettier-ignore
      ],
    );
    assert.deepEqual(results.slice(7), [7, true, false, undefined]);
  });
  assert.deepEqual(requests, [
    'POST /multi {"when":[{"k":"a/b","stamp":0}],"then":[{"set":"a/b","value":{"x":1},"tenancy":7},{"set":"a/c","value":2},{"delete":"c/d"}]}',
    'POST /multi {"when":[{"k":"a/b","stamp":0}],"then":[]}',
    'GET /kv/a/b',
    'GET /kv/a/c',
    'GET /kv?prefix=c%2F&after=c%2F7&limit=200',
    'GET /follow?prefix=c%2F&after=431&blockMs=10000',
    'GET /follow?prefix=c%2F&after=1&blockMs=0',
    'POST /grants {"ttlMs":5000}',
    'POST /grants/7/extend {}',
    'POST /grants/8/extend {}',
    'DELETE /grants/7',
  ]);
});

test('cloud: requests and responses', async () => {
  const responses = [
    [
      200,
      '{"hostsKinds":[{"label":"g8","vcpus":96,"accelerators":8,"memGb":768,"cacheGb":200,"pullGbPerS":1.5,"hourly":12.0,"spotPrice":4.5,"startupS":45,"rooms":["a","b"]}]}',
    ],
    [
      200,
      '{"hosts":[{"id":"vm-1","addr":"10.1.0.232:9000","hostKind":"g8","room":"a","borrowed":true,"status":"running","heldS":61.5}],"more":true}',
    ],
    [
      200,
      '{"hosts":[{"id":"vm-2","addr":"10.1.0.2:9000","hostKind":"c8","room":"b","borrowed":false,"status":"failed","heldS":1}],"more":false}',
    ],
    [200, '{"hosts":["vm-3"]}'],
    [503, '{"error":"no capacity"}'],
    [200, '{}'],
  ] as const;
  const requests = await withServer(responses, async (address) => {
    const cloud = new CloudClient(worldSettings('n0', { cloudAddress: address, cloud: { rps: 1e4, listLag: seconds(1) } })); // prettier-ignore
    const [type] = await run(cloud.types());
    assert.deepEqual(Object.values(type!), ['g8', 96, 8, 768, 200, 1.5, 12, 4.5, 45e6, ['a', 'b']]);
    assert.deepEqual(
      (await run(cloud.list())).map((machine) => Object.values(machine)),
      [
        // prettier-ignore
        ['vm-1', '10.1.0.232:9000', 'g8', 'a', true, 'running', 61.5e6],
        ['vm-2', '10.1.0.2:9000', 'c8', 'b', false, 'failed', 1e6],
      ],
    );
    const wanted = { name: 'r-17', type: 'g8', zone: 'a', spot: true, count: 12 };
    assert.deepEqual(await run(cloud.rent(wanted, () => true)), ['vm-3']);
    assert.equal(await run(cloud.rent(wanted, () => true)), null);
    await run(cloud.remove(['vm-1', 'vm-2'], () => true));
  });
  const rent = 'POST /hosts {"hire":"r-17","hostKind":"g8","room":"a","borrowed":true,"howMany":12}';
  assert.deepEqual(requests, [
    'GET /flavors',
    'GET /hosts?limit=500',
    'GET /hosts?after=vm-1&limit=500',
    rent,
    rent,
    'POST /hosts/delete {"hosts":["vm-1","vm-2"]}',
  ]);
});

const HEARTBEAT =
  '{"host":"vm-000231","addr":"10.1.0.232:9000","hostKind":"g8","room":"a","borrowed":true,"tenure":1,"tick":88,"warrant":41,"recallS":2.5,' +
  '"pieces":[{"piece":"job-000412/3","try":2,"status":"running"},{"piece":"job-000398/0","try":1,"status":"ended","cause":"stopped","stored":true}]}';
test('workers: a heartbeat, each task status and each exit cause', () => {
  assert.equal(HEARTBEAT_PATH, '/agent/beat');
  for (const decode of [readHeartbeat, (body: Buffer) => new HeartbeatReader().read(body)]) {
    const heartbeat = decode(Buffer.from(HEARTBEAT))!;
    const { tasks, ...rest } = heartbeat;
    assert.deepEqual(Object.values(rest), [
      'vm-000231',
      '10.1.0.232:9000',
      'g8',
      'a',
      true,
      1,
      88,
      41,
      2.5e6,
    ]);
    assert.deepEqual(
      tasks.map((task) => Object.values(task)),
      [
        // prettier-ignore
        ['job-000412/3', 2, 'running', null, false],
        ['job-000398/0', 1, tasks[1]!.status, 'stopped', true],
      ],
    );
  }
  assert.equal(senderOf(Buffer.from(HEARTBEAT)), 'vm-000231');
  const decodeWith = (from: string, to: string) => readHeartbeat(Buffer.from(HEARTBEAT.replace(from, to)));
  const states = ['fetching', 'gathering', 'running', 'flushing', 'ended'];
  const statuses = states.map((status) => decodeWith('"running"', `"${status}"`)?.tasks[0]!.status);
  assert.equal(new Set(statuses).size, states.length);
  assert.ok(!statuses.includes(undefined));
  assert.equal(decodeWith('"running"', '"waiting"'), null);
  const causes = ['done', 'stopped', 'peers', 'alone', 'error', 'full', 'in_use', 'unknown'];
  const decodedCauses = causes.map((cause) => decodeWith('"stopped"', `"${cause}"`)?.tasks[1]!.cause);
  assert.equal(new Set(decodedCauses).size, causes.length);
  assert.ok(!decodedCauses.includes(undefined));
  for (const field of [
    'host',
    'addr',
    'hostKind',
    'room',
    'tenure',
    'tick',
    'warrant',
    'piece',
    'try',
    'status',
  ])
    assert.equal(decodeWith(`"${field}":`, '"other":'), null, field);
});

test('workers: heartbeat responses, direct orders and their path', async () => {
  assert.equal(emptyResponse(41), '{"warrant":41,"orders":[]}');
  const body = encodeOrders(
    41,
    [
      { op: 'start', key: 'job-000412/4', attempt: 2 },
      { op: 'stop', key: 'job-000377/1', attempt: 1, grace: seconds(10) },
      { op: 'forget', key: 'job-000398/0', attempt: 1 },
    ],
    3,
  );
  const orders =
    '"orders":[{"orderKind":"run","piece":"job-000412/4","try":2},{"orderKind":"stop","piece":"job-000377/1","try":1,"windDownS":10},{"orderKind":"reap","piece":"job-000398/0","try":1}]}';
  assert.equal(body, `{"warrant":41,"tenure":3,${orders}`);
  assert.equal(encodeOrders(41, []), '{"warrant":41,"orders":[]}');
  const requests = await withServer([[200, '{}']], (address) => run(new WorkerClient(worldSettings('n0')).sendOrders(address, body))); // prettier-ignore
  assert.deepEqual(requests, [`POST /orders ${body}`]);
});

test('users: a submission, field by field', () => {
  const body = {
    id: 'job-000412',
    jobClass: 'train',
    owner: 'vision',
    shape: 'ensemble',
    urgency: 'high',
    pieces: 16,
    vcpus: 8.5,
    accelerators: 1,
    memGb: 64,
    bundle: 'img-07',
    imageGb: 6.2,
    hostsKinds: ['g8'],
    room: 'b',
    samePlace: true,
    scatter: false,
    borrowed: true,
    expectS: 240,
    saveEveryS: 30,
    saveTakesS: 4,
    dueS: 900,
  };
  const stored = (overrides: object = {}): unknown => {
    const spec = Either.getOrThrow(readSubmission({ ...body, ...overrides }, 7 as Micros));
    const none = { cancelled: false, attempt: 0, completed: new Set<number>(), placed: new Map(), failedOn: new Set<string>() }; // prettier-ignore
    return encodeJob(
      {
        ...none,
        spec,
        loans: new Map(),
        preemptedForServices: 0,
        revision: 0,
        compactedTo: 0,
        lastSequence: 0,
      },
      0,
    );
  };
  const estimates = [240e6, 30e6, 4e6];
  assert.deepEqual(stored(), {
    ...{ c: 'train', o: 'vision', s: 'gang', u: 2, n: 16, r: [8.5, 1, 64], i: ['img-07', 6.2], h: ['g8'] },
    ...{ z: 'b', b: [1, 0, 1], e: estimates, l: 900e6, t: 7 },
  });
  const storedField = (overrides: object, field: string): unknown =>
    (stored(overrides) as Record<string, unknown>)[field];
  assert.deepEqual(['array', 'ensemble', 'daemon'].map((shape) => storedField({ shape }, 's')), ['array', 'gang', 'service']); // prettier-ignore
  assert.deepEqual(['production', 'high', 'normal', 'low'].map((urgency) => storedField({ urgency }, 'u')), [3, 2, 1, 0]); // prettier-ignore
  assert.deepEqual(storedField({ scatter: true, samePlace: false, borrowed: false }, 'b'), [0, 1, 0]);
  for (const field of Object.keys(body)) {
    const rest = Object.fromEntries(Object.entries(body).filter(([name]) => name !== field));
    const decoded = readSubmission(rest, 7 as Micros);
    const optional = ['hostsKinds', 'room', 'dueS'].includes(field);
    assert.equal(Either.isRight(decoded), optional, field);
    if (Either.isLeft(decoded)) assert.ok(decoded.left.startsWith(`${field}: `), decoded.left);
  }
});

test('users: paths and methods', async () => {
  const calls: string[] = [];
  const recordCall = (operation: string) => (id: unknown) =>
    Effect.sync(() => {
      calls.push(`${operation} ${typeof id === 'string' ? id : ''}`.trim());
      return { status: 200, body: '' };
    });
  const respond = route(
    { submit: recordCall('submit'), poll: recordCall('poll'), cancel: recordCall('withdraw') },
    () => null,
  );
  const send = (method: string, path: string) => run(respond({ method, path, body: null }));
  await send('POST', '/work');
  await send('GET', '/work/job-1');
  await send('POST', '/work/job-1/withdraw');
  assert.deepEqual(calls, ['submit', 'poll job-1', 'withdraw job-1']);
  assert.equal((await send('GET', '/ready')).status, 200);
  const wrongMethods = [['GET', '/work'], ['POST', '/work/job-1'], ['GET', '/work/job-1/withdraw'], ['POST', '/ready'], ['GET', '/agent/beat']] as const; // prettier-ignore
  for (const [method, path] of wrongMethods) assert.equal((await send(method, path)).status, 405, path);
  for (const path of ['/jobs', '/work/task-1', '/work/job-1/cancel']) assert.equal((await send('GET', path)).status, 404); // prettier-ignore
  assert.equal(workClassOf({ method: 'GET', path: '/ready', body: null }), null);
  assert.deepEqual([activeJobKey('job-1'), finalStateKey('job-1')], ['s/j/a/job-1', 's/j/z/job-1']);
});
