/**
 * Simulates the cloud: machines are rented, boot, run a worker and are returned. Calls and boots may be late or fail.
 */
import { Effect } from 'effect';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import { micros } from '@lilacvalve/runtime/micros';
import { type CloudPort, CloudRefused } from '@lilacvalve/controller/provisioning/cloud';
import type { ListedMachine, MachineType } from '@lilacvalve/controller/provisioning/model';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import { TYPES } from '@lilacvalve/controller/support/settings';
import type { FaultLog } from './fault-log.js';
import type { Scenarios } from './scenarios/scenarios.js';
import type { BootFaults } from './scenarios/scenario-kit.js';
import type { MachineInfo, Rules } from './rules.js';
import type { Time } from './time.js';
import type { Worker } from './worker/worker.js';

/** Maximum number of machines of one type in one zone. */
const MAX_MACHINES_PER_ZONE_AND_TYPE = 6;
/** Timeout of a client's call to the cloud, in microseconds. */
const CLIENT_TIMEOUT = 4e6;
/** Time after which a machine that failed without notice is listed as failed, in microseconds. */
const LISTED_AS_FAILED_AFTER = 30e6;

/** A rented machine as the cloud knows it. */
export interface RentedMachine {
  readonly id: string;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  /** Time of the rental, in microseconds of simulated time. */
  readonly rentedAt: number;
  status: ListedMachine['status'];
  deleted: boolean;
}

type RentRequest = Parameters<CloudPort['rent']>[0];

/** Dependencies of the simulated cloud. */
export interface CloudOptions {
  readonly time: Time;
  readonly random: RandomSource;
  readonly rules: Rules;
  readonly log: FaultLog;
  /** Maximum age of the list of machines, in microseconds. */
  readonly listAge: number;
  /** Running machines by ID. The cloud adds machines that booted and removes machines that ended. */
  readonly workers: Map<string, Worker>;
  /** Starts the worker of a machine that has booted. */
  readonly startWorker: (place: MachineInfo, type: MachineType) => Worker;
  readonly scenarios: () => Scenarios | null;
  /** Called before machines are rented without a delay that a scenario asked for. */
  readonly onRent: (count: number) => void;
}

/** Keeps the rented machines and provides the controllers' clients of the cloud. */
export class Cloud {
  /** While true, the cloud refuses every call. */
  out = false;
  /** Machines rented before this time boot several times slower than stated, or never. */
  lateUntil = 0;
  /** Boot behavior that scenarios ask for. */
  readonly bootModes: BootFaults = { fastUntil: 0, muteUntil: 0 };
  private readonly machines = new Map<string, RentedMachine>();
  /** IDs of the machines rented by each request, by request name. A repeated request gets the same machines. */
  private readonly requests = new Map<string, string[]>();
  private lastNumber = 0;

  constructor(private readonly options: CloudOptions) {}

  /** Returns the machines that are being charged. */
  charged(): RentedMachine[] {
    return [...this.machines.values()].filter((machine) => !machine.deleted && machine.status !== 'failed');
  }

  /** Whether the machine's delete call has been carried out. */
  isDeleted(id: string): boolean {
    return this.machines.get(id)?.deleted === true;
  }

  /** Returns the machine's type as usage accounts name it, with the suffix `-spot` for spot machines. */
  kindOf(id: string): string {
    const machine = this.machines.get(id)!;
    return machine.spot ? `${machine.type.name}-spot` : machine.type.name;
  }

  /**
   * Returns a client of the cloud for one controller. Calls take 50 to 200 ms, and fail with `CloudRefused` while the
   * cloud is out.
   */
  port(): CloudPort {
    return {
      types: () => this.call(() => TYPES as readonly MachineType[]),
      list: () => this.call(() => this.list()),
      rent: (request, isEntitled) => this.requestRental(request, isEntitled),
      remove: (ids, isEntitled) =>
        this.call(() => {
          if (!isEntitled()) return new CloudRefused({ status: 0, reason: 'no longer entitled' });
          for (const id of ids) this.remove(id);
        }),
    };
  }

  /** Deletes a machine, which ends at once. */
  remove(id: string): void {
    const machine = this.machines.get(id);
    if (machine) {
      machine.deleted = true;
      this.options.scenarios()?.deleted(this.options.workers.get(id), id);
    }
    this.endWorker(id);
  }

  /** Ends a machine without notice. The list shows it as failed only later. */
  failMachine(id: string): void {
    const machine = this.machines.get(id);
    if (machine) this.options.time.after(LISTED_AS_FAILED_AFTER, () => (machine.status = 'failed'));
    this.endWorker(id);
  }

