/**
 * Searches machines for a gang or a task: on free resources if possible, then on resources that terminating tasks still hold,
 * then by preemption. A gang is placed as a whole, and in one zone if its job requires that.
 *
 * The choice is that of the plain search in `test/support/plain-placement-search.ts`; a property test compares the two. This
 * search skips machines that can't be chosen, since a cycle over thousands of machines has a few milliseconds: jobs with
 * the same constraints share lists of candidate machines, machines are ranked once for all tasks of an array, and an upper
 * bound on the tasks that fit ends most searches before any machine is scored.
 */
import type { Job } from '../jobs/model.js';
import { add, type CoLocatedDemand, EPSILON, fits, type Resources, resourcesOf } from './model.js';
import { MachineRanking, type ScoredMachine } from './machine-ranking.js';
import {
  type PlacementChoice,
  preemptionPenalty,
  type EvictedUnit,
  type PlacementSearch,
  type ClusterCapacity,
  protectedDemand,
  isUnavailable,
  type SearchLevel,
  mayPreempt,
  type MachineState,
  preemptibleBelow,
  TERMINATING_PENALTY,
  freeableAmount,
  placementScore,
  slotBounds,
  strandsGpus,
  type TeamState,
  tightestZone,
  type ZoneChoice,
  allowedZones,
} from './cluster-capacity.js';

const NO_RESOURCES: Resources = [0, 0, 0];
const NO_VICTIMS: ReadonlySet<EvictedUnit> = new Set();

/** A machine on which the next task fits, its score, and the units to preempt there. */
interface PlacementOption extends ScoredMachine {
  readonly victims: readonly EvictedUnit[];
  /** Whether the task fits into the machine's free resources. */
  readonly free: boolean;
}

/** Machines that a job's types, spot setting and zones allow, ordered by index. */
interface Candidates {
  readonly machines: readonly MachineState[];
  /** Whether a machine is a candidate, by machine index. */
  readonly allowed: Uint8Array;
  /** By level, the candidates with CPUs left. Shared by hundreds of jobs: on a full fleet these machines are few. */
  readonly withCpus: MachinesWithCpus[];
}
interface MachinesWithCpus {
  readonly machines: readonly MachineState[];
  /** Number of the cycle's changes that the list takes into account. */
  readonly changeCount: number;
}

/** A search for machines for `count` tasks of a job at once. */
interface SearchRequest {
  readonly job: Job;
  readonly team: TeamState;
  readonly count: number;
  /** Resources of one task. */
  readonly need: Resources;
  /** At most the evicted tasks with a smaller urgency may be preempted. */
  readonly belowUrgency: number;
}

/** Places the tasks of one group one after the other; each task gets what the tasks before it have left. */
class GroupPlacement {
  /** Resources of the group's tasks placed so far, by machine. */
  private readonly used = new Map<MachineState, Resources>();
  /** Number of the group's tasks placed so far, by machine. */
  private readonly tasksOn = new Map<MachineState, number>();
  private readonly victims = new Set<EvictedUnit>();
  private readonly overdue: boolean;
  private readonly protectedDemands: readonly CoLocatedDemand[];

  constructor(
    private readonly capacity: ClusterCapacity,
    private readonly request: SearchRequest,
    private readonly level: SearchLevel,
  ) {
    const { job } = request;
    this.overdue = capacity.overdue.has(job);
    this.protectedDemands = protectedDemand(capacity.coLocatedDemand, job, this.overdue);
  }

  /** Scores a machine for the next task; null if the task does not fit at this level. */
  scoreMachine(machine: MachineState): PlacementOption | null {
    const { capacity, level, victims } = this;
    const { job, need } = this.request;
    if (isUnavailable(machine, job) || !this.mayFit(machine)) return null;
    if (this.tasksOn.size > 0 && (this.tasksOn.get(machine) ?? 0) >= machine.taskSlots) return null;
    const used = this.used.get(machine) ?? NO_RESOURCES;
    const available: Resources = [
      machine.free[0] - used[0],
      machine.free[1] - used[1],
      machine.free[2] - used[2],
    ];
    const remaining: Resources = [available[0] - need[0], available[1] - need[1], available[2] - need[2]];
    if (strandsGpus(this.protectedDemands, job, machine.view.total, machine.idle, remaining, this.overdue))
      return null;
    const demand = capacity.coLocatedDemand;
    if (fits(need, available))
      return { machine, score: placementScore(demand, job, machine, remaining), victims: [], free: true };
    if (level === 0) return null;
    add(available, machine.terminating);
    for (const victim of victims)
      for (const member of victim.members)
        if (member.machine === machine.view.id) add(available, resourcesOf(victim.job.spec));
    if (fits(need, available))
      return {
        machine,
        score: TERMINATING_PENALTY + placementScore(demand, job, machine, available),
        victims: [],
        free: false,
      };
    if (level === 1) return null;
    const newVictims = this.victimsOn(machine, available);
    if (newVictims === null) return null;
    return {
      machine,
      score: preemptionPenalty(newVictims) + placementScore(demand, job, machine, available),
      victims: newVictims,
      free: false,
    };
  }

