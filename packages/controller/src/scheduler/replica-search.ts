/**
 * Searches a machine for a missing replica of a GPU service. Every machine that the service may use is compared by the cost
 * of serving from it (lending/replica-cost.ts): on free resources, on resources of terminating tasks, or by preemption. Other
 * jobs are placed by placement-search.ts. Unlike that search, this one does not prefer free resources by level: free resources
 * on a machine without the service's weights can delay the replica by a minute.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import {
  servingCost,
  completesBeforeFetch,
  fetchTime,
  type ImageStatus,
  timeToFree,
  lostWork,
  withinPreemptionBudget,
  rentalOption,
  STOP_DELAY,
  type Victim,
} from '../lending/replica-cost.js';
import { mayBorrow } from '../lending/loans.js';
import { mayBorrowFrom, entitlementOf, standingOf } from '../lending/borrowing-rules.js';
import { add, EPSILON, fits, type LendingView, type Resources, resourcesOf } from './model.js';
import {
  type PlacementChoice,
  type EvictedUnit,
  type PlacementSearch,
  type ClusterCapacity,
  isUnavailable,
  type SearchLevel,
  type MachineState,
  placementScore,
  type TeamState,
  allowedZones,
} from './cluster-capacity.js';

/** Weight of a machine's placement score against seconds: the score decides between machines of about equal cost. */
const FIT_WEIGHT = 0.5;
/** Expected time until the resources of terminating tasks are free. */
const TERMINATION_DELAY = STOP_DELAY;

const NO_VICTIMS: ReadonlySet<EvictedUnit> = new Set();

/** Consequences of stopping an evicted unit for a replica. */
interface UnitLoss {
  /** The member that has run longest. */
  readonly victim: Victim;
  /** Whether the whole unit can be stopped now. */
  readonly reachable: boolean;
  /** Work lost by all members, in GPU-microseconds. */
  readonly lost: number;
  /** Time from the order to stop until the unit's resources are free. */
  readonly leave: Micros;
}

/** A search for a missing replica's machine. */
interface ReplicaRequest {
  readonly job: Job;
  readonly team: TeamState;
  readonly need: Resources;
  readonly level: SearchLevel;
}

/** A machine on which a replica fits. */
interface ReplicaOption {
  readonly machine: MachineState;
  /** Cost in seconds, see `servingCost`. */
  readonly cost: number;
  readonly victims: readonly EvictedUnit[];
  /** Whether the replica fits into the machine's free resources. */
  readonly free: boolean;
}

/** The replica searches of one cycle, with the data that they share. */
class ReplicaSearch {
  /** Images that the replicas placed in this cycle will fetch, by machine. */
  private readonly fetching = new Map<MachineState, Set<string>>();
  private readonly losses = new Map<EvictedUnit, UnitLoss>();

  constructor(
    private readonly capacity: ClusterCapacity,
    private readonly lending: LendingView,
    private readonly preemptedTasks: ReadonlyMap<Job, number>,
  ) {}

  /**
   * Returns the machine with the smallest cost for one replica; null if the replica fits on none, or if the best option
   * preempts tasks and renting a machine costs less.
   */
  search(job: Job, team: TeamState, levels: readonly SearchLevel[]): PlacementChoice | null {
    const level = Math.max(...levels) as SearchLevel;
    const best = this.cheapest({ job, team, need: resourcesOf(job.spec), level });
    if (best === null || (best.victims.length > 0 && this.rentalIsCheaper(job, best.cost))) return null;
    this.recordFetch(best.machine, job.spec.image);
    return {
      machines: [best.machine],
      victims: best.victims.length === 0 ? NO_VICTIMS : new Set(best.victims),
      free: best.free,
    };
  }

