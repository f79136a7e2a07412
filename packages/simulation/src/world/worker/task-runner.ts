/** The tasks of one machine: images are fetched, gangs gather, tasks run, save and end. */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { StartLatencyCheck } from '../start-latency-check.js';
import { jobIdOf, type JobTruth, TASK_MEM_GB, taskNumberOf } from '../job-truth.js';
import type { Step } from '../lending.js';
import type { Place, Rules } from '../rules.js';
import type { Time } from '../time.js';
import { type Amounts, amounts } from '../starvation-check.js';
import type { Order } from './wire.js';

/** A hanging machine looks again this often, microseconds. */
const HANGING_LOOKS_EVERY = 500_000;
/** A task that fails does so after this. */
const FAILS_AFTER = 500_000;
/** A gang's member looks this often whether all have been told to stop. */
const GANG_STOP_LOOKS_EVERY = 200_000;

/** One attempt of a task on a machine. The statuses are the protocol's. */
export interface Task {
  /** `job/number`. */
  readonly key: string;
  readonly attempt: number;
  status: 'fetching' | 'gathering' | 'running' | 'flushing' | 'ended';
  /** Why it has ended. */
  cause?: string;
  /** What it had done is saved. */
  stored?: boolean;
  began: number;
  cancel: () => void;
}

/** How long a worker waits for the other members of a gang, microseconds. */
export interface GangTiming {
  readonly gangWait: number;
  readonly gangPeer: number;
}

/** What the tasks of a machine need to know of all others. */
export interface TaskWorld {
  readonly jobs: ReadonlyMap<string, JobTruth>;
  readonly begun: StartLatencyCheck;
  readonly workers: ReadonlyMap<string, { readonly alive: boolean; readonly runner: TaskRunner }>;
  /** A step of a loan has been taken on a machine. */
  step(what: Step, machine: string): void;
}

/** The machine that tasks run on. */
export interface TaskHost {
  readonly place: Place;
  readonly room: { readonly cpus: number; readonly gpus: number; readonly memGb: number };
  /** Everything that runs here fails. */
  readonly faulty: boolean;
  readonly hanging: boolean;
  /** Something has changed that controllers should hear of soon. */
  changed(): void;
  /** An order to the machine's address stops a task. */
  stoppedDirectly(task: string): void;
  /** An ended task is forgotten; `done`: it had completed. */
  reaped(task: string, done: boolean): void;
}

/** An orderly stop of a gang's attempt: it is saved once all its members have been told in time. */
interface GangStop {
  readonly first: number;
  readonly told: Set<number>;
  saved: boolean;
}
const gangStops = new WeakMap<JobTruth, Map<number, GangStop>>();

/** Runs the tasks of one machine by orders. */
export class TaskRunner {
  readonly tasks = new Map<string, Task>();
  private readonly images = new Set<string>();
  /** Images on their way, and when they are there. */
  private readonly fetching = new Map<string, number>();

  constructor(
    private readonly host: TaskHost,
    private readonly time: Time,
    private readonly random: RandomSource,
    private readonly rules: Rules,
    private readonly world: TaskWorld,
    private readonly timing: GangTiming,
  ) {}

  /** A task runs here. */
  running(): boolean {
    return [...this.tasks.values()].some((task) => task.status === 'running');
  }

  /** Tasks that are here, fetching ones too. */
  held(): string[] {
    return [...this.tasks.values()].filter((task) => task.status !== 'ended').map((task) => task.key);
  }

  /** What is free here, fetching tasks counted. */
  spare(): Amounts {
    let { cpus, gpus, memGb } = this.host.room;
    for (const key of this.held()) {
      const job = this.jobOf(key);
      cpus -= job.cpus;
      gpus -= job.gpus;
      memGb -= TASK_MEM_GB;
    }
    return amounts(cpus, gpus, memGb);
  }

  /** Tells one state of all tasks from another. */
  signature(): string {
    return [...this.tasks.values()].map((task) => `${task.key}${task.attempt}${task.status}`).join();
  }

