/** Resources of machines, evicted tasks and teams during one cycle's refill, and the rules that placement searches share. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import type { TeamSettings } from '../settings/settings.js';
import {
  type CoLocatedDemand,
  EPSILON,
  type PlacedTask,
  type MachineView,
  type Resources,
  countFittingAmount,
} from './model.js';

/** A machine's resources as the refill changes them. */
export interface MachineState {
  readonly view: MachineView;
  /** Position among all machines of the cycle; of two equally suitable machines the one with the smaller index is chosen. */
  readonly index: number;
  readonly free: Resources;
  /** Resources that terminating and preempted tasks still hold. */
  readonly terminating: Resources;
  /** Resources held by evicted tasks, by urgency: an upper bound on what preemption could free. */
  readonly evictedResources: Resources[];
  /** Number of further tasks that the machine's heartbeats can list. */
  taskSlots: number;
  /** Whether the machine is in excess of the demand, see idle-machines.ts. */
  readonly idle: boolean;
  /** Reservation for a starving gang, see reserve.ts. */
  reservation: MachineReservation | null;
}
/** Keeps a machine for a starving gang. */
export interface MachineReservation {
  readonly job: Job;
  /** Estimated time until the gang can begin. */
  readonly until: Micros;
}
/** Factor by which the actual duration may exceed or fall short of an estimate: estimates are often wrong by half. */
const ESTIMATE_ERROR = 1.5;
/**
 * Whether the machine is reserved for another gang and not available to `job`. Jobs that are more urgent than the gang, or
 * that will have finished before the gang can begin, may use a reserved machine.
 */
const isReservedAgainst = (machine: MachineState, { spec }: Job): boolean =>
  machine.reservation !== null &&
  machine.reservation.job.spec !== spec &&
  spec.urgency <= machine.reservation.job.spec.urgency &&
  (spec.estimate === 0 || spec.estimate * ESTIMATE_ERROR > machine.reservation.until / ESTIMATE_ERROR);

/** Whether the machine takes no further task of `job`, whatever resources it has. */
export const isUnavailable = (machine: MachineState, job: Job): boolean =>
  machine.taskSlots <= 0 || isReservedAgainst(machine, job);

/** An evicted gang, or one evicted task of an array or service: the unit of preemption. */
export class EvictedUnit {
  /** Whether this cycle has preempted the unit. */
  preempted = false;
  private maxMemberLoss: number | null = null;

  constructor(
    readonly team: TeamState,
    readonly job: Job,
    readonly members: readonly PlacedTask[],
    /** Resources of one member. */
    readonly need: Resources,
    /** Resources of all members. */
    readonly size: Resources,
  ) {}

  /** Maximum over the members of the work lost if the unit is preempted. */
  get loss(): number {
    return (this.maxMemberLoss ??= Math.max(...this.members.map((member) => member.loss)));
  }
}
/** A team's resources as the refill changes them. */
export interface TeamState {
  readonly settings: TeamSettings;
  readonly weight: number;
  /** Resources of terminating tasks, restored evicted tasks and tasks placed in this cycle: the basis of the team's share. */
  readonly used: Resources;
  /** Resources of all tasks that may still be running and of those placed in this cycle; the team's limit applies to these. */
  readonly held: Resources;
  /** Resources of running tasks that are not being stopped, evicted ones included; without tasks placed in this cycle. */
  readonly retained: Resources;
}

/** The machines chosen for the members of a gang or for one task. */
export interface PlacementChoice {
  readonly machines: readonly MachineState[];
  /** Units to preempt. */
  readonly victims: ReadonlySet<EvictedUnit>;
  /** Whether all tasks fit into resources that are free now. */
  readonly free: boolean;
}
/**
 * Resources that a search may use: free ones only (0), also those of terminating tasks (1), and also those that can be
 * freed by preemption (2).
 */
