/** Stand-in for one machine and its worker, by the protocol: incarnations, tokens, leases, heartbeats and orders. */
import { type Effect, Exit } from 'effect';
import type { HttpResponse, HttpRequest } from '@lilacvalve/runtime/http-server';
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { Links } from '../links.js';
import type { Place, Rules } from '../rules.js';
import type { Time } from '../time.js';
import type { Amounts } from '../starvation-check.js';
import { type GangTiming, type Task, type TaskHost, TaskRunner, type TaskWorld } from './task-runner.js';
import { decodeDirectOrders, decodeHeartbeatAnswer, encodeHeartbeat } from './wire.js';

/** The time between two heartbeats when something has changed, microseconds. */
const CHANGED_HEARTBEAT = 500_000;
/** The time to the next heartbeat after one that no leader has answered. */
const RETRY_HEARTBEAT = 1e6;
/** A heartbeat without an answer is given up after this. */
const HEARTBEAT_TIMEOUT = 4e6;
/** A worker that hangs, or waits for an answer, looks again after this. */
const BUSY_LOOKS_EVERY = 200_000;
const HANGING_LOOKS_EVERY = 500_000;

/** The network as a worker sees it, and who is told of what happens on it. */
export interface WorkerNet {
  readonly links: Links;
  /** The controllers' labels. */
  readonly nodes: readonly string[];
  /** A request to a controller; null: it is down. */
  handle(node: string, request: HttpRequest): Effect.Effect<HttpResponse> | null;
  /** A copy of a request that has been sent may arrive later, once more. */
  echo(from: string, again: () => void): void;
  /** A heartbeat has been sent to a controller. */
  heartbeatSent(by: Worker, node: string, body: Buffer): void;
  /** An order or an answer has reached a machine: for so long it stands still before it acts. */
  stallFor(by: Worker): number;
  /** A machine has gone on; `order`: with a direct order, else with an answer. */
  resumed(lapsed: boolean, order: boolean): void;
  /** An order to its address has stopped a task. */
  stoppedDirectly(by: Worker, task: string): void;
  /** An ended task is forgotten by its machine; `done`: it had completed. */
  reaped(task: string, done: boolean): void;
}

/** Times by which a worker goes, microseconds. */
export interface Timing extends GangTiming {
  readonly heartbeatInterval: number;
  readonly lease: number;
}

/** A machine, and what it needs of the simulation around it. */
export interface WorkerOptions {
  readonly place: Place;
  readonly room: { readonly cpus: number; readonly gpus: number; readonly memGb: number };
  readonly time: Time;
  readonly random: RandomSource;
  readonly net: WorkerNet;
  readonly rules: Rules;
  readonly world: TaskWorld;
  readonly timing: Timing;
  /** Everything that runs here fails. */
  readonly faulty: boolean;
  /** Called with the number of tasks that an expired lease has killed. */
  readonly onKilled: (tasks: number) => void;
}

/** One machine with its worker, from its boot to its end. */
export class Worker implements TaskHost {
  /** Of the worker, raised by each restart and each expired lease. */
  incarnation = 1;
  /** The number of the last heartbeat or direct orders. */
  sequence = 0;
  /** The highest term that it has taken orders of. */
  token = 0;
  /** When the latest heartbeat was sent that it got a valid answer to. */
  answeredFrom = 0;
  alive = true;
  hanging = false;
  /** What is sent to it is lost. */
  deaf = false;
  /** It reaches no controller, while direct orders reach it. */
  mute = false;
  /** When the machine will be taken; null: no notice. */
  recallAt: number | null = null;
  readonly runner: TaskRunner;
  private leaseFrom: number;
  /** What has reached it since it hangs; null: it does not, or is not told so by `hang`. */
  private arrived: (() => void)[] | null = null;
  /** Its clock is so much fast or slow. */
  private readonly drift: number;
  /** The controller that it reports to, counted on without end. */
  private node: number;
  /** A heartbeat has been sent and neither answered nor given up. */
  private awaiting = false;
  /** Counts restarts: what was sent before one is not waited for. */
  private lives = 0;
  private reportAt = 0;
  private cancelReport: () => void = () => undefined;

