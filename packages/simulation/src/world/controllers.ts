/** The controllers of a simulated deployment: the real nodes as processes that start, crash and talk over the links. */
import { Effect, Exit, Fiber } from 'effect';
import { NoResponse } from '@lilacvalve/runtime/http-client';
import type { HttpResponse, HttpRequest, FastPathHandler } from '@lilacvalve/runtime/http-server';
import { type Micros, micros } from '@lilacvalve/runtime/micros';
import type { CloudPort } from '@lilacvalve/controller/provisioning/cloud';
import { createController, type Controller } from '@lilacvalve/controller/controller';
import type { Settings } from '@lilacvalve/controller/settings/settings';
import type { StatePort } from '@lilacvalve/controller/state-store/port';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { DuplicateDelivery } from './duplicate-delivery.js';
import type { FaultLog } from './fault-log.js';
import type { Links } from './links.js';
import type { Process } from './memory.js';
import type { StateService } from './state-service/state-service.js';
import { Host, type Time } from './time.js';
import type { Worker } from './worker/worker.js';

/** Time of day when a simulation begins, microseconds since 1970. */
export const DAY_BEGINS = 1e12;
/** Calls that change something in the state service: copies of them may arrive late. */
const CHANGES = new Set<string | symbol>(['transact', 'grant', 'extend', 'release']);
/** How long one controller waits for another, microseconds. */
const PEER_TIMEOUT = 900_000;
const PEER_REQUEST_TIMEOUT = 2_500_000;
/** The chance that an order to a worker's address is lost on a day of lending. */
const ORDER_LOST = 0.15;

/** One run of a controller, from its start to its crash. */
export interface ControllerProcess extends Process {
  readonly node: Controller;
  readonly host: Host;
  readonly fiber: Fiber.RuntimeFiber<unknown, unknown>;
}

/** What controllers need of the simulation around them. */
export interface ControllersOptions {
  /** The labels. */
  readonly nodes: readonly string[];
  readonly settings: (label: string) => Settings;
  readonly time: Time;
  readonly random: RandomSource;
  readonly links: Links;
  readonly state: StateService;
  readonly duplicates: DuplicateDelivery;
  readonly log: FaultLog;
  readonly cloud: () => CloudPort;
  readonly workers: ReadonlyMap<string, Worker>;
  /** Some orders to workers' addresses are lost. */
  readonly losesOrders: boolean;
  /** A worker's heartbeat has reached a controller. */
  readonly onHeartbeat: (node: string) => void;
  /** A controller has crashed. */
  readonly onCrash: (node: Controller) => void;
}

/** As the server does: outside any fiber if the quick handler takes the request, else by the handler. */
const handled = (
  quick: FastPathHandler,
  handle: (request: HttpRequest) => Effect.Effect<HttpResponse>,
  request: HttpRequest,
): Effect.Effect<HttpResponse> =>
  Effect.suspend(() => {
    let resume: ((effect: Effect.Effect<HttpResponse>) => void) | null = null;
    let early: HttpResponse | null = null;
    const taken = quick(request, (answer) => {
      if (resume === null) early = answer;
      else resume(Effect.succeed(answer));
    });
    if (!taken) return handle(request);
    return Effect.async<HttpResponse>((go) => {
      if (early !== null) go(Effect.succeed(early));
      else resume = go;
    });
  });

/** A controller's monotonic clock, which begins anywhere and runs a little fast or slow. */
interface LocalClock {
  readonly now: () => Micros;
  /** What it shows at a moment of the simulation's time. */
  readonly at: (time: number) => number;
}

/** Starts and ends controllers, and carries messages between them. */
export class Controllers {
  private readonly running = new Map<string, ControllerProcess>();
  /** By how much a controller's time of day is wrong, microseconds. */
  readonly clockOffsets = new Map<string, number>();

  constructor(private readonly options: ControllersOptions) {}

  get nodes(): readonly string[] {
    return this.options.nodes;
  }

