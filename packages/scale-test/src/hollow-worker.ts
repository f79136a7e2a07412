/**
 * A worker without work: it speaks the workers' protocol over a connection of its own and keeps sessions, tokens, leases,
 * images, room and gangs as the protocol has them, but its tasks only wait for their time to pass. Spot notices are not
 * played.
 */
import { nowMs } from './clock.js';
import { type ByteCount, HttpLine, type HttpReply } from './http-line.js';
import { type JsonServer, serveJson } from './json-server.js';
import {
  type ControllerAddress,
  type GangEnd,
  IMAGE_CACHE_GB,
  IMAGE_FETCH_GB_PER_S,
  type JobDescription,
  type MachineDescription,
  type MachineKind,
  parseTaskName,
  type TaskAttempt,
  type Timing,
  type WorkerEvent,
} from './model.js';
import type { Random } from './random.js';
import type { WorkerCounters } from './worker-counts.js';

/** How long a worker waits for an answer, and before it tries the next controller. */
const ANSWER_TIMEOUT_MS = 4000;
const NEXT_CONTROLLER_MS = 1000;
/** After a change it reports no earlier than this after its last report. */
const CHANGE_GAP_MS = 500;
const REPORT_SPREAD = 0.25;
/** A redirected worker goes on at once or after up to this. */
const REDIRECT_MS = 500;

type TaskStatus = 'fetching' | 'gathering' | 'running' | 'flushing' | 'ended';

interface HeldTask extends TaskAttempt {
  readonly name: string;
  readonly description: JobDescription | undefined;
  status: TaskStatus;
  cause: string | null;
  stored: boolean;
  /** Since when it has run; 0: it has not. */
  runningSince: number;
  progressMs: number;
  /** It has its image and has not left. */
  present: boolean;
  timer: NodeJS.Timeout | null;
}

interface WireOrder {
  readonly orderKind: 'run' | 'stop' | 'reap';
  readonly piece: string;
  readonly try: number;
  readonly windDownS?: number;
}
interface WireAnswer {
  readonly warrant?: number;
  readonly orders?: readonly WireOrder[];
}

/** What all workers of a process share. */
export interface WorkerHost {
  readonly kinds: ReadonlyMap<string, MachineKind>;
  readonly controllers: readonly ControllerAddress[];
  readonly timing: Timing;
  readonly random: Random;
  readonly counters: WorkerCounters;
  answered(ms: number): void;
  emit(event: WorkerEvent): void;
  job(id: string): JobDescription | undefined;
  progressMs(job: string, task: number): number;
  isFinished(job: string, task: number): boolean;
  /** A completed task was forgotten before its controllers knew: its result is kept elsewhere. */
  keepResult(job: string, task: number): void;
}

const attemptKey = (name: string, attempt: number): string => `${name}#${attempt}`;

export class HollowWorker {
  readonly bytes: ByteCount = { sent: 0, received: 0 };
  private readonly line = new HttpLine(this.bytes);
  /** By task and attempt: a refused attempt is reported beside the one that is there. */
  private readonly tasks = new Map<string, HeldTask>();
  private readonly images = new Map<string, number>();
  private readonly kind: MachineKind;
  private tenure = 1;
  private tick = 0;
  private token = 0;
  private controller: number;
  /** When the last answered report was sent, or the session began. */
  private leaseFrom = nowMs();
  private reportedAt = 0;
  private tokenChangedAt = Number.NEGATIVE_INFINITY;
  private inFlight = false;
  private reportAgain = false;
  private alive = true;
  private reportTimer: NodeJS.Timeout;
  private leaseTimer: NodeJS.Timeout;
  private orders: JsonServer | null = null;

  constructor(
    private readonly host: WorkerHost,
    readonly machine: MachineDescription,
  ) {
    this.kind = host.kinds.get(machine.kind)!;
    this.controller = host.random.below(host.controllers.length);
    this.reportTimer = setTimeout(() => void this.report(), host.random.between(0, CHANGE_GAP_MS));
    this.leaseTimer = setTimeout(() => this.checkLease(), host.timing.leaseMs);
    void this.listen();
  }

  get tasksHeld(): number {
    return this.tasks.size;
  }

  /** It holds an attempt of the task that has not ended. */
  holds(task: string): boolean {
    for (const held of this.tasks.values()) if (held.name === task && held.status !== 'ended') return true;
    return false;
  }

  /** The machine is gone, with all that is on it. */
  end(): void {
    this.alive = false;
    clearTimeout(this.reportTimer);
    clearTimeout(this.leaseTimer);
    this.dropTasks();
    this.line.close();
    this.orders?.close();
  }

  /** The machine restarts: its tasks are gone and a new session begins. */
  restart(): void {
    this.line.close();
    this.newSession();
    this.changed();
  }

  /** All members of a gang's attempt have their images. */
  gangRuns(job: string, attempt: number): void {
    for (const t of this.membersOf(job, attempt)) {
      if (t.status !== 'gathering') continue;
      this.run(t);
      this.changed();
    }
  }

