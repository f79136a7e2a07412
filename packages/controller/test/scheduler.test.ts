/** Properties of the pure cycle, over random states. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Job, JobSpec, Urgency } from '../src/jobs/model.js';
import { schedule } from '../src/scheduler/cycle.js';
import { LargestJobs } from '../src/scheduler/largest-jobs.js';
import type { CycleInput, CycleResult, PlacedTask, NodeView, QueuedJob } from '../src/scheduler/model.js';
import { StartWaits } from '../src/scheduler/start-waits.js';
import { idleNodesOf } from '../src/scheduler/idle-nodes.js';
import { job } from './support/job.js';
import { input } from './support/cycle.js';
import { plainSchedule } from './support/plain-cycle.js';
import { plainFinder } from './support/plain-placement-search.js';
import { starvingFrom, type ClassObjective, rankOf } from '../src/scheduler/rank.js';

const ZERO = 0 as Micros;
const node = (id: string, over: Partial<NodeView> = {}): NodeView => ({
  id,
  type: 'c8',
  zone: 'a',
  spot: false,
  total: [8, 0, 32],
  images: new Set(),
  open: true,
  ...over,
});
const queued = (j: Job, rank = 0, cautious = false): QueuedJob => ({
  job: j,
  rank,
  cautious,
  mayRent: !cautious,
  starving: false,
  tasks: Array.from({ length: j.spec.tasks }, (_, i) => i),
});
const held = (j: Job, machine: string, task = 0, leaving = false): PlacedTask => ({
  job: j,
  task,
  machine,
  zone: 'a',
  leaving,
  loss: ZERO,
  left: ZERO,
});
const by = (...multiples: number[]): ClassObjective => ({ multiples, within: null });
const count = (r: CycleResult, id: string): number =>
  r.starts.filter((s) => s.job.spec.id === id).reduce((n, s) => n + [...s.on.values()].flat().length, 0);

const arbJob = (i: number) =>
  fc
    .record({
      team: fc.constantFrom('red', 'blue', 'green'),
      shape: fc.constantFrom('array' as const, 'gang' as const, 'service' as const),
      urgency: fc.constantFrom<Urgency>(0, 1, 2, 3),
      tasks: fc.integer({ min: 1, max: 5 }),
      cpus: fc.integer({ min: 1, max: 6 }),
      gpus: fc.constantFrom(0, 0, 1, 2),
      oneZone: fc.boolean(),
      spread: fc.boolean(),
      spot: fc.boolean(),
      zone: fc.constantFrom(null, null, 'a', 'b'),
      types: fc.constantFrom(null, null, ['c8'], ['g4']),
    })
    .map((o) => job(`job-${i}`, { ...o, spread: o.spread && !o.oneZone && o.zone === null }));
const arbState = fc.record({
  jobs: fc.tuple(...Array.from({ length: 14 }, (_, i) => arbJob(i))),
  nodes: fc.array(
    fc.record({ zone: fc.constantFrom('a', 'b'), gpu: fc.boolean(), spot: fc.boolean(), open: fc.boolean() }),
    { minLength: 1, maxLength: 6 },
  ),
  runs: fc.integer({ min: 0, max: 10 }),
});
const teams = [
  { name: 'red', guarantee: { cpus: 6, gpus: 1 }, limit: { cpus: 14, gpus: 3 } },
  { name: 'blue', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } },
  { name: 'green', guarantee: { cpus: 2, gpus: 0 }, limit: { cpus: 0, gpus: 2 } },
];

const coLocatedDemand = [
  { urgency: 0, cpusPerGpu: 1, memPerGpu: 2, waiting: true, patience: ZERO },
  { urgency: 1, cpusPerGpu: 2, memPerGpu: 1, waiting: false, patience: 1e6 as Micros },
];

/** Brings a state about by a first cycle over some of the jobs, so that what is held is consistent. */
const stateOf = (s: typeof arbState extends fc.Arbitrary<infer T> ? T : never): CycleInput => {
  const nodes = s.nodes.map((n, i) =>
    node(`vm-${i}`, {
      zone: n.zone,
      spot: n.spot,
      type: n.gpu ? 'g4' : 'c8',
      total: n.gpu ? [8, 4, 32] : [8, 0, 32],
    }),
  );
  const first = schedule(
    input({ teams, nodes, queued: s.jobs.slice(0, s.runs).map((j, i) => queued(j, i)) }),
  );
  const placedTasks: PlacedTask[] = [];
  for (const st of first.starts) {
    for (const [m, tasks] of st.on) {
      for (const t of tasks) {
        placedTasks.push({ ...held(st.job, m, t), zone: nodes.find((n) => n.id === m)!.zone });
        st.job.placed.set(t, { task: t, attempt: 1, machine: m, since: 0 as Micros });
      }
    }
  }
  const left = s.jobs
    .filter((j) => (j.spec.shape === 'gang' ? j.placed.size === 0 : j.placed.size < j.spec.tasks))
    .map((j, i) => ({
      ...queued(j, i, i % 7 === 6),
      starving: i % 2 === 0 && j.spec.shape === 'gang',
      overdue: i % 3 === 1,
      tasks: queued(j).tasks.filter((t) => !j.placed.has(t)),
    }));
  return input({
    teams,
    nodes: nodes.map((n, i) => ({ ...n, open: s.nodes[i]!.open })),
    placedTasks,
    queued: left,
  });
};

