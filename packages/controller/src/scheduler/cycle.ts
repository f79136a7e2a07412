/**
 * One scheduling cycle, a pure function: evict the fair-share-preemptible tasks into their teams' queues, refill
 * progressively, and return what differs (docs/design.md cites the paper). `test/support/plain-cycle.ts` is the same in its
 * plainest form; a property test holds that both decide alike.
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
  isReservedAgainst,
  WITHOUT_PREEMPTION,
  type NodeState,
  strandsGpus,
  type TeamState,
} from './cluster-capacity.js';
import { TeamOrder } from './team-order.js';

const NONE: Resources = [0, 0, 0];
const NOBODY: ReadonlySet<EvictedUnit> = new Set();

const isGang = (job: Job): boolean => job.spec.shape === 'gang';

class Cycle {
  private readonly evictions: Evictions;
  private readonly capacity: ClusterCapacity;
  private readonly search: PlacementSearch;
  private readonly teamOrder = new TeamOrder<QueueTeam>();
  private readonly changedNodes: NodeState[] = [];
  private readonly starts = new Map<Job, Start>();
  private readonly preemptions: Preemption[] = [];
  private readonly unplaced: Unplaced[] = [];
  private readonly reservations = new Map<string, number>();
  /** Shapes of task that found no room in this cycle, and how many of them: what fails once fails again. */
  private readonly unplaceable = new Map<string, number>();
  /** Tasks of each job that services take in this cycle. */
  private readonly takenForServices = new Map<Job, number>();
  /** One task of each, or one gang: they have waited for that, and the rest of the GPU machines' room stays theirs. */
  private readonly overdue: Set<Job>;
  /** Teams whose evicted tasks the latest choice has displaced. */
  private readonly teamsDisplaced = new Set<QueueTeam>();
  /** One gang that is starving gathers room. */
  private madeReservation = false;
  /** Starts of a job on a machine so far. */
  private placements = 0;
  /** The team that is being served, until all others' evicted tasks have been let return as far as they come before it. */
  private beingServed: QueueTeam | null = null;

  constructor(
    private readonly input: CycleInput,
    search: (capacity: ClusterCapacity) => PlacementSearch,
  ) {
    this.evictions = new Evictions(input);
    this.overdue = new Set(input.queued.flatMap((q) => (q.overdue === true ? [q.job] : [])));
    this.capacity = {
      nodes: this.evictions.nodes,
      evictedOn: (node) => this.evictedOn(node),
      markChanged: (node) => void this.changedNodes.push(node),
      changedNodes: this.changedNodes,
      zones: [...new Set(input.nodes.map((n) => n.zone))].sort(),
      zonesHeld: this.evictions.zonesHeld,
      zoneUnknown: this.evictions.zoneUnknown,
      coLocatedDemand: input.coLocatedDemand,
      avoid: input.avoid,
      overdue: this.overdue,
      share: (team) => this.share(team, NONE),
      withinGuarantee: (team, more) => this.withinGuarantee(team, more),
    };
    this.search = replicaSearch(this.capacity, search(this.capacity), input.lending, this.takenForServices);
  }

  run(): CycleResult {
    this.serveReservations();
    this.refill();
    const free = new Map<string, Resources>();
    for (const n of this.evictions.nodes.values()) free.set(n.view.id, [...n.free]);
    const { starts, preemptions, unplaced, reservations } = this;
    return { starts: [...starts.values()], preemptions, unplaced, reservations, free };
  }

  /** Dominant share over weight, as it would be with `more` placed. */
  private share(team: TeamState, more: Resources): number {
    return this.shareOf(team.used, more, team.weight);
  }

  private shareOf(used: Resources, more: Resources, weight: number): number {
    const { total } = this.evictions;
    let worst = 0;
    for (let i = 0; i < 3; i++) if (total[i]! > 0) worst = Math.max(worst, (used[i]! + more[i]!) / total[i]!);
    return worst / weight;
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

  /** Those whose room is being left for them by others had their turn when the others were stopped. */
  private serveReservations(): void {
    if (this.input.reservations.size === 0) return;
    const waiting = new Map<string, readonly [QueueTeam, QueuedItem]>();
    for (const team of this.evictions.teams.values())
      for (const item of team.queue)
        if (item.kind === 'queued') waiting.set(item.queued.job.spec.id, [team, item]);
    for (const [id, count] of this.input.reservations) {
      const [team, item] = waiting.get(id) ?? [];
      if (team !== undefined && item !== undefined && !item.queued.cautious)
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
   * Teams are taken by the share that they would have with their next waiting gang or task placed, all that is evicted
   * before it having returned. Which of the others' evicted tasks have returned by then matters only to who would displace
   * some, so that is worked out when somebody asks.
   */
  private refill(): void {
    for (const team of this.evictions.teams.values()) this.reorder(team);
    for (;;) {
      const team = this.teamOrder.first();
      if (team === null) return;
      if (this.placements >= (this.input.maxPlacements ?? Number.POSITIVE_INFINITY))
        return this.noteUnreached();
      const item = this.returnEvicted(team);
      this.noteServed(team);
      this.beingServed = team;
      if (!this.serve(team, item)) team.next++;
      this.beingServed = null;
      for (const other of this.teamsDisplaced) this.reorder(other);
      this.teamsDisplaced.clear();
      this.reorder(team);
    }
  }

  /** What waits still counts as demand: machines with room for it are not to be returned. */
  private noteUnreached(): void {
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

  /** Lets all that the team has evicted before its next waiting item return; answers with that item. */
  private returnEvicted(team: QueueTeam): QueuedItem {
    for (;;) {
      const item = team.queue[team.next]!;
      if (item.kind === 'queued') {
        if (!item.finished) return item;
      } else while (item.next < item.length) returnNext(team, item);
      team.next++;
    }
  }

  /** Shares at which teams are served fall only where tasks have been displaced, or a larger item has found no room. */
  private noteServed(served: QueueTeam): void {
    for (const { servedBefore: passed } of this.evictions.teams.values()) {
      if (!isBefore(passed, served)) continue;
      passed.share = served.share;
      passed.rank = served.rank;
    }
  }

  /** Works out the share by which the team is ordered; to be called when that may have changed. */
  private reorder(team: QueueTeam): void {
    team.share = this.shareAtNext(team);
    this.teamOrder.update(team);
  }

  /** Infinite: nothing of the team waits. */
  private shareAtNext(team: QueueTeam): number {
    const used: Resources = [...team.used];
    let least = Number.NEGATIVE_INFINITY;
    for (let i = team.next; i < team.queue.length; i++) {
      const item = team.queue[i]!;
      if (item.kind === 'queued') {
        if (item.finished) continue;
        return Math.max(least, this.shareOf(used, item.size, team.weight));
      }
      for (let k = item.next; k < item.length; k++) {
        const size = item.sizeOf(k);
        // A displaced one still has its turn in the team's queue, and takes nothing.
        if (item.isDisplaced(k)) least = Math.max(least, this.shareOf(used, size, team.weight));
        else add(used, size);
      }
    }
    return Number.POSITIVE_INFINITY;
  }

  /** The evicted units on a machine that are not displaced, with all teams as far as the refill has come. */
  private evictedOn(node: NodeState): readonly EvictedUnit[] {
    this.returnOthers();
    return this.evictions.on(node).filter((unit) => !unit.displaced);
  }

  /** Lets return what the other teams have evicted and whose turn came before that of the team being served. */
  private returnOthers(): void {
    const served = this.beingServed;
    if (served === null) return;
    this.beingServed = null;
    for (const team of this.evictions.teams.values()) if (team !== served) this.returnServedBefore(team);
  }

  private returnServedBefore(team: QueueTeam): void {
    const { servedBefore: passed, rank } = team;
    team.servedBefore = noneServed();
    for (; team.next < team.queue.length; team.next++) {
      const item: Item = team.queue[team.next]!;
      if (item.kind === 'queued') {
        if (!item.finished) return;
        continue;
      }
      for (; item.next < item.length; returnNext(team, item))
        if (!isBefore({ share: this.share(team, item.sizeOf(item.next)), rank }, passed)) return;
    }
  }

  /** Places the next of what `item` wants; false: there is nothing more to be had for it now. */
  private serve(team: QueueTeam, item: QueuedItem): boolean {
    const { job, tasks, cautious } = item.queued;
    const group = nextTasks(item);
    const limited = this.overLimit(team, item.size);
    const shape = this.failureKey(item);
    const known = shape !== null && group.length >= (this.unplaceable.get(shape) ?? Number.POSITIVE_INFINITY);
    const choice =
      limited || known
        ? null
        : (this.sameNodeAsLast(item, job) ??
          this.search(job, team, group.length, cautious ? FREE_ONLY : WITH_PREEMPTION));
    if (this.place(team, item, group, choice)) return item.nextTask < tasks.length;
    // A limit says nothing about room, and more machines would not help.
    if (!limited) this.noteUnplaced(team, item, shape);
    return false;
  }

  private noteUnplaced(team: QueueTeam, item: QueuedItem, shape: string | null): void {
    const { job, starving, mayRent } = item.queued;
    const { length } = nextTasks(item);
    if (shape !== null)
      this.unplaceable.set(shape, Math.min(length, this.unplaceable.get(shape) ?? Number.POSITIVE_INFINITY));
    if (!this.madeReservation && starving)
      this.madeReservation = reserve(this.capacity, this.input.placedTasks, job, team);
    if (mayRent) this.unplaced.push({ job, count: unplacedCount(item) });
  }

  /** What makes items fail alike; null: this one is looked for in a way of its own. */
  private failureKey(item: QueuedItem): string | null {
    const { job, cautious } = item.queued;
    const { spec } = job;
    const gang = isGang(job);
    if (cautious || this.overdue.has(job)) return null;
    // What failed somewhere is not sent there again.
    if (gang && this.input.avoid(job) !== null) return null;
    if (this.input.lending !== undefined && mayBorrow(spec)) return null;
    return (item.shape ??= [
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
   * The machine that took the last task of an array takes the next one while there is room of the same kind, free or
   * promised: it was the tightest fit, and is tighter now. Arrays of thousands of small tasks need one search a machine,
   * not one a task. Free room that the last one did not find is not there now either.
   */
  private sameNodeAsLast(item: QueuedItem, job: Job): PlacementChoice | null {
    if (item.lastPlacement === null || job.spec.spread || isReservedAgainst(item.lastPlacement.n, job))
      return null;
    if (this.input.lending !== undefined && mayBorrow(job.spec)) return null;
    const { n, free } = item.lastPlacement;
    const need = resourcesOf(job.spec);
    const after: Resources = [n.free[0] - need[0], n.free[1] - need[1], n.free[2] - need[2]];
    if (strandsGpus(protectedDemand(this.input.coLocatedDemand, job), job, n.view.total, n.idle, after))
      return null;
    if (!free) add(after, n.leaving);
    if (!fits(NONE, after)) return null;
    return { machines: [n], victims: NOBODY, free };
  }

  /** Places `group`, the next tasks of `item`, and says whether there was room. */
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
      choice.victims.size === 0 && !isGang(job) ? { n: choice.machines[0]!, free: choice.free } : null;
    if (!choice.free)
      this.reservations.set(job.spec.id, (this.reservations.get(job.spec.id) ?? 0) + group.length);
    item.nextTask += group.length;
    return true;
  }

  private occupy(job: Job, team: TeamState, tasks: readonly number[], choice: PlacementChoice): void {
    const need = resourcesOf(job.spec);
    for (const v of choice.victims) if (!v.displaced) this.displace(v as RunUnit, job);
    const start = choice.free ? this.startOf(job) : null;
    tasks.forEach((task, i) => {
      const n = choice.machines[i]!;
      add(n.free, need, -1);
      this.changedNodes.push(n);
      add(team.used, need);
      add(team.held, need);
      if (hasZoneRules(job)) this.noteZone(job, n.view.zone);
      if (start === null) return;
      const on = start.on.get(n.view.id);
      if (on) on.push(task);
      else {
        start.on.set(n.view.id, [task]);
        this.placements++;
      }
    });
    if (!choice.free) for (const n of choice.machines) reserveLeaving(n);
  }

  private startOf(job: Job): Start {
    let start = this.starts.get(job);
    if (start === undefined) {
      const attempt = Math.max(job.attempt, this.input.attemptFloor ?? 0) + 1;
      this.starts.set(job, (start = { job, attempt, on: new Map() }));
    }
    return start;
  }

  private noteZone(job: Job, zone: string): void {
    const { zonesHeld } = this.evictions;
    let zones = zonesHeld.get(job);
    if (!zones) zonesHeld.set(job, (zones = new Map()));
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }

  private displace(unit: RunUnit, by: Job): void {
    const team = unit.team as QueueTeam;
    // A unit that was already refilled gives back what was counted for it.
    if (unit.returned) add(team.used, unit.size, -1);
    this.teamsDisplaced.add(team);
    unit.displace();
    const { need } = unit;
    add(team.staying, unit.size, -1);
    const lent = this.input.lending !== undefined && mayBorrow(by.spec) && need[1] > 0;
    if (lent)
      this.takenForServices.set(unit.job, (this.takenForServices.get(unit.job) ?? 0) + unit.members.length);
    for (const m of unit.members) {
      const n = this.evictions.nodes.get(m.machine);
      if (n) {
        add(n.evictedResources[unit.job.spec.urgency]!, need, -1);
        add(n.leaving, need);
        this.changedNodes.push(n);
      }
      const stop = { job: unit.job, task: m.task, machine: m.machine };
      this.preemptions.push(lent ? { ...stop, taker: by } : stop);
    }
  }
}

interface ServedAt {
  readonly share: number;
  readonly rank: number;
}
const isBefore = (a: ServedAt, b: ServedAt): boolean =>
  a.share < b.share || (a.share === b.share && a.rank < b.rank);

/** The next of a team's evicted units is back in its place, unless it was displaced. */
const returnNext = (team: QueueTeam, run: EvictedRun): void => {
  if (!run.isDisplaced(run.next)) add(team.used, run.sizeOf(run.next));
  run.next++;
};

/** Tasks that are not placed; of a gang all. */
const unplacedCount = ({ queued, nextTask: at }: QueuedItem): number =>
  isGang(queued.job) ? queued.tasks.length : queued.tasks.length - at;

const nextTasks = (item: QueuedItem): readonly number[] =>
  isGang(item.queued.job) ? item.queued.tasks : [item.queued.tasks[item.nextTask]!];

/** Room that is only promised is taken from what is leaving, so that nobody else counts on it. */
const reserveLeaving = (n: NodeState): void => {
  for (let i = 0; i < 3; i++) {
    if (n.free[i]! >= 0) continue;
    n.leaving[i]! += n.free[i]!;
    n.free[i] = 0;
  }
};

/** `search` chooses the machines; tests put the plain search there. */
export const schedule = (
  input: CycleInput,
  search: (capacity: ClusterCapacity) => PlacementSearch = placementSearch,
): CycleResult => new Cycle(input, search).run();