  gangEnds(job: string, attempt: number, cause: GangEnd): void {
    for (const t of this.membersOf(job, attempt)) {
      if (t.status === 'ended' || t.status === 'fetching') continue;
      // A member that waits for a replacement goes on waiting.
      if (cause === 'peers' && t.status === 'gathering') continue;
      t.stored = cause === 'stopped';
      this.exit(t, cause);
    }
  }

  private *membersOf(job: string, attempt: number): Iterable<HeldTask> {
    for (const t of this.tasks.values()) if (t.job === job && t.attempt === attempt) yield t;
  }

  private async listen(): Promise<void> {
    const server = await serveJson(({ url, body }, respond) => {
      const { warrant, tenure, orders } = body as WireAnswer & { tenure?: number };
      if (url.pathname !== '/orders') return void respond(200, this.wireReport());
      if (warrant === undefined || tenure === undefined) return void respond(400, {});
      if (warrant < this.token || tenure !== this.tenure) return void respond(409, this.wireReport());
      this.learnToken(warrant);
      this.execute(orders ?? []);
      respond(200, this.wireReport());
    });
    if (this.alive) this.orders = server;
    else server.close();
  }

  private wireReport(): object {
    this.tick++;
    return {
      host: this.machine.id,
      addr: this.orders?.address ?? '127.0.0.1:9',
      hostKind: this.machine.kind,
      room: this.machine.zone,
      borrowed: false,
      tenure: this.tenure,
      tick: this.tick,
      warrant: this.token,
      recallS: null,
      pieces: [...this.tasks.values()].map((t) => ({
        piece: t.name,
        try: t.attempt,
        status: t.status,
        ...(t.cause === null ? {} : { cause: t.cause }),
        ...(t.stored ? { stored: true } : {}),
      })),
    };
  }

  private changed(): void {
    if (!this.alive) return;
    if (this.inFlight) {
      this.reportAgain = true;
      return;
    }
    this.schedule(Math.max(5, this.reportedAt + CHANGE_GAP_MS - nowMs()));
  }

  private schedule(ms: number): void {
    clearTimeout(this.reportTimer);
    this.reportTimer = setTimeout(() => void this.report(), ms);
  }

  private async report(): Promise<void> {
    const { host } = this;
    this.inFlight = true;
    this.reportAgain = false;
    const sentAt = nowMs();
    this.reportedAt = sentAt;
    const { tenure } = this;
    const to = host.controllers[this.controller % host.controllers.length]!;
    host.counters.reports++;
    const body = JSON.stringify(this.wireReport());
    const reply = await this.line.ask(to.listen, 'POST', '/agent/beat', body, ANSWER_TIMEOUT_MS);
    if (!this.alive) return;
    this.inFlight = false;
    const wait = this.take(reply, sentAt, tenure);
    this.schedule(this.reportAgain ? Math.max(5, sentAt + CHANGE_GAP_MS - nowMs()) : wait);
  }