test('the quick search for machines chooses what the plain one does', () => {
  // Guards the passing over of machines that can't matter: a cycle over a thousand machines took a second.
  const seen = { free: 0, preemptions: 0, unplaced: 0 };
  fc.assert(
    fc.property(arbState, fc.boolean(), fc.nat({ max: 5 }), (s, guarded, avoided) => {
      const i = {
        ...stateOf(s),
        coLocatedDemand: guarded ? coLocatedDemand : [],
        idleNodes: new Set([`vm-${avoided}`]),
        avoid: (j: Job) => (j.spec.id.endsWith('3') ? new Set([`vm-${avoided}`]) : null),
      };
      const quick = schedule(i);
      assert.deepEqual(quick, schedule(i, plainFinder));
      seen.free += quick.starts.length;
      seen.preemptions += quick.preemptions.length;
      seen.unplaced += quick.unplaced.length;
    }),
    { seed: 71, numRuns: 600 },
  );
  for (const [what, n] of Object.entries(seen)) assert.ok(n > 200, `${what} ${n}`);
});

/** Tasks of seconds on a dozen machines, by jobs of many teams: some have just ended, some are leaving, more wait. */
const arbShortTasks = fc.record({
  teams: fc.integer({ min: 2, max: 9 }),
  machines: fc.integer({ min: 2, max: 12 }),
  held: fc.array(fc.record({ job: fc.nat(19), leaving: fc.boolean(), at: fc.nat(11) }), { maxLength: 90 }),
  jobs: fc.array(
    fc.record({
      team: fc.nat(8),
      urgency: fc.constantFrom<Urgency>(0, 0, 1, 1, 2, 3),
      cpus: fc.constantFrom(1, 1, 2, 0.5),
      gang: fc.boolean(),
      tasks: fc.integer({ min: 1, max: 24 }),
      rank: fc.integer({ min: -2, max: 4 }),
      oneZone: fc.boolean(),
      claimed: fc.nat(3),
      waits: fc.boolean(),
    }),
    { minLength: 20, maxLength: 20 },
  ),
  weights: fc.array(fc.constantFrom(1, 0.25, 0.05), { minLength: 9, maxLength: 9 }),
  maxPlacements: fc.constantFrom(undefined, undefined, 3, 8),
});

