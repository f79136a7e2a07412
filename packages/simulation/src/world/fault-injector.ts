/**
 * Injects the faults of a simulated day. Planned faults happen once, at a randomly drawn time. Recurring faults are
 * drawn from a list of kinds, one every 5 to 25 s. The order of that list and of the random draws must not change,
 * since a seed reproduces a day only as long as both stay the same.
 */
import { Duration } from 'effect';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import { ZONES } from '@lilacvalve/controller/support/settings';
import type { Cloud } from './cloud.js';
import type { Controllers } from './controllers.js';
import type { DataLoss } from './data-loss.js';
import type { Size } from './deployment-size.js';
import type { DuplicateDelivery } from './duplicate-delivery.js';
import type { FaultLog } from './fault-log.js';
import { type Faults, type LinkPlan, QUICK_RESTART } from './faults.js';
import type { LoanStep } from './lending.js';
import type { Links, LinkState } from './links.js';
import { SCENARIO_NAMES } from './scenarios/scenario-names.js';
import type { Scenarios } from './scenarios/scenarios.js';
import type { StateService } from './state-service/state-service.js';
import type { Time } from './time.js';
import type { Users } from './users.js';
import type { Worker } from './worker/worker.js';

/** Time of the first recurring fault, in microseconds from the start of the day. */
const FIRST_FAULT = 15e6;

/** Dependencies of the fault injector: the simulated components that it disturbs. */
export interface FaultInjectorOptions {
  readonly faults: Faults;
  readonly size: Size;
  readonly time: Time;
  readonly random: RandomSource;
  readonly links: Links;
  readonly state: StateService;
  readonly controllers: Controllers;
  readonly cloud: Cloud;
  readonly workers: ReadonlyMap<string, Worker>;
  readonly users: Users;
  readonly dataLoss: DataLoss;
  readonly duplicates: DuplicateDelivery;
  readonly log: FaultLog;
  readonly scenarios: Scenarios | null;
  /** Schedules the operators who publish calendars during the faulty period. */
  readonly applyCalendars: (faultsUntil: number) => void;
}

type InjectFault = () => void;

/** Schedules the faults of a day, and offers single faults to the scenarios. */
export class FaultInjector {
  /** End of the faulty period, in microseconds. Leaders crash between the steps of a loan only until then. */
  private faultsUntil = 0;

  constructor(private readonly options: FaultInjectorOptions) {}

  /** Schedules all faults of a day. No fault begins after `faultsUntil` (microseconds). */
  schedule(faultsUntil: number): void {
    this.faultsUntil = faultsUntil;
    this.schedulePlanned(faultsUntil);
    this.scheduleScenarios(faultsUntil);
    this.scheduleRecurring(this.recurringFaults(), faultsUntil);
  }

  /**
   * Handles a step of a loan. Sometimes the leader crashes just after the step, and sometimes its successor crashes
   * as well; each crashed controller restarts after 0.2 s. A machine may also fail shortly after its tasks were
   * stopped for a loan.
   */
  loanStep(step: LoanStep, machine: string): void {
    const { cloud, controllers, faults, log, random, time } = this.options;
    if (!faults.lending || time.now > this.faultsUntil) return;
    const crashLeader = (): void => {
      const leader = controllers.leader();
      if (leader !== undefined) controllers.crash(leader, 200_000);
    };
    if (random.chance(0.06)) {
      log.recordInjected(`after_${step}`);
      time.after(random.between(0, 20_000), crashLeader);
      if (random.chance(0.5)) time.after(random.between(300_000, 3e6), crashLeader);
    }
    if (step === 'stopped' && random.chance(0.05)) time.after(1e6, () => cloud.failMachine(machine));
  }

  /** Sets the link between two endpoints to `state` in both directions, for `durationUs`. */
  cut(one: string, other: string, state: LinkState, durationUs: number): void {
    const { links, log } = this.options;
    log.disruptedFor(durationUs);
    links.set(one, other, state, durationUs);
    links.set(other, one, state, durationUs);
  }

