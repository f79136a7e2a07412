/**
 * Brings the faults of a day about. Some happen once at a drawn time; the others are kinds, of which one is drawn every 5
 * to 25 s. The order of the kinds and of the draws is part of what a seed means.
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
import type { Step } from './lending.js';
import type { Links, LinkState } from './links.js';
import { SCENARIO_NAMES } from './scenarios/scenario-names.js';
import type { Scenarios } from './scenarios/scenarios.js';
import type { StateService } from './state-service/state-service.js';
import type { Time } from './time.js';
import type { Users } from './users.js';
import type { Worker } from './worker/worker.js';

/** The first drawn fault, microseconds. */
const FIRST_FAULT = 15e6;

/** What faults are brought about on. */
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
  /** Operators apply the day's calendars. */
  readonly applyCalendars: (troubled: number) => void;
}

type Strike = () => void;

/** Schedules a day's faults, and brings single ones about. */
export class FaultInjector {
  /** Until when leaders die between the steps of a loan. */
  private troubled = 0;

  constructor(private readonly options: FaultInjectorOptions) {}

  /** Schedules all faults of a day. None begins later than `troubled`. */
  schedule(troubled: number): void {
    this.troubled = troubled;
    this.schedulePlanned(troubled);
    this.scheduleScenarios(troubled);
    this.scheduleDrawn(this.kinds(), troubled);
  }

  /** A step of a loan: now and then the leader dies just after it, and the next one too; all are back soon. */
  loanStep(what: Step, machine: string): void {
    const { cloud, controllers, faults, log, random, time } = this.options;
    if (!faults.lending || time.now > this.troubled) return;
    const crashLeader = (): void => {
      const leader = controllers.leader();
      if (leader !== undefined) controllers.crash(leader, 200_000);
    };
    if (random.chance(0.06)) {
      log.strike(`after_${what}`);
      time.after(random.between(0, 20_000), crashLeader);
      if (random.chance(0.5)) time.after(random.between(300_000, 3e6), crashLeader);
    }
    if (what === 'stopped' && random.chance(0.05)) time.after(1e6, () => cloud.lose(machine));
  }

  /** Both directions between two ends. */
  cut(one: string, other: string, state: LinkState, lasts: number): void {
    const { links, log } = this.options;
    log.disturbed(lasts);
    links.set(one, other, state, lasts);
    links.set(other, one, state, lasts);
  }

  private schedulePlanned(troubled: number): void {
    const { applyCalendars, dataLoss, faults, log, random, time } = this.options;
    if (faults.storm) this.storm(troubled);
    if (faults.guests) time.after(random.between(10e6, 40e6), () => this.submitGuests());
    const { links = [], losses = [] } = faults;
    for (const plan of [...links, ...losses]) log.disturbedUntil(plan.at[1]);
    for (const plan of links) time.after(random.between(plan.at[0], plan.at[1]), () => this.failLink(plan));
    for (const plan of losses) time.after(random.between(plan.at[0], plan.at[1]), () => dataLoss.begin(plan));
    if (faults.cutoffs) applyCalendars(troubled);
    if (faults.everythingRestarts) time.after(random.between(40e6, 60e6), () => this.restartEverything());
  }

  private scheduleScenarios(troubled: number): void {
    const { faults, scenarios, time } = this.options;
    if (scenarios === null) return;
    if (faults.compoundFaults) scenarios.scheduleCompound(troubled);
    // Twice, far enough apart for the first to be over.
    if (faults.rollingRefusal)
      for (const part of [0.08, 0.6]) time.after(part * troubled, scenarios.begin.rollingRefusal);
  }

  private scheduleDrawn(kinds: readonly Strike[], troubled: number): void {
    const { log, random, time } = this.options;
    if (kinds.length === 0) return;
    for (let at = FIRST_FAULT; at < troubled; at += random.between(5e6, 25e6)) {
      log.disturbedUntil(at);
      time.after(at, () => kinds[random.int(kinds.length)]!());
    }
  }

