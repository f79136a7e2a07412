import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import type { ImageStatus, Victim } from '../lending/replica-cost.js';
import type { TeamSettings } from '../settings/settings.js';

/** CPUs, GPUs, memory. */
export type Resources = [number, number, number];

export const resourcesOf = (s: { cpus: number; gpus: number; memGb: number }): Resources => [
  s.cpus,
  s.gpus,
  s.memGb,
];
export const EPSILON = 1e-6;
export const fits = (need: Resources, have: Resources): boolean =>
  need[0] <= have[0] + EPSILON && need[1] <= have[1] + EPSILON && need[2] <= have[2] + EPSILON;
/** How often a task that wants so much of one kind goes into what there is of it. */
export const countOfKind = (want: number, have: number): number =>
  Math.floor((have + EPSILON) / want + EPSILON);
/** How many times `need` goes into `have`; as often as one likes if it needs nothing. */
export const countFitting = (need: Resources, have: Resources): number => {
  let k = Number.POSITIVE_INFINITY;
  for (let i = 0; i < 3; i++) if (need[i]! > 0) k = Math.min(k, countOfKind(need[i]!, have[i]!));
  return Math.max(0, k);
};
export const add = (a: Resources, b: Resources, times = 1): void => {
  a[0] += b[0] * times;
  a[1] += b[1] * times;
  a[2] += b[2] * times;
};

/** A machine that may get work. */
export interface NodeView {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly total: Resources;
  readonly images: ReadonlySet<string>;
  /** A service's weights are on their way there: other images would share the rate. */
  readonly fetchingWeights?: boolean;
  /** May take new tasks now; if not, its tasks still count. */
  readonly open: boolean;
}

/** A task that holds room. */
export interface PlacedTask {
  readonly job: Job;
  readonly task: number;
  readonly machine: string;
  /** null: the machine is on record, but where it stands is not known yet. */
  readonly zone: string | null;
  /** Told to stop, or otherwise about to leave: its room is coming, it can't be displaced again. */
  readonly leaving: boolean;
  /** What stopping it now would throw away. */
  readonly loss: Micros;
  /** How long it will still run, by its estimate. */
  readonly left: Micros;
}

/** What lending asks of the world beside what the cycle knows. */
export interface LendingView {
  /** Of a job's image on a machine. */
  readonly imageStatus: (job: Job, machine: NodeView) => ImageStatus;
  readonly victim: (h: PlacedTask) => Victim;
  /** An order to stop reaches it now. */
  readonly reachable: (machine: string) => boolean;
  /** Until the class's aim on a start has passed for this job; null: there is none. */
  readonly due: (job: Job) => Micros | null;
  /** How soon a machine rented now would be up, and what a fetch there takes; null: none can be had for this job. */
  readonly rental: (job: Job) => { readonly boot: Micros; readonly fetch: Micros } | null;
}

export interface CycleInput {
  readonly now: Micros;
  readonly teams: readonly TeamSettings[];
  /** Reciprocal of the priority factor; 1 where nothing says otherwise. */
  readonly weights: ReadonlyMap<string, number>;
  readonly nodes: readonly NodeView[];
  readonly placedTasks: readonly PlacedTask[];
  /** Jobs with tasks to start, and how many may be started at once. */
  readonly queued: readonly QueuedJob[];
  /** What the GPU jobs of the day take beside each GPU, by urgency. */
  readonly coLocatedDemand: readonly CoLocatedDemand[];
  /** Machines beyond need: last choice, and not for low work without GPUs. */
  readonly idleNodes: ReadonlySet<string>;
  /** Jobs for which others were stopped in an earlier cycle, with how many tasks: they go before all others. */
  readonly reservations: ReadonlyMap<string, number>;
  /** Machines a job should avoid, because it failed there; null: none. */
  readonly avoid: (job: Job) => ReadonlySet<string> | null;
  /** Attempts up to this one may have been used before a loss; none if left out. */
  readonly attemptFloor?: number;
  /**
   * So many places, a job's start on one machine each, are all that can be recorded: the refill ends once it has filled
   * them. None if left out.
   */
  readonly maxPlacements?: number;
  /** Left out: replicas go where any task would. */
  readonly lending?: LendingView;
}

export interface CoLocatedDemand {
  readonly urgency: number;
  readonly cpusPerGpu: number;
  readonly memPerGpu: number;
  /** Some of its tasks wait for room now. */
  readonly waiting: boolean;
  /** A wait its jobs can bear, should one come: tasks shorter than this may use the room meanwhile. */
  readonly patience: Micros;
}

export interface QueuedJob {
  readonly job: Job;
  readonly tasks: readonly number[];
  /** Smaller goes first among the same urgency in the team's queue. */
  readonly rank: number;
  /** A gang that is starving, see reserve.ts. */
  readonly starving: boolean;
  /** It failed wherever it ran: it gets room that is free and displaces nobody. */
  readonly cautious: boolean;
  /** Machines may be rented for it. */
  readonly mayRent: boolean;
  /** Nothing of it has been started for long, see start-waits.ts: its next task need not leave GPUs what those to come might need. */
  readonly overdue?: boolean;
}

export interface Start {
  readonly job: Job;
  readonly attempt: number;
  readonly on: Map<string, number[]>;
}
export interface Preemption {
  readonly job: Job;
  readonly task: number;
  readonly machine: string;
  /** The service that borrows its GPUs: the stop waits until that is durable. */
  readonly taker?: Job;
}
export interface Unplaced {
  readonly job: Job;
  /** How many of its tasks found no room. */
  readonly count: number;
}
export interface CycleResult {
  readonly starts: Start[];
  readonly preemptions: Preemption[];
  readonly unplaced: Unplaced[];
  /** Tasks that were promised room which is still being left. */
  readonly reservations: ReadonlyMap<string, number>;
  /** Room still free on each machine after the cycle. */
  readonly free: Map<string, Resources>;
}
