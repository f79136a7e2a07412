/** Stand-in for one machine with its worker: incarnations, fencing tokens, the lease, heartbeats and orders. */
import { type Effect, Exit } from 'effect';
import type { HttpResponse, HttpRequest } from '@lilacvalve/runtime/http-server';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Links } from '../links.js';
import type { MachineInfo, Rules } from '../rules.js';
import type { Time } from '../time.js';
import type { Amounts } from '../starvation-check.js';
import { type GangTiming, type Task, type TaskHost, TaskRunner, type TaskWorld } from './task-runner.js';
import { decodeDirectOrders, decodeHeartbeatResponse, encodeHeartbeat } from './wire.js';

/** Interval between two heartbeats after the state of a task has changed. Microseconds, like all durations below. */
const CHANGED_HEARTBEAT_INTERVAL = 500_000;
/** Delay before the next heartbeat after one that no leader has answered. */
const HEARTBEAT_RETRY_DELAY = 1e6;
/** Timeout of a heartbeat. */
const HEARTBEAT_TIMEOUT = 4e6;
/** Delay before a worker that hangs or waits for a heartbeat response tries again to send a heartbeat. */
const BUSY_RETRY_DELAY = 200_000;
/** Interval at which direct orders to a hanging worker are delivered again. */
const REDELIVERY_INTERVAL = 500_000;

/** The network of a worker, and callbacks that report what happens on the worker. */
export interface WorkerNet {
  readonly links: Links;
  /** The labels of all controllers. */
  readonly controllers: readonly string[];
  /** Handles a request to a controller; null: the controller is not running. */
  handle(label: string, request: HttpRequest): Effect.Effect<HttpResponse> | null;
  /** Called with each request that is sent. `again` delivers a duplicate of it. */
  onSend(from: string, again: () => void): void;
  /** Called when a heartbeat has been sent to a controller. */
  heartbeatSent(by: Worker, label: string, body: Buffer): void;
  /** How long the machine hangs before it acts on received orders or a heartbeat response, in microseconds. */
  stallDuration(by: Worker): number;
  /**
   * Called when the machine resumes after such a hang. `leaseExpired`: whether its lease has expired meanwhile. `order`: whether
   * it acts on direct orders, else on a heartbeat response.
   */
  resumed(leaseExpired: boolean, order: boolean): void;
  /** Called when direct orders have stopped a task. */
  stoppedDirectly(by: Worker, task: string): void;
  /** Called when the record of an exited task is deleted. `done`: whether the task had completed its work. */
  reaped(task: string, done: boolean): void;
}

/** Intervals and timeouts of a worker, in microseconds. */
export interface Timing extends GangTiming {
  readonly heartbeatInterval: number;
  readonly lease: number;
}

/** The properties of a machine, and the components of the simulation that its worker depends on. */
export interface WorkerOptions {
  readonly place: MachineInfo;
  readonly capacity: { readonly cpus: number; readonly gpus: number; readonly memGb: number };
  readonly time: Time;
  readonly random: RandomSource;
  readonly network: WorkerNet;
  readonly rules: Rules;
  readonly world: TaskWorld;
  readonly timing: Timing;
  /** Whether all tasks on this machine fail. */
  readonly faulty: boolean;
  /** Called with the number of tasks killed after the lease has expired. */
  readonly onKilled: (tasks: number) => void;
}

/** One machine with its worker, from the boot until the machine is lost or deleted. */
export class Worker implements TaskHost {
  /** The worker's incarnation. Each restart and each expired lease increments it. */
  incarnation = 1;
  /** Incremented by each heartbeat and each execution of direct orders. */
  sequence = 0;
  /** The highest term from which the worker has accepted orders. */
  token = 0;
  /** When the latest heartbeat with a valid response was sent, in microseconds. */
  confirmedAt = 0;
  alive = true;
  hanging = false;
  /** Whether all messages to the worker are lost. */
  deaf = false;
  /** Whether the worker reaches no controller. Direct orders still reach it. */
  mute = false;
  /** When the cloud will reclaim the machine, in microseconds; null: no reclaim was announced. */
  recallAt: number | null = null;
  readonly runner: TaskRunner;
  private leaseStart: number;
  /** Messages received during a hang that `hang` began, as actions to perform afterwards; null: there is no such hang. */
  private deferred: (() => void)[] | null = null;
  /** Relative error of the worker's clock. */
  private readonly drift: number;
  /** Index of the controller that receives the heartbeats, modulo the number of controllers. */
  private controllerIndex: number;
  /** Whether a heartbeat is pending: neither answered nor timed out. */
  private awaiting = false;
  /** Number of restarts. Responses to heartbeats sent before a restart are ignored. */
  private restarts = 0;
  /** When the latest heartbeat was sent, in microseconds. */
  private heartbeatAt = 0;
  private cancelHeartbeat: () => void = () => undefined;

