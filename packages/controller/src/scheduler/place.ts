/**
 * Where a gang or a task goes: on free room if it can, then on room that is being left, then by displacing;
 * a gang whole, and in one zone if it must. The choice is that of the plain search in
 * `test/support/plain-place.ts`; this one passes over what can't matter, since a cycle over thousands of
 * machines has a few milliseconds.
 */
import type { Job } from '../jobs/model.js';
import { add, EPSILON, fits, type Room, room } from './model.js';
import { NodeRanking, type WeighedNode } from './node-ranking.js';
import {
  type Choice,
  displacing,
  type Evicted,
  type Finder,
  type Floor,
  guardsOf,
  isKeptFrom,
  type Level,
  mayDisplace,
  type NodeState,
  outranked,
  PROMISED,
  reach,
  score,
  slotsIn,
  strands,
  type TeamState,
  tightestZone,
  type ZoneChoice,
  zonesAllowed,
} from './state.js';

const NONE: Room = [0, 0, 0];

interface Option extends WeighedNode {
  readonly victims: readonly Evicted[];
  readonly free: boolean;
}

/** Machines that a job's types, spot and zones allow, in order. */
interface Candidates {
  readonly list: readonly NodeState[];
  /** By a machine's index: whether it is one of them. */
  readonly allowed: Uint8Array;
  /** By level, those that have CPUs left. Shared: on a full fleet they are few, and hundreds of jobs look for them. */
  readonly roomy: Roomy[];
}
interface Roomy {
  readonly list: readonly NodeState[];
  /** How many of the cycle's changes it includes. */
  readonly asOf: number;
}

export const finder = (floor: Floor): Finder => {
  const { zones } = floor;

  /** Shared by all jobs that allow the same. */
  const lists = new Map<string, Candidates>();
  const candidates = (job: Job, at: readonly string[]): Candidates => {
    const { types, spot } = job.spec;
    const key = `${types?.join(',') ?? ''}|${spot}|${at.join(',')}`;
    let shared = lists.get(key);
    if (!shared) {
      const list = [...floor.nodes.values()].filter(
        (n) =>
          n.view.open &&
          at.includes(n.view.zone) &&
          (types === null || types.includes(n.view.type)) &&
          (!n.view.spot || spot),
      );
      const allowed = new Uint8Array(floor.nodes.size);
      for (const n of list) allowed[n.index] = 1;
      lists.set(key, (shared = { list, allowed, roomy: [] }));
    }
    const shunned = floor.avoid(job);
    return shunned === null
      ? shared
      : { ...shared, list: shared.list.filter((n) => !shunned.has(n.view.id)) };
  };

  /** Machines with CPUs left at a level below displacing: free ones only become fewer, and others are touched. */
  const roomyOf = (machinesOf: Candidates, level: Level): Roomy =>
    (machinesOf.roomy[level] ??= {
      list: machinesOf.list.filter((n) => reach(n, 0, 0) > EPSILON && (level > 0 || n.free[0] > EPSILON)),
      asOf: floor.touched.length,
    });

  /**
   * What the machines are worth to a job's next task: of an array's tasks each takes one machine's room, and all the
   * others are worth what they were. By job and level, for tasks that displace nobody.
   */
  const rankings = new Map<Job, NodeRanking<Option>[]>();
  const rankingOf = (
    job: Job,
    level: Level,
    machinesOf: Candidates,
    weigh: (n: NodeState) => Option | null,
  ): NodeRanking<Option> => {
    let mine = rankings.get(job);
    if (!mine) rankings.set(job, (mine = []));
    if (mine[level] !== undefined) return mine[level];
    const { list, asOf } =
      job.spec.cpus > EPSILON
        ? roomyOf(machinesOf, level)
        : { list: machinesOf.list, asOf: floor.touched.length };
    return (mine[level] = new NodeRanking({ list, asOf }, machinesOf.allowed, floor.touched, weigh));
  };
  /** Whether the machines that a job may use are the same for each of its tasks. */
  const ranks = (job: Job): boolean =>
    !job.spec.spread && !job.spec.oneZone && floor.avoid(job) === null && !floor.overdue.has(job);

  const victimsOn = (
    job: Job,
    team: TeamState,
    need: Room,
    n: NodeState,
    have: Room,
    taken: ReadonlySet<Evicted>,
  ): Evicted[] | null => {
    const options: Evicted[] = [];
    for (const u of floor.evictedOn(n))
      if (!taken.has(u) && mayDisplace(floor, job, team, need, u)) options.push(u);
    options.sort(
      (a, b) =>
        a.job.spec.urgency - b.job.spec.urgency ||
        (a.team === b.team ? 0 : floor.share(b.team) - floor.share(a.team)) ||
        a.loss - b.loss,
    );
    const got: Room = [...have];
    const out: Evicted[] = [];
    for (const u of options) {
      if (fits(need, got)) break;
      for (const m of u.members) if (m.machine === n.view.id) add(got, room(u.job.spec));
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
    level: Level,
    ranked: boolean,
  ): Choice | null => {
    const need = room(job.spec);
    const overdue = floor.overdue.has(job);
    const guards = guardsOf(floor.companions, job, overdue);
    const used = new Map<NodeState, Room>();
    const victims = new Set<Evicted>();
    /** The place on a machine as things stand, or null. */
    const weigh = (n: NodeState): Option | null => {
      if (isKeptFrom(n, job)) return null;
      for (let i = 0; i < 3; i++) {
        const most = level === 0 ? n.free[i]! : reach(n, level === 1 ? 0 : below, i);
        if (need[i]! > most + EPSILON) return null;
      }
      const mine = used.get(n) ?? NONE;
      const left: Room = [n.free[0] - mine[0], n.free[1] - mine[1], n.free[2] - mine[2]];
      const after: Room = [left[0] - need[0], left[1] - need[1], left[2] - need[2]];
      if (strands(guards, job, n.view.total, n.surplus, after, overdue)) return null;
      if (fits(need, left))
        return { n, score: score(floor.companions, job, n, after), victims: [], free: true };
      if (level === 0) return null;
      add(left, n.leaving);
      for (const v of victims)
        for (const m of v.members) if (m.machine === n.view.id) add(left, room(v.job.spec));
      if (fits(need, left))
        return { n, score: PROMISED + score(floor.companions, job, n, left), victims: [], free: false };
      if (level === 1) return null;
      const v = victimsOn(job, team, need, n, left, victims);
      if (v === null) return null;
      return { n, score: displacing(v) + score(floor.companions, job, n, left), victims: v, free: false };
    };

    const byZone = new Map(floor.zonesHeld.get(job) ?? []);
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
          const n = floor.nodes.get(m.machine);
          if (n && n !== b.n) again(n);
        }
    }
    return { machines, victims, free };
  };

  return (job, team, count, levels) => {
    const at = zonesAllowed(floor, zones, job);
    if (at.length === 0) return null;
    const need = room(job.spec);
    const below = outranked(floor, job, team, need);
    const one = job.spec.oneZone;
    const groups = (one ? at.map((z) => [z]) : [at]).map((g) => {
      const machinesOf = candidates(job, g);
      let known: readonly [number, number, number] | null = null;
      return { machinesOf, slots: () => (known ??= slotsIn(need, below, machinesOf.list)) };
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