  constructor(private readonly options: WorkerOptions) {
    const { net, random, rules, time, timing, world } = options;
    this.runner = new TaskRunner(this, time, random, rules, world, timing);
    this.leaseFrom = time.now;
    this.drift = random.between(-0.0005, 0.0005);
    this.node = random.int(net.nodes.length);
    this.schedule(random.between(0, 500_000));
    this.watchLease();
  }

  get place(): Place {
    return this.options.place;
  }

  get room(): WorkerOptions['room'] {
    return this.options.room;
  }

  get faulty(): boolean {
    return this.options.faulty;
  }

  /** Attempts that are here, ended ones too, by task. */
  get tasks(): ReadonlyMap<string, Task> {
    return this.runner.tasks;
  }

  /** A task runs here. */
  running(): boolean {
    return this.runner.running();
  }

  /** Tasks that are here, fetching ones too. */
  held(): string[] {
    return this.runner.held();
  }

  /** What is free here, fetching tasks counted; null: nothing can run here, or the machine is about to be taken. */
  spare(): Amounts | null {
    if (!this.alive || this.hanging || this.deaf || this.mute || this.faulty || this.recallAt !== null)
      return null;
    return this.runner.spare();
  }

  /** The machine is gone. */
  die(): void {
    this.alive = false;
    this.cancelReport();
    this.runner.killAll();
  }

  /** The machine restarts: its tasks are gone, its worker comes back as a new incarnation. */
  restart(down: number): void {
    this.hanging = true;
    this.runner.killAll();
    this.incarnation++;
    this.lives++;
    this.awaiting = false;
    this.options.time.after(down, () => {
      this.hanging = false;
      this.leaseFrom = this.options.time.now;
      this.changed();
    });
  }

  /** Hangs for so long: reads and executes nothing, and goes on with what has arrived meanwhile. */
  hang(lasts: number, goesOn: (lapsed: boolean) => void): void {
    const { incarnation } = this;
    const arrived: (() => void)[] = [];
    this.hanging = true;
    this.arrived = arrived;
    this.options.time.after(lasts, () => {
      this.hanging = false;
      this.arrived = null;
      if (!this.alive) return;
      goesOn(incarnation !== this.incarnation);
      for (const act of arrived) act();
    });
  }

  /** Orders sent to the worker's address. */
  direct(body: string): void {
    if (!this.alive || this.deaf) return;
    if (this.hanging) {
      this.options.time.after(HANGING_LOOKS_EVERY, () => this.direct(body));
      return;
    }
    this.whenAwake(() => this.takeOrders(body), true);
  }

  /** A heartbeat reaches a controller. `then`: its answer; null: the controller is down. */
  deliver(node: string, body: Buffer, then: (answer: HttpResponse | null) => void): void {
    const effect = this.options.net.handle(node, { method: 'POST', path: '/agent/beat', body });
    if (effect === null) {
      then(null);
      return;
    }
    const fiber = this.options.time.fork(effect);
    fiber.addObserver((exit) => then(Exit.isSuccess(exit) ? exit.value : null));
  }

  /** The body of the next heartbeat. */
  body(): string {
    this.sequence++;
    const { incarnation, place, recallAt, sequence, token } = this;
    const recallIn = recallAt === null ? null : recallAt - this.options.time.now;
    return encodeHeartbeat({ place, incarnation, sequence, token, recallIn, tasks: this.tasks.values() });
  }

  /** The next heartbeat comes soon. */
  changed(): void {
    if (!this.alive) return;
    const wait = Math.max(10_000, this.reportAt + CHANGED_HEARTBEAT - this.options.time.now);
    this.schedule(wait);
  }

  stoppedDirectly(task: string): void {
    this.options.net.stoppedDirectly(this, task);
  }

  reaped(task: string, done: boolean): void {
    this.options.net.reaped(task, done);
  }

  private get leaseEnd(): number {
    return this.leaseFrom + this.options.timing.lease * (1 + this.drift);
  }

