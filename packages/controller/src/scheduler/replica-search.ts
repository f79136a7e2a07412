/**
 * Where a missing replica of a GPU service goes: every machine that may take it is weighed, on free room, on room that is
 * being left, or by stopping others, as src/lending says. Everything else goes as placement-search.ts has it. An exception to the
 * cycle's levels (docs/design.md): free room without the weights can be the worse place by a minute.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Job } from '../jobs/model.js';
import {
  servingCost,
  endsBeforeFetch,
  fetchTime,
  type ImageStatus,
  leaveTime,
  lostWork,
  withinPreemptionBudget,
  rentalOption,
  STOP_DELAY,
  type Victim,
} from '../lending/replica-cost.js';
import { mayBorrow } from '../lending/loans.js';
import { mayBorrowFrom, entitlementOf, standingOf } from '../lending/borrowing-rules.js';
import { add, EPSILON, fits, type LendingView, type Resources, resourcesOf } from './model.js';
import {
  type PlacementChoice,
  type EvictedUnit,
  type PlacementSearch,
  type ClusterCapacity,
  isReservedAgainst,
  type SearchLevel,
  type NodeState,
  score,
  type TeamState,
  allowedZones,
} from './cluster-capacity.js';

/** A machine's fit weighs little against seconds: it decides between places that are equal otherwise. */
const FIT_WEIGHT = 0.5;
/** Room on its way counts as left so much later. */
const LEAVING_DELAY = STOP_DELAY;

const NO_VICTIMS: ReadonlySet<EvictedUnit> = new Set();

/** What stopping an evicted unit for a replica means. */
interface UnitLoss {
  readonly victim: Victim;
  /** An order to stop reaches all of it now. */
  readonly reachable: boolean;
  /** Lost by all members, GPU-microseconds. */
  readonly lost: number;
  /** From the order to stop until its capacity is free. */
  readonly leave: Micros;
}

/** A missing replica, and how far its search goes. */
interface ReplicaRequest {
  readonly job: Job;
  readonly team: TeamState;
  readonly need: Resources;
  readonly level: SearchLevel;
}

/** A place for a replica; `cost` in seconds, see src/lending. */
interface Place {
  readonly n: NodeState;
  readonly cost: number;
  readonly victims: readonly EvictedUnit[];
  readonly free: boolean;
}

/** The replica searches of one cycle, with what they share. */
class ReplicaSearch {
  /** Images that this cycle's own replicas will be fetching. */
  private readonly fetching = new Map<NodeState, Set<string>>();
  private readonly losses = new Map<EvictedUnit, UnitLoss>();

  constructor(
    private readonly capacity: ClusterCapacity,
    private readonly lending: LendingView,
    private readonly stopped: ReadonlyMap<Job, number>,
  ) {}

  /** The cheapest place for one replica; null: there is none, or a rented machine serves sooner than any that preempts. */
  search(job: Job, team: TeamState, levels: readonly SearchLevel[]): PlacementChoice | null {
    const level = Math.max(...levels) as SearchLevel;
    const best = this.cheapest({ job, team, need: resourcesOf(job.spec), level });
    if (best === null || (best.victims.length > 0 && this.rentalIsCheaper(job, best.cost))) return null;
    this.noteFetch(best.n, job.spec.image);
    return {
      machines: [best.n],
      victims: best.victims.length === 0 ? NO_VICTIMS : new Set(best.victims),
      free: best.free,
    };
  }

  private cheapest(request: ReplicaRequest): Place | null {
    const { capacity } = this;
    const { job } = request;
    const { types, spot } = job.spec;
    const zones = this.openZones(job);
    const avoided = capacity.avoid(job);
    let best: Place | null = null;
    for (const n of capacity.nodes.values()) {
      const v = n.view;
      if (!v.open || !zones.has(v.zone) || (types !== null && !types.includes(v.type)) || (v.spot && !spot))
        continue;
      if (avoided?.has(v.id) || isReservedAgainst(n, job)) continue;
      const place = this.placeOn(request, n);
      if (place !== null && (best === null || place.cost < best.cost)) best = place;
    }
    return best;
  }

  /** Zones that may take one more replica of the job. */
  private openZones(job: Job): ReadonlySet<string> {
    const { capacity } = this;
    const { spread, tasks } = job.spec;
    const all = [...new Set([...capacity.nodes.values()].map((n) => n.view.zone))].sort();
    const held = capacity.zonesHeld.get(job);
    const zoneCap = spread ? Math.ceil(tasks / 2) : Number.POSITIVE_INFINITY;
    return new Set(allowedZones(capacity, all, job).filter((z) => (held?.get(z) ?? 0) < zoneCap));
  }

  private rentalIsCheaper(job: Job, cost: number): boolean {
    const rental = this.lending.rental(job);
    if (rental === null) return false;
    const option = rentalOption(rental.boot, rental.fetch, job.spec.gpus);
    return servingCost(option, this.lending.due(job)) < cost;
  }

  private noteFetch(n: NodeState, image: string): void {
    const images = this.fetching.get(n);
    if (images) images.add(image);
    else this.fetching.set(n, new Set([image]));
  }