test('the cycle decides what the plain one does', () => {
  // Guards the heap of teams, the ranking of machines and the queues made without sorting: at 45,000 tasks the plain cycle
  // takes most of a second.
  const seen = { starts: 0, preemptions: 0, reservations: 0, unplaced: 0, cut: 0 };
  fc.assert(
    fc.property(arbShortTasks, (s) => {
      const jobs = s.jobs.map((j, i) =>
        job(`job-${i}`, {
          team: `team-${j.team % s.teams}`,
          urgency: j.urgency,
          cpus: j.cpus,
          tasks: j.tasks,
          shape: j.gang ? 'gang' : 'array',
          oneZone: j.oneZone && j.gang,
        }),
      );
      const nodes = Array.from({ length: s.machines }, (_, i) =>
        node(`vm-${i}`, { zone: i % 2 === 0 ? 'a' : 'b', open: i % 5 !== 4 }),
      );
      const placedTasks: PlacedTask[] = s.held.flatMap((h) => {
        const j = jobs[h.job]!;
        const task = j.placed.size;
        if (task >= j.spec.tasks || (j.spec.shape === 'gang' && s.jobs[h.job]!.waits)) return [];
        const on = nodes[h.at % nodes.length]!;
        j.placed.set(task, { task, attempt: 1, machine: on.id, since: ZERO });
        const zone = h.at === 11 ? null : on.zone;
        return [{ ...held(j, on.id, task, h.leaving && h.job % 3 === 0), zone, left: seconds(task) }];
      });
      const waiting = jobs.flatMap((j, i) => {
        const rest = queued(j, s.jobs[i]!.rank).tasks.filter((t) => !j.placed.has(t));
        if (!s.jobs[i]!.waits || rest.length === 0) return [];
        return [{ ...queued(j, s.jobs[i]!.rank, i === 7), starving: j.spec.shape === 'gang', tasks: rest }];
      });
      const cycle = input({
        teams: [
          { name: 'team-0', guarantee: { cpus: 9, gpus: 0 }, limit: { cpus: 20, gpus: 0 } },
          { name: 'team-1', guarantee: { cpus: 4, gpus: 0 }, limit: { cpus: 0, gpus: 0 } },
        ],
        weights: new Map(s.weights.map((w, i) => [`team-${i}`, w])),
        nodes,
        placedTasks,
        queued: waiting,
        maxPlacements: s.maxPlacements,
        reservations: new Map(s.jobs.flatMap((j, i) => (j.claimed === 1 ? [[`job-${i}`, 2]] : []))),
      });
      const quick = schedule(cycle);
      assert.deepEqual(quick, plainSchedule(cycle));
      seen.starts += quick.starts.length;
      seen.preemptions += quick.preemptions.length;
      seen.reservations += quick.reservations.size;
      seen.unplaced += quick.unplaced.length;
      const places = quick.starts.reduce((n, x) => n + x.on.size, 0);
      seen.cut += places >= (s.maxPlacements ?? Number.POSITIVE_INFINITY) ? 1 : 0;
    }),
    { seed: 2026, numRuns: 500 },
  );
  for (const [what, n] of Object.entries(seen)) assert.ok(n > 100, `${what} ${n}`);
  // The states of the older property as well: GPU machines, services, shunned machines.
  fc.assert(
    fc.property(arbState, fc.nat({ max: 5 }), (s, avoided) => {
      const i = {
        ...stateOf(s),
        coLocatedDemand,
        idleNodes: new Set([`vm-${avoided}`]),
        avoid: (j: Job) => (j.spec.id.endsWith('3') ? new Set([`vm-${avoided}`]) : null),
      };
      assert.deepEqual(schedule(i), plainSchedule(i));
    }),
    { seed: 72, numRuns: 200 },
  );
});