  /** The kinds of which one is drawn at a time, those of the day's faults alone. */
  private kinds(): Strike[] {
    const { faults, scenarios } = this.options;
    const kinds: Strike[] = [];
    if (faults.quickRestart) kinds.push(...this.quickRestarts());
    if (faults.machineRestart) kinds.push(...this.machineRestarts());
    if (faults.nodeCrash) kinds.push(...this.crashes());
    if (faults.stateOutage) kinds.push(() => this.stateOutage());
    if (faults.stateCut) kinds.push(() => this.stateCut());
    if (faults.netCut) kinds.push(() => this.netCut());
    if (faults.freeze) kinds.push(...this.freezes());
    if (faults.workersCut) kinds.push(() => this.cutOff('workers', this.leaderOrAny()));
    if (faults.peersCut) kinds.push(() => this.cutOff('peers', this.options.controllers.any()));
    if (faults.lateBoots) kinds.push(() => this.lateBoots());
    if (faults.clockSteps) kinds.push(() => this.stepClock());
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
    return controllers.leader() ?? controllers.any();
  }

  private machine(): Worker | undefined {
    const { random, workers } = this.options;
    return [...workers.values()][random.int(Math.max(1, workers.size))];
  }

  /** A state that excuses missing answers for a time drawn between the two, then ends. */
  private during(least: number, most: number, end: () => void): void {
    const { log, random, time } = this.options;
    const lasts = random.between(least, most);
    log.disturbed(lasts);
    time.after(lasts, end);
  }

  private crashes(): Strike[] {
    const { controllers, random } = this.options;
    return [
      () => controllers.crash(controllers.any(), random.between(2e6, 12e6)),
      () => controllers.nodes.forEach((label) => controllers.crash(label, random.between(2e6, 8e6))),
    ];
  }

  private stateOutage(): void {
    const { state } = this.options;
    if (state.out) return;
    state.outage(true);
    this.during(3e6, 30e6, () => state.outage(false));
  }

  private stateCut(): void {
    const { controllers, state } = this.options;
    const label = controllers.any();
    state.refusedTo.add(label);
    this.during(3e6, 30e6, () => state.refusedTo.delete(label));
  }

  private netCut(): void {
    const { controllers, random } = this.options;
    const lasts = random.between(3e6, 30e6);
    if (random.chance(0.5)) this.isolate(controllers.any(), lasts);
    else this.cut(`zone:${random.chance(0.5) ? 'a' : 'b'}`, controllers.any(), 'held', lasts);
  }

  /** All that a controller talks to but the state service and the cloud. */
  private isolate(label: string, lasts: number): void {
    for (const end of ['users', ...this.zones(), ...this.othersThan(label)])
      this.cut(label, end, 'held', lasts);
  }

  private cutOff(kind: 'workers' | 'peers', label: string): void {
    const { log, random } = this.options;
    log.strike(`${kind}Cut`);
    const lasts = random.between(5e6, 40e6);
    for (const end of kind === 'peers' ? this.othersThan(label) : this.zones())
      this.cut(label, end, 'held', lasts);
  }

  private zones(): string[] {
    return ZONES.map((zone) => `zone:${zone}`);
  }

  private othersThan(label: string): string[] {
    return this.options.controllers.nodes.filter((other) => other !== label);
  }

  private freezes(): Strike[] {
    const { controllers, log, random } = this.options;
    const freeze = (label: string): void => {
      log.strike('freeze');
      const lasts = random.between(1e6, 45e6);
      log.disturbed(lasts);
      controllers.freeze(label, lasts);
    };
    return [() => freeze(controllers.any()), () => freeze(this.leaderOrAny())];
  }

  private lateBoots(): void {
    const { cloud, random, time } = this.options;
    cloud.lateUntil = time.now + random.between(10e6, 40e6);
  }

  private stepClock(): void {
    const { controllers, log, random } = this.options;
    log.strike('clockSteps');
    controllers.clockOffsets.set(this.leaderOrAny(), random.between(-10e6, 10e6));
  }

  private flood(): void {
    const { controllers, log, random, users } = this.options;
    const label = random.chance(0.5) ? this.leaderOrAny() : controllers.any();
    controllers.freeze(label, 1.8e6);
    const ids = [...users.jobs.keys()];
    for (let i = 0; i < 400; i++)
      users.call(label, 'GET', `/work/${ids[random.int(ids.length)]}`, null, (answer) => {
        if (answer?.status === 503 && Number(answer.headers?.['Retry-After']) >= 1) log.strike('flood');
      });
  }

