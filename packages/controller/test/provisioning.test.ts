/** What to rent and to return. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readList } from '../src/provisioning/cloud.js';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import {
  type Awaited,
  BootTracker,
  countsFor,
  isOverdue,
  roomOnTheWay,
} from '../src/provisioning/boot-tracker.js';
import type { Offer } from '../src/provisioning/model.js';
import {
  type PlanInput,
  type Rental,
  rentals,
  returns,
  typesWanted,
} from '../src/provisioning/scaling-plan.js';
import type { Job, JobSpec } from '../src/jobs/model.js';
import { job as anyJob } from './support/job.js';
import { TYPES, worldSettings } from './support/settings.js';
import { isMute } from '../src/provisioning/autoscaler.js';
import { RentalRequests } from '../src/provisioning/rental-requests.js';
import { JobState } from '../src/jobs/job-state.js';
import type { Machine } from '../src/workers/machine.js';
import { WorkerRegistry } from '../src/workers/worker-registry.js';

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
    avoid: () => null,
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
test('a machine that a job avoids is no room for it, and not kept for it', () => {
  const bins = [
    { id: 'vm-1', type: 'c8', zone: 'a', spot: false, free: [8, 0, 32] as [number, number, number] },
    { id: 'vm-2', type: 'c8', zone: 'b', spot: false, free: [8, 0, 32] as [number, number, number] },
  ];
  const demand = [{ job: job({ shape: 'gang', tasks: 2, cpus: 8, spread: true }), count: 2 }];
  const there = full({ demand, bins });
  assert.deepEqual([there.rent, [...there.needed]], [[], ['vm-1', 'vm-2']]);
  const shunned = full({ demand, bins, avoid: () => new Set(['vm-2']) });
  assert.deepEqual(
    [shunned.rent, [...shunned.needed]],
    [[{ type: 'c8', zone: 'b', spot: false, count: 1 }], ['vm-1']],
  );
});

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

const on = (ageS: number, runningForS: number | null = null): Awaited => ({
  age: seconds(ageS),
  boot: seconds(30),
  runningFor: runningForS === null ? null : seconds(runningForS),
});

// Work that "had" a machine on its way waited for it until it was given up after 150 s.
test('a machine counts for less the longer it is overdue, and never is a second fleet rented for late ones', () => {
  assert.deepEqual([on(0), on(45), on(75), on(105), on(400)].map(countsFor), [1, 1, 0.5, 0, 0]);
  // Up early, as the cloud has it, and its worker silent; a new leader counts from when it first saw it so.
  assert.deepEqual([on(200, 5), on(200, 25), on(200, 60)].map(countsFor), [1, 0.5, 0]);
  assert.deepEqual([on(45), on(46)].map(isOverdue), [false, true]);
  const all = (n: number, ageS: number) => Array.from({ length: n }, () => on(ageS));
  assert.deepEqual(
    [20, 60, 75, 200].map((age) => roomOnTheWay(all(10, age))),
    [10, 8, 5, 5],
  );
  assert.deepEqual(
    [20, 74, 90].map((age) => roomOnTheWay(all(1, age))),
    [1, 1, 0],
  );
});

test('offers whose machines come late are the last choice, and late ones are waited for as they come', () => {
  const boots = new BootTracker();
  const boot = seconds(30);
  const at = (s: number) => seconds(s) as Micros;
  assert.equal(boots.late('c8|a', boot, 1, at(60)), false);
  assert.equal(boots.late('c8|a', boot, 2, at(60)), true, 'none has come, and two should have');
  for (const s of [40, 100, 110]) boots.came('c8|a', at(s), at(120));
  assert.equal(boots.late('c8|a', boot, 0, at(130)), true);
  assert.equal(boots.late('c8|b', boot, 0, at(130)), false);
  assert.equal(boots.late('c8|a', boot, 0, at(500)), false, 'forgotten by and by');
  assert.equal(boots.givenUpAfter('c8|b', boot, at(130)), at(150));
  for (let i = 0; i < 3; i++) boots.came('c8|a', at(140), at(200));
  assert.equal(boots.givenUpAfter('c8|a', boot, at(210)), at(210));
  const late = (o: Offer) => o.zone === 'a';
  assert.deepEqual(plan({ demand: [{ job: job(), count: 3 }], late }), [
    { type: 'c8', zone: 'b', spot: false, count: 2 },
  ]);
  const only = { demand: [{ job: job({ zone: 'a' }), count: 3 }], late };
  assert.equal(plan(only)[0]?.count, 2, 'better late than never');
});

// Machines four times as late as usual were returned as not needed shortly before they came, since replacements were on
// their way, and these were as late: on such a day next to nothing ever ran.
test('a late machine is wanted while any waiting work could use its type', () => {
  const wanted = (...jobs: Job[]) => [
    ...typesWanted(
      TYPES,
      jobs.map((j) => ({ job: j, count: 1 })),
    ),
  ];
  assert.deepEqual(wanted(), []);
  assert.deepEqual(wanted(job({ gpus: 1 })), ['g4']);
  assert.deepEqual(wanted(job({ types: ['c8'] })), ['c8']);
  assert.deepEqual(wanted(job({ cpus: 8, memGb: 40 }), job({ cpus: 99 })), ['g4']);
  assert.deepEqual(wanted(job()), ['c8', 'g4']);
});

test("the cloud's list is read whole or not at all", () => {
  const host = {
    id: 'vm-1',
    addr: 'a:1',
    hostKind: 'g',
    room: 'x',
    borrowed: true,
    status: 'running',
    heldS: 2.5,
  };
  const bare = { id: 'vm-2', hostKind: 'g', room: 'x', status: 'booting', heldS: 0, addr: null };
  assert.deepEqual(readList({ hosts: [host, bare], more: true }), {
    machines: [
      { id: 'vm-1', addr: 'a:1', type: 'g', zone: 'x', spot: true, status: 'running', age: 2.5e6 },
      { id: 'vm-2', addr: '', type: 'g', zone: 'x', spot: false, status: 'booting', age: 0 },
    ],
    more: true,
  });
  const broken = [
    { ...host, id: 7 },
    { ...host, status: 'gone' },
    { ...host, heldS: null },
    { ...host, room: undefined },
  ];
  for (const b of broken) assert.throws(() => readList({ hosts: [host, b] }));
  for (const v of [null, {}, { hosts: {} }, { hosts: [null] }, { hosts: [], more: 1 }])
    assert.throws(() => readList(v));
});

// A rental whose answer was lost was asked for again under a new name: twice as many machines came as were wanted.
test('a rental without an answer is asked for again by its name, and a new leader counts on it', () => {
  const offer = { type: 'c8', zone: 'a', spot: false };
  const other = { ...offer, zone: 'b' };
  let n = 0;
  const name = () => `h-${++n}`;
  const hires = new RentalRequests(seconds(18), { rented: [], removed: [] }, 0 as Micros);
  const first = hires.ask({ ...offer, count: 3 }, name, seconds(1));
  assert.deepEqual(first, { ...offer, name: 'h-1', count: 3 });
  assert.equal(hires.ask({ ...other, count: 1 }, name, seconds(2)).name, 'h-2');
  assert.deepEqual(hires.ask({ ...offer, count: 2 }, name, seconds(5)), first, 'the very same');
  const asked = hires.asked(seconds(6));
  assert.deepEqual(asked.map((a) => [a.zone, a.count, a.age]), [['a', 3, 5e6], ['b', 1, 4e6]]); // prettier-ignore
  hires.answered(first);
  assert.equal(hires.ask({ ...offer, count: 2 }, name, seconds(7)).name, 'h-3');
  assert.equal(
    hires.ask({ ...other, count: 2 }, name, seconds(21)).name,
    'h-4',
    'the list would show it by now',
  );
  // It can't ask by these names: what may come is room on its way until the list would show it.
  const next = new RentalRequests(seconds(18), { rented: [], removed: [], asked }, seconds(100));
  const known = { ...offer, since: seconds(97) };
  const zones = (at: Micros): string[] => next.mayCome([known], at).map((o) => o.zone);
  assert.deepEqual(zones(seconds(101)), ['a', 'a', 'b']);
  assert.deepEqual(zones(seconds(113.5)), ['b']);
  assert.deepEqual(zones(seconds(115)), []);
});

test('a machine that is up by the list and never reports is returned, and so is one that answers do not reach', () => {
  const { workers } = worldSettings('n0');
  const at = seconds(200);
  const up = (runningSince: Micros | null, over = {}): Machine =>
    ({ reported: false, confirmed: false, runningSince, unconfirmedSince: at, ...over }) as Machine;
  assert.equal(isMute(up(seconds(120)), workers, at), true);
  assert.equal(isMute(up(seconds(130)), workers, at), false, 'not before 40 s after `cancel_s`');
  assert.equal(isMute(up(null), workers, at), false, 'it may boot still');
  assert.equal(isMute(up(seconds(120), { reported: true }), workers, at), false);
});

test('a late answer to a rental does not bring back what is gone', () => {
  const registry = new WorkerRegistry(worldSettings('n0'), new JobState(), 5, 0 as Micros);
  const what = { type: 'c8', zone: 'a', spot: false };
  assert.equal(registry.addRentedMachine('vm-1', seconds(1), what), true);
  registry.removeMachine('vm-1');
  assert.equal(registry.addRentedMachine('vm-1', seconds(2), what), false);
  assert.equal(registry.machines.size, 0);
});
