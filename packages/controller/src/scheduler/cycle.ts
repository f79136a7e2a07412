/**
 * One scheduling cycle, a pure function: evicts the fair-share-preemptible tasks into their teams' queues, refills the
 * machines progressively, and returns the differences (docs/design.md cites the paper). `test/support/plain-cycle.ts` is a
 * simple implementation of the same algorithm; a property test checks that both decide the same.
 */
import type { Job } from '../jobs/model.js';
import { mayBorrow } from '../lending/loans.js';
import type { EvictedRun, RunUnit } from './evicted-run.js';
import {
  Evictions,
  hasZoneRules,
  type Item,
  noneServed,
  type QueuedItem,
  type QueueTeam,
} from './eviction.js';
import {
  add,
  type CycleInput,
  type CycleResult,
  EPSILON,
  fits,
  type Resources,
  resourcesOf,
  type Start,
  type Preemption,
  type Unplaced,
} from './model.js';
import { placementSearch } from './placement-search.js';
import { replicaSearch } from './replica-search.js';
import { reserve } from './reserve.js';
import {
  WITH_PREEMPTION,
  type PlacementChoice,
  type EvictedUnit,
  type PlacementSearch,
  type ClusterCapacity,
  FREE_ONLY,
  protectedDemand,
  isUnavailable,
  WITHOUT_PREEMPTION,
  type MachineState,
  strandsGpus,
  type TeamState,
} from './cluster-capacity.js';
import { TeamOrder } from './team-order.js';

const NO_RESOURCES: Resources = [0, 0, 0];
const NO_VICTIMS: ReadonlySet<EvictedUnit> = new Set();

/** Whether all tasks of the job must start at once. */
const isGang = (job: Job): boolean => job.spec.shape === 'gang';

/** The state of one cycle. */
class Cycle {
  private readonly evictions: Evictions;
  private readonly capacity: ClusterCapacity;
  private readonly search: PlacementSearch;
  private readonly teamOrder = new TeamOrder<QueueTeam>();
  private readonly changedMachines: MachineState[] = [];
  private readonly starts = new Map<Job, Start>();
  private readonly preemptions: Preemption[] = [];
  private readonly unplaced: Unplaced[] = [];
  private readonly reservations = new Map<string, number>();
  /**
   * By failure key, the smallest number of tasks for which a search failed in this cycle: a search for as many similar tasks
   * or more fails, too, and is skipped.
   */
  private readonly unplaceable = new Map<string, number>();
  /** By job, the number of tasks with GPUs that this cycle preempts for services. */
  private readonly takenForServices = new Map<Job, number>();
  /**
   * Overdue jobs of which this cycle has placed nothing yet. Only one task of each, or one gang, may use resources kept for
   * future GPU jobs.
   */
  private readonly overdue: Set<Job>;
  /** Teams whose evicted tasks were preempted for the item served last. */
  private readonly teamsPreempted = new Set<QueueTeam>();
  /** Whether machines have been reserved in this cycle: at most one starving gang gets a reservation. */
  private madeReservation = false;
  /** Number of placements (starts of a job on one machine) so far. */
  private placements = 0;
  /** The team being served; null once the other teams' evicted units that come before it are restored. */
  private beingServed: QueueTeam | null = null;

  constructor(
    private readonly input: CycleInput,
    search: (capacity: ClusterCapacity) => PlacementSearch,
  ) {
    this.evictions = new Evictions(input);
    this.overdue = new Set(input.queued.flatMap((queued) => (queued.overdue === true ? [queued.job] : [])));
    this.capacity = {
      machines: this.evictions.machines,
      evictedOn: (machine) => this.evictedOn(machine),
      markChanged: (machine) => void this.changedMachines.push(machine),
      changedMachines: this.changedMachines,
      zones: [...new Set(input.machines.map((machine) => machine.zone))].sort(),
      zonesHeld: this.evictions.zonesHeld,
      zoneUnknown: this.evictions.zoneUnknown,
      coLocatedDemand: input.coLocatedDemand,
      avoid: input.avoid,
      overdue: this.overdue,
      share: (team) => this.share(team, NO_RESOURCES),
      withinGuarantee: (team, more) => this.withinGuarantee(team, more),
    };
    this.search = replicaSearch(this.capacity, search(this.capacity), input.lending, this.takenForServices);
  }

