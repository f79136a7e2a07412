/** Simulates the tasks of one machine: fetching images, gathering gangs, running, saving checkpoints and exiting. */
import type { RandomSource } from '@lilacvalve/controller/support/random-source';
import type { StartLatencyCheck } from '../start-latency-check.js';
import { jobIdOf, type JobTruth, TASK_MEM_GB, taskNumberOf } from '../job-truth.js';
import type { LoanStep } from '../lending.js';
import type { MachineInfo, Rules } from '../rules.js';
import type { Time } from '../time.js';
import { type Amounts, amounts } from '../starvation-check.js';
import type { Order } from './wire.js';

/** Interval at which tasks check whether their hanging machine has resumed. Microseconds, like all durations below. */
const HANG_CHECK_INTERVAL = 500_000;
/** Run time of a task that fails. */
const FAILURE_DELAY = 500_000;
/** Interval at which a stopping gang member checks whether all members have been ordered to stop. */
const GANG_STOP_CHECK_INTERVAL = 200_000;

/** One attempt of a task on a machine. The statuses are those of the protocol. */
export interface Task {
  /** `job/number`. */
  readonly key: string;
  readonly attempt: number;
  status: 'fetching' | 'gathering' | 'running' | 'flushing' | 'ended';
  /** Why the task has exited. */
  cause?: string;
  /** Whether a checkpoint of its work was saved before it exited. */
  stored?: boolean;
  /** When it began to run, in microseconds. */
  startedAt: number;
  /** Cancels its next scheduled event. */
  cancel: () => void;
}

/** Timeouts of gangs, in microseconds. */
export interface GangTiming {
  /** How long a member waits for the whole gang to be ready. */
  readonly gangWait: number;
  /** How soon members react to the exit of another one, and how long a stopping one waits for the others to be stopped. */
  readonly gangPeer: number;
}

/** The state of the simulation that the tasks of a machine depend on. */
export interface TaskWorld {
  readonly jobs: ReadonlyMap<string, JobTruth>;
  readonly startLatency: StartLatencyCheck;
  readonly workers: ReadonlyMap<string, { readonly alive: boolean; readonly runner: TaskRunner }>;
  /** Called when a step of a loan takes place on a machine. */
  step(what: LoanStep, machine: string): void;
}

/** The machine on which tasks run. */
export interface TaskHost {
  readonly place: MachineInfo;
  readonly capacity: { readonly cpus: number; readonly gpus: number; readonly memGb: number };
  /** Whether all tasks on this machine fail. */
  readonly faulty: boolean;
  readonly hanging: boolean;
  /** Called when the state of a task has changed, so that the next heartbeat is sent soon. */
  changed(): void;
  /** Called when an order sent directly to the worker's address stops a task. */
  stoppedDirectly(task: string): void;
  /** Called when the record of an exited task is deleted. `done`: whether the task had completed its work. */
  reaped(task: string, done: boolean): void;
}

/** The stop of a gang's attempt with a checkpoint, which is saved once all members have been ordered to stop in time. */
interface GangStop {
  /** When the first member was ordered to stop, in microseconds. */
  readonly firstOrderAt: number;
  /** The numbers of the members that have been ordered to stop. */
  readonly ordered: Set<number>;
  saved: boolean;
}
/** By job and attempt. */
const gangStops = new WeakMap<JobTruth, Map<number, GangStop>>();

/** Runs the tasks of one machine as controllers order. */
export class TaskRunner {
  /** By task: its latest attempt on this machine, including exited ones until their record is deleted. */
  readonly tasks = new Map<string, Task>();
  private readonly images = new Set<string>();
  /** By image that is being fetched: when the fetch ends. */
  private readonly fetching = new Map<string, number>();

  constructor(
    private readonly host: TaskHost,
    private readonly time: Time,
    private readonly random: RandomSource,
    private readonly rules: Rules,
    private readonly world: TaskWorld,
    private readonly timing: GangTiming,
  ) {}

  /** Whether a task is running. */
  running(): boolean {
    return [...this.tasks.values()].some((task) => task.status === 'running');
  }

  /** The tasks that have not exited, including those that fetch their image. */
  held(): string[] {
    return [...this.tasks.values()].filter((task) => task.status !== 'ended').map((task) => task.key);
  }

