/** Tests of the pure scheduling cycle: properties over random states, and single rules. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Job, JobSpec, Urgency } from '../src/jobs/model.js';
import { schedule } from '../src/scheduler/cycle.js';
import { LargestJobs } from '../src/scheduler/largest-jobs.js';
import type { CycleInput, CycleResult, PlacedTask, MachineView, QueuedJob } from '../src/scheduler/model.js';
import { StartWaits } from '../src/scheduler/start-waits.js';
import { findIdleMachines } from '../src/scheduler/idle-machines.js';
import { job } from './support/job.js';
import { cycleInput } from './support/cycle.js';
import { plainSchedule } from './support/plain-cycle.js';
import { plainPlacementSearch } from './support/plain-placement-search.js';
import { starvingFrom, type ClassObjective, rankOf } from '../src/scheduler/rank.js';

const ZERO = 0 as Micros;
const machineOf = (id: string, overrides: Partial<MachineView> = {}): MachineView => ({
  id,
  type: 'c8',
  zone: 'a',
  spot: false,
  total: [8, 0, 32],
  images: new Set(),
  open: true,
  ...overrides,
});
const queuedJob = (queued: Job, rank = 0, suspect = false): QueuedJob => ({
  job: queued,
  rank,
  suspect,
  mayRent: !suspect,
  starving: false,
  tasks: Array.from({ length: queued.spec.tasks }, (_, task) => task),
});
const placedTask = (placed: Job, machine: string, task = 0, terminating = false): PlacedTask => ({
  job: placed,
  task,
  machine,
  zone: 'a',
  terminating,
  loss: ZERO,
  remaining: ZERO,
});
const deadlineObjective = (...multiples: number[]): ClassObjective => ({ multiples, within: null });
/** Number of the job's tasks that the cycle starts. */
const startedTasks = (result: CycleResult, id: string): number =>
  result.starts
    .filter((start) => start.job.spec.id === id)
    .reduce((sum, start) => sum + [...start.tasksByMachine.values()].flat().length, 0);

const arbitraryJob = (index: number) =>
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
    .map((spec) =>
      job(`job-${index}`, { ...spec, spread: spec.spread && !spec.oneZone && spec.zone === null }),
    );
