/** Stand-in for one machine and its worker, by the protocol: sessions, tokens, leases, gangs, late commands. */
import { type Effect, Exit } from 'effect';
import type { Answer, Incoming } from '@lilacvalve/runtime/http-server';
import type { Begun } from './begun.js';
import type { Place, Rules, Spec } from './rules.js';
import type { Links } from './links.js';
import type { Step } from './lending.js';
import type { Luck } from '@lilacvalve/controller/support/luck';
import type { Time } from './time.js';
import { type Amounts, amounts } from './waiting.js';

/** What every task takes of its machine's memory. */
export const TASK_MEM_GB = 2;

export interface JobTruth extends Spec {
  readonly jobClass: string;
  readonly runUs: number;
  /** By task, where they take different times. */
  readonly runs?: readonly number[];
  readonly saveEvery: number;
  readonly saveTakes: number;
  readonly shape: string;
  readonly broken: boolean;
  readonly image: string;
  readonly imageGb: number;
  submitted: boolean;
  progress: Map<number, number>;
  finished: Set<number>;
}
interface Task {
  readonly key: string;
  readonly attempt: number;
  status: 'fetching' | 'gathering' | 'running' | 'flushing' | 'ended';
  cause?: string;
  stored?: boolean;
  began: number;
  cancel: () => void;
}
export interface Net {
  /** A copy of a request that has been sent may arrive later, once more. */
  echo(from: string, again: () => void): void;
  /** A report has been sent to a controller. */
  reported(by: Worker, node: string, body: Buffer): void;
  /** An order or an answer has reached a machine: for so long it stands still before it acts. */
  holds(by: Worker): number;
  /** An order to its address has stopped a task. */
  stoppedDirectly(by: Worker, task: string): void;
  /** A machine has gone on; `order`: with a direct order, else with an answer. */
  wentOn(lapsed: boolean, order: boolean): void;
  /** An ended task is forgotten by its machine; `done`: it had completed. */
  reaped(task: string, done: boolean): void;
  handle(node: string, r: Incoming): Effect.Effect<Answer> | null;
  readonly links: Links;
  readonly nodes: readonly string[];
}
export interface Timing {
  readonly report: number;
  readonly lease: number;
  readonly gangWait: number;
  readonly gangPeer: number;
}
export interface GangWorld {
  readonly jobs: Map<string, JobTruth>;
  readonly begun: Begun;
  readonly workers: Map<string, Worker>;
  step(what: Step, machine: string): void;
}
/** An orderly stop of a gang's attempt: it is saved once all its members have been told in time. */
interface GangStop {
  readonly first: number;
  readonly told: Set<number>;
  saved: boolean;
}
const gangStops = new WeakMap<JobTruth, Map<number, GangStop>>();

export class Worker {
  tenure = 1;
  tick = 0;
  token = 0;
  readonly tasks = new Map<string, Task>();
  private leaseFrom: number;
  /** When the latest report was sent that it got a valid answer to. */
  answeredFrom = 0;
  /** What has reached it since it hangs; null: it does not, or is not told so by `hang`. */
  private arrived: (() => void)[] | null = null;
  private readonly drift: number;
  alive = true;
  hanging = false;
  /** What is sent to it is lost. */
  deaf = false;
  /** It reaches no controller, while direct orders reach it. */
  mute = false;
  private node = 0;
  private readonly images = new Set<string>();
  /** Images on their way, and when they are there. */
  private readonly fetching = new Map<string, number>();
  private flying = false;
  private lives = 0;
  private reportAt = 0;
  private cancelReport: () => void = () => undefined;
  recallAt: number | null = null;

  constructor(
    readonly place: Place,
    private readonly room: { cpus: number; gpus: number; memGb: number },
    private readonly time: Time,
    private readonly luck: Luck,
    private readonly net: Net,
    private readonly rules: Rules,
    private readonly world: GangWorld,
    private readonly timing: Timing,
    /** Everything that runs here fails. */
    private readonly faulty = false,
    /** Called with the number of tasks that a lapsed lease has killed. */
    private readonly onKilled: (tasks: number) => void = () => undefined,
  ) {
    this.leaseFrom = time.now;
    this.drift = luck.between(-0.0005, 0.0005);
    this.node = luck.int(net.nodes.length);
    this.schedule(luck.between(0, 500_000));
    this.leaseLoop();
  }