test('random cycles keep rooms, limits, places and gangs whole, and displace only for somebody', () => {
  fc.assert(
    fc.property(arbState, (s) => {
      const i = stateOf(s);
      const r = schedule(i);
      const byId = new Map(i.nodes.map((n) => [n.id, n]));
      const used = new Map<string, [number, number, number]>();
      const team = new Map<string, [number, number]>();
      const zones = new Map<Job, Map<string, number>>();
      const put = (j: Job, machine: string): void => {
        const u = used.get(machine) ?? [0, 0, 0];
        used.set(machine, [u[0] + j.spec.cpus, u[1] + j.spec.gpus, u[2] + j.spec.memGb]);
        const t = team.get(j.spec.team) ?? [0, 0];
        team.set(j.spec.team, [t[0] + j.spec.cpus, t[1] + j.spec.gpus]);
        const z = zones.get(j) ?? new Map<string, number>();
        const zone = byId.get(machine)!.zone;
        zones.set(j, z.set(zone, (z.get(zone) ?? 0) + 1));
      };
      // What was held stays counted until it is gone, stopped or not.
      for (const h of i.placedTasks) put(h.job, h.machine);
      for (const st of r.starts) {
        const tasks = [...st.on.values()].flat();
        assert.equal(new Set(tasks).size, tasks.length, 'a task started twice');
        if (st.job.spec.shape === 'gang') assert.equal(tasks.length, st.job.spec.tasks, 'a gang in part');
        for (const [m, on] of st.on) {
          const n = byId.get(m)!;
          assert.ok(n.open);
          assert.ok(st.job.spec.types === null || st.job.spec.types.includes(n.type));
          assert.ok(st.job.spec.zone === null || st.job.spec.zone === n.zone);
          assert.ok(!n.spot || st.job.spec.spot);
          on.forEach(() => put(st.job, m));
        }
        const z = zones.get(st.job)!;
        if (st.job.spec.oneZone) assert.equal(z.size, 1, 'one zone');
        if (st.job.spec.spread)
          for (const c of z.values()) assert.ok(c <= Math.ceil(st.job.spec.tasks / 2), 'spread');
      }
      for (const [m, u] of used)
        u.forEach((x, k) => assert.ok(x <= byId.get(m)!.total[k]! + 1e-6, 'over capacity'));
      for (const t of teams) {
        const u = team.get(t.name) ?? [0, 0];
        if (t.limit.cpus > 0) assert.ok(u[0] <= t.limit.cpus, `limit of ${t.name}`);
        if (t.limit.gpus > 0) assert.ok(u[1] <= t.limit.gpus, `limit of ${t.name}`);
      }
      if (i.queued.length === 0) assert.equal(r.preemptions.length, 0, 'preemptions for nobody');
      const waits = r.unplaced.reduce((n, u) => n + u.count, 0);
      const all = i.queued.reduce((n, q) => n + q.tasks.length, 0);
      const started = r.starts.reduce((n, st) => n + [...st.on.values()].flat().length, 0);
      if (waits + started === all)
        assert.equal(r.preemptions.length, 0, 'preemptions though nobody waits for the room');
      for (const stop of r.preemptions) {
        if (stop.job.spec.shape === 'gang') {
          assert.equal(
            r.preemptions.filter((x) => x.job === stop.job).length,
            stop.job.placed.size,
            'a gang stopped in part',
          );
        }
      }
    }),
    { seed: 7, numRuns: 400 },
  );
});

test('the same state gives the same cycle', () => {
  fc.assert(
    fc.property(arbState, (s) => {
      const i = stateOf(s);
      assert.deepEqual(schedule(i), schedule(i));
    }),
    { seed: 8, numRuns: 50 },
  );
});

test('the team whose weighted dominant share would be smallest goes next', () => {
  const a = job('job-1', { team: 'red', tasks: 8 });
  const b = job('job-2', { team: 'blue', tasks: 8 });
  const even = schedule(input({ nodes: [node('m')], queued: [queued(a), queued(b)] }));
  assert.deepEqual([count(even, 'job-1'), count(even, 'job-2')], [4, 4]);
  const weighted = schedule(
    input({ nodes: [node('m')], queued: [queued(a), queued(b)], weights: new Map([['red', 3]]) }),
  );
  assert.deepEqual([count(weighted, 'job-1'), count(weighted, 'job-2')], [6, 2]);
  const behind = schedule(
    input({
      nodes: [node('m')],
      placedTasks: [held(job('job-3', { team: 'red', cpus: 4 }), 'm')],
      queued: [queued(a), queued(b)],
    }),
  );
  assert.deepEqual([count(behind, 'job-1'), count(behind, 'job-2')], [0, 4]);
});

test('more urgent work displaces less urgent, never its own class, and the least urgent first', () => {
  const low = job('job-1', { cpus: 8, urgency: 0 });
  const normal = job('job-2', { cpus: 8, urgency: 1 });
  const nodes = [node('m0'), node('m1')];
  const placedTasks = [held(low, 'm0'), held(normal, 'm1')];
  const high = schedule(
    input({ nodes, placedTasks, queued: [queued(job('job-3', { cpus: 8, urgency: 2, team: 'blue' }))] }),
  );
  assert.deepEqual(
    high.preemptions.map((s) => s.job.spec.id),
    ['job-1'],
  );
  assert.equal(high.starts.length, 0, 'room that is still held is not given out');
  const same = schedule(
    input({ nodes, placedTasks, queued: [queued(job('job-3', { cpus: 8, urgency: 0, team: 'blue' }))] }),
  );
  assert.equal(same.preemptions.length, 0);
  assert.deepEqual(
    same.unplaced.map((u) => u.job.spec.id),
    ['job-3'],
  );
});

