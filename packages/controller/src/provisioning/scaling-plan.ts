/** Plans which machines to rent and which to return. Pure functions of the demand, the machines and the time. */
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import {
  add,
  type CoLocatedDemand,
  fits,
  type Resources,
  resourcesOf,
  countFitting,
} from '../scheduler/model.js';
import { protectedDemand, strandsGpus } from '../scheduler/cluster-capacity.js';
import { type MachineType, type Offer, offerKey } from './model.js';

/** A machine with its free resources, as a bin of the bin packing. */
export interface Bin {
  /** Absent for a machine that is only planned, or that was requested and has not been seen yet. */
  readonly id?: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
}
/** The number of tasks of one job that could not be placed. */
export interface Demand {
  readonly job: Job;
  readonly count: number;
}
/** A machine without tasks that may be returned. */
export interface IdleMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly idleFor: Micros;
  readonly age: Micros;
}
/** Input of the rental plan. */
export interface ScalingInput {
  readonly types: readonly MachineType[];
  /** Available and pending capacity: the resources left free by the cycle, and machines that are still booting. */
  readonly bins: readonly Bin[];
  readonly demand: readonly Demand[];
  /** Demand of GPU jobs as the cycle saw it: resources on a GPU machine that are kept for GPU jobs are not free to others. */
  readonly coLocatedDemand: readonly CoLocatedDemand[];
  /** Machines that the cycle calls surplus. */
  readonly surplusMachines: ReadonlySet<string>;
  /** Whether the cloud recently refused the offer for lack of capacity. */
  readonly isRefused: (offer: Offer) => boolean;
  /** Whether machines of the offer currently boot late; such offers are chosen last. */
  readonly bootsSlowly: (offer: Offer) => boolean;
  /**
   * Returns the machines that a job should avoid because it failed there, or null. When such a machine counted as capacity
   * for the job, a gang that had to spread waited forever: nothing was rented for it, and the machine was not returned.
   */
  readonly avoidedMachines: (job: Job) => ReadonlySet<string> | null;
  /** Maximum number of machines of each type rented in one step. */
  readonly maxPerType: number;
}
/** An offer and the number of machines to rent of it. */
export interface Rental extends Offer {
  count: number;
}

/** Returns how many tasks with these resources fit on an empty machine of the type. */
const tasksPerMachine = (machineType: MachineType, need: Resources): number =>
  Math.min(1000, countFitting(need, [machineType.cpus, machineType.gpus, machineType.memGb]));

/**
 * Factor on the spot price for the work that is lost when the cloud reclaims a machine; larger for tasks that write no
 * checkpoints.
 */
const spotLossFactor = (job: Job): number => (job.spec.checkpoint > 0 ? 1.1 : 1.3);

/** Returns the offers that tasks of the job could run on, cheapest per task first when `count` tasks need a machine. */
export const offersFor = (job: Job, types: readonly MachineType[], count: number): Offer[] => {
  const need = resourcesOf(job.spec);
  const candidates: { offer: Offer; cost: number }[] = [];
  for (const type of types) {
    if (job.spec.types !== null && !job.spec.types.includes(type.name)) continue;
    const fitting = Math.min(count, tasksPerMachine(type, need));
    if (fitting < 1) continue;
    // GPU machines cost many times as much, so they are not rented for low-urgency jobs that need no GPU.
    if (job.spec.gpus === 0 && type.gpus > 0 && job.spec.urgency === 0 && job.spec.types === null) continue;
    for (const zone of type.zones) {
      if (job.spec.zone !== null && job.spec.zone !== zone) continue;
      candidates.push({ offer: { type: type.name, zone, spot: false }, cost: type.price / fitting });
      if (job.spec.spot && type.spotPrice > 0) {
        candidates.push({
          offer: { type: type.name, zone, spot: true },
          cost: (type.spotPrice * spotLossFactor(job)) / fitting,
        });
      }
    }
  }
  candidates.sort((a, b) => a.cost - b.cost);
  return candidates.map((candidate) => candidate.offer);
};

/** The rentals, and the existing machines that demand was assigned to. */
export interface ScalingPlan {
  readonly rent: Rental[];
  /** Machines that demand was assigned to, though it can't use them yet: a gang waits until all of its machines are up. */
  readonly needed: Set<string>;
}

/** Packs the demand into the available and pending capacity, and plans rentals for the rest. */
class RentalPlanner {
  private readonly types: ReadonlyMap<string, MachineType>;
  private readonly bins: Bin[];
  private readonly rentals = new Map<string, Rental>();
  private readonly needed = new Set<string>();
  /**
   * Number of machines planned by type. The limit per step applies to each type, so that demand for a type without capacity
   * does not keep other demand from renting.
   */
  private readonly rentedOfType = new Map<string, number>();

  constructor(private readonly input: ScalingInput) {
    this.types = new Map(input.types.map((machineType) => [machineType.name, machineType]));
    this.bins = input.bins.map((bin) => ({ ...bin, free: [...bin.free] }));
  }

  /** Plans all of the demand in its order. */
  plan(): ScalingPlan {
    for (const demand of this.input.demand) this.packDemand(demand);
    return { rent: [...this.rentals.values()], needed: this.needed };
  }

  /** Returns the resources of an empty machine of the type, or none for an unknown type. */
  private fullCapacity(type: string): Resources {
    const machineType = this.types.get(type);
    return machineType ? [machineType.cpus, machineType.gpus, machineType.memGb] : [0, 0, 0];
  }

