/**
 * Runs the controllers of a simulated deployment: the real controllers, as processes that start, crash and
 * communicate over simulated links.
 */
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
import { ControllerHost, type Time } from './time.js';
import type { Worker } from './worker/worker.js';

/** Time of day at which a simulation begins, in microseconds since 1970. */
export const DAY_BEGINS = 1e12;
/** Calls that write to the state service. Copies of them may arrive late. */
const WRITE_CALLS = new Set<string | symbol>(['transact', 'grant', 'extend', 'release']);
/** Timeout of a peer heartbeat between controllers, in microseconds. */
const PEER_HEARTBEAT_TIMEOUT = 900_000;
const PEER_REQUEST_TIMEOUT = 2_500_000;
/** Probability that an order sent directly to a worker is lost, on a day of lending. */
const ORDER_LOSS_PROBABILITY = 0.15;

/** One process of a controller, from its start to its crash. */
export interface ControllerProcess extends Process {
  readonly controller: Controller;
  readonly host: ControllerHost;
  readonly fiber: Fiber.RuntimeFiber<unknown, unknown>;
}

/** Dependencies of the simulated controllers. */
export interface ControllersOptions {
  /** Labels of the controllers. */
  readonly labels: readonly string[];
  readonly settings: (label: string) => Settings;
  readonly time: Time;
  readonly random: RandomSource;
  readonly links: Links;
  readonly state: StateService;
  readonly duplicates: DuplicateDelivery;
  readonly log: FaultLog;
  readonly cloud: () => CloudPort;
  readonly workers: ReadonlyMap<string, Worker>;
  /** Whether some orders that are sent directly to workers are lost. */
  readonly losesOrders: boolean;
  /** Called when a worker's heartbeat has reached a controller. */
  readonly onHeartbeat: (controller: string) => void;
  /** Called when a controller has crashed. */
  readonly onCrash: (controller: Controller) => void;
}

/**
 * Handles a request as the HTTP server does: synchronously, outside any fiber, if the fast path accepts the request,
 * else with the regular handler.
 */
const handleRequest = (
  fastPath: FastPathHandler,
  handle: (request: HttpRequest) => Effect.Effect<HttpResponse>,
  request: HttpRequest,
): Effect.Effect<HttpResponse> =>
  Effect.suspend(() => {
    let resume: ((effect: Effect.Effect<HttpResponse>) => void) | null = null;
    let earlyResponse: HttpResponse | null = null;
    const accepted = fastPath(request, (response) => {
      if (resume === null) earlyResponse = response;
      else resume(Effect.succeed(response));
    });
    if (!accepted) return handle(request);
    return Effect.async<HttpResponse>((callback) => {
      if (earlyResponse !== null) callback(Effect.succeed(earlyResponse));
      else resume = callback;
    });
  });

/** A controller's monotonic clock. It starts at an arbitrary value and drifts slightly from simulated time. */
interface LocalClock {
  readonly now: () => Micros;
  /** Converts a simulated time to this clock. */
  readonly at: (time: number) => number;
}

/** Starts and crashes controllers, and carries messages between them. */
export class Controllers {
  private readonly running = new Map<string, ControllerProcess>();
  /** Error of each controller's time of day, in microseconds, by label. */
  readonly clockOffsets = new Map<string, number>();

  constructor(private readonly options: ControllersOptions) {}

  get labels(): readonly string[] {
    return this.options.labels;
  }

  /** Returns the running process of a controller; undefined: the controller is down. */
  process(label: string): ControllerProcess | undefined {
    return this.running.get(label);
  }

  /** Returns all running processes. */
  processes(): ControllerProcess[] {
    return [...this.running.values()];
  }

  /** Returns the controllers that are running. */
  up(): { readonly name: string; readonly controller: Controller }[] {
    return [...this.running].map(([name, process]) => ({ name, controller: process.controller }));
  }

  /** Returns the label of the controller that may act as leader. */
  leader(): string | undefined {
    return this.labels.find((label) => this.running.get(label)?.controller.leadership.currentTerm());
  }

