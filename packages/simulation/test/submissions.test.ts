/**
 * Tests every field of a submission against the protocol's tables, with real controllers and a simulated state service: for
 * unknown, known and finished jobs, and while the machine types are unknown.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Either } from 'effect';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { rejectionReason } from '@lilacvalve/controller/api/admissibility';
import { encodeFinalState } from '@lilacvalve/controller/jobs/codec';
import { readSubmission } from '@lilacvalve/controller/jobs/submission-codec';
import { finalStateKey, MACHINE_TYPES as TYPES_KEY } from '@lilacvalve/controller/jobs/keys';
import { TYPES, worldSettings } from '@lilacvalve/controller/support/settings';
import { World } from '../src/world/world.js';
import { request, validSubmission, parseBody } from './support/request.js';

/** A body, the status of the response if the job is unknown, and the field that the error of a response with 400 names first. */
interface Row {
  readonly body: unknown;
  readonly status: 201 | 400 | 422;
  readonly field?: string;
  /** The status while the machine types are unknown. */
  readonly untyped: 400 | 422 | 503;
}
type Field = keyof typeof validSubmission;
const without = (field: string): unknown =>
  Object.fromEntries(Object.entries(validSubmission).filter(([key]) => key !== field));
const malformed = (field: Field, ...values: unknown[]): Row[] =>
  values.map((value) => ({ body: { ...validSubmission, [field]: value }, status: 400, field, untyped: 400 }));
/** A submission that can never run: 503 while the machine types are unknown, unless `untyped` is given. */
const impossible = (overrides: Record<string, unknown>, untyped: 422 | 503 = 503): Row => ({
  body: { ...validSubmission, ...overrides },
  status: 422,
  untyped,
});
const valid = (overrides: Record<string, unknown>): Row => ({
  body: { ...validSubmission, ...overrides },
  status: 201,
  untyped: 503,
});

const NOT_TEXT = [null, 7, true, {}, ['x']];
const NOT_A_BOOLEAN = [null, 'true', 0, 1, {}, []];
const NOT_A_NUMBER = [null, '4', true, [4], {}, -1, -0.001];
const amount = (field: Field): Row[] => malformed(field, ...NOT_A_NUMBER);