  private machineLosses(): Strike[] {
    const { cloud, random, time } = this.options;
    return [
      () => {
        const worker = this.machine();
        if (worker) cloud.lose(worker.place.id);
      },
      // A spot machine is recalled, and taken when its notice is over.
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
    log.strike('guests');
    users.submit({ guest: { tasks: 40 * size.arrays, cpus: 0.25 } });
    for (let i = 0; i < 40; i++)
      time.after(random.between(0, 30e6), () => users.submit({ guest: { tasks: 1, cpus: 0.25 } }));
  }

  private restartEverything(): void {
    const { cloud, controllers, log, random, state, time, users, workers } = this.options;
    log.strike('everythingRestarts');
    state.outage(true);
    log.disturbed(25e6);
    time.after(25e6, () => state.outage(false));
    for (const label of controllers.nodes) controllers.crash(label, random.between(2e6, 8e6));
    const up = [...workers.keys()];
    for (const id of up.filter((_, i) => i % 2 === 0))
      time.after(random.between(1e6, 10e6), () => cloud.lose(id));
    for (let i = 0; i < 20; i++) time.after(random.between(0, 20e6), () => users.submit());
  }

  private failLink(plan: LinkPlan): void {
    const { controllers, links, log, random } = this.options;
    const end = (name: string): string =>
      name === 'leader' ? this.leaderOrAny() : name === 'any' ? controllers.any() : name;
    const [from, to] = [end(plan.from), end(plan.to)];
    const lasts = random.between(plan.lasts[0], plan.lasts[1]);
    log.strike('links');
    if (plan.both) return this.cut(from, to, plan.state, lasts);
    log.disturbed(lasts);
    links.set(from, to, plan.state, lasts);
  }

  /** Each crashes controllers that are back at once. */
  private quickRestarts(): Strike[] {
    const { controllers, log, random, state, time } = this.options;
    const { nodes } = controllers;
    const crashAfter = (delay: number, label: () => string | undefined): void => {
      log.disturbed(delay);
      time.after(delay, () => {
        const crashing = label();
        if (crashing === undefined) return;
        log.strike('quickRestart');
        controllers.crash(crashing, random.between(...QUICK_RESTART));
      });
    };
    const some = (): string[] => {
      const count = [1, Math.ceil(nodes.length / 2), nodes.length][random.int(3)]!;
      return [...nodes].sort(() => random.next() - 0.5).slice(0, count);
    };
    return [
      () => some().forEach((label) => crashAfter(random.between(0, 400_000), () => label)),
      // Loops: each comes up for a while, sometimes not for long enough to read the store.
      () => {
        const up = random.chance(0.5) ? 700_000 : 4e6;
        for (const label of some())
          for (let i = 0, at = 0; i < 3 + random.int(10); i++, at += random.between(100_000, up))
            crashAfter(at, () => label);
      },
      // The leader, and whoever leads next, a few times: elections and first cycles break off in the middle.
      () => {
        for (let i = 0, at = 0; i < 2 + random.int(4); i++, at += random.between(300_000, 6e6))
          crashAfter(at, () => this.leaderOrAny());
      },
      // All, again and again, within the second in which the state service is back.
      () => {
        if (state.out) return;
        const lasts = random.between(2e6, 12e6);
        state.outage(true);
        log.disturbed(lasts);
        time.after(lasts, () => state.outage(false));
        for (const label of nodes)
          for (let i = 0; i < 3; i++) crashAfter(lasts + random.between(-500_000, 1e6), () => label);
      },
    ];
  }

  private machineRestarts(): Strike[] {
    const { duplicates, log, random, time, workers } = this.options;
    const restart = (worker: Worker): void => {
      if (!worker.alive || worker.hanging) return;
      log.strike('machineRestart');
      duplicates.senderEnded(worker.place.id);
      worker.restart(random.between(...QUICK_RESTART));
    };
    const some = (part: number): Worker[] => [...workers.values()].filter(() => random.chance(part));
    return [
      () =>
        some([0.1, 0.5, 1][random.int(3)]!).forEach((worker) =>
          time.after(random.between(0, 1e6), () => restart(worker)),
        ),
      () => {
        for (const worker of some(0.3))
          for (let i = 0, at = 0; i < 2 + random.int(5); i++, at += random.between(600_000, 5e6))
            time.after(at, () => restart(worker));
      },
    ];
  }

  /** All timers of all controllers fire late from some moment on, and users poll ten times as often. */
  private storm(until: number): void {
    const { controllers, random, time, users } = this.options;
    const delayTimers = (ms: number): void => {
      for (const label of controllers.nodes) {
        const host = controllers.host(label);
        if (host) host.late = Duration.millis(ms);
      }
    };
    const again = (): void => {
      users.storming = time.now < until;
      delayTimers(users.storming ? random.between(850, 1000) : 0);
      if (users.storming) time.after(1e6, again);
    };
    time.after(random.between(15e6, 25e6), () => {
      users.storming = true;
      again();
    });
  }
}
