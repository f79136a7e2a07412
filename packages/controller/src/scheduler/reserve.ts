/**
 * Reserves machines for a starving gang that does not fit anywhere: in the zone with the most slots for the gang now, the
 * machines are withheld from work that is not more urgent. Otherwise smaller gangs would fill the slots one by one, and less
 * urgent work would start there only to be preempted soon. Work that finishes before the gang could begin, even if its estimate is
 * wrong by half, may use reserved machines. Reservations are made anew in each cycle, for one gang at a time, and are not
 * durable.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import { type PlacedTask, type Resources, resourcesOf, countFitting } from './model.js';
import {
  type ClusterCapacity,
  type MachineState,
  preemptibleBelow,
  freeableAmount,
  type TeamState,
  allowedZones,
} from './cluster-capacity.js';

/** Returns how many of the gang's tasks would fit on a machine if everything that the gang may preempt were preempted. */
const slotsOn = (machine: MachineState, need: Resources, belowUrgency: number): number =>
  Math.max(
    0,
    countFitting(need, [
      freeableAmount(machine, belowUrgency, 0),
      freeableAmount(machine, belowUrgency, 1),
      freeableAmount(machine, belowUrgency, 2),
    ]),
  );

/** Returns the estimated time until `slots` tasks that the job may not preempt have finished on the machines. */
const timeUntilFree = (
  placedTasks: readonly PlacedTask[],
  machines: ReadonlySet<string>,
  job: Job,
  slots: number,
): Micros => {
  const remaining: number[] = [];
  for (const placed of placedTasks)
    if (placed.job.spec.urgency >= job.spec.urgency && machines.has(placed.machine))
      remaining.push(placed.remaining);
  remaining.sort((a, b) => a - b);
  return (remaining[slots - 1] ?? 0) as Micros;
};

/** Reserves machines for `job`, a gang whose tasks must all begin at once. Returns whether machines were reserved. */
export const reserve = (
  capacity: ClusterCapacity,
  placedTasks: readonly PlacedTask[],
  job: Job,
  team: TeamState,
): boolean => {
  const { types, spot, tasks, oneZone } = job.spec;
  const need = resourcesOf(job.spec);
  const belowUrgency = preemptibleBelow(capacity, job, team, need);
  const avoided = capacity.avoid(job);
  const allowed = new Set(allowedZones(capacity, [...capacity.zones], job));
  const groups = new Map<string, { slots: number; maxSlots: number; machines: MachineState[] }>();
  for (const machine of capacity.machines.values()) {
    const machineView = machine.view;
    if (
      !machineView.open ||
      !allowed.has(machineView.zone) ||
      (machineView.spot && !spot) ||
      avoided?.has(machineView.id)
    )
      continue;
    if (types !== null && !types.includes(machineView.type)) continue;
    const groupName = oneZone ? machineView.zone : '';
    let group = groups.get(groupName);
    if (!group) groups.set(groupName, (group = { slots: 0, maxSlots: 0, machines: [] }));
    group.maxSlots += countFitting(need, machineView.total);
    group.slots += slotsOn(machine, need, belowUrgency);
    group.machines.push(machine);
  }
  let best: { slots: number; maxSlots: number; machines: MachineState[] } | null = null;
  for (const group of groups.values())
    if (group.maxSlots >= tasks && group.slots > (best?.slots ?? 0)) best = group;
  // With enough slots for all tasks, the gang is held up by something that a reservation does not change.
  if (best === null || best.slots >= tasks) return false;
  const machineIds = new Set(best.machines.map((machine) => machine.view.id));
  const until = timeUntilFree(placedTasks, machineIds, job, tasks - best.slots);
  for (const machine of best.machines) {
    if (slotsOn(machine, need, belowUrgency) === 0) continue;
    machine.reservation = { job, until };
    capacity.markChanged(machine);
  }
  return true;
};