/** By field, in the order of the protocol page. */
const FIELDS: Readonly<Record<Field, readonly Row[]>> = {
  id: malformed(
    'id',
    ...NOT_TEXT,
    '',
    'job-',
    'job-1/2',
    'job-1 ',
    ' job-1',
    'job-x',
    'job-1\n',
    'JOB-1',
    'task-1',
    'job--1',
    'job-1.5',
    `job-${'1'.repeat(200)}`,
  ),
  jobClass: malformed('jobClass', ...NOT_TEXT, ''),
  owner: [
    ...malformed('owner', ...NOT_TEXT),
    impossible({ owner: 'nobody' }, 422),
    impossible({ owner: '' }, 422),
    impossible({ owner: 'RED' }, 422),
    impossible({ owner: 'toString' }, 422),
    impossible({ owner: 'x'.repeat(60_000) }, 422),
  ],
  shape: malformed('shape', ...NOT_TEXT, '', 'swarm', 'gang', 'Array', 'toString'),
  urgency: malformed('urgency', ...NOT_TEXT, '', 'asap', 'HIGH', 'toString'),
  pieces: [
    ...malformed('pieces', ...NOT_A_NUMBER, 0, 1.5, 100_001, 2 ** 64),
    valid({ pieces: 1 }),
    valid({ pieces: 100_000, shape: 'array' }),
    valid({ pieces: 100_000, shape: 'daemon', owner: 'blue', expectS: 0 }),
    // The value of a gang's key must hold all its placements at once: it could never be started.
    valid({ pieces: 500, owner: 'blue' }),
    impossible({ pieces: 1000, owner: 'blue' }),
    impossible({ pieces: 100_000, owner: 'blue' }),
    // The team's limit is 24 CPUs. It applies to all tasks of a gang or service, and to each task of an array.
    valid({ pieces: 6 }),
    impossible({ pieces: 7 }, 422),
    impossible({ pieces: 7, shape: 'daemon', expectS: 0 }, 422),
    valid({ pieces: 7, shape: 'array' }),
  ],
  vcpus: [
    ...amount('vcpus'),
    valid({ vcpus: 0.25 }),
    valid({ vcpus: 8, pieces: 1 }),
    impossible({ vcpus: 8.001, pieces: 1 }),
    impossible({ vcpus: 1e12, owner: 'blue' }),
    // A single task exceeds the limit.
    impossible({ vcpus: 25, pieces: 2, shape: 'array' }, 422),
  ],
  accelerators: [
    ...amount('accelerators'),
    valid({ accelerators: 4, vcpus: 1 }),
    valid({ accelerators: 0.5 }),
    impossible({ accelerators: 4.5, vcpus: 1 }),
    impossible({ accelerators: 1e12 }),
  ],
  memGb: [
    ...amount('memGb'),
    valid({ memGb: 64 }),
    impossible({ memGb: 64.1 }),
    impossible({ memGb: 1e12 }),
    // Only the other machine type has enough memory.
    impossible({ memGb: 33, hostsKinds: ['c8'] }),
  ],
  bundle: malformed('bundle', ...NOT_TEXT, ''),
  // The protocol sets no maximum: machines cache images if they can and fetch them otherwise.
  imageGb: [...amount('imageGb'), valid({ imageGb: 0 }), valid({ imageGb: 51 }), valid({ imageGb: 1e300 })],
  hostsKinds: [
    ...malformed('hostsKinds', 'g4', 7, true, {}, [null], [7], ['g4', null], [['g4']]),
    { body: without('hostsKinds'), status: 201, untyped: 503 },
    valid({ hostsKinds: ['g4', 'unheard-of'] }),
    impossible({ hostsKinds: [] }),
    impossible({ hostsKinds: ['unheard-of'] }),
    impossible({ hostsKinds: ['c8'], accelerators: 1 }),
    { ...malformed('hostsKinds', ['c8', 'x'.repeat(60_000)])[0]!, untyped: 503 },
  ],
  room: [
    ...malformed('room', 7, true, {}, ['a']),
    { body: without('room'), status: 201, untyped: 503 },
    valid({ room: 'b' }),
    impossible({ room: 'nowhere' }),
    impossible({ room: '' }),
    impossible({ room: 'a', hostsKinds: ['c8'], accelerators: 1 }),
  ],
  samePlace: malformed('samePlace', ...NOT_A_BOOLEAN),
  scatter: [
    ...malformed('scatter', ...NOT_A_BOOLEAN),
    // At most half of the tasks in one zone and all tasks in one zone contradict each other for a gang of several tasks; other
    // shapes place their tasks separately.
    impossible({ scatter: true, pieces: 2 }, 422),
    impossible({ scatter: true, samePlace: false, room: 'a' }, 422),
    valid({ scatter: true, pieces: 1 }),
    valid({ scatter: true, samePlace: false }),
    valid({ scatter: true, shape: 'array' }),
    valid({ scatter: true, shape: 'daemon', expectS: 0, samePlace: false, room: 'a' }),
  ],
  borrowed: [...malformed('borrowed', ...NOT_A_BOOLEAN), valid({ borrowed: false })],
  expectS: [...amount('expectS'), valid({ expectS: 0 }), valid({ expectS: 1e300 })],
  saveEveryS: [...amount('saveEveryS'), valid({ saveEveryS: 0 }), valid({ saveEveryS: 1e300 })],
  saveTakesS: [...amount('saveTakesS'), valid({ saveTakesS: 0 }), valid({ saveTakesS: 1e300 })],
  dueS: [
    ...malformed('dueS', '900', true, {}, [900], -1),
    { body: without('dueS'), status: 201, untyped: 503 },
    valid({ dueS: null }),
    valid({ dueS: 0 }),
    valid({ dueS: 1e300 }),
  ],
};
/** Fields that may be null or absent. */
const NULLABLE = ['hostsKinds', 'room', 'dueS'];
const padded = (bytes: number): string => {
  const text = JSON.stringify({ ...validSubmission, pad: '' });
  return JSON.stringify({ ...validSubmission, pad: 'x'.repeat(bytes - text.length) });
};
const ROWS: readonly Row[] = [
  ...Object.values(FIELDS).flat(),
  ...Object.keys(validSubmission)
    .filter((field) => !NULLABLE.includes(field))
    .map((field): Row => ({ body: without(field), status: 400, field, untyped: 400 })),
  // Unknown fields are ignored, and a whole number may be written with a decimal point.
  valid({ unheardOf: { a: [null] }, __proto: 1, kind: 'x' }),
  { body: JSON.stringify(validSubmission).replace('"pieces":3', '"pieces":3.0'), status: 201, untyped: 503 },
  {
    body: JSON.stringify(validSubmission).replace('"pieces":3', '"pieces":1e999'),
    status: 400,
    field: 'pieces',
    untyped: 400,
  },
  {
    body: JSON.stringify(validSubmission).replace('"vcpus":4', '"vcpus":1e999'),
    status: 400,
    field: 'vcpus',
    untyped: 400,
  },
  { body: padded(65_536), status: 201, untyped: 503 },
];
/** Bodies that name no job, which are always malformed. */
const BODIES_WITHOUT_JOB = [
  '',
  '{"id":',
  '[]',
  '"job"',
  'null',
  '7',
  '[{"id":"job-1"}]',
  'id=job-1',
  padded(65_537),
];

