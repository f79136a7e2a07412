/**
 * Room gathered for a gang that has been passed over and finds none: the zone that has the most places for it now keeps
 * them from work that is no more urgent, instead of letting smaller gangs fill them one by one, and less urgent work that
 * would soon be stopped again. What ends before the gang could begin, though its estimate be wrong by half, may use them.
 * Made anew at each cycle from what is there, for one gang at a time; nothing of it is durable.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import { type PlacedTask, type Resources, resourcesOf, countFitting } from './model.js';
import {
  type ClusterCapacity,
  type NodeState,
  preemptibleBelow,
  reachableAmount,
  type TeamState,
  allowedZones,
} from './cluster-capacity.js';

/** Places for `job` on a machine, were everything displaced that it may displace. */
const placesOn = (n: NodeState, need: Resources, below: number): number =>
  Math.max(
    0,
    countFitting(need, [
      reachableAmount(n, below, 0),
      reachableAmount(n, below, 1),
      reachableAmount(n, below, 2),
    ]),
  );

/** Time until so many more places fall free, as far as the estimates of what holds them tell. */
const waitFor = (
  placedTasks: readonly PlacedTask[],
  machines: ReadonlySet<string>,
  job: Job,
  places: number,
): Micros => {
  const left: number[] = [];
  for (const h of placedTasks)
    if (h.job.spec.urgency >= job.spec.urgency && machines.has(h.machine)) left.push(h.left);
  left.sort((a, b) => a - b);
  return (left[places - 1] ?? 0) as Micros;
};

/** Keeps machines for `job`, all of whose tasks must begin at once; says whether it did. */
export const reserve = (
  capacity: ClusterCapacity,
  placedTasks: readonly PlacedTask[],
  job: Job,
  team: TeamState,
): boolean => {
  const { types, spot, tasks, oneZone } = job.spec;
  const need = resourcesOf(job.spec);
  const below = preemptibleBelow(capacity, job, team, need);
  const avoided = capacity.avoid(job);
  const allowed = new Set(allowedZones(capacity, [...capacity.zones], job));
  const groups = new Map<string, { places: number; most: number; machines: NodeState[] }>();
  for (const n of capacity.nodes.values()) {
    const v = n.view;
    if (!v.open || !allowed.has(v.zone) || (v.spot && !spot) || avoided?.has(v.id)) continue;
    if (types !== null && !types.includes(v.type)) continue;
    const name = oneZone ? v.zone : '';
    let g = groups.get(name);
    if (!g) groups.set(name, (g = { places: 0, most: 0, machines: [] }));
    g.most += countFitting(need, v.total);
    g.places += placesOn(n, need, below);
    g.machines.push(n);
  }
  let best: { places: number; most: number; machines: NodeState[] } | null = null;
  for (const g of groups.values()) if (g.most >= tasks && g.places > (best?.places ?? 0)) best = g;
  // With places for all, it is kept back by something else.
  if (best === null || best.places >= tasks) return false;
  const names = new Set(best.machines.map((n) => n.view.id));
  const until = waitFor(placedTasks, names, job, tasks - best.places);
  for (const n of best.machines) {
    if (placesOn(n, need, below) === 0) continue;
    n.reservation = { job, until };
    capacity.markChanged(n);
  }
  return true;
};