  run(): CycleResult {
    this.serveReservations();
    this.refill();
    const free = new Map<string, Resources>();
    for (const machine of this.evictions.machines.values()) free.set(machine.view.id, [...machine.free]);
    const { starts, preemptions, unplaced, reservations } = this;
    return { starts: [...starts.values()], preemptions, unplaced, reservations, free };
  }

  /** Returns the team's dominant share divided by its weight, with `more` resources in use. */
  private share(team: TeamState, more: Resources): number {
    return this.shareOf(team.used, more, team.weight);
  }

  private shareOf(used: Resources, more: Resources, weight: number): number {
    const { total } = this.evictions;
    let dominant = 0;
    for (let i = 0; i < 3; i++)
      if (total[i]! > 0) dominant = Math.max(dominant, (used[i]! + more[i]!) / total[i]!);
    return dominant / weight;
  }

  private withinGuarantee(team: TeamState, more: Resources): boolean {
    const { guarantee } = team.settings;
    return (
      team.used[0] + more[0] <= guarantee.cpus + EPSILON && team.used[1] + more[1] <= guarantee.gpus + EPSILON
    );
  }

  private overLimit(team: TeamState, more: Resources): boolean {
    const { limit } = team.settings;
    return (
      (limit.cpus > 0 && team.held[0] + more[0] > limit.cpus + EPSILON) ||
      (limit.gpus > 0 && team.held[1] + more[1] > limit.gpus + EPSILON)
    );
  }

  /**
   * Places tasks for which earlier cycles preempted others, before the refill: these tasks were selected when the others were
   * stopped.
   */
  private serveReservations(): void {
    if (this.input.reservations.size === 0) return;
    const waiting = new Map<string, readonly [QueueTeam, QueuedItem]>();
    for (const team of this.evictions.teams.values())
      for (const item of team.queue)
        if (item.kind === 'queued') waiting.set(item.queued.job.spec.id, [team, item]);
    for (const [id, count] of this.input.reservations) {
      const [team, item] = waiting.get(id) ?? [];
      if (team !== undefined && item !== undefined && !item.queued.suspect)
        this.serveReservation(team, item, count);
    }
  }

  private serveReservation(team: QueueTeam, item: QueuedItem, count: number): void {
    const { job, tasks } = item.queued;
    while (item.nextTask < Math.min(count, tasks.length) && !this.overLimit(team, item.size)) {
      const group = nextTasks(item);
      if (!this.place(team, item, group, this.search(job, team, group.length, WITHOUT_PREEMPTION))) break;
    }
    item.finished = item.nextTask >= tasks.length;
  }

  /**
   * Serves teams in the order of the share that they would have with their next waiting gang or task placed and all evicted
   * units before it restored. Which evicted units of the other teams are restored by then matters only to a search with
   * preemption, so they are restored only when such a search asks for the evicted units of a machine.
   */
  private refill(): void {
    for (const team of this.evictions.teams.values()) this.reorder(team);
    for (;;) {
      const team = this.teamOrder.first();
      if (team === null) return;
      if (this.placements >= (this.input.maxPlacements ?? Number.POSITIVE_INFINITY))
        return this.recordUnserved();
      const item = this.restoreEvicted(team);
      this.recordServed(team);
      this.beingServed = team;
      if (!this.serve(team, item)) team.next++;
      this.beingServed = null;
      for (const other of this.teamsPreempted) this.reorder(other);
      this.teamsPreempted.clear();
      this.reorder(team);
    }
  }