const describeBody = (body: unknown): string =>
  (typeof body === 'string' ? body : JSON.stringify(body)).replace(/x{50,}/, 'x..').slice(0, 400);
/** The keys of the state service that hold data of jobs, with their revisions and values. */
const storedJobData = (world: World): Map<string, string> =>
  new Map(
    [...world.state.keys]
      .filter(([key]) => /^s\/(j|p|y|r|l)\//.test(key))
      .map(([key, entry]) => [key, `${entry.revision} ${entry.value}`]),
  );
const startWorld = (): World => {
  const world = new World(5, {});
  world.time.run(15e6);
  return world;
};
/** The body with another job ID; unchanged if it has no ID. */
const withJobId = (id: string, body: unknown): unknown => {
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  return text.replace(`"id":"${validSubmission.id}"`, `"id":"${id}"`);
};
const CONTROLLERS = ['n0', 'n1', 'n2'];

test('every field of a submission: malformed values get 400 with the name of the field, impossible ones get 422, and neither is stored', () => {
  const world = startWorld();
  let rejectedCount = 0;
  // Accepted submissions come last, since they change the stored data.
  [...ROWS]
    .sort((left, right) => Number(left.status === 201) - Number(right.status === 201))
    .forEach((row, i) => {
      const controller = CONTROLLERS[i % 3]!;
      const id = `job-${1000 + i}`;
      const storedBefore = storedJobData(world);
      const response = request(world, 'POST', '/work', withJobId(id, row.body), controller);
      assert.equal(response.status, row.status, describeBody(row.body));
      if (row.status === 201) {
        assert.deepEqual(parseBody(response), { id, status: 'pending' });
        return;
      }
      rejectedCount++;
      if (row.field !== undefined)
        assert.match(
          String(parseBody(response).error),
          new RegExp(`^${row.field}[.:]`),
          describeBody(row.body),
        );
      assert.deepEqual(storedJobData(world), storedBefore, describeBody(row.body));
      if (row.field === 'id') return;
      // The job is unknown to every controller afterwards.
      assert.equal(
        request(world, 'GET', `/work/${id}`, null, CONTROLLERS[(i + 1) % 3]).status,
        404,
        describeBody(row.body),
      );
    });
  for (const body of BODIES_WITHOUT_JOB)
    assert.equal(request(world, 'POST', '/work', body).status, 400, describeBody(body));
  assert.ok(rejectedCount > 100, `${rejectedCount}`);
  for (const field of Object.keys(validSubmission)) {
    const rows = ROWS.filter((row) => row.field === field);
    assert.ok(rows.length > 3, field);
  }
  world.stop();
});

test('a repeated submission of a known job gets its state, whatever its body holds', () => {
  const world = startWorld();
  const active = 'job-500001';
  const cancelled = 'job-500002';
  const done = 'job-500003';
  for (const id of [active, cancelled])
    assert.equal(request(world, 'POST', '/work', withJobId(id, validSubmission)).status, 201);
  assert.equal(request(world, 'POST', `/work/${cancelled}/withdraw`).status, 200);
  const write = world.state
    .port('n1')
    .transact(
      [],
      [{ set: finalStateKey(done), value: encodeFinalState({ status: 'done', tasks: 3 }) }],
      1,
      1000,
    );
  world.time.fork(write);
  world.time.run(world.time.now + 5e6);
  // Repeated submissions do not change the stored data of the jobs.
  const storedBefore = new Map([...storedJobData(world)].filter(([key]) => key.includes('job-5')));
  assert.equal(storedBefore.size, 3);
  const invalidRows = ROWS.filter((row) => row.field !== 'id');
  invalidRows.forEach((row, i) => {
    for (const [id, states] of [
      [active, ['pending', 'running']],
      [cancelled, ['aborted']],
      [done, ['done']],
    ] as const) {
      const response = request(world, 'POST', '/work', withJobId(id, row.body), CONTROLLERS[i % 3]);
      assert.equal(response.status, 200, `${id} ${describeBody(row.body)}`);
      assert.ok(
        states.some((state) => state === parseBody(response).status),
        `${id} ${describeBody(row.body)}: ${response.body.toString()}`,
      );
    }
  });
  const storedAfter = new Map([...storedJobData(world)].filter(([key]) => key.includes('job-5')));
  assert.deepEqual(storedAfter, storedBefore);
  world.stop();
});

test('while the machine types are unknown, only submissions whose check depends on them get 503', () => {
  // A controller starts during an outage of the cloud after the stored machine types were deleted.
  const world = startWorld();
  world.cloud.out = true;
  world.time.fork(world.state.port('n0').transact([], [{ delete: TYPES_KEY }], 1, 1000));
  world.time.run(world.time.now + 1e6);
  world.crash('n2', 1e6);
  world.time.run(world.time.now + 10e6);
  assert.match(request(world, 'GET', '/ready', null, 'n2').body.toString(), /machine types unknown/);
  const storedBefore = storedJobData(world);
  ROWS.forEach((row, i) => {
    const response = request(world, 'POST', '/work', withJobId(`job-${1000 + i}`, row.body), 'n2');
    assert.equal(response.status, row.untyped, describeBody(row.body));
    if (response.status === 503) assert.ok(Number(response.headers?.['Retry-After']) >= 1);
    if (response.status === 400)
      assert.match(
        String(parseBody(response).error),
        new RegExp(`^${row.field}[.:]`),
        describeBody(row.body),
      );
  });
  for (const body of BODIES_WITHOUT_JOB)
    assert.equal(request(world, 'POST', '/work', body, 'n2').status, 400, describeBody(body));
  assert.deepEqual(storedJobData(world), storedBefore);
  world.stop();
});

test('cancellations of finished or unknown jobs, or with invalid bodies, change nothing', () => {
  const world = startWorld();
  const write = world.state
    .port('n1')
    .transact(
      [],
      [{ set: finalStateKey('job-7'), value: encodeFinalState({ status: 'done', tasks: 3 }) }],
      1,
      1000,
    );
  world.time.fork(write);
  world.time.run(world.time.now + 5e6);
  const storedBefore = storedJobData(world);
  for (const controller of CONTROLLERS)
    for (const body of [null, '', '{', '[]', '{"id":"job-9"}', padded(65_537)]) {
      const response = request(world, 'POST', '/work/job-7/withdraw', body, controller);
      assert.deepEqual([response.status, parseBody(response).status], [200, 'done']);
      assert.equal(request(world, 'POST', '/work/job-8/withdraw', body, controller).status, 404);
      for (const path of ['job-8%2F0', 'job-7/0', 'JOB-7', 'job-', 'none', ''])
        assert.equal(request(world, 'POST', `/work/${path}/withdraw`, body, controller).status, 404, path);
    }
  assert.deepEqual(storedJobData(world), storedBefore);
  world.stop();
});

test('a job that no zone can run is rejected: machine types that no zone offers, tasks that must be spread but fit only one zone', () => {
  const [c8, g4] = TYPES;
  const kinds = [
    { ...c8!, zones: ['a'] },
    { ...g4!, zones: ['b'] },
    { ...g4!, name: 'huge', cpus: 64, gpus: 8, zones: [] },
  ];
  const rejectionOf = (overrides: Record<string, unknown>): string | null => {
    const submission = readSubmission(
      { ...validSubmission, owner: 'blue', ...overrides },
      seconds(1) as Micros,
    );
    assert.ok(Either.isRight(submission));
    return rejectionReason(submission.right, worldSettings('n0'), kinds);
  };
  const noFittingType = 'a task fits no allowed machine type';
  assert.equal(rejectionOf({}), null);
  assert.equal(rejectionOf({ room: 'a' }), null);
  assert.equal(rejectionOf({ room: 'b', accelerators: 4 }), null);
  assert.equal(rejectionOf({ room: 'a', accelerators: 1 }), noFittingType);
  assert.equal(rejectionOf({ room: 'b', hostsKinds: ['c8'] }), noFittingType);
  assert.equal(rejectionOf({ room: 'a', hostsKinds: ['c8', 'g4'], memGb: 33 }), noFittingType);
  // The only fitting machine type is listed but offered in no zone.
  assert.equal(rejectionOf({ vcpus: 16 }), noFittingType);
  assert.equal(rejectionOf({ hostsKinds: ['huge'] }), noFittingType);
  const scattered = { scatter: true, samePlace: false };
  assert.equal(rejectionOf(scattered), null);
  assert.match(rejectionOf({ ...scattered, accelerators: 1 })!, /only one zone/);
  assert.match(rejectionOf({ ...scattered, hostsKinds: ['c8'] })!, /only one zone/);
  assert.equal(rejectionOf({ ...scattered, accelerators: 1, shape: 'array' }), null);
  assert.equal(rejectionOf({ ...scattered, accelerators: 1, pieces: 1 }), null);
});