test('a gang waits for room that is leaving instead of stopping more', () => {
  const nodes = [node('m0'), node('m1')];
  const placedTasks = [held(job('job-1', { cpus: 8 }), 'm0', 0, true), held(job('job-2', { cpus: 8 }), 'm1')];
  const r = schedule(input({ nodes, placedTasks, queued: [queued(job('job-3', { cpus: 8, urgency: 3 }))] }));
  assert.equal(r.preemptions.length, 0);
  assert.equal(r.starts.length, 0);
});

test('a team gets its guarantee back from whoever runs beyond theirs', () => {
  const borrowed = [0, 1].map((i) => held(job(`job-${i}`, { cpus: 4, team: 'blue', urgency: 2 }), 'm'));
  const r = schedule(
    input({
      teams,
      nodes: [node('m')],
      placedTasks: borrowed,
      queued: [queued(job('job-9', { cpus: 4, team: 'red', urgency: 0 }))],
    }),
  );
  assert.equal(r.preemptions.length, 1);
});

// CPU tasks once filled the GPU machines while GPU jobs waited and could not displace their own class.
test('a task without GPUs leaves free GPUs what they need beside them', () => {
  const coLocatedDemand = [{ urgency: 0, cpusPerGpu: 3, memPerGpu: 1, waiting: true, patience: ZERO }];
  const nodes = [node('m', { type: 'g4', total: [8, 2, 32] })];
  const gpu = held(job('job-0', { cpus: 3, gpus: 1 }), 'm');
  const many = (over: Partial<JobSpec>) => [queued(job('job-1', { tasks: 8, ...over }))];
  const placed = (over: Partial<CycleInput>, spec: Partial<JobSpec> = {}) =>
    count(
      schedule(input({ nodes, coLocatedDemand, placedTasks: [gpu], queued: many(spec), ...over })),
      'job-1',
    );
  assert.equal(placed({}), 2);
  assert.equal(placed({}, { urgency: 1 }), 5);
  // While none of them waits, short tasks may use the room.
  const calm = [{ ...coLocatedDemand[0]!, waiting: false, patience: 30e6 as Micros }];
  assert.equal(placed({ coLocatedDemand: calm }, { estimate: 20e6 as Micros }), 5);
  assert.equal(placed({ coLocatedDemand: calm }, { estimate: 40e6 as Micros }), 2);
  // A GPU machine without GPU tasks is to become empty and go back.
  assert.equal(placed({ placedTasks: [] }), 0);
});

// A new leader knows of tasks on machines it has not heard from: wherever they stand, they still count.
test('zone rules count tasks on machines that have not reported', () => {
  const nodes = [node('m', { zone: 'b' })];
  const j = job('job-1', { tasks: 4, oneZone: true });
  const rest = [{ ...queued(j), tasks: [1, 2, 3] }];
  const starts = (zone: string | null) =>
    count(schedule(input({ nodes, placedTasks: [{ ...held(j, 'unheard'), zone }], queued: rest })), 'job-1');
  assert.deepEqual([starts('a'), starts(null), starts('b')], [0, 0, 3]);
  const s = job('job-2', { tasks: 4, spread: true });
  const two = [0, 1].map((t) => ({ ...held(s, 'unheard', t), zone: 'b' }));
  const r = schedule(input({ nodes, placedTasks: two, queued: [{ ...queued(s), tasks: [2, 3] }] }));
  assert.equal(count(r, 'job-2'), 0);
});