/** A cluster with up to six machines; `runs` is the number of jobs that run before the cycle under test. */
const arbitraryState = fc.record({
  jobs: fc.tuple(...Array.from({ length: 14 }, (_, i) => arbitraryJob(i))),
  machines: fc.array(
    fc.record({
      zone: fc.constantFrom('a', 'b'),
      gpu: fc.boolean(),
      spot: fc.boolean(),
      open: fc.boolean(),
      taskSlots: fc.constantFrom(undefined, undefined, undefined, undefined, 0, 1, 3),
    }),
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

/** Creates the input of a cycle. A first cycle starts some of the jobs, so that the placed tasks are consistent. */
const inputOf = (state: typeof arbitraryState extends fc.Arbitrary<infer T> ? T : never): CycleInput => {
  const machines = state.machines.map((machine, i) =>
    machineOf(`vm-${i}`, {
      zone: machine.zone,
      spot: machine.spot,
      type: machine.gpu ? 'g4' : 'c8',
      total: machine.gpu ? [8, 4, 32] : [8, 0, 32],
    }),
  );
  const first = schedule(
    cycleInput({
      teams,
      machines,
      queued: state.jobs.slice(0, state.runs).map((running, i) => queuedJob(running, i)),
    }),
  );
  const placedTasks: PlacedTask[] = [];
  for (const start of first.starts) {
    for (const [machineId, tasks] of start.tasksByMachine) {
      for (const task of tasks) {
        placedTasks.push({
          ...placedTask(start.job, machineId, task),
          zone: machines.find((machine) => machine.id === machineId)!.zone,
        });
        start.job.placed.set(task, { task, attempt: 1, machine: machineId, since: 0 as Micros });
      }
    }
  }
  const waiting = state.jobs
    .filter((candidate) =>
      candidate.spec.shape === 'gang'
        ? candidate.placed.size === 0
        : candidate.placed.size < candidate.spec.tasks,
    )
    .map((unplaced, i) => ({
      ...queuedJob(unplaced, i, i % 7 === 6),
      starving: i % 2 === 0 && unplaced.spec.shape === 'gang',
      overdue: i % 3 === 1,
      tasks: queuedJob(unplaced).tasks.filter((task) => !unplaced.placed.has(task)),
    }));
  return cycleInput({
    teams,
    machines: machines.map((machine, i) => {
      const { open, taskSlots } = state.machines[i]!;
      return { ...machine, open, taskSlots };
    }),
    placedTasks,
    queued: waiting,
  });
};

// The placement search skips machines that can't be chosen: without this, a cycle over a thousand machines took a second.
test('the placement search chooses the same machines as the plain search', () => {
  const seen = { free: 0, preemptions: 0, unplaced: 0 };
  fc.assert(
    fc.property(arbitraryState, fc.boolean(), fc.nat({ max: 5 }), (state, withDemand, avoided) => {
      const cycle: CycleInput = {
        ...inputOf(state),
        coLocatedDemand: withDemand ? coLocatedDemand : [],
        idleMachines: new Set([`vm-${avoided}`]),
        avoid: (avoiding: Job) => (avoiding.spec.id.endsWith('3') ? new Set([`vm-${avoided}`]) : null),
      };
      const result = schedule(cycle);
      assert.deepEqual(result, schedule(cycle, plainPlacementSearch));
      seen.free += result.starts.length;
      seen.preemptions += result.preemptions.length;
      seen.unplaced += result.unplaced.length;
    }),
    { seed: 71, numRuns: 600 },
  );
  for (const [kind, count] of Object.entries(seen))
    assert.ok(count > 200, `too few results of kind ${kind}: ${count}`);
});

/** Short tasks of many teams on up to a dozen machines: some run, some are being stopped, and more wait. */
const arbitraryShortTasks = fc.record({
  teams: fc.integer({ min: 2, max: 9 }),
  machines: fc.integer({ min: 2, max: 12 }),
  placed: fc.array(fc.record({ job: fc.nat(19), terminating: fc.boolean(), machine: fc.nat(11) }), {
    maxLength: 90,
  }),
  jobs: fc.array(
    fc.record({
      team: fc.nat(8),
      urgency: fc.constantFrom<Urgency>(0, 0, 1, 1, 2, 3),
      cpus: fc.constantFrom(1, 1, 2, 0.5),
      gang: fc.boolean(),
      tasks: fc.integer({ min: 1, max: 24 }),
      rank: fc.integer({ min: -2, max: 4 }),
      oneZone: fc.boolean(),
      reserved: fc.nat(3),
      waits: fc.boolean(),
    }),
    { minLength: 20, maxLength: 20 },
  ),
  weights: fc.array(fc.constantFrom(1, 0.25, 0.05), { minLength: 9, maxLength: 9 }),
  maxPlacements: fc.constantFrom(undefined, undefined, 3, 8),
});

// Checks the heap of teams, the machine ranking and the queues built without sorting: with 45,000 tasks the plain cycle takes
// most of a second.
test('the cycle decides the same as the plain cycle', () => {
  const seen = { starts: 0, preemptions: 0, reservations: 0, unplaced: 0, limited: 0 };
  fc.assert(
    fc.property(arbitraryShortTasks, (state) => {
      const jobs = state.jobs.map((spec, i) =>
        job(`job-${i}`, {
          team: `team-${spec.team % state.teams}`,
          urgency: spec.urgency,
          cpus: spec.cpus,
          tasks: spec.tasks,
          shape: spec.gang ? 'gang' : 'array',
          oneZone: spec.oneZone && spec.gang,
        }),
      );
      const machines = Array.from({ length: state.machines }, (_, i) =>
        machineOf(`vm-${i}`, {
          zone: i % 2 === 0 ? 'a' : 'b',
          open: i % 5 !== 4,
          ...(i % 7 === 6 ? { taskSlots: i % 3 } : {}),
        }),
      );
      const placedTasks: PlacedTask[] = state.placed.flatMap((placement): PlacedTask[] => {
        const owner = jobs[placement.job]!;
        const task = owner.placed.size;
        if (task >= owner.spec.tasks || (owner.spec.shape === 'gang' && state.jobs[placement.job]!.waits))
          return [];
        const machine = machines[placement.machine % machines.length]!;
        owner.placed.set(task, { task, attempt: 1, machine: machine.id, since: ZERO });
        const zone = placement.machine === 11 ? null : machine.zone;
        return [
          {
            ...placedTask(owner, machine.id, task, placement.terminating && placement.job % 3 === 0),
            zone,
            remaining: seconds(task),
          },
        ];
      });
      const waiting = jobs.flatMap((owner, i) => {
        const rest = queuedJob(owner, state.jobs[i]!.rank).tasks.filter((task) => !owner.placed.has(task));
        if (!state.jobs[i]!.waits || rest.length === 0) return [];
        return [
          {
            ...queuedJob(owner, state.jobs[i]!.rank, i === 7),
            starving: owner.spec.shape === 'gang',
            tasks: rest,
          },
        ];
      });
      const cycle = cycleInput({
        teams: [
          { name: 'team-0', guarantee: { cpus: 9, gpus: 0 }, limit: { cpus: 20, gpus: 0 } },
          { name: 'team-1', guarantee: { cpus: 4, gpus: 0 }, limit: { cpus: 0, gpus: 0 } },
        ],
        weights: new Map(state.weights.map((weight, i) => [`team-${i}`, weight])),
        machines,
        placedTasks,
        queued: waiting,
        maxPlacements: state.maxPlacements,
        reservations: new Map(
          state.jobs.flatMap((spec, i) => (spec.reserved === 1 ? [[`job-${i}`, 2]] : [])),
        ),
      });
      const result = schedule(cycle);
      assert.deepEqual(result, plainSchedule(cycle));
      seen.starts += result.starts.length;
      seen.preemptions += result.preemptions.length;
      seen.reservations += result.reservations.size;
      seen.unplaced += result.unplaced.length;
      const placements = result.starts.reduce((sum, start) => sum + start.tasksByMachine.size, 0);
      seen.limited += placements >= (state.maxPlacements ?? Number.POSITIVE_INFINITY) ? 1 : 0;
    }),
    { seed: 2026, numRuns: 500 },
  );
  for (const [kind, count] of Object.entries(seen))
    assert.ok(count > 100, `too few results of kind ${kind}: ${count}`);
  // The other states have GPU machines, services and avoided machines.
  fc.assert(
    fc.property(arbitraryState, fc.nat({ max: 5 }), (state, avoided) => {
      const cycle: CycleInput = {
        ...inputOf(state),
        coLocatedDemand,
        idleMachines: new Set([`vm-${avoided}`]),
        avoid: (avoiding: Job) => (avoiding.spec.id.endsWith('3') ? new Set([`vm-${avoided}`]) : null),
      };
      assert.deepEqual(schedule(cycle), plainSchedule(cycle));
    }),
    { seed: 72, numRuns: 200 },
  );
});

test('a cycle respects capacities, limits, placement rules and gangs, and preempts only for waiting tasks', () => {
  fc.assert(
    fc.property(arbitraryState, (state) => {
      const cycle = inputOf(state);
      const result = schedule(cycle);
      const machineById = new Map(cycle.machines.map((machine) => [machine.id, machine]));
      const usedByMachine = new Map<string, [number, number, number]>();
      const usedByTeam = new Map<string, [number, number]>();
      const tasksByZone = new Map<Job, Map<string, number>>();
      const addTask = (placed: Job, machineId: string): void => {
        const used = usedByMachine.get(machineId) ?? [0, 0, 0];
        usedByMachine.set(machineId, [
          used[0] + placed.spec.cpus,
          used[1] + placed.spec.gpus,
          used[2] + placed.spec.memGb,
        ]);
        const teamUse = usedByTeam.get(placed.spec.team) ?? [0, 0];
        usedByTeam.set(placed.spec.team, [teamUse[0] + placed.spec.cpus, teamUse[1] + placed.spec.gpus]);
        const zones = tasksByZone.get(placed) ?? new Map<string, number>();
        const zone = machineById.get(machineId)!.zone;
        tasksByZone.set(placed, zones.set(zone, (zones.get(zone) ?? 0) + 1));
      };
      // Placed tasks count until they have exited, whether or not they are being stopped.
      for (const placed of cycle.placedTasks) addTask(placed.job, placed.machine);
      for (const start of result.starts) {
        const tasks = [...start.tasksByMachine.values()].flat();
        assert.equal(new Set(tasks).size, tasks.length, 'a task is started twice');
        if (start.job.spec.shape === 'gang')
          assert.equal(tasks.length, start.job.spec.tasks, 'a gang is started partially');
        for (const [machineId, on] of start.tasksByMachine) {
          const machine = machineById.get(machineId)!;
          assert.ok(machine.open);
          assert.ok(start.job.spec.types === null || start.job.spec.types.includes(machine.type));
          assert.ok(start.job.spec.zone === null || start.job.spec.zone === machine.zone);
          assert.ok(!machine.spot || start.job.spec.spot);
          on.forEach(() => addTask(start.job, machineId));
        }
        const zones = tasksByZone.get(start.job)!;
        if (start.job.spec.oneZone) assert.equal(zones.size, 1, 'a job for one zone has tasks in several');
        if (start.job.spec.spread)
          for (const count of zones.values())
            assert.ok(
              count <= Math.ceil(start.job.spec.tasks / 2),
              'a spread job has most of its tasks in one zone',
            );
      }
      for (const [machineId, used] of usedByMachine)
        used.forEach((amount, i) =>
          assert.ok(
            amount <= machineById.get(machineId)!.total[i]! + 1e-6,
            `more than the capacity of ${machineId} is used`,
          ),
        );
      for (const team of teams) {
        const used = usedByTeam.get(team.name) ?? [0, 0];
        if (team.limit.cpus > 0)
          assert.ok(used[0] <= team.limit.cpus, `team ${team.name} exceeds its CPU limit`);
        if (team.limit.gpus > 0)
          assert.ok(used[1] <= team.limit.gpus, `team ${team.name} exceeds its GPU limit`);
      }
      if (cycle.queued.length === 0)
        assert.equal(result.preemptions.length, 0, 'tasks are preempted with no jobs queued');
      const unplaced = result.unplaced.reduce((sum, item) => sum + item.count, 0);
      const queued = cycle.queued.reduce((sum, item) => sum + item.tasks.length, 0);
      const started = result.starts.reduce(
        (sum, start) => sum + [...start.tasksByMachine.values()].flat().length,
        0,
      );
      if (unplaced + started === queued)
        assert.equal(result.preemptions.length, 0, 'tasks are preempted with no tasks waiting for them');
      for (const preemption of result.preemptions) {
        if (preemption.job.spec.shape === 'gang') {
          assert.equal(
            result.preemptions.filter((other) => other.job === preemption.job).length,
            preemption.job.placed.size,
            'a gang is preempted partially',
          );
        }
      }
    }),
    { seed: 7, numRuns: 400 },
  );
});

test('cycles with equal inputs return equal results', () => {
  fc.assert(
    fc.property(arbitraryState, (state) => {
      const cycle = inputOf(state);
      assert.deepEqual(schedule(cycle), schedule(cycle));
    }),
    { seed: 8, numRuns: 50 },
  );
});

test('the team with the smallest weighted dominant share after its next task is served first', () => {
  const red = job('job-1', { team: 'red', tasks: 8 });
  const blue = job('job-2', { team: 'blue', tasks: 8 });
  const equalWeights = schedule(
    cycleInput({ machines: [machineOf('m')], queued: [queuedJob(red), queuedJob(blue)] }),
  );
  assert.deepEqual([startedTasks(equalWeights, 'job-1'), startedTasks(equalWeights, 'job-2')], [4, 4]);
  const weighted = schedule(
    cycleInput({
      machines: [machineOf('m')],
      queued: [queuedJob(red), queuedJob(blue)],
      weights: new Map([['red', 3]]),
    }),
  );
  assert.deepEqual([startedTasks(weighted, 'job-1'), startedTasks(weighted, 'job-2')], [6, 2]);
  const redRunning = schedule(
    cycleInput({
      machines: [machineOf('m')],
      placedTasks: [placedTask(job('job-3', { team: 'red', cpus: 4 }), 'm')],
      queued: [queuedJob(red), queuedJob(blue)],
    }),
  );
  assert.deepEqual([startedTasks(redRunning, 'job-1'), startedTasks(redRunning, 'job-2')], [0, 4]);
});

test('a job preempts the least urgent tasks first, and none of its own urgency', () => {
  const low = job('job-1', { cpus: 8, urgency: 0 });
  const normal = job('job-2', { cpus: 8, urgency: 1 });
  const machines = [machineOf('m0'), machineOf('m1')];
  const placedTasks = [placedTask(low, 'm0'), placedTask(normal, 'm1')];
  const urgent = schedule(
    cycleInput({
      machines,
      placedTasks,
      queued: [queuedJob(job('job-3', { cpus: 8, urgency: 2, team: 'blue' }))],
    }),
  );
  assert.deepEqual(
    urgent.preemptions.map((preemption) => preemption.job.spec.id),
    ['job-1'],
  );
  assert.equal(urgent.starts.length, 0, 'a task is started on resources that a stopping task still holds');
  const sameUrgency = schedule(
    cycleInput({
      machines,
      placedTasks,
      queued: [queuedJob(job('job-3', { cpus: 8, urgency: 0, team: 'blue' }))],
    }),
  );
  assert.equal(sameUrgency.preemptions.length, 0);
  assert.deepEqual(
    sameUrgency.unplaced.map((item) => item.job.spec.id),
    ['job-3'],
  );
});

test('a job waits for the resources of a terminating task instead of preempting another one', () => {
  const machines = [machineOf('m0'), machineOf('m1')];
  const placedTasks = [
    placedTask(job('job-1', { cpus: 8 }), 'm0', 0, true),
    placedTask(job('job-2', { cpus: 8 }), 'm1'),
  ];
  const result = schedule(
    cycleInput({ machines, placedTasks, queued: [queuedJob(job('job-3', { cpus: 8, urgency: 3 }))] }),
  );
  assert.equal(result.preemptions.length, 0);
  assert.equal(result.starts.length, 0);
});

test('a team within its guarantee preempts tasks of a team that exceeds its own', () => {
  const borrowing = [0, 1].map((i) =>
    placedTask(job(`job-${i}`, { cpus: 4, team: 'blue', urgency: 2 }), 'm'),
  );
  const result = schedule(
    cycleInput({
      teams,
      machines: [machineOf('m')],
      placedTasks: borrowing,
      queued: [queuedJob(job('job-9', { cpus: 4, team: 'red', urgency: 0 }))],
    }),
  );
  assert.equal(result.preemptions.length, 1);
});

// Without this rule, CPU tasks fill GPU machines while GPU jobs wait that may not preempt tasks of their own urgency.
test('a task without GPUs leaves the CPUs and memory that free GPUs need', () => {
  const coLocatedDemand = [{ urgency: 0, cpusPerGpu: 3, memPerGpu: 1, waiting: true, patience: ZERO }];
  const machines = [machineOf('m', { type: 'g4', total: [8, 2, 32] })];
  const gpuTask = placedTask(job('job-0', { cpus: 3, gpus: 1 }), 'm');
  const cpuJob = (overrides: Partial<JobSpec>) => [queuedJob(job('job-1', { tasks: 8, ...overrides }))];
  const started = (overrides: Partial<CycleInput>, spec: Partial<JobSpec> = {}) =>
    startedTasks(
      schedule(
        cycleInput({
          machines,
          coLocatedDemand,
          placedTasks: [gpuTask],
          queued: cpuJob(spec),
          ...overrides,
        }),
      ),
      'job-1',
    );
  assert.equal(started({}), 2);
  assert.equal(started({}, { urgency: 1 }), 5);
  // While no GPU job waits, short tasks may use these resources.
  const notWaiting = [{ ...coLocatedDemand[0]!, waiting: false, patience: 30e6 as Micros }];
  assert.equal(started({ coLocatedDemand: notWaiting }, { estimate: 20e6 as Micros }), 5);
  assert.equal(started({ coLocatedDemand: notWaiting }, { estimate: 40e6 as Micros }), 2);
  // A GPU machine without GPU tasks should become idle and be returned.
  assert.equal(started({ placedTasks: [] }), 0);
});

// A new leader knows of tasks on machines that have not sent a heartbeat yet: these tasks count for the zone rules.
test('zone rules count tasks on machines that have not reported', () => {
  const machines = [machineOf('m', { zone: 'b' })];
  const oneZone = job('job-1', { tasks: 4, oneZone: true });
  const waiting = [{ ...queuedJob(oneZone), tasks: [1, 2, 3] }];
  const startedWith = (zone: string | null) =>
    startedTasks(
      schedule(
        cycleInput({
          machines,
          placedTasks: [{ ...placedTask(oneZone, 'unreported'), zone }],
          queued: waiting,
        }),
      ),
      'job-1',
    );
  assert.deepEqual([startedWith('a'), startedWith(null), startedWith('b')], [0, 0, 3]);
  const spread = job('job-2', { tasks: 4, spread: true });
  const placedTasks = [0, 1].map((task) => ({ ...placedTask(spread, 'unreported', task), zone: 'b' }));
  const result = schedule(
    cycleInput({ machines, placedTasks, queued: [{ ...queuedJob(spread), tasks: [2, 3] }] }),
  );
  assert.equal(startedTasks(result, 'job-2'), 0);
});

// The team of the preempted tasks had a smaller share than the gang's team, so it was served first in the next cycle and its
// tasks took the freed resources; the gang then preempted tasks again and again.
test('resources freed by preemption go to the job for which the tasks were preempted', () => {
  const gang = job('job-1', { urgency: 1, shape: 'gang', tasks: 2, cpus: 6 });
  const array = job('job-2', { team: 'blue', tasks: 4, cpus: 6 });
  const machines = ['m', 'n', 'o'].map((id) => machineOf(id));
  const placedTasks = machines.map((machine, i) => placedTask(array, machine.id, i));
  for (const placed of placedTasks)
    array.placed.set(placed.task, {
      task: placed.task,
      attempt: 1,
      machine: placed.machine,
      since: 0 as Micros,
    });
  const waiting = { ...queuedJob(array), tasks: [3] };
  const first = schedule(cycleInput({ machines, placedTasks, queued: [queuedJob(gang), waiting] }));
  assert.deepEqual([first.preemptions.length, first.reservations.get('job-1')], [2, 2]);
  // One preempted task has exited and the other one is being stopped; the gang's team uses more on another machine than the
  // other team.
  const [exitedOn, stoppingOn] = first.preemptions.map((preemption) => preemption.machine);
  const otherTask = placedTask(job('job-3', { urgency: 1, cpus: 8 }), 'p');
  const next: Partial<CycleInput> = {
    machines: [...machines, machineOf('p')],
    placedTasks: [
      otherTask,
      ...placedTasks
        .filter((placed) => placed.machine !== exitedOn)
        .map((placed): PlacedTask => ({ ...placed, terminating: placed.machine === stoppingOn })),
    ],
    queued: [queuedJob(gang), waiting],
  };
  assert.equal(
    startedTasks(schedule(cycleInput(next)), 'job-2'),
    1,
    'without the reservation the other team is served first',
  );
  const reserved = schedule(cycleInput({ ...next, reservations: first.reservations }));
  assert.deepEqual(
    [startedTasks(reserved, 'job-2'), reserved.preemptions.length, reserved.reservations.get('job-1')],
    [0, 0, 2],
  );
});

// A job submitted with a mistake preempted tasks with each attempt, reserved the freed resources and had machines rented.
test('a job suspected to be faulty is ranked last, uses free resources only and has no machines rented', () => {
  const low = job('job-1', { team: 'blue', cpus: 8 });
  const urgent = job('job-2', { urgency: 2, cpus: 8 });
  low.placed.set(0, { task: 0, attempt: 1, machine: 'm', since: 0 as Micros });
  const full: Partial<CycleInput> = { machines: [machineOf('m')], placedTasks: [placedTask(low, 'm')] };
  assert.equal(schedule(cycleInput({ ...full, queued: [queuedJob(urgent)] })).preemptions.length, 1);
  const suspect = schedule(cycleInput({ ...full, queued: [queuedJob(urgent, 0, true)] }));
  assert.deepEqual([suspect.starts, suspect.preemptions, suspect.unplaced], [[], [], []]);
  assert.equal(
    startedTasks(
      schedule(cycleInput({ machines: [machineOf('m')], queued: [queuedJob(urgent, 0, true)] })),
      'job-2',
    ),
    1,
  );
  assert.ok(
    rankOf(urgent, ZERO, deadlineObjective(1), true) >
      rankOf(job('job-3', { deadline: seconds(1) }), seconds(9), deadlineObjective(1, 2)),
  );
});

test('several hundred tasks of one array are placed on all machines, and the rest is unplaced', () => {
  const machines = Array.from({ length: 48 }, (_, i) => machineOf(`m${i}`));
  const result = schedule(cycleInput({ machines, queued: [queuedJob(job('job-1', { tasks: 400 }))] }));
  assert.equal(startedTasks(result, 'job-1'), 384);
  assert.deepEqual(
    result.unplaced.map((item) => item.count),
    [16],
  );
});

// One GPU task on each of many GPU machines, with low-urgency CPU tasks beside it, would keep all of them rented forever.
test('GPU machines in excess of the demand are chosen last, so that they become idle', () => {
  const machines = Array.from({ length: 5 }, (_, i) => machineOf(`m${i}`, { type: 'g4', total: [8, 2, 32] }));
  const gpuTask = (machine: string) => placedTask(job('job-1', { gpus: 1, tasks: 5 }), machine);
  const placedTasks = [gpuTask('m0'), gpuTask('m1'), gpuTask('m2')];
  const idle = findIdleMachines(machines, placedTasks, []);
  assert.deepEqual([...idle].sort(), ['m2', 'm3', 'm4']);
  assert.equal(
    findIdleMachines(machines, placedTasks, [queuedJob(job('job-2', { gpus: 1, tasks: 6 }))]).size,
    0,
  );
  const result = schedule(
    cycleInput({
      machines,
      placedTasks,
      idleMachines: idle,
      queued: [queuedJob(job('job-3', { gpus: 1, urgency: 1 }))],
    }),
  );
  assert.ok(!idle.has([...result.starts[0]!.tasksByMachine.keys()][0]!));
});

// If late jobs kept their positions, each late job would make the next one late.
test('a job past its deadline is ranked behind jobs that can still meet theirs', () => {
  const timeOf = (second: number): Micros => (second * 1e6) as Micros;
  const late = job('job-1', { submitted: timeOf(0), deadline: timeOf(100) });
  const inTime = job('job-2', {
    submitted: timeOf(90),
    deadline: timeOf(100),
    tasks: 9,
    estimate: timeOf(20),
  });
  assert.ok(
    rankOf(late, timeOf(50), deadlineObjective(1)) < rankOf(inTime, timeOf(50), deadlineObjective(1)),
    'before the deadlines, the job with the least remaining work is first',
  );
  assert.ok(
    rankOf(late, timeOf(101), deadlineObjective(1)) > rankOf(inTime, timeOf(101), deadlineObjective(1)),
  );
  assert.ok(
    rankOf(late, timeOf(101), deadlineObjective(1, 1.75)) <
      rankOf(late, timeOf(176), deadlineObjective(1, 1.75)),
  );
});

// 552 tiny jobs waited for a minute and more behind an array of 25,000 tasks that the same team had submitted before them.
test('jobs with a finish objective are ranked by remaining work, before jobs without an objective', () => {
  const within: ClassObjective = { multiples: [1], within: seconds(400) };
  const huge = job('job-1', { tasks: 25_000, estimate: seconds(3), submitted: seconds(1) });
  const tiny = job('job-2', { estimate: seconds(150), submitted: seconds(2) });
  const noObjective = job('job-3', { estimate: seconds(1), submitted: ZERO });
  const ranks = [
    rankOf(tiny, seconds(9), within),
    rankOf(huge, seconds(9), within),
    rankOf(noObjective, seconds(9), deadlineObjective(1)),
  ];
  assert.ok(ranks[0]! < ranks[1]!);
  // Submission times are times of day, so ranks by submission are large numbers.
  const submittedToday = {
    ...noObjective,
    spec: { ...noObjective.spec, submitted: seconds(1_790_000_000) },
  };
  assert.ok(ranks[1]! < rankOf(submittedToday, seconds(9), deadlineObjective(1)));
});

// A fifth of the tiny jobs of 150 s lost their work on spot machines, some of them twice.
test('long tasks without checkpoints avoid spot machines, and other jobs that may use them prefer them', () => {
  const machines = [machineOf('m'), machineOf('s', { spot: true })];
  const chosenMachine = (overrides: Partial<JobSpec>): string =>
    [
      ...schedule(
        cycleInput({ machines, queued: [queuedJob(job('job-1', overrides))] }),
      ).starts[0]!.tasksByMachine.keys(),
    ][0]!;
  assert.equal(chosenMachine({ estimate: seconds(20) }), 's');
  assert.equal(chosenMachine({ estimate: seconds(150) }), 'm');
  assert.equal(chosenMachine({ estimate: seconds(150), checkpoint: seconds(15) }), 's');
  assert.equal(chosenMachine({ estimate: seconds(20), spot: false }), 'm');
});

// With an order by remaining work alone, the largest jobs of a class began last on large days, after up to 15 minutes.
test('the largest jobs of a class go first after a wait, until they cannot begin in time any more', () => {
  const timeOf = (second: number): Micros => seconds(1000 + second);
  const none = { cpus: 0, gpus: 0 };
  const large = job('job-1', {
    tasks: 80,
    estimate: seconds(90),
    submitted: timeOf(0),
    deadline: seconds(240),
  });
  const young = job('job-2', { estimate: seconds(1), submitted: timeOf(100), deadline: seconds(240) });
  const rank = (ranked: Job, day: Micros, limit = none): number =>
    rankOf(ranked, day, deadlineObjective(1, 1.5), false, starvingFrom(ranked, day, limit, 100));
  assert.ok(
    rank(large, timeOf(164)) > rank(young, timeOf(164)),
    'before it is starving, the large job is ranked by its remaining work',
  );
  assert.ok(rank(large, timeOf(166)) < rank(young, timeOf(166)));
  assert.ok(
    rank(large, timeOf(241)) > rank(young, timeOf(241)),
    'a job that cannot begin in time does not delay others',
  );
  // A job that has begun is ranked by its remaining work. A job has begun with as many tasks as the team's limit allows.
  for (let i = 0; i < 20; i++) large.placed.set(i, { task: i, attempt: 1, machine: 'm', since: ZERO });
  assert.ok(rank(large, timeOf(166)) < rank(young, timeOf(166)));
  assert.ok(rank(large, timeOf(166), { cpus: 20, gpus: 0 }) > rank(young, timeOf(166)));
  const huge = { ...large, spec: { ...large.spec, tasks: 101 } };
  assert.ok(
    rank(huge, timeOf(166)) > rank(young, timeOf(166)),
    'a job with more tasks than can be placed at a time does not delay others',
  );
  const suspect = rankOf(large, timeOf(166), deadlineObjective(1), true, timeOf(120));
  assert.ok(
    suspect > rank(job('job-4', { submitted: timeOf(9) }), timeOf(900)),
    'a starving job suspected to be faulty is still ranked last',
  );
  // The largest jobs of a class are those within a tenth of the greatest, and at least five. A new leader sees unfinished
  // jobs only: without the hint of the leader before, it would take ordinary jobs for the largest.
  const before = new LargestJobs();
  for (const tasks of [80, 75, 72, 71, 70]) before.observe(job(`job-${tasks}`, { tasks }).spec);
  for (const [hint, expected] of [
    [JSON.parse(JSON.stringify(before.hint())) as unknown, [70, 80]],
    [null, [3, 5, 6, 10, 12, 70, 80]],
    [{ x: [['job-1', 'y'], 7], y: 3 }, [3, 5, 6, 10, 12, 70, 80]],
  ] as const) {
    const next = new LargestJobs(hint);
    for (const tasks of [3, 5, 6, 10, 12]) next.observe(job(`job-${tasks}`, { tasks }).spec);
    const sizes = [3, 5, 6, 10, 12, 70, 80];
    assert.deepEqual(
      sizes.filter((tasks) => next.has(job('job-9', { tasks }).spec)),
      expected,
    );
  }
  const largest = new LargestJobs();
  for (const tasks of [3, 80, 75, 72, 71, 10, 20, 30]) largest.observe(job(`job-${tasks}`, { tasks }).spec);
  const has = (tasks: number): boolean => largest.has(job('job-9', { tasks }).spec);
  assert.deepEqual([71, 30, 29].map(has), [true, true, false]);
  for (const tasks of [76, 77, 78]) largest.observe(job(`job-${tasks}`, { tasks }).spec);
  assert.deepEqual([72, 71].map(has), [true, false]);
});

test('machines are reserved for a starving gang against younger jobs that are not more urgent', () => {
  const large = job('job-1', { shape: 'gang', urgency: 1, tasks: 2, cpus: 8, oneZone: true });
  const other = job('job-2', { urgency: 1, cpus: 8 });
  const small = job('job-3', { shape: 'gang', urgency: 1, cpus: 8, estimate: seconds(90) });
  const short = job('job-4', { urgency: 1, cpus: 8, estimate: seconds(20) });
  const low = job('job-5', { cpus: 8, estimate: seconds(90) });
  const urgent = job('job-6', { urgency: 2, team: 'blue', cpus: 8, estimate: seconds(90) });
  other.placed.set(0, { task: 0, attempt: 1, machine: 'm2', since: ZERO });
  // The task on m2 finishes in about a minute. The other zone has one machine only, and the gang needs two.
  const machines = [machineOf('m1'), machineOf('m2'), machineOf('m3', { zone: 'b' })];
  const running: PlacedTask = { ...placedTask(other, 'm2'), remaining: seconds(60) };
  const placements = (next: Job, starving = true, available = machines): string[] => {
    const first = { ...queuedJob(large), starving };
    // With this weight the other team is served after the gang's team.
    const weights = new Map([['blue', 0.01]]);
    const result = schedule(
      cycleInput({
        machines: available,
        placedTasks: [running],
        queued: [first, queuedJob(next, 1)],
        weights,
      }),
    );
    return result.starts.flatMap((start) =>
      [...start.tasksByMachine.keys()].map((machine) => `${start.job.spec.id} ${machine}`),
    );
  };
  assert.deepEqual(
    placements(small, false),
    ['job-3 m1'],
    'without a reservation the small gang takes a machine that the large gang needs',
  );
  assert.deepEqual(placements(small), ['job-3 m3'], 'the small gang is placed in the other zone');
  assert.deepEqual(
    placements(small, true, machines.slice(0, 2)),
    [],
    'the small gang waits if there is no machine elsewhere',
  );
  const oneZone = machines.slice(0, 2);
  assert.deepEqual(
    placements(low, true, oneZone),
    [],
    'a less urgent job, which the gang would soon preempt, waits',
  );
  assert.deepEqual(placements(urgent, true, oneZone), ['job-6 m1'], 'a more urgent job is not delayed');
  assert.deepEqual(
    placements(short, true, machines.slice(0, 2)),
    ['job-4 m1'],
    'a job that finishes before the gang can begin is not delayed',
  );
  assert.deepEqual(
    placements(small, true, [machineOf('m2'), machineOf('m3', { zone: 'b' })]),
    ['job-3 m3'],
    'nothing is reserved if no zone can ever hold the whole gang',
  );
});

// Small arrays waited for minutes beside unused GPU machines, until other machines were free.
test('an overdue job starts one task on resources kept for future GPU jobs, but not on those of waiting GPU jobs', () => {
  const gpuDemand = { urgency: 1, cpusPerGpu: 2, memPerGpu: 2, patience: 0 as Micros };
  const started = (overdue: boolean, waiting: boolean): number => {
    const array = job('job-1', { cpus: 1, memGb: 1, tasks: 4, urgency: 0, estimate: 60e6 as Micros });
    const machines = [machineOf('m1', { type: 'g4', total: [8, 4, 64] })];
    const coLocatedDemand = [{ ...gpuDemand, waiting }];
    return startedTasks(
      schedule(cycleInput({ machines, queued: [{ ...queuedJob(array), overdue }], coLocatedDemand })),
      'job-1',
    );
  };
  assert.equal(started(false, false), 0);
  assert.equal(started(true, false), 1);
  assert.equal(started(true, true), 0);
  const waits = new StartWaits();
  const waitingJob = job('job-1');
  const isOverdue = (at: number): boolean => waits.overdue(waitingJob, seconds(at));
  assert.deepEqual([isOverdue(100), isOverdue(170), isOverdue(171)], [false, false, true]);
  waitingJob.attempt = 7;
  assert.deepEqual(
    [isOverdue(172), isOverdue(242), isOverdue(243)],
    [false, false, true],
    'the waiting time begins anew with a start',
  );
});

test('tasks of any size are placed on a machine only while its heartbeats can list them', () => {
  const views = ['vm-1', 'vm-2', 'vm-3'].map((id) => machineOf(id, { taskSlots: 40 }));
  const sizes = [0, 0.001, 0.02].map((cpus, i) => job(`job-${i + 1}`, { tasks: 50, cpus, memGb: 0 }));
  const { starts } = schedule(
    cycleInput({ machines: views, queued: sizes.map((sized) => queuedJob(sized)) }),
  );
  const counts = new Map<string, number>();
  for (const { tasksByMachine } of starts)
    for (const [machine, tasks] of tasksByMachine)
      counts.set(machine, (counts.get(machine) ?? 0) + tasks.length);
  assert.deepEqual([...counts.values()], [40, 40, 40]);
});