  /** Carries out orders. `direct`: they came to the machine's address, not with an answer. */
  execute(orders: readonly Order[], direct = false): void {
    for (const order of orders) {
      if (order.kind === 'run') {
        this.begin(order.task, order.attempt);
        continue;
      }
      const task = this.tasks.get(order.task);
      if (task?.attempt !== order.attempt) continue;
      if (order.kind === 'stop') {
        if (task.status === 'ended') continue;
        if (direct) this.host.stoppedDirectly(order.task);
        this.halt(task, order.grace);
      } else if (task.status === 'ended') {
        this.tasks.delete(order.task);
        this.host.reaped(order.task, task.cause === 'done');
      }
    }
  }

  /** All tasks are gone at once; the peers of a gang notice. */
  killAll(): void {
    for (const task of this.tasks.values()) {
      const job = this.jobOf(task.key);
      const running = isRunning(task);
      this.drop(task);
      if (running && job.shape === 'ensemble') this.peersNotice(job, task.attempt);
    }
    this.tasks.clear();
  }

  private jobOf(task: string): JobTruth {
    return this.world.jobs.get(jobIdOf(task))!;
  }

  private begin(key: string, attempt: number): void {
    const old = this.tasks.get(key);
    if (old && old.attempt === attempt) return;
    this.rules.ordered(key, attempt, this.host.place.id);
    // In use, reported as such elsewhere; the old attempt stays.
    if (old) return;
    const job = this.world.jobs.get(jobIdOf(key));
    const task: Task = { key, attempt, status: 'fetching', began: 0, cancel: () => undefined };
    this.tasks.set(key, task);
    const refuse = (cause: string): void => {
      task.status = 'ended';
      task.cause = cause;
    };
    if (!job?.submitted) return refuse('unknown');
    if (!this.hasRoom(task, job)) return refuse('full');
    if (isService(job)) this.world.step('started', this.host.place.id);
    task.cancel = this.time.after(this.fetch(job), () => this.ready(task, job));
  }

  private hasRoom(task: Task, job: JobTruth): boolean {
    let { cpus, gpus } = job;
    for (const other of this.tasks.values()) {
      if (other === task || other.status === 'ended') continue;
      const held = this.jobOf(other.key);
      cpus += held.cpus;
      gpus += held.gpus;
    }
    const { room } = this.host;
    return cpus <= room.cpus + 1e-6 && gpus <= room.gpus + 1e-6;
  }

  /** Until a task's image is there. One fetch serves all that wait for it; weights take their time. */
  private fetch(job: JobTruth): number {
    if (this.images.has(job.image)) return 0;
    const { now } = this.time;
    const there = this.fetching.get(job.image) ?? 0;
    if (there > now) return there - now;
    const takes =
      job.imageGb > 1
        ? job.imageGb * 1e6 * this.random.between(0.75, 1.5)
        : this.random.between(300_000, 3e6);
    this.fetching.set(job.image, now + takes);
    return takes;
  }

  /** The image is there. */
  private ready(task: Task, job: JobTruth): void {
    const { host, time, timing } = this;
    if (host.hanging) {
      task.cancel = time.after(HANGING_LOOKS_EVERY, () => this.ready(task, job));
      return;
    }
    this.images.add(job.image);
    if (isService(job)) this.world.step('weights', host.place.id);
    task.status = job.shape === 'ensemble' ? 'gathering' : 'running';
    this.rules.start(task.key, host.place, time.now);
    host.changed();
    if (job.broken || host.faulty) {
      task.cancel = time.after(FAILS_AFTER, () => this.exit(task, 'error'));
      return;
    }
    if (job.finished.has(taskNumberOf(task.key))) return this.exit(task, 'done');
    if (job.shape !== 'ensemble') return this.run(task, job);
    const members = this.members(job, task.attempt);
    if (members.length === job.tasks && members.every(([, member]) => member.status === 'gathering'))
      for (const [runner, member] of members) runner.run(member, job);
    else task.cancel = time.after(timing.gangWait, () => this.exit(task, 'alone'));
  }

  /** All tasks of a gang's attempt, wherever they are. */
  private members(job: JobTruth, attempt: number): [TaskRunner, Task][] {
    const out: [TaskRunner, Task][] = [];
    for (const worker of this.world.workers.values()) {
      if (!worker.alive) continue;
      for (const task of worker.runner.tasks.values())
        if (task.attempt === attempt && task.status !== 'ended' && task.key.startsWith(`${job.id}/`))
          out.push([worker.runner, task]);
    }
    return out;
  }