  /** Returns the process of the controller that may act as leader. */
  leaderProcess(): ControllerProcess | undefined {
    return this.running.get(this.leader() ?? '');
  }

  /** Draws a controller's label. Users reach the controllers through a load balancer. */
  randomLabel(): string {
    return this.labels[this.options.random.int(this.labels.length)]!;
  }

  /** Whether the controller is running and reports itself ready for requests. */
  ready(label: string): boolean {
    const process = this.running.get(label);
    return process !== undefined && process.controller.unreadyReason() === null;
  }

  /** Returns the host that the controller runs on. */
  host(label: string): ControllerHost | undefined {
    return this.running.get(label)?.host;
  }

  /** Pauses the controller's process for `durationUs` while its clocks continue. */
  freeze(label: string, durationUs: number): void {
    this.host(label)?.freeze(this.options.time, durationUs);
  }

  /** Starts a process of the controller. */
  start(label: string): void {
    const clock = this.localClock();
    const host = new ControllerHost(label);
    const store = this.storePort(label, host, clock);
    const { time } = this.options;
    const controller = createController(this.options.settings(label), {
      store,
      cloud: this.cloudPort(host),
      workers: { sendOrders: (address, body) => Effect.sync(() => this.sendOrders(label, address, body)) },
      ...this.peerPorts(label, host),
      clock: clock.now,
      dayTime: () => micros(time.now + DAY_BEGINS + (this.clockOffsets.get(label) ?? 0)),
      snapshots: null,
    });
    this.running.set(label, { label, controller, host, fiber: time.fork(controller.run, host) });
  }

  /**
   * Crashes a controller without a shutdown, and restarts it after `restartDelayUs`. Does nothing if it is already
   * down.
   */
  crash(label: string, restartDelayUs: number): void {
    const process = this.running.get(label);
    if (!process) return;
    const { time, log, duplicates, onCrash } = this.options;
    log.disruptedFor(restartDelayUs);
    duplicates.senderExited(label);
    this.running.delete(label);
    onCrash(process.controller);
    time.fork(Fiber.interruptFork(process.fiber));
    time.after(restartDelayUs, () => this.start(label));
  }

  /** Ends all processes without restarting them. */
  stop(): void {
    for (const process of this.running.values()) this.options.time.fork(Fiber.interruptFork(process.fiber));
  }

  /**
   * Handles a request to the controller's listener; null: the controller is down. The request waits unread while the
   * controller is paused.
   */
  handle(label: string, request: HttpRequest): Effect.Effect<HttpResponse> | null {
    const process = this.running.get(label);
    if (!process) return null;
    if (request.path === '/agent/beat') this.options.onHeartbeat(label);
    const { controller, host } = process;
    const response = handleRequest(controller.quick, (incoming) => controller.handle(incoming), request);
    return Effect.zipLeft(Effect.zipRight(host.whenResumed, response), host.whenResumed);
  }

  private localClock(): LocalClock {
    const { random, time } = this.options;
    const offset = random.between(0, 1e9);
    const rate = 1 + random.between(-0.00025, 0.00025);
    const startedAt = time.now;
    const at = (simulated: number): number => offset + (simulated - startedAt) * rate;
    return { now: () => micros(at(time.now)), at };
  }

  /**
   * Returns the controller's client of the state service. The simulated service measures times in simulated time,
   * which this client converts to the controller's own clock.
   */
  private storePort(label: string, host: ControllerHost, clock: LocalClock): StatePort {
    const { duplicates, state, time } = this.options;
    return new Proxy(state.port(label), {
      get: (port, key) => {
        if (key === 'lastServed' || key === 'lastRefused') return clock.at(port[key]);
        if (key === 'leading') return port.leading;
        const call = Reflect.get(port, key) as (...args: unknown[]) => Effect.Effect<unknown>;
        if (!WRITE_CALLS.has(key)) return (...args: unknown[]) => host.delayWhileFrozen(call(...args));
        return (...args: unknown[]) => {
          duplicates.recordSent(label, () => void time.fork(call(...args)));
          return host.delayWhileFrozen(call(...args));
        };
      },
    });
  }

