/** Provisioning: which machines are rented and returned, how pending ones count, and how the cloud's list is decoded. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { readList } from '../src/provisioning/cloud.js';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import {
  type PendingMachine,
  BootTracker,
  expectedFraction,
  isOverdue,
  pendingCapacity,
} from '../src/provisioning/boot-tracker.js';
import type { Offer } from '../src/provisioning/model.js';
import {
  type ScalingInput,
  type Rental,
  planRentals,
  planReturns,
  typesUsableBy,
} from '../src/provisioning/scaling-plan.js';
import type { Job, JobSpec } from '../src/jobs/model.js';
import { job as anyJob } from './support/job.js';
import { TYPES, worldSettings } from './support/settings.js';
import { isSilent } from '../src/provisioning/machine-health.js';
import { RentalRequests } from '../src/provisioning/rental-requests.js';
import { JobState } from '../src/jobs/job-state.js';
import type { Machine } from '../src/workers/machine.js';
import { WorkerRegistry } from '../src/workers/worker-registry.js';

const job = (overrides: Partial<JobSpec> = {}): Job =>
  anyJob('job-1', { urgency: 1, cpus: 4, spot: false, ...overrides });
const rentalsFor = (overrides: Partial<ScalingInput>): Rental[] => planFor(overrides).rent;
const planFor = (overrides: Partial<ScalingInput>) =>
  planRentals({
    types: TYPES,
    bins: [],
    demand: [],
    coLocatedDemand: [],
    surplusMachines: new Set(),
    avoidedMachines: () => null,
    isRefused: () => false,
    bootsSlowly: () => false,
    maxPerType: 40,
    ...overrides,
  });

test('rents as many of the cheapest fitting machines as are missing, and in another zone after a refusal', () => {
  assert.deepEqual(rentalsFor({ demand: [{ job: job(), count: 5 }] }), [
    { type: 'c8', zone: 'a', spot: false, count: 3 },
  ]);
  const isRefused = (offer: Offer) => offer.zone === 'a';
  assert.deepEqual(rentalsFor({ demand: [{ job: job(), count: 5 }], isRefused }), [
    { type: 'c8', zone: 'b', spot: false, count: 3 },
  ]);
  assert.deepEqual(rentalsFor({ demand: [{ job: job({ spot: true }), count: 1 }] })[0]?.spot, true);
  assert.deepEqual(rentalsFor({ demand: [{ job: job({ gpus: 1 }), count: 1 }] })[0]?.type, 'g4');
  assert.deepEqual(rentalsFor({ demand: [{ job: job({ cpus: 99 }), count: 1 }] }), []);
});

test('rents nothing for demand that fits into the existing capacity', () => {
  const bins = [{ type: 'c8', zone: 'a', spot: false, free: [8, 0, 32] as [number, number, number] }];
  assert.deepEqual(rentalsFor({ bins, demand: [{ job: job(), count: 2 }] }), []);
  assert.equal(rentalsFor({ bins, demand: [{ job: job(), count: 3 }] })[0]?.count, 1);
});

test('resources that the cycle keeps for GPU jobs do not count as free for other jobs', () => {
  // Otherwise a job without GPUs waits while GPU machines are idle, and nothing is rented for it.
  const bins = [
    { id: 'vm-1', type: 'g4', zone: 'a', spot: false, free: [8, 4, 32] as [number, number, number] },
  ];
  const coLocatedDemand = [
    { urgency: 1, cpusPerGpu: 2, memPerGpu: 1, waiting: true, patience: 0 as Micros },
  ] as const;
  const demand = [{ job: job(), count: 1 }];
  assert.deepEqual(rentalsFor({ bins, demand }), []);
  assert.deepEqual(rentalsFor({ bins, demand, coLocatedDemand }), [
    { type: 'c8', zone: 'a', spot: false, count: 1 },
  ]);
});

test('a long queue for one machine type does not prevent rentals of other types', () => {
  // Otherwise nothing is rented for GPU jobs for a minute: thousands of small tasks ahead of them use up the number of
  // machines that one step may rent, and their rentals are refused.
  const demand = [
    { job: job({ types: ['c8'] }), count: 500 },
    { job: job({ gpus: 4 }), count: 3 },
  ];
  assert.deepEqual(
    rentalsFor({ demand }).map((rental) => [rental.type, rental.count]),
    [
      ['c8', 40],
      ['g4', 3],
    ],
  );
});

test('a gang that must run in one zone gets all of its machines in one zone', () => {
  const rentals = rentalsFor({
    demand: [{ job: job({ oneZone: true, tasks: 5 }), count: 5 }],
    isRefused: (offer) => offer.zone === 'a',
  });
  assert.deepEqual(
    rentals.map((rental) => [rental.zone, rental.count]),
    [['b', 3]],
  );
});

// Free capacity in one zone once hid that a spread gang had none for its other half in a second zone; it waited forever.
test('a job that must spread over zones gets a machine in a second zone', () => {
  const bins = [{ type: 'c8', zone: 'a', spot: false, free: [8, 0, 32] as [number, number, number] }];
  const rentals = rentalsFor({
    bins,
    demand: [{ job: job({ spread: true, tasks: 3, cpus: 2 }), count: 3 }],
  });
  assert.deepEqual(
    rentals.map((rental) => [rental.zone, rental.count]),
    [['b', 1]],
  );
});

// A gang that had to spread waited forever because the machine it avoided counted as capacity and was kept for it.
test('a machine that a job avoids does not count as capacity for it and is not kept for it', () => {
  const bins = [
    { id: 'vm-1', type: 'c8', zone: 'a', spot: false, free: [8, 0, 32] as [number, number, number] },
    { id: 'vm-2', type: 'c8', zone: 'b', spot: false, free: [8, 0, 32] as [number, number, number] },
  ];
  const demand = [{ job: job({ shape: 'gang', tasks: 2, cpus: 8, spread: true }), count: 2 }];
  const withBoth = planFor({ demand, bins });
  assert.deepEqual([withBoth.rent, [...withBoth.needed]], [[], ['vm-1', 'vm-2']]);
  const avoided = planFor({ demand, bins, avoidedMachines: () => new Set(['vm-2']) });
  assert.deepEqual(
    [avoided.rent, [...avoided.needed]],
    [[{ type: 'c8', zone: 'b', spot: false, count: 1 }], ['vm-1']],
  );
});

// A gang's machines boot at different times; the early ones were returned as idle before the last one was up, again and again.
test('machines that a waiting gang relies on are needed', () => {
  const bin = (id: string) => ({
    id,
    type: 'c8',
    zone: 'a',
    spot: false,
    free: [8, 0, 32] as [number, number, number],
  });
  const gang = job({ shape: 'gang', oneZone: true, tasks: 3, cpus: 5 });
  const plan = planFor({ bins: [bin('m1'), bin('m2')], demand: [{ job: gang, count: 3 }] });
  assert.deepEqual([...plan.needed], ['m1', 'm2']);
  assert.deepEqual(
    plan.rent.map((rental) => [rental.zone, rental.count]),
    [['a', 1]],
  );
});

test('returns only machines that were idle for long enough and are past the minimum charge', () => {
  const idle = (id: string, idleFor: number, age: number) => ({
    id,
    type: 'c8',
    zone: 'a',
    spot: false,
    idleFor: seconds(idleFor),
    age: seconds(age),
  });
  const machines = [idle('m1', 50, 100), idle('m2', 10, 100), idle('m3', 50, 51)];
  assert.deepEqual(
    planReturns(machines, () => seconds(45) as Micros),
    ['m1'],
  );
});

const pendingFor = (ageS: number, runningForS: number | null = null): PendingMachine => ({
  age: seconds(ageS),
  boot: seconds(30),
  runningFor: runningForS === null ? null : seconds(runningForS),
});

// Work that relied on a pending machine once waited for it until it was given up after 150 s.
test('a smaller fraction of a machine counts the longer it is overdue, and at most half of the overdue ones are replaced', () => {
  assert.deepEqual(
    [pendingFor(0), pendingFor(45), pendingFor(75), pendingFor(105), pendingFor(400)].map(expectedFraction),
    [1, 1, 0.5, 0, 0],
  );
  // The cloud lists the machine as running and its worker sends no heartbeat; measured from the first such list of the term.
  assert.deepEqual(
    [pendingFor(200, 5), pendingFor(200, 25), pendingFor(200, 60)].map(expectedFraction),
    [1, 0.5, 0],
  );
  assert.deepEqual([pendingFor(45), pendingFor(46)].map(isOverdue), [false, true]);
  const pendingMachines = (count: number, ageS: number) =>
    Array.from({ length: count }, () => pendingFor(ageS));
  assert.deepEqual(
    [20, 60, 75, 200].map((age) => pendingCapacity(pendingMachines(10, age))),
    [10, 8, 5, 5],
  );
  assert.deepEqual(
    [20, 74, 90].map((age) => pendingCapacity(pendingMachines(1, age))),
    [1, 1, 0],
  );
});

test('offers whose machines boot slowly are chosen last, and the time-out of a booting machine follows the observed boots', () => {
  const boots = new BootTracker();
  const boot = seconds(30);
  const at = (timeS: number) => seconds(timeS) as Micros;
  assert.equal(boots.bootsSlowly('c8|a', boot, 1, at(60)), false);
  assert.equal(boots.bootsSlowly('c8|a', boot, 2, at(60)), true, 'no machine has booted and two are overdue');
  for (const bootS of [40, 100, 110]) boots.recordBoot('c8|a', at(bootS), at(120));
  assert.equal(boots.bootsSlowly('c8|a', boot, 0, at(130)), true);
  assert.equal(boots.bootsSlowly('c8|b', boot, 0, at(130)), false);
  assert.equal(boots.bootsSlowly('c8|a', boot, 0, at(500)), false, 'old boot times are ignored');
  assert.equal(boots.giveUpAfter('c8|b', boot, at(130)), at(150));
  for (let i = 0; i < 3; i++) boots.recordBoot('c8|a', at(140), at(200));
  assert.equal(boots.giveUpAfter('c8|a', boot, at(210)), at(210));
  const bootsSlowly = (offer: Offer) => offer.zone === 'a';
  assert.deepEqual(rentalsFor({ demand: [{ job: job(), count: 3 }], bootsSlowly }), [
    { type: 'c8', zone: 'b', spot: false, count: 2 },
  ]);
  const inZoneA = { demand: [{ job: job({ zone: 'a' }), count: 3 }], bootsSlowly };
  assert.equal(rentalsFor(inZoneA)[0]?.count, 2, 'a slow offer is still used if there is no other');
});

// When machines took four times as long to boot as usual, they were returned as not needed shortly before they were up,
// because replacements had been rented. The replacements were as late, so almost nothing ever ran.
test('an overdue machine is kept while any waiting work could use its type', () => {
  const usableTypes = (...jobs: Job[]) => [
    ...typesUsableBy(
      TYPES,
      jobs.map((waiting) => ({ job: waiting, count: 1 })),
    ),
  ];
  assert.deepEqual(usableTypes(), []);
  assert.deepEqual(usableTypes(job({ gpus: 1 })), ['g4']);
  assert.deepEqual(usableTypes(job({ types: ['c8'] })), ['c8']);
  assert.deepEqual(usableTypes(job({ cpus: 8, memGb: 40 }), job({ cpus: 99 })), ['g4']);
  assert.deepEqual(usableTypes(job()), ['c8', 'g4']);
});

test("the cloud's machine list is rejected as a whole if any entry is malformed", () => {
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
  const malformed = [
    { ...host, id: 7 },
    { ...host, status: 'gone' },
    { ...host, heldS: null },
    { ...host, room: undefined },
  ];
  for (const entry of malformed) assert.throws(() => readList({ hosts: [host, entry] }));
  for (const value of [null, {}, { hosts: {} }, { hosts: [null] }, { hosts: [], more: 1 }])
    assert.throws(() => readList(value));
});

// A rental whose response was lost was requested again under a new name: twice as many machines were rented as needed.
test('a rental request without a response is repeated under its name, and a new leader counts its machines as pending', () => {
  const offer = { type: 'c8', zone: 'a', spot: false };
  const other = { ...offer, zone: 'b' };
  let nameCount = 0;
  const name = () => `h-${++nameCount}`;
  const requests = new RentalRequests(seconds(18), { rented: [], removed: [] }, 0 as Micros);
  const first = requests.requestFor({ ...offer, count: 3 }, name, seconds(1));
  assert.deepEqual(first, { ...offer, name: 'h-1', count: 3 });
  assert.equal(requests.requestFor({ ...other, count: 1 }, name, seconds(2)).name, 'h-2');
  assert.deepEqual(
    requests.requestFor({ ...offer, count: 2 }, name, seconds(5)),
    first,
    'the identical request is repeated',
  );
  const asked = requests.unresolved(seconds(6));
  assert.deepEqual(asked.map((request) => [request.zone, request.count, request.age]), [['a', 3, 5e6], ['b', 1, 4e6]]); // prettier-ignore
  requests.complete(first);
  assert.equal(requests.requestFor({ ...offer, count: 2 }, name, seconds(7)).name, 'h-3');
  assert.equal(
    requests.requestFor({ ...other, count: 2 }, name, seconds(21)).name,
    'h-4',
    'the list would show the machines by now, so a new request is sent',
  );
  // The new leader does not know the names, so it counts the machines as pending until the list would show them.
  const next = new RentalRequests(seconds(18), { rented: [], removed: [], asked }, seconds(100));
  const known = { ...offer, since: seconds(97) };
  const zones = (at: Micros): string[] => next.possibleArrivals([known], at).map((offer) => offer.zone);
  assert.deepEqual(zones(seconds(101)), ['a', 'a', 'b']);
  assert.deepEqual(zones(seconds(113.5)), ['b']);
  assert.deepEqual(zones(seconds(115)), []);
});

test('a machine that the cloud lists as running counts as silent if it sends no heartbeat in time', () => {
  const { workers } = worldSettings('n0');
  const at = seconds(200);
  const machine = (runningSince: Micros | null, overrides = {}): Machine =>
    ({ reported: false, confirmed: false, runningSince, unconfirmedSince: at, ...overrides }) as Machine;
  assert.equal(isSilent(machine(seconds(120)), workers, at), true);
  assert.equal(isSilent(machine(seconds(130)), workers, at), false, 'not before `cancel_s` plus 40 s');
  assert.equal(isSilent(machine(null), workers, at), false, 'it may still be booting');
  assert.equal(isSilent(machine(seconds(120), { reported: true }), workers, at), false);
});

test('a late response to a rental does not add a machine that was removed', () => {
  const registry = new WorkerRegistry(worldSettings('n0'), new JobState(), 5, 0 as Micros);
  const machineInfo = { type: 'c8', zone: 'a', spot: false };
  assert.equal(registry.addRentedMachine('vm-1', seconds(1), machineInfo), true);
  registry.removeMachine('vm-1');
  assert.equal(registry.addRentedMachine('vm-1', seconds(2), machineInfo), false);
  assert.equal(registry.machines.size, 0);
});
