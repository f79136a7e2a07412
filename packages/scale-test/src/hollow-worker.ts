/**
 * A worker without work: it speaks the workers' protocol over a connection of its own and keeps its incarnation, fencing
 * token and lease as the protocol has them; its tasks are `WorkerTasks`. Spot notices are not played.
 */
import { nowMs } from './clock.js';
import { type ByteCount, HttpConnection, type HttpReply } from './http-connection.js';
import { type JsonServer, serveJson } from './json-server.js';
import type { GangEnd, MachineDescription } from './model.js';
import type { WorkerHost } from './worker-host.js';
import { type WireOrder, WorkerTasks } from './worker-tasks.js';

/** How long a worker waits for an answer, and before it tries the next controller. */
const ANSWER_TIMEOUT_MS = 4000;
const NEXT_CONTROLLER_MS = 1000;
/** After a change it sends a heartbeat no earlier than this after its last one. */
const CHANGE_GAP_MS = 500;
const REPORT_SPREAD = 0.25;
/** A redirected worker goes on at once or after up to this. */
const REDIRECT_MS = 500;

/** Reported until the worker listens for orders. */
const NO_ADDRESS = '127.0.0.1:9';

interface WireAnswer {
  readonly warrant?: number;
  readonly orders?: readonly WireOrder[];
}

/** Reports from its construction on until it is ended. */
export class HollowWorker {
  readonly bytes: ByteCount = { sent: 0, received: 0 };
  private readonly connection = new HttpConnection(this.bytes);
  private readonly tasks: WorkerTasks;
  private incarnation = 1;
  private sequence = 0;
  private fencingToken = 0;
  private controller: number;
  /** When the last answered heartbeat was sent, or the session began. */
  private leaseFrom = nowMs();
  private heartbeatAt = 0;
  private tokenChangedAt = Number.NEGATIVE_INFINITY;
  private inFlight = false;
  private heartbeatAgain = false;
  private alive = true;
  private heartbeatTimer: NodeJS.Timeout;
  private leaseTimer: NodeJS.Timeout;
  private orders: JsonServer | null = null;

  constructor(
    private readonly host: WorkerHost,
    readonly machine: MachineDescription,
  ) {
    this.tasks = new WorkerTasks(host, machine, () => this.changed());
    this.controller = host.random.below(host.controllers.length);
    this.heartbeatTimer = setTimeout(() => void this.sendHeartbeat(), host.random.between(0, CHANGE_GAP_MS));
    this.leaseTimer = setTimeout(() => this.checkLease(), host.timing.leaseMs);
    void this.listen();
  }

  get tasksHeld(): number {
    return this.tasks.size;
  }

  /** It holds an attempt of the task that has not ended. */
  holds(task: string): boolean {
    return this.tasks.holds(task);
  }

  /** All members of a gang's attempt have their images. */
  gangRuns(job: string, attempt: number): void {
    this.tasks.gangRuns(job, attempt);
  }

  /** A gang's attempt is over on all its machines. */
  gangEnds(job: string, attempt: number, cause: GangEnd): void {
    this.tasks.gangEnds(job, attempt, cause);
  }

  /** The machine is gone, with all that is on it. */
  end(): void {
    this.alive = false;
    clearTimeout(this.heartbeatTimer);
    clearTimeout(this.leaseTimer);
    this.tasks.drop();
    this.connection.close();
    this.orders?.close();
  }

  /** The machine restarts: its tasks are gone and a new session begins. */
  restart(): void {
    this.connection.close();
    this.newSession();
    this.changed();
  }

  private async listen(): Promise<void> {
    const server = await serveJson(({ url, body }, respond) => {
      const { warrant, tenure, orders } = body as WireAnswer & { tenure?: number };
      if (url.pathname !== '/orders') return void respond(200, this.heartbeat());
      if (warrant === undefined || tenure === undefined) return void respond(400, {});
      if (warrant < this.fencingToken || tenure !== this.incarnation)
        return void respond(409, this.heartbeat());
      this.learnToken(warrant);
      this.tasks.execute(orders ?? []);
      respond(200, this.heartbeat());
    });
    if (this.alive) this.orders = server;
    else server.close();
  }