  private schedulePlanned(faultsUntil: number): void {
    const { applyCalendars, dataLoss, faults, log, random, time } = this.options;
    if (faults.storm) this.overloadControllers(faultsUntil);
    if (faults.guests) time.after(random.between(10e6, 40e6), () => this.submitGuests());
    const { links = [], losses = [] } = faults;
    for (const plan of [...links, ...losses]) log.disruptedUntil(plan.at[1]);
    for (const plan of links) time.after(random.between(plan.at[0], plan.at[1]), () => this.failLink(plan));
    for (const plan of losses) time.after(random.between(plan.at[0], plan.at[1]), () => dataLoss.begin(plan));
    if (faults.cutoffs) applyCalendars(faultsUntil);
    if (faults.everythingRestarts) time.after(random.between(40e6, 60e6), () => this.restartEverything());
  }

  private scheduleScenarios(faultsUntil: number): void {
    const { faults, scenarios, time } = this.options;
    if (scenarios === null) return;
    if (faults.compoundFaults) scenarios.scheduleCompound(faultsUntil);
    // The scenario runs twice, with enough time between the two for the first run to finish.
    if (faults.rollingRefusal)
      for (const fraction of [0.08, 0.6]) time.after(fraction * faultsUntil, scenarios.begin.rollingRefusal);
  }

  private scheduleRecurring(kinds: readonly InjectFault[], faultsUntil: number): void {
    const { log, random, time } = this.options;
    if (kinds.length === 0) return;
    for (let at = FIRST_FAULT; at < faultsUntil; at += random.between(5e6, 25e6)) {
      log.disruptedUntil(at);
      time.after(at, () => kinds[random.int(kinds.length)]!());
    }
  }

  /** Returns the recurring faults that are enabled for the day. */
  private recurringFaults(): InjectFault[] {
    const { faults, scenarios } = this.options;
    const kinds: InjectFault[] = [];
    if (faults.quickRestart) kinds.push(...this.quickRestarts());
    if (faults.machineRestart) kinds.push(...this.machineRestarts());
    if (faults.nodeCrash) kinds.push(...this.crashes());
    if (faults.stateOutage) kinds.push(() => this.stateOutage());
    if (faults.stateCut) kinds.push(() => this.stateCut());
    if (faults.netCut) kinds.push(() => this.cutNetwork());
    if (faults.freeze) kinds.push(...this.freezes());
    if (faults.workersCut) kinds.push(() => this.cutOff('workers', this.leaderOrAny()));
    if (faults.peersCut) kinds.push(() => this.cutOff('peers', this.options.controllers.randomLabel()));
    if (faults.lateBoots) kinds.push(() => this.lateBoots());
    if (faults.clockSteps) kinds.push(() => this.shiftClock());
    if (faults.flood) kinds.push(() => this.flood());
    if (faults.machineDie) kinds.push(...this.machineLosses());
    if (faults.machineHang) kinds.push(() => this.machineHang());
    if (faults.cloudOutage) kinds.push(() => this.cloudOutage());
    if (scenarios)
      for (const name of SCENARIO_NAMES)
        if (faults[name] && name !== 'rollingRefusal') kinds.push(scenarios.begin[name]);
    return kinds;
  }

  private leaderOrAny(): string {
    const { controllers } = this.options;
    return controllers.leader() ?? controllers.randomLabel();
  }

  private machine(): Worker | undefined {
    const { random, workers } = this.options;
    return [...workers.values()][random.int(Math.max(1, workers.size))];
  }

  /**
   * Calls `end` after a random duration between the two bounds, in microseconds. Until then responses may be missing
   * without violating a rule.
   */
  private during(minUs: number, maxUs: number, end: () => void): void {
    const { log, random, time } = this.options;
    const durationUs = random.between(minUs, maxUs);
    log.disruptedFor(durationUs);
    time.after(durationUs, end);
  }

  private crashes(): InjectFault[] {
    const { controllers, random } = this.options;
    return [
      () => controllers.crash(controllers.randomLabel(), random.between(2e6, 12e6)),
      () => controllers.labels.forEach((label) => controllers.crash(label, random.between(2e6, 8e6))),
    ];
  }

  private stateOutage(): void {
    const { state } = this.options;
    if (state.isDown) return;
    state.outage(true);
    this.during(3e6, 30e6, () => state.outage(false));
  }

  private stateCut(): void {
    const { controllers, state } = this.options;
    const label = controllers.randomLabel();
    state.refusedControllers.add(label);
    this.during(3e6, 30e6, () => state.refusedControllers.delete(label));
  }

