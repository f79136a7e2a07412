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
  nothingPassed,
  type QueuedItem,
  type QueueTeam,
} from './eviction.js';
import {
  add,
  type CycleInput,
  type CycleResult,
  EPSILON,
  fits,
  type Room,
  room,
  type Start,
  type Stop,
  type Unplaced,
} from './model.js';
import { finder } from './place.js';
import { replicaFinder } from './replicas.js';
import { reserve } from './reserve.js';
import {
  ANY_ROOM,
  type Choice,
  type Evicted,
  type Finder,
  type Floor,
  FREE_ROOM,
  guardsOf,
  isKeptFrom,
  LEFT_ROOM,
  type NodeState,
  strands,
  type TeamState,
} from './state.js';
import { TeamOrder } from './team-order.js';

const NONE: Room = [0, 0, 0];
const NOBODY: ReadonlySet<Evicted> = new Set();

const isGang = (job: Job): boolean => job.spec.shape === 'gang';

class Cycle {
  private readonly ground: Evictions;
  private readonly floor: Floor;
  private readonly find: Finder;
  private readonly order = new TeamOrder<QueueTeam>();
  private readonly touched: NodeState[] = [];
  private readonly starts = new Map<Job, Start>();
  private readonly stops: Stop[] = [];
  private readonly unplaced: Unplaced[] = [];
  private readonly claims = new Map<string, number>();
  /** Shapes of task that found no room in this cycle, and how many of them: what fails once fails again. */
  private readonly hopeless = new Map<string, number>();
  /** Tasks of each job that services take in this cycle. */
  private readonly taken = new Map<Job, number>();
  /** One task of each, or one gang: they have waited for that, and the rest of the GPU machines' room stays theirs. */
  private readonly overdue: Set<Job>;
  /** Teams whose evicted tasks the latest choice has displaced. */
  private readonly displaced = new Set<QueueTeam>();
  /** One gang that was passed over gathers room. */
  private reserved = false;
  /** Starts of a job on a machine so far. */
  private places = 0;
  /** The team that is being served, until all others' evicted tasks have been let return as far as they come before it. */
  private unsettled: QueueTeam | null = null;

  constructor(
    private readonly input: CycleInput,
    search: (floor: Floor) => Finder,
  ) {
    this.ground = new Evictions(input);
    this.overdue = new Set(input.queued.flatMap((q) => (q.overdue === true ? [q.job] : [])));
    this.floor = {
      nodes: this.ground.nodes,
      evictedOn: (node) => this.evictedOn(node),
      touch: (node) => void this.touched.push(node),
      touched: this.touched,
      zones: [...new Set(input.nodes.map((n) => n.zone))].sort(),
      zonesHeld: this.ground.zonesHeld,
      lostSight: this.ground.lostSight,
      companions: input.companions,
      avoid: input.avoid,
      overdue: this.overdue,
      share: (team) => this.share(team, NONE),
      withinGuarantee: (team, more) => this.withinGuarantee(team, more),
    };
    this.find = replicaFinder(this.floor, search(this.floor), input.lending, this.taken);
  }

  run(): CycleResult {
    this.serveClaims();
    this.refill();
    const free = new Map<string, Room>();
    for (const n of this.ground.nodes.values()) free.set(n.view.id, [...n.free]);
    const { starts, stops, unplaced, claims } = this;
    return { starts: [...starts.values()], stops, unplaced, claims, free };
  }

  /** Dominant share over weight, as it would be with `more` placed. */
  private share(team: TeamState, more: Room): number {
    return this.shareOf(team.used, more, team.weight);
  }

  private shareOf(used: Room, more: Room, weight: number): number {
    const { total } = this.ground;
    let worst = 0;
    for (let i = 0; i < 3; i++) if (total[i]! > 0) worst = Math.max(worst, (used[i]! + more[i]!) / total[i]!);
    return worst / weight;
  }