  private cloudPort(host: ControllerHost): CloudPort {
    const cloud = this.options.cloud();
    return {
      types: () => host.delayWhileFrozen(cloud.types()),
      list: () => host.delayWhileFrozen(cloud.list()),
      rent: (request, still) => host.delayWhileFrozen(cloud.rent(request, still)),
      remove: (ids, still) => host.delayWhileFrozen(cloud.remove(ids, still)),
    };
  }

  private sendOrders(label: string, address: string, body: string): void {
    const { duplicates, links, losesOrders, random, workers } = this.options;
    const worker = workers.get(address);
    if (!worker) return;
    // Losing some orders leaves a gang with only some of its tasks dispatched. The other workers get their orders in
    // the response to their next heartbeat, if there is a leader by then.
    if (losesOrders && random.chance(ORDER_LOSS_PROBABILITY)) return;
    duplicates.recordSent(label, () => worker.direct(body));
    links.send(label, `zone:${worker.place.zone}`, () => worker.direct(body));
  }

  private peerPorts(
    label: string,
    host: ControllerHost,
  ): Pick<Parameters<typeof createController>[1], 'peers' | 'views' | 'relay'> {
    return {
      peers: {
        exchange: (peer, heartbeat) =>
          this.exchange(host, label, peer.label, PEER_HEARTBEAT_TIMEOUT, (receiver) =>
            Effect.zipRight(
              receiver.host.whenResumed,
              Effect.sync(() => receiver.controller.peers.receive(heartbeat)),
            ),
          ),
      },
      views: {
        request: (peer, path, body) =>
          this.exchange(host, label, peer.label, PEER_REQUEST_TIMEOUT, (receiver) =>
            Effect.zipRight(
              receiver.host.whenResumed,
              receiver.controller.handlePeer({ method: 'POST', path, body }),
            ),
          ).pipe(
            Effect.flatMap((response) =>
              response.status === 200
                ? Effect.succeed(Buffer.from(response.body))
                : Effect.fail(new NoResponse({ reason: `status ${response.status}` })),
            ),
          ),
      },
      relay: {
        relay: (peer, batch) =>
          this.exchange(host, label, peer.label, PEER_REQUEST_TIMEOUT, (receiver) => {
            this.options.log.recordInjected('relayed');
            const request = { method: 'POST', path: '/relay', body: batch };
            const response = handleRequest(
              receiver.controller.quickPeer,
              (incoming) => receiver.controller.handlePeer(incoming),
              request,
            );
            return Effect.zipLeft(
              Effect.zipRight(receiver.host.whenResumed, response),
              receiver.host.whenResumed,
            );
          }).pipe(Effect.map((response) => Buffer.from(response.body))),
      },
    };
  }

  /**
   * Sends one request from a controller to a peer over the simulated links. A message that is delivered after the
   * timeout is still handled.
   */
  private exchange<A>(
    host: ControllerHost,
    from: string,
    to: string,
    timeout: number,
    handle: (receiver: ControllerProcess) => Effect.Effect<A>,
  ): Effect.Effect<A, NoResponse> {
    const { duplicates, links, random, time } = this.options;
    duplicates.recordSent(from, () => {
      const receiver = this.running.get(to);
      if (receiver) time.fork(handle(receiver), receiver.host);
    });
    return host.delayWhileFrozen(
      Effect.async<A, NoResponse>((resume) => {
        const fail = (reason: string) => () => resume(Effect.fail(new NoResponse({ reason })));
        time.after(timeout, fail('timeout'));
        const arrive = (): void => {
          const receiver = this.running.get(to);
          if (!receiver) return;
          time.fork(handle(receiver), receiver.host).addObserver((exit) => {
            if (!Exit.isSuccess(exit)) return;
            const respond = () =>
              links.sendResponse(from, to, () => resume(Effect.succeed(exit.value)), fail('reset'));
            // Some responses are delayed, so that their content is outdated on arrival.
            if (random.chance(0.03)) time.after(random.between(0, 850_000), respond);
            else respond();
          });
        };
        links.send(from, to, arrive, fail('reset'));
      }),
    );
  }
}