  private leaseLoop(): void {
    if (!this.alive) return;
    const end = this.leaseFrom + this.timing.lease * (1 + this.drift);
    if (this.time.now >= end) {
      const tasks = [...this.tasks.values()].filter((t) => t.status !== 'ended').length;
      if (tasks > 0) this.onKilled(tasks);
      this.killAll();
      this.tenure++;
      this.leaseFrom = this.time.now;
      this.changed();
    }
    const next = this.leaseFrom + this.timing.lease * (1 + this.drift);
    this.time.after(Math.max(1000, Math.min(next - this.time.now, 500_000)), () => this.leaseLoop());
  }

  private killAll(): void {
    for (const t of this.tasks.values()) {
      const job = this.world.jobs.get(t.key.slice(0, t.key.indexOf('/')))!;
      const running = t.status === 'running' || t.status === 'flushing';
      this.drop(t);
      if (running && job.shape === 'ensemble') this.peersNotice(job, t.attempt);
    }
    this.tasks.clear();
  }

  private peersNotice(job: JobTruth, attempt: number): void {
    this.time.after(this.timing.gangPeer, () => {
      for (const [w, t] of this.members(job, attempt)) if (t.status === 'running') w.exit(t, 'peers');
    });
  }

  private drop(t: Task): void {
    t.cancel();
    if (this.onMachine(t)) this.rules.leave(t.key, this.place.id);
    t.status = 'ended';
  }

  /** A task runs here. */
  running(): boolean {
    return [...this.tasks.values()].some((t) => t.status === 'running');
  }

  private onMachine(t: Task): boolean {
    return t.status !== 'fetching' && t.status !== 'ended';
  }

  /** What is free here, fetching tasks counted; null: nothing can run here, or the machine is about to be taken. */
  spare(): Amounts | null {
    if (!this.alive || this.hanging || this.deaf || this.mute || this.faulty || this.recallAt !== null)
      return null;
    let { cpus, gpus, memGb } = this.room;
    for (const t of this.held()) {
      const job = this.world.jobs.get(t.slice(0, t.indexOf('/')))!;
      cpus -= job.cpus;
      gpus -= job.gpus;
      memGb -= TASK_MEM_GB;
    }
    return amounts(cpus, gpus, memGb);
  }

  /** Tasks that are here, fetching ones too. */
  held(): string[] {
    return [...this.tasks.values()].filter((t) => t.status !== 'ended').map((t) => t.key);
  }

  die(): void {
    this.alive = false;
    this.cancelReport();
    this.killAll();
  }

  /** The machine starts anew: its tasks are gone, its worker comes back in a new session. */
  restart(down: number): void {
    this.hanging = true;
    this.killAll();
    this.tenure++;
    this.lives++;
    this.flying = false;
    this.time.after(down, () => {
      this.hanging = false;
      this.leaseFrom = this.time.now;
      this.changed();
    });
  }

  private changed(): void {
    if (!this.alive) return;
    const wait = Math.max(10_000, this.reportAt + 500_000 - this.time.now);
    this.schedule(wait);
  }

  private schedule(delay: number): void {
    this.cancelReport();
    this.cancelReport = this.time.after(delay, () => this.send());
  }

  body(): string {
    this.tick++;
    return JSON.stringify({
      host: this.place.id,
      addr: this.place.id,
      hostKind: this.place.type,
      room: this.place.zone,
      borrowed: this.place.spot,
      tenure: this.tenure,
      tick: this.tick,
      warrant: this.token,
      recallS: this.recallAt === null ? null : Math.max(0, (this.recallAt - this.time.now) / 1e6),
      pieces: [...this.tasks.values()].map((t) => ({
        piece: t.key,
        try: t.attempt,
        status: t.status,
        cause: t.cause,
        stored: t.stored,
      })),
    });
  }