  private withinGuarantee(team: TeamState, more: Room): boolean {
    const { guarantee } = team.settings;
    return (
      team.used[0] + more[0] <= guarantee.cpus + EPSILON && team.used[1] + more[1] <= guarantee.gpus + EPSILON
    );
  }

  private overLimit(team: TeamState, more: Room): boolean {
    const { limit } = team.settings;
    return (
      (limit.cpus > 0 && team.held[0] + more[0] > limit.cpus + EPSILON) ||
      (limit.gpus > 0 && team.held[1] + more[1] > limit.gpus + EPSILON)
    );
  }

  /** Those whose room is being left for them by others had their turn when the others were stopped. */
  private serveClaims(): void {
    if (this.input.claims.size === 0) return;
    const waiting = new Map<string, readonly [QueueTeam, QueuedItem]>();
    for (const team of this.ground.teams.values())
      for (const item of team.queue)
        if (item.kind === 'queued') waiting.set(item.queued.job.spec.id, [team, item]);
    for (const [id, count] of this.input.claims) {
      const [team, item] = waiting.get(id) ?? [];
      if (team !== undefined && item !== undefined && !item.queued.cautious)
        this.serveClaim(team, item, count);
    }
  }

  private serveClaim(team: QueueTeam, item: QueuedItem, count: number): void {
    const { job, tasks } = item.queued;
    while (item.at < Math.min(count, tasks.length) && !this.overLimit(team, item.size)) {
      const group = nextOf(item);
      if (!this.put(team, item, group, this.find(job, team, group.length, LEFT_ROOM))) break;
    }
    item.over = item.at >= tasks.length;
  }

  /**
   * Teams are taken by the share that they would have with their next waiting gang or task placed, all that is evicted
   * before it having returned. Which of the others' evicted tasks have returned by then matters only to who would displace
   * some, so that is worked out when somebody asks.
   */
  private refill(): void {
    for (const team of this.ground.teams.values()) this.reorder(team);
    for (;;) {
      const team = this.order.first();
      if (team === null) return;
      if (this.places >= (this.input.mostPlaces ?? Number.POSITIVE_INFINITY)) return this.noteUnreached();
      const item = this.returnEvicted(team);
      this.notePassed(team);
      this.unsettled = team;
      if (!this.serve(team, item)) team.next++;
      this.unsettled = null;
      for (const other of this.displaced) this.reorder(other);
      this.displaced.clear();
      this.reorder(team);
    }
  }

  /** What waits still counts as demand: machines with room for it are not to be returned. */
  private noteUnreached(): void {
    for (const team of this.ground.teams.values())
      for (const item of team.queue.slice(team.next))
        if (item.kind === 'queued' && !item.over && item.queued.rents && !this.overLimit(team, item.size))
          this.unplaced.push({ job: item.queued.job, count: left(item) });
  }

  /** Lets all that the team has evicted before its next waiting item return; answers with that item. */
  private returnEvicted(team: QueueTeam): QueuedItem {
    for (;;) {
      const item = team.queue[team.next]!;
      if (item.kind === 'queued') {
        if (!item.over) return item;
      } else while (item.next < item.length) giveBackNext(team, item);
      team.next++;
    }
  }

  /** Shares at which teams are served fall only where tasks have been displaced, or a larger item has found no room. */
  private notePassed(served: QueueTeam): void {
    for (const { passed } of this.ground.teams.values()) {
      if (!isBefore(passed, served)) continue;
      passed.share = served.share;
      passed.rank = served.rank;
    }
  }

  /** Works out the share by which the team is ordered; to be called when that may have changed. */
  private reorder(team: QueueTeam): void {
    team.share = this.shareAtNext(team);
    this.order.update(team);
  }