  private cutNetwork(): void {
    const { controllers, random } = this.options;
    const durationUs = random.between(3e6, 30e6);
    if (random.chance(0.5)) this.isolate(controllers.randomLabel(), durationUs);
    else this.cut(`zone:${random.chance(0.5) ? 'a' : 'b'}`, controllers.randomLabel(), 'held', durationUs);
  }

  /** Cuts a controller off from users, workers and peers. It still reaches the state service and the cloud. */
  private isolate(label: string, durationUs: number): void {
    for (const end of ['users', ...this.zones(), ...this.peersOf(label)])
      this.cut(label, end, 'held', durationUs);
  }

  private cutOff(kind: 'workers' | 'peers', label: string): void {
    const { log, random } = this.options;
    log.recordInjected(`${kind}Cut`);
    const durationUs = random.between(5e6, 40e6);
    for (const end of kind === 'peers' ? this.peersOf(label) : this.zones())
      this.cut(label, end, 'held', durationUs);
  }

  private zones(): string[] {
    return ZONES.map((zone) => `zone:${zone}`);
  }

  private peersOf(label: string): string[] {
    return this.options.controllers.labels.filter((other) => other !== label);
  }

  private freezes(): InjectFault[] {
    const { controllers, log, random } = this.options;
    const freezeController = (label: string): void => {
      log.recordInjected('freeze');
      const durationUs = random.between(1e6, 45e6);
      log.disruptedFor(durationUs);
      controllers.freeze(label, durationUs);
    };
    return [() => freezeController(controllers.randomLabel()), () => freezeController(this.leaderOrAny())];
  }

  private lateBoots(): void {
    const { cloud, random, time } = this.options;
    cloud.lateUntil = time.now + random.between(10e6, 40e6);
  }

  private shiftClock(): void {
    const { controllers, log, random } = this.options;
    log.recordInjected('clockSteps');
    controllers.clockOffsets.set(this.leaderOrAny(), random.between(-10e6, 10e6));
  }

  private flood(): void {
    const { controllers, log, random, users } = this.options;
    const label = random.chance(0.5) ? this.leaderOrAny() : controllers.randomLabel();
    controllers.freeze(label, 1.8e6);
    const ids = [...users.jobs.keys()];
    for (let i = 0; i < 400; i++)
      users.call(label, 'GET', `/work/${ids[random.int(ids.length)]}`, null, (response) => {
        if (response?.status === 503 && Number(response.headers?.['Retry-After']) >= 1)
          log.recordInjected('flood');
      });
  }

  private machineLosses(): InjectFault[] {
    const { cloud, random, time } = this.options;
    return [
      () => {
        const worker = this.machine();
        if (worker) cloud.failMachine(worker.place.id);
      },
      // The cloud announces that it takes a spot machine back, and takes it when the notice period ends.
      () => {
        const worker = this.machine();
        if (!worker?.place.spot) return;
        worker.recallAt = time.now + random.between(4e6, 15e6);
        time.after(worker.recallAt - time.now, () => cloud.remove(worker.place.id));
      },
    ];
  }

  private machineHang(): void {
    const worker = this.machine();
    if (!worker) return;
    worker.hanging = true;
    this.during(2e6, 40e6, () => (worker.hanging = false));
  }

  private cloudOutage(): void {
    const { cloud } = this.options;
    cloud.out = true;
    this.during(5e6, 40e6, () => (cloud.out = false));
  }

  private submitGuests(): void {
    const { log, random, size, time, users } = this.options;
    log.recordInjected('guests');
    users.submit({ guest: { tasks: 40 * size.maxArrayTasks, cpus: 0.25 } });
    for (let i = 0; i < 40; i++)
      time.after(random.between(0, 30e6), () => users.submit({ guest: { tasks: 1, cpus: 0.25 } }));
  }

  private restartEverything(): void {
    const { cloud, controllers, log, random, state, time, users, workers } = this.options;
    log.recordInjected('everythingRestarts');
    state.outage(true);
    log.disruptedFor(25e6);
    time.after(25e6, () => state.outage(false));
    for (const label of controllers.labels) controllers.crash(label, random.between(2e6, 8e6));
    const running = [...workers.keys()];
    for (const id of running.filter((_, i) => i % 2 === 0))
      time.after(random.between(1e6, 10e6), () => cloud.failMachine(id));
    for (let i = 0; i < 20; i++) time.after(random.between(0, 20e6), () => users.submit());
  }