  private send(): void {
    if (!this.alive) return;
    if (this.flying || this.hanging) {
      this.schedule(200_000);
      return;
    }
    this.flying = true;
    this.reportAt = this.time.now;
    const sent = this.time.now;
    const tenure = this.tenure;
    const node = this.net.nodes[this.node % this.net.nodes.length]!;
    const body = Buffer.from(this.body());
    let over = false;
    const { lives } = this;
    const finish = (a: Answer | null): void => {
      if (over || lives !== this.lives) return;
      over = true;
      this.flying = false;
      if (!this.alive) return;
      let wait = this.timing.report * this.luck.between(0.75, 1.25);
      if (a === null || (a.status !== 200 && a.status !== 421)) {
        this.node++;
        wait = 1e6;
      } else {
        const v = JSON.parse(a.body.toString()) as { warrant?: number; answerTo?: string; orders?: Order[] };
        if (a.status === 421) {
          const to = v.answerTo === undefined ? -1 : this.net.nodes.indexOf(v.answerTo);
          if (to >= 0 && to !== this.node % this.net.nodes.length) {
            this.node = to;
            wait = this.luck.between(0, 500_000);
          } else {
            this.node++;
            wait = 1e6;
          }
        } else if (v.warrant !== undefined && v.warrant >= this.token && tenure === this.tenure) {
          const higher = v.warrant > this.token;
          this.token = v.warrant;
          this.leaseFrom = Math.max(this.leaseFrom, sent);
          this.answeredFrom = sent;
          const before = this.signature();
          this.execute(v.orders ?? []);
          if (higher || before !== this.signature()) wait = 500_000;
        }
      }
      this.schedule(wait);
    };
    this.time.after(4e6, () => finish(null));
    const zone = `zone:${this.place.zone}`;
    const { links } = this.net;
    this.net.echo(this.place.id, () => this.deliver(node, body, () => undefined));
    this.net.reported(this, node, body);
    if (this.mute) return void this.time.after(1000, () => finish(null));
    links.send(
      zone,
      node,
      // Held, it may arrive long after the worker has given up.
      () =>
        this.deliver(node, body, (a) =>
          links.answer(
            zone,
            node,
            () => this.deaf || this.hold(() => finish(a)),
            () => finish(null),
          ),
        ),
      () => finish(null),
    );
  }

  /** Hangs for so long: reads and executes nothing, and goes on with what has arrived meanwhile. */
  hang(lasts: number, goesOn: (lapsed: boolean) => void): void {
    const { tenure } = this;
    const arrived: (() => void)[] = [];
    this.hanging = true;
    this.arrived = arrived;
    this.time.after(lasts, () => {
      this.hanging = false;
      this.arrived = null;
      if (!this.alive) return;
      goesOn(tenure !== this.tenure);
      for (const act of arrived) act();
    });
  }

  /** Acts on what has arrived, at once or when the machine goes on. */
  private hold(act: () => void, order = false): void {
    if (this.arrived !== null) return void this.arrived.push(act);
    const still = this.alive && !this.hanging ? this.net.holds(this) : 0;
    if (still === 0) return act();
    const { tenure } = this;
    this.hanging = true;
    this.time.after(still, () => {
      this.hanging = false;
      if (!this.alive) return;
      this.net.wentOn(tenure !== this.tenure, order);
      act();
    });
  }

  deliver(node: string, body: Buffer, then: (a: Answer | null) => void): void {
    const effect = this.net.handle(node, {
      method: 'POST',
      path: '/agent/beat',

      body,
    });
    if (effect === null) {
      then(null);
      return;
    }
    const fiber = this.time.fork(effect);
    fiber.addObserver((exit) => then(Exit.isSuccess(exit) ? exit.value : null));
  }

  private signature(): string {
    return [...this.tasks.values()].map((t) => `${t.key}${t.attempt}${t.status}`).join();
  }

  /** A command sent to the worker's address. */
  direct(body: string): void {
    if (!this.alive || this.deaf) return;
    if (this.hanging) {
      this.time.after(500_000, () => this.direct(body));
      return;
    }
    this.hold(() => this.act(body), true);
  }