export type SearchLevel = 0 | 1 | 2;
/** Levels of a search for most jobs. */
export const WITH_PREEMPTION: readonly SearchLevel[] = [0, 1, 2];
/** Levels of a search for tasks for which others were preempted before. */
export const WITHOUT_PREEMPTION: readonly SearchLevel[] = [0, 1];
/** Level of a search for jobs that are suspected to be faulty. */
export const FREE_ONLY: readonly SearchLevel[] = [0];
/** Searches machines for `count` tasks of a job, level by level; null if the tasks don't fit at any of the levels. */
export type PlacementSearch = (
  job: Job,
  team: TeamState,
  count: number,
  levels: readonly SearchLevel[],
) => PlacementChoice | null;

/** The cycle's state as the placement searches see it. */
export interface ClusterCapacity {
  readonly machines: ReadonlyMap<string, MachineState>;
  /** Returns the evicted units on a machine that are not preempted; some of them are restored already. */
  readonly evictedOn: (machine: MachineState) => readonly EvictedUnit[];
  /** Must be called whenever a machine's resources or reservation have changed. */
  readonly markChanged: (machine: MachineState) => void;
  /** Machines in the order of their changes; a machine is listed once for each change. */
  readonly changedMachines: readonly MachineState[];
  /** All zones, sorted by name. */
  readonly zones: readonly string[];
  /** Number of placed tasks by zone, of jobs with zone rules. */
  readonly zonesHeld: ReadonlyMap<Job, ReadonlyMap<string, number>>;
  /** Jobs with a task on a machine whose zone is not known: their zone rules can't be followed yet. */
  readonly zoneUnknown: ReadonlySet<Job>;
  readonly coLocatedDemand: readonly CoLocatedDemand[];
  readonly avoid: (job: Job) => ReadonlySet<string> | null;
  /** See `QueuedJob.overdue`. */
  readonly overdue: ReadonlySet<Job>;
  /** Returns the team's weighted dominant share. */
  readonly share: (team: TeamState) => number;
  /** Whether the team would be within its guarantee with `more` resources in use. */
  readonly withinGuarantee: (team: TeamState, more: Resources) => boolean;
}

/** Whether `job` may preempt `unit`, by urgency or to claim its team's guarantee. */
export const mayPreempt = (
  capacity: ClusterCapacity,
  job: Job,
  team: TeamState,
  need: Resources,
  unit: EvictedUnit,
): boolean => {
  if (unit.job.spec.urgency < job.spec.urgency) return true;
  // A team within its guarantee may reclaim resources from a team that exceeds its own.
  return (
    unit.team !== team &&
    capacity.withinGuarantee(team, need) &&
    !capacity.withinGuarantee(unit.team, [0, 0, 0])
  );
};

/**
 * Returns the co-located demand for which `job` must leave resources on GPU machines: that of equally or more urgent GPU
 * jobs that wait now or that might wait before `job` finishes. An `overdue` job need only respect jobs that wait now.
 */
export const protectedDemand = (
  coLocatedDemand: readonly CoLocatedDemand[],
  job: Job,
  overdue = false,
): CoLocatedDemand[] =>
  job.spec.gpus > 0
    ? []
    : coLocatedDemand.filter(
        (demand) =>
          demand.urgency >= job.spec.urgency &&
          (demand.waiting || (!overdue && (job.spec.estimate === 0 || job.spec.estimate > demand.patience))),
      );

/**
 * Whether a task without GPUs would leave a GPU machine without the CPUs and memory that the machine's free GPUs need: GPUs
 * that no job can use are lost to the jobs that need them. `remaining`: the machine's free resources beside the task.
 */
export const strandsGpus = (
  protectedDemands: readonly CoLocatedDemand[],
  job: Job,
  total: Resources,
  idle: boolean,
  remaining: Resources,
  overdue = false,
): boolean => {
  const gpus = total[1];
  if (job.spec.gpus > 0 || gpus === 0) return false;
  // A GPU machine without GPU tasks is expensive and should become idle and be returned: low-urgency CPU tasks must not
  // keep it rented.
  if (
    !overdue &&
    job.spec.urgency === 0 &&
    job.spec.types === null &&
    (idle || remaining[1] >= gpus - EPSILON)
  )
    return true;
  for (const demand of protectedDemands)
    if (
      remaining[0] < remaining[1] * demand.cpusPerGpu - EPSILON ||
      remaining[2] < remaining[1] * demand.memPerGpu - EPSILON
    )
      return true;
  return false;
};

