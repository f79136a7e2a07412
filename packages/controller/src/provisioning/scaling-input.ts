/** Builds the input of the scaling plan: the available and pending capacity, and the ordered demand. */
import type { Micros } from '@lilacvalve/runtime/micros';
import { monotonicDayTime } from '../calendar/cutoff-tracking.js';
import { pressingCutoff } from '../calendar/slack.js';
import type { CycleContext } from '../scheduler/cycle-context.js';
import type { Resources } from '../scheduler/model.js';
import type { Machine } from '../workers/machine.js';
import type { WorkerRegistry } from '../workers/worker-registry.js';
import {
  bootKey,
  expectedFraction,
  isOverdue,
  pendingCapacity,
  type PendingMachine,
} from './boot-tracker.js';
import { pendingMachine } from './machine-health.js';
import { type MachineType, offerKey } from './model.js';
import type { Bin, Demand } from './scaling-plan.js';

type MachineTypes = ReadonlyMap<string, MachineType>;

/** Returns the resources of an empty machine of the type. */
export const fullCapacity = (type: MachineType): Resources => [type.cpus, type.gpus, type.memGb];

/** The capacity that the scaling plan may count on. */
export interface Capacity {
  /** Free resources on usable machines, followed by the pending machines that count as capacity. */
  readonly bins: Bin[];
  /** Number of overdue pending machines, by `bootKey`. */
  readonly overdue: ReadonlyMap<string, number>;
  /** Whether any machine that the cloud lists as running has not carried this term's fencing token yet. */
  readonly anyUnconfirmed: boolean;
}

/** A pending machine and the data from which its capacity is estimated. */
interface PendingEntry {
  readonly machine: Machine;
  readonly state: PendingMachine;
}

/** Returns the capacity after a scheduling cycle; `free` holds the resources that the cycle left free on each machine. */
export const capacityOf = (
  registry: Pick<WorkerRegistry, 'machines' | 'isSchedulable'>,
  free: ReadonlyMap<string, Resources>,
  types: MachineTypes,
  at: Micros,
): Capacity => {
  const bins: Bin[] = [];
  const pending = new Map<string, PendingEntry[]>();
  let anyUnconfirmed = false;
  for (const machine of registry.machines.values()) {
    const machineType = types.get(machine.type);
    if (!machineType || machine.cordonReason !== null) continue;
    if (machine.cloudStatus === 'failed' || machine.recallAt !== null) continue;
    const { id, type, zone, spot } = machine;
    const freeResources = free.get(id);
    if (registry.isSchedulable(machine, at) && freeResources)
      bins.push({ id, type, zone, spot, free: freeResources });
    else if (!machine.reported || !machine.confirmed) {
      if (machine.cloudStatus === 'running') anyUnconfirmed = true;
      const sameOffer = pending.get(offerKey(machine));
      const entry = { machine, state: pendingMachine(machine, machineType.boot, at) };
      if (sameOffer) sameOffer.push(entry);
      else pending.set(offerKey(machine), [entry]);
    }
  }
  return { bins, overdue: addPending(pending, types, bins), anyUnconfirmed };
};

/** Adds the pending machines of each offer that count as capacity to `bins`; returns the numbers of overdue machines. */
const addPending = (
  pending: ReadonlyMap<string, PendingEntry[]>,
  types: MachineTypes,
  bins: Bin[],
): Map<string, number> => {
  const overdue = new Map<string, number>();
  for (const sameOffer of pending.values()) {
    sameOffer.sort((left, right) => expectedFraction(right.state) - expectedFraction(left.state));
    const { type, zone, spot } = sameOffer[0]!.machine;
    const machineType = types.get(type)!;
    for (const { machine } of sameOffer.slice(0, pendingCapacity(sameOffer.map((entry) => entry.state))))
      bins.push({ id: machine.id, type, zone, spot, free: fullCapacity(machineType) });
    const overdueCount = sameOffer.filter((entry) => isOverdue(entry.state)).length;
    const key = bootKey({ type, zone });
    overdue.set(key, (overdue.get(key) ?? 0) + overdueCount);
  }
  return overdue;
};

/** Orders the demand that the cycle could not place by its priority for machines; drops cancelled jobs. */
export const orderDemand = (context: CycleContext, unplaced: readonly Demand[]): Demand[] => {
  const { current, classDurations } = context.jobState.calendars;
  const day = monotonicDayTime(context);
  const classes = classDurations?.value ?? new Map<string, readonly number[]>();
  return (
    unplaced
      .filter((demand) => !demand.job.cancelled)
      .map((demand) => ({
        demand,
        cutoff: pressingCutoff(demand.job, current, day, classes) ?? Number.POSITIVE_INFINITY,
      }))
      // Within an urgency, jobs that would otherwise miss their cutoff come first, by cutoff; the others by submission time.
      .sort(
        (a, b) =>
          b.demand.job.spec.urgency - a.demand.job.spec.urgency ||
          (a.cutoff === b.cutoff ? 0 : a.cutoff - b.cutoff) ||
          a.demand.job.spec.submitted - b.demand.job.spec.submitted,
      )
      .map(({ demand }) => demand)
  );
};