  private cheapest(request: ReplicaRequest): ReplicaOption | null {
    const { capacity } = this;
    const { job } = request;
    const { types, spot } = job.spec;
    const zones = this.openZones(job);
    const avoided = capacity.avoid(job);
    let best: ReplicaOption | null = null;
    for (const machine of capacity.machines.values()) {
      const machineView = machine.view;
      if (
        !machineView.open ||
        !zones.has(machineView.zone) ||
        (types !== null && !types.includes(machineView.type)) ||
        (machineView.spot && !spot)
      )
        continue;
      if (avoided?.has(machineView.id) || isUnavailable(machine, job)) continue;
      const option = this.optionOn(request, machine);
      if (option !== null && (best === null || option.cost < best.cost)) best = option;
    }
    return best;
  }

  /** Returns the zones that may hold one more replica of the job. */
  private openZones(job: Job): ReadonlySet<string> {
    const { capacity } = this;
    const { spread, tasks } = job.spec;
    const all = [...new Set([...capacity.machines.values()].map((machine) => machine.view.zone))].sort();
    const held = capacity.zonesHeld.get(job);
    const maxPerZone = spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
    return new Set(allowedZones(capacity, all, job).filter((zone) => (held?.get(zone) ?? 0) < maxPerZone));
  }

  private rentalIsCheaper(job: Job, cost: number): boolean {
    const rental = this.lending.rental(job);
    if (rental === null) return false;
    const option = rentalOption(rental.boot, rental.fetch, job.spec.gpus);
    return servingCost(option, this.lending.due(job)) < cost;
  }

  private recordFetch(machine: MachineState, image: string): void {
    const images = this.fetching.get(machine);
    if (images) images.add(image);
    else this.fetching.set(machine, new Set([image]));
  }

  /**
   * Returns the option of placing the replica on a machine, on free resources, on those of terminating tasks or by
   * preemption; null if the replica does not fit at the request's level.
   */
  private optionOn(request: ReplicaRequest, machine: MachineState): ReplicaOption | null {
    const { job, need, level } = request;
    if (!fits(need, machine.view.total)) return null;
    const fetch = fetchTime(this.imageOn(job, machine));
    const due = this.lending.due(job);
    const afterPlacement: Resources = [
      machine.free[0] - need[0],
      machine.free[1] - need[1],
      machine.free[2] - need[2],
    ];
    const cost = (leave: number, lost: number, remaining: Resources): number =>
      servingCost({ availableIn: leave as Micros, fetch, lost }, due) +
      FIT_WEIGHT * placementScore(this.capacity.coLocatedDemand, job, machine, remaining);
    if (fits(need, machine.free))
      return { machine, cost: cost(0, 0, afterPlacement), victims: [], free: true };
    if (level === 0) return null;
    const available: Resources = [...machine.free];
    add(available, machine.terminating);
    if (fits(need, available))
      return { machine, cost: cost(TERMINATION_DELAY, 0, available), victims: [], free: false };
    if (level === 1) return null;
    const victims = this.victimsOn(request, machine, fetch, available);
    if (victims === null) return null;
    let lost = 0;
    let leave = 0;
    for (const unit of victims) {
      lost += this.lossOf(unit).lost;
      leave = Math.max(leave, this.lossOf(unit).leave);
    }
    return { machine, cost: cost(STOP_DELAY + leave, lost, available), victims, free: false };
  }

  /**
   * Returns units to preempt so that the replica fits, those with the least loss first, and adds their resources on the
   * machine to `available`; null if preemption does not suffice.
   */
  private victimsOn(
    request: ReplicaRequest,
    machine: MachineState,
    fetch: Micros,
    available: Resources,
  ): EvictedUnit[] | null {
    const { need } = request;
    const options = this.capacity.evictedOn(machine).filter((unit) => this.mayStop(request, fetch, unit));
    if (options.length === 0) return null;
    options.sort(
      (a, b) => a.job.spec.urgency - b.job.spec.urgency || this.lossOf(a).lost - this.lossOf(b).lost,
    );
    const victims: EvictedUnit[] = [];
    for (const unit of options) {
      if (fits(need, available)) break;
      // Skips units that don't free a resource that is short, such as tasks without GPUs where only GPUs are short.
      if (!(
        (available[1] < need[1] - EPSILON && unit.need[1] > 0) ||
        available[0] < need[0] ||
        available[2] < need[2]
      ))
        continue;
      if (victims.length > 0 && !this.mayStop(request, fetch, unit, victims)) continue;
      for (const member of unit.members) if (member.machine === machine.view.id) add(available, unit.need);
      victims.push(unit);
    }
    return fits(need, available) ? victims : null;
  }

