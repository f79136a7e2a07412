/** What one cycle works on: rooms, evicted tasks and teams, as they stand at a moment of the refill. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import type { TeamSettings } from '../settings/settings.js';
import {
  type CoLocatedDemand,
  EPSILON,
  type PlacedTask,
  type NodeView,
  type Resources,
  countOfKind,
} from './model.js';

export interface NodeState {
  readonly view: NodeView;
  /** Its place among all machines of the cycle: of two that are equal otherwise the first one is chosen. */
  readonly index: number;
  readonly free: Resources;
  readonly leaving: Resources;
  /** Room held by evicted tasks, by urgency: what displacing could free at the most. */
  readonly evictedResources: Resources[];
  /** Beyond need, see idle.ts. */
  readonly idle: boolean;
  /** Gathered for a gang that is starving, see reserve.ts. */
  reservation: NodeReservation | null;
}
export interface NodeReservation {
  readonly job: Job;
  /** The gang can't begin for so long. */
  readonly until: Micros;
}
/** Estimates are often wrong by half. */
const ESTIMATE_ERROR = 1.5;
/** Whether the machine is kept from `job`, which is no more urgent than the gang that it is kept for, and not gone by then. */
export const isReservedAgainst = (n: NodeState, { spec }: Job): boolean =>
  n.reservation !== null &&
  n.reservation.job.spec !== spec &&
  spec.urgency <= n.reservation.job.spec.urgency &&
  (spec.estimate === 0 || spec.estimate * ESTIMATE_ERROR > n.reservation.until / ESTIMATE_ERROR);

/** An evicted gang, or one evicted task of an array or service. */
export class EvictedUnit {
  /** Displaced by this cycle. */
  displaced = false;
  private greatestLoss: number | null = null;

  constructor(
    readonly team: TeamState,
    readonly job: Job,
    readonly members: readonly PlacedTask[],
    /** Of one member, and of all. */
    readonly need: Resources,
    readonly size: Resources,
  ) {}

  /** What displacing it throws away, at the most by one member. */
  get loss(): number {
    return (this.greatestLoss ??= Math.max(...this.members.map((m) => m.loss)));
  }
}
export interface TeamState {
  readonly settings: TeamSettings;
  readonly weight: number;
  /** Held by tasks that stay or were refilled. */
  readonly used: Resources;
  /** Everything that may still be running, for the limit. */
  readonly held: Resources;
  /** Held by tasks that nobody is stopping, also evicted ones; nothing that this cycle starts or promises. */
  readonly staying: Resources;
}

/** Where a gang's members, or one task, go. */
export interface PlacementChoice {
  readonly machines: readonly NodeState[];
  readonly victims: ReadonlySet<EvictedUnit>;
  /** All on room that is free now. */
  readonly free: boolean;
}
/** How far a search goes: free room, then room being left, then displacing. */
export type SearchLevel = 0 | 1 | 2;
export const WITH_PREEMPTION: readonly SearchLevel[] = [0, 1, 2];
export const WITHOUT_PREEMPTION: readonly SearchLevel[] = [0, 1];
export const FREE_ONLY: readonly SearchLevel[] = [0];
/** null: nowhere, as far as these levels go. */
export type PlacementSearch = (
  job: Job,
  team: TeamState,
  count: number,
  levels: readonly SearchLevel[],
) => PlacementChoice | null;

export interface ClusterCapacity {
  readonly nodes: ReadonlyMap<string, NodeState>;
  /** Evicted units on a machine that nobody has displaced, with the refill as far as it has come. */
  readonly evictedOn: (node: NodeState) => readonly EvictedUnit[];
  /** To be called whenever a machine's rooms have changed. */
  readonly markChanged: (node: NodeState) => void;
  /** Machines in the order in which they were touched. */
  readonly changedNodes: readonly NodeState[];
  /** In order of name. */
  readonly zones: readonly string[];
  /** Zones that hold tasks of a job with rules about zones, with how many. */
  readonly zonesHeld: ReadonlyMap<Job, ReadonlyMap<string, number>>;
  /** Jobs with a task that may be anywhere: zone rules can't be kept for them yet. */
  readonly zoneUnknown: ReadonlySet<Job>;
  readonly coLocatedDemand: readonly CoLocatedDemand[];
  readonly avoid: (job: Job) => ReadonlySet<string> | null;
  /** See `QueuedJob.overdue`. */
  readonly overdue: ReadonlySet<Job>;
  readonly share: (team: TeamState) => number;
  readonly withinGuarantee: (team: TeamState, more: Resources) => boolean;
}