  constructor(private readonly options: WorkerOptions) {
    const { network, random, rules, time, timing, world } = options;
    this.runner = new TaskRunner(this, time, random, rules, world, timing);
    this.leaseStart = time.now;
    this.drift = random.between(-0.0005, 0.0005);
    this.controllerIndex = random.int(network.controllers.length);
    this.schedule(random.between(0, 500_000));
    this.checkLease();
  }

  get place(): MachineInfo {
    return this.options.place;
  }

  get capacity(): WorkerOptions['capacity'] {
    return this.options.capacity;
  }

  get faulty(): boolean {
    return this.options.faulty;
  }

  /** By task: its latest attempt on this machine, including exited ones until their record is deleted. */
  get tasks(): ReadonlyMap<string, Task> {
    return this.runner.tasks;
  }

  /** Whether a task is running. */
  running(): boolean {
    return this.runner.running();
  }

  /** The tasks that have not exited, including those that fetch their image. */
  heldTasks(): string[] {
    return this.runner.held();
  }

  /** The free resources; null: the machine can run no task, or the cloud is about to reclaim it. */
  freeResources(): Amounts | null {
    if (!this.alive || this.hanging || this.deaf || this.mute || this.faulty || this.recallAt !== null)
      return null;
    return this.runner.spare();
  }

  /** Ends the machine. */
  die(): void {
    this.alive = false;
    this.cancelHeartbeat();
    this.runner.killAll();
  }

  /** Restarts the machine. Its tasks end, and the worker starts again as a new incarnation after `down` microseconds. */
  restart(down: number): void {
    this.hanging = true;
    this.runner.killAll();
    this.incarnation++;
    this.restarts++;
    this.awaiting = false;
    this.options.time.after(down, () => {
      this.hanging = false;
      this.leaseStart = this.options.time.now;
      this.changed();
    });
  }

  /**
   * Makes the machine hang for `duration` microseconds: it processes no message. Afterwards it acts on the messages received
   * meanwhile. `onResume` is called before that; `leaseExpired`: whether the lease has expired during the hang.
   */
  hang(duration: number, onResume: (leaseExpired: boolean) => void): void {
    const { incarnation } = this;
    const deferred: (() => void)[] = [];
    this.hanging = true;
    this.deferred = deferred;
    this.options.time.after(duration, () => {
      this.hanging = false;
      this.deferred = null;
      if (!this.alive) return;
      onResume(incarnation !== this.incarnation);
      for (const act of deferred) act();
    });
  }

  /** Receives orders sent directly to the worker's address. */
  direct(body: string): void {
    if (!this.alive || this.deaf) return;
    if (this.hanging) {
      this.options.time.after(REDELIVERY_INTERVAL, () => this.direct(body));
      return;
    }
    this.whenAwake(() => this.executeOrders(body), true);
  }

  /** Delivers a heartbeat to a controller. `then` receives the response; null: the controller is not running. */
  deliver(label: string, body: Buffer, then: (response: HttpResponse | null) => void): void {
    const effect = this.options.network.handle(label, { method: 'POST', path: '/agent/beat', body });
    if (effect === null) {
      then(null);
      return;
    }
    const fiber = this.options.time.fork(effect);
    fiber.addObserver((exit) => then(Exit.isSuccess(exit) ? exit.value : null));
  }

  /** Encodes the next heartbeat. */
  body(): string {
    this.sequence++;
    const { incarnation, place, recallAt, sequence, token } = this;
    const reclaimIn = recallAt === null ? null : recallAt - this.options.time.now;
    return encodeHeartbeat({ place, incarnation, sequence, token, reclaimIn, tasks: this.tasks.values() });
  }

  /** Schedules the next heartbeat early. */
  changed(): void {
    if (!this.alive) return;
    const wait = Math.max(10_000, this.heartbeatAt + CHANGED_HEARTBEAT_INTERVAL - this.options.time.now);
    this.schedule(wait);
  }

  stoppedDirectly(task: string): void {
    this.options.network.stoppedDirectly(this, task);
  }

  reaped(task: string, done: boolean): void {
    this.options.network.reaped(task, done);
  }

  private get leaseEnd(): number {
    return this.leaseStart + this.options.timing.lease * (1 + this.drift);
  }

  /** Kills all tasks when the lease has expired, and continues as a new incarnation. */
  private checkLease(): void {
    if (!this.alive) return;
    const { onKilled, time } = this.options;
    if (time.now >= this.leaseEnd) {
      const tasks = this.heldTasks().length;
      if (tasks > 0) onKilled(tasks);
      this.runner.killAll();
      this.incarnation++;
      this.leaseStart = time.now;
      this.changed();
    }
    time.after(Math.max(1000, Math.min(this.leaseEnd - time.now, 500_000)), () => this.checkLease());
  }

