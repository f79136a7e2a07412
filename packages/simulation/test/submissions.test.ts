/**
 * Odd requests: every field of a submission, against the protocol's tables, on real nodes over the stand-in state service;
 * of a job that nobody knows, of one that is known, of one that is over, and while the machine types are not known.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Either } from 'effect';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { rejectionReason } from '@lilacvalve/controller/api/admissibility';
import { encodeFinalState, readSubmission } from '@lilacvalve/controller/jobs/codec';
import { finalStateKey, MACHINE_TYPES as TYPES_KEY } from '@lilacvalve/controller/jobs/keys';
import { TYPES, worldSettings } from '@lilacvalve/controller/support/settings';
import { World } from '../src/world/world.js';
import { ask, good, said } from './support/ask.js';

/** A body, what it gets if nobody knows the job, and the field that a refusal with 400 names first. */
interface Row {
  readonly body: unknown;
  readonly status: 201 | 400 | 422;
  readonly field?: string;
  /** What it gets while the machine types are not known. */
  readonly untyped: 400 | 422 | 503;
}
type Field = keyof typeof good;
const without = (field: string): unknown =>
  Object.fromEntries(Object.entries(good).filter(([k]) => k !== field));
const malformed = (field: Field, ...values: unknown[]): Row[] =>
  values.map((v) => ({ body: { ...good, [field]: v }, status: 400, field, untyped: 400 }));
/** Whether it can run hangs on the machine types, unless `untyped` says otherwise. */
const never = (over: Record<string, unknown>, untyped: 422 | 503 = 503): Row => ({
  body: { ...good, ...over },
  status: 422,
  untyped,
});
const fine = (over: Record<string, unknown>): Row => ({
  body: { ...good, ...over },
  status: 201,
  untyped: 503,
});

const NOT_TEXT = [null, 7, true, {}, ['x']];
const NOT_A_FLAG = [null, 'true', 0, 1, {}, []];
const NOT_AN_AMOUNT = [null, '4', true, [4], {}, -1, -0.001];
const amount = (field: Field): Row[] => malformed(field, ...NOT_AN_AMOUNT);