  /** The running process of a label; undefined: it is down. */
  process(label: string): ControllerProcess | undefined {
    return this.running.get(label);
  }

  /** All running processes. */
  processes(): ControllerProcess[] {
    return [...this.running.values()];
  }

  /** The controllers that are up. */
  up(): { readonly name: string; readonly node: Controller }[] {
    return [...this.running].map(([name, process]) => ({ name, node: process.node }));
  }

  /** The label of the controller that may act as leader. */
  leader(): string | undefined {
    return this.nodes.find((label) => this.running.get(label)?.node.leadership.currentTerm());
  }

  /** The process that may act as leader. */
  leading(): ControllerProcess | undefined {
    return this.running.get(this.leader() ?? '');
  }

  /** Any controller's label: users reach them through a load balancer. */
  any(): string {
    return this.nodes[this.options.random.int(this.nodes.length)]!;
  }

  /** The node says that it can take requests. */
  ready(label: string): boolean {
    const process = this.running.get(label);
    return process !== undefined && process.node.unreadyReason() === null;
  }

  /** The machine that a controller runs on. */
  host(label: string): Host | undefined {
    return this.running.get(label)?.host;
  }

  /** Stands still for so long, while its clocks run on. */
  freeze(label: string, lasts: number): void {
    this.host(label)?.freeze(this.options.time, lasts);
  }

  /** Starts a process for the label. */
  start(label: string): void {
    const clock = this.localClock();
    const host = new Host(label);
    const store = this.storePort(label, host, clock);
    const { time } = this.options;
    const node = createController(this.options.settings(label), {
      store,
      cloud: this.cloudPort(host),
      workers: { sendOrders: (address, body) => Effect.sync(() => this.sendOrders(label, address, body)) },
      ...this.peerPorts(label, host),
      clock: clock.now,
      dayTime: () => micros(time.now + DAY_BEGINS + (this.clockOffsets.get(label) ?? 0)),
      snapshots: null,
    });
    this.running.set(label, { label, node, host, fiber: time.fork(node.run, host) });
  }

  /** Ends a process without a word, and starts it again after `back` microseconds. Nothing if it is down already. */
  crash(label: string, back: number): void {
    const process = this.running.get(label);
    if (!process) return;
    const { time, log, duplicates, onCrash } = this.options;
    log.disturbed(back);
    duplicates.senderEnded(label);
    this.running.delete(label);
    onCrash(process.node);
    time.fork(Fiber.interruptFork(process.fiber));
    time.after(back, () => this.start(label));
  }

  /** Ends all processes for good. */
  stop(): void {
    for (const process of this.running.values()) this.options.time.fork(Fiber.interruptFork(process.fiber));
  }

  /** A request to a controller's listener; null: it is down. It waits unread while the controller stands still. */
  handle(label: string, request: HttpRequest): Effect.Effect<HttpResponse> | null {
    const process = this.running.get(label);
    if (!process) return null;
    if (request.path === '/agent/beat') this.options.onHeartbeat(label);
    const { node, host } = process;
    const work = handled(node.quick, (incoming) => node.handle(incoming), request);
    return Effect.zipLeft(Effect.zipRight(host.pass, work), host.pass);
  }

  private localClock(): LocalClock {
    const { random, time } = this.options;
    const offset = random.between(0, 1e9);
    const rate = 1 + random.between(-0.00025, 0.00025);
    const began = time.now;
    const at = (moment: number): number => offset + (moment - began) * rate;
    return { now: () => micros(at(time.now)), at };
  }

  /** The state service's port stamps true time; the node reads its own clock. */
  private storePort(label: string, host: Host, clock: LocalClock): StatePort {
    const { duplicates, state, time } = this.options;
    return new Proxy(state.port(label), {
      get: (port, key) => {
        if (key === 'lastServed' || key === 'lastRefused') return clock.at(port[key]);
        if (key === 'leading') return port.leading;
        const call = Reflect.get(port, key) as (...args: unknown[]) => Effect.Effect<unknown>;
        if (!CHANGES.has(key)) return (...args: unknown[]) => host.gate(call(...args));
        return (...args: unknown[]) => {
          duplicates.sending(label, () => void time.fork(call(...args)));
          return host.gate(call(...args));
        };
      },
    });
  }

