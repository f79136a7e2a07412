/**
 * The leader's machine management. It lists the rented machines, rents the ones that the demand needs, and returns machines
 * that failed, can't be reached or are no longer needed.
 */
import { Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import type { CycleState, CycleContext } from '../scheduler/cycle-context.js';
import type { Machine } from '../workers/machine.js';
import { bootKey, BootTracker, isOverdue, type PendingMachine } from './boot-tracker.js';
import type { CloudFailure, CloudPort } from './cloud.js';
import { isSilent, isUnreachable, pendingMachine, GIVE_UP_MARGIN } from './machine-health.js';
import { offerKey } from './model.js';
import { RentalRequests } from './rental-requests.js';
import { capacityOf, orderDemand, fullCapacity } from './scaling-input.js';
import { type IdleMachine, planRentals, planReturns, type Rental, typesUsableBy } from './scaling-plan.js';

/** After the cloud refuses an offer for lack of capacity, the offer is not requested again for this long. */
const REFUSAL_DURATION = seconds(12);
/** An idle machine is returned after this time. */
const IDLE_TIMEOUT = seconds(45);
/** Shorter timeout for machines that the scheduling cycle calls surplus or that booted late. */
const SURPLUS_IDLE_TIMEOUT = seconds(12);
/** A new leader receives heartbeats one machine at a time, so it gives up no booting machine until its term is this old. */
const MIN_TERM_AGE_TO_GIVE_UP = seconds(30);
/** A new leader rents nothing while machines that the cloud lists as running have not reported, at most until this term age. */
const MAX_HEARTBEAT_WAIT = seconds(10);
/** An overdue machine is returned once no demand has relied on it for this long. */
const UNNEEDED_TIMEOUT = seconds(15);
/** Boot time assumed for machine types that the cloud does not describe. */
const DEFAULT_BOOT_TIME = seconds(30);
/**
 * Added to twice the configured list lag: the age after which a list certainly shows an earlier change. A list may be twice
 * its lag old, and older than the list before it.
 */
const LIST_MARGIN = seconds(10);
/** Lower bound of the interval between two list requests, in microseconds. */
const MIN_LIST_INTERVAL = 3e6;
/** Fraction of the allowed request rate that list requests may use. */
const LIST_RATE_FRACTION = 0.2;
/** Maximum number of machines returned for one reason in one step. */
const MAX_RETURNED_PER_STEP = 100;
/** Maximum number of machines of one type rented in one step. */
const MAX_RENTED_PER_TYPE = 40;
/** Maximum number of machines in one rental request. */
const MAX_PER_REQUEST = 50;
/** Time within which a start that was decided before the machine was cordoned appears in the job state. */
const START_IN_FLIGHT_MS = 400;
/** Pause between two autoscaling steps. */
const STEP_INTERVAL_MS = 800;
/** Additional pause after a failure of the cloud. */
const RETRY_DELAY_MS = 1500;

/** Machines to return, grouped by reason. */
interface Returnable {
  readonly failed: string[];
  readonly leaseExpired: string[];
  readonly unreachable: string[];
  readonly silent: string[];
  readonly neverBooted: string[];
  readonly unneeded: string[];
  readonly idle: IdleMachine[];
}

/** The state and the steps of the autoscaler for one leadership term. */
class Autoscaler {
  /** When each refused offer may be requested again, by `offerKey`. */
  private readonly refusedUntil = new Map<string, Micros>();
  /** Recently observed boot times. */
  private readonly boots = new BootTracker();
  /** Machines that became known in this term before their first heartbeat; the heartbeat then reveals the boot time. */
  private readonly unreported = new Set<string>();
  /** Machines that took longer to boot than usual. */
  private readonly overdue = new Set<string>();
  /** Overdue machines that no demand relies on, with the time since when that is so. */
  private readonly unneededSince = new Map<string, Micros>();
  /** Machines rented by this leader, with the time of the rental, until the cloud's list shows them. */
  private readonly rentedAt = new Map<string, Micros>();
  /** Machines returned by this leader, with the time, until the cloud's list certainly no longer shows them. */
  private readonly removedAt = new Map<string, Micros>();
  private readonly requests: RentalRequests;
  /** Number of rental requests named in this term; part of the next name. */
  private requestCount = 0;
  /** Machines that the latest rental plan assigns demand to. */
  private neededMachines: ReadonlySet<string> = new Set();
  /** Machine types that some waiting task could run on. */
  private usableTypes: ReadonlySet<string> = new Set();
  /** Whether this leader has received the cloud's machine list. */
  private hasListed = false;
  private lastListedAt = Number.NEGATIVE_INFINITY;
  /** Minimum interval between two list requests, in microseconds. */
  private readonly listInterval: number;

  constructor(
    private readonly context: CycleContext,
    private readonly cycle: CycleState,
    private readonly cloud: CloudPort,
  ) {
    const { settings, fleet, leaderTerm } = context;
    const listDelay = plus(0 as Micros, 2 * settings.cloud.listLag + LIST_MARGIN);
    this.requests = new RentalRequests(listDelay, fleet.news, leaderTerm.began);
    this.listInterval = Math.max(MIN_LIST_INTERVAL, 1e6 / (settings.cloud.rps * LIST_RATE_FRACTION));
  }

  /** Repeats the autoscaling step forever; a failure of the cloud is logged and delays the next step. */
  readonly run = Effect.suspend(() => this.step()).pipe(
    Effect.catchAll((failure) =>
      info('cloud unavailable', { reason: failure.reason }).pipe(
        Effect.zipRight(Effect.sleep(RETRY_DELAY_MS)),
      ),
    ),
    Effect.zipRight(Effect.sleep(STEP_INTERVAL_MS)),
    Effect.forever,
  );

  private step(): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      if (!this.context.mayAct()) return;
      if (this.context.clock() - this.lastListedAt >= this.listInterval) yield* this.refreshMachineList();
      yield* this.trackBoots();
      yield* this.reportUnreachableWorkers();
      this.publishUpdate();
      yield* this.returnMachines();
      yield* this.rentMachines();
    });
  }

  /** Requests the cloud's machine list and applies it to the registry. */
  private refreshMachineList(): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const { clock, fleet, registry } = this.context;
      this.lastListedAt = clock();
      const machines = yield* this.cloud.list();
      this.hasListed = true;
      fleet.listed = true;
      registry.applyListing(machines, clock());
      for (const { id } of machines) this.rentedAt.delete(id);
    });
  }

  /** Returns the stated boot time of a machine type. */
  private bootTimeOf(type: string): Micros {
    return this.context.types().find((machineType) => machineType.name === type)?.boot ?? DEFAULT_BOOT_TIME;
  }

  /** Returns the data from which the machine's pending capacity is estimated. */
  private pendingMachineOf(machine: Machine, at: Micros): PendingMachine {
    return pendingMachine(machine, this.bootTimeOf(machine.type), at);
  }

  /** Tracks machines from their rental to their first heartbeat, and logs those that become overdue. */
  private trackBoots(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { clock, registry, leaderTerm } = this.context;
      const at = clock();
      for (const machine of registry.machines.values()) {
        const { id, type, zone } = machine;
        const age = (at - machine.since) as Micros;
        if (machine.reported) {
          if (!this.unreported.delete(id)) continue;
          // A machine that the list already called running may have booted long ago, under an earlier leader.
          if (machine.runningSince === null) this.boots.recordBoot(bootKey(machine), age, at);
          if (this.overdue.has(id))
            yield* info('overdue machine reported', { machine: id, afterS: Math.round(age / 1e6) });
        } else {
          this.unreported.add(id);
          if (this.overdue.has(id) || !isOverdue(this.pendingMachineOf(machine, at))) continue;
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

  /** Logs the workers that responses do not reach. */
  private reportUnreachableWorkers(): Effect.Effect<void> {
    return Effect.gen(this, function* () {
      const { registry, leaderTerm } = this.context;
      for (const machine of registry.unreachableWorkers.splice(0))
        yield* info('responses not reaching worker', { term: leaderTerm.number, machine });
    });
  }

  /** Publishes what this leader knows about rentals and the cloud's list may not show yet, for the next leader. */
  private publishUpdate(): void {
    const { clock, fleet, registry, settings } = this.context;
    const at = clock();
    const limit = at - 3 * settings.cloud.listLag - LIST_MARGIN;
    for (const changes of [this.rentedAt, this.removedAt])
      for (const [id, since] of changes) if (since < limit) changes.delete(id);
    fleet.news = {
      rented: [...this.rentedAt].flatMap(([id, since]) => {
        const machine = registry.machines.get(id);
        if (!machine) return [];
        const { type, zone, spot } = machine;
        return [{ id, type, zone, spot, age: at - since }];
      }),
      removed: [...this.removedAt.keys()],
      asked: this.requests.unresolved(at),
    };
  }

  /** Whether the job state places tasks on the machine. */
  private hasPlacements(id: string): boolean {
    return (this.context.jobState.placementsByMachine.get(id)?.size ?? 0) > 0;
  }

  /** Lifts the machine's cordon if it was set for `reason`. */
  private uncordon(id: string, reason: string): void {
    const machine = this.context.registry.machines.get(id);
    if (machine?.cordonReason === reason) machine.cordonReason = null;
  }

  /** Cordons the machines and has the cloud delete them. With `onlyEmpty`, machines with tasks are kept. */
  private returnToCloud(
    candidates: readonly string[],
    reason: string,
    onlyEmpty = false,
  ): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const { clock, leaderTerm, mayAct, registry } = this.context;
      if (candidates.length === 0 || !mayAct()) return;
      const mustStay = (id: string): boolean => onlyEmpty && this.hasPlacements(id);
      const cordoned = candidates.slice(0, MAX_RETURNED_PER_STEP).filter((id) => !mustStay(id));
      for (const id of cordoned) {
        const machine = registry.machines.get(id);
        if (machine) machine.cordonReason = reason;
      }
      if (onlyEmpty) {
        // A start decided just before the machine was cordoned may not be in the job state yet.
        yield* Effect.sleep(START_IN_FLIGHT_MS);
        for (const id of cordoned) if (this.hasPlacements(id)) this.uncordon(id, reason);
      }
      const ids = cordoned.filter((id) => !mustStay(id));
      if (ids.length === 0 || !mayAct()) return;
      let sent = false;
      const maySend = (): boolean => (sent ||= mayAct() && !ids.some(mustStay));
      yield* this.cloud.remove(ids, maySend).pipe(
        // The request is not sent if one of the machines got a task. Unless its cordon is lifted then, the machine gets no other
        // tasks, despite its free resources, for as long as that task runs.
        Effect.tapError(() =>
          Effect.sync(() => {
            if (!sent) for (const id of ids) this.uncordon(id, reason);
          }),
        ),
      );
      for (const id of ids) {
        registry.removeMachine(id);
        this.removedAt.set(id, clock());
        for (const tracked of [this.unreported, this.overdue, this.unneededSince, this.rentedAt])
          tracked.delete(id);
      }
      yield* info('machines returned', {
        term: leaderTerm.number,
        count: ids.length,
        reason,
        machine: ids[0]!,
      });
    });
  }

  /** Returns machines that failed, can't be used or are not needed. */
  private returnMachines(): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const found = this.findReturnable(this.context.clock());
      yield* this.returnToCloud(found.failed, 'failed');
      yield* this.returnToCloud(found.leaseExpired, 'lease expired');
      yield* this.returnToCloud(found.unreachable, 'unreachable');
      yield* this.returnToCloud(found.silent, 'never reported');
      yield* this.returnToCloud(found.neverBooted, 'never booted');
      yield* this.returnToCloud(found.unneeded, 'overdue and not needed', true);
      // Idle machines that the demand of the latest cycle relies on were left out above. `onlyEmpty` also keeps machines for
      // which a start is still being committed.
      const idle = planReturns(found.idle, ({ id }) => this.idleLimit(id));
      yield* this.returnToCloud(idle, 'idle', true);
    });
  }

  /** Returns for how long an idle machine is kept. */
  private idleLimit(id: string): Micros {
    if (this.context.registry.machines.get(id)?.cordonReason) return 0 as Micros;
    return this.cycle.idleMachines.has(id) || this.overdue.has(id) ? SURPLUS_IDLE_TIMEOUT : IDLE_TIMEOUT;
  }

  /** Finds the machines to return, without regard to the limits of one step. */
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
      const { id, type, zone, spot, idleSince } = machine;
      if (machine.cloudStatus === 'failed') found.failed.push(id);
      else if (machine.reported && at > registry.leaseExpiry(machine) + GIVE_UP_MARGIN)
        found.leaseExpired.push(id);
      else if (isUnreachable(machine, settings.workers, at)) found.unreachable.push(id);
      else if (isSilent(machine, settings.workers, at)) found.silent.push(id);
      else if (!machine.reported) {
        if (this.hasNotBooted(machine, at)) found.neverBooted.push(id);
        else if (this.isUnneeded(machine, at)) found.unneeded.push(id);
      } else if (
        idleSince !== null &&
        !this.hasPlacements(id) &&
        machine.recallAt === null &&
        !(machine.cordonReason === null && this.neededMachines.has(id))
      ) {
        const idleFor = (at - idleSince) as Micros;
        found.idle.push({ id, type, zone, spot, idleFor, age: (at - machine.since) as Micros });
      }
    }
    return found;
  }

  /** Whether the machine is given up because it has not reported for too long since its rental. */
  private hasNotBooted(machine: Machine, at: Micros): boolean {
    const limit = this.boots.giveUpAfter(bootKey(machine), this.bootTimeOf(machine.type), at);
    return at - machine.since > limit && at - this.context.leaderTerm.began > MIN_TERM_AGE_TO_GIVE_UP;
  }

  /**
   * Whether the machine is overdue and no demand has relied on it for `UNNEEDED_TIMEOUT`. While waiting work could use its
   * type, an overdue machine is kept, since it may still boot.
   */
  private isUnneeded({ id, type }: Machine, at: Micros): boolean {
    if (
      !this.overdue.has(id) ||
      this.neededMachines.has(id) ||
      this.usableTypes.has(type) ||
      this.hasPlacements(id)
    ) {
      this.unneededSince.delete(id);
      return false;
    }
    const since = this.unneededSince.get(id);
    if (since === undefined) this.unneededSince.set(id, at);
    return since !== undefined && at - since > UNNEEDED_TIMEOUT;
  }

  /** Rents the machines that the last cycle's demand needs beyond the available and pending capacity. */
  private rentMachines(): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const { clock, mayAct } = this.context;
      const plan = this.decideRentals(clock());
      if (plan === null) return;
      for (const rental of plan) {
        if (!mayAct()) return;
        yield* this.sendRental(rental);
      }
    });
  }

  /** Plans the rentals to request. Returns null while this leader does not know enough about the machines. */
  private decideRentals(at: Micros): readonly Rental[] | null {
    const { jobState, leaderTerm, registry, settings, types } = this.context;
    const { result } = this.cycle;
    if (result === null || !this.hasListed) return null;
    const termAge = at - leaderTerm.began;
    // Running machines send a heartbeat within one or two heartbeat intervals of a new term.
    if (jobState.placementsByMachine.size > 0 && termAge < settings.workers.heartbeatInterval * 1.5 + 2e6)
      return null;
    const typesByName = new Map(types().map((machineType) => [machineType.name, machineType]));
    const { bins, overdue, anyUnconfirmed } = capacityOf(registry, result.free, typesByName, at);
    if (anyUnconfirmed && termAge < MAX_HEARTBEAT_WAIT) return null;
    for (const { type, zone, spot } of this.requests.possibleArrivals(registry.machines.values(), at)) {
      const machineType = typesByName.get(type);
      if (machineType) bins.push({ type, zone, spot, free: fullCapacity(machineType) });
    }
    const demand = orderDemand(this.context, result.unplaced);
    const plan = planRentals({
      types: types(),
      bins,
      demand,
      coLocatedDemand: this.cycle.coLocatedDemand,
      surplusMachines: this.cycle.idleMachines,
      avoidedMachines: (job) => registry.avoidedMachines(job),
      isRefused: (offer) => at < (this.refusedUntil.get(offerKey(offer)) ?? 0),
      bootsSlowly: (offer) =>
        this.boots.bootsSlowly(
          bootKey(offer),
          this.bootTimeOf(offer.type),
          overdue.get(bootKey(offer)) ?? 0,
          at,
        ),
      maxPerType: MAX_RENTED_PER_TYPE,
    });
    this.neededMachines = plan.needed;
    this.usableTypes = typesUsableBy(types(), demand);
    return plan.rent;
  }

  /**
   * Returns a name for a rental request that is never used again. It contains the store's incarnation and the term, which
   * only one controller ever holds. After a data loss the same term number may be given out again if no controller remembers
   * it; the number that its attempts begin at is derived from the time and does not repeat.
   */
  private readonly nextName = (): string => {
    const { jobState, leaderTerm, lossDetector } = this.context;
    const incarnation = lossDetector.incarnation?.id ?? '';
    return `h-${incarnation}-${leaderTerm.number}.${jobState.attemptBase}-${++this.requestCount}`;
  };

  /** Sends one rental request and registers the machines that the cloud returns. */
  private sendRental(rental: Rental): Effect.Effect<void, CloudFailure> {
    return Effect.gen(this, function* () {
      const { clock, fleet, leaderTerm, mayAct, registry } = this.context;
      const { type, zone, spot } = rental;
      const count = Math.min(MAX_PER_REQUEST, rental.count);
      const request = this.requests.requestFor({ ...rental, count }, this.nextName, clock());
      fleet.news = { ...fleet.news, asked: this.requests.unresolved(clock()) };
      const machines = yield* this.cloud.rent(request, mayAct);
      this.requests.complete(request);
      if (machines === null || machines.length < request.count)
        this.refusedUntil.set(offerKey(rental), plus(clock(), REFUSAL_DURATION));
      if (machines === null) return;
      const since = clock();
      for (const id of machines)
        if (registry.addRentedMachine(id, since, { type, zone, spot })) this.rentedAt.set(id, since);
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

/** Runs the autoscaler for the whole leadership term; failures of the cloud are logged and retried. */
export const autoscaler = (
  context: CycleContext,
  cycle: CycleState,
  cloud: CloudPort,
): Effect.Effect<never> => supervise('autoscaler', new Autoscaler(context, cycle, cloud).run);