/** Returns how many of the remaining free GPUs could not be used because the CPUs or memory that they need are missing. */
const strandedGpus = (coLocatedDemand: readonly CoLocatedDemand[], remaining: Resources): number => {
  let maxStranded = 0;
  for (const demand of coLocatedDemand) {
    // GPUs that the CPUs and the memory suffice for; all free GPUs if the class needs none beside them.
    const byCpus = demand.cpusPerGpu > 0 ? remaining[0] / demand.cpusPerGpu : remaining[1];
    const byMemory = demand.memPerGpu > 0 ? remaining[2] / demand.memPerGpu : remaining[1];
    maxStranded = Math.max(maxStranded, remaining[1] - Math.min(byCpus, byMemory));
  }
  return maxStranded;
};

/**
 * Scores a machine for a task; smaller is better. The tightest fit wins; resources the task can't use, a missing image and
 * the GPUs that the task newly strands count against the machine. Counting stranded GPUs spreads large tasks without GPUs:
 * the second one on a machine strands more of them than the first. `remaining`: the free resources beside the task.
 */
export const placementScore = (
  coLocatedDemand: readonly CoLocatedDemand[],
  job: Job,
  machine: MachineState,
  remaining: Resources,
): number => {
  const machineTotal = machine.view.total;
  if (job.spec.gpus === 0 && machineTotal[1] > 0) {
    const before: Resources = [remaining[0] + job.spec.cpus, remaining[1], remaining[2] + job.spec.memGb];
    return (
      fitScore(job, machine, remaining) +
      strandedGpus(coLocatedDemand, remaining) -
      strandedGpus(coLocatedDemand, before)
    );
  }
  return fitScore(job, machine, remaining);
};

/** `placementScore` without stranded GPUs. */
const fitScore = (job: Job, machine: MachineState, remaining: Resources): number => {
  const machineTotal = machine.view.total;
  let unusedRatios = 0;
  for (let i = 0; i < 3; i++) if (machineTotal[i]! > 0) unusedRatios += remaining[i]! / machineTotal[i]!;
  return (
    unusedRatios / 3 +
    (job.spec.gpus === 0 && machineTotal[1] > 0 ? 4 : 0) +
    (machine.view.images.has(job.spec.image) ? 0 : machine.view.fetchingWeights === true ? 1.4 : 0.4) +
    (machine.idle ? 8 : 0) +
    (prefersSpot(job) === machine.view.spot ? 0 : 1)
  );
};

/** Estimate from which a task without checkpoints avoids spot machines, in microseconds. */
const LONG_TASK = 100e6;
/**
 * Whether spot machines are preferred for the job. Jobs that may use spot machines leave the others to jobs that may not,
 * except long tasks without checkpoints, which would lose all their work when the spot machine is taken back.
 */
const prefersSpot = (job: Job): boolean =>
  job.spec.spot && (job.spec.checkpoint > 0 || job.spec.estimate < LONG_TASK);

/** Added to the score of a machine where the task must wait for terminating tasks: any machine with free capacity is better. */
export const TERMINATING_PENALTY = 100;
/** Returns the penalty of a machine where tasks must be preempted: greater for more urgent victims, then for more lost work. */
export const preemptionPenalty = (victims: readonly EvictedUnit[]): number => {
  let maxUrgency = 0;
  let lossS = 0;
  for (const unit of victims) {
    maxUrgency = Math.max(maxUrgency, unit.job.spec.urgency);
    lossS += (unit.loss / 1e6) * unit.members.length;
  }
  return 10_000 * (1 + maxUrgency) + Math.min(lossS, 9000);
};

