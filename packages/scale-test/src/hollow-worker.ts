/**
 * A hollow worker: it implements the workers' protocol over a connection of its own, with incarnation, fencing token
 * and lease, but its tasks (`WorkerTasks`) do no work. Spot notices are not simulated.
 */
import { nowMs } from './clock.js';
import { type ByteCount, HttpConnection, type HttpResponse } from './http-connection.js';
import { type JsonServer, serveJson } from './json-server.js';
import type { GangEnd, MachineDescription } from './model.js';
import type { WorkerHost } from './worker-host.js';
import { type WireOrder, WorkerTasks } from './worker-tasks.js';

/** Timeout of a heartbeat's response, and delay before the next controller is tried. */
const RESPONSE_TIMEOUT_MS = 4000;
const NEXT_CONTROLLER_DELAY_MS = 1000;
/** Minimum interval between a heartbeat that a change triggers and the heartbeat before it. */
const MIN_CHANGE_INTERVAL_MS = 500;
const HEARTBEAT_JITTER = 0.25;
/** Maximum delay before a redirected worker contacts the other controller. */
const MAX_REDIRECT_DELAY_MS = 500;

/** Placeholder address in heartbeats until the worker's server for orders listens. */
const PLACEHOLDER_ADDRESS = '127.0.0.1:9';

interface WireOrders {
  readonly warrant?: number;
  readonly orders?: readonly WireOrder[];
}

/** Sends heartbeats from its construction until `end` is called. */
export class HollowWorker {
  readonly bytes: ByteCount = { sent: 0, received: 0 };
  private readonly connection = new HttpConnection(this.bytes);
  private readonly tasks: WorkerTasks;
  private incarnation = 1;
  private sequence = 0;
  private fencingToken = 0;
  private controllerIndex: number;
  /** When the heartbeat that last renewed the lease was sent, or when the session began if that is later. */
  private leaseRenewedAt = nowMs();
  private heartbeatAt = 0;
  private tokenChangedAt = Number.NEGATIVE_INFINITY;
  private inFlight = false;
  private heartbeatPending = false;
  private alive = true;
  private heartbeatTimer: NodeJS.Timeout;
  private leaseTimer: NodeJS.Timeout;
  private ordersServer: JsonServer | null = null;

  constructor(
    private readonly host: WorkerHost,
    readonly machine: MachineDescription,
  ) {
    this.tasks = new WorkerTasks(host, machine, () => this.scheduleChangeHeartbeat());
    this.controllerIndex = host.random.below(host.controllers.length);
    this.heartbeatTimer = setTimeout(
      () => void this.sendHeartbeat(),
      host.random.between(0, MIN_CHANGE_INTERVAL_MS),
    );
    this.leaseTimer = setTimeout(() => this.checkLease(), host.timing.leaseMs);
    void this.listen();
  }

  get tasksHeld(): number {
    return this.tasks.size;
  }

  /** Whether the worker holds an attempt of the task that has not exited. */
  holds(task: string): boolean {
    return this.tasks.holds(task);
  }

  /** Handles that all members of a gang's attempt have fetched their images. */
  gangRuns(job: string, attempt: number): void {
    this.tasks.gangRuns(job, attempt);
  }

  /** Handles that a gang's attempt ends on all its machines. */
  gangEnds(job: string, attempt: number, cause: GangEnd): void {
    this.tasks.gangEnds(job, attempt, cause);
  }

  /** Simulates the loss of the machine: all tasks are dropped, and no further heartbeat is sent. */
  end(): void {
    this.alive = false;
    clearTimeout(this.heartbeatTimer);
    clearTimeout(this.leaseTimer);
    this.tasks.drop();
    this.connection.close();
    this.ordersServer?.close();
  }

  /** Simulates a restart of the machine: all tasks are dropped and a new session begins. */
  restart(): void {
    this.connection.close();
    this.newSession();
    this.scheduleChangeHeartbeat();
  }

  private async listen(): Promise<void> {
    const server = await serveJson(({ url, body }, respond) => {
      const { warrant, tenure, orders } = body as WireOrders & { tenure?: number };
      if (url.pathname !== '/orders') return void respond(200, this.heartbeat());
      if (warrant === undefined || tenure === undefined) return void respond(400, {});
      if (warrant < this.fencingToken || tenure !== this.incarnation)
        return void respond(409, this.heartbeat());
      this.updateToken(warrant);
      this.tasks.execute(orders ?? []);
      respond(200, this.heartbeat());
    });
    if (this.alive) this.ordersServer = server;
    else server.close();
  }

