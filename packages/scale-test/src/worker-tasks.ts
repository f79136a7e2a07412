/**
 * The tasks of one hollow worker: orders, image fetches, free resources, gangs, checkpoints and exits, as the protocol
 * defines them. Instead of doing work, a task waits for its run time to pass.
 */
import { nowMs } from './clock.js';
import { ImageCache } from './image-cache.js';
import {
  type GangEnd,
  type JobDescription,
  type MachineDescription,
  type MachineKind,
  parseTaskName,
  type TaskAttempt,
} from './model.js';
import type { WorkerHost } from './worker-host.js';

type TaskStatus = 'fetching' | 'gathering' | 'running' | 'flushing' | 'ended';

interface HeldTask extends TaskAttempt {
  readonly name: string;
  /** Description of the task's job; undefined if no user submitted it. */
  readonly description: JobDescription | undefined;
  status: TaskStatus;
  cause: string | null;
  /** Whether its progress was saved before it stopped. */
  stored: boolean;
  /** When the task began to run; 0 if it has not run. */
  runningSince: number;
  progressMs: number;
  /** Whether its image is fetched and it has not left the machine. */
  present: boolean;
  timer: NodeJS.Timeout | null;
}

/** An order of a controller, as it is sent. */
export interface WireOrder {
  readonly orderKind: 'run' | 'stop' | 'reap';
  readonly piece: string;
  readonly try: number;
  readonly windDownS?: number;
}

/** Tolerance for rounding errors in sums of CPUs and gigabytes. */
const EPSILON = 1e-6;

const attemptKey = (name: string, attempt: number): string => `${name}#${attempt}`;

/**
 * Task attempts in the order in which they were ordered. An exited one is kept until a `reap` order acknowledges it.
 */
export class WorkerTasks {
  /** By task and attempt, since a rejected attempt is reported along with the attempt that occupies the machine. */
  private readonly tasks = new Map<string, HeldTask>();
  private readonly images = new ImageCache();
  private readonly machineType: MachineKind;

  /** `onChange` is called when the tasks in the next heartbeat have changed. */
  constructor(
    private readonly host: WorkerHost,
    private readonly machine: MachineDescription,
    private readonly onChange: () => void,
  ) {
    this.machineType = host.kinds.get(machine.kind)!;
  }

  get size(): number {
    return this.tasks.size;
  }

  /** Whether an attempt of the task has not exited. */
  holds(task: string): boolean {
    for (const held of this.tasks.values()) if (held.name === task && held.status !== 'ended') return true;
    return false;
  }

  /** Returns the tasks in the format of a heartbeat. */
  toWire(): object[] {
    return [...this.tasks.values()].map(({ name, attempt, status, cause, stored }) => ({
      piece: name,
      try: attempt,
      status,
      ...(cause === null ? {} : { cause }),
      ...(stored ? { stored: true } : {}),
    }));
  }

  /** Ends the session: all tasks are dropped, but checkpoints and kept results outside the machine remain. */
  drop(): void {
    for (const task of this.tasks.values()) {
      this.emitLastCheckpoint(task);
      if (task.status === 'ended' && task.cause === 'done') this.host.keepResult(task.job, task.task);
      this.leave(task, false);
    }
    this.tasks.clear();
  }

  /** Handles that all members of a gang's attempt have fetched their images. */
  gangRuns(job: string, attempt: number): void {
    for (const task of this.membersOf(job, attempt)) {
      if (task.status !== 'gathering') continue;
      this.run(task);
      this.onChange();
    }
  }

  /** Handles that a gang's attempt ends on all its machines. */
  gangEnds(job: string, attempt: number, cause: GangEnd): void {
    for (const task of this.membersOf(job, attempt)) {
      if (task.status === 'ended' || task.status === 'fetching') continue;
      // A member that waits for the replacement of a lost member continues to wait.
      if (cause === 'peers' && task.status === 'gathering') continue;
      task.stored = cause === 'stopped';
      this.exit(task, cause);
    }
  }

  /** Executes orders. A repeated order has no further effect. */
  execute(orders: readonly WireOrder[]): void {
    for (const { orderKind, piece, try: attempt, windDownS = 0 } of orders) {
      const key = attemptKey(piece, attempt);
      const held = this.tasks.get(key);
      if (orderKind === 'run') {
        // A repeated run order has no effect, even if the attempt has exited.
        if (held === undefined) this.beginAttempt(key, piece, attempt);
      } else if (held === undefined) continue;
      else if (orderKind === 'stop') this.stop(held, windDownS * 1000);
      else if (held.status === 'ended') this.tasks.delete(key);
    }
  }

  private *membersOf(job: string, attempt: number): Iterable<HeldTask> {
    for (const task of this.tasks.values()) if (task.job === job && task.attempt === attempt) yield task;
  }

