/**
 * Where a gang or a task goes: on free capacity if it can, then on capacity that is being left, then by preempting; a gang
 * whole, and in one zone if it must. The choice is that of the plain search in `test/support/plain-placement-search.ts`
 * (a property test holds both alike); this one skips what can't matter, since a cycle over thousands of machines has a few
 * milliseconds: lists of candidate machines are shared by all jobs that allow the same, machines are ranked once for all
 * tasks of an array, and an upper bound on what fits ends most searches before any machine is weighed.
 */
import type { Job } from '../jobs/model.js';
import { add, type CoLocatedDemand, EPSILON, fits, type Resources, resourcesOf } from './model.js';
import { NodeRanking, type WeighedNode } from './node-ranking.js';
import {
  type PlacementChoice,
  preemptionPenalty,
  type EvictedUnit,
  type PlacementSearch,
  type ClusterCapacity,
  protectedDemand,
  isReservedAgainst,
  type SearchLevel,
  mayPreempt,
  type NodeState,
  preemptibleBelow,
  PROMISED_PENALTY,
  reachableAmount,
  score,
  slotBounds,
  strandsGpus,
  type TeamState,
  tightestZone,
  type ZoneChoice,
  allowedZones,
} from './cluster-capacity.js';

const NONE: Resources = [0, 0, 0];
const NO_VICTIMS: ReadonlySet<EvictedUnit> = new Set();

/** A place for the next task: a machine, its score, and whom it would preempt there. */
interface Option extends WeighedNode {
  readonly victims: readonly EvictedUnit[];
  readonly free: boolean;
}

/** Machines that a job's types, spot and zones allow, in order. */
interface Candidates {
  readonly list: readonly NodeState[];
  /** By a machine's index: whether it is one of them. */
  readonly allowed: Uint8Array;
  /** By level, those that have CPUs left. Shared: on a full fleet they are few, and hundreds of jobs look for them. */
  readonly withCpus: NodesWithCpus[];
}
interface NodesWithCpus {
  readonly list: readonly NodeState[];
  /** How many of the cycle's changes it includes. */
  readonly asOf: number;
}

/** What is searched for: places for `count` tasks of a job at once. */
interface SearchRequest {
  readonly job: Job;
  readonly team: TeamState;
  readonly count: number;
  /** Of one task. */
  readonly need: Resources;
  /** Evicted tasks of an urgency under this may be preempted, as far as an upper bound goes. */
  readonly below: number;
}

/** The places of one group of tasks, found one after the other: each takes what the ones before it left. */
class GroupPlacement {
  /** What the group's tasks placed so far take, by machine. */
  private readonly used = new Map<NodeState, Resources>();
  private readonly victims = new Set<EvictedUnit>();
  private readonly overdue: boolean;
  private readonly guards: readonly CoLocatedDemand[];

  constructor(
    private readonly capacity: ClusterCapacity,
    private readonly request: SearchRequest,
    private readonly level: SearchLevel,
  ) {
    const { job } = request;
    this.overdue = capacity.overdue.has(job);
    this.guards = protectedDemand(capacity.coLocatedDemand, job, this.overdue);
  }

  /** The place on a machine as things stand; null: there is none at this level. */
  weigh(n: NodeState): Option | null {
    const { capacity, level, victims } = this;
    const { job, need } = this.request;
    if (isReservedAgainst(n, job) || !this.isReachable(n)) return null;
    const mine = this.used.get(n) ?? NONE;
    const left: Resources = [n.free[0] - mine[0], n.free[1] - mine[1], n.free[2] - mine[2]];
    const after: Resources = [left[0] - need[0], left[1] - need[1], left[2] - need[2]];
    if (strandsGpus(this.guards, job, n.view.total, n.idle, after, this.overdue)) return null;
    const demand = capacity.coLocatedDemand;
    if (fits(need, left)) return { n, score: score(demand, job, n, after), victims: [], free: true };
    if (level === 0) return null;
    add(left, n.leaving);
    for (const v of victims)
      for (const m of v.members) if (m.machine === n.view.id) add(left, resourcesOf(v.job.spec));
    if (fits(need, left))
      return { n, score: PROMISED_PENALTY + score(demand, job, n, left), victims: [], free: false };
    if (level === 1) return null;
    const more = this.victimsOn(n, left);
    if (more === null) return null;
    return { n, score: preemptionPenalty(more) + score(demand, job, n, left), victims: more, free: false };
  }