  private failLink(plan: LinkPlan): void {
    const { controllers, links, log, random } = this.options;
    const endpoint = (name: string): string =>
      name === 'leader' ? this.leaderOrAny() : name === 'any' ? controllers.randomLabel() : name;
    const [from, to] = [endpoint(plan.from), endpoint(plan.to)];
    const durationUs = random.between(plan.lasts[0], plan.lasts[1]);
    log.recordInjected('links');
    if (plan.both) return this.cut(from, to, plan.state, durationUs);
    log.disruptedFor(durationUs);
    links.set(from, to, plan.state, durationUs);
  }

  /** Returns faults that crash controllers which restart within half a second. */
  private quickRestarts(): InjectFault[] {
    const { controllers, log, random, state, time } = this.options;
    const { labels } = controllers;
    const crashAfter = (delayUs: number, label: () => string | undefined): void => {
      log.disruptedFor(delayUs);
      time.after(delayUs, () => {
        const crashing = label();
        if (crashing === undefined) return;
        log.recordInjected('quickRestart');
        controllers.crash(crashing, random.between(...QUICK_RESTART));
      });
    };
    const randomSubset = (): string[] => {
      const count = [1, Math.ceil(labels.length / 2), labels.length][random.int(3)]!;
      return [...labels].sort(() => random.next() - 0.5).slice(0, count);
    };
    return [
      () => randomSubset().forEach((label) => crashAfter(random.between(0, 400_000), () => label)),
      // Crash loops: each controller runs for a while before its next crash, sometimes too briefly to read the store.
      () => {
        const maxUptimeUs = random.chance(0.5) ? 700_000 : 4e6;
        for (const label of randomSubset())
          for (let i = 0, at = 0; i < 3 + random.int(10); i++, at += random.between(100_000, maxUptimeUs))
            crashAfter(at, () => label);
      },
      // The leader and its successors crash in turn, which interrupts elections and first scheduling cycles.
      () => {
        for (let i = 0, at = 0; i < 2 + random.int(4); i++, at += random.between(300_000, 6e6))
          crashAfter(at, () => this.leaderOrAny());
      },
      // All controllers crash repeatedly, from half a second before the state service is back until a second after.
      () => {
        if (state.isDown) return;
        const durationUs = random.between(2e6, 12e6);
        state.outage(true);
        log.disruptedFor(durationUs);
        time.after(durationUs, () => state.outage(false));
        for (const label of labels)
          for (let i = 0; i < 3; i++) crashAfter(durationUs + random.between(-500_000, 1e6), () => label);
      },
    ];
  }

  private machineRestarts(): InjectFault[] {
    const { duplicates, log, random, time, workers } = this.options;
    const restart = (worker: Worker): void => {
      if (!worker.alive || worker.hanging) return;
      log.recordInjected('machineRestart');
      duplicates.senderExited(worker.place.id);
      worker.restart(random.between(...QUICK_RESTART));
    };
    const randomSubset = (fraction: number): Worker[] =>
      [...workers.values()].filter(() => random.chance(fraction));
    return [
      () =>
        randomSubset([0.1, 0.5, 1][random.int(3)]!).forEach((worker) =>
          time.after(random.between(0, 1e6), () => restart(worker)),
        ),
      () => {
        for (const worker of randomSubset(0.3))
          for (let i = 0, at = 0; i < 2 + random.int(5); i++, at += random.between(600_000, 5e6))
            time.after(at, () => restart(worker));
      },
    ];
  }

  /** Overloads all controllers until `until`: their timers fire late, and users poll ten times as often. */
  private overloadControllers(until: number): void {
    const { controllers, random, time, users } = this.options;
    const delayTimers = (delayMs: number): void => {
      for (const label of controllers.labels) {
        const host = controllers.host(label);
        if (host) host.timerDelay = Duration.millis(delayMs);
      }
    };
    const repeat = (): void => {
      users.pollsFaster = time.now < until;
      delayTimers(users.pollsFaster ? random.between(850, 1000) : 0);
      if (users.pollsFaster) time.after(1e6, repeat);
    };
    time.after(random.between(15e6, 25e6), () => {
      users.pollsFaster = true;
      repeat();
    });
  }
}