  private beginAttempt(key: string, name: string, attempt: number): void {
    const { job, task } = parseTaskName(name);
    const description = this.host.job(job);
    const newTask: HeldTask = {
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
    const isTaskHeld = [...this.tasks.values()].some((task) => task.name === name && task.status !== 'ended');
    this.tasks.set(key, newTask);
    this.emit(newTask, { kind: 'ordered' });
    this.onChange();
    if (isTaskHeld) return this.exit(newTask, 'in_use');
    if (description === undefined) return this.exit(newTask, 'unknown');
    if (!this.hasFreeResources(description, newTask)) return this.exit(newTask, 'full');
    newTask.timer = setTimeout(
      () => this.handleImageFetched(newTask, description),
      this.images.fetchMs(description),
    );
  }

  private hasFreeResources(required: JobDescription, excluded: HeldTask): boolean {
    let { vcpus, accelerators, memGb } = this.machineType;
    for (const task of this.tasks.values()) {
      if (task === excluded || task.status === 'ended' || task.description === undefined) continue;
      vcpus -= task.description.vcpus;
      accelerators -= task.description.accelerators;
      memGb -= task.description.memGb;
    }
    return (
      required.vcpus <= vcpus + EPSILON &&
      required.accelerators <= accelerators + EPSILON &&
      required.memGb <= memGb + EPSILON
    );
  }

  private handleImageFetched(task: HeldTask, description: JobDescription): void {
    task.present = true;
    this.emit(task, { kind: 'started' });
    this.host.counters.started++;
    if (this.host.isFinished(task.job, task.task)) return this.complete(task);
    if (description.shape === 'ensemble') {
      task.status = 'gathering';
      task.timer = setTimeout(() => this.exit(task, 'alone'), this.host.timing.gangWaitMs);
    } else {
      this.run(task);
      const remainingMs = Math.max(1, description.runMs - task.progressMs);
      task.timer = setTimeout(() => this.complete(task), remainingMs);
    }
    this.onChange();
  }

  private run(task: HeldTask): void {
    clearTimeout(task.timer ?? undefined);
    task.status = 'running';
    task.runningSince = nowMs();
    task.progressMs = this.host.progressMs(task.job, task.task);
  }

  private complete(task: HeldTask): void {
    this.exit(task, 'done');
  }

  private stop(task: HeldTask, graceMs: number): void {
    if (task.status === 'ended') return;
    const description = task.description!;
    const canCheckpoint = description.saveEveryMs > 0 && graceMs >= description.saveTakesMs;
    if (task.status === 'flushing' && graceMs > 0) return;
    if (task.status !== 'running' || !canCheckpoint) return this.exit(task, 'stopped');
    task.status = 'flushing';
    this.onChange();
    if (description.shape === 'ensemble') {
      this.emit(task, { kind: 'told-to-save' });
      return;
    }
    clearTimeout(task.timer ?? undefined);
    const progressMs = this.progressOf(task);
    task.timer = setTimeout(() => {
      this.emit(task, { kind: 'saved', progressMs });
      task.stored = true;
      this.exit(task, 'stopped');
    }, description.saveTakesMs);
  }

  private progressOf(task: HeldTask): number {
    return task.runningSince === 0 ? task.progressMs : task.progressMs + (nowMs() - task.runningSince);
  }

  /**
   * Emits the progress that a running array task has checkpointed periodically, which survives the loss of its machine.
   */
  private emitLastCheckpoint(task: HeldTask): void {
    const intervalMs = task.description?.saveEveryMs ?? 0;
    if (task.status !== 'running' || intervalMs === 0 || task.description?.shape === 'ensemble') return;
    const progressMs = Math.floor(this.progressOf(task) / intervalMs) * intervalMs;
    if (progressMs > 0) this.emit(task, { kind: 'saved', progressMs });
  }

  private exit(task: HeldTask, cause: string): void {
    if (task.status === 'ended') return;
    task.status = 'ended';
    task.cause = cause;
    if (cause === 'done') this.host.counters.completed++;
    this.leave(task, cause === 'done');
    this.onChange();
  }

  private leave(task: HeldTask, completed: boolean): void {
    clearTimeout(task.timer ?? undefined);
    task.timer = null;
    if (!task.present) return;
    task.present = false;
    this.emit(task, { kind: 'left', completed });
  }

  private emit(
    { job, task, attempt, machine }: TaskAttempt,
    details:
      | { readonly kind: 'ordered' | 'started' | 'told-to-save' }
      | { readonly kind: 'left'; readonly completed: boolean }
      | { readonly kind: 'saved'; readonly progressMs: number },
  ): void {
    this.host.emit({ job, task, attempt, machine, at: nowMs(), ...details });
  }
}