// A guest team held less than the owners, so it went first in the next cycle and took the room that its own tasks
// had been stopped to leave for a gang; the gang had others stopped again and again.
test('room that others were stopped to leave goes to whom they were stopped for', () => {
  const gang = job('job-1', { urgency: 1, shape: 'gang', tasks: 2, cpus: 6 });
  const guests = job('job-2', { team: 'blue', tasks: 4, cpus: 6 });
  const nodes = ['m', 'n', 'o'].map((id) => node(id));
  const placedTasks = nodes.map((n, i) => held(guests, n.id, i));
  for (const h of placedTasks)
    guests.placed.set(h.task, { task: h.task, attempt: 1, machine: h.machine, since: 0 as Micros });
  const waiting = { ...queued(guests), tasks: [3] };
  const first = schedule(input({ nodes, placedTasks, queued: [queued(gang), waiting] }));
  assert.deepEqual([first.preemptions.length, first.reservations.get('job-1')], [2, 2]);
  // One of the two is gone, the other is leaving; the owner of the gang holds more elsewhere than the guests do.
  const [a, b] = first.preemptions.map((s) => s.machine);
  const owned = held(job('job-3', { urgency: 1, cpus: 8 }), 'p');
  const next = {
    nodes: [...nodes, node('p')],
    placedTasks: [
      owned,
      ...placedTasks.filter((h) => h.machine !== a).map((h) => ({ ...h, leaving: h.machine === b })),
    ],
    queued: [queued(gang), waiting],
  };
  assert.equal(count(schedule(input(next)), 'job-2'), 1, 'without the claim the guest goes first');
  const kept = schedule(input({ ...next, reservations: first.reservations }));
  assert.deepEqual(
    [count(kept, 'job-2'), kept.preemptions.length, kept.reservations.get('job-1')],
    [0, 0, 2],
  );
});

// A job submitted with a mistake displaced others at each try, kept the room it waited for, and had machines rented.
test('a job that looks broken takes free room only, last, and asks for none', () => {
  const low = job('job-1', { team: 'blue', cpus: 8 });
  const urgent = job('job-2', { urgency: 2, cpus: 8 });
  low.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  const full = { nodes: [node('m')], placedTasks: [held(low, 'm')] };
  assert.equal(schedule(input({ ...full, queued: [queued(urgent)] })).preemptions.length, 1);
  const cautious = schedule(input({ ...full, queued: [queued(urgent, 0, true)] }));
  assert.deepEqual([cautious.starts, cautious.preemptions, cautious.unplaced], [[], [], []]);
  assert.equal(count(schedule(input({ nodes: [node('m')], queued: [queued(urgent, 0, true)] })), 'job-2'), 1);
  assert.ok(
    rankOf(urgent, ZERO, by(1), true) > rankOf(job('job-3', { deadline: seconds(1) }), seconds(9), by(1, 2)),
  );
});

test('several hundred tasks of one array cost little', () => {
  const nodes = Array.from({ length: 48 }, (_, i) => node(`m${i}`));
  const r = schedule(input({ nodes, queued: [queued(job('job-1', { tasks: 400 }))] }));
  assert.equal(count(r, 'job-1'), 384);
  assert.deepEqual(
    r.unplaced.map((u) => u.count),
    [16],
  );
});

// One GPU task on each of many GPU machines, and low CPU tasks beside it, once kept all of them for ever.
test('GPU machines beyond need are left to become empty', () => {
  const nodes = Array.from({ length: 5 }, (_, i) => node(`m${i}`, { type: 'g4', total: [8, 2, 32] }));
  const gpu = (machine: string) => held(job('job-1', { gpus: 1, tasks: 5 }), machine);
  const placedTasks = [gpu('m0'), gpu('m1'), gpu('m2')];
  const idleNodes = idleNodesOf(nodes, placedTasks, []);
  assert.deepEqual([...idleNodes].sort(), ['m2', 'm3', 'm4']);
  assert.equal(idleNodesOf(nodes, placedTasks, [queued(job('job-2', { gpus: 1, tasks: 6 }))]).size, 0);
  const r = schedule(
    input({
      nodes,
      placedTasks,
      idleNodes: idleNodes,
      queued: [queued(job('job-3', { gpus: 1, urgency: 1 }))],
    }),
  );
  assert.ok(!idleNodes.has([...r.starts[0]!.on.keys()][0]!));
});

// Past its deadline a job once kept its place, and one late job made the next one late.
test('what is past its deadline queues behind what is not', () => {
  const s = (n: number): Micros => (n * 1e6) as Micros;
  const late = job('job-1', { submitted: s(0), deadline: s(100) });
  const timely = job('job-2', { submitted: s(90), deadline: s(100), tasks: 9, estimate: s(20) });
  assert.ok(rankOf(late, s(50), by(1)) < rankOf(timely, s(50), by(1)), 'least work left first');
  assert.ok(rankOf(late, s(101), by(1)) > rankOf(timely, s(101), by(1)));
  assert.ok(rankOf(late, s(101), by(1, 1.75)) < rankOf(late, s(176), by(1, 1.75)));
});

