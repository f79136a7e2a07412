/**
 * A model of machines and their workers that follows the protocol: incarnations, fencing tokens, leases, gangs,
 * and one heartbeat in flight per worker. Messages are lost, delayed and duplicated. The model tracks which task
 * runs where and records violations.
 */
import { seconds } from '@lilacvalve/runtime/micros';
import type { RandomSource } from './random-source.js';
import { worldSettings } from './settings.js';

const { heartbeatInterval, lease, gangWait, gangPeer } = worldSettings('n0').workers;
const RESPONSE_TIMEOUT = seconds(4);

/** A simulated clock that runs queued callbacks in the order of their times. */
export class VirtualTime {
  now = 0;
  private readonly queue: { readonly at: number; readonly run: () => void }[] = [];

  after(delay: number, run: () => void): void {
    const at = this.now + Math.max(0, Math.round(delay));
    let index = this.queue.length;
    while (index > 0 && this.queue[index - 1]!.at <= at) index--;
    this.queue.splice(index, 0, { at, run });
  }

  runUntil(end: number): void {
    while (this.queue.length > 0 && this.queue[this.queue.length - 1]!.at <= end) {
      const { at, run } = this.queue.pop()!;
      this.now = at;
      run();
    }
    this.now = end;
  }
}

/** A task's gang size (0: it belongs to no gang) and its run time in microseconds. */
export interface TaskSpec {
  readonly id: string;
  readonly gangSize: number;
  readonly runTime: number;
}
interface Task {
  readonly key: string;
  readonly attempt: number;
  status: 'fetching' | 'gathering' | 'running' | 'ended';
  cause?: string;
}
interface Order {
  readonly orderKind: string;
  readonly piece: string;
  readonly try: number;
}
/** What the model workers share: the clock, all workers, and the observed faults and violations. */
export interface WorkerWorld {
  readonly time: VirtualTime;
  readonly random: RandomSource;
  readonly workers: Map<string, Worker>;
  /** Tasks running on machines, by task key. */
  readonly running: Map<string, { readonly machine: string; readonly attempt: number }>;
  readonly finished: Set<string>;
  readonly violations: string[];
  /** How often each combination of faults has occurred, by name. */
  readonly seenFaults: Map<string, number>;
  /** Whether messages are currently lost, delayed and duplicated. */
  isFaulty: boolean;
  specOf(key: string): TaskSpec;
  /**
   * Delivers a heartbeat to a controller that currently responds to heartbeats; `reply` gets null if there is
   * none.
   */
  deliver(body: string, worker: Worker, isCopy: boolean, reply: (response: string | null) => void): void;
}
/** Counts a combination of faults. */
export const noteFault = (world: WorkerWorld, fault: string): void =>
  void world.seenFaults.set(fault, (world.seenFaults.get(fault) ?? 0) + 1);

/** A machine with its worker, which follows the protocol for workers. */
export class Worker {
  incarnation = 1;
  sequence = 0;
  fencingToken = 0;
  alive = true;
  unreachableUntil = 0;
  private tasks: Task[] = [];
  private readonly forgotten = new Set<string>();
  private leaseStart: number;
  private inFlight = false;

  constructor(
    readonly id: string,
    private readonly world: WorkerWorld,
  ) {
    this.leaseStart = world.time.now;
    this.world.time.after(world.random.between(0, heartbeatInterval), () => this.sendHeartbeat());
    this.watchLease();
  }

  get isUnreachable(): boolean {
    return this.world.time.now < this.unreachableUntil;
  }

  private watchLease(): void {
    if (!this.alive) return;
    if (this.world.time.now - this.leaseStart > lease) {
      if (this.isUnreachable && this.tasks.some((task) => task.status === 'running'))
        noteFault(this.world, 'lease of an unreachable worker expired');
      this.clear();
      this.incarnation++;
      this.leaseStart = this.world.time.now;
    }
    this.world.time.after(100_000, () => this.watchLease());
  }

  private clear(): void {
    for (const task of this.tasks) this.exitTask(task, 'killed');
    this.tasks = [];
  }

  stop(): void {
    this.alive = false;
    this.clear();
  }

  private exitTask(task: Task, cause: string): void {
    if (task.status === 'ended') return;
    const previousStatus = task.status;
    task.status = 'ended';
    task.cause = cause;
    if (this.world.running.get(task.key)?.machine === this.id) this.world.running.delete(task.key);
    if (
      previousStatus === 'running' &&
      cause !== 'done' &&
      cause !== 'peers' &&
      this.world.specOf(task.key).gangSize > 0
    )
      for (const [worker, member] of this.members(task))
        if (member.status === 'running')
          this.world.time.after(gangPeer, () => worker.exitTask(member, 'peers'));
  }

  private members(task: Task): [Worker, Task][] {
    const jobPrefix = task.key.slice(0, task.key.indexOf('/') + 1);
    return [...this.world.workers.values()].flatMap((worker) =>
      worker.tasks
        .filter(
          (candidate) =>
            candidate.attempt === task.attempt &&
            candidate.status !== 'ended' &&
            candidate.key.startsWith(jobPrefix),
        )
        .map((member): [Worker, Task] => [worker, member]),
    );
  }