  /** Counts the items that were not served as unplaced, so that machines needed for them are not returned. */
  private recordUnserved(): void {
    for (const team of this.evictions.teams.values())
      for (const item of team.queue.slice(team.next))
        if (
          item.kind === 'queued' &&
          !item.finished &&
          item.queued.mayRent &&
          !this.overLimit(team, item.size)
        )
          this.unplaced.push({ job: item.queued.job, count: unplacedCount(item) });
  }

  /** Restores all of the team's evicted units before its next waiting item to their machines, and returns that item. */
  private restoreEvicted(team: QueueTeam): QueuedItem {
    for (;;) {
      const item = team.queue[team.next]!;
      if (item.kind === 'queued') {
        if (!item.finished) return item;
      } else while (item.next < item.length) restoreNext(team, item);
      team.next++;
    }
  }

  /**
   * Updates `servedBefore` of all teams. The position is kept as a maximum since the share at which teams are served falls
   * when tasks were preempted or when a larger item could not be placed.
   */
  private recordServed(served: QueueTeam): void {
    for (const { servedBefore: position } of this.evictions.teams.values()) {
      if (!isBefore(position, served)) continue;
      position.share = served.share;
      position.rank = served.rank;
    }
  }

  /** Moves the team to its place in the order; must be called when the share of its next item may have changed. */
  private reorder(team: QueueTeam): void {
    team.share = this.shareAtNext(team);
    this.teamOrder.update(team);
  }

  /** Returns the team's share with its next waiting item placed; infinite if it has none. */
  private shareAtNext(team: QueueTeam): number {
    const used: Resources = [...team.used];
    let lowerBound = Number.NEGATIVE_INFINITY;
    for (let i = team.next; i < team.queue.length; i++) {
      const item = team.queue[i]!;
      if (item.kind === 'queued') {
        if (item.finished) continue;
        return Math.max(lowerBound, this.shareOf(used, item.size, team.weight));
      }
      for (let unit = item.next; unit < item.length; unit++) {
        const size = item.sizeOf(unit);
        // A preempted unit keeps its place in the team's queue, but uses no resources.
        if (item.isPreempted(unit)) lowerBound = Math.max(lowerBound, this.shareOf(used, size, team.weight));
        else add(used, size);
      }
    }
    return Number.POSITIVE_INFINITY;
  }

  /** Restores the units that come before the team being served; returns a machine's evicted units that are not preempted. */
  private evictedOn(machine: MachineState): readonly EvictedUnit[] {
    this.restoreOthers();
    return this.evictions.on(machine).filter((unit) => !unit.preempted);
  }

  /** Restores the other teams' evicted units that come before the team being served. */
  private restoreOthers(): void {
    const served = this.beingServed;
    if (served === null) return;
    this.beingServed = null;
    for (const team of this.evictions.teams.values()) if (team !== served) this.restoreServedBefore(team);
  }

  /** Restores the team's evicted units that come before the position `servedBefore`, and resets the position. */
  private restoreServedBefore(team: QueueTeam): void {
    const { servedBefore: position, rank } = team;
    team.servedBefore = noneServed();
    for (; team.next < team.queue.length; team.next++) {
      const item: Item = team.queue[team.next]!;
      if (item.kind === 'queued') {
        if (!item.finished) return;
        continue;
      }
      for (; item.next < item.length; restoreNext(team, item))
        if (!isBefore({ share: this.share(team, item.sizeOf(item.next)), rank }, position)) return;
    }
  }

  /** Places the next task or gang of the item. Returns whether the item has tasks left that may be placed in this cycle. */
  private serve(team: QueueTeam, item: QueuedItem): boolean {
    const { job, tasks, suspect } = item.queued;
    const group = nextTasks(item);
    const limited = this.overLimit(team, item.size);
    const failureKey = this.failureKey(item);
    const knownToFail =
      failureKey !== null && group.length >= (this.unplaceable.get(failureKey) ?? Number.POSITIVE_INFINITY);
    const choice =
      limited || knownToFail
        ? null
        : (this.sameMachineAsLast(item, job) ??
          this.search(job, team, group.length, suspect ? FREE_ONLY : WITH_PREEMPTION));
    if (this.place(team, item, group, choice)) return item.nextTask < tasks.length;
    // A team at its limit says nothing about free resources, and more machines would not help it.
    if (!limited) this.recordUnplaced(team, item, failureKey);
    return false;
  }