  private act(body: string): void {
    if (!this.alive) return;
    const v = JSON.parse(body) as { warrant?: number; tenure?: number; orders: Order[] };
    if (
      v.warrant === undefined ||
      v.tenure === undefined ||
      v.warrant < this.token ||
      v.tenure !== this.tenure
    )
      return;
    this.token = v.warrant;
    const before = this.signature();
    this.execute(v.orders, true);
    this.tick++;
    if (before !== this.signature()) this.changed();
  }

  private execute(orders: Order[], direct = false): void {
    for (const o of orders) {
      const t = this.tasks.get(o.piece);
      if (o.orderKind === 'run') this.begin(o.piece, o.try);
      else if (o.orderKind === 'stop') {
        if (t && t.attempt === o.try && t.status !== 'ended') {
          if (direct) this.net.stoppedDirectly(this, o.piece);
          this.halt(t, (o.windDownS ?? 0) * 1e6);
        }
      } else if (t && t.attempt === o.try && t.status === 'ended') {
        this.tasks.delete(o.piece);
        this.net.reaped(o.piece, t.cause === 'done');
      }
    }
  }

  private begin(key: string, attempt: number): void {
    const old = this.tasks.get(key);
    if (old && old.attempt === attempt) return;
    this.rules.ordered(key, attempt, this.place.id);
    if (old) return; // in_use, reported as such elsewhere; the old attempt stays
    const id = key.slice(0, key.indexOf('/'));
    const job = this.world.jobs.get(id);
    const task: Task = { key, attempt, status: 'fetching', began: 0, cancel: () => undefined };
    this.tasks.set(key, task);
    const refuse = (cause: string) => {
      task.status = 'ended';
      task.cause = cause;
    };
    if (!job?.submitted) return refuse('unknown');
    let { cpus, gpus } = job;
    for (const t of this.tasks.values()) {
      if (t === task || t.status === 'ended') continue;
      const other = this.world.jobs.get(t.key.slice(0, t.key.indexOf('/')))!;
      cpus += other.cpus;
      gpus += other.gpus;
    }
    if (cpus > this.room.cpus + 1e-6 || gpus > this.room.gpus + 1e-6) return refuse('full');
    if (job.shape === 'daemon' && job.gpus > 0) this.world.step('started', this.place.id);
    task.cancel = this.time.after(this.fetch(job), () => this.ready(task, job));
  }

  /** Until a task's image is there. One fetch serves all that wait for it; weights take their time. */
  private fetch(job: JobTruth): number {
    if (this.images.has(job.image)) return 0;
    const { now } = this.time;
    const there = this.fetching.get(job.image) ?? 0;
    if (there > now) return there - now;
    const takes =
      job.imageGb > 1 ? job.imageGb * 1e6 * this.luck.between(0.75, 1.5) : this.luck.between(300_000, 3e6);
    this.fetching.set(job.image, now + takes);
    return takes;
  }

  private ready(task: Task, job: JobTruth): void {
    if (this.hanging) {
      task.cancel = this.time.after(500_000, () => this.ready(task, job));
      return;
    }
    this.images.add(job.image);
    if (job.shape === 'daemon' && job.gpus > 0) this.world.step('weights', this.place.id);
    const n = Number(task.key.slice(task.key.indexOf('/') + 1));
    task.status = job.shape === 'ensemble' ? 'gathering' : 'running';
    this.rules.start(task.key, this.place, this.time.now);
    this.changed();
    if (job.broken || this.faulty) {
      task.cancel = this.time.after(500_000, () => this.exit(task, 'error'));
      return;
    }
    if (job.finished.has(n)) return this.exit(task, 'done');
    if (job.shape === 'ensemble') {
      const members = this.members(job, task.attempt);
      if (members.length === job.tasks && members.every(([, t]) => t.status === 'gathering')) {
        for (const [w, t] of members) w.run(t, job);
      } else task.cancel = this.time.after(this.timing.gangWait, () => this.exit(task, 'alone'));
    } else this.run(task, job);
  }

