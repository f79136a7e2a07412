/** Stand-in for the cloud: machines are rented, boot, run a worker and are given back, with faults on the way. */
import { Effect } from 'effect';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { micros } from '@lilacvalve/runtime/micros';
import { type CloudPort, CloudRefused } from '@lilacvalve/controller/provisioning/cloud';
import type { ListedMachine, MachineType } from '@lilacvalve/controller/provisioning/model';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import { TYPES } from '@lilacvalve/controller/support/settings';
import type { FaultLog } from './fault-log.js';
import type { Scenarios } from './scenarios/scenarios.js';
import type { BootWays } from './scenarios/scenario-kit.js';
import type { Place, Rules } from './rules.js';
import type { Time } from './time.js';
import type { Worker } from './worker/worker.js';

/** Machines of one type in one zone at most. */
const ROOM = 6;
/** A client of the cloud gives up after this, microseconds. */
const CLIENT_TIMEOUT = 4e6;
/** A machine that is gone without a word is listed as failed after this, microseconds. */
const FAILED_AFTER = 30e6;

/** A machine as the cloud knows it. */
export interface RentedMachine {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** When it was rented. */
  readonly at: number;
  status: ListedMachine['status'];
  deleted: boolean;
}

type RentRequest = Parameters<CloudPort['rent']>[0];

/** What the cloud needs of the simulation around it. */
export interface CloudOptions {
  readonly time: Time;
  readonly random: RandomSource;
  readonly rules: Rules;
  readonly log: FaultLog;
  /** The list may be up to so old, microseconds. */
  readonly listAge: number;
  /** Machines that run, by id: the cloud adds and removes them. */
  readonly workers: Map<string, Worker>;
  /** A machine is up: its worker begins. */
  readonly startWorker: (place: Place, type: MachineType) => Worker;
  readonly scenarios: () => Scenarios | null;
  /** Machines are about to be rented as usual, without a delay that a scenario asked for. */
  readonly onRent: (count: number) => void;
}

/** The cloud's machines, and the port to it. */
export class Cloud {
  /** While true every call is refused. */
  out = false;
  /** Until then machines boot several times as late as they should, or never. */
  lateUntil = 0;
  /** How machines come, as scenarios ask for it. */
  readonly ways: BootWays = { fastUntil: 0, muteUntil: 0 };
  private readonly machines = new Map<string, RentedMachine>();
  /** By request name: the machines it was answered with, so that a repeated request rents none. */
  private readonly requests = new Map<string, string[]>();
  private lastNumber = 0;

  constructor(private readonly options: CloudOptions) {}

  /** Machines that are charged. */
  charged(): RentedMachine[] {
    return [...this.machines.values()].filter((machine) => !machine.deleted && machine.status !== 'failed');
  }

  /** The cloud has answered the machine's delete. */
  isDeleted(id: string): boolean {
    return this.machines.get(id)?.deleted === true;
  }

  /** A machine's type, with its way of being charged, as accounts name it. */
  kindOf(id: string): string {
    const machine = this.machines.get(id)!;
    return machine.spot ? `${machine.type.name}-spot` : machine.type.name;
  }

  /** One controller's port. Calls take 50 to 200 ms; all fail with `CloudRefused` while the cloud is out. */
  port(): CloudPort {
    return {
      types: () => this.call(() => TYPES as readonly MachineType[]),
      list: () => this.call(() => this.list()),
      rent: (request, still) => this.hire(request, still),
      remove: (ids, still) =>
        this.call(() => {
          if (!still()) return new CloudRefused({ status: 0, reason: 'no longer entitled' });
          for (const id of ids) this.remove(id);
        }),
    };
  }

  /** A machine is deleted: it ends at once. */
  remove(id: string): void {
    const machine = this.machines.get(id);
    if (machine) {
      machine.deleted = true;
      this.options.scenarios()?.deleted(this.options.workers.get(id), id);
    }
    this.endWorker(id);
  }

  /** A machine is gone without a word; the list shows it as failed later. */
  lose(id: string): void {
    const machine = this.machines.get(id);
    if (machine) this.options.time.after(FAILED_AFTER, () => (machine.status = 'failed'));
    this.endWorker(id);
  }

  private endWorker(id: string): void {
    this.options.workers.get(id)?.die();
    this.options.workers.delete(id);
  }