  /** Records that the item's next task or gang fits nowhere. */
  private recordUnplaced(team: QueueTeam, item: QueuedItem, failureKey: string | null): void {
    const { job, starving, mayRent } = item.queued;
    const { length } = nextTasks(item);
    if (failureKey !== null)
      this.unplaceable.set(
        failureKey,
        Math.min(length, this.unplaceable.get(failureKey) ?? Number.POSITIVE_INFINITY),
      );
    if (!this.madeReservation && starving)
      this.madeReservation = reserve(this.capacity, this.input.placedTasks, job, team);
    if (mayRent) this.unplaced.push({ job, count: unplacedCount(item) });
  }

  /** Returns a key that is equal for items whose searches fail alike; null if the search depends on the job itself. */
  private failureKey(item: QueuedItem): string | null {
    const { job, suspect } = item.queued;
    const { spec } = job;
    const gang = isGang(job);
    if (suspect || this.overdue.has(job)) return null;
    // A gang that failed on machines avoids them.
    if (gang && this.input.avoid(job) !== null) return null;
    if (this.input.lending !== undefined && mayBorrow(spec)) return null;
    return (item.failureKey ??= [
      spec.team,
      spec.urgency,
      spec.cpus,
      spec.gpus,
      spec.memGb,
      spec.types,
      spec.zone,
      spec.spot,
      gang ? `${spec.oneZone}${spec.spread}` : spec.spread || spec.oneZone ? spec.id : '',
      spec.gpus > 0 ? '' : protectedDemand(this.input.coLocatedDemand, job).length,
    ].join('|'));
  }

  /**
   * Returns the machine of the item's last task if the next task fits there at the same level, into free resources or those
   * of terminating tasks: the machine was the tightest fit and now fits tighter. So arrays of thousands of small tasks need
   * one search per machine instead of one per task. If the last task did not fit into free resources of any machine, the
   * next one does not either.
   */
  private sameMachineAsLast(item: QueuedItem, job: Job): PlacementChoice | null {
    if (item.lastPlacement === null || job.spec.spread || isUnavailable(item.lastPlacement.machine, job))
      return null;
    if (this.input.lending !== undefined && mayBorrow(job.spec)) return null;
    const { machine, free } = item.lastPlacement;
    const need = resourcesOf(job.spec);
    const remaining: Resources = [
      machine.free[0] - need[0],
      machine.free[1] - need[1],
      machine.free[2] - need[2],
    ];
    if (
      strandsGpus(
        protectedDemand(this.input.coLocatedDemand, job),
        job,
        machine.view.total,
        machine.idle,
        remaining,
      )
    )
      return null;
    if (!free) add(remaining, machine.terminating);
    if (!fits(NO_RESOURCES, remaining)) return null;
    return { machines: [machine], victims: NO_VICTIMS, free };
  }

  /** Places `group`, the next tasks of the item, as chosen; returns false if `choice` is null. */
  private place(
    team: QueueTeam,
    item: QueuedItem,
    group: readonly number[],
    choice: PlacementChoice | null,
  ): boolean {
    if (choice === null) return false;
    const { job } = item.queued;
    this.occupy(job, team, group, choice);
    this.overdue.delete(job);
    item.lastPlacement =
      choice.victims.size === 0 && !isGang(job) ? { machine: choice.machines[0]!, free: choice.free } : null;
    if (!choice.free)
      this.reservations.set(job.spec.id, (this.reservations.get(job.spec.id) ?? 0) + group.length);
    item.nextTask += group.length;
    return true;
  }

