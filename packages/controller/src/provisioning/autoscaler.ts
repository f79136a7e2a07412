/** The leader's dealings with the cloud: it lists machines, rents what the demand needs, and returns what is of no use. */
import { Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { CycleState, CycleContext } from '../scheduler/cycle-context.js';
import type { Machine } from '../workers/machine.js';
import { bootKey, BootTracker, isOverdue, type PendingMachine } from './boot-tracker.js';
import type { CloudFailure, CloudPort } from './cloud.js';
import { isSilent, isUnreachable, pendingMachine, SILENT } from './machine-health.js';
import { offerKey } from './model.js';
import { RentalRequests } from './rental-requests.js';
import { capacityOf, orderDemand, wholeRoom } from './scaling-input.js';
import { type IdleMachine, planRentals, planReturns, type Rental, wantedTypes } from './scaling-plan.js';

/** An offer refused for want of capacity is not asked for again for so long. */
const REFUSED_FOR = seconds(12);
/** An empty machine is returned after so long; sooner, if the cycle calls it surplus or it came late. */
const IDLE = seconds(45);
const IDLE_SURPLUS = seconds(12);
/** A new leader hears of machines one after the other: it gives up no booting machine before this. */
const NEW_TERM = seconds(30);
/** A new leader rents nothing while machines called running have not reported, up to here. */
const REPORTS_AWAITED = seconds(10);
/** An overdue machine that nothing has counted on for this long is returned. */
const UNNEEDED = seconds(15);
/** For types of machine that the cloud does not describe. */
const UNKNOWN_TYPE_BOOT = seconds(30);
/** The list may be twice its lag old, and older than the one before. */
const LIST_MARGIN = seconds(10);
/** Between two lists: at least so long, and so much of the cloud's rate at the most. */
const MIN_LIST_INTERVAL = 3e6;
const LIST_RATE = 0.2;
/** Machines returned in one step, of a type rented in one step, and in one request. */
const MAX_RETURNED = 100;
const MAX_RENTED_PER_TYPE = 40;
const MAX_PER_REQUEST = 50;
/** A start decided before a machine was cordoned may be on its way into the record for so long. */
const START_IN_FLIGHT_MS = 400;
const STEP_INTERVAL_MS = 800;
const FAILURE_WAIT_MS = 1500;

/** Machines to return, by reason. */
interface Returnable {
  readonly failed: string[];
  readonly leaseExpired: string[];
  readonly unreachable: string[];
  readonly silent: string[];
  readonly neverBooted: string[];
  readonly unneeded: string[];
  readonly idle: IdleMachine[];
}

class Autoscaler {
  private readonly refusedUntil = new Map<string, Micros>();
  private readonly boots = new BootTracker();
  /** Machines seen before they reported, in this term: when they come, their boot time is known. */
  private readonly awaited = new Set<string>();
  private readonly overdue = new Set<string>();
  /** Overdue machines that no work counts on, and since when. */
  private readonly unneeded = new Map<string, Micros>();
  /** Rented or removed, and not shown so by the list yet. */
  private readonly rented = new Map<string, Micros>();
  private readonly removed = new Map<string, Micros>();
  private readonly requests: RentalRequests;
  private requestsNamed = 0;
  /** Machines that the demand counts on. */
  private needed: ReadonlySet<string> = new Set();
  /** Types of machine that some waiting work could use. */
  private wanted: ReadonlySet<string> = new Set();
  private hasListed = false;
  private lastListed = Number.NEGATIVE_INFINITY;
  private readonly listInterval: number;

  constructor(
    private readonly context: CycleContext,
    private readonly cycle: CycleState,
    private readonly cloud: CloudPort,
  ) {
    const { settings, fleet, leaderTerm } = context;
    const shownAfter = plus(0 as Micros, 2 * settings.cloud.listLag + LIST_MARGIN);
    this.requests = new RentalRequests(shownAfter, fleet.news, leaderTerm.began);
    this.listInterval = Math.max(MIN_LIST_INTERVAL, 1e6 / (settings.cloud.rps * LIST_RATE));
  }

  readonly run = Effect.suspend(() => this.step()).pipe(
    Effect.catchAll((failure) =>
      info('cloud unavailable', { reason: failure.reason }).pipe(
        Effect.zipRight(Effect.sleep(FAILURE_WAIT_MS)),
      ),
    ),
    Effect.zipRight(Effect.sleep(STEP_INTERVAL_MS)),
    Effect.forever,
  );

  private step(): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      if (!this.context.mayAct()) return;
      if (this.context.clock() - this.lastListed >= this.listInterval) yield* this.list();
      yield* this.trackBoots();
      yield* this.reportUnreachableWorkers();
      this.publishNews();
      yield* this.returnMachines();
      yield* this.rentMachines();
    });
  }

  /** Takes the cloud's list in. */
  private list(): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const { clock, fleet, registry } = this.context;
      this.lastListed = clock();
      const machines = yield* this.cloud.list();
      this.hasListed = true;
      fleet.listed = true;
      registry.applyListing(machines, clock());
      for (const { id } of machines) this.rented.delete(id);
    });
  }

  private bootOf(type: string): Micros {
    return this.context.types().find((k) => k.name === type)?.boot ?? UNKNOWN_TYPE_BOOT;
  }

  private pending(machine: Machine, at: Micros): PendingMachine {
    return pendingMachine(machine, this.bootOf(machine.type), at);
  }

  /** Follows machines from their rental to their first heartbeat. */
  private trackBoots(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { clock, registry, leaderTerm } = this.context;
      const at = clock();
      for (const machine of registry.machines.values()) {
        const { id, type, zone } = machine;
        const age = (at - machine.since) as Micros;
        if (machine.reported) {
          if (!this.awaited.delete(id)) continue;
          // One that the list has called running may have been up for long, under an earlier leader.
          if (machine.runningSince === null) this.boots.recordBoot(bootKey(machine), age, at);
          if (this.overdue.has(id))
            yield* info('overdue machine reported', { machine: id, afterS: Math.round(age / 1e6) });
        } else {
          this.awaited.add(id);
          if (this.overdue.has(id) || !isOverdue(this.pending(machine, at))) continue;
          this.overdue.add(id);
          yield* info('machine overdue', {
            term: leaderTerm.number,
            machine: id,
            type,
            zone,
            ageS: Math.round(age / 1e6),
            cloudStatus: machine.cloudStatus,
          });
        }
      }
    });
  }

  private reportUnreachableWorkers(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { registry, leaderTerm } = this.context;
      for (const machine of registry.unreachableWorkers.splice(0))
        yield* info('responses not reaching worker', { term: leaderTerm.number, machine });
    });
  }

  /** Publishes, for a next leader, what this one knows of the cloud and the list does not show yet. */
  private publishNews(): void {
    const { clock, fleet, registry, settings } = this.context;
    const at = clock();
    const limit = at - 3 * settings.cloud.listLag - LIST_MARGIN;
    for (const known of [this.rented, this.removed])
      for (const [id, since] of known) if (since < limit) known.delete(id);
    fleet.news = {
      rented: [...this.rented].flatMap(([id, since]) => {
        const machine = registry.machines.get(id);
        if (!machine) return [];
        const { type, zone, spot } = machine;
        return [{ id, type, zone, spot, age: at - since }];
      }),
      removed: [...this.removed.keys()],
      asked: this.requests.unanswered(at),
    };
  }

  private isUsed(id: string): boolean {
    return (this.context.jobState.placementsByMachine.get(id)?.size ?? 0) > 0;
  }

  /** Lifts the cordon of `reason` on a machine. */
  private uncordon(id: string, reason: string): void {
    const machine = this.context.registry.machines.get(id);
    if (machine?.cordonReason === reason) machine.cordonReason = null;
  }

  /** Cordons machines and deletes them. With `onlyEmpty`, those with work on them are kept. */
  private remove(
    candidates: readonly string[],
    reason: string,
    onlyEmpty = false,
  ): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const { clock, leaderTerm, mayAct, registry } = this.context;
      if (candidates.length === 0 || !mayAct()) return;
      const mustStay = (id: string): boolean => onlyEmpty && this.isUsed(id);
      const cordoned = candidates.slice(0, MAX_RETURNED).filter((id) => !mustStay(id));
      for (const id of cordoned) {
        const machine = registry.machines.get(id);
        if (machine) machine.cordonReason = reason;
      }
      if (onlyEmpty) {
        // A start decided just before the machine was cordoned may still be on its way into the record.
        yield* Effect.sleep(START_IN_FLIGHT_MS);
        for (const id of cordoned) if (this.isUsed(id)) this.uncordon(id, reason);
      }
      const ids = cordoned.filter((id) => !mustStay(id));
      if (ids.length === 0 || !mayAct()) return;
      let sent = false;
      const isEntitled = (): boolean => (sent ||= mayAct() && !ids.some(mustStay));
      yield* this.cloud.remove(ids, isEntitled).pipe(
        // Not sent, since one of them has work: it stayed cordoned, with room on it, for as long as that ran.
        Effect.tapError(() =>
          Effect.sync(() => {
            if (!sent) for (const id of ids) this.uncordon(id, reason);
          }),
        ),
      );
      for (const id of ids) {
        registry.removeMachine(id);
        this.removed.set(id, clock());
        for (const known of [this.awaited, this.overdue, this.unneeded, this.rented]) known.delete(id);
      }
      yield* info('machines returned', {
        term: leaderTerm.number,
        count: ids.length,
        reason,
        machine: ids[0]!,
      });
    });
  }

  /** Returns machines that failed, can't be used, or are not needed. */
  private returnMachines(): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const found = this.findReturnable(this.context.clock());
      yield* this.remove(found.failed, 'failed');
      yield* this.remove(found.leaseExpired, 'lease expired');
      yield* this.remove(found.unreachable, 'unreachable');
      yield* this.remove(found.silent, 'never reported');
      yield* this.remove(found.neverBooted, 'never booted');
      yield* this.remove(found.unneeded, 'overdue and not needed', true);
      // Only with a view of the demand from a recent cycle, and never while a start may be on its way.
      const idle = planReturns(found.idle, ({ id }) => this.idleLimit(id));
      yield* this.remove(idle, 'idle', true);
    });
  }

  /** For how long an empty machine is kept. */
  private idleLimit(id: string): Micros {
    if (this.context.registry.machines.get(id)?.cordonReason) return 0 as Micros;
    return this.cycle.idleMachines.has(id) || this.overdue.has(id) ? IDLE_SURPLUS : IDLE;
  }

  private findReturnable(at: Micros): Returnable {
    const { registry, settings } = this.context;
    const found: Returnable = {
      failed: [],
      leaseExpired: [],
      unreachable: [],
      silent: [],
      neverBooted: [],
      unneeded: [],
      idle: [],
    };
    for (const machine of registry.machines.values()) {
      const { id, type, zone, spot, idleSince: emptySince } = machine;
      if (machine.cloudStatus === 'failed') found.failed.push(id);
      else if (machine.reported && at > registry.leaseExpiry(machine) + SILENT) found.leaseExpired.push(id);
      else if (isUnreachable(machine, settings.workers, at)) found.unreachable.push(id);
      else if (isSilent(machine, settings.workers, at)) found.silent.push(id);
      else if (!machine.reported) {
        if (this.hasNotBooted(machine, at)) found.neverBooted.push(id);
        else if (this.isUnneeded(machine, at)) found.unneeded.push(id);
      } else if (
        emptySince !== null &&
        !this.isUsed(id) &&
        machine.recallAt === null &&
        !(machine.cordonReason === null && this.needed.has(id))
      ) {
        const idleFor = (at - emptySince) as Micros;
        found.idle.push({ id, type, zone, spot, idleFor, age: (at - machine.since) as Micros });
      }
    }
    return found;
  }

  private hasNotBooted(machine: Machine, at: Micros): boolean {
    const limit = this.boots.giveUpAfter(bootKey(machine), this.bootOf(machine.type), at);
    return at - machine.since > limit && at - this.context.leaderTerm.began > NEW_TERM;
  }

  /** An overdue machine that nothing has counted on for long; while work waits that could use it, it may still come. */
  private isUnneeded({ id, type }: Machine, at: Micros): boolean {
    if (!this.overdue.has(id) || this.needed.has(id) || this.wanted.has(type) || this.isUsed(id)) {
      this.unneeded.delete(id);
      return false;
    }
    const since = this.unneeded.get(id);
    if (since === undefined) this.unneeded.set(id, at);
    return since !== undefined && at - since > UNNEEDED;
  }

  /** Rents what the last cycle's demand needs beyond the capacity that is there or pending. */
  private rentMachines(): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const { clock, mayAct } = this.context;
      const plan = this.decide(clock());
      if (plan === null) return;
      for (const rental of plan) {
        if (!mayAct()) return;
        yield* this.rent(rental);
      }
    });
  }

  /** Rentals to ask for; null: not enough is known yet. */
  private decide(at: Micros): readonly Rental[] | null {
    const { jobState, leaderTerm, registry, settings, types } = this.context;
    const { result } = this.cycle;
    if (result === null || !this.hasListed) return null;
    const termAge = at - leaderTerm.began;
    // Machines that are up report within a round or two of a new term.
    if (jobState.placementsByMachine.size > 0 && termAge < settings.workers.report * 1.5 + 2e6) return null;
    const known = new Map(types().map((k) => [k.name, k]));
    const { bins, overdue, anySilent } = capacityOf(registry, result.free, known, at);
    if (anySilent && termAge < REPORTS_AWAITED) return null;
    for (const { type, zone, spot } of this.requests.possibleArrivals(registry.machines.values(), at)) {
      const k = known.get(type);
      if (k) bins.push({ type, zone, spot, free: wholeRoom(k) });
    }
    const demand = orderDemand(this.context, result.unplaced);
    const plan = planRentals({
      types: types(),
      bins,
      demand,
      companions: this.cycle.coLocatedDemand,
      surplus: this.cycle.idleMachines,
      avoidedMachines: (job) => registry.avoidedMachines(job),
      isRefused: (o) => at < (this.refusedUntil.get(offerKey(o)) ?? 0),
      bootsSlowly: (offer) =>
        this.boots.bootsSlowly(bootKey(offer), this.bootOf(offer.type), overdue.get(bootKey(offer)) ?? 0, at),
      maxPerType: MAX_RENTED_PER_TYPE,
    });
    this.needed = plan.needed;
    this.wanted = wantedTypes(types(), demand);
    return plan.rent;
  }

  /**
   * A name is never used again: it carries the term, which only one controller ever holds, and the store's incarnation. A term
   * that a loss has taken and nobody remembers may come again, the time that its attempts begin at does not.
   */
  private readonly nextName = (): string => {
    const { jobState, leaderTerm, lossDetector } = this.context;
    const incarnation = lossDetector.incarnation?.id ?? '';
    return `h-${incarnation}-${leaderTerm.number}.${jobState.attemptBase}-${++this.requestsNamed}`;
  };

  private rent(rental: Rental): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const { clock, fleet, leaderTerm, mayAct, registry } = this.context;
      const { type, zone, spot } = rental;
      const count = Math.min(MAX_PER_REQUEST, rental.count);
      const request = this.requests.requestFor({ ...rental, count }, this.nextName, clock());
      fleet.news = { ...fleet.news, asked: this.requests.unanswered(clock()) };
      const machines = yield* this.cloud.rent(request, mayAct);
      this.requests.confirm(request);
      if (machines === null || machines.length < request.count)
        this.refusedUntil.set(offerKey(rental), plus(clock(), REFUSED_FOR));
      if (machines === null) return;
      const since = clock();
      for (const id of machines)
        if (registry.addRentedMachine(id, since, { type, zone, spot })) this.rented.set(id, since);
      yield* info('machines rented', {
        term: leaderTerm.number,
        type,
        zone,
        spot,
        count: machines.length,
        asked: request.count,
      });
    });
  }
}

/** Runs for as long as the leader's session; failures of the cloud are logged and retried. */
export const autoscaler = (
  context: CycleContext,
  cycle: CycleState,
  cloud: CloudPort,
): Effect.Effect<never> => supervise('autoscaler', new Autoscaler(context, cycle, cloud).run);