  /** All of the group's places among `list`; null: not all of them fit. */
  placeAll(list: readonly NodeState[]): PlacementChoice | null {
    const { count, job, need } = this.request;
    const options: Option[] = [];
    for (const n of list) {
      const option = this.weigh(n);
      if (option !== null) options.push(option);
    }
    const current: (Option | null)[] = options;
    const indexOf = count > 1 ? new Map(options.map((o, i) => [o.n, i])) : null;
    const byZone = new Map(this.capacity.zonesHeld.get(job) ?? []);
    const machines: NodeState[] = [];
    let free = true;
    for (let i = 0; i < count; i++) {
      const best = this.best(current, byZone);
      if (best === null) return null;
      machines.push(best.n);
      free &&= best.free;
      for (const v of best.victims) this.victims.add(v);
      if (i + 1 === count) break;
      const mine = this.used.get(best.n);
      if (mine) add(mine, need);
      else this.used.set(best.n, [...need]);
      byZone.set(best.n.view.zone, (byZone.get(best.n.view.zone) ?? 0) + 1);
      this.weighAgain(best, current, indexOf);
    }
    return { machines, victims: this.victims, free };
  }

  /** Whether the machine could hold one task, were all gone that may go at this level: most machines end here. */
  private isReachable(n: NodeState): boolean {
    const { need, below } = this.request;
    const { level } = this;
    for (let i = 0; i < 3; i++) {
      const most = level === 0 ? n.free[i]! : reachableAmount(n, level === 1 ? 0 : below, i);
      if (need[i]! > most + EPSILON) return false;
    }
    return true;
  }

  /** Units to preempt on a machine beside those preempted already, so that one task fits on top of `have`; null: it can't. */
  private victimsOn(n: NodeState, have: Resources): EvictedUnit[] | null {
    const { capacity, victims } = this;
    const { job, team, need } = this.request;
    const options: EvictedUnit[] = [];
    for (const u of capacity.evictedOn(n))
      if (!victims.has(u) && mayPreempt(capacity, job, team, need, u)) options.push(u);
    options.sort(
      (a, b) =>
        a.job.spec.urgency - b.job.spec.urgency ||
        (a.team === b.team ? 0 : capacity.share(b.team) - capacity.share(a.team)) ||
        a.loss - b.loss,
    );
    const sum: Resources = [...have];
    const chosen: EvictedUnit[] = [];
    for (const u of options) {
      if (fits(need, sum)) break;
      for (const m of u.members) if (m.machine === n.view.id) add(sum, resourcesOf(u.job.spec));
      chosen.push(u);
    }
    return fits(need, sum) ? chosen : null;
  }

  /** The first of the options with the lowest score whose zone may take one more of the job's tasks. */
  private best(options: readonly (Option | null)[], byZone: ReadonlyMap<string, number>): Option | null {
    const { spread, tasks } = this.request.job.spec;
    const zoneCap = spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
    let best: Option | null = null;
    for (const option of options) {
      if (option === null || (best !== null && option.score >= best.score)) continue;
      if ((byZone.get(option.n.view.zone) ?? 0) < zoneCap) best = option;
    }
    return best;
  }

  /** Only the machine taken, and those that its victims leave, need weighing again. */
  private weighAgain(
    taken: Option,
    current: (Option | null)[],
    indexOf: ReadonlyMap<NodeState, number> | null,
  ): void {
    const again = (n: NodeState): void => {
      const i = indexOf?.get(n);
      if (i !== undefined) current[i] = this.weigh(n);
    };
    again(taken.n);
    for (const v of taken.victims)
      for (const m of v.members) {
        const n = this.capacity.nodes.get(m.machine);
        if (n && n !== taken.n) again(n);
      }
  }
}