/** Returns the zones where the job's next tasks may be placed, in the order of `all`. */
export const allowedZones = (
  capacity: ClusterCapacity,
  all: readonly string[],
  job: Job,
): readonly string[] => {
  const { spec } = job;
  if (capacity.zoneUnknown.has(job) && (spec.oneZone || spec.spread)) return [];
  let zones = spec.zone === null ? all : all.filter((zone) => zone === spec.zone);
  const held = spec.oneZone ? capacity.zonesHeld.get(job) : undefined;
  if (held && held.size > 0) zones = zones.filter((zone) => held.has(zone) && held.size === 1);
  return zones;
};

/** Number of urgencies, 0 to 3. */
const URGENCIES = 4;
/** Returns a bound on the urgency of tasks that the job may preempt: only evicted tasks with a smaller urgency. */
export const preemptibleBelow = (
  capacity: ClusterCapacity,
  job: Job,
  team: TeamState,
  need: Resources,
): number =>
  // A team within its guarantee may preempt tasks of any urgency.
  capacity.withinGuarantee(team, need) ? URGENCIES : job.spec.urgency;

/**
 * Returns the amount of one resource on a machine that would be free with all terminating tasks gone and all evicted tasks
 * of an urgency below `belowUrgency` preempted.
 */
export const freeableAmount = (machine: MachineState, belowUrgency: number, resource: number): number => {
  let amount = machine.free[resource]! + machine.terminating[resource]!;
  for (let urgency = 0; urgency < belowUrgency; urgency++)
    amount += machine.evictedResources[urgency]![resource]!;
  return amount;
};

/**
 * Returns, for each search level, an upper bound on how many tasks fit on the machines in total. Makes one pass without
 * allocations: on a full fleet this bound ends most searches.
 */
export const slotBounds = (
  need: Resources,
  belowUrgency: number,
  machines: readonly MachineState[],
): readonly [number, number, number] => {
  let freeSlots = 0;
  let terminatingSlots = 0;
  let preemptibleSlots = 0;
  for (const machine of machines) {
    let free = Number.POSITIVE_INFINITY;
    let withTerminating = free;
    let withPreemption = free;
    for (let i = 0; i < 3; i++) {
      const amountPerTask = need[i]!;
      if (amountPerTask <= 0) continue;
      let amount = machine.free[i]!;
      free = Math.min(free, countFittingAmount(amountPerTask, amount));
      amount += machine.terminating[i]!;
      withTerminating = Math.min(withTerminating, countFittingAmount(amountPerTask, amount));
      for (let urgency = 0; urgency < belowUrgency; urgency++)
        amount += machine.evictedResources[urgency]![i]!;
      withPreemption = Math.min(withPreemption, countFittingAmount(amountPerTask, amount));
      if (withPreemption <= 0) break;
    }
    if (withPreemption <= 0) continue;
    preemptibleSlots += withPreemption;
    if (withTerminating > 0) terminatingSlots += withTerminating;
    if (free > 0) freeSlots += free;
  }
  return [freeSlots, terminatingSlots, preemptibleSlots];
};

/** A placement within one zone. */
export interface ZoneChoice {
  readonly choice: PlacementChoice;
  /** Upper bound on how many such tasks fit into the zone, those of the choice included. */
  readonly slots: number;
}
/** Zones whose victims are at most this many times the fewest of any zone count as equal. */
const PREEMPTION_TOLERANCE = 1.5;
/**
 * Returns the choice in the zone with the fewest slots among those with about the fewest victims: the zones with the most
 * slots are left for the largest gangs.
 */
export const tightestZone = (zoneChoices: readonly ZoneChoice[]): PlacementChoice => {
  const fewestVictims = Math.min(...zoneChoices.map((candidate) => candidate.choice.victims.size));
  let best: ZoneChoice | null = null;
  for (const candidate of zoneChoices)
    if (
      candidate.choice.victims.size <= fewestVictims * PREEMPTION_TOLERANCE &&
      (best === null || candidate.slots < best.slots)
    )
      best = candidate;
  return best!.choice;
};
