/** Inputs of one scheduling cycle, made up at a given size: what measurements and property tests of the cycle run on. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job, JobSpec } from '@lilacvalve/controller/jobs/model';
import type { CycleInput, PlacedTask, MachineView, QueuedJob } from '@lilacvalve/controller/scheduler/model';
import { findIdleMachines } from '@lilacvalve/controller/scheduler/idle-machines';
import { job } from '@lilacvalve/controller/support/job';

export interface SampleFleet {
  readonly input: CycleInput;
}

const ZONES = ['a', 'b', 'c', 'd'];
const MIXED_TEAMS = ['app', 'core', 'risk', 'data'];
const RENDER_JOB_TASKS = 120;

/** Lehmer's generator: the same fleet for the same sizes. */
const lehmer = (): (() => number) => {
  let seed = 7;
  return () => {
    seed = (seed * 48271) % 2147483647;
    return seed / 2147483647;
  };
};

/** Makes jobs of teams by turns and places their tasks. */
class Workload {
  readonly placedTasks: PlacedTask[] = [];
  readonly queued: QueuedJob[] = [];
  private count = 0;
  /** Jobs that tasks are still being placed of, by kind. */
  private readonly open = new Map<string, Job>();

  constructor(
    private readonly teams: readonly string[],
    private readonly random: () => number,
  ) {}

  make(over: Partial<JobSpec>): Job {
    return job(`job-${String(++this.count).padStart(6, '0')}`, {
      team: this.teams[this.count % this.teams.length]!,
      image: 'img',
      estimate: 20e6 as Micros,
      ...over,
    });
  }

  gang(tasks: number): Job {
    return this.make({
      shape: 'gang',
      urgency: 1,
      cpus: 15,
      memGb: 51,
      tasks,
      oneZone: true,
      checkpoint: 45e6 as Micros,
    });
  }

  scoring(): Job {
    return this.make({
      urgency: 0,
      cpus: 5,
      gpus: 1,
      memGb: 18,
      tasks: 12,
      spot: true,
      jobClass: 'score',
    });
  }

  render(tasks = RENDER_JOB_TASKS): Job {
    return this.make({ urgency: 0, cpus: 1, memGb: 3.1, tasks, spot: true });
  }

  /** Places the next task of the open job of this kind; a full one is followed by a fresh one. */
  hold(kind: string, fresh: () => Job, machine: MachineView): void {
    let open = this.open.get(kind);
    if (open === undefined || open.placed.size === open.spec.tasks) {
      open = fresh();
      this.open.set(kind, open);
    }
    const task = open.placed.size;
    open.placed.set(task, { task, attempt: 1, machine: machine.id, since: 0 as Micros });
    this.placedTasks.push({
      job: open,
      task,
      machine: machine.id,
      zone: machine.zone,
      terminating: false,
      loss: 5e6 as Micros,
      remaining: 10e6 as Micros,
    });
  }

  wait(waiting: Job): void {
    this.queued.push({
      job: waiting,
      tasks: Array.from({ length: waiting.spec.tasks }, (_, i) => i),
      rank: this.random() * 1e9,
      starving: waiting.spec.shape === 'gang',
      suspect: false,
      mayRent: true,
    });
  }

  input(nodes: readonly MachineView[]): CycleInput {
    return {
      now: 1e9 as Micros,
      teams: this.teams.map((name) => ({
        name,
        guarantee: { cpus: 0, gpus: 0 },
        limit: { cpus: 0, gpus: 0 },
      })),
      weights: new Map(),
      machines: nodes,
      placedTasks: this.placedTasks,
      queued: this.queued,
      coLocatedDemand: [
        { urgency: 0, cpusPerGpu: 5, memPerGpu: 18, waiting: true, patience: 30e6 as Micros },
      ],
      idleMachines: findIdleMachines(nodes, this.placedTasks, this.queued),
      reservations: new Map(),
      avoid: () => null,
    };
  }
}

/** Every machine is full of gangs, GPU tasks or small ones; more waits than will find room. */
export const mixedFleet = (machines: number, waiting: number): SampleFleet => {
  const random = lehmer();
  const nodes: MachineView[] = Array.from({ length: machines }, (_, i) => {
    const gpu = i % 3 === 0;
    return {
      id: `vm-${String(i).padStart(6, '0')}`,
      type: gpu ? 'g' : 'c',
      zone: ZONES[i % ZONES.length]!,
      spot: i % 7 === 0,
      total: gpu ? [12, 2, 48] : [16, 0, 64],
      images: new Set(['img']),
      open: true,
    };
  });
  const work = new Workload(MIXED_TEAMS, random);
  for (const m of nodes) {
    if (m.type === 'g') for (let i = 0; i < 2; i++) work.hold('scoring', () => work.scoring(), m);
    else if (!m.spot && random() < 0.6) work.hold('gang', () => work.gang(6), m);
    else for (let i = 0; i < 16; i++) work.hold('render', () => work.render(), m);
  }
  for (const size of [1, 3, 6, 12, 16, 16]) work.wait(work.gang(size));
  for (let i = 0; i < 8; i++) work.wait(work.scoring());
  for (let left = waiting; left > 0; left -= RENDER_JOB_TASKS) work.wait(work.render());
  return { input: work.input(nodes) };
};

export interface ShortTaskSizes {
  readonly machines: number;
  /** Tasks that wait. */
  readonly waiting: number;
  /** Tasks of one CPU that each machine has room for. */
  readonly held: number;
  /** The part of that room that is free, 0 to 1. */
  readonly free: number;
  readonly teams: number;
}

/** Tasks of a job in a fleet of short tasks: 33,000 jobs a day have to make thousands of starts a second. */
const SHORT_JOB_TASKS = 1000;

/** Every machine holds tasks of one CPU that last for seconds, by jobs of many teams; some of them have just ended. */
export const shortTaskFleet = (sizes: ShortTaskSizes): SampleFleet => {
  const random = lehmer();
  const teams = Array.from({ length: sizes.teams }, (_, i) => `team-${i}`);
  const nodes: MachineView[] = Array.from({ length: sizes.machines }, (_, i) => ({
    id: `vm-${String(i).padStart(6, '0')}`,
    type: 'c',
    zone: ZONES[i % 3]!,
    spot: false,
    total: [sizes.held, 0, sizes.held * 4],
    images: new Set(['img']),
    open: true,
  }));
  const work = new Workload(teams, random);
  for (const m of nodes)
    for (let i = 0; i < sizes.held; i++)
      // Tasks of several jobs lie on one machine, as those of teams that take turns do.
      if (random() >= sizes.free)
        work.hold(`short-${Math.floor(random() * sizes.teams)}`, () => work.render(SHORT_JOB_TASKS), m);
  for (let left = sizes.waiting; left > 0; left -= SHORT_JOB_TASKS)
    work.wait(work.render(Math.min(left, SHORT_JOB_TASKS)));
  return { input: work.input(nodes) };
};