  /** Acts on the answer to a report; returns after how long to report again. */
  private take(reply: HttpReply | null, sentAt: number, tenure: number): number {
    const { host } = this;
    if (reply?.status === 200) {
      host.answered(nowMs() - sentAt);
      const { warrant, orders } = JSON.parse(reply.body) as WireAnswer;
      if (warrant !== undefined && warrant >= this.token && tenure === this.tenure) {
        this.learnToken(warrant);
        this.leaseFrom = Math.max(this.leaseFrom, sentAt);
        host.counters.renewed++;
        this.execute(orders ?? []);
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
    if (token <= this.token) return;
    this.token = token;
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
    this.dropTasks();
    this.tenure++;
    this.leaseFrom = nowMs();
  }

  private dropTasks(): void {
    for (const t of this.tasks.values()) {
      this.saveAutomatically(t);
      if (t.status === 'ended' && t.cause === 'done') this.host.keepResult(t.job, t.task);
      this.leave(t, false);
    }
    this.tasks.clear();
  }

  private execute(orders: readonly WireOrder[]): void {
    for (const o of orders) {
      const key = attemptKey(o.piece, o.try);
      const held = this.tasks.get(key);
      if (o.orderKind === 'run') {
        // Repeated: no effect, whatever has become of it.
        if (held === undefined) this.begin(key, o.piece, o.try);
      } else if (held === undefined) continue;
      else if (o.orderKind === 'stop') this.stop(held, (o.windDownS ?? 0) * 1000);
      else if (held.status === 'ended') this.tasks.delete(key);
    }
  }

  private begin(key: string, name: string, attempt: number): void {
    const { job, task } = parseTaskName(name);
    const description = this.host.job(job);
    const fresh: HeldTask = {
      name,
      job,
      task,
      attempt,
      machine: this.machine.id,
      description,
      status: 'fetching',
      cause: null,
      stored: false,
      runningSince: 0,
      progressMs: 0,
      present: false,
      timer: null,
    };
    const inUse = [...this.tasks.values()].some((t) => t.name === name && t.status !== 'ended');
    this.tasks.set(key, fresh);
    this.emit(fresh, { kind: 'ordered' });
    this.changed();
    if (inUse) return this.exit(fresh, 'in_use');
    if (description === undefined) return this.exit(fresh, 'unknown');
    if (!this.hasRoom(description, fresh)) return this.exit(fresh, 'full');
    fresh.timer = setTimeout(() => this.arrive(fresh, description), this.fetchMs(description));
  }

  private hasRoom(wanted: JobDescription, but: HeldTask): boolean {
    let { vcpus, accelerators, memGb } = this.kind;
    for (const t of this.tasks.values()) {
      if (t === but || t.status === 'ended' || t.description === undefined) continue;
      vcpus -= t.description.vcpus;
      accelerators -= t.description.accelerators;
      memGb -= t.description.memGb;
    }
    const EPSILON = 1e-6;
    return (
      wanted.vcpus <= vcpus + EPSILON &&
      wanted.accelerators <= accelerators + EPSILON &&
      wanted.memGb <= memGb + EPSILON
    );
  }

  /** Until the image is there: at once if it is cached; one fetch serves all that wait for the image. */
  private fetchMs({ image, imageGb }: JobDescription): number {
    const now = nowMs();
    const ready = this.images.get(image) ?? now + (imageGb / IMAGE_FETCH_GB_PER_S) * 1000;
    this.images.delete(image);
    this.images.set(image, ready);
    const most = Math.max(1, Math.floor(IMAGE_CACHE_GB / Math.max(imageGb, 0.1)));
    for (const [old] of this.images) {
      if (this.images.size <= most) break;
      this.images.delete(old);
    }
    return Math.max(0, ready - now);
  }

  private arrive(t: HeldTask, description: JobDescription): void {
    t.present = true;
    this.emit(t, { kind: 'started' });
    this.host.counters.started++;
    if (this.host.isFinished(t.job, t.task)) return this.complete(t);
    if (description.shape === 'ensemble') {
      t.status = 'gathering';
      t.timer = setTimeout(() => this.exit(t, 'alone'), this.host.timing.gangWaitMs);
    } else {
      this.run(t);
      const left = Math.max(1, description.runMs - t.progressMs);
      t.timer = setTimeout(() => this.complete(t), left);
    }
    this.changed();
  }

  private run(t: HeldTask): void {
    clearTimeout(t.timer ?? undefined);
    t.status = 'running';
    t.runningSince = nowMs();
    t.progressMs = this.host.progressMs(t.job, t.task);
  }

  private complete(t: HeldTask): void {
    this.exit(t, 'done');
  }

  private stop(t: HeldTask, graceMs: number): void {
    if (t.status === 'ended') return;
    const description = t.description!;
    const saves = description.saveEveryMs > 0 && graceMs >= description.saveTakesMs;
    if (t.status === 'flushing' && graceMs > 0) return;
    if (t.status !== 'running' || !saves) return this.exit(t, 'stopped');
    t.status = 'flushing';
    this.changed();
    if (description.shape === 'ensemble') {
      this.emit(t, { kind: 'told-to-save' });
      return;
    }
    clearTimeout(t.timer ?? undefined);
    const progressMs = this.progressOf(t);
    t.timer = setTimeout(() => {
      this.emit(t, { kind: 'saved', progressMs });
      t.stored = true;
      this.exit(t, 'stopped');
    }, description.saveTakesMs);
  }

  private progressOf(t: HeldTask): number {
    return t.runningSince === 0 ? t.progressMs : t.progressMs + (nowMs() - t.runningSince);
  }

  /** What a running task of an array has saved by itself is not lost with its machine. */
  private saveAutomatically(t: HeldTask): void {
    const every = t.description?.saveEveryMs ?? 0;
    if (t.status !== 'running' || every === 0 || t.description?.shape === 'ensemble') return;
    const progressMs = Math.floor(this.progressOf(t) / every) * every;
    if (progressMs > 0) this.emit(t, { kind: 'saved', progressMs });
  }

  private exit(t: HeldTask, cause: string): void {
    if (t.status === 'ended') return;
    t.status = 'ended';
    t.cause = cause;
    if (cause === 'done') this.host.counters.completed++;
    this.leave(t, cause === 'done');
    this.changed();
  }

  private leave(t: HeldTask, completed: boolean): void {
    clearTimeout(t.timer ?? undefined);
    t.timer = null;
    if (!t.present) return;
    t.present = false;
    this.emit(t, { kind: 'left', completed });
  }

  private emit(
    { job, task, attempt, machine }: TaskAttempt,
    what:
      | { readonly kind: 'ordered' | 'started' | 'told-to-save' }
      | { readonly kind: 'left'; readonly completed: boolean }
      | { readonly kind: 'saved'; readonly progressMs: number },
  ): void {
    this.host.emit({ job, task, attempt, machine, at: nowMs(), ...what });
  }
}
