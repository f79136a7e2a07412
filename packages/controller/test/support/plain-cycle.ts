/**
 * The scheduling cycle in its plainest form: every item of every team's queue is looked at for every step of the refill.
 * `src/scheduler/cycle.ts` must decide the same; this one is only there to compare it with.
 */
import type { Job } from '../../src/jobs/model.js';
import type { TeamSettings } from '../../src/settings/settings.js';
import {
  add,
  type CycleInput,
  type CycleResult,
  type QueuedJob,
  fits,
  type PlacedTask,
  type Resources,
  resourcesOf,
  type Start,
  type Preemption,
  type Unplaced,
} from '../../src/scheduler/model.js';
import { mayBorrow } from '../../src/lending/loans.js';
import { plainFinder } from './plain-placement-search.js';
import { reserve } from '../../src/scheduler/reserve.js';
import { replicaSearch } from '../../src/scheduler/replica-search.js';
import {
  type PlacementChoice,
  EvictedUnit,
  type PlacementSearch,
  type ClusterCapacity,
  protectedDemand,
  isReservedAgainst,
  strandsGpus,
  type NodeState as Node,
  type TeamState as TeamRooms,
  WITH_PREEMPTION,
  FREE_ONLY,
  WITHOUT_PREEMPTION,
} from '../../src/scheduler/cluster-capacity.js';

const NO_TEAM: TeamSettings = { name: '', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } };

interface NodeState extends Node {
  readonly evicted: Set<EvictedUnit>;
}
interface QueuedItem {
  readonly kind: 'queued';
  readonly queued: QueuedJob;
  readonly urgency: number;
  readonly rank: number;
  at: number;
  last: { readonly n: Node; readonly free: boolean } | null;
}
type Item =
  | { readonly kind: 'evicted'; readonly unit: EvictedUnit; readonly urgency: number; readonly rank: number }
  | QueuedItem;
interface TeamState extends TeamRooms {
  readonly queue: Item[];
  next: number;
  share: number | null;
}