  /** The resources not used by tasks. Tasks that fetch their image count as using theirs. */
  spare(): Amounts {
    let { cpus, gpus, memGb } = this.host.capacity;
    for (const key of this.held()) {
      const job = this.jobOf(key);
      cpus -= job.cpus;
      gpus -= job.gpus;
      memGb -= TASK_MEM_GB;
    }
    return amounts(cpus, gpus, memGb);
  }

  /** A text that changes whenever the state of any task changes. */
  signature(): string {
    return [...this.tasks.values()].map((task) => `${task.key}${task.attempt}${task.status}`).join();
  }

  /** Executes orders. `direct`: whether they were sent to the worker's address instead of in a heartbeat response. */
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

  /** Ends all tasks at once. The other members of their gangs notice. */
  killAll(): void {
    for (const task of this.tasks.values()) {
      const job = this.jobOf(task.key);
      const running = isRunning(task);
      this.release(task);
      if (running && job.shape === 'ensemble') this.stopPeers(job, task.attempt);
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
    // An earlier attempt still occupies the machine. It stays, and heartbeats report it.
    if (old) return;
    const job = this.world.jobs.get(jobIdOf(key));
    const task: Task = { key, attempt, status: 'fetching', startedAt: 0, cancel: () => undefined };
    this.tasks.set(key, task);
    const refuse = (cause: string): void => {
      task.status = 'ended';
      task.cause = cause;
    };
    if (!job?.submitted) return refuse('unknown');
    if (!this.fits(task, job)) return refuse('full');
    if (isService(job)) this.world.step('started', this.host.place.id);
    task.cancel = this.time.after(this.fetch(job), () => this.ready(task, job));
  }

  /** Whether the machine has enough CPUs and GPUs for the task beside all others. */
  private fits(task: Task, job: JobTruth): boolean {
    let { cpus, gpus } = job;
    for (const other of this.tasks.values()) {
      if (other === task || other.status === 'ended') continue;
      const otherJob = this.jobOf(other.key);
      cpus += otherJob.cpus;
      gpus += otherJob.gpus;
    }
    const { capacity } = this.host;
    return cpus <= capacity.cpus + 1e-6 && gpus <= capacity.gpus + 1e-6;
  }

  /**
   * Starts to fetch the image of a task and returns the time until it is available. All tasks with the same image share one
   * fetch. The duration for images larger than 1 GB, such as model weights, grows with their size.
   */
  private fetch(job: JobTruth): number {
    if (this.images.has(job.image)) return 0;
    const { now } = this.time;
    const fetchedAt = this.fetching.get(job.image) ?? 0;
    if (fetchedAt > now) return fetchedAt - now;
    const duration =
      job.imageGb > 1
        ? job.imageGb * 1e6 * this.random.between(0.75, 1.5)
        : this.random.between(300_000, 3e6);
    this.fetching.set(job.image, now + duration);
    return duration;
  }

  /** Starts the task, or the wait for its gang, once its image has been fetched. */
  private ready(task: Task, job: JobTruth): void {
    const { host, time, timing } = this;
    if (host.hanging) {
      task.cancel = time.after(HANG_CHECK_INTERVAL, () => this.ready(task, job));
      return;
    }
    this.images.add(job.image);
    if (isService(job)) this.world.step('weights', host.place.id);
    task.status = job.shape === 'ensemble' ? 'gathering' : 'running';
    this.rules.start(task.key, host.place, time.now);
    host.changed();
    if (job.broken || host.faulty) {
      task.cancel = time.after(FAILURE_DELAY, () => this.exit(task, 'error'));
      return;
    }
    if (job.finished.has(taskNumberOf(task.key))) return this.exit(task, 'done');
    if (job.shape !== 'ensemble') return this.run(task, job);
    const members = this.members(job, task.attempt);
    if (members.length === job.tasks && members.every(([, member]) => member.status === 'gathering'))
      for (const [runner, member] of members) runner.run(member, job);
    else task.cancel = time.after(timing.gangWait, () => this.exit(task, 'alone'));
  }

  /** The tasks of a gang's attempt that have not exited, on all machines. */
  private members(job: JobTruth, attempt: number): [TaskRunner, Task][] {
    const members: [TaskRunner, Task][] = [];
    for (const worker of this.world.workers.values()) {
      if (!worker.alive) continue;
      for (const task of worker.runner.tasks.values())
        if (task.attempt === attempt && task.status !== 'ended' && task.key.startsWith(`${job.id}/`))
          members.push([worker.runner, task]);
    }
    return members;
  }

  private run(task: Task, job: JobTruth): void {
    const { host, time } = this;
    task.cancel();
    task.status = 'running';
    task.startedAt = time.now;
    this.world.startLatency.run(job, task.key, time.now);
    host.changed();
    if (job.shape === 'daemon') return;
    const number = taskNumberOf(task.key);
    const left = Math.max(0, (job.runs?.[number] ?? job.runUs) - (job.progress.get(number) ?? 0));
    const check = (): void => {
      if (host.hanging) task.cancel = time.after(HANG_CHECK_INTERVAL, check);
      else this.complete(task, job);
    };
    task.cancel = time.after(left, check);
  }

  /** Completes the task. If it belongs to a gang, all members complete with it. */
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

  /** Stops a task. It saves a checkpoint first if its job uses them and `grace` allows it. */
  private halt(task: Task, grace: number): void {
    const { host, time, world } = this;
    const job = this.jobOf(task.key);
    const running = task.status === 'running';
    if (running) world.startLatency.stop(job, task.key, time.now);
    if (running && job.saveEvery > 0 && grace >= job.saveTakes) {
      const number = taskNumberOf(task.key);
      const worked = time.now - task.startedAt;
      task.cancel();
      task.status = 'flushing';
      world.step('stopped', host.place.id);
      if (job.shape === 'ensemble') return this.saveGang(task, job, number, worked);
      task.cancel = time.after(job.saveTakes, () => {
        job.progress.set(number, (job.progress.get(number) ?? 0) + worked);
        task.stored = true;
        this.exit(task, 'stopped');
      });
      host.changed();
    } else if (task.status !== 'flushing' || grace === 0) {
      if (running) world.step('stopped', host.place.id);
      this.exit(task, 'stopped');
    }
  }

  /** Saves the checkpoint of a gang once all members have been ordered to stop; without one if that takes too long. */
  private saveGang(task: Task, job: JobTruth, number: number, worked: number): void {
    const { host, time, timing, world } = this;
    let stops = gangStops.get(job);
    if (!stops) gangStops.set(job, (stops = new Map()));
    const stop = stops.get(task.attempt) ?? { firstOrderAt: time.now, ordered: new Set(), saved: false };
    stops.set(task.attempt, stop);
    stop.ordered.add(number);
    const saveOrWait = (): void => {
      if (stop.ordered.size === job.tasks) {
        if (!stop.saved) {
          stop.saved = true;
          for (let i = 0; i < job.tasks; i++) job.progress.set(i, (job.progress.get(i) ?? 0) + worked);
          world.step('saved', host.place.id);
        }
        task.stored = true;
        this.exit(task, 'stopped');
      } else if (time.now > stop.firstOrderAt + timing.gangPeer) this.exit(task, 'peers');
      else task.cancel = time.after(GANG_STOP_CHECK_INTERVAL, saveOrWait);
    };
    task.cancel = time.after(job.saveTakes, saveOrWait);
    host.changed();
  }

  private exit(task: Task, cause: string): void {
    if (task.status === 'ended') return;
    const running = isRunning(task);
    this.release(task);
    task.cause = cause;
    this.host.changed();
    const job = this.jobOf(task.key);
    if (job.shape === 'ensemble' && running && cause !== 'done' && cause !== 'peers')
      this.stopPeers(job, task.attempt);
  }

  /** Ends the other members of a gang soon after one of them has exited. */
  private stopPeers(job: JobTruth, attempt: number): void {
    this.time.after(this.timing.gangPeer, () => {
      for (const [runner, task] of this.members(job, attempt))
        if (task.status === 'running') runner.exit(task, 'peers');
    });
  }

  /** Marks a task as exited and releases its place on the machine. */
  private release(task: Task): void {
    task.cancel();
    if (task.status !== 'fetching' && task.status !== 'ended') this.rules.leave(task.key, this.host.place.id);
    task.status = 'ended';
  }
}

const isRunning = (task: Task): boolean => task.status === 'running' || task.status === 'flushing';

/** Whether a job is a service on GPUs, which other jobs may lend resources to. */
const isService = (job: JobTruth): boolean => job.shape === 'daemon' && job.gpus > 0;