  private schedule(delay: number): void {
    this.cancelHeartbeat();
    this.cancelHeartbeat = this.options.time.after(delay, () => this.send());
  }

  /** The label of the controller that receives the next heartbeat. */
  private get target(): string {
    const { controllers } = this.options.network;
    return controllers[this.controllerIndex % controllers.length]!;
  }

  /** Sends a heartbeat, or postpones it while another one is pending or the machine hangs. */
  private send(): void {
    if (!this.alive) return;
    if (this.awaiting || this.hanging) {
      this.schedule(BUSY_RETRY_DELAY);
      return;
    }
    const { network, time } = this.options;
    this.awaiting = true;
    this.heartbeatAt = time.now;
    const sent = time.now;
    const { incarnation, restarts, target } = this;
    const body = Buffer.from(this.body());
    let finished = false;
    const finish = (response: HttpResponse | null): void => {
      if (finished || restarts !== this.restarts) return;
      finished = true;
      this.awaiting = false;
      if (this.alive) this.schedule(this.processResponse(response, sent, incarnation));
    };
    time.after(HEARTBEAT_TIMEOUT, () => finish(null));
    network.onSend(this.place.id, () => this.deliver(target, body, () => undefined));
    network.heartbeatSent(this, target, body);
    if (this.mute) return void time.after(1000, () => finish(null));
    this.sendOverLinks(target, body, finish);
  }

  private sendOverLinks(label: string, body: Buffer, finish: (response: HttpResponse | null) => void): void {
    const { links } = this.options.network;
    const zone = `zone:${this.place.zone}`;
    const sendBack = (response: HttpResponse | null): void =>
      links.sendResponse(
        zone,
        label,
        () => this.deaf || this.whenAwake(() => finish(response)),
        () => finish(null),
      );
    // A held link may deliver the heartbeat long after it has timed out.
    links.send(
      zone,
      label,
      () => this.deliver(label, body, sendBack),
      () => finish(null),
    );
  }

  /** Processes the response to the heartbeat sent at `sent`, and returns the delay before the next heartbeat. */
  private processResponse(response: HttpResponse | null, sent: number, incarnation: number): number {
    const { random, timing } = this.options;
    const delay = timing.heartbeatInterval * random.between(0.75, 1.25);
    if (response === null || (response.status !== 200 && response.status !== 421))
      return this.tryNextController();
    const { leader, orders, token } = decodeHeartbeatResponse(response.body.toString());
    if (response.status === 421) return this.redirect(leader);
    if (token === undefined || token < this.token || incarnation !== this.incarnation) return delay;
    const newTerm = token > this.token;
    this.token = token;
    this.leaseStart = Math.max(this.leaseStart, sent);
    this.confirmedAt = sent;
    const before = this.runner.signature();
    this.runner.execute(orders);
    return newTerm || before !== this.runner.signature() ? CHANGED_HEARTBEAT_INTERVAL : delay;
  }

  /** Switches to the next controller and returns the delay before the next heartbeat. */
  private tryNextController(): number {
    this.controllerIndex++;
    return HEARTBEAT_RETRY_DELAY;
  }

  /** Switches to the leader that a controller without leadership names, or to the next controller. Returns the delay. */
  private redirect(leader: string | undefined): number {
    const { network, random } = this.options;
    const to = leader === undefined ? -1 : network.controllers.indexOf(leader);
    if (to < 0 || to === this.controllerIndex % network.controllers.length) return this.tryNextController();
    this.controllerIndex = to;
    return random.between(0, 500_000);
  }

  /** Performs an action at once, or when the machine resumes. */
  private whenAwake(act: () => void, order = false): void {
    if (this.deferred !== null) return void this.deferred.push(act);
    const { network, time } = this.options;
    const stall = this.alive && !this.hanging ? network.stallDuration(this) : 0;
    if (stall === 0) return act();
    const { incarnation } = this;
    this.hanging = true;
    time.after(stall, () => {
      this.hanging = false;
      if (!this.alive) return;
      network.resumed(incarnation !== this.incarnation, order);
      act();
    });
  }

  /** Executes direct orders of a current term that are meant for this incarnation. */
  private executeOrders(body: string): void {
    if (!this.alive) return;
    const { incarnation, orders, token } = decodeDirectOrders(body);
    if (token === undefined || token < this.token || incarnation !== this.incarnation) return;
    this.token = token;
    const before = this.runner.signature();
    this.runner.execute(orders, true);
    this.sequence++;
    if (before !== this.runner.signature()) this.changed();
  }
}