  private members(job: JobTruth, attempt: number): [Worker, Task][] {
    const out: [Worker, Task][] = [];
    for (const w of this.world.workers.values()) {
      if (!w.alive) continue;
      for (const t of w.tasks.values()) {
        if (t.attempt === attempt && t.status !== 'ended' && t.key.startsWith(`${job.id}/`)) out.push([w, t]);
      }
    }
    return out;
  }

  run(task: Task, job: JobTruth): void {
    task.cancel();
    task.status = 'running';
    task.began = this.time.now;
    this.world.begun.run(job, task.key, this.time.now);
    this.changed();
    if (job.shape === 'daemon') return;
    const n = Number(task.key.slice(task.key.indexOf('/') + 1));
    const left = Math.max(0, (job.runs?.[n] ?? job.runUs) - (job.progress.get(n) ?? 0));
    const check = (): void => {
      if (this.hanging) {
        task.cancel = this.time.after(500_000, check);
        return;
      }
      job.finished.add(n);
      this.rules.complete(task.key);
      this.exit(task, 'done');
      if (job.shape === 'ensemble') {
        for (let i = 0; i < job.tasks; i++) {
          job.finished.add(i);
          this.rules.complete(`${job.id}/${i}`);
        }
        for (const [w, t] of this.members(job, task.attempt)) w.exit(t, 'done');
      }
    };
    task.cancel = this.time.after(left, check);
  }

  private halt(task: Task, grace: number): void {
    const job = this.world.jobs.get(task.key.slice(0, task.key.indexOf('/')))!;
    if (task.status === 'running') this.world.begun.stop(job, task.key, this.time.now);
    if (task.status === 'running' && job.saveEvery > 0 && grace >= job.saveTakes) {
      const n = Number(task.key.slice(task.key.indexOf('/') + 1));
      const done = this.time.now - task.began;
      task.cancel();
      task.status = 'flushing';
      this.world.step('stopped', this.place.id);
      if (job.shape === 'ensemble') return this.saveGang(task, job, n, done);
      task.cancel = this.time.after(job.saveTakes, () => {
        job.progress.set(n, (job.progress.get(n) ?? 0) + done);
        task.stored = true;
        this.exit(task, 'stopped');
      });
      this.changed();
    } else if (task.status !== 'flushing' || grace === 0) {
      if (task.status === 'running') this.world.step('stopped', this.place.id);
      this.exit(task, 'stopped');
    }
  }

  private saveGang(task: Task, job: JobTruth, n: number, done: number): void {
    let stops = gangStops.get(job);
    if (!stops) gangStops.set(job, (stops = new Map()));
    let stop = stops.get(task.attempt);
    if (!stop) stops.set(task.attempt, (stop = { first: this.time.now, told: new Set(), saved: false }));
    stop.told.add(n);
    const all = stop;
    const settle = (): void => {
      if (all.told.size === job.tasks) {
        if (!all.saved) {
          all.saved = true;
          for (let i = 0; i < job.tasks; i++) job.progress.set(i, (job.progress.get(i) ?? 0) + done);
          this.world.step('saved', this.place.id);
        }
        task.stored = true;
        this.exit(task, 'stopped');
      } else if (this.time.now > all.first + this.timing.gangPeer) this.exit(task, 'peers');
      else task.cancel = this.time.after(200_000, settle);
    };
    task.cancel = this.time.after(job.saveTakes, settle);
    this.changed();
  }

  exit(task: Task, cause: string): void {
    if (task.status === 'ended') return;
    const running = task.status === 'running' || task.status === 'flushing';
    this.drop(task);
    task.cause = cause;
    this.changed();
    const job = this.world.jobs.get(task.key.slice(0, task.key.indexOf('/')))!;
    if (job.shape === 'ensemble' && running && cause !== 'done' && cause !== 'peers')
      this.peersNotice(job, task.attempt);
  }
}

interface Order {
  orderKind: string;
  piece: string;
  try: number;
  windDownS?: number;
}
