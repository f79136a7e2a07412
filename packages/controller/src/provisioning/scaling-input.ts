/** What the scaling plan is made from: the capacity that is there or pending, and the demand in its order. */
import type { Micros } from '@lilacvalve/runtime/micros';
import { monotonicDayTime } from '../calendar/cutoff-tracking.js';
import { pressingCutoff } from '../calendar/slack.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import type { Resources } from '../scheduler/model.js';
import type { Machine } from '../workers/machine.js';
import type { WorkerRegistry } from '../workers/worker-registry.js';
import { bootKey, expectedShare, isOverdue, pendingCapacity, type PendingMachine } from './boot-tracker.js';
import { pendingMachine } from './machine-health.js';
import { type MachineType, offerKey } from './model.js';
import type { Bin, Demand } from './scaling-plan.js';

type MachineTypes = ReadonlyMap<string, MachineType>;

/** The room of an empty machine of the type. */
export const wholeRoom = (type: MachineType): Resources => [type.cpus, type.gpus, type.memGb];

/** Machines as the scaling plan sees them. */
export interface Capacity {
  /** Free room on machines that can be used, then pending machines as far as they count. */
  readonly bins: Bin[];
  /** How many pending machines are overdue, by `bootKey`. */
  readonly overdue: ReadonlyMap<string, number>;
  /** A machine that the cloud calls running has not been confirmed. */
  readonly anySilent: boolean;
}

interface Pending {
  readonly machine: Machine;
  readonly state: PendingMachine;
}

/** Capacity after a scheduling cycle that left `free` room on the machines. */
export const capacityOf = (
  registry: Pick<WorkerRegistry, 'machines' | 'isSchedulable'>,
  free: ReadonlyMap<string, Resources>,
  types: MachineTypes,
  at: Micros,
): Capacity => {
  const bins: Bin[] = [];
  const pending = new Map<string, Pending[]>();
  let anySilent = false;
  for (const machine of registry.machines.values()) {
    const known = types.get(machine.type);
    if (!known || machine.cordonReason !== null) continue;
    if (machine.cloudStatus === 'failed' || machine.recallAt !== null) continue;
    const { id, type, zone, spot } = machine;
    const room = free.get(id);
    if (registry.isSchedulable(machine, at) && room) bins.push({ id, type, zone, spot, free: room });
    else if (!machine.reported || !machine.confirmed) {
      if (machine.cloudStatus === 'running') anySilent = true;
      const alike = pending.get(offerKey(machine));
      const one = { machine, state: pendingMachine(machine, known.boot, at) };
      if (alike) alike.push(one);
      else pending.set(offerKey(machine), [one]);
    }
  }
  return { bins, overdue: addPending(pending, types, bins), anySilent };
};

/** Adds the pending machines, alike by offer, as far as they count; returns how many are overdue. */
const addPending = (
  pending: ReadonlyMap<string, Pending[]>,
  types: MachineTypes,
  bins: Bin[],
): Map<string, number> => {
  const overdue = new Map<string, number>();
  for (const alike of pending.values()) {
    alike.sort((x, y) => expectedShare(y.state) - expectedShare(x.state));
    const { type, zone, spot } = alike[0]!.machine;
    const known = types.get(type)!;
    for (const { machine } of alike.slice(0, pendingCapacity(alike.map((x) => x.state))))
      bins.push({ id: machine.id, type, zone, spot, free: wholeRoom(known) });
    const late = alike.filter((x) => isOverdue(x.state)).length;
    const key = bootKey({ type, zone });
    overdue.set(key, (overdue.get(key) ?? 0) + late);
  }
  return overdue;
};

/** What the cycle could not place, in the order in which it is worth a machine. */
export const orderDemand = (context: CycleContext, unplaced: readonly Demand[]): Demand[] => {
  const { current, classDurations: shown } = context.jobState.calendars;
  const day = monotonicDayTime(context);
  const classes = shown?.value ?? new Map<string, readonly number[]>();
  return (
    unplaced
      .filter((demand) => !demand.job.cancelled)
      .map((demand) => ({
        demand,
        by: pressingCutoff(demand.job, current, day, classes) ?? Number.POSITIVE_INFINITY,
      }))
      // What would miss its cutoff is worth a machine sooner, by cutoff; the rest in the order of submission.
      .sort(
        (a, b) =>
          b.demand.job.spec.urgency - a.demand.job.spec.urgency ||
          (a.by === b.by ? 0 : a.by - b.by) ||
          a.demand.job.spec.submitted - b.demand.job.spec.submitted,
      )
      .map(({ demand }) => demand)
  );
};
