/**
 * Where a gang or a task goes: on free room if it can, then on room that is being left, then by displacing;
 * a gang whole, and in one zone if it must. The choice is that of the plain search in
 * `test/support/plain-place.ts`; this one passes over what can't matter, since a cycle over thousands of
 * machines has a few milliseconds.
 */
import type { Job } from '../jobs/model.js';
import { add, EPSILON, fits, type Resources, resourcesOf } from './model.js';
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

export const placementSearch = (capacity: ClusterCapacity): PlacementSearch => {
  const { zones } = capacity;

  /** Shared by all jobs that allow the same. */
  const lists = new Map<string, Candidates>();
  const candidates = (job: Job, at: readonly string[]): Candidates => {
    const { types, spot } = job.spec;
    const key = `${types?.join(',') ?? ''}|${spot}|${at.join(',')}`;
    let shared = lists.get(key);
    if (!shared) {
      const list = [...capacity.nodes.values()].filter(
        (n) =>
          n.view.open &&
          at.includes(n.view.zone) &&
          (types === null || types.includes(n.view.type)) &&
          (!n.view.spot || spot),
      );
      const allowed = new Uint8Array(capacity.nodes.size);
      for (const n of list) allowed[n.index] = 1;
      lists.set(key, (shared = { list, allowed, withCpus: [] }));
    }
    const avoided = capacity.avoid(job);
    return avoided === null
      ? shared
      : { ...shared, list: shared.list.filter((n) => !avoided.has(n.view.id)) };
  };

  /** Machines with CPUs left at a level below displacing: free ones only become fewer, and others are touched. */
  const roomyOf = (machinesOf: Candidates, level: SearchLevel): NodesWithCpus =>
    (machinesOf.withCpus[level] ??= {
      list: machinesOf.list.filter(
        (n) => reachableAmount(n, 0, 0) > EPSILON && (level > 0 || n.free[0] > EPSILON),
      ),
      asOf: capacity.changedNodes.length,
    });

  /**
   * What the machines are worth to a job's next task: of an array's tasks each takes one machine's room, and all the
   * others are worth what they were. By job and level, for tasks that displace nobody.
   */
  const rankings = new Map<Job, NodeRanking<Option>[]>();
  const rankingOf = (
    job: Job,
    level: SearchLevel,
    machinesOf: Candidates,
    weigh: (n: NodeState) => Option | null,
  ): NodeRanking<Option> => {
    let mine = rankings.get(job);
    if (!mine) rankings.set(job, (mine = []));
    if (mine[level] !== undefined) return mine[level];
    const { list, asOf } =
      job.spec.cpus > EPSILON
        ? roomyOf(machinesOf, level)
        : { list: machinesOf.list, asOf: capacity.changedNodes.length };
    return (mine[level] = new NodeRanking({ list, asOf }, machinesOf.allowed, capacity.changedNodes, weigh));
  };
  /** Whether the machines that a job may use are the same for each of its tasks. */
  const ranks = (job: Job): boolean =>
    !job.spec.spread && !job.spec.oneZone && capacity.avoid(job) === null && !capacity.overdue.has(job);

  const victimsOn = (
    job: Job,
    team: TeamState,
    need: Resources,
    n: NodeState,
    have: Resources,
    taken: ReadonlySet<EvictedUnit>,
  ): EvictedUnit[] | null => {
    const options: EvictedUnit[] = [];
    for (const u of capacity.evictedOn(n))
      if (!taken.has(u) && mayPreempt(capacity, job, team, need, u)) options.push(u);
    options.sort(
      (a, b) =>
        a.job.spec.urgency - b.job.spec.urgency ||
        (a.team === b.team ? 0 : capacity.share(b.team) - capacity.share(a.team)) ||
        a.loss - b.loss,
    );
    const got: Resources = [...have];
    const out: EvictedUnit[] = [];
    for (const u of options) {
      if (fits(need, got)) break;
      for (const m of u.members) if (m.machine === n.view.id) add(got, resourcesOf(u.job.spec));
      out.push(u);
    }
    return fits(need, got) ? out : null;
  };

  const choose = (
    job: Job,
    team: TeamState,
    count: number,
    below: number,
    machinesOf: Candidates,
    level: SearchLevel,
    ranked: boolean,
  ): PlacementChoice | null => {
    const need = resourcesOf(job.spec);
    const overdue = capacity.overdue.has(job);
    const guards = protectedDemand(capacity.coLocatedDemand, job, overdue);
    const used = new Map<NodeState, Resources>();
    const victims = new Set<EvictedUnit>();
    /** The place on a machine as things stand, or null. */
    const weigh = (n: NodeState): Option | null => {
      if (isReservedAgainst(n, job)) return null;
      for (let i = 0; i < 3; i++) {
        const most = level === 0 ? n.free[i]! : reachableAmount(n, level === 1 ? 0 : below, i);
        if (need[i]! > most + EPSILON) return null;
      }
      const mine = used.get(n) ?? NONE;
      const left: Resources = [n.free[0] - mine[0], n.free[1] - mine[1], n.free[2] - mine[2]];
      const after: Resources = [left[0] - need[0], left[1] - need[1], left[2] - need[2]];
      if (strandsGpus(guards, job, n.view.total, n.idle, after, overdue)) return null;
      if (fits(need, left))
        return { n, score: score(capacity.coLocatedDemand, job, n, after), victims: [], free: true };
      if (level === 0) return null;
      add(left, n.leaving);
      for (const v of victims)
        for (const m of v.members) if (m.machine === n.view.id) add(left, resourcesOf(v.job.spec));
      if (fits(need, left))
        return {
          n,
          score: PROMISED_PENALTY + score(capacity.coLocatedDemand, job, n, left),
          victims: [],
          free: false,
        };
      if (level === 1) return null;
      const v = victimsOn(job, team, need, n, left, victims);
      if (v === null) return null;
      return {
        n,
        score: preemptionPenalty(v) + score(capacity.coLocatedDemand, job, n, left),
        victims: v,
        free: false,
      };
    };

    const byZone = new Map(capacity.zonesHeld.get(job) ?? []);
    const zoneCap = job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
    const full = (zone: string): boolean => (byZone.get(zone) ?? 0) >= zoneCap;
    const best = (options: readonly (Option | null)[]): Option | null => {
      let b: Option | null = null;
      for (const o of options)
        if (o !== null && (b === null || o.score < b.score) && !full(o.n.view.zone)) b = o;
      return b;
    };

    if (ranked) {
      const b = rankingOf(job, level, machinesOf, weigh).best();
      return b === null ? null : { machines: [b.n], victims, free: b.free };
    }
    const options: Option[] = [];
    for (const n of machinesOf.list) {
      const o = weigh(n);
      if (o !== null) options.push(o);
    }
    // Only the machine taken, and those that its victims leave, need weighing again.
    const current: (Option | null)[] = options;
    const index = count > 1 ? new Map(options.map((o, i) => [o.n, i])) : null;
    const again = (n: NodeState): void => {
      const i = index?.get(n);
      if (i !== undefined) current[i] = weigh(n);
    };
    const machines: NodeState[] = [];
    let free = true;
    for (let i = 0; i < count; i++) {
      const b = best(current);
      if (b === null) return null;
      machines.push(b.n);
      free &&= b.free;
      for (const v of b.victims) victims.add(v);
      if (i + 1 === count) break;
      const mine = used.get(b.n);
      if (mine) add(mine, need);
      else used.set(b.n, [...need]);
      byZone.set(b.n.view.zone, (byZone.get(b.n.view.zone) ?? 0) + 1);
      again(b.n);
      for (const v of b.victims)
        for (const m of v.members) {
          const n = capacity.nodes.get(m.machine);
          if (n && n !== b.n) again(n);
        }
    }
    return { machines, victims, free };
  };

  return (job, team, count, levels) => {
    const at = allowedZones(capacity, zones, job);
    if (at.length === 0) return null;
    const need = resourcesOf(job.spec);
    const below = preemptibleBelow(capacity, job, team, need);
    const one = job.spec.oneZone;
    const groups = (one ? at.map((z) => [z]) : [at]).map((g) => {
      const machinesOf = candidates(job, g);
      let known: readonly [number, number, number] | null = null;
      return { machinesOf, slots: () => (known ??= slotBounds(need, below, machinesOf.list)) };
    });
    for (const level of levels) {
      const found: ZoneChoice[] = [];
      for (const { machinesOf, slots } of groups) {
        const ranked = count === 1 && level < 2 && ranks(job);
        if (!ranked && (slots()[2] < count || slots()[level] < count)) continue;
        const choice = choose(job, team, count, below, machinesOf, level, ranked);
        if (choice !== null) found.push({ choice, slots: one ? slots()[2] : 0 });
      }
      if (found.length > 0) return tightestZone(found);
    }
    return null;
  };
};