  private onFetched(task: Task): void {
    if (task.status !== 'fetching' || !this.tasks.includes(task)) return;
    const other = this.world.running.get(task.key);
    if (other)
      this.world.violations.push(
        `${task.key} runs on ${this.id} as attempt ${task.attempt} and on ${other.machine} as attempt ${other.attempt}`,
      );
    this.world.running.set(task.key, { machine: this.id, attempt: task.attempt });
    const { gangSize, runTime } = this.world.specOf(task.key);
    if (this.world.finished.has(task.key)) return this.exitTask(task, 'done');
    if (gangSize === 0) {
      task.status = 'running';
      const cause = this.world.isFaulty && this.world.random.chance(0.15) ? 'error' : 'done';
      return this.world.time.after(runTime, () => this.complete([[this, task]], cause));
    }
    task.status = 'gathering';
    this.world.time.after(gangWait, () => task.status === 'gathering' && this.exitTask(task, 'alone'));
    const members = this.members(task);
    if (members.length < gangSize || members.some(([, member]) => member.status !== 'gathering')) return;
    for (const [, member] of members) member.status = 'running';
    this.world.time.after(runTime, () => {
      if (members.every(([, member]) => member.status === 'running')) this.complete(members, 'done');
    });
  }

  private complete(members: [Worker, Task][], cause: string): void {
    for (const [worker, member] of members) {
      if (member.status === 'ended') continue;
      if (cause === 'done') this.world.finished.add(member.key);
      worker.exitTask(member, cause);
    }
  }

  private execute(orders: readonly Order[]): void {
    for (const order of orders) {
      const existing = this.tasks.find(
        (candidate) => candidate.key === order.piece && candidate.attempt === order.try,
      );
      if (order.orderKind === 'stop') {
        if (existing) this.exitTask(existing, 'stopped');
      } else if (order.orderKind === 'reap') {
        if (existing?.status !== 'ended') continue;
        this.tasks = this.tasks.filter((candidate) => candidate !== existing);
        this.forgotten.add(`${existing.key} ${existing.attempt}`);
      } else if (!existing) {
        if (this.forgotten.has(`${order.piece} ${order.try}`))
          this.world.violations.push(
            `${order.piece} started again as attempt ${order.try} after the worker was ordered to forget it`,
          );
        const busy = this.tasks.some(
          (candidate) => candidate.key === order.piece && candidate.status !== 'ended',
        );
        const started: Task = { key: order.piece, attempt: order.try, status: 'fetching' };
        this.tasks.push(started);
        if (busy || (this.world.isFaulty && this.world.random.chance(0.05)))
          this.exitTask(started, busy ? 'in_use' : 'unknown');
        else this.world.time.after(this.world.random.between(1e5, 2e6), () => this.onFetched(started));
      }
    }
  }

  /** Handles orders sent directly to the worker's address, which arrive `delay` microseconds after they were sent. */
  receiveOrders(body: string, delay: number): void {
    const message = JSON.parse(body) as { warrant: number; tenure: number; orders: Order[] };
    if (!this.alive || this.isUnreachable) return;
    if (message.warrant < this.fencingToken || message.tenure !== this.incarnation) {
      if (delay > 1e6)
        noteFault(
          this.world,
          message.tenure === this.incarnation
            ? 'delayed order of an older leader'
            : 'delayed order for an older incarnation',
        );
      return;
    }
    if (delay > 1e6) noteFault(this.world, 'delayed order executed');
    this.fencingToken = message.warrant;
    this.sequence++;
    this.execute(message.orders);
  }

  private body(): string {
    return JSON.stringify({
      host: this.id,
      addr: this.id,
      hostKind: 'c8',
      room: 'a',
      borrowed: false,
      tenure: this.incarnation,
      tick: ++this.sequence,
      warrant: this.fencingToken,
      recallS: null,
      pieces: this.tasks.map((task) => ({
        piece: task.key,
        try: task.attempt,
        status: task.status,
        cause: task.cause,
      })),
    });
  }

  private sendHeartbeat(): void {
    const { time, random } = this.world;
    if (!this.alive || this.inFlight) return;
    this.inFlight = true;
    const sentAt = time.now;
    const { incarnation } = this;
    const body = this.body();
    let awaitingResponse = true;
    const onResponse = (response: string | null): void => {
      if (!awaitingResponse) return;
      awaitingResponse = false;
      this.inFlight = false;
      const previousToken = this.fencingToken;
      if (response !== null) {
        const message = JSON.parse(response) as { warrant: number; orders: Order[] };
        if (message.warrant >= this.fencingToken && incarnation === this.incarnation) {
          this.fencingToken = message.warrant;
          this.leaseStart = sentAt;
          this.execute(message.orders);
        }
      }
      const delay =
        response === null
          ? 1e6
          : this.fencingToken > previousToken
            ? 5e5
            : heartbeatInterval * random.between(0.75, 1.25);
      time.after(delay, () => this.sendHeartbeat());
    };
    time.after(RESPONSE_TIMEOUT, () => onResponse(null));
    const faulty = this.world.isFaulty;
    // Sends a duplicate, from 2 s to well over a lease later.
    if (faulty && random.chance(0.15))
      time.after(random.between(2e6, 40e6), () => this.world.deliver(body, this, true, () => undefined));
    if (faulty && random.chance(0.04)) return;
    const requestDelay = faulty && random.chance(0.06) ? random.between(2e6, 15e6) : random.between(1e3, 5e4);
    const responseDelay = faulty && random.chance(0.06) ? random.between(1e6, 5e6) : random.between(1e3, 5e4);
    time.after(requestDelay, () =>
      this.world.deliver(body, this, false, (response) => {
        if (this.isUnreachable) return;
        time.after(responseDelay, () => this.alive && onResponse(response));
      }),
    );
  }
}