  /** Takes the resources for the tasks, preempts the victims and records the starts. */
  private occupy(job: Job, team: TeamState, tasks: readonly number[], choice: PlacementChoice): void {
    const need = resourcesOf(job.spec);
    for (const victim of choice.victims) if (!victim.preempted) this.preempt(victim as RunUnit, job);
    const start = choice.free ? this.startOf(job) : null;
    tasks.forEach((task, i) => {
      const machine = choice.machines[i]!;
      add(machine.free, need, -1);
      machine.taskSlots--;
      this.changedMachines.push(machine);
      add(team.used, need);
      add(team.held, need);
      if (hasZoneRules(job)) this.recordZone(job, machine.view.zone);
      if (start === null) return;
      const startedOn = start.tasksByMachine.get(machine.view.id);
      if (startedOn) startedOn.push(task);
      else {
        start.tasksByMachine.set(machine.view.id, [task]);
        this.placements++;
      }
    });
    if (!choice.free) for (const machine of choice.machines) takeFromTerminating(machine);
  }

  private startOf(job: Job): Start {
    let start = this.starts.get(job);
    if (start === undefined) {
      const attempt = Math.max(job.attempt, this.input.attemptFloor ?? 0) + 1;
      this.starts.set(job, (start = { job, attempt, tasksByMachine: new Map() }));
    }
    return start;
  }

  private recordZone(job: Job, zone: string): void {
    const { zonesHeld } = this.evictions;
    let zones = zonesHeld.get(job);
    if (!zones) zonesHeld.set(job, (zones = new Map()));
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }

  /** Preempts an evicted unit for `job`. */
  private preempt(unit: RunUnit, borrower: Job): void {
    const team = unit.team as QueueTeam;
    // The resources of a restored unit were counted as used by its team.
    if (unit.restored) add(team.used, unit.size, -1);
    this.teamsPreempted.add(team);
    unit.preempt();
    const { need } = unit;
    add(team.retained, unit.size, -1);
    const lent = this.input.lending !== undefined && mayBorrow(borrower.spec) && need[1] > 0;
    if (lent)
      this.takenForServices.set(unit.job, (this.takenForServices.get(unit.job) ?? 0) + unit.members.length);
    for (const member of unit.members) {
      const machine = this.evictions.machines.get(member.machine);
      if (machine) {
        add(machine.evictedResources[unit.job.spec.urgency]!, need, -1);
        add(machine.terminating, need);
        this.changedMachines.push(machine);
      }
      const preemption = { job: unit.job, task: member.task, machine: member.machine };
      this.preemptions.push(lent ? { ...preemption, taker: borrower } : preemption);
    }
  }
}

/** A position in the order in which teams are served. */
interface ServedAt {
  readonly share: number;
  readonly rank: number;
}
const isBefore = (a: ServedAt, b: ServedAt): boolean =>
  a.share < b.share || (a.share === b.share && a.rank < b.rank);

/** Restores a team's next evicted unit to its machines, unless it was preempted. */
const restoreNext = (team: QueueTeam, run: EvictedRun): void => {
  if (!run.isPreempted(run.next)) add(team.used, run.sizeOf(run.next));
  run.next++;
};

/** Returns the number of the item's tasks that are not placed; for a gang, all tasks. */
const unplacedCount = ({ queued, nextTask: placed }: QueuedItem): number =>
  isGang(queued.job) ? queued.tasks.length : queued.tasks.length - placed;

/** Returns the tasks to place together: all tasks of a gang, otherwise the next task. */
const nextTasks = (item: QueuedItem): readonly number[] =>
  isGang(item.queued.job) ? item.queued.tasks : [item.queued.tasks[item.nextTask]!];

/** Takes resources that a task waits for from those of terminating tasks, so that they are not given to another task. */
const takeFromTerminating = (machine: MachineState): void => {
  for (let i = 0; i < 3; i++) {
    if (machine.free[i]! >= 0) continue;
    machine.terminating[i]! += machine.free[i]!;
    machine.free[i] = 0;
  }
};

/** Runs one scheduling cycle. `search` creates the placement search; tests pass the plain one. */
export const schedule = (
  input: CycleInput,
  search: (capacity: ClusterCapacity) => PlacementSearch = placementSearch,
): CycleResult => new Cycle(input, search).run();