/** What the platform's rules and the paper's preemption let `job` push out. */
export const mayPreempt = (
  capacity: ClusterCapacity,
  job: Job,
  team: TeamState,
  need: Resources,
  unit: EvictedUnit,
): boolean => {
  if (unit.job.spec.urgency < job.spec.urgency) return true;
  // A team's guarantee is given back by whoever runs beyond their own.
  return (
    unit.team !== team &&
    capacity.withinGuarantee(team, need) &&
    !capacity.withinGuarantee(unit.team, [0, 0, 0])
  );
};

/**
 * Co-located demand that waits, or may soon wait, for which `job` must leave a GPU machine its room; once it is
 * `overdue` only those that wait.
 */
export const protectedDemand = (
  coLocatedDemand: readonly CoLocatedDemand[],
  job: Job,
  overdue = false,
): CoLocatedDemand[] =>
  job.spec.gpus > 0
    ? []
    : coLocatedDemand.filter(
        (c) =>
          c.urgency >= job.spec.urgency &&
          (c.waiting || (!overdue && (job.spec.estimate === 0 || job.spec.estimate > c.patience))),
      );

/**
 * A task without GPUs leaves a GPU machine what its free GPUs need beside them, unless it is more urgent
 * than every GPU job, or short while none of them waits: room whose GPUs nobody can reach any more is lost
 * to the jobs that need them. `left` is what would be free beside it.
 */
export const strandsGpus = (
  guards: readonly CoLocatedDemand[],
  job: Job,
  total: Resources,
  idle: boolean,
  left: Resources,
  overdue = false,
): boolean => {
  const gpus = total[1];
  if (job.spec.gpus > 0 || gpus === 0) return false;
  // Without any GPU task it is dear and idle: it should become empty and go back, not be kept by CPU tasks.
  if (!overdue && job.spec.urgency === 0 && job.spec.types === null && (idle || left[1] >= gpus - EPSILON))
    return true;
  for (const c of guards)
    if (left[0] < left[1] * c.cpusPerGpu - EPSILON || left[2] < left[1] * c.memPerGpu - EPSILON) return true;
  return false;
};

/** GPUs that nobody could use any more, for want of what their jobs take beside them, were so much left. */
const strandedGpus = (coLocatedDemand: readonly CoLocatedDemand[], left: Resources): number => {
  let worst = 0;
  for (const c of coLocatedDemand) {
    // As many GPUs as the rest suffices for; all of them where their jobs take nothing beside them.
    const cpus = c.cpusPerGpu > 0 ? left[0] / c.cpusPerGpu : left[1];
    const mem = c.memPerGpu > 0 ? left[2] / c.memPerGpu : left[1];
    worst = Math.max(worst, left[1] - Math.min(cpus, mem));
  }
  return worst;
};

/**
 * Tightest fit, with what a task has no use for, a missing image, and GPUs that it would strand weighing against a
 * machine: the second of two large tasks without GPUs on one machine strands more of them than the first.
 */
export const score = (
  coLocatedDemand: readonly CoLocatedDemand[],
  job: Job,
  n: NodeState,
  left: Resources,
): number => {
  const t = n.view.total;
  if (job.spec.gpus === 0 && t[1] > 0) {
    const before: Resources = [left[0] + job.spec.cpus, left[1], left[2] + job.spec.memGb];
    return (
      plainScore(job, n, left) + strandedGpus(coLocatedDemand, left) - strandedGpus(coLocatedDemand, before)
    );
  }
  return plainScore(job, n, left);
};

const plainScore = (job: Job, n: NodeState, left: Resources): number => {
  const t = n.view.total;
  let loose = 0;
  for (let i = 0; i < 3; i++) if (t[i]! > 0) loose += left[i]! / t[i]!;
  return (
    loose / 3 +
    (job.spec.gpus === 0 && t[1] > 0 ? 4 : 0) +
    (n.view.images.has(job.spec.image) ? 0 : n.view.fetchingWeights === true ? 1.4 : 0.4) +
    (n.idle ? 8 : 0) +
    (prefersSpot(job) === n.view.spot ? 0 : 1)
  );
};

