/** Generates the jobs that users submit, and the machine types and teams of a run, from the options and a seed. */
import type { LimitedTeamSettings, ObjectiveSettings } from './controllers.js';
import type { JobDescription, MachineKind } from './model.js';
import type { Random } from './random.js';

/** Size of the cluster and its load. */
export interface WorkloadOptions {
  readonly machines: number;
  /** Number of tasks with one CPU that fit on a machine. */
  readonly slots: number;
  readonly zones: readonly string[];
  readonly teams: number;
  /** Task starts per second that users request. */
  readonly starts: number;
  /** Average run time of a task, in seconds. */
  readonly runS: number;
  /** Number of tasks per array. */
  readonly tasks: number;
  /** Fractions of the task starts, 0 to 1. */
  readonly gangs: number;
  readonly urgent: number;
  readonly accelerated: number;
  /** Fraction of the jobs that users cancel, 0 to 1. */
  readonly cancelled: number;
  /** Fraction of the total capacity that one team may use, 0 to 1. */
  readonly teamLimit: number;
}

const GANG_SIZES = [2, 4, 8, 16, 32, 64];
const URGENT_TASKS = 8;
const MEM_GB_PER_SLOT = 4;
const TASK_MEM_GB = 3;
/**
 * Fraction of machines with accelerators: the planned size has 13,000 accelerators on 7,900 machines, two per machine.
 */
const ACCELERATED_MACHINE_FRACTION = 0.82;
const ACCELERATORS_PER_MACHINE = 2;
const IMAGE_GB = 1;
const RUN_TIME_FACTOR = { min: 0.5, max: 1.5 };

/** Job class of large arrays; one of the four job classes of a run. */
export const BULK = 'bulk';
/** See `BULK`. */
export const GANG = 'gang';
/** See `BULK`. */
export const URGENT = 'urgent';
/** See `BULK`. */
export const ACCELERATED = 'accelerated';
type JobClass = typeof BULK | typeof GANG | typeof URGENT | typeof ACCELERATED;

/** Returns the machine types that can be rented: two if some starts need accelerators, else one. */
export const machineKinds = (options: WorkloadOptions): MachineKind[] => {
  const accelerated = Math.round(options.machines * ACCELERATED_MACHINE_FRACTION);
  const kind = (label: string, accelerators: number, count: number, hourly: number): MachineKind => ({
    label,
    vcpus: options.slots,
    accelerators,
    memGb: options.slots * MEM_GB_PER_SLOT,
    hourly,
    zones: options.zones,
    count,
  });
  return options.accelerated === 0
    ? [kind('box', 0, options.machines, 0.8)]
    : [
        kind('box', 0, options.machines - accelerated, 0.8),
        kind('gpu', ACCELERATORS_PER_MACHINE, accelerated, 1.6),
      ];
};

/**
 * Returns the teams: half of the capacity is guaranteed to the teams in equal amounts, and each may use up to its
 * limit.
 */
export const teamSettings = (options: WorkloadOptions): LimitedTeamSettings[] => {
  const cpus = options.machines * options.slots;
  const gpus =
    options.accelerated === 0
      ? 0
      : Math.round(options.machines * ACCELERATED_MACHINE_FRACTION) * ACCELERATORS_PER_MACHINE;
  return Array.from({ length: options.teams }, (_, i) => ({
    name: `team-${i}`,
    cpus: Math.floor(cpus / options.teams / 2),
    cpus_max: Math.max(options.slots, Math.ceil(cpus * options.teamLimit)),
    gpus: Math.floor(gpus / options.teams / 2),
    gpus_max: Math.ceil(gpus * options.teamLimit),
  }));
};

/** Returns one service-level objective per job class. */
export const objectives = (): ObjectiveSettings[] => [
  { kind: 'wait', class: URGENT, within_s: 7.2, share: 0.99 },
  { kind: 'wait', class: GANG, within_s: 60, share: 0.95 },
  { kind: 'finished', class: BULK, within_s: 350, share: 0.99 },
  { kind: 'finished', class: ACCELERATED, within_s: 350, share: 0.99 },
];

/** A job to submit, and whether its user cancels it. */
export interface PlannedJob {
  readonly job: JobDescription;
  readonly cancels: boolean;
}

/** Draws jobs such that each class gets its fraction of the task starts. */
export class Workload {
  private count = 0;
  /** Number of task starts drawn so far, by class. */
  private readonly startsByClass = new Map<JobClass, number>();
  private readonly fractions: readonly (readonly [JobClass, number])[];

  constructor(
    private readonly options: WorkloadOptions,
    private readonly random: Random,
  ) {
    const { gangs, urgent, accelerated } = options;
    const classes: (readonly [JobClass, number])[] = [
      [BULK, Math.max(0, 1 - gangs - urgent - accelerated)],
      [GANG, gangs],
      [URGENT, urgent],
      [ACCELERATED, accelerated],
    ];
    this.fractions = classes.filter(([, fraction]) => fraction > 0);
  }

  /** Draws the next job, from the class whose starts are lowest relative to its fraction. */
  next(): PlannedJob {
    const [jobClass] = this.fractions.reduce((lowest, candidate) =>
      this.relativeStarts(candidate) < this.relativeStarts(lowest) ? candidate : lowest,
    );
    const job = this.draw(jobClass);
    this.startsByClass.set(jobClass, (this.startsByClass.get(jobClass) ?? 0) + job.tasks);
    return { job, cancels: this.random.chance(this.options.cancelled) };
  }

  private relativeStarts([jobClass, fraction]: readonly [JobClass, number]): number {
    return (this.startsByClass.get(jobClass) ?? 0) / fraction;
  }

  private draw(jobClass: JobClass): JobDescription {
    const { options, random } = this;
    const id = `job-${String(++this.count).padStart(6, '0')}`;
    const isGang = jobClass === GANG;
    return {
      id,
      team: `team-${random.below(options.teams)}`,
      jobClass,
      shape: isGang ? 'ensemble' : 'array',
      urgency: jobClass === URGENT ? 'high' : 'normal',
      tasks: this.tasksOf(jobClass),
      vcpus: 1,
      accelerators: jobClass === ACCELERATED ? 1 : 0,
      memGb: TASK_MEM_GB,
      image: `img-${jobClass}`,
      imageGb: IMAGE_GB,
      kinds: null,
      zone: null,
      samePlace: isGang,
      scatter: false,
      runMs: options.runS * 1000 * random.between(RUN_TIME_FACTOR.min, RUN_TIME_FACTOR.max),
      saveEveryMs: isGang ? 15_000 : 0,
      saveTakesMs: isGang ? 1000 : 0,
    };
  }

  private tasksOf(jobClass: JobClass): number {
    if (jobClass === GANG) {
      const allowedSizes = GANG_SIZES.filter((size) => size <= this.options.machines);
      return allowedSizes[this.random.below(allowedSizes.length)] ?? 1;
    }
    return jobClass === URGENT ? Math.min(URGENT_TASKS, this.options.tasks) : this.options.tasks;
  }
}
