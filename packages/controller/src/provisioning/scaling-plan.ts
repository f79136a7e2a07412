/** The scaling plan, what to rent and what to return: a pure function of demand, machines and time. */
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

/** A machine with free room, as in bin packing. */
export interface Bin {
  /** Absent for a machine that is only planned, or that nobody has seen yet. */
  readonly id?: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
}
/** Tasks of one job that found no place. */
export interface Demand {
  readonly job: Job;
  readonly count: number;
}
/** An empty machine that may be returned. */
export interface IdleMachine {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly idleFor: Micros;
  readonly age: Micros;
}
/** What the plan is made from. */
export interface ScalingInput {
  readonly types: readonly MachineType[];
  /** Capacity that is there or pending: free room after the cycle, and machines still booting. */
  readonly bins: readonly Bin[];
  readonly demand: readonly Demand[];
  /** As the cycle saw them: room on a GPU machine that it keeps for GPU jobs is no room for the others. */
  readonly companions: readonly CoLocatedDemand[];
  readonly surplus: ReadonlySet<string>;
  readonly isRefused: (o: Offer) => boolean;
  /** Machines of this offer come up late at present: the last choice. */
  readonly bootsSlowly: (o: Offer) => boolean;
  /**
   * Machines a job should avoid, because it failed there; null: none. Counted as its room, such a machine kept a gang
   * that had to spread waiting for ever: nothing was rented for it, and the machine was not returned.
   */
  readonly avoidedMachines: (job: Job) => ReadonlySet<string> | null;
  /** Machines of each type that may be rented in one step. */
  readonly maxPerType: number;
}
/** Machines to rent of one offer. */
export interface Rental extends Offer {
  count: number;
}

/** How many of a task a whole machine takes. */
const perMachine = (machineType: MachineType, need: Resources): number =>
  Math.min(1000, countFitting(need, [machineType.cpus, machineType.gpus, machineType.memGb]));

/** How much more spot capacity costs by lost work: more for a task that saves nothing. */
const spotLossFactor = (job: Job): number => (job.spec.checkpoint > 0 ? 1.1 : 1.3);

/** Offers that a task of the job could run on, the cheapest for `count` of them first. */
export const offersFor = (job: Job, types: readonly MachineType[], count: number): Offer[] => {
  const need = resourcesOf(job.spec);
  const found: { offer: Offer; cost: number }[] = [];
  for (const type of types) {
    if (job.spec.types !== null && !job.spec.types.includes(type.name)) continue;
    const fitting = Math.min(count, perMachine(type, need));
    if (fitting < 1) continue;
    // GPU machines cost many times as much: not rented for low work that has no use for GPUs.
    if (job.spec.gpus === 0 && type.gpus > 0 && job.spec.urgency === 0 && job.spec.types === null) continue;
    for (const zone of type.zones) {
      if (job.spec.zone !== null && job.spec.zone !== zone) continue;
      found.push({ offer: { type: type.name, zone, spot: false }, cost: type.price / fitting });
      if (job.spec.spot && type.spotPrice > 0) {
        found.push({
          offer: { type: type.name, zone, spot: true },
          cost: (type.spotPrice * spotLossFactor(job)) / fitting,
        });
      }
    }
  }
  found.sort((a, b) => a.cost - b.cost);
  return found.map((o) => o.offer);
};

/** What to rent, and for which demand. */
export interface ScalingPlan {
  readonly rent: Rental[];
  /** Machines that the demand counts on, though it can't use them yet: a gang waits for all of its machines. */
  readonly needed: Set<string>;
}

/** Packs the demand into the capacity that is there or pending, and into rented machines where that does not suffice. */
class RentalPlanner {
  private readonly types: ReadonlyMap<string, MachineType>;
  private readonly bins: Bin[];
  private readonly rentals = new Map<string, Rental>();
  private readonly needed = new Set<string>();
  /** By type: work that can only use a type that is sold out must not keep others from what is not. */
  private readonly rentedOfType = new Map<string, number>();

  constructor(private readonly input: ScalingInput) {
    this.types = new Map(input.types.map((t) => [t.name, t]));
    this.bins = input.bins.map((b) => ({ ...b, free: [...b.free] }));
  }

  plan(): ScalingPlan {
    for (const demand of this.input.demand) this.pack(demand);
    return { rent: [...this.rentals.values()], needed: this.needed };
  }

  private wholeRoom(type: string): Resources {
    const machineType = this.types.get(type);
    return machineType ? [machineType.cpus, machineType.gpus, machineType.memGb] : [0, 0, 0];
  }