  private call<A>(go: () => A | CloudRefused): Effect.Effect<A, CloudRefused> {
    const { random, time } = this.options;
    return Effect.async<A, CloudRefused>((resume) => {
      time.after(random.between(50_000, 200_000), () => {
        const answer = this.out ? new CloudRefused({ status: 503, reason: 'trouble' }) : go();
        resume(answer instanceof CloudRefused ? Effect.fail(answer) : Effect.succeed(answer));
      });
    });
  }

  private list(): ListedMachine[] {
    const { random, scenarios, time, listAge } = this.options;
    const asOf = time.now - random.between(0, listAge);
    const there = [...this.machines.values()].filter((machine) => !machine.deleted && machine.at <= asOf);
    scenarios()?.listed(there.map((machine) => machine.id));
    return there.map((machine) => ({
      id: machine.id,
      addr: machine.id,
      type: machine.type.name,
      zone: machine.zone,
      spot: machine.spot,
      status: machine.status,
      age: micros(asOf - machine.at),
    }));
  }

  private hire(request: RentRequest, still: () => boolean): ReturnType<CloudPort['rent']> {
    const { random, scenarios, time } = this.options;
    const way = scenarios()?.rentalWay() ?? null;
    const rent = (): readonly string[] | null => this.rent(request, way);
    const entitled = <A>(go: () => A): A | CloudRefused =>
      still() ? go() : new CloudRefused({ status: 0, reason: 'no longer entitled' });
    if (way === null) return this.call(() => entitled(rent));
    // It is sent, and its outcome is told late or never: the client gives up before.
    return Effect.async<readonly string[] | null, CloudRefused | NoResponse>((resume) => {
      const refusal = entitled(() => null);
      if (refusal !== null) return resume(Effect.fail(refusal));
      time.after(CLIENT_TIMEOUT, () => resume(Effect.fail(new NoResponse({ reason: 'timeout' }))));
      time.after(random.between(50_000, 200_000) + way.late, () => {
        const ids = rent();
        if (way.answer !== null) time.after(way.answer, () => resume(Effect.succeed(ids)));
      });
    });
  }

  /** Carries out a request; null: there is no room. A repeated request gets the first one's answer. */
  private rent(request: RentRequest, way: ReturnType<Scenarios['rentalWay']>): readonly string[] | null {
    const { onRent, rules, scenarios } = this.options;
    rules.hired(request.name, `${request.type} ${request.zone} ${request.spot} ${request.count}`);
    const before = this.requests.get(request.name);
    if (before) return before;
    const have = [...this.machines.values()].filter(
      (machine) => !machine.deleted && machine.type.name === request.type && machine.zone === request.zone,
    ).length;
    const count = Math.min(request.count, ROOM - have);
    if (count <= 0) return null;
    if ((way?.late ?? 0) === 0) onRent(count);
    const type = TYPES.find((known) => known.name === request.type)!;
    const ids = Array.from({ length: count }, () => this.add(type, request.zone, request.spot));
    this.requests.set(request.name, ids);
    if (way !== null) for (const id of ids) scenarios()?.rented(id, way);
    return ids;
  }

  private add(type: MachineType, zone: string, spot: boolean): string {
    const { log, random, time } = this.options;
    const id = `vm-${String(++this.lastNumber).padStart(6, '0')}`;
    const machine: RentedMachine = { id, type, zone, spot, at: time.now, status: 'booting', deleted: false };
    this.machines.set(id, machine);
    const late = time.now < this.lateUntil;
    if (late) log.strike('lateBoots');
    // Some never come up.
    if (random.chance(late ? 0.25 : 0.03)) return id;
    const times = late ? random.between(3, 8) : random.between(0.1, 1.5);
    const fast = time.now < this.ways.fastUntil && random.chance(0.6);
    time.after(fast ? random.between(50_000, 2e6) : type.boot * times, () => this.boot(machine));
    return id;
  }

  private boot(machine: RentedMachine): void {
    if (machine.deleted) return;
    machine.status = 'running';
    const { id, type, zone, spot } = machine;
    const worker = this.options.startWorker({ id, type: type.name, zone, spot }, type);
    this.options.workers.set(id, worker);
    this.options.scenarios()?.workerStarted(worker);
  }
}
