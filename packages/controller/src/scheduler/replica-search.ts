/**
 * Where a missing replica of a GPU service goes: every machine that may take it is weighed, on free room, on room that is
 * being left, or by stopping others, as src/lending says. Everything else goes as placement-search.ts has it. An exception to the
 * cycle's levels (docs/design.md): free room without the weights can be the worse place by a minute.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import {
  servingCost,
  endsBeforeFetch,
  fetchTime,
  type ImageStatus,
  leaveTime,
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
  isReservedAgainst,
  type SearchLevel,
  type NodeState,
  score,
  type TeamState,
  allowedZones,
} from './cluster-capacity.js';

/** A machine's fit weighs little against seconds: it decides between places that are equal otherwise. */
const FIT_WEIGHT = 0.5;
/** Room on its way counts as left so much later. */
const LEAVING_DELAY = STOP_DELAY;

const NOBODY: ReadonlySet<EvictedUnit> = new Set();

/** `stopped`: how many tasks of a job this cycle stops for services so far. */
export const replicaSearch = (
  capacity: ClusterCapacity,
  plain: PlacementSearch,
  lending: LendingView | undefined,
  stopped: ReadonlyMap<Job, number>,
): PlacementSearch => {
  if (lending === undefined) return plain;

  interface Weighed {
    readonly victim: Victim;
    readonly reachable: boolean;
    /** Lost by all members, GPU-microseconds. */
    readonly lost: number;
    readonly leave: Micros;
  }
  /** Images that this cycle's own replicas will be fetching. */
  const begun = new Map<NodeState, Set<string>>();
  const imageOn = (job: Job, n: NodeState): ImageStatus => {
    const i = lending.imageStatus(job, n.view);
    const more = begun.get(n);
    if (more === undefined || i.present) return i;
    const mine = more.has(job.spec.image);
    return {
      ...i,
      fetchedFor: i.fetchedFor ?? (mine ? (0 as Micros) : null),
      others: i.others + more.size - (mine ? 1 : 0),
    };
  };
  const known = new Map<EvictedUnit, Weighed>();
  const weigh = (u: EvictedUnit): Weighed => {
    let w = known.get(u);
    if (!w) {
      const all = u.members.map((m) => lending.victim(m));
      // A gang ends with its first member's end and loses with its last.
      const victim = all.reduce((a, b) => (b.ran > a.ran ? b : a));
      w = {
        victim,
        reachable:
          (u.job.spec.shape !== 'gang' || u.members.length === u.job.spec.tasks) &&
          u.members.every((m) => lending.reachable(m.machine)),
        lost: all.reduce((n, v) => n + lostWork(v) * Math.max(u.need[1], EPSILON), 0),
        leave: leaveTime(victim),
      };
      known.set(u, w);
    }
    return w;
  };

  /** `others`: victims of the same replica: each alone may leave its team its guarantee, and both together not. */
  const allowed = (
    job: Job,
    team: TeamState,
    need: Resources,
    fetch: Micros,
    u: EvictedUnit,
    others: readonly EvictedUnit[] = [],
  ): boolean => {
    const { spec } = u.job;
    const stays: Resources = [...u.team.staying];
    let tasks = u.members.length;
    for (const o of others) {
      if (o.team === u.team) add(stays, [-o.size[0], -o.size[1], -o.size[2]]);
      if (o.job === u.job) tasks += o.members.length;
    }
    // What computes without GPUs beside them goes by the cycle's own rule.
    if (
      !mayBorrowFrom({
        sameTeam: u.team === team,
        lower: spec.urgency < job.spec.urgency,
        entitlement: entitlementOf(team.held, need, team.settings.guarantee),
        standing: standingOf(stays, u.size, u.team.settings.guarantee),
      })
    )
      return false;
    const taken = u.job.preemptedForServices + (stopped.get(u.job) ?? 0);
    const bound = { gang: spec.shape === 'gang', tasks: spec.tasks, taken };
    if (spec.gpus > 0 && !withinPreemptionBudget(bound, tasks)) return false;
    const w = weigh(u);
    return w.reachable && !endsBeforeFetch(w.victim, fetch);
  };

  interface Place {
    readonly n: NodeState;
    readonly cost: number;
    readonly victims: readonly EvictedUnit[];
    readonly free: boolean;
  }
  const placeOn = (job: Job, team: TeamState, n: NodeState, level: SearchLevel): Place | null => {
    const need = resourcesOf(job.spec);
    const { total } = n.view;
    if (need[0] > total[0] + EPSILON || need[1] > total[1] + EPSILON || need[2] > total[2] + EPSILON)
      return null;
    const fetch = fetchTime(imageOn(job, n));
    const due = lending.due(job);
    const after: Resources = [n.free[0] - need[0], n.free[1] - need[1], n.free[2] - need[2]];
    const cost = (leave: number, lost: number, left: Resources): number =>
      servingCost({ leave: leave as Micros, fetch, lost }, due) +
      FIT_WEIGHT * score(capacity.coLocatedDemand, job, n, left);
    if (fits(need, n.free)) return { n, cost: cost(0, 0, after), victims: [], free: true };
    if (level === 0) return null;
    const have: Resources = [...n.free];
    add(have, n.leaving);
    if (fits(need, have)) return { n, cost: cost(LEAVING_DELAY, 0, have), victims: [], free: false };
    if (level === 1) return null;
    const options = capacity.evictedOn(n).filter((u) => allowed(job, team, need, fetch, u));
    if (options.length === 0) return null;
    options.sort(
      (a, b) =>
        a.job.spec.urgency - b.job.spec.urgency ||
        // Whoever runs without GPUs is no help where GPUs are short, and the other way round.
        weigh(a).lost - weigh(b).lost,
    );
    const victims: EvictedUnit[] = [];
    let lost = 0;
    let leave = 0;
    for (const u of options) {
      if (fits(need, have)) break;
      if (!((have[1] < need[1] - EPSILON && u.need[1] > 0) || have[0] < need[0] || have[2] < need[2]))
        continue;
      if (victims.length > 0 && !allowed(job, team, need, fetch, u, victims)) continue;
      for (const m of u.members) if (m.machine === n.view.id) add(have, u.need);
      victims.push(u);
      lost += weigh(u).lost;
      leave = Math.max(leave, weigh(u).leave);
    }
    if (!fits(need, have)) return null;
    return { n, cost: cost(STOP_DELAY + leave, lost, have), victims, free: false };
  };

  const replica = (job: Job, team: TeamState, levels: readonly SearchLevel[]): PlacementChoice | null => {
    const all = [...new Set([...capacity.nodes.values()].map((n) => n.view.zone))].sort();
    const zones = allowedZones(capacity, all, job);
    const { types, spot, spread, tasks } = job.spec;
    const held = capacity.zonesHeld.get(job);
    const cap = spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
    const open = new Set(zones.filter((z) => (held?.get(z) ?? 0) < cap));
    const avoided = capacity.avoid(job);
    const level = Math.max(...levels) as SearchLevel;
    let best: Place | null = null;
    for (const n of capacity.nodes.values()) {
      const v = n.view;
      if (!v.open || !open.has(v.zone) || (types !== null && !types.includes(v.type)) || (v.spot && !spot))
        continue;
      if (avoided?.has(v.id) || isReservedAgainst(n, job)) continue;
      const p = placeOn(job, team, n, level);
      if (p !== null && (best === null || p.cost < best.cost)) best = p;
    }
    if (best === null) return null;
    if (best.victims.length > 0) {
      const rented = lending.rental(job);
      if (rented !== null) {
        const way = rentalOption(rented.boot, rented.fetch, job.spec.gpus);
        if (servingCost(way, lending.due(job)) < best.cost) return null;
      }
    }
    const images = begun.get(best.n);
    if (images) images.add(job.spec.image);
    else begun.set(best.n, new Set([job.spec.image]));
    return {
      machines: [best.n],
      victims: best.victims.length === 0 ? NOBODY : new Set(best.victims),
      free: best.free,
    };
  };

  return (job, team, count, levels) =>
    mayBorrow(job.spec) ? replica(job, team, levels) : plain(job, team, count, levels);
};