// 552 tiny jobs waited a minute and more behind one array of 25,000 tasks of the same team, submitted before them.
test('jobs promised an end only go by the work they have left, and before those promised nothing', () => {
  const within: ClassObjective = { multiples: [1], within: seconds(400) };
  const huge = job('job-1', { tasks: 25_000, estimate: seconds(3), submitted: seconds(1) });
  const tiny = job('job-2', { estimate: seconds(150), submitted: seconds(2) });
  const idle = job('job-3', { estimate: seconds(1), submitted: ZERO });
  const ranks = [
    rankOf(tiny, seconds(9), within),
    rankOf(huge, seconds(9), within),
    rankOf(idle, seconds(9), by(1)),
  ];
  assert.ok(ranks[0]! < ranks[1]!);
  // Times of submission are times of day.
  const day = { ...idle, spec: { ...idle.spec, submitted: seconds(1_790_000_000) } };
  assert.ok(ranks[1]! < rankOf(day, seconds(9), by(1)));
});

// A fifth of the tiny jobs of 150 s lost their work on spot machines, some of them twice.
test('long tasks that save nothing go to spot machines last, others that may go there first', () => {
  const nodes = [node('m'), node('s', { spot: true })];
  const where = (over: Partial<JobSpec>): string =>
    [...schedule(input({ nodes, queued: [queued(job('job-1', over))] })).starts[0]!.on.keys()][0]!;
  assert.equal(where({ estimate: seconds(20) }), 's');
  assert.equal(where({ estimate: seconds(150) }), 'm');
  assert.equal(where({ estimate: seconds(150), checkpoint: seconds(15) }), 's');
  assert.equal(where({ estimate: seconds(20), spot: false }), 'm');
});

test('the largest of a class go before younger work once they have waited, until it is too late', () => {
  // Guards against least work first alone: on large days the largest of a class began last, after up to 15 minutes.
  const s = (x: number): Micros => seconds(1000 + x);
  const none = { cpus: 0, gpus: 0 };
  const large = job('job-1', { tasks: 80, estimate: seconds(90), submitted: s(0), deadline: seconds(240) });
  const young = job('job-2', { estimate: seconds(1), submitted: s(100), deadline: seconds(240) });
  const rank = (j: Job, day: Micros, limit = none): number =>
    rankOf(j, day, by(1, 1.5), false, starvingFrom(j, day, limit, 100));
  assert.ok(rank(large, s(164)) > rank(young, s(164)), 'first the least work, as long as it can wait');
  assert.ok(rank(large, s(166)) < rank(young, s(166)));
  assert.ok(rank(large, s(241)) > rank(young, s(241)), 'what begins late anyhow is not worth others');
  // Once it has begun, the rest of it goes by the work left. It has begun with what the team's limit lets run at once.
  for (let i = 0; i < 20; i++) large.placed.set(i, { task: i, attempt: 1, machine: 'm', since: ZERO });
  assert.ok(rank(large, s(166)) < rank(young, s(166)));
  assert.ok(rank(large, s(166), { cpus: 20, gpus: 0 }) > rank(young, s(166)));
  const huge = { ...large, spec: { ...large.spec, tasks: 101 } };
  assert.ok(rank(huge, s(166)) > rank(young, s(166)), 'what can not begin in time holds up nobody');
  const looksBroken = rankOf(large, s(166), by(1), true, s(120));
  assert.ok(looksBroken > rank(job('job-4', { submitted: s(9) }), s(900)), 'what failed stays last');
  // Of a class, those within a tenth of the greatest, and five at least.
  // A new leader sees only what is not over: without the hint of the one before it, ordinary jobs are its largest.
  const before = new LargestJobs();
  for (const tasks of [80, 75, 72, 71, 70]) before.observe(job(`job-${tasks}`, { tasks }).spec);
  for (const [hint, taken] of [
    [JSON.parse(JSON.stringify(before.hint())) as unknown, [70, 80]],
    [null, [3, 5, 6, 10, 12, 70, 80]],
    [{ x: [['job-1', 'y'], 7], y: 3 }, [3, 5, 6, 10, 12, 70, 80]],
  ] as const) {
    const next = new LargestJobs(hint);
    for (const tasks of [3, 5, 6, 10, 12]) next.observe(job(`job-${tasks}`, { tasks }).spec);
    const sizes = [3, 5, 6, 10, 12, 70, 80];
    assert.deepEqual(
      sizes.filter((tasks) => next.has(job('job-9', { tasks }).spec)),
      taken,
    );
  }
  const largest = new LargestJobs();
  for (const tasks of [3, 80, 75, 72, 71, 10, 20, 30]) largest.observe(job(`job-${tasks}`, { tasks }).spec);
  const has = (tasks: number): boolean => largest.has(job('job-9', { tasks }).spec);
  assert.deepEqual([71, 30, 29].map(has), [true, true, false]);
  for (const tasks of [76, 77, 78]) largest.observe(job(`job-${tasks}`, { tasks }).spec);
  assert.deepEqual([72, 71].map(has), [true, false]);
});

