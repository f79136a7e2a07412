/** Generates inputs of one scheduling cycle at a given size, for measurements and property tests of the cycle. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job, JobSpec } from '@lilacvalve/controller/jobs/model';
import type { CycleInput, PlacedTask, MachineView, QueuedJob } from '@lilacvalve/controller/scheduler/model';
import { findIdleMachines } from '@lilacvalve/controller/scheduler/idle-machines';
import { job } from '@lilacvalve/controller/support/job';

/** A generated fleet with its placed and waiting tasks. */
export interface SampleFleet {
  readonly input: CycleInput;
}

const ZONES = ['a', 'b', 'c', 'd'];
const MIXED_TEAMS = ['app', 'core', 'risk', 'data'];
const RENDER_JOB_TASKS = 120;

/** Returns a Lehmer random number generator with a fixed seed, so that the same sizes give the same fleet. */
const lehmer = (): (() => number) => {
  let seed = 7;
  return () => {
    seed = (seed * 48271) % 2147483647;
    return seed / 2147483647;
  };
};

/** Creates jobs, assigned to the teams round-robin, and places or queues their tasks. */
class Workload {
  readonly placedTasks: PlacedTask[] = [];
  readonly queued: QueuedJob[] = [];
  private count = 0;
  /** By kind: the job whose tasks are being placed. */
  private readonly open = new Map<string, Job>();

  constructor(
    private readonly teams: readonly string[],
    private readonly random: () => number,
  ) {}

  /** Creates a job of the next team. */
  make(overrides: Partial<JobSpec>): Job {
    return job(`job-${String(++this.count).padStart(6, '0')}`, {
      team: this.teams[this.count % this.teams.length]!,
      image: 'img',
      estimate: 20e6 as Micros,
      ...overrides,
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

  /** Places the next task of the open job of this kind; creates a new job when all its tasks are placed. */
  place(kind: string, newJob: () => Job, machine: MachineView): void {
    let open = this.open.get(kind);
    if (open === undefined || open.placed.size === open.spec.tasks) {
      open = newJob();
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

  /** Queues all tasks of a job. */
  enqueue(waiting: Job): void {
    this.queued.push({
      job: waiting,
      tasks: Array.from({ length: waiting.spec.tasks }, (_, i) => i),
      rank: this.random() * 1e9,
      starving: waiting.spec.shape === 'gang',
      suspect: false,
      mayRent: true,
    });
  }

  /** Returns the input of a scheduling cycle on these machines. */
  input(machines: readonly MachineView[]): CycleInput {
    return {
      now: 1e9 as Micros,
      teams: this.teams.map((name) => ({
        name,
        guarantee: { cpus: 0, gpus: 0 },
        limit: { cpus: 0, gpus: 0 },
      })),
      weights: new Map(),
      machines,
      placedTasks: this.placedTasks,
      queued: this.queued,
      coLocatedDemand: [
        { urgency: 0, cpusPerGpu: 5, memPerGpu: 18, waiting: true, patience: 30e6 as Micros },
      ],
      idleMachines: findIdleMachines(machines, this.placedTasks, this.queued),
      reservations: new Map(),
      avoid: () => null,
    };
  }
}

/** A fleet whose machines are full of gangs, GPU tasks or small tasks, with more waiting tasks than free capacity. */
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
  const workload = new Workload(MIXED_TEAMS, random);
  for (const machine of nodes) {
    if (machine.type === 'g')
      for (let i = 0; i < 2; i++) workload.place('scoring', () => workload.scoring(), machine);
    else if (!machine.spot && random() < 0.6) workload.place('gang', () => workload.gang(6), machine);
    else for (let i = 0; i < 16; i++) workload.place('render', () => workload.render(), machine);
  }
  for (const size of [1, 3, 6, 12, 16, 16]) workload.enqueue(workload.gang(size));
  for (let i = 0; i < 8; i++) workload.enqueue(workload.scoring());
  for (let remaining = waiting; remaining > 0; remaining -= RENDER_JOB_TASKS)
    workload.enqueue(workload.render());
  return { input: workload.input(nodes) };
};

/** Sizes of a fleet of short tasks. */
export interface ShortTaskSizes {
  readonly machines: number;
  /** Number of waiting tasks. */
  readonly waiting: number;
  /** Number of tasks of one CPU that fit on each machine. */
  readonly held: number;
  /** Fraction of that capacity that is free, 0 to 1. */
  readonly free: number;
  readonly teams: number;
}

/** Number of tasks of a job in a fleet of short tasks, large since 33,000 jobs a day have to cause thousands of starts a second. */
const SHORT_JOB_TASKS = 1000;

/** A fleet whose machines run tasks of one CPU and a few seconds, of many teams; a fraction of them has just exited. */
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
  const workload = new Workload(teams, random);
  for (const machine of nodes)
    for (let i = 0; i < sizes.held; i++)
      // Tasks of several jobs share a machine, as they do when teams are served round-robin.
      if (random() >= sizes.free)
        workload.place(
          `short-${Math.floor(random() * sizes.teams)}`,
          () => workload.render(SHORT_JOB_TASKS),
          machine,
        );
  for (let remaining = sizes.waiting; remaining > 0; remaining -= SHORT_JOB_TASKS)
    workload.enqueue(workload.render(Math.min(remaining, SHORT_JOB_TASKS)));
  return { input: workload.input(nodes) };
};