  /** The wire form of a heartbeat; each has a sequence number of its own. */
  private heartbeat(): object {
    this.sequence++;
    return {
      host: this.machine.id,
      addr: this.orders?.address ?? NO_ADDRESS,
      hostKind: this.machine.kind,
      room: this.machine.zone,
      borrowed: false,
      tenure: this.incarnation,
      tick: this.sequence,
      warrant: this.fencingToken,
      recallS: null,
      pieces: this.tasks.toWire(),
    };
  }

  private changed(): void {
    if (!this.alive) return;
    if (this.inFlight) {
      this.heartbeatAgain = true;
      return;
    }
    this.schedule(Math.max(5, this.heartbeatAt + CHANGE_GAP_MS - nowMs()));
  }

  private schedule(ms: number): void {
    clearTimeout(this.heartbeatTimer);
    this.heartbeatTimer = setTimeout(() => void this.sendHeartbeat(), ms);
  }

  private async sendHeartbeat(): Promise<void> {
    const { host } = this;
    this.inFlight = true;
    this.heartbeatAgain = false;
    const sentAt = nowMs();
    this.heartbeatAt = sentAt;
    const { incarnation } = this;
    const to = host.controllers[this.controller % host.controllers.length]!;
    host.counters.reports++;
    const body = JSON.stringify(this.heartbeat());
    const reply = await this.connection.request(to.listen, 'POST', '/agent/beat', body, ANSWER_TIMEOUT_MS);
    if (!this.alive) return;
    this.inFlight = false;
    const wait = this.handleReply(reply, sentAt, incarnation);
    this.schedule(this.heartbeatAgain ? Math.max(5, sentAt + CHANGE_GAP_MS - nowMs()) : wait);
  }

  /** Acts on the answer to a heartbeat; returns after how many milliseconds to send the next. */
  private handleReply(reply: HttpReply | null, sentAt: number, incarnation: number): number {
    const { host } = this;
    if (reply?.status === 200) {
      host.answered(nowMs() - sentAt);
      const { warrant, orders } = JSON.parse(reply.body) as WireAnswer;
      if (warrant !== undefined && warrant >= this.fencingToken && incarnation === this.incarnation) {
        this.learnToken(warrant);
        this.leaseFrom = Math.max(this.leaseFrom, sentAt);
        host.counters.renewed++;
        this.tasks.execute(orders ?? []);
      }
      const { reportMs } = host.timing;
      return reportMs * host.random.between(1 - REPORT_SPREAD, 1 + REPORT_SPREAD);
    }
    if (reply === null) host.counters.unanswered++;
    else host.counters.refused++;
    const named = reply?.status === 421 ? this.redirectOf(reply.body) : -1;
    const same = named < 0 || named === this.controller % host.controllers.length;
    this.controller = same ? this.controller + 1 : named;
    return same ? NEXT_CONTROLLER_MS : host.random.between(0, REDIRECT_MS);
  }

  /** The index of the controller that a 421 names; -1: none that is known. */
  private redirectOf(body: string): number {
    const { answerTo } = JSON.parse(body) as { answerTo?: string };
    return this.host.controllers.findIndex((c) => c.label === answerTo);
  }

  private learnToken(token: number): void {
    if (token <= this.fencingToken) return;
    this.fencingToken = token;
    const now = nowMs();
    if (now - this.tokenChangedAt < this.host.timing.leaseMs / 2) return;
    this.tokenChangedAt = now;
    this.changed();
  }

  private checkLease(): void {
    const left = this.leaseFrom + this.host.timing.leaseMs - nowMs();
    if (left <= 0) {
      this.host.counters.leasesLost++;
      this.newSession();
      this.changed();
    }
    this.leaseTimer = setTimeout(() => this.checkLease(), left > 0 ? left : this.host.timing.leaseMs);
  }

  private newSession(): void {
    this.host.counters.tasksKilled += this.tasks.size;
    this.tasks.drop();
    this.incarnation++;
    this.leaseFrom = nowMs();
  }
}