  /** Places all tasks of the group on some of the candidates; null if they don't all fit. */
  placeAll(candidates: readonly MachineState[]): PlacementChoice | null {
    const { count, job, need } = this.request;
    const options: PlacementOption[] = [];
    for (const machine of candidates) {
      const option = this.scoreMachine(machine);
      if (option !== null) options.push(option);
    }
    const current: (PlacementOption | null)[] = options;
    const indexOf = count > 1 ? new Map(options.map((option, i) => [option.machine, i])) : null;
    const tasksByZone = new Map(this.capacity.zonesHeld.get(job) ?? []);
    const machines: MachineState[] = [];
    let free = true;
    for (let i = 0; i < count; i++) {
      const best = this.best(current, tasksByZone);
      if (best === null) return null;
      machines.push(best.machine);
      free &&= best.free;
      for (const victim of best.victims) this.victims.add(victim);
      if (i + 1 === count) break;
      const used = this.used.get(best.machine);
      if (used) add(used, need);
      else this.used.set(best.machine, [...need]);
      this.tasksOn.set(best.machine, (this.tasksOn.get(best.machine) ?? 0) + 1);
      tasksByZone.set(best.machine.view.zone, (tasksByZone.get(best.machine.view.zone) ?? 0) + 1);
      this.rescoreChanged(best, current, indexOf);
    }
    return { machines, victims: this.victims, free };
  }

  /**
   * Whether one task would fit on the machine with all resources freed that may be freed at this level. Most machines are
   * ruled out by this check.
   */
  private mayFit(machine: MachineState): boolean {
    const { need, belowUrgency } = this.request;
    const { level } = this;
    for (let i = 0; i < 3; i++) {
      const amount =
        level === 0 ? machine.free[i]! : freeableAmount(machine, level === 1 ? 0 : belowUrgency, i);
      if (need[i]! > amount + EPSILON) return false;
    }
    return true;
  }

  /**
   * Returns units to preempt on a machine, beside the group's victims so far, so that one task fits in addition to the
   * `available` resources; null if preemption does not suffice.
   */
  private victimsOn(machine: MachineState, available: Resources): EvictedUnit[] | null {
    const { capacity, victims } = this;
    const { job, team, need } = this.request;
    const options: EvictedUnit[] = [];
    for (const unit of capacity.evictedOn(machine))
      if (!victims.has(unit) && mayPreempt(capacity, job, team, need, unit)) options.push(unit);
    options.sort(
      (a, b) =>
        a.job.spec.urgency - b.job.spec.urgency ||
        (a.team === b.team ? 0 : capacity.share(b.team) - capacity.share(a.team)) ||
        a.loss - b.loss,
    );
    const sum: Resources = [...available];
    const chosen: EvictedUnit[] = [];
    for (const unit of options) {
      if (fits(need, sum)) break;
      for (const member of unit.members)
        if (member.machine === machine.view.id) add(sum, resourcesOf(unit.job.spec));
      chosen.push(unit);
    }
    return fits(need, sum) ? chosen : null;
  }

  /** Returns the first option with the lowest score in a zone that may hold one more of the job's tasks. */
  private best(
    options: readonly (PlacementOption | null)[],
    tasksByZone: ReadonlyMap<string, number>,
  ): PlacementOption | null {
    const { spread, tasks } = this.request.job.spec;
    const maxPerZone = spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
    let best: PlacementOption | null = null;
    for (const option of options) {
      if (option === null || (best !== null && option.score >= best.score)) continue;
      if ((tasksByZone.get(option.machine.view.zone) ?? 0) < maxPerZone) best = option;
    }
    return best;
  }

  /** Scores the chosen machine and the machines of its victims again; no other machine has changed. */
  private rescoreChanged(
    taken: PlacementOption,
    current: (PlacementOption | null)[],
    indexOf: ReadonlyMap<MachineState, number> | null,
  ): void {
    const rescore = (machine: MachineState): void => {
      const i = indexOf?.get(machine);
      if (i !== undefined) current[i] = this.scoreMachine(machine);
    };
    rescore(taken.machine);
    for (const victim of taken.victims)
      for (const member of victim.members) {
        const machine = this.capacity.machines.get(member.machine);
        if (machine && machine !== taken.machine) rescore(machine);
      }
  }
}

/** The placement searches of one cycle, with the data that they share. */
class CycleSearch {
  /** By constraints, the candidates shared by all jobs with the same types, spot setting and zones. */
  private readonly candidateLists = new Map<string, Candidates>();
  /**
   * Rankings of machines for a job's next task, by job and level, for tasks that preempt no others. They are kept between
   * the tasks of an array: each task changes the score of one machine only.
   */
  private readonly rankings = new Map<Job, MachineRanking<PlacementOption>[]>();

