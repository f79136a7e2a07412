/**
 * The choice of machines in its plainest form: every machine is looked at for every task. `place.ts` must
 * choose the same; this one is only there to compare it with.
 */
import type { Job } from '../../src/jobs/model.js';
import { add, fits, type Room, room } from '../../src/scheduler/model.js';
import {
  type Choice,
  displacing,
  type Evicted,
  type Finder,
  type Floor,
  guardsOf,
  isKeptFrom,
  mayDisplace,
  type NodeState,
  outranked,
  PROMISED,
  score,
  slotsIn,
  strands,
  type TeamState,
  tightestZone,
  type ZoneChoice,
  zonesAllowed,
} from '../../src/scheduler/state.js';

const leftBy = (units: Iterable<Evicted>, n: NodeState, have: Room): Room => {
  const got: Room = [...have];
  for (const u of units) for (const m of u.members) if (m.machine === n.view.id) add(got, room(u.job.spec));
  return got;
};

const allows = (floor: Floor, job: Job, zones: readonly string[], n: NodeState): boolean => {
  const { types, spot } = job.spec;
  const v = n.view;
  if (!v.open || !zones.includes(v.zone) || (types !== null && !types.includes(v.type))) return false;
  return !(v.spot && !spot) && !floor.avoid(job)?.has(v.id);
};

const choose = (
  floor: Floor,
  job: Job,
  team: TeamState,
  count: number,
  zones: readonly string[],
  level: number,
): Choice | null => {
  const need = room(job.spec);
  const taken: NodeState[] = [];
  const victims = new Set<Evicted>();
  let allFree = true;
  while (taken.length < count) {
    let best: { n: NodeState; score: number; out: Evicted[]; free: boolean } | null = null;
    for (const n of floor.nodes.values()) {
      const v = n.view;
      if (!allows(floor, job, zones, n) || isKeptFrom(n, job)) continue;
      const there =
        (floor.zonesHeld.get(job)?.get(v.zone) ?? 0) + taken.filter((x) => x.view.zone === v.zone).length;
      if (job.spec.spread && there >= Math.ceil(job.spec.tasks / 2)) continue;
      const left: Room = [...n.free];
      add(left, need, -taken.filter((x) => x === n).length);
      const after: Room = [...left];
      add(after, need, -1);
      if (
        strands(
          guardsOf(floor.companions, job, floor.overdue.has(job)),
          job,
          v.total,
          n.surplus,
          after,
          floor.overdue.has(job),
        )
      )
        continue;
      const promised = leftBy(victims, n, left);
      add(promised, n.leaving);
      const out: Evicted[] = [];
      let s: number;
      const free = fits(need, left);
      if (free) s = score(floor.companions, job, n, after);
      else if (level >= 1 && fits(need, promised)) s = PROMISED + score(floor.companions, job, n, promised);
      else if (level >= 2) {
        const order = [...floor.evictedOn(n)]
          .filter((u) => !victims.has(u) && mayDisplace(floor, job, team, need, u))
          .sort(
            (a, b) =>
              a.job.spec.urgency - b.job.spec.urgency ||
              floor.share(b.team) - floor.share(a.team) ||
              a.loss - b.loss,
          );
        for (const u of order) if (!fits(need, leftBy(out, n, promised))) out.push(u);
        if (!fits(need, leftBy(out, n, promised))) continue;
        s = displacing(out) + score(floor.companions, job, n, promised);
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
  (floor: Floor): Finder =>
  (job, team, count, levels) => {
    const all = [...new Set([...floor.nodes.values()].map((n) => n.view.zone))].sort();
    const zones = zonesAllowed(floor, all, job);
    const groups = job.spec.oneZone ? zones.map((z) => [z]) : [zones];
    const need = room(job.spec);
    for (const level of levels) {
      const found: ZoneChoice[] = [];
      for (const g of groups) {
        const choice = choose(floor, job, team, count, g, level);
        const there = [...floor.nodes.values()].filter((n) => allows(floor, job, g, n));
        const slots = slotsIn(need, outranked(floor, job, team, need), there)[2];
        if (choice !== null) found.push({ choice, slots });
      }
      if (found.length > 0) return tightestZone(found);
    }
    return null;
  };