export const plainSchedule = (
  input: CycleInput,
  search: (capacity: ClusterCapacity) => PlacementSearch = plainFinder,
): CycleResult => {
  const nodes = new Map<string, NodeState>();
  const total: Resources = [0, 0, 0];
  for (const view of input.nodes) {
    nodes.set(view.id, {
      view,
      index: nodes.size,
      free: [...view.total],
      leaving: [0, 0, 0],
      evicted: new Set(),
      evictedResources: [
        [0, 0, 0],
        [0, 0, 0],
        [0, 0, 0],
        [0, 0, 0],
      ],
      idle: input.idleNodes.has(view.id),
      reservation: null,
    });
    add(total, view.total);
  }
  const teams = new Map<string, TeamState>();
  const teamOf = (name: string): TeamState => {
    let t = teams.get(name);
    if (!t) {
      t = {
        settings: input.teams.find((s) => s.name === name) ?? { ...NO_TEAM, name },
        weight: input.weights.get(name) ?? 1,
        used: [0, 0, 0],
        held: [0, 0, 0],
        staying: [0, 0, 0],
        queue: [],
        next: 0,
        share: null,
      };
      teams.set(name, t);
    }
    return t;
  };

  // Eviction. Everything held takes room; what is evicted may be displaced from it later.
  const gangs = new Map<Job, PlacedTask[]>();
  const zonesHeld = new Map<Job, Map<string, number>>();
  /** Jobs with a task that may be anywhere: zone rules can't be kept for them yet. */
  const zoneUnknown = new Set<Job>();
  const evict = (job: Job, members: readonly PlacedTask[]): void => {
    const team = teamOf(job.spec.team);
    const need = resourcesOf(job.spec);
    const k = members.length;
    const size: Resources = k === 1 ? need : [need[0] * k, need[1] * k, need[2] * k];
    const unit = new EvictedUnit(team, job, members, need, size);
    add(team.staying, size);
    for (const m of members) {
      const n = nodes.get(m.machine);
      n?.evicted.add(unit);
      if (n) add(n.evictedResources[job.spec.urgency]!, need);
    }
    team.queue.push({ kind: 'evicted', unit, urgency: job.spec.urgency, rank: -1 });
  };
  for (const h of input.placedTasks) {
    const need = resourcesOf(h.job.spec);
    const team = teamOf(h.job.spec.team);
    add(team.held, need);
    const node = nodes.get(h.machine);
    if (node) add(node.free, need, -1);
    if (h.zone === null) zoneUnknown.add(h.job);
    else {
      let zones = zonesHeld.get(h.job);
      if (!zones) zonesHeld.set(h.job, (zones = new Map()));
      zones.set(h.zone, (zones.get(h.zone) ?? 0) + 1);
    }
    if (h.leaving) {
      if (node) add(node.leaving, need);
      add(team.used, need);
    } else if (h.job.spec.shape === 'gang') {
      const members = gangs.get(h.job);
      if (members) members.push(h);
      else gangs.set(h.job, [h]);
    } else {
      evict(h.job, [h]);
    }
  }
  for (const [job, members] of gangs) evict(job, members);

  for (const q of input.queued) {
    if (q.tasks.length === 0) continue;
    teamOf(q.job.spec.team).queue.push({
      kind: 'queued',
      queued: q,
      urgency: q.job.spec.urgency,
      rank: q.rank,
      at: 0,
      last: null,
    });
  }
  for (const t of teams.values()) {
    t.queue.sort(
      (a, b) =>
        b.urgency - a.urgency ||
        a.rank - b.rank ||
        (a.kind === 'evicted' || b.kind === 'evicted'
          ? 0
          : a.queued.job.spec.id < b.queued.job.spec.id
            ? -1
            : 1),
    );
  }

  const starts = new Map<Job, Start>();
  const preemptions: Preemption[] = [];
  const unplaced: Unplaced[] = [];
  const reservations = new Map<string, number>();
  /** Shapes of task that found no room in this cycle, and how many of them: what fails once fails again. */
  const hopeless = new Map<string, number>();

  const sizeOf = (item: Item): Resources => {
    if (item.kind === 'evicted') return item.unit.size;
    const { job } = item.queued;
    const count = job.spec.shape === 'gang' ? job.spec.tasks : 1;
    const need = resourcesOf(job.spec);
    return [need[0] * count, need[1] * count, need[2] * count];
  };
  /** Dominant share over weight, as it would be with `more` placed. */
  const share = (team: TeamRooms, more: Resources): number => {
    let worst = 0;
    for (let i = 0; i < 3; i++) {
      if (total[i]! > 0) worst = Math.max(worst, (team.used[i]! + more[i]!) / total[i]!);
    }
    return worst / team.weight;
  };
  const withinGuarantee = (team: TeamRooms, more: Resources): boolean => {
    const g = team.settings.guarantee;
    return team.used[0] + more[0] <= g.cpus + 1e-6 && team.used[1] + more[1] <= g.gpus + 1e-6;
  };
  const overLimit = (team: TeamState, more: Resources): boolean => {
    const l = team.settings.limit;
    return (
      (l.cpus > 0 && team.held[0] + more[0] > l.cpus + 1e-6) ||
      (l.gpus > 0 && team.held[1] + more[1] > l.gpus + 1e-6)
    );
  };

  /** Tasks of each job that services take in this cycle. */
  const taken = new Map<Job, number>();
  const displace = (unit: EvictedUnit, by: Job): void => {
    unit.displaced = true;
    const { need } = unit;
    add(unit.team.staying, unit.size, -1);
    const lent = input.lending !== undefined && mayBorrow(by.spec) && need[1] > 0;
    if (lent) taken.set(unit.job, (taken.get(unit.job) ?? 0) + unit.members.length);
    for (const m of unit.members) {
      const n = nodes.get(m.machine);
      if (n) {
        n.evicted.delete(unit);
        add(n.evictedResources[unit.job.spec.urgency]!, need, -1);
        add(n.leaving, need);
      }
      const stop = { job: unit.job, task: m.task, machine: m.machine };
      preemptions.push(lent ? { ...stop, taker: by } : stop);
    }
  };

  const NONE: Resources = [0, 0, 0];
  const NOBODY: ReadonlySet<EvictedUnit> = new Set();
  /** One task of each, or one gang: they have waited for that, and the rest of the GPU machines' room stays theirs. */
  const overdue = new Set(input.queued.flatMap((q) => (q.overdue === true ? [q.job] : [])));
  const capacity: ClusterCapacity = {
    nodes,
    evictedOn: (n) => [...(n as NodeState).evicted],
    markChanged: () => undefined,
    changedNodes: [],
    zones: [...new Set(input.nodes.map((n) => n.zone))].sort(),
    zonesHeld,
    zoneUnknown,
    coLocatedDemand: input.coLocatedDemand,
    avoid: input.avoid,
    overdue,
    share: (t) => share(t, NONE),
    withinGuarantee,
  };
  const find = replicaSearch(capacity, search(capacity), input.lending, taken);

  const take = (job: Job, team: TeamState, tasks: readonly number[], choice: PlacementChoice): void => {
    const need = resourcesOf(job.spec);
    for (const v of choice.victims) {
      if (v.displaced) continue;
      // A unit that was already refilled gives back what was counted for it.
      if (returned.has(v)) add(v.team.used, v.size, -1);
      (v.team as TeamState).share = null;
      displace(v, job);
    }
    let start = starts.get(job);
    if (choice.free && !start) {
      start = { job, attempt: Math.max(job.attempt, input.attemptFloor ?? 0) + 1, on: new Map() };
      starts.set(job, start);
    }
    let zones = zonesHeld.get(job);
    if (!zones) zonesHeld.set(job, (zones = new Map()));
    tasks.forEach((task, i) => {
      const n = choice.machines[i]!;
      add(n.free, need, -1);
      add(team.used, need);
      add(team.held, need);
      zones.set(n.view.zone, (zones.get(n.view.zone) ?? 0) + 1);
      if (choice.free) {
        const on = start!.on.get(n.view.id);
        if (on) on.push(task);
        else {
          start!.on.set(n.view.id, [task]);
          places++;
        }
      }
    });
    // Room that is only promised is taken from what is leaving, so that nobody else counts on it.
    if (!choice.free) {
      for (const n of choice.machines) {
        for (let i = 0; i < 3; i++) {
          if (n.free[i]! < 0) {
            n.leaving[i]! += n.free[i]!;
            n.free[i] = 0;
          }
        }
      }
    }
  };
  const returned = new Set<EvictedUnit>();
  let places = 0;

  /** Places `group`, the next tasks of `item`, and says whether there was room. */
  const put = (
    team: TeamState,
    item: QueuedItem,
    group: readonly number[],
    choice: PlacementChoice | null,
  ): boolean => {
    if (choice === null) return false;
    const { job } = item.queued;
    take(job, team, group, choice);
    overdue.delete(job);
    item.last =
      choice.victims.size === 0 && job.spec.shape !== 'gang'
        ? { n: choice.machines[0]!, free: choice.free }
        : null;
    if (!choice.free) reservations.set(job.spec.id, (reservations.get(job.spec.id) ?? 0) + group.length);
    item.at += group.length;
    return true;
  };
  const nextOf = (item: QueuedItem): readonly number[] =>
    item.queued.job.spec.shape === 'gang' ? item.queued.tasks : [item.queued.tasks[item.at]!];

  /**
   * The machine that took the last task of an array takes the next one while there is room of the same kind, free or
   * promised: it was the tightest fit, and is tighter now. Arrays of thousands of small tasks need one search a machine,
   * not one a task. Free room that the last one did not find is not there now either.
   */
  const besideLast = (item: QueuedItem, job: Job): PlacementChoice | null => {
    if (item.last === null || job.spec.spread || isReservedAgainst(item.last.n, job)) return null;
    if (input.lending !== undefined && mayBorrow(job.spec)) return null;
    const { n, free } = item.last;
    const need = resourcesOf(job.spec);
    const after: Resources = [n.free[0] - need[0], n.free[1] - need[1], n.free[2] - need[2]];
    if (strandsGpus(protectedDemand(input.coLocatedDemand, job), job, n.view.total, n.idle, after))
      return null;
    if (!free) add(after, n.leaving);
    if (!fits(NONE, after)) return null;
    return { machines: [n], victims: NOBODY, free };
  };

  /** One gang that is starving gathers room. */
  let reserved = false;

  /** Places the next of what `item` wants; false: there is nothing more to be had for it now. */
  const serve = (team: TeamState, item: QueuedItem): boolean => {
    const { job, tasks, cautious, mayRent } = item.queued;
    const gang = job.spec.shape === 'gang';
    const group = nextOf(item);
    const { spec } = job;
    // What is cautious looks for less than others of its shape, and what failed somewhere is not sent there again.
    const key =
      cautious ||
      overdue.has(job) ||
      (gang && input.avoid(job) !== null) ||
      (input.lending !== undefined && mayBorrow(spec))
        ? ''
        : [
            spec.team,
            spec.urgency,
            spec.cpus,
            spec.gpus,
            spec.memGb,
            spec.types,
            spec.zone,
            spec.spot,
            gang ? `${spec.oneZone}${spec.spread}` : spec.spread || spec.oneZone ? spec.id : '',
            spec.gpus > 0 ? '' : protectedDemand(input.coLocatedDemand, job).length,
          ].join('|');
    const limited = overLimit(team, sizeOf(item));
    const choice =
      limited || (key !== '' && group.length >= (hopeless.get(key) ?? Number.POSITIVE_INFINITY))
        ? null
        : (besideLast(item, job) ?? find(job, team, group.length, cautious ? FREE_ONLY : WITH_PREEMPTION));
    if (!put(team, item, group, choice)) {
      if (key !== '' && !limited)
        hopeless.set(key, Math.min(group.length, hopeless.get(key) ?? Number.POSITIVE_INFINITY));
      if (!limited && !reserved && item.queued.starving)
        reserved = reserve(capacity, input.placedTasks, job, team);
      // More machines would not help a team at its limit.
      if (!limited && mayRent) unplaced.push({ job, count: gang ? tasks.length : tasks.length - item.at });
      return false;
    }
    return item.at < tasks.length;
  };

  // Those whose room is being left for them by others had their turn when the others were stopped.
  const over = new Set<Item>();
  for (const [id, count] of input.reservations) {
    for (const team of teams.values()) {
      const item = team.queue.find((i) => i.kind === 'queued' && i.queued.job.spec.id === id);
      if (item?.kind !== 'queued' || item.queued.cautious) continue;
      while (item.at < Math.min(count, item.queued.tasks.length) && !overLimit(team, sizeOf(item))) {
        const group = nextOf(item);
        if (!put(team, item, group, find(item.queued.job, team, group.length, WITHOUT_PREEMPTION))) break;
      }
      if (item.at >= item.queued.tasks.length) over.add(item);
    }
  }

  // Refill.
  for (;;) {
    let team: TeamState | null = null;
    let smallest = Number.POSITIVE_INFINITY;
    for (const t of teams.values()) {
      while (t.next < t.queue.length && over.has(t.queue[t.next]!)) {
        t.next++;
        t.share = null;
      }
      const item = t.queue[t.next];
      if (!item) continue;
      const s = (t.share ??= share(t, sizeOf(item)));
      if (s < smallest) {
        smallest = s;
        team = t;
      }
    }
    if (team === null) break;
    team.share = null;
    const item = team.queue[team.next]!;
    if (item.kind === 'evicted') {
      team.next++;
      if (item.unit.displaced) continue;
      add(team.used, item.unit.size);
      returned.add(item.unit);
      continue;
    }
    if (places >= (input.maxPlacements ?? Number.POSITIVE_INFINITY)) {
      for (const t of teams.values())
        for (const i of t.queue.slice(t.next)) {
          if (i.kind === 'evicted' || over.has(i) || !i.queued.mayRent || overLimit(t, sizeOf(i))) continue;
          const { job, tasks } = i.queued;
          unplaced.push({ job, count: job.spec.shape === 'gang' ? tasks.length : tasks.length - i.at });
        }
      break;
    }
    if (!serve(team, item)) team.next++;
  }

  const free = new Map<string, Resources>();
  for (const n of nodes.values()) free.set(n.view.id, [...n.free]);
  return { starts: [...starts.values()], preemptions, unplaced, reservations, free };
};
