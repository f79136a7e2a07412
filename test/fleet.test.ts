/** What to rent and to return. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { type Micros, seconds } from '../src/base/micros.js';
import { type Offer, type PlanInput, type Rental, rentals, returns } from '../src/fleet/plan.js';
import type { Job, JobSpec } from '../src/jobs/model.js';
import { job as anyJob } from './world/job.js';
import { TYPES } from './world/world.js';

const job = (over: Partial<JobSpec> = {}): Job =>
  anyJob('job-1', { urgency: 1, cpus: 4, spot: false, ...over });
const plan = (over: Partial<PlanInput>): Rental[] => full(over).rent;
const full = (over: Partial<PlanInput>) =>
  rentals({
    types: TYPES,
    bins: [],
    demand: [],
    companions: [],
    surplus: new Set(),
    refused: () => false,
    late: () => false,
    most: 40,
    ...over,
  });

test('rents the cheapest that fits, as many as are short, and asks elsewhere after a refusal', () => {
  assert.deepEqual(plan({ demand: [{ job: job(), count: 5 }] }), [
    { type: 'c8', zone: 'a', spot: false, count: 3 },
  ]);
  const refused = (o: Offer) => o.zone === 'a';
  assert.deepEqual(plan({ demand: [{ job: job(), count: 5 }], refused }), [
    { type: 'c8', zone: 'b', spot: false, count: 3 },
  ]);
  assert.deepEqual(plan({ demand: [{ job: job({ spot: true }), count: 1 }] })[0]?.spot, true);
  assert.deepEqual(plan({ demand: [{ job: job({ gpus: 1 }), count: 1 }] })[0]?.type, 'g4');
  assert.deepEqual(plan({ demand: [{ job: job({ cpus: 99 }), count: 1 }] }), []);
});

test('room that is there or on its way is not rented again', () => {
  const bins = [{ type: 'c8', zone: 'a', spot: false, free: [8, 0, 32] as [number, number, number] }];
  assert.deepEqual(plan({ bins, demand: [{ job: job(), count: 2 }] }), []);
  assert.equal(plan({ bins, demand: [{ job: job(), count: 3 }] })[0]?.count, 1);
});

test('room that the cycle keeps for GPU jobs is no room for others', () => {
  // Guards against a job that waited beside empty GPU machines, and for which nothing was rented.
  const bins = [
    { id: 'vm-1', type: 'g4', zone: 'a', spot: false, free: [8, 4, 32] as [number, number, number] },
  ];
  const companions = [
    { urgency: 1, cpusPerGpu: 2, memPerGpu: 1, waiting: true, patience: 0 as Micros },
  ] as const;
  const demand = [{ job: job(), count: 1 }];
  assert.deepEqual(plan({ bins, demand }), []);
  assert.deepEqual(plan({ bins, demand, companions }), [{ type: 'c8', zone: 'a', spot: false, count: 1 }]);
});

test('a long queue that one type of machine serves leaves others their turn to rent', () => {
  // Guards against GPU jobs for which nothing was rented for a minute: thousands of small tasks before them
  // asked in vain for all machines of a step.
  const demand = [
    { job: job({ types: ['c8'] }), count: 500 },
    { job: job({ gpus: 4 }), count: 3 },
  ];
  assert.deepEqual(
    plan({ demand }).map((r) => [r.type, r.count]),
    [
      ['c8', 40],
      ['g4', 3],
    ],
  );
});

test('a gang of one zone gets its machines in one zone', () => {
  const got = plan({
    demand: [{ job: job({ oneZone: true, tasks: 5 }), count: 5 }],
    refused: (o) => o.zone === 'a',
  });
  assert.deepEqual(
    got.map((r) => [r.zone, r.count]),
    [['b', 3]],
  );
});

// One zone's ample room once hid that a spread gang had nowhere to put its other half, and it waited for ever.
test('a job that must spread gets room in a second zone', () => {
  const bins = [{ type: 'c8', zone: 'a', spot: false, free: [8, 0, 32] as [number, number, number] }];
  const got = plan({ bins, demand: [{ job: job({ spread: true, tasks: 3, cpus: 2 }), count: 3 }] });
  assert.deepEqual(
    got.map((r) => [r.zone, r.count]),
    [['b', 1]],
  );
});

// A gang's machines boot at different times; the early ones were returned as idle before the last was up, for ever.
test('machines that a waiting gang counts on are needed', () => {
  const bin = (id: string) => ({
    id,
    type: 'c8',
    zone: 'a',
    spot: false,
    free: [8, 0, 32] as [number, number, number],
  });
  const gang = job({ shape: 'gang', oneZone: true, tasks: 3, cpus: 5 });
  const got = full({ bins: [bin('m1'), bin('m2')], demand: [{ job: gang, count: 3 }] });
  assert.deepEqual([...got.needed], ['m1', 'm2']);
  assert.deepEqual(
    got.rent.map((r) => [r.zone, r.count]),
    [['a', 1]],
  );
});

test('returns only what was idle for long enough and past the shortest charge', () => {
  const idle = (id: string, idleFor: number, age: number) => ({
    id,
    type: 'c8',
    zone: 'a',
    spot: false,
    idleFor: seconds(idleFor),
    age: seconds(age),
  });
  const list = [idle('m1', 50, 100), idle('m2', 10, 100), idle('m3', 50, 51)];
  assert.deepEqual(
    returns(list, () => seconds(45) as Micros),
    ['m1'],
  );
});
