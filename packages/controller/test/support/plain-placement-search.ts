/**
 * The choice of machines in its plainest form: every machine is looked at for every task. `placement-search.ts` must
 * choose the same; this one is only there to compare it with.
 */
import type { Job } from '../../src/jobs/model.js';
import { add, fits, type Resources, resourcesOf } from '../../src/scheduler/model.js';
import {
  type PlacementChoice,
  preemptionPenalty,
  type EvictedUnit,
  type PlacementSearch,
  type ClusterCapacity,
  protectedDemand,
  isReservedAgainst,
  mayPreempt,
  type NodeState,
  preemptibleBelow,
  PROMISED_PENALTY,
  score,
  slotBounds,
  strandsGpus,
  type TeamState,
  tightestZone,
  type ZoneChoice,
  allowedZones,
} from '../../src/scheduler/cluster-capacity.js';

const leftBy = (units: Iterable<EvictedUnit>, n: NodeState, have: Resources): Resources => {
  const got: Resources = [...have];
  for (const u of units)
    for (const m of u.members) if (m.machine === n.view.id) add(got, resourcesOf(u.job.spec));
  return got;
};

const allows = (capacity: ClusterCapacity, job: Job, zones: readonly string[], n: NodeState): boolean => {
  const { types, spot } = job.spec;
  const v = n.view;
  if (!v.open || !zones.includes(v.zone) || (types !== null && !types.includes(v.type))) return false;
  return !(v.spot && !spot) && !capacity.avoid(job)?.has(v.id);
};

const choose = (
  capacity: ClusterCapacity,
  job: Job,
  team: TeamState,
  count: number,
  zones: readonly string[],
  level: number,
): PlacementChoice | null => {
  const need = resourcesOf(job.spec);
  const taken: NodeState[] = [];
  const victims = new Set<EvictedUnit>();
  let allFree = true;
  while (taken.length < count) {
    let best: { n: NodeState; score: number; out: EvictedUnit[]; free: boolean } | null = null;
    for (const n of capacity.nodes.values()) {
      const v = n.view;
      if (!allows(capacity, job, zones, n) || isReservedAgainst(n, job)) continue;
      const there =
        (capacity.zonesHeld.get(job)?.get(v.zone) ?? 0) + taken.filter((x) => x.view.zone === v.zone).length;
      if (job.spec.spread && there >= Math.ceil(job.spec.tasks / 2)) continue;
      const left: Resources = [...n.free];
      add(left, need, -taken.filter((x) => x === n).length);
      const after: Resources = [...left];
      add(after, need, -1);
      if (
        strandsGpus(
          protectedDemand(capacity.coLocatedDemand, job, capacity.overdue.has(job)),
          job,
          v.total,
          n.idle,
          after,
          capacity.overdue.has(job),
        )
      )
        continue;
      const promised = leftBy(victims, n, left);
      add(promised, n.leaving);
      const out: EvictedUnit[] = [];
      let s: number;
      const free = fits(need, left);
      if (free) s = score(capacity.coLocatedDemand, job, n, after);
      else if (level >= 1 && fits(need, promised))
        s = PROMISED_PENALTY + score(capacity.coLocatedDemand, job, n, promised);
      else if (level >= 2) {
        const order = [...capacity.evictedOn(n)]
          .filter((u) => !victims.has(u) && mayPreempt(capacity, job, team, need, u))
          .sort(
            (a, b) =>
              a.job.spec.urgency - b.job.spec.urgency ||
              capacity.share(b.team) - capacity.share(a.team) ||
              a.loss - b.loss,
          );
        for (const u of order) if (!fits(need, leftBy(out, n, promised))) out.push(u);
        if (!fits(need, leftBy(out, n, promised))) continue;
        s = preemptionPenalty(out) + score(capacity.coLocatedDemand, job, n, promised);
      } else continue;
      if (best === null || s < best.score) best = { n, score: s, out, free };
    }
    if (best === null) return null;
    for (const u of best.out) victims.add(u);
    taken.push(best.n);
    allFree &&= best.free;
  }
  return { machines: taken, victims, free: allFree };
};

export const plainFinder =
  (capacity: ClusterCapacity): PlacementSearch =>
  (job, team, count, levels) => {
    const all = [...new Set([...capacity.nodes.values()].map((n) => n.view.zone))].sort();
    const zones = allowedZones(capacity, all, job);
    const groups = job.spec.oneZone ? zones.map((z) => [z]) : [zones];
    const need = resourcesOf(job.spec);
    for (const level of levels) {
      const found: ZoneChoice[] = [];
      for (const g of groups) {
        const choice = choose(capacity, job, team, count, g, level);
        const there = [...capacity.nodes.values()].filter((n) => allows(capacity, job, g, n));
        const slots = slotBounds(need, preemptibleBelow(capacity, job, team, need), there)[2];
        if (choice !== null) found.push({ choice, slots });
      }
      if (found.length > 0) return tightestZone(found);
    }
    return null;
  };