  private cloudPort(host: Host): CloudPort {
    const cloud = this.options.cloud();
    return {
      types: () => host.gate(cloud.types()),
      list: () => host.gate(cloud.list()),
      rent: (request, still) => host.gate(cloud.rent(request, still)),
      remove: (ids, still) => host.gate(cloud.remove(ids, still)),
    };
  }

  private sendOrders(label: string, address: string, body: string): void {
    const { duplicates, links, losesOrders, random, workers } = this.options;
    const worker = workers.get(address);
    if (!worker) return;
    // A gang of which half is told: the rest hears with its next heartbeat, if somebody still leads by then.
    if (losesOrders && random.chance(ORDER_LOST)) return;
    duplicates.sending(label, () => worker.direct(body));
    links.send(label, `zone:${worker.place.zone}`, () => worker.direct(body));
  }

  private peerPorts(
    label: string,
    host: Host,
  ): Pick<Parameters<typeof createController>[1], 'peers' | 'views' | 'relay'> {
    return {
      peers: {
        exchange: (peer, beat) =>
          this.exchange(host, label, peer.label, PEER_TIMEOUT, (there) =>
            Effect.zipRight(
              there.host.pass,
              Effect.sync(() => there.node.peers.receive(beat)),
            ),
          ),
      },
      views: {
        request: (peer, path, body) =>
          this.exchange(host, label, peer.label, PEER_REQUEST_TIMEOUT, (there) =>
            Effect.zipRight(there.host.pass, there.node.handlePeer({ method: 'POST', path, body })),
          ).pipe(
            Effect.flatMap((answer) =>
              answer.status === 200
                ? Effect.succeed(Buffer.from(answer.body))
                : Effect.fail(new NoResponse({ reason: `status ${answer.status}` })),
            ),
          ),
      },
      relay: {
        relay: (peer, batch) =>
          this.exchange(host, label, peer.label, PEER_REQUEST_TIMEOUT, (there) => {
            this.options.log.strike('relayed');
            const request = { method: 'POST', path: '/relay', body: batch };
            const work = handled(
              there.node.quickPeer,
              (incoming) => there.node.handlePeer(incoming),
              request,
            );
            return Effect.zipLeft(Effect.zipRight(there.host.pass, work), there.host.pass);
          }).pipe(Effect.map((answer) => Buffer.from(answer.body))),
      },
    };
  }

  /** One exchange between two controllers, over the links as they are; late messages arrive all the same. */
  private exchange<A>(
    host: Host,
    from: string,
    to: string,
    timeout: number,
    answer: (there: ControllerProcess) => Effect.Effect<A>,
  ): Effect.Effect<A, NoResponse> {
    const { duplicates, links, random, time } = this.options;
    duplicates.sending(from, () => {
      const there = this.running.get(to);
      if (there) time.fork(answer(there), there.host);
    });
    return host.gate(
      Effect.async<A, NoResponse>((resume) => {
        const fail = (reason: string) => () => resume(Effect.fail(new NoResponse({ reason })));
        time.after(timeout, fail('timeout'));
        const arrive = (): void => {
          const there = this.running.get(to);
          if (!there) return;
          time.fork(answer(there), there.host).addObserver((exit) => {
            if (!Exit.isSuccess(exit)) return;
            const back = () =>
              links.answer(from, to, () => resume(Effect.succeed(exit.value)), fail('reset'));
            // Now and then an answer is slow on its way: what it says is then old.
            if (random.chance(0.03)) time.after(random.between(0, 850_000), back);
            else back();
          });
        };
        links.send(from, to, arrive, fail('reset'));
      }),
    );
  }
}