  /** Kills everything once the lease has expired, and goes on as a new incarnation. */
  private watchLease(): void {
    if (!this.alive) return;
    const { onKilled, time } = this.options;
    if (time.now >= this.leaseEnd) {
      const tasks = this.held().length;
      if (tasks > 0) onKilled(tasks);
      this.runner.killAll();
      this.incarnation++;
      this.leaseFrom = time.now;
      this.changed();
    }
    time.after(Math.max(1000, Math.min(this.leaseEnd - time.now, 500_000)), () => this.watchLease());
  }

  private schedule(delay: number): void {
    this.cancelReport();
    this.cancelReport = this.options.time.after(delay, () => this.send());
  }

  /** The controller that the next heartbeat goes to. */
  private get reportsTo(): string {
    const { nodes } = this.options.net;
    return nodes[this.node % nodes.length]!;
  }

  /** Sends a heartbeat. */
  private send(): void {
    if (!this.alive) return;
    if (this.awaiting || this.hanging) {
      this.schedule(BUSY_LOOKS_EVERY);
      return;
    }
    const { net, time } = this.options;
    this.awaiting = true;
    this.reportAt = time.now;
    const sent = time.now;
    const { incarnation, lives, reportsTo } = this;
    const body = Buffer.from(this.body());
    let over = false;
    const finish = (answer: HttpResponse | null): void => {
      if (over || lives !== this.lives) return;
      over = true;
      this.awaiting = false;
      if (this.alive) this.schedule(this.takeAnswer(answer, sent, incarnation));
    };
    time.after(HEARTBEAT_TIMEOUT, () => finish(null));
    net.echo(this.place.id, () => this.deliver(reportsTo, body, () => undefined));
    net.heartbeatSent(this, reportsTo, body);
    if (this.mute) return void time.after(1000, () => finish(null));
    this.sendOverLinks(reportsTo, body, finish);
  }

  private sendOverLinks(node: string, body: Buffer, finish: (answer: HttpResponse | null) => void): void {
    const { links } = this.options.net;
    const zone = `zone:${this.place.zone}`;
    const back = (answer: HttpResponse | null): void =>
      links.answer(
        zone,
        node,
        () => this.deaf || this.whenAwake(() => finish(answer)),
        () => finish(null),
      );
    // Held, it may arrive long after the worker has given up.
    links.send(
      zone,
      node,
      () => this.deliver(node, body, back),
      () => finish(null),
    );
  }

  /** Acts on an answer to the heartbeat that was sent then. The time to the next heartbeat. */
  private takeAnswer(answer: HttpResponse | null, sent: number, incarnation: number): number {
    const { random, timing } = this.options;
    const usual = timing.heartbeatInterval * random.between(0.75, 1.25);
    if (answer === null || (answer.status !== 200 && answer.status !== 421)) return this.tryNextNode();
    const { leader, orders, token } = decodeHeartbeatAnswer(answer.body.toString());
    if (answer.status === 421) return this.redirect(leader);
    if (token === undefined || token < this.token || incarnation !== this.incarnation) return usual;
    const higher = token > this.token;
    this.token = token;
    this.leaseFrom = Math.max(this.leaseFrom, sent);
    this.answeredFrom = sent;
    const before = this.runner.signature();
    this.runner.execute(orders);
    return higher || before !== this.runner.signature() ? CHANGED_HEARTBEAT : usual;
  }

  private tryNextNode(): number {
    this.node++;
    return RETRY_HEARTBEAT;
  }

  /** The controller does not lead, and may know who does. */
  private redirect(leader: string | undefined): number {
    const { net, random } = this.options;
    const to = leader === undefined ? -1 : net.nodes.indexOf(leader);
    if (to < 0 || to === this.node % net.nodes.length) return this.tryNextNode();
    this.node = to;
    return random.between(0, 500_000);
  }

  /** Acts on what has arrived, at once or when the machine goes on. */
  private whenAwake(act: () => void, order = false): void {
    if (this.arrived !== null) return void this.arrived.push(act);
    const { net, time } = this.options;
    const still = this.alive && !this.hanging ? net.stallFor(this) : 0;
    if (still === 0) return act();
    const { incarnation } = this;
    this.hanging = true;
    time.after(still, () => {
      this.hanging = false;
      if (!this.alive) return;
      net.resumed(incarnation !== this.incarnation, order);
      act();
    });
  }

  private takeOrders(body: string): void {
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