  constructor(private readonly capacity: ClusterCapacity) {}

  search(job: Job, team: TeamState, count: number, levels: readonly SearchLevel[]): PlacementChoice | null {
    const zones = allowedZones(this.capacity, this.capacity.zones, job);
    if (zones.length === 0) return null;
    const need = resourcesOf(job.spec);
    const belowUrgency = preemptibleBelow(this.capacity, job, team, need);
    const request: SearchRequest = { job, team, count, need, belowUrgency };
    const inOneZone = job.spec.oneZone;
    const groups = (inOneZone ? zones.map((zone) => [zone]) : [zones]).map((group) => {
      const candidates = this.candidates(job, group);
      let bounds: readonly [number, number, number] | null = null;
      return { candidates, slots: () => (bounds ??= slotBounds(need, belowUrgency, candidates.machines)) };
    });
    for (const level of levels) {
      const found: ZoneChoice[] = [];
      for (const { candidates, slots } of groups) {
        const ranked = count === 1 && level < 2 && this.hasStableCandidates(job);
        if (!ranked && (slots()[2] < count || slots()[level] < count)) continue;
        const choice = ranked
          ? this.bestRanked(request, level, candidates)
          : new GroupPlacement(this.capacity, request, level).placeAll(candidates.machines);
        if (choice !== null) found.push({ choice, slots: inOneZone ? slots()[2] : 0 });
      }
      if (found.length > 0) return tightestZone(found);
    }
    return null;
  }

  private candidates(job: Job, zones: readonly string[]): Candidates {
    const { types, spot } = job.spec;
    const key = `${types?.join(',') ?? ''}|${spot}|${zones.join(',')}`;
    let shared = this.candidateLists.get(key);
    if (!shared) {
      const machines = [...this.capacity.machines.values()].filter(
        (machine) =>
          machine.view.open &&
          zones.includes(machine.view.zone) &&
          (types === null || types.includes(machine.view.type)) &&
          (!machine.view.spot || spot),
      );
      const allowed = new Uint8Array(this.capacity.machines.size);
      for (const machine of machines) allowed[machine.index] = 1;
      this.candidateLists.set(key, (shared = { machines, allowed, withCpus: [] }));
    }
    const avoided = this.capacity.avoid(job);
    return avoided === null
      ? shared
      : { ...shared, machines: shared.machines.filter((machine) => !avoided.has(machine.view.id)) };
  }

  /** Whether the set of machines that the job may use is the same for each of its tasks. */
  private hasStableCandidates(job: Job): boolean {
    const { spec } = job;
    const { capacity } = this;
    return !spec.spread && !spec.oneZone && capacity.avoid(job) === null && !capacity.overdue.has(job);
  }

  private bestRanked(
    request: SearchRequest,
    level: SearchLevel,
    candidates: Candidates,
  ): PlacementChoice | null {
    const best = this.rankingOf(request, level, candidates).best();
    return best === null ? null : { machines: [best.machine], victims: NO_VICTIMS, free: best.free };
  }

  private rankingOf(
    request: SearchRequest,
    level: SearchLevel,
    candidates: Candidates,
  ): MachineRanking<PlacementOption> {
    const { job } = request;
    let byLevel = this.rankings.get(job);
    if (!byLevel) this.rankings.set(job, (byLevel = []));
    const known = byLevel[level];
    if (known !== undefined) return known;
    const initial =
      job.spec.cpus > EPSILON
        ? this.withCpus(candidates, level)
        : { machines: candidates.machines, changeCount: this.capacity.changedMachines.length };
    const placement = new GroupPlacement(this.capacity, request, level);
    return (byLevel[level] = new MachineRanking(
      initial,
      candidates.allowed,
      this.capacity.changedMachines,
      (machine) => placement.scoreMachine(machine),
    ));
  }

  /**
   * Returns the candidates with CPUs left at a level without preemption. The list can be shared between jobs: machines only
   * lose free CPUs, and a machine that gains any is marked as changed.
   */
  private withCpus(candidates: Candidates, level: SearchLevel): MachinesWithCpus {
    return (candidates.withCpus[level] ??= {
      machines: candidates.machines.filter(
        (machine) => freeableAmount(machine, 0, 0) > EPSILON && (level > 0 || machine.free[0] > EPSILON),
      ),
      changeCount: this.capacity.changedMachines.length,
    });
  }
}

/** Returns the placement search for one cycle over `capacity`. */
export const placementSearch = (capacity: ClusterCapacity): PlacementSearch => {
  const cycle = new CycleSearch(capacity);
  return (job, team, count, levels) => cycle.search(job, team, count, levels);
};