  /** The place on one machine: on what is free, on what is being left, or by preempting; null: none at this level. */
  private placeOn(request: ReplicaRequest, n: NodeState): Place | null {
    const { job, need, level } = request;
    if (!fits(need, n.view.total)) return null;
    const fetch = fetchTime(this.imageOn(job, n));
    const due = this.lending.due(job);
    const after: Resources = [n.free[0] - need[0], n.free[1] - need[1], n.free[2] - need[2]];
    const cost = (leave: number, lost: number, left: Resources): number =>
      servingCost({ leave: leave as Micros, fetch, lost }, due) +
      FIT_WEIGHT * score(this.capacity.coLocatedDemand, job, n, left);
    if (fits(need, n.free)) return { n, cost: cost(0, 0, after), victims: [], free: true };
    if (level === 0) return null;
    const have: Resources = [...n.free];
    add(have, n.leaving);
    if (fits(need, have)) return { n, cost: cost(LEAVING_DELAY, 0, have), victims: [], free: false };
    if (level === 1) return null;
    const victims = this.victimsOn(request, n, fetch, have);
    if (victims === null) return null;
    let lost = 0;
    let leave = 0;
    for (const u of victims) {
      lost += this.lossOf(u).lost;
      leave = Math.max(leave, this.lossOf(u).leave);
    }
    return { n, cost: cost(STOP_DELAY + leave, lost, have), victims, free: false };
  }

  /** Units to stop so that the replica fits, the least loss first; adds what they leave to `have`. null: it can't be. */
  private victimsOn(
    request: ReplicaRequest,
    n: NodeState,
    fetch: Micros,
    have: Resources,
  ): EvictedUnit[] | null {
    const { need } = request;
    const options = this.capacity.evictedOn(n).filter((u) => this.mayStop(request, fetch, u));
    if (options.length === 0) return null;
    options.sort(
      (a, b) => a.job.spec.urgency - b.job.spec.urgency || this.lossOf(a).lost - this.lossOf(b).lost,
    );
    const victims: EvictedUnit[] = [];
    for (const u of options) {
      if (fits(need, have)) break;
      // Whoever runs without GPUs is no help where GPUs are short, and the other way round.
      if (!((have[1] < need[1] - EPSILON && u.need[1] > 0) || have[0] < need[0] || have[2] < need[2]))
        continue;
      if (victims.length > 0 && !this.mayStop(request, fetch, u, victims)) continue;
      for (const m of u.members) if (m.machine === n.view.id) add(have, u.need);
      victims.push(u);
    }
    return fits(need, have) ? victims : null;
  }

  /** `others`: victims of the same replica: each alone may leave its team its guarantee, and both together not. */
  private mayStop(
    { job, team, need }: ReplicaRequest,
    fetch: Micros,
    u: EvictedUnit,
    others: readonly EvictedUnit[] = [],
  ): boolean {
    const { spec } = u.job;
    const staying: Resources = [...u.team.staying];
    let tasks = u.members.length;
    for (const o of others) {
      if (o.team === u.team) add(staying, [-o.size[0], -o.size[1], -o.size[2]]);
      if (o.job === u.job) tasks += o.members.length;
    }
    if (
      !mayBorrowFrom({
        sameTeam: u.team === team,
        lower: spec.urgency < job.spec.urgency,
        entitlement: entitlementOf(team.held, need, team.settings.guarantee),
        standing: standingOf(staying, u.size, u.team.settings.guarantee),
      })
    )
      return false;
    const taken = u.job.preemptedForServices + (this.stopped.get(u.job) ?? 0);
    const budget = { gang: spec.shape === 'gang', tasks: spec.tasks, taken };
    // What computes without GPUs beside them has no such budget: it goes by the cycle's own rule.
    if (spec.gpus > 0 && !withinPreemptionBudget(budget, tasks)) return false;
    const { reachable, victim } = this.lossOf(u);
    return reachable && !endsBeforeFetch(victim, fetch);
  }

  private imageOn(job: Job, n: NodeState): ImageStatus {
    const status = this.lending.imageStatus(job, n.view);
    const more = this.fetching.get(n);
    if (more === undefined || status.present) return status;
    const mine = more.has(job.spec.image);
    return {
      ...status,
      fetchedFor: status.fetchedFor ?? (mine ? (0 as Micros) : null),
      others: status.others + more.size - (mine ? 1 : 0),
    };
  }

  private lossOf(u: EvictedUnit): UnitLoss {
    let loss = this.losses.get(u);
    if (loss === undefined) {
      const all = u.members.map((m) => this.lending.victim(m));
      // A gang ends with its first member's end and loses with its last.
      const victim = all.reduce((a, b) => (b.ran > a.ran ? b : a));
      loss = {
        victim,
        reachable:
          (u.job.spec.shape !== 'gang' || u.members.length === u.job.spec.tasks) &&
          u.members.every((m) => this.lending.reachable(m.machine)),
        lost: all.reduce((sum, v) => sum + lostWork(v) * Math.max(u.need[1], EPSILON), 0),
        leave: leaveTime(victim),
      };
      this.losses.set(u, loss);
    }
    return loss;
  }
}

/** `plain` for all but GPU services. `stopped`: how many tasks of a job this cycle stops for services so far. */
export const replicaSearch = (
  capacity: ClusterCapacity,
  plain: PlacementSearch,
  lending: LendingView | undefined,
  stopped: ReadonlyMap<Job, number>,
): PlacementSearch => {
  if (lending === undefined) return plain;
  const replicas = new ReplicaSearch(capacity, lending, stopped);
  return (job, team, count, levels) =>
    mayBorrow(job.spec) ? replicas.search(job, team, levels) : plain(job, team, count, levels);
};