  /** Infinite: nothing of the team waits. */
  private shareAtNext(team: QueueTeam): number {
    const used: Room = [...team.used];
    let least = Number.NEGATIVE_INFINITY;
    for (let i = team.next; i < team.queue.length; i++) {
      const item = team.queue[i]!;
      if (item.kind === 'queued') {
        if (item.over) continue;
        return Math.max(least, this.shareOf(used, item.size, team.weight));
      }
      for (let k = item.next; k < item.length; k++) {
        const size = item.sizeOf(k);
        // A displaced one still has its turn in the team's queue, and takes nothing.
        if (item.isOut(k)) least = Math.max(least, this.shareOf(used, size, team.weight));
        else add(used, size);
      }
    }
    return Number.POSITIVE_INFINITY;
  }

  /** The evicted units on a machine that are not displaced, with all teams as far as the refill has come. */
  private evictedOn(node: NodeState): readonly Evicted[] {
    this.settleOthers();
    return this.ground.on(node).filter((unit) => !unit.out);
  }

  /** Lets return what the other teams have evicted and whose turn came before that of the team being served. */
  private settleOthers(): void {
    const served = this.unsettled;
    if (served === null) return;
    this.unsettled = null;
    for (const team of this.ground.teams.values()) if (team !== served) this.returnPassed(team);
  }

  private returnPassed(team: QueueTeam): void {
    const { passed, rank } = team;
    team.passed = nothingPassed();
    for (; team.next < team.queue.length; team.next++) {
      const item: Item = team.queue[team.next]!;
      if (item.kind === 'queued') {
        if (!item.over) return;
        continue;
      }
      for (; item.next < item.length; giveBackNext(team, item))
        if (!isBefore({ share: this.share(team, item.sizeOf(item.next)), rank }, passed)) return;
    }
  }

  /** Places the next of what `item` wants; false: there is nothing more to be had for it now. */
  private serve(team: QueueTeam, item: QueuedItem): boolean {
    const { job, tasks, cautious } = item.queued;
    const group = nextOf(item);
    const limited = this.overLimit(team, item.size);
    const shape = this.shapeOf(item);
    const known = shape !== null && group.length >= (this.hopeless.get(shape) ?? Number.POSITIVE_INFINITY);
    const choice =
      limited || known
        ? null
        : (this.besideLast(item, job) ?? this.find(job, team, group.length, cautious ? FREE_ROOM : ANY_ROOM));
    if (this.put(team, item, group, choice)) return item.at < tasks.length;
    // A limit says nothing about room, and more machines would not help.
    if (!limited) this.noteUnplaced(team, item, shape);
    return false;
  }

  private noteUnplaced(team: QueueTeam, item: QueuedItem, shape: string | null): void {
    const { job, gathers, rents } = item.queued;
    const { length } = nextOf(item);
    if (shape !== null)
      this.hopeless.set(shape, Math.min(length, this.hopeless.get(shape) ?? Number.POSITIVE_INFINITY));
    if (!this.reserved && gathers) this.reserved = reserve(this.floor, this.input.holders, job, team);
    if (rents) this.unplaced.push({ job, count: left(item) });
  }

