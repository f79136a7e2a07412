/** What to rent and what to return: a pure function of demand, machines and time. */
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

export interface Bin {
  /** A machine that is there; absent for those only planned. */
  readonly id?: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly free: Resources;
}
export interface Demand {
  readonly job: Job;
  readonly count: number;
}
export interface Idle {
  readonly id: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly idleFor: Micros;
  readonly age: Micros;
}
export interface PlanInput {
  readonly types: readonly MachineType[];
  /** Room that is there or on its way: free room after the cycle, and machines still booting. */
  readonly bins: readonly Bin[];
  readonly demand: readonly Demand[];
  /** As the cycle saw them: room on a GPU machine that it keeps for GPU jobs is no room for the others. */
  readonly companions: readonly CoLocatedDemand[];
  readonly surplus: ReadonlySet<string>;
  readonly refused: (o: Offer) => boolean;
  /** Machines of this offer come up late at present: the last choice. */
  readonly late: (o: Offer) => boolean;
  /**
   * Machines a job should avoid, because it failed there; null: none. Counted as its room, such a machine kept a gang
   * that had to spread waiting for ever: nothing was rented for it, and the machine was not returned.
   */
  readonly avoid: (job: Job) => ReadonlySet<string> | null;
  /** Machines of each type that may be rented in one step. */
  readonly most: number;
}
export interface Rental extends Offer {
  count: number;
}

/** How many of a task a whole machine takes. */
const perMachine = (t: MachineType, need: Resources): number =>
  Math.min(1000, countFitting(need, [t.cpus, t.gpus, t.memGb]));

/** What a lost hour costs more on spot for a task that saves nothing. */
const spotWorth = (job: Job): number => (job.spec.checkpoint > 0 ? 1.1 : 1.3);

export const offersFor = (job: Job, types: readonly MachineType[], count: number): Offer[] => {
  const need = resourcesOf(job.spec);
  const out: { offer: Offer; cost: number }[] = [];
  for (const t of types) {
    if (job.spec.types !== null && !job.spec.types.includes(t.name)) continue;
    const n = Math.min(count, perMachine(t, need));
    if (n < 1) continue;
    // GPU machines cost many times as much: not rented for low work that has no use for GPUs.
    if (job.spec.gpus === 0 && t.gpus > 0 && job.spec.urgency === 0 && job.spec.types === null) continue;
    for (const zone of t.zones) {
      if (job.spec.zone !== null && job.spec.zone !== zone) continue;
      out.push({ offer: { type: t.name, zone, spot: false }, cost: t.price / n });
      if (job.spec.spot && t.spotPrice > 0) {
        out.push({ offer: { type: t.name, zone, spot: true }, cost: (t.spotPrice * spotWorth(job)) / n });
      }
    }
  }
  out.sort((a, b) => a.cost - b.cost);
  return out.map((o) => o.offer);
};

export interface Plan {
  readonly rent: Rental[];
  /** Machines that the demand counts on, though it can't use them yet: a gang waits for all of its machines. */
  readonly needed: Set<string>;
}

export const rentals = (input: PlanInput): Plan => {
  const types = new Map(input.types.map((t) => [t.name, t]));
  const bins: Bin[] = input.bins.map((b) => ({ ...b, free: [...b.free] }));
  const out = new Map<string, Rental>();
  const needed = new Set<string>();
  /** By type: work that asks in vain for what is sold out must not keep others from what is not. */
  const asked = new Map<string, number>();
  const totalOf = (type: string): Resources => {
    const t = types.get(type);
    return t ? [t.cpus, t.gpus, t.memGb] : [0, 0, 0];
  };
  /** A task of this job can go there as the cycle sees it. */
  const takes = (job: Job, guards: readonly CoLocatedDemand[], need: Resources, b: Bin): boolean =>
    fits(need, b.free) &&
    (job.spec.zone === null || job.spec.zone === b.zone) &&
    (job.spec.types === null || job.spec.types.includes(b.type)) &&
    (!b.spot || job.spec.spot) &&
    !(b.id !== undefined && input.avoid(job)?.has(b.id)) &&
    !strandsGpus(guards, job, totalOf(b.type), b.id !== undefined && input.surplus.has(b.id), [
      b.free[0] - need[0],
      b.free[1] - need[1],
      b.free[2] - need[2],
    ]);

  const open = (o: Offer): Bin | null => {
    const n = asked.get(o.type) ?? 0;
    if (n >= input.most) return null;
    asked.set(o.type, n + 1);
    const bin: Bin = { ...o, free: totalOf(o.type) };
    bins.push(bin);
    const r = out.get(offerKey(o));
    if (r) r.count++;
    else out.set(offerKey(o), { ...o, count: 1 });
    return bin;
  };

  for (const d of input.demand) {
    const need = resourcesOf(d.job.spec);
    const guards = protectedDemand(input.companions, d.job);
    const offers = (count: number): Offer[] =>
      offersFor(d.job, input.types, count)
        .filter((o) => !input.refused(o) && takes(d.job, guards, need, { ...o, free: totalOf(o.type) }))
        .sort((a, b) => Number(input.late(a)) - Number(input.late(b)));
    let zone: string | null = null;
    if (d.job.spec.oneZone && d.count > 1) {
      // The zone that already has the most room for it, or could get it.
      const rooms = new Map<string, number>();
      for (const b of bins) {
        if (!takes(d.job, guards, need, b)) continue;
        rooms.set(b.zone, Math.min(d.count, (rooms.get(b.zone) ?? 0) + countFitting(need, b.free)));
      }
      const offered = new Set(offers(d.count).map((o) => o.zone));
      let best = -1;
      for (const z of [...new Set([...rooms.keys(), ...offered])].sort()) {
        const n = rooms.get(z) ?? 0;
        if ((n === d.count || offered.has(z)) && n > best) {
          best = n;
          zone = z;
        }
      }
      if (best < 0) continue;
    }
    // A job that must spread needs room in more than one zone, however much one of them has.
    const cap = d.job.spec.spread ? Math.ceil(d.job.spec.tasks / 2) : Number.POSITIVE_INFINITY;
    const inZone = new Map<string, number>();
    const zoneOk = (z: string): boolean => (zone === null || z === zone) && (inZone.get(z) ?? 0) < cap;
    // A bin that can't take one of these tasks can't take a later one either.
    let at = 0;
    for (let i = 0; i < d.count; i++) {
      while (at < bins.length && !(zoneOk(bins[at]!.zone) && takes(d.job, guards, need, bins[at]!))) at++;
      let bin = bins[at];
      if (!bin) {
        const offer = offers(d.count - i).find((o) => zoneOk(o.zone));
        if (!offer) break;
        bin = open(offer) ?? undefined;
        if (!bin) break;
      }
      add(bin.free, need, -1);
      if (bin.id !== undefined) needed.add(bin.id);
      inZone.set(bin.zone, (inZone.get(bin.zone) ?? 0) + 1);
    }
  }
  return { rent: [...out.values()], needed };
};

/** Empty machines to give back: idle long enough, past what is charged anyway, and wanted by nobody. */
export const returns = (idle: readonly Idle[], patience: (o: Idle) => Micros): string[] =>
  idle.filter((m) => m.idleFor >= patience(m) && m.age >= seconds(55)).map((m) => m.id);

/** Types of machine that some waiting work could use, were more of them there. */
export const typesWanted = (types: readonly MachineType[], demand: readonly Demand[]): Set<string> =>
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