  /** Whether a task of this job can go there as the cycle sees it. */
  private takes(job: Job, guards: readonly CoLocatedDemand[], need: Resources, bin: Bin): boolean {
    const { spec } = job;
    return (
      fits(need, bin.free) &&
      (spec.zone === null || spec.zone === bin.zone) &&
      (spec.types === null || spec.types.includes(bin.type)) &&
      (!bin.spot || spec.spot) &&
      !(bin.id !== undefined && this.input.avoidedMachines(job)?.has(bin.id)) &&
      !strandsGpus(
        guards,
        job,
        this.wholeRoom(bin.type),
        bin.id !== undefined && this.input.surplus.has(bin.id),
        [bin.free[0] - need[0], bin.free[1] - need[1], bin.free[2] - need[2]],
      )
    );
  }

  /** Plans one more machine of the offer; null: there are enough of its type for one step. */
  private addMachine(offer: Offer): Bin | null {
    const sameType = this.rentedOfType.get(offer.type) ?? 0;
    if (sameType >= this.input.maxPerType) return null;
    this.rentedOfType.set(offer.type, sameType + 1);
    const bin: Bin = { ...offer, free: this.wholeRoom(offer.type) };
    this.bins.push(bin);
    const rental = this.rentals.get(offerKey(offer));
    if (rental) rental.count++;
    else this.rentals.set(offerKey(offer), { ...offer, count: 1 });
    return bin;
  }

  private pack({ job, count }: Demand): void {
    const { input, bins } = this;
    const need = resourcesOf(job.spec);
    const guards = protectedDemand(input.companions, job);
    const takes = (bin: Bin): boolean => this.takes(job, guards, need, bin);
    const offers = (left: number): Offer[] =>
      offersFor(job, input.types, left)
        .filter((o) => !input.isRefused(o) && takes({ ...o, free: this.wholeRoom(o.type) }))
        .sort((a, b) => Number(input.bootsSlowly(a)) - Number(input.bootsSlowly(b)));
    let onlyZone: string | null = null;
    if (job.spec.oneZone && count > 1) {
      onlyZone = this.bestZone(count, need, takes, offers(count));
      if (onlyZone === null) return;
    }
    // A job that must spread needs room in more than one zone, however much one of them has.
    const maxInZone = job.spec.spread ? Math.ceil(job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
    const inZone = new Map<string, number>();
    const isZoneOpen = (zone: string): boolean =>
      (onlyZone === null || zone === onlyZone) && (inZone.get(zone) ?? 0) < maxInZone;
    // A bin that can't take one of these tasks can't take a later one either.
    let at = 0;
    for (let task = 0; task < count; task++) {
      while (at < bins.length && !(isZoneOpen(bins[at]!.zone) && takes(bins[at]!))) at++;
      let bin = bins[at];
      if (!bin) {
        const offer = offers(count - task).find((o) => isZoneOpen(o.zone));
        bin = (offer && this.addMachine(offer)) ?? undefined;
        if (!bin) break;
      }
      add(bin.free, need, -1);
      if (bin.id !== undefined) this.needed.add(bin.id);
      inZone.set(bin.zone, (inZone.get(bin.zone) ?? 0) + 1);
    }
  }

  /** The zone that already has the most room for a job that needs one zone, or could get it; null: there is none. */
  private bestZone(
    count: number,
    need: Resources,
    takes: (bin: Bin) => boolean,
    offers: readonly Offer[],
  ): string | null {
    const rooms = new Map<string, number>();
    for (const bin of this.bins) {
      if (!takes(bin)) continue;
      rooms.set(bin.zone, Math.min(count, (rooms.get(bin.zone) ?? 0) + countFitting(need, bin.free)));
    }
    const offered = new Set(offers.map((o) => o.zone));
    let best: string | null = null;
    let most = -1;
    for (const zone of [...new Set([...rooms.keys(), ...offered])].sort()) {
      const fitting = rooms.get(zone) ?? 0;
      if ((fitting === count || offered.has(zone)) && fitting > most) {
        most = fitting;
        best = zone;
      }
    }
    return best;
  }
}

/** What to rent for the demand, and which machines it counts on. */
export const planRentals = (input: ScalingInput): ScalingPlan => new RentalPlanner(input).plan();

/** A machine is charged for its first minute anyway, so it is not returned long before. */
const MIN_AGE = seconds(55);

/** Empty machines to return: idle for as long as `limit` says, and past what is charged anyway. */
export const planReturns = (
  idle: readonly IdleMachine[],
  limit: (machine: IdleMachine) => Micros,
): string[] => idle.filter((m) => m.idleFor >= limit(m) && m.age >= MIN_AGE).map((m) => m.id);

/** Types of machine that some waiting work could use, were more of them there. */
export const wantedTypes = (types: readonly MachineType[], demand: readonly Demand[]): Set<string> =>
  new Set(
    types
      .filter((k) =>
        demand.some(
          ({ job: { spec } }) =>
            (spec.types === null || spec.types.includes(k.name)) &&
            fits(resourcesOf(spec), [k.cpus, k.gpus, k.memGb]),
        ),
      )
      .map((k) => k.name),
  );