  private run(task: Task, job: JobTruth): void {
    const { host, time } = this;
    task.cancel();
    task.status = 'running';
    task.began = time.now;
    this.world.begun.run(job, task.key, time.now);
    host.changed();
    if (job.shape === 'daemon') return;
    const number = taskNumberOf(task.key);
    const left = Math.max(0, (job.runs?.[number] ?? job.runUs) - (job.progress.get(number) ?? 0));
    const check = (): void => {
      if (host.hanging) task.cancel = time.after(HANGING_LOOKS_EVERY, check);
      else this.complete(task, job);
    };
    task.cancel = time.after(left, check);
  }

  /** The task has done its work; with it its gang has. */
  private complete(task: Task, job: JobTruth): void {
    job.finished.add(taskNumberOf(task.key));
    this.rules.complete(task.key);
    this.exit(task, 'done');
    if (job.shape !== 'ensemble') return;
    for (let i = 0; i < job.tasks; i++) {
      job.finished.add(i);
      this.rules.complete(`${job.id}/${i}`);
    }
    for (const [runner, member] of this.members(job, task.attempt)) runner.exit(member, 'done');
  }

  /** Stops a task, after a checkpoint if it saves any and there is time for it. */
  private halt(task: Task, grace: number): void {
    const { host, time, world } = this;
    const job = this.jobOf(task.key);
    const running = task.status === 'running';
    if (running) world.begun.stop(job, task.key, time.now);
    if (running && job.saveEvery > 0 && grace >= job.saveTakes) {
      const number = taskNumberOf(task.key);
      const done = time.now - task.began;
      task.cancel();
      task.status = 'flushing';
      world.step('stopped', host.place.id);
      if (job.shape === 'ensemble') return this.saveGang(task, job, number, done);
      task.cancel = time.after(job.saveTakes, () => {
        job.progress.set(number, (job.progress.get(number) ?? 0) + done);
        task.stored = true;
        this.exit(task, 'stopped');
      });
      host.changed();
    } else if (task.status !== 'flushing' || grace === 0) {
      if (running) world.step('stopped', host.place.id);
      this.exit(task, 'stopped');
    }
  }

  private saveGang(task: Task, job: JobTruth, number: number, done: number): void {
    const { host, time, timing, world } = this;
    let stops = gangStops.get(job);
    if (!stops) gangStops.set(job, (stops = new Map()));
    const stop = stops.get(task.attempt) ?? { first: time.now, told: new Set(), saved: false };
    stops.set(task.attempt, stop);
    stop.told.add(number);
    const settle = (): void => {
      if (stop.told.size === job.tasks) {
        if (!stop.saved) {
          stop.saved = true;
          for (let i = 0; i < job.tasks; i++) job.progress.set(i, (job.progress.get(i) ?? 0) + done);
          world.step('saved', host.place.id);
        }
        task.stored = true;
        this.exit(task, 'stopped');
      } else if (time.now > stop.first + timing.gangPeer) this.exit(task, 'peers');
      else task.cancel = time.after(GANG_STOP_LOOKS_EVERY, settle);
    };
    task.cancel = time.after(job.saveTakes, settle);
    host.changed();
  }

  private exit(task: Task, cause: string): void {
    if (task.status === 'ended') return;
    const running = isRunning(task);
    this.drop(task);
    task.cause = cause;
    this.host.changed();
    const job = this.jobOf(task.key);
    if (job.shape === 'ensemble' && running && cause !== 'done' && cause !== 'peers')
      this.peersNotice(job, task.attempt);
  }

  /** The other members of a gang end soon after one of them has. */
  private peersNotice(job: JobTruth, attempt: number): void {
    this.time.after(this.timing.gangPeer, () => {
      for (const [runner, task] of this.members(job, attempt))
        if (task.status === 'running') runner.exit(task, 'peers');
    });
  }

  private drop(task: Task): void {
    task.cancel();
    if (task.status !== 'fetching' && task.status !== 'ended') this.rules.leave(task.key, this.host.place.id);
    task.status = 'ended';
  }
}

const isRunning = (task: Task): boolean => task.status === 'running' || task.status === 'flushing';

/** A service on GPUs: what others may lend to. */
const isService = (job: JobTruth): boolean => job.shape === 'daemon' && job.gpus > 0;