/** The searches of one cycle, with what they share. */
class CycleSearch {
  /** Shared by all jobs that allow the same. */
  private readonly candidateLists = new Map<string, Candidates>();
  /**
   * What the machines are worth to a job's next task: of an array's tasks each takes one machine's capacity, and all the
   * others are worth what they were. By job and level, for tasks that preempt nobody.
   */
  private readonly rankings = new Map<Job, NodeRanking<Option>[]>();

  constructor(private readonly capacity: ClusterCapacity) {}

  search(job: Job, team: TeamState, count: number, levels: readonly SearchLevel[]): PlacementChoice | null {
    const zones = allowedZones(this.capacity, this.capacity.zones, job);
    if (zones.length === 0) return null;
    const need = resourcesOf(job.spec);
    const below = preemptibleBelow(this.capacity, job, team, need);
    const request: SearchRequest = { job, team, count, need, below };
    const one = job.spec.oneZone;
    const groups = (one ? zones.map((z) => [z]) : [zones]).map((group) => {
      const nodes = this.candidates(job, group);
      let known: readonly [number, number, number] | null = null;
      return { nodes, slots: () => (known ??= slotBounds(need, below, nodes.list)) };
    });
    for (const level of levels) {
      const found: ZoneChoice[] = [];
      for (const { nodes, slots } of groups) {
        const ranked = count === 1 && level < 2 && this.hasStableCandidates(job);
        if (!ranked && (slots()[2] < count || slots()[level] < count)) continue;
        const choice = ranked
          ? this.bestRanked(request, level, nodes)
          : new GroupPlacement(this.capacity, request, level).placeAll(nodes.list);
        if (choice !== null) found.push({ choice, slots: one ? slots()[2] : 0 });
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
      const list = [...this.capacity.nodes.values()].filter(
        (n) =>
          n.view.open &&
          zones.includes(n.view.zone) &&
          (types === null || types.includes(n.view.type)) &&
          (!n.view.spot || spot),
      );
      const allowed = new Uint8Array(this.capacity.nodes.size);
      for (const n of list) allowed[n.index] = 1;
      this.candidateLists.set(key, (shared = { list, allowed, withCpus: [] }));
    }
    const avoided = this.capacity.avoid(job);
    return avoided === null
      ? shared
      : { ...shared, list: shared.list.filter((n) => !avoided.has(n.view.id)) };
  }

  /** Whether the machines that a job may use are the same for each of its tasks. */
  private hasStableCandidates(job: Job): boolean {
    const { spec } = job;
    const { capacity } = this;
    return !spec.spread && !spec.oneZone && capacity.avoid(job) === null && !capacity.overdue.has(job);
  }

  private bestRanked(request: SearchRequest, level: SearchLevel, nodes: Candidates): PlacementChoice | null {
    const best = this.rankingOf(request, level, nodes).best();
    return best === null ? null : { machines: [best.n], victims: NO_VICTIMS, free: best.free };
  }

  private rankingOf(request: SearchRequest, level: SearchLevel, nodes: Candidates): NodeRanking<Option> {
    const { job } = request;
    let byLevel = this.rankings.get(job);
    if (!byLevel) this.rankings.set(job, (byLevel = []));
    const known = byLevel[level];
    if (known !== undefined) return known;
    const first =
      job.spec.cpus > EPSILON
        ? this.withCpus(nodes, level)
        : { list: nodes.list, asOf: this.capacity.changedNodes.length };
    const placement = new GroupPlacement(this.capacity, request, level);
    return (byLevel[level] = new NodeRanking(first, nodes.allowed, this.capacity.changedNodes, (n) =>
      placement.weigh(n),
    ));
  }

  /** Machines with CPUs left at a level below preempting: free ones only become fewer, and others are marked as changed. */
  private withCpus(nodes: Candidates, level: SearchLevel): NodesWithCpus {
    return (nodes.withCpus[level] ??= {
      list: nodes.list.filter(
        (n) => reachableAmount(n, 0, 0) > EPSILON && (level > 0 || n.free[0] > EPSILON),
      ),
      asOf: this.capacity.changedNodes.length,
    });
  }
}

/** The search of one cycle over `capacity`. */
export const placementSearch = (capacity: ClusterCapacity): PlacementSearch => {
  const cycle = new CycleSearch(capacity);
  return (job, team, count, levels) => cycle.search(job, team, count, levels);
};