  /** Returns a heartbeat with the next sequence number. */
  private heartbeat(): object {
    this.sequence++;
    return {
      host: this.machine.id,
      addr: this.ordersServer?.address ?? PLACEHOLDER_ADDRESS,
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

  private scheduleChangeHeartbeat(): void {
    if (!this.alive) return;
    if (this.inFlight) {
      this.heartbeatPending = true;
      return;
    }
    this.schedule(Math.max(5, this.heartbeatAt + MIN_CHANGE_INTERVAL_MS - nowMs()));
  }

  private schedule(ms: number): void {
    clearTimeout(this.heartbeatTimer);
    this.heartbeatTimer = setTimeout(() => void this.sendHeartbeat(), ms);
  }

  private async sendHeartbeat(): Promise<void> {
    const { host } = this;
    this.inFlight = true;
    this.heartbeatPending = false;
    const sentAt = nowMs();
    this.heartbeatAt = sentAt;
    const { incarnation } = this;
    const controller = host.controllers[this.controllerIndex % host.controllers.length]!;
    host.counters.reports++;
    const body = JSON.stringify(this.heartbeat());
    const response = await this.connection.request(
      controller.listen,
      'POST',
      '/agent/beat',
      body,
      RESPONSE_TIMEOUT_MS,
    );
    if (!this.alive) return;
    this.inFlight = false;
    const delayMs = this.handleResponse(response, sentAt, incarnation);
    this.schedule(this.heartbeatPending ? Math.max(5, sentAt + MIN_CHANGE_INTERVAL_MS - nowMs()) : delayMs);
  }

  /** Handles the response to a heartbeat; returns the delay in milliseconds until the next heartbeat. */
  private handleResponse(response: HttpResponse | null, sentAt: number, incarnation: number): number {
    const { host } = this;
    if (response?.status === 200) {
      host.recordResponseTime(nowMs() - sentAt);
      const { warrant, orders } = JSON.parse(response.body) as WireOrders;
      if (warrant !== undefined && warrant >= this.fencingToken && incarnation === this.incarnation) {
        this.updateToken(warrant);
        this.leaseRenewedAt = Math.max(this.leaseRenewedAt, sentAt);
        host.counters.renewed++;
        this.tasks.execute(orders ?? []);
      }
      const { reportMs } = host.timing;
      return reportMs * host.random.between(1 - HEARTBEAT_JITTER, 1 + HEARTBEAT_JITTER);
    }
    if (response === null) host.counters.unanswered++;
    else host.counters.refused++;
    const redirectIndex = response?.status === 421 ? this.redirectTarget(response.body) : -1;
    const isSameController =
      redirectIndex < 0 || redirectIndex === this.controllerIndex % host.controllers.length;
    this.controllerIndex = isSameController ? this.controllerIndex + 1 : redirectIndex;
    return isSameController ? NEXT_CONTROLLER_DELAY_MS : host.random.between(0, MAX_REDIRECT_DELAY_MS);
  }

  /** Returns the index of the controller named by a response with status 421; -1 if it names no known controller. */
  private redirectTarget(body: string): number {
    const { answerTo } = JSON.parse(body) as { answerTo?: string };
    return this.host.controllers.findIndex((controller) => controller.label === answerTo);
  }

  private updateToken(token: number): void {
    if (token <= this.fencingToken) return;
    this.fencingToken = token;
    const now = nowMs();
    if (now - this.tokenChangedAt < this.host.timing.leaseMs / 2) return;
    this.tokenChangedAt = now;
    this.scheduleChangeHeartbeat();
  }

  private checkLease(): void {
    const remainingMs = this.leaseRenewedAt + this.host.timing.leaseMs - nowMs();
    if (remainingMs <= 0) {
      this.host.counters.leasesLost++;
      this.newSession();
      this.scheduleChangeHeartbeat();
    }
    this.leaseTimer = setTimeout(
      () => this.checkLease(),
      remainingMs > 0 ? remainingMs : this.host.timing.leaseMs,
    );
  }

  private newSession(): void {
    this.host.counters.tasksKilled += this.tasks.size;
    this.tasks.drop();
    this.incarnation++;
    this.leaseRenewedAt = nowMs();
  }
}
