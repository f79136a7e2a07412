/** The jobs that a run's users submit, and the machines that it can have: drawn from the options and a seed. */
import type { LimitedTeamOfSettings, ObjectiveOfSettings } from './controllers.js';
import type { JobDescription, MachineKind } from './model.js';
import type { Random } from './random.js';

export interface WorkloadOptions {
  readonly machines: number;
  /** Tasks of one CPU that a machine has room for. */
  readonly slots: number;
  readonly zones: readonly string[];
  readonly teams: number;
  /** Task starts a second that users ask for. */
  readonly starts: number;
  /** Seconds that a task runs. */
  readonly runS: number;
  /** Tasks of an array. */
  readonly tasks: number;
  /** Parts of the starts, 0 to 1. */
  readonly gangs: number;
  readonly urgent: number;
  readonly accelerated: number;
  /** Part of the jobs that their users cancel. */
  readonly cancelled: number;
  /** What a team may use of all room, 0 to 1. */
  readonly teamLimit: number;
}

const GANG_SIZES = [2, 4, 8, 16, 32, 64];
const URGENT_TASKS = 8;
const MEM_GB_PER_SLOT = 4;
const TASK_MEM_GB = 3;
/** Of the size to come: 13,000 accelerators on 7,900 machines, two on each that has any. */
const ACCELERATED_MACHINES = 0.82;
const ACCELERATORS = 2;
const IMAGE_GB = 1;
const RUN_SPREAD = { least: 0.5, most: 1.5 };

export const BULK = 'bulk';
export const GANG = 'gang';
export const URGENT = 'urgent';
export const ACCELERATED = 'accelerated';
type JobClass = typeof BULK | typeof GANG | typeof URGENT | typeof ACCELERATED;

export const machineKinds = (o: WorkloadOptions): MachineKind[] => {
  const accelerated = Math.round(o.machines * ACCELERATED_MACHINES);
  const kind = (label: string, accelerators: number, count: number, hourly: number): MachineKind => ({
    label,
    vcpus: o.slots,
    accelerators,
    memGb: o.slots * MEM_GB_PER_SLOT,
    hourly,
    zones: o.zones,
    count,
  });
  return o.accelerated === 0
    ? [kind('box', 0, o.machines, 0.8)]
    : [kind('box', 0, o.machines - accelerated, 0.8), kind('gpu', ACCELERATORS, accelerated, 1.6)];
};

export const teamSettings = (o: WorkloadOptions): LimitedTeamOfSettings[] => {
  const cpus = o.machines * o.slots;
  const gpus = o.accelerated === 0 ? 0 : Math.round(o.machines * ACCELERATED_MACHINES) * ACCELERATORS;
  return Array.from({ length: o.teams }, (_, i) => ({
    name: `team-${i}`,
    cpus: Math.floor(cpus / o.teams / 2),
    cpus_max: Math.max(o.slots, Math.ceil(cpus * o.teamLimit)),
    gpus: Math.floor(gpus / o.teams / 2),
    gpus_max: Math.ceil(gpus * o.teamLimit),
  }));
};

export const objectives = (): ObjectiveOfSettings[] => [
  { kind: 'wait', class: URGENT, within_s: 7.2, share: 0.99 },
  { kind: 'wait', class: GANG, within_s: 60, share: 0.95 },
  { kind: 'finished', class: BULK, within_s: 350, share: 0.99 },
  { kind: 'finished', class: ACCELERATED, within_s: 350, share: 0.99 },
];

export interface PlannedJob {
  readonly job: JobDescription;
  readonly cancels: boolean;
}

/** Draws one job after the other so that each class has its part of the starts. */
export class Workload {
  private count = 0;
  /** Starts that each class has had so far, over its part. */
  private readonly had = new Map<JobClass, number>();
  private readonly parts: readonly (readonly [JobClass, number])[];

  constructor(
    private readonly options: WorkloadOptions,
    private readonly random: Random,
  ) {
    const { gangs, urgent, accelerated } = options;
    const all: (readonly [JobClass, number])[] = [
      [BULK, Math.max(0, 1 - gangs - urgent - accelerated)],
      [GANG, gangs],
      [URGENT, urgent],
      [ACCELERATED, accelerated],
    ];
    this.parts = all.filter(([, part]) => part > 0);
  }

  /** The next job: of the class that is furthest behind its part. */
  next(): PlannedJob {
    const [jobClass] = this.parts.reduce((a, b) => (this.behind(b) < this.behind(a) ? b : a));
    const job = this.draw(jobClass);
    this.had.set(jobClass, (this.had.get(jobClass) ?? 0) + job.tasks);
    return { job, cancels: this.random.chance(this.options.cancelled) };
  }

  private behind([jobClass, part]: readonly [JobClass, number]): number {
    return (this.had.get(jobClass) ?? 0) / part;
  }

  private draw(jobClass: JobClass): JobDescription {
    const { options, random } = this;
    const id = `job-${String(++this.count).padStart(6, '0')}`;
    const gang = jobClass === GANG;
    return {
      id,
      team: `team-${random.below(options.teams)}`,
      jobClass,
      shape: gang ? 'ensemble' : 'array',
      urgency: jobClass === URGENT ? 'high' : 'normal',
      tasks: this.tasksOf(jobClass),
      vcpus: 1,
      accelerators: jobClass === ACCELERATED ? 1 : 0,
      memGb: TASK_MEM_GB,
      image: `img-${jobClass}`,
      imageGb: IMAGE_GB,
      kinds: null,
      zone: null,
      samePlace: gang,
      scatter: false,
      runMs: options.runS * 1000 * random.between(RUN_SPREAD.least, RUN_SPREAD.most),
      saveEveryMs: gang ? 15_000 : 0,
      saveTakesMs: gang ? 1000 : 0,
    };
  }

  private tasksOf(jobClass: JobClass): number {
    if (jobClass === GANG) {
      const roomy = GANG_SIZES.filter((n) => n <= this.options.machines);
      return roomy[this.random.below(roomy.length)] ?? 1;
    }
    return jobClass === URGENT ? Math.min(URGENT_TASKS, this.options.tasks) : this.options.tasks;
  }
}
