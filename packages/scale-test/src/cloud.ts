/** Stand-in for the cloud: rents machines, on which hollow workers start after the boot time, and lists them. */
import type { JsonRequest, Respond } from './json-server.js';
import { IMAGE_CACHE_GB, IMAGE_FETCH_GB_PER_S, type MachineDescription, type MachineKind } from './model.js';
import type { Random } from './random.js';

const PAGE_SIZE = 500;
const BOOT_TIME_FACTOR = { min: 0.6, max: 1.5 };
/** Placeholder on which no worker listens; controllers send direct orders to the address in a worker's heartbeats. */
const UNKNOWN_ADDRESS = '127.0.0.1:9';

interface RentedMachine extends MachineDescription {
  readonly rentedAt: number;
  up: boolean;
  timer: NodeJS.Timeout | null;
}
interface WireRental {
  readonly hire: string;
  readonly hostKind: string;
  readonly room: string;
  readonly borrowed: boolean;
  readonly howMany: number;
}

/** Machine types of the cloud, and callbacks for machines that have booted or were returned. */
export interface CloudDependencies {
  readonly kinds: readonly MachineKind[];
  readonly bootMs: number;
  readonly random: Random;
  readonly onMachineUp: (machine: MachineDescription) => void;
  readonly onMachineDown: (id: string) => void;
}

/** A cloud that keeps its machines by id, in the order in which they were rented. */
export class Cloud {
  calls = 0;
  private readonly machines = new Map<string, RentedMachine>();
  private readonly rentals = new Map<string, readonly string[]>();
  private readonly available: Map<string, number>;
  private nextId = 0;

  constructor(private readonly dependencies: CloudDependencies) {
    this.available = new Map(dependencies.kinds.map((kind) => [kind.label, kind.count]));
  }

  get size(): number {
    return this.machines.size;
  }

  handle({ method, url, body }: JsonRequest, respond: Respond): void {
    this.calls++;
    if (url.pathname === '/flavors') return void respond(200, { hostsKinds: this.machineTypes() });
    if (url.pathname === '/hosts/delete') {
      for (const id of (body as { hosts: readonly string[] }).hosts) this.remove(id);
      return void respond(200, {});
    }
    if (method === 'POST') return this.rent(body as WireRental, respond);
    respond(200, this.page(url.searchParams.get('after') ?? ''));
  }

  end(): void {
    for (const machine of this.machines.values()) clearTimeout(machine.timer ?? undefined);
  }

  private machineTypes(): unknown[] {
    return this.dependencies.kinds.map(({ label, vcpus, accelerators, memGb, hourly, zones }) => ({
      label,
      vcpus,
      accelerators,
      memGb,
      hourly,
      rooms: zones,
      cacheGb: IMAGE_CACHE_GB,
      pullGbPerS: IMAGE_FETCH_GB_PER_S,
      spotPrice: 0,
      startupS: this.dependencies.bootMs / 1000,
    }));
  }

  private rent(rental: WireRental, respond: Respond): void {
    const existing = this.rentals.get(rental.hire);
    if (existing !== undefined) return void respond(200, { hosts: existing });
    const left = this.available.get(rental.hostKind) ?? 0;
    const count = rental.borrowed ? 0 : Math.min(rental.howMany, left);
    if (count === 0) return void respond(503, { error: 'no capacity' });
    this.available.set(rental.hostKind, left - count);
    const hosts = Array.from({ length: count }, () => this.boot(rental));
    this.rentals.set(rental.hire, hosts);
    respond(200, { hosts });
  }

  private boot({ hostKind, room }: WireRental): string {
    const id = `vm-${String(++this.nextId).padStart(6, '0')}`;
    const machine: RentedMachine = {
      id,
      kind: hostKind,
      zone: room,
      rentedAt: performance.now(),
      up: false,
      timer: null,
    };
    const { bootMs, random } = this.dependencies;
    machine.timer = setTimeout(
      () => {
        machine.up = true;
        this.dependencies.onMachineUp({ id, kind: hostKind, zone: room });
      },
      bootMs * random.between(BOOT_TIME_FACTOR.min, BOOT_TIME_FACTOR.max),
    );
    this.machines.set(id, machine);
    return id;
  }

  private remove(id: string): void {
    const machine = this.machines.get(id);
    if (machine === undefined) return;
    clearTimeout(machine.timer ?? undefined);
    this.machines.delete(id);
    this.available.set(machine.kind, (this.available.get(machine.kind) ?? 0) + 1);
    if (machine.up) this.dependencies.onMachineDown(id);
  }

  private page(after: string): unknown {
    const later = [...this.machines.values()].filter((machine) => machine.id > after);
    return {
      hosts: later.slice(0, PAGE_SIZE).map((machine) => ({
        id: machine.id,
        addr: UNKNOWN_ADDRESS,
        hostKind: machine.kind,
        room: machine.zone,
        borrowed: false,
        status: machine.up ? 'running' : 'booting',
        heldS: (performance.now() - machine.rentedAt) / 1000,
      })),
      more: later.length > PAGE_SIZE,
    };
  }
}