  /** Whether the scheduling cycle could place a task of the job in the bin. */
  private canTake(job: Job, protectedJobs: readonly CoLocatedDemand[], need: Resources, bin: Bin): boolean {
    const { spec } = job;
    return (
      fits(need, bin.free) &&
      (spec.zone === null || spec.zone === bin.zone) &&
      (spec.types === null || spec.types.includes(bin.type)) &&
      (!bin.spot || spec.spot) &&
      !(bin.id !== undefined && this.input.avoidedMachines(job)?.has(bin.id)) &&
      !strandsGpus(
        protectedJobs,
        job,
        this.fullCapacity(bin.type),
        bin.id !== undefined && this.input.surplusMachines.has(bin.id),
        [bin.free[0] - need[0], bin.free[1] - need[1], bin.free[2] - need[2]],
      )
    );
  }

  /** Plans one more machine of the offer; returns null once the limit of its type for one step is reached. */
  private addMachine(offer: Offer): Bin | null {
    const sameType = this.rentedOfType.get(offer.type) ?? 0;
    if (sameType >= this.input.maxPerType) return null;
    this.rentedOfType.set(offer.type, sameType + 1);
    const bin: Bin = { ...offer, free: this.fullCapacity(offer.type) };
    this.bins.push(bin);
    const rental = this.rentals.get(offerKey(offer));
    if (rental) rental.count++;
    else this.rentals.set(offerKey(offer), { ...offer, count: 1 });
    return bin;
  }

  /** Assigns the tasks of one job to bins, and plans machines for tasks that fit in none. */
  private packDemand({ job, count }: Demand): void {
    const { input, bins } = this;
    const need = resourcesOf(job.spec);
    const protectedJobs = protectedDemand(input.coLocatedDemand, job);
    const canTake = (bin: Bin): boolean => this.canTake(job, protectedJobs, need, bin);
    const offers = (remaining: number): Offer[] =>
      offersFor(job, input.types, remaining)
        .filter(
          (offer) => !input.isRefused(offer) && canTake({ ...offer, free: this.fullCapacity(offer.type) }),
        )
        .sort((a, b) => Number(input.bootsSlowly(a)) - Number(input.bootsSlowly(b)));
    let onlyZone: string | null = null;
    if (job.spec.oneZone && count > 1) {
      onlyZone = this.bestZone(count, need, canTake, offers(count));
      if (onlyZone === null) return;
    }
    // A job that must spread over zones places at most half of its tasks in one zone, however much capacity the zone has.
    const maxInZone = job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
    const tasksInZone = new Map<string, number>();
    const isZoneOpen = (zone: string): boolean =>
      (onlyZone === null || zone === onlyZone) && (tasksInZone.get(zone) ?? 0) < maxInZone;
    // A bin that can't take one of these tasks can't take a later one either.
    let index = 0;
    for (let task = 0; task < count; task++) {
      while (index < bins.length && !(isZoneOpen(bins[index]!.zone) && canTake(bins[index]!))) index++;
      let bin = bins[index];
      if (!bin) {
        const offer = offers(count - task).find((candidate) => isZoneOpen(candidate.zone));
        bin = (offer && this.addMachine(offer)) ?? undefined;
        if (!bin) break;
      }
      add(bin.free, need, -1);
      if (bin.id !== undefined) this.needed.add(bin.id);
      tasksInZone.set(bin.zone, (tasksInZone.get(bin.zone) ?? 0) + 1);
    }
  }

  /**
   * Returns the zone for a job that must run in a single zone: among the zones that can hold all `count` tasks or offer more
   * machines, the one where most tasks fit already. Returns null if there is no such zone.
   */
  private bestZone(
    count: number,
    need: Resources,
    canTake: (bin: Bin) => boolean,
    offers: readonly Offer[],
  ): string | null {
    const fittingByZone = new Map<string, number>();
    for (const bin of this.bins) {
      if (!canTake(bin)) continue;
      fittingByZone.set(
        bin.zone,
        Math.min(count, (fittingByZone.get(bin.zone) ?? 0) + countFitting(need, bin.free)),
      );
    }
    const offeredZones = new Set(offers.map((offer) => offer.zone));
    let best: string | null = null;
    let mostFitting = -1;
    for (const zone of [...new Set([...fittingByZone.keys(), ...offeredZones])].sort()) {
      const fitting = fittingByZone.get(zone) ?? 0;
      if ((fitting === count || offeredZones.has(zone)) && fitting > mostFitting) {
        mostFitting = fitting;
        best = zone;
      }
    }
    return best;
  }
}

/** Plans what to rent for the demand, and determines which machines the demand relies on. */
export const planRentals = (input: ScalingInput): ScalingPlan => new RentalPlanner(input).plan();

/** Minimum age of a returned machine: its first minute is charged anyway, so it is not returned much earlier. */
const MIN_AGE = seconds(55);

/** Returns the ids of machines that have been idle for at least `limit` and are past the minimum charge. */
export const planReturns = (
  idle: readonly IdleMachine[],
  limit: (machine: IdleMachine) => Micros,
): string[] =>
  idle
    .filter((machine) => machine.idleFor >= limit(machine) && machine.age >= MIN_AGE)
    .map((machine) => machine.id);

/** Returns the names of the machine types that some task of the demand could run on. */
export const typesUsableBy = (types: readonly MachineType[], demand: readonly Demand[]): Set<string> =>
  new Set(
    types
      .filter((machineType) =>
        demand.some(
          ({ job: { spec } }) =>
            (spec.types === null || spec.types.includes(machineType.name)) &&
            fits(resourcesOf(spec), [machineType.cpus, machineType.gpus, machineType.memGb]),
        ),
      )
      .map((machineType) => machineType.name),
  );