/**
 * Jobs that may use spot machines leave the others to those that may not. But where a task runs for long and saves
 * nothing, a machine that is taken back costs all its work: such tasks go elsewhere first.
 */
const LONG_TASK = 100e6;
const prefersSpot = (job: Job): boolean =>
  job.spec.spot && (job.spec.checkpoint > 0 || job.spec.estimate < LONG_TASK);

/** A place that promises room others are leaving, and one that displaces, rank behind any free one. */
export const PROMISED_PENALTY = 100;
export const preemptionPenalty = (victims: readonly EvictedUnit[]): number => {
  let lowest = 0;
  let loss = 0;
  for (const u of victims) {
    lowest = Math.max(lowest, u.job.spec.urgency);
    loss += (u.loss / 1e6) * u.members.length;
  }
  return 10_000 * (1 + lowest) + Math.min(loss, 9000);
};

/** Zones where `job` may put its next tasks, in order of name. */
export const allowedZones = (
  capacity: ClusterCapacity,
  all: readonly string[],
  job: Job,
): readonly string[] => {
  const { spec } = job;
  if (capacity.zoneUnknown.has(job) && (spec.oneZone || spec.spread)) return [];
  let list = spec.zone === null ? all : all.filter((z) => z === spec.zone);
  const held = spec.oneZone ? capacity.zonesHeld.get(job) : undefined;
  if (held && held.size > 0) list = list.filter((z) => held.has(z) && held.size === 1);
  return list;
};

const URGENCIES = 4;
/** Evicted tasks of an urgency under this may be displaced for a job, as far as an upper bound goes. */
export const preemptibleBelow = (
  capacity: ClusterCapacity,
  job: Job,
  team: TeamState,
  need: Resources,
): number =>
  // Who is within the team's guarantee may displace work of any urgency.
  capacity.withinGuarantee(team, need) ? URGENCIES : job.spec.urgency;

/** Room of one kind on a machine, were all evicted tasks of an urgency under `below` displaced. */
export const reachableAmount = (n: NodeState, below: number, i: number): number => {
  let have = n.free[i]! + n.leaving[i]!;
  for (let u = 0; u < below; u++) have += n.evictedResources[u]![i]!;
  return have;
};

/**
 * How many tasks fit at most at each level of a search: on free room, with what is being left, were everything displaced
 * that could be. One pass over the machines, no allocation: most searches end here, since a full fleet has no room.
 */
export const slotBounds = (
  need: Resources,
  below: number,
  list: readonly NodeState[],
): readonly [number, number, number] => {
  let free = 0;
  let left = 0;
  let all = 0;
  for (const n of list) {
    let kFree = Number.POSITIVE_INFINITY;
    let kLeft = kFree;
    let kAll = kFree;
    for (let i = 0; i < 3; i++) {
      const want = need[i]!;
      if (want <= 0) continue;
      let have = n.free[i]!;
      kFree = Math.min(kFree, countOfKind(want, have));
      have += n.leaving[i]!;
      kLeft = Math.min(kLeft, countOfKind(want, have));
      for (let u = 0; u < below; u++) have += n.evictedResources[u]![i]!;
      kAll = Math.min(kAll, countOfKind(want, have));
      if (kAll <= 0) break;
    }
    if (kAll <= 0) continue;
    all += kAll;
    if (kLeft > 0) left += kLeft;
    if (kFree > 0) free += kFree;
  }
  return [free, left, all];
};

export interface ZoneChoice {
  readonly choice: PlacementChoice;
  /** Places for such tasks in the zone, the gang's own included. */
  readonly slots: number;
}
/** Zones that displace up to so many times what the best one would count as equal to it. */
const PREEMPTION_TOLERANCE = 1.5;
/**
 * Of the zones that have a place for a gang, displacing little, the one with the least room beside it: so the
 * zones with the most stay whole for the largest gangs.
 */
export const tightestZone = (found: readonly ZoneChoice[]): PlacementChoice => {
  const fewest = Math.min(...found.map((f) => f.choice.victims.size));
  let best: ZoneChoice | null = null;
  for (const f of found)
    if (f.choice.victims.size <= fewest * PREEMPTION_TOLERANCE && (best === null || f.slots < best.slots))
      best = f;
  return best!.choice;
};