test('a starving gang reserves nodes that younger jobs of its urgency would fill', () => {
  const large = job('job-1', { shape: 'gang', urgency: 1, tasks: 2, cpus: 8, oneZone: true });
  const other = job('job-2', { urgency: 1, cpus: 8 });
  const small = job('job-3', { shape: 'gang', urgency: 1, cpus: 8, estimate: seconds(90) });
  const short = job('job-4', { urgency: 1, cpus: 8, estimate: seconds(20) });
  const low = job('job-5', { cpus: 8, estimate: seconds(90) });
  const urgent = job('job-6', { urgency: 2, team: 'blue', cpus: 8, estimate: seconds(90) });
  other.placed.set(0, { task: 0, attempt: 1, machine: 'm2', since: ZERO });
  // The task on m2 ends in about a minute. In the other zone there is no room for two.
  const nodes = [node('m1'), node('m2'), node('m3', { zone: 'b' })];
  const full: PlacedTask = { ...held(other, 'm2'), left: seconds(60) };
  const placed = (next: Job, starving = true, rest = nodes): string[] => {
    const first = { ...queued(large), starving };
    // Whoever is not of the gang's team comes after it.
    const weights = new Map([['blue', 0.01]]);
    const r = schedule(
      input({ nodes: rest, placedTasks: [full], queued: [first, queued(next, 1)], weights }),
    );
    return r.starts.flatMap((s) => [...s.on.keys()].map((m) => `${s.job.spec.id} ${m}`));
  };
  assert.deepEqual(placed(small, false), ['job-3 m1'], 'else the small one takes what the large one needs');
  assert.deepEqual(placed(small), ['job-3 m3'], 'it goes elsewhere');
  assert.deepEqual(placed(small, true, nodes.slice(0, 2)), [], 'or waits');
  const two = nodes.slice(0, 2);
  assert.deepEqual(placed(low, true, two), [], 'nor does it let in what it would stop again');
  assert.deepEqual(placed(urgent, true, two), ['job-6 m1'], 'the more urgent is not held up');
  assert.deepEqual(placed(short, true, nodes.slice(0, 2)), ['job-4 m1'], 'and what is gone by then');
  assert.deepEqual(placed(small, true, [node('m2'), node('m3', { zone: 'b' })]), ['job-3 m3'], 'never whole');
});

// Small arrays waited for minutes beside GPU machines that nobody used, until other machines were free.
test('a job that has waited for long gets one task on room that is kept for GPU jobs to come, not for those that wait', () => {
  const companion = { urgency: 1, cpusPerGpu: 2, memPerGpu: 2, patience: 0 as Micros };
  const placed = (overdue: boolean, waiting: boolean): number => {
    const j = job('job-1', { cpus: 1, memGb: 1, tasks: 4, urgency: 0, estimate: 60e6 as Micros });
    const nodes = [node('m1', { type: 'g4', total: [8, 4, 64] })];
    const coLocatedDemand = [{ ...companion, waiting }];
    return count(schedule(input({ nodes, queued: [{ ...queued(j), overdue }], coLocatedDemand })), 'job-1');
  };
  assert.equal(placed(false, false), 0);
  assert.equal(placed(true, false), 1);
  assert.equal(placed(true, true), 0);
  const waits = new StartWaits();
  const j = job('job-1');
  const asked = (at: number): boolean => waits.overdue(j, seconds(at));
  assert.deepEqual([asked(100), asked(170), asked(171)], [false, false, true]);
  j.attempt = 7;
  assert.deepEqual([asked(172), asked(242), asked(243)], [false, false, true], 'a start begins it anew');
});
