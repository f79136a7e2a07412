/**
 * Reference implementation of the placement search, without optimisations: every machine is scored for every task. A property
 * test checks that `src/scheduler/placement-search.ts` chooses the same.
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
  isUnavailable,
  mayPreempt,
  type MachineState,
  preemptibleBelow,
  TERMINATING_PENALTY,
  placementScore,
  slotBounds,
  strandsGpus,
  type TeamState,
  tightestZone,
  type ZoneChoice,
  allowedZones,
} from '../../src/scheduler/cluster-capacity.js';

/** Returns `available` plus the resources of the units' members on a machine. */
const withFreedBy = (
  units: Iterable<EvictedUnit>,
  machine: MachineState,
  available: Resources,
): Resources => {
  const sum: Resources = [...available];
  for (const unit of units)
    for (const member of unit.members)
      if (member.machine === machine.view.id) add(sum, resourcesOf(unit.job.spec));
  return sum;
};

/** Whether the job may use the machine. */
const mayUse = (
  capacity: ClusterCapacity,
  job: Job,
  zones: readonly string[],
  machine: MachineState,
): boolean => {
  const { types, spot } = job.spec;
  const machineView = machine.view;
  if (
    !machineView.open ||
    !zones.includes(machineView.zone) ||
    (types !== null && !types.includes(machineView.type))
  )
    return false;
  return !(machineView.spot && !spot) && !capacity.avoid(job)?.has(machineView.id);
};

/** Chooses machines for `count` tasks in the zones at one level; null if they don't all fit. */
const choose = (
  capacity: ClusterCapacity,
  job: Job,
  team: TeamState,
  count: number,
  zones: readonly string[],
  level: number,
): PlacementChoice | null => {
  const need = resourcesOf(job.spec);
  const chosen: MachineState[] = [];
  const victims = new Set<EvictedUnit>();
  let allFree = true;
  while (chosen.length < count) {
    let best: { machine: MachineState; score: number; newVictims: EvictedUnit[]; free: boolean } | null =
      null;
    for (const machine of capacity.machines.values()) {
      const machineView = machine.view;
      if (!mayUse(capacity, job, zones, machine) || isUnavailable(machine, job)) continue;
      if (chosen.filter((other) => other === machine).length >= machine.taskSlots) continue;
      const tasksInZone =
        (capacity.zonesHeld.get(job)?.get(machineView.zone) ?? 0) +
        chosen.filter((other) => other.view.zone === machineView.zone).length;
      if (job.spec.spread && tasksInZone >= Math.ceil(job.spec.tasks / 2)) continue;
      const available: Resources = [...machine.free];
      add(available, need, -chosen.filter((other) => other === machine).length);
      const remaining: Resources = [...available];
      add(remaining, need, -1);
      if (
        strandsGpus(
          protectedDemand(capacity.coLocatedDemand, job, capacity.overdue.has(job)),
          job,
          machineView.total,
          machine.idle,
          remaining,
          capacity.overdue.has(job),
        )
      )
        continue;
      const withTerminating = withFreedBy(victims, machine, available);
      add(withTerminating, machine.terminating);
      const newVictims: EvictedUnit[] = [];
      let machineScore: number;
      const free = fits(need, available);
      if (free) machineScore = placementScore(capacity.coLocatedDemand, job, machine, remaining);
      else if (level >= 1 && fits(need, withTerminating))
        machineScore =
          TERMINATING_PENALTY + placementScore(capacity.coLocatedDemand, job, machine, withTerminating);
      else if (level >= 2) {
        const options = [...capacity.evictedOn(machine)]
          .filter((unit) => !victims.has(unit) && mayPreempt(capacity, job, team, need, unit))
          .sort(
            (a, b) =>
              a.job.spec.urgency - b.job.spec.urgency ||
              capacity.share(b.team) - capacity.share(a.team) ||
              a.loss - b.loss,
          );
        for (const unit of options)
          if (!fits(need, withFreedBy(newVictims, machine, withTerminating))) newVictims.push(unit);
        if (!fits(need, withFreedBy(newVictims, machine, withTerminating))) continue;
        machineScore =
          preemptionPenalty(newVictims) +
          placementScore(capacity.coLocatedDemand, job, machine, withTerminating);
      } else continue;
      if (best === null || machineScore < best.score)
        best = { machine, score: machineScore, newVictims, free };
    }
    if (best === null) return null;
    for (const unit of best.newVictims) victims.add(unit);
    chosen.push(best.machine);
    allFree &&= best.free;
  }
  return { machines: chosen, victims, free: allFree };
};

/** Returns the plain placement search for one cycle over `capacity`. */
export const plainPlacementSearch =
  (capacity: ClusterCapacity): PlacementSearch =>
  (job, team, count, levels) => {
    const all = [...new Set([...capacity.machines.values()].map((machine) => machine.view.zone))].sort();
    const zones = allowedZones(capacity, all, job);
    const groups = job.spec.oneZone ? zones.map((zone) => [zone]) : [zones];
    const need = resourcesOf(job.spec);
    for (const level of levels) {
      const found: ZoneChoice[] = [];
      for (const group of groups) {
        const choice = choose(capacity, job, team, count, group, level);
        const candidates = [...capacity.machines.values()].filter((machine) =>
          mayUse(capacity, job, group, machine),
        );
        const slots = slotBounds(need, preemptibleBelow(capacity, job, team, need), candidates)[2];
        if (choice !== null) found.push({ choice, slots });
      }
      if (found.length > 0) return tightestZone(found);
    }
    return null;
  };