  private endWorker(id: string): void {
    this.options.workers.get(id)?.die();
    this.options.workers.delete(id);
  }

  private call<A>(action: () => A | CloudRefused): Effect.Effect<A, CloudRefused> {
    const { random, time } = this.options;
    return Effect.async<A, CloudRefused>((resume) => {
      time.after(random.between(50_000, 200_000), () => {
        const result = this.out ? new CloudRefused({ status: 503, reason: 'trouble' }) : action();
        resume(result instanceof CloudRefused ? Effect.fail(result) : Effect.succeed(result));
      });
    });
  }

  private list(): ListedMachine[] {
    const { random, scenarios, time, listAge } = this.options;
    const asOf = time.now - random.between(0, listAge);
    const listed = [...this.machines.values()].filter(
      (machine) => !machine.deleted && machine.rentedAt <= asOf,
    );
    scenarios()?.listed(listed.map((machine) => machine.id));
    return listed.map((machine) => ({
      id: machine.id,
      addr: machine.id,
      type: machine.type.name,
      zone: machine.zone,
      spot: machine.spot,
      status: machine.status,
      age: micros(asOf - machine.rentedAt),
    }));
  }

  private requestRental(request: RentRequest, isEntitled: () => boolean): ReturnType<CloudPort['rent']> {
    const { random, scenarios, time } = this.options;
    const behavior = scenarios()?.rentalTiming() ?? null;
    const rent = (): readonly string[] | null => this.rent(request, behavior);
    const ifEntitled = <A>(action: () => A): A | CloudRefused =>
      isEntitled() ? action() : new CloudRefused({ status: 0, reason: 'no longer entitled' });
    if (behavior === null) return this.call(() => ifEntitled(rent));
    // The request is sent, but its response arrives after the client's timeout or never.
    return Effect.async<readonly string[] | null, CloudRefused | NoResponse>((resume) => {
      const refusal = ifEntitled(() => null);
      if (refusal !== null) return resume(Effect.fail(refusal));
      time.after(CLIENT_TIMEOUT, () => resume(Effect.fail(new NoResponse({ reason: 'timeout' }))));
      time.after(random.between(50_000, 200_000) + behavior.late, () => {
        const ids = rent();
        if (behavior.answer !== null) time.after(behavior.answer, () => resume(Effect.succeed(ids)));
      });
    });
  }

  /**
   * Carries out a rental and returns the machines' IDs; null: the zone is full. A repeated request gets the response
   * to the first one.
   */
  private rent(
    request: RentRequest,
    behavior: ReturnType<Scenarios['rentalTiming']>,
  ): readonly string[] | null {
    const { onRent, rules, scenarios } = this.options;
    rules.rented(request.name, `${request.type} ${request.zone} ${request.spot} ${request.count}`);
    const earlierIds = this.requests.get(request.name);
    if (earlierIds) return earlierIds;
    const rentedCount = [...this.machines.values()].filter(
      (machine) => !machine.deleted && machine.type.name === request.type && machine.zone === request.zone,
    ).length;
    const count = Math.min(request.count, MAX_MACHINES_PER_ZONE_AND_TYPE - rentedCount);
    if (count <= 0) return null;
    if ((behavior?.late ?? 0) === 0) onRent(count);
    const type = TYPES.find((known) => known.name === request.type)!;
    const ids = Array.from({ length: count }, () => this.add(type, request.zone, request.spot));
    this.requests.set(request.name, ids);
    if (behavior !== null) for (const id of ids) scenarios()?.rented(id, behavior);
    return ids;
  }

  private add(type: MachineType, zone: string, spot: boolean): string {
    const { log, random, time } = this.options;
    const id = `vm-${String(++this.lastNumber).padStart(6, '0')}`;
    const machine: RentedMachine = {
      id,
      type,
      zone,
      spot,
      rentedAt: time.now,
      status: 'booting',
      deleted: false,
    };
    this.machines.set(id, machine);
    const bootsLate = time.now < this.lateUntil;
    if (bootsLate) log.recordInjected('lateBoots');
    // Some machines never boot.
    if (random.chance(bootsLate ? 0.25 : 0.03)) return id;
    const bootTimeRatio = bootsLate ? random.between(3, 8) : random.between(0.1, 1.5);
    const bootsFast = time.now < this.bootModes.fastUntil && random.chance(0.6);
    time.after(bootsFast ? random.between(50_000, 2e6) : type.boot * bootTimeRatio, () => this.boot(machine));
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