  /**
   * Whether the unit may be stopped for the replica. `others`: units already chosen for the same replica. Two units that each
   * alone would leave their team its guarantee may fall below it together.
   */
  private mayStop(
    { job, team, need }: ReplicaRequest,
    fetch: Micros,
    unit: EvictedUnit,
    others: readonly EvictedUnit[] = [],
  ): boolean {
    const { spec } = unit.job;
    const retained: Resources = [...unit.team.retained];
    let tasks = unit.members.length;
    for (const other of others) {
      if (other.team === unit.team) add(retained, [-other.size[0], -other.size[1], -other.size[2]]);
      if (other.job === unit.job) tasks += other.members.length;
    }
    if (
      !mayBorrowFrom({
        sameTeam: unit.team === team,
        lower: spec.urgency < job.spec.urgency,
        entitlement: entitlementOf(team.held, need, team.settings.guarantee),
        standing: standingOf(retained, unit.size, unit.team.settings.guarantee),
      })
    )
      return false;
    const taken = unit.job.preemptedForServices + (this.preemptedTasks.get(unit.job) ?? 0);
    const budget = { gang: spec.shape === 'gang', tasks: spec.tasks, taken };
    // The budget covers tasks with GPUs only; other tasks are preempted by the cycle's general rules.
    if (spec.gpus > 0 && !withinPreemptionBudget(budget, tasks)) return false;
    const { reachable, victim } = this.lossOf(unit);
    return reachable && !completesBeforeFetch(victim, fetch);
  }

  /** Returns the state of the job's image on a machine, including the fetches of replicas placed in this cycle. */
  private imageOn(job: Job, machine: MachineState): ImageStatus {
    const status = this.lending.imageStatus(job, machine.view);
    const images = this.fetching.get(machine);
    if (images === undefined || status.present) return status;
    const includesOwn = images.has(job.spec.image);
    return {
      ...status,
      fetchedFor: status.fetchedFor ?? (includesOwn ? (0 as Micros) : null),
      others: status.others + images.size - (includesOwn ? 1 : 0),
    };
  }

  private lossOf(unit: EvictedUnit): UnitLoss {
    let loss = this.losses.get(unit);
    if (loss === undefined) {
      const victims = unit.members.map((member) => this.lending.victim(member));
      // A gang stops with the exit of any member, and loses the work of all.
      const victim = victims.reduce((a, b) => (b.ran > a.ran ? b : a));
      loss = {
        victim,
        reachable:
          (unit.job.spec.shape !== 'gang' || unit.members.length === unit.job.spec.tasks) &&
          unit.members.every((member) => this.lending.reachable(member.machine)),
        lost: victims.reduce((sum, member) => sum + lostWork(member) * Math.max(unit.need[1], EPSILON), 0),
        leave: timeToFree(victim),
      };
      this.losses.set(unit, loss);
    }
    return loss;
  }
}

/**
 * Returns the search for all jobs: GPU services are placed by cost, all other jobs by `generalSearch`. `preemptedTasks`: by
 * job, the number of tasks that this cycle has preempted for services so far.
 */
export const replicaSearch = (
  capacity: ClusterCapacity,
  generalSearch: PlacementSearch,
  lending: LendingView | undefined,
  preemptedTasks: ReadonlyMap<Job, number>,
): PlacementSearch => {
  if (lending === undefined) return generalSearch;
  const replicas = new ReplicaSearch(capacity, lending, preemptedTasks);
  return (job, team, count, levels) =>
    mayBorrow(job.spec) ? replicas.search(job, team, levels) : generalSearch(job, team, count, levels);
};