  /** What makes items fail alike; null: this one is looked for in a way of its own. */
  private shapeOf(item: QueuedItem): string | null {
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
      spec.gpus > 0 ? '' : guardsOf(this.input.companions, job).length,
    ].join('|'));
  }

  /**
   * The machine that took the last task of an array takes the next one while there is room of the same kind, free or
   * promised: it was the tightest fit, and is tighter now. Arrays of thousands of small tasks need one search a machine,
   * not one a task. Free room that the last one did not find is not there now either.
   */
  private besideLast(item: QueuedItem, job: Job): Choice | null {
    if (item.last === null || job.spec.spread || isKeptFrom(item.last.n, job)) return null;
    if (this.input.lending !== undefined && mayBorrow(job.spec)) return null;
    const { n, free } = item.last;
    const need = room(job.spec);
    const after: Room = [n.free[0] - need[0], n.free[1] - need[1], n.free[2] - need[2]];
    if (strands(guardsOf(this.input.companions, job), job, n.view.total, n.surplus, after)) return null;
    if (!free) add(after, n.leaving);
    if (!fits(NONE, after)) return null;
    return { machines: [n], victims: NOBODY, free };
  }

  /** Places `group`, the next tasks of `item`, and says whether there was room. */
  private put(team: QueueTeam, item: QueuedItem, group: readonly number[], choice: Choice | null): boolean {
    if (choice === null) return false;
    const { job } = item.queued;
    this.take(job, team, group, choice);
    this.overdue.delete(job);
    item.last =
      choice.victims.size === 0 && !isGang(job) ? { n: choice.machines[0]!, free: choice.free } : null;
    if (!choice.free) this.claims.set(job.spec.id, (this.claims.get(job.spec.id) ?? 0) + group.length);
    item.at += group.length;
    return true;
  }

  private take(job: Job, team: TeamState, tasks: readonly number[], choice: Choice): void {
    const need = room(job.spec);
    for (const v of choice.victims) if (!v.out) this.displace(v as RunUnit, job);
    const start = choice.free ? this.startOf(job) : null;
    tasks.forEach((task, i) => {
      const n = choice.machines[i]!;
      add(n.free, need, -1);
      this.touched.push(n);
      add(team.used, need);
      add(team.held, need);
      if (hasZoneRules(job)) this.noteZone(job, n.view.zone);
      if (start === null) return;
      const on = start.on.get(n.view.id);
      if (on) on.push(task);
      else {
        start.on.set(n.view.id, [task]);
        this.places++;
      }
    });
    if (!choice.free) for (const n of choice.machines) takeFromLeaving(n);
  }

  private startOf(job: Job): Start {
    let start = this.starts.get(job);
    if (start === undefined) {
      const attempt = Math.max(job.attempt, this.input.attempts ?? 0) + 1;
      this.starts.set(job, (start = { job, attempt, on: new Map() }));
    }
    return start;
  }

  private noteZone(job: Job, zone: string): void {
    const { zonesHeld } = this.ground;
    let zones = zonesHeld.get(job);
    if (!zones) zonesHeld.set(job, (zones = new Map()));
    zones.set(zone, (zones.get(zone) ?? 0) + 1);
  }

  private displace(unit: RunUnit, by: Job): void {
    const team = unit.team as QueueTeam;
    // A unit that was already refilled gives back what was counted for it.
    if (unit.returned) add(team.used, unit.size, -1);
    this.displaced.add(team);
    unit.displace();
    const { need } = unit;
    add(team.stays, unit.size, -1);
    const lent = this.input.lending !== undefined && mayBorrow(by.spec) && need[1] > 0;
    if (lent) this.taken.set(unit.job, (this.taken.get(unit.job) ?? 0) + unit.members.length);
    for (const m of unit.members) {
      const n = this.ground.nodes.get(m.machine);
      if (n) {
        add(n.evictedRoom[unit.job.spec.urgency]!, need, -1);
        add(n.leaving, need);
        this.touched.push(n);
      }
      const stop = { job: unit.job, task: m.task, machine: m.machine };
      this.stops.push(lent ? { ...stop, taker: by } : stop);
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
const giveBackNext = (team: QueueTeam, run: EvictedRun): void => {
  if (!run.isOut(run.next)) add(team.used, run.sizeOf(run.next));
  run.next++;
};

/** Tasks that are not placed; of a gang all. */
const left = ({ queued, at }: QueuedItem): number =>
  isGang(queued.job) ? queued.tasks.length : queued.tasks.length - at;

const nextOf = (item: QueuedItem): readonly number[] =>
  isGang(item.queued.job) ? item.queued.tasks : [item.queued.tasks[item.at]!];

/** Room that is only promised is taken from what is leaving, so that nobody else counts on it. */
const takeFromLeaving = (n: NodeState): void => {
  for (let i = 0; i < 3; i++) {
    if (n.free[i]! >= 0) continue;
    n.leaving[i]! += n.free[i]!;
    n.free[i] = 0;
  }
};

/** `search` chooses the machines; tests put the plain search there. */
export const schedule = (input: CycleInput, search: (floor: Floor) => Finder = finder): CycleResult =>
  new Cycle(input, search).run();
