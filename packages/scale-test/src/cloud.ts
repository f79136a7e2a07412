/** Stand-in for the cloud: rents machines, which come up as hollow workers, and lists them. */
import type { JsonRequest, Respond } from './json-server.js';
import { IMAGE_CACHE_GB, IMAGE_FETCH_GB_PER_S, type MachineDescription, type MachineKind } from './model.js';
import type { Random } from './random.js';

const PAGE = 500;
const BOOT_SPREAD = { least: 0.6, most: 1.5 };
/** No worker listens there: direct orders reach workers at the address of their reports. */
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

/** What the cloud rents, and who is told of machines that come and go. */
export interface CloudParts {
  readonly kinds: readonly MachineKind[];
  readonly bootMs: number;
  readonly random: Random;
  readonly up: (machine: MachineDescription) => void;
  readonly down: (id: string) => void;
}

/** Machines by id, in the order in which they were rented. */
export class Cloud {
  calls = 0;
  private readonly machines = new Map<string, RentedMachine>();
  private readonly rentals = new Map<string, readonly string[]>();
  private readonly available: Map<string, number>;
  private nextId = 0;

  constructor(private readonly parts: CloudParts) {
    this.available = new Map(parts.kinds.map((k) => [k.label, k.count]));
  }

  get size(): number {
    return this.machines.size;
  }

  handle({ method, url, body }: JsonRequest, respond: Respond): void {
    this.calls++;
    if (url.pathname === '/flavors') return void respond(200, { hostsKinds: this.offers() });
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

  private offers(): unknown[] {
    return this.parts.kinds.map(({ label, vcpus, accelerators, memGb, hourly, zones }) => ({
      label,
      vcpus,
      accelerators,
      memGb,
      hourly,
      rooms: zones,
      cacheGb: IMAGE_CACHE_GB,
      pullGbPerS: IMAGE_FETCH_GB_PER_S,
      spotPrice: 0,
      startupS: this.parts.bootMs / 1000,
    }));
  }

  private rent(rental: WireRental, respond: Respond): void {
    const known = this.rentals.get(rental.hire);
    if (known !== undefined) return void respond(200, { hosts: known });
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
    const { bootMs, random } = this.parts;
    machine.timer = setTimeout(
      () => {
        machine.up = true;
        this.parts.up({ id, kind: hostKind, zone: room });
      },
      bootMs * random.between(BOOT_SPREAD.least, BOOT_SPREAD.most),
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
    if (machine.up) this.parts.down(id);
  }

  private page(after: string): unknown {
    const later = [...this.machines.values()].filter((m) => m.id > after);
    return {
      hosts: later.slice(0, PAGE).map((machine) => ({
        id: machine.id,
        addr: UNKNOWN_ADDRESS,
        hostKind: machine.kind,
        room: machine.zone,
        borrowed: false,
        status: machine.up ? 'running' : 'booting',
        heldS: (performance.now() - machine.rentedAt) / 1000,
      })),
      more: later.length > PAGE,
    };
  }
}