/** By field, in the order of the page. */
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
    never({ owner: 'nobody' }, 422),
    never({ owner: '' }, 422),
    never({ owner: 'RED' }, 422),
    never({ owner: 'toString' }, 422),
    never({ owner: 'x'.repeat(60_000) }, 422),
  ],
  shape: malformed('shape', ...NOT_TEXT, '', 'swarm', 'gang', 'Array', 'toString'),
  urgency: malformed('urgency', ...NOT_TEXT, '', 'asap', 'HIGH', 'toString'),
  pieces: [
    ...malformed('pieces', ...NOT_AN_AMOUNT, 0, 1.5, 100_001, 2 ** 64),
    fine({ pieces: 1 }),
    fine({ pieces: 100_000, shape: 'array' }),
    fine({ pieces: 100_000, owner: 'blue' }),
    // Limit of the team: 24 CPUs. A gang counts whole and so does a service, an array by the task.
    fine({ pieces: 6 }),
    never({ pieces: 7 }, 422),
    never({ pieces: 7, shape: 'daemon', expectS: 0 }, 422),
    fine({ pieces: 7, shape: 'array' }),
  ],
  vcpus: [
    ...amount('vcpus'),
    fine({ vcpus: 0.25 }),
    fine({ vcpus: 8, pieces: 1 }),
    never({ vcpus: 8.001, pieces: 1 }),
    never({ vcpus: 1e12, owner: 'blue' }),
    // Beyond the limit by one task already.
    never({ vcpus: 25, pieces: 2, shape: 'array' }, 422),
  ],
  accelerators: [
    ...amount('accelerators'),
    fine({ accelerators: 4, vcpus: 1 }),
    fine({ accelerators: 0.5 }),
    never({ accelerators: 4.5, vcpus: 1 }),
    never({ accelerators: 1e12 }),
  ],
  memGb: [
    ...amount('memGb'),
    fine({ memGb: 64 }),
    never({ memGb: 64.1 }),
    never({ memGb: 1e12 }),
    // The one type has the memory and the other is the only one allowed.
    never({ memGb: 33, hostsKinds: ['c8'] }),
  ],
  bundle: malformed('bundle', ...NOT_TEXT, ''),
  // The page sets no bound: machines cache what they can, and fetch what they must.
  imageGb: [...amount('imageGb'), fine({ imageGb: 0 }), fine({ imageGb: 51 }), fine({ imageGb: 1e300 })],
  hostsKinds: [
    ...malformed('hostsKinds', 'g4', 7, true, {}, [null], [7], ['g4', null], [['g4']]),
    { body: without('hostsKinds'), status: 201, untyped: 503 },
    fine({ hostsKinds: ['g4', 'unheard-of'] }),
    never({ hostsKinds: [] }),
    never({ hostsKinds: ['unheard-of'] }),
    never({ hostsKinds: ['c8'], accelerators: 1 }),
    { ...malformed('hostsKinds', ['c8', 'x'.repeat(60_000)])[0]!, untyped: 503 },
  ],
  room: [
    ...malformed('room', 7, true, {}, ['a']),
    { body: without('room'), status: 201, untyped: 503 },
    fine({ room: 'b' }),
    never({ room: 'nowhere' }),
    never({ room: '' }),
    never({ room: 'a', hostsKinds: ['c8'], accelerators: 1 }),
  ],
  samePlace: malformed('samePlace', ...NOT_A_FLAG),
  scatter: [
    ...malformed('scatter', ...NOT_A_FLAG),
    // At most half of the tasks in one zone, and all of them in one: a gang of several can't, others run by parts.
    never({ scatter: true, pieces: 2 }, 422),
    never({ scatter: true, samePlace: false, room: 'a' }, 422),
    fine({ scatter: true, pieces: 1 }),
    fine({ scatter: true, samePlace: false }),
    fine({ scatter: true, shape: 'array' }),
    fine({ scatter: true, shape: 'daemon', expectS: 0, samePlace: false, room: 'a' }),
  ],
  borrowed: [...malformed('borrowed', ...NOT_A_FLAG), fine({ borrowed: false })],
  expectS: [...amount('expectS'), fine({ expectS: 0 }), fine({ expectS: 1e300 })],
  saveEveryS: [...amount('saveEveryS'), fine({ saveEveryS: 0 }), fine({ saveEveryS: 1e300 })],
  saveTakesS: [...amount('saveTakesS'), fine({ saveTakesS: 0 }), fine({ saveTakesS: 1e300 })],
  dueS: [
    ...malformed('dueS', '900', true, {}, [900], -1),
    { body: without('dueS'), status: 201, untyped: 503 },
    fine({ dueS: null }),
    fine({ dueS: 0 }),
    fine({ dueS: 1e300 }),
  ],
};
/** May be null, so may be absent. */
const NULLABLE = ['hostsKinds', 'room', 'dueS'];
const padded = (bytes: number): string => {
  const text = JSON.stringify({ ...good, pad: '' });
  return JSON.stringify({ ...good, pad: 'x'.repeat(bytes - text.length) });
};
const ROWS: readonly Row[] = [
  ...Object.values(FIELDS).flat(),
  ...Object.keys(good)
    .filter((f) => !NULLABLE.includes(f))
    .map((field): Row => ({ body: without(field), status: 400, field, untyped: 400 })),
  // Unknown fields are ignored, whatever they hold, and a count is a count however it is written.
  fine({ unheardOf: { a: [null] }, __proto: 1, kind: 'x' }),
  { body: JSON.stringify(good).replace('"pieces":3', '"pieces":3.0'), status: 201, untyped: 503 },
  {
    body: JSON.stringify(good).replace('"pieces":3', '"pieces":1e999'),
    status: 400,
    field: 'pieces',
    untyped: 400,
  },
  {
    body: JSON.stringify(good).replace('"vcpus":4', '"vcpus":1e999'),
    status: 400,
    field: 'vcpus',
    untyped: 400,
  },
  { body: padded(65_536), status: 201, untyped: 503 },
];
/** What names no job at all is malformed whatever is known. */
const NO_JOB = ['', '{"id":', '[]', '"job"', 'null', '7', '[{"id":"job-1"}]', 'id=job-1', padded(65_537)];

const named = (b: unknown): string =>
  (typeof b === 'string' ? b : JSON.stringify(b)).replace(/x{50,}/, 'x..').slice(0, 400);
/** Of all that a store holds, what says anything of jobs. */
const durable = (w: World): Map<string, string> =>
  new Map(
    [...w.state.keys]
      .filter(([k]) => /^s\/(j|p|y|r|l)\//.test(k))
      .map(([k, e]) => [k, `${e.revision} ${e.value}`]),
  );
const world = (): World => {
  const w = new World(5, {});
  w.time.run(15e6);
  return w;
};
/** The same body for another job; as it is where it does not say which. */
const of = (id: string, body: unknown): unknown => {
  const text = typeof body === 'string' ? body : JSON.stringify(body);
  return text.replace(`"id":"${good.id}"`, `"id":"${id}"`);
};
const NODES = ['n0', 'n1', 'n2'];

test('every field of a submission: what is malformed gets 400 and its name, what can never run 422; neither is kept', () => {
  const w = world();
  let refused = 0;
  // Those that are taken come last: they run, and that is durable.
  [...ROWS]
    .sort((x, y) => Number(x.status === 201) - Number(y.status === 201))
    .forEach((row, i) => {
      const node = NODES[i % 3]!;
      const id = `job-${1000 + i}`;
      const before = durable(w);
      const a = ask(w, 'POST', '/work', of(id, row.body), node);
      assert.equal(a.status, row.status, named(row.body));
      if (row.status === 201) {
        assert.deepEqual(said(a), { id, status: 'pending' });
        return;
      }
      refused++;
      if (row.field !== undefined)
        assert.match(String(said(a).error), new RegExp(`^${row.field}[.:]`), named(row.body));
      assert.deepEqual(durable(w), before, named(row.body));
      if (row.field === 'id') return;
      // Nobody knows it now: no node, and a good submission of it is taken as a new one.
      assert.equal(ask(w, 'GET', `/work/${id}`, null, NODES[(i + 1) % 3]).status, 404, named(row.body));
    });
  for (const body of NO_JOB) assert.equal(ask(w, 'POST', '/work', body).status, 400, named(body));
  assert.ok(refused > 100, `${refused}`);
  for (const field of Object.keys(good)) {
    const rows = ROWS.filter((r) => r.field === field);
    assert.ok(rows.length > 3, field);
  }
  w.stop();
});

test('a repeated submission of a known job gets its state, however odd its body is now', () => {
  const w = world();
  const active = 'job-500001';
  const cancelled = 'job-500002';
  const done = 'job-500003';
  for (const id of [active, cancelled]) assert.equal(ask(w, 'POST', '/work', of(id, good)).status, 201);
  assert.equal(ask(w, 'POST', `/work/${cancelled}/withdraw`).status, 200);
  const write = w.state
    .port('n1')
    .transact(
      [],
      [{ set: finalStateKey(done), value: encodeFinalState({ status: 'done', tasks: 3 }) }],
      1,
      1000,
    );
  w.time.fork(write);
  w.time.run(w.time.now + 5e6);
  // What runs of it goes on; what a user could be told, and what is durable of it, is the submission's.
  const before = new Map([...durable(w)].filter(([k]) => k.includes('job-5')));
  assert.equal(before.size, 3);
  const odd = ROWS.filter((r) => r.field !== 'id');
  odd.forEach((row, i) => {
    for (const [id, states] of [
      [active, ['pending', 'running']],
      [cancelled, ['aborted']],
      [done, ['done']],
    ] as const) {
      const a = ask(w, 'POST', '/work', of(id, row.body), NODES[i % 3]);
      assert.equal(a.status, 200, `${id} ${named(row.body)}`);
      assert.ok(
        states.some((s) => s === said(a).status),
        `${id} ${named(row.body)}: ${a.body.toString()}`,
      );
    }
  });
  const kept = new Map([...durable(w)].filter(([k]) => k.includes('job-5')));
  assert.deepEqual(kept, before);
  w.stop();
});

test('while the machine types are not known, 503 only for what hangs on them', () => {
  // A node that starts while the cloud is out, and the hint in the store is lost.
  const w = world();
  w.cloud.out = true;
  w.time.fork(w.state.port('n0').transact([], [{ delete: TYPES_KEY }], 1, 1000));
  w.time.run(w.time.now + 1e6);
  w.crash('n2', 1e6);
  w.time.run(w.time.now + 10e6);
  assert.match(ask(w, 'GET', '/ready', null, 'n2').body.toString(), /machine types unknown/);
  const before = durable(w);
  ROWS.forEach((row, i) => {
    const a = ask(w, 'POST', '/work', of(`job-${1000 + i}`, row.body), 'n2');
    assert.equal(a.status, row.untyped, named(row.body));
    if (a.status === 503) assert.ok(Number(a.headers?.['Retry-After']) >= 1);
    if (a.status === 400)
      assert.match(String(said(a).error), new RegExp(`^${row.field}[.:]`), named(row.body));
  });
  for (const body of NO_JOB) assert.equal(ask(w, 'POST', '/work', body, 'n2').status, 400, named(body));
  assert.deepEqual(durable(w), before);
  w.stop();
});

test('a cancellation of a job that is over, of one never submitted and with an odd body changes nothing', () => {
  const w = world();
  const write = w.state
    .port('n1')
    .transact(
      [],
      [{ set: finalStateKey('job-7'), value: encodeFinalState({ status: 'done', tasks: 3 }) }],
      1,
      1000,
    );
  w.time.fork(write);
  w.time.run(w.time.now + 5e6);
  const before = durable(w);
  for (const node of NODES)
    for (const body of [null, '', '{', '[]', '{"id":"job-9"}', padded(65_537)]) {
      const over = ask(w, 'POST', '/work/job-7/withdraw', body, node);
      assert.deepEqual([over.status, said(over).status], [200, 'done']);
      assert.equal(ask(w, 'POST', '/work/job-8/withdraw', body, node).status, 404);
      for (const path of ['job-8%2F0', 'job-7/0', 'JOB-7', 'job-', 'none', ''])
        assert.equal(ask(w, 'POST', `/work/${path}/withdraw`, body, node).status, 404, path);
    }
  assert.deepEqual(durable(w), before);
  w.stop();
});

test('a job that no zone could ever run is refused: types that none offers, gangs that must and may not share a zone', () => {
  const [c8, g4] = TYPES;
  const kinds = [
    { ...c8!, zones: ['a'] },
    { ...g4!, zones: ['b'] },
    { ...g4!, name: 'huge', cpus: 64, gpus: 8, zones: [] },
  ];
  const says = (over: Record<string, unknown>): string | null => {
    const read = readSubmission({ ...good, owner: 'blue', ...over }, seconds(1) as Micros);
    assert.ok(Either.isRight(read));
    return rejectionReason(read.right, worldSettings('n0'), kinds);
  };
  const unfit = 'a task fits no allowed machine type';
  assert.equal(says({}), null);
  assert.equal(says({ room: 'a' }), null);
  assert.equal(says({ room: 'b', accelerators: 4 }), null);
  assert.equal(says({ room: 'a', accelerators: 1 }), unfit);
  assert.equal(says({ room: 'b', hostsKinds: ['c8'] }), unfit);
  assert.equal(says({ room: 'a', hostsKinds: ['c8', 'g4'], memGb: 33 }), unfit);
  // It is in the list, and offered in no zone.
  assert.equal(says({ vcpus: 16 }), unfit);
  assert.equal(says({ hostsKinds: ['huge'] }), unfit);
  const apart = { scatter: true, samePlace: false };
  assert.equal(says(apart), null);
  assert.match(says({ ...apart, accelerators: 1 })!, /only one zone/);
  assert.match(says({ ...apart, hostsKinds: ['c8'] })!, /only one zone/);
  assert.equal(says({ ...apart, accelerators: 1, shape: 'array' }), null);
  assert.equal(says({ ...apart, accelerators: 1, pieces: 1 }), null);
});
