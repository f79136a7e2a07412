/**
 * The tasks of one hollow worker: orders, image fetches, room, gangs, checkpoints and exits as the protocol has them. The
 * tasks only wait for their time to pass.
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
  /** undefined: nobody submitted its job. */
  readonly description: JobDescription | undefined;
  status: TaskStatus;
  cause: string | null;
  /** Its progress was saved before it stopped. */
  stored: boolean;
  /** Since when it has run; 0: it has not. */
  runningSince: number;
  progressMs: number;
  /** It has its image and has not left. */
  present: boolean;
  timer: NodeJS.Timeout | null;
}

/** An order of a controller, in its wire form. */
export interface WireOrder {
  readonly orderKind: 'run' | 'stop' | 'reap';
  readonly piece: string;
  readonly try: number;
  readonly windDownS?: number;
}

/** Slack for sums of fractions of CPUs and gigabytes. */
const EPSILON = 1e-6;

const attemptKey = (name: string, attempt: number): string => `${name}#${attempt}`;

/** Tasks by attempt, in the order in which they were ordered; an ended one stays until its controllers know. */
export class WorkerTasks {
  /** By task and attempt: a refused attempt is reported beside the one that is there. */
  private readonly tasks = new Map<string, HeldTask>();
  private readonly images = new ImageCache();
  private readonly kind: MachineKind;

  /** `onChange`: what a heartbeat says of the tasks has changed. */
  constructor(
    private readonly host: WorkerHost,
    private readonly machine: MachineDescription,
    private readonly onChange: () => void,
  ) {
    this.kind = host.kinds.get(machine.kind)!;
  }

  get size(): number {
    return this.tasks.size;
  }

  /** There is an attempt of the task that has not ended. */
  holds(task: string): boolean {
    for (const held of this.tasks.values()) if (held.name === task && held.status !== 'ended') return true;
    return false;
  }

  /** The tasks as a heartbeat has them, in their wire form. */
  toWire(): object[] {
    return [...this.tasks.values()].map(({ name, attempt, status, cause, stored }) => ({
      piece: name,
      try: attempt,
      status,
      ...(cause === null ? {} : { cause }),
      ...(stored ? { stored: true } : {}),
    }));
  }

  /** The session is over: all tasks are gone, but what lies outside the machine stays. */
  drop(): void {
    for (const task of this.tasks.values()) {
      this.saveAutomatically(task);
      if (task.status === 'ended' && task.cause === 'done') this.host.keepResult(task.job, task.task);
      this.leave(task, false);
    }
    this.tasks.clear();
  }

  /** All members of a gang's attempt have their images. */
  gangRuns(job: string, attempt: number): void {
    for (const task of this.membersOf(job, attempt)) {
      if (task.status !== 'gathering') continue;
      this.run(task);
      this.onChange();
    }
  }

  /** A gang's attempt is over on all its machines. */
  gangEnds(job: string, attempt: number, cause: GangEnd): void {
    for (const task of this.membersOf(job, attempt)) {
      if (task.status === 'ended' || task.status === 'fetching') continue;
      // A member that waits for a replacement goes on waiting.
      if (cause === 'peers' && task.status === 'gathering') continue;
      task.stored = cause === 'stopped';
      this.exit(task, cause);
    }
  }

  /** Carries out orders; one that is repeated has no further effect. */
  execute(orders: readonly WireOrder[]): void {
    for (const { orderKind, piece, try: attempt, windDownS = 0 } of orders) {
      const key = attemptKey(piece, attempt);
      const held = this.tasks.get(key);
      if (orderKind === 'run') {
        // Repeated: no effect, whatever has become of it.
        if (held === undefined) this.begin(key, piece, attempt);
      } else if (held === undefined) continue;
      else if (orderKind === 'stop') this.stop(held, windDownS * 1000);
      else if (held.status === 'ended') this.tasks.delete(key);
    }
  }

  private *membersOf(job: string, attempt: number): Iterable<HeldTask> {
    for (const task of this.tasks.values()) if (task.job === job && task.attempt === attempt) yield task;
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
    const inUse = [...this.tasks.values()].some((task) => task.name === name && task.status !== 'ended');
    this.tasks.set(key, fresh);
    this.emit(fresh, { kind: 'ordered' });
    this.onChange();
    if (inUse) return this.exit(fresh, 'in_use');
    if (description === undefined) return this.exit(fresh, 'unknown');
    if (!this.hasRoom(description, fresh)) return this.exit(fresh, 'full');
    fresh.timer = setTimeout(() => this.arrive(fresh, description), this.images.fetchMs(description));
  }

  private hasRoom(wanted: JobDescription, but: HeldTask): boolean {
    let { vcpus, accelerators, memGb } = this.kind;
    for (const task of this.tasks.values()) {
      if (task === but || task.status === 'ended' || task.description === undefined) continue;
      vcpus -= task.description.vcpus;
      accelerators -= task.description.accelerators;
      memGb -= task.description.memGb;
    }
    return (
      wanted.vcpus <= vcpus + EPSILON &&
      wanted.accelerators <= accelerators + EPSILON &&
      wanted.memGb <= memGb + EPSILON
    );
  }

  private arrive(task: HeldTask, description: JobDescription): void {
    task.present = true;
    this.emit(task, { kind: 'started' });
    this.host.counters.started++;
    if (this.host.isFinished(task.job, task.task)) return this.complete(task);
    if (description.shape === 'ensemble') {
      task.status = 'gathering';
      task.timer = setTimeout(() => this.exit(task, 'alone'), this.host.timing.gangWaitMs);
    } else {
      this.run(task);
      const left = Math.max(1, description.runMs - task.progressMs);
      task.timer = setTimeout(() => this.complete(task), left);
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
    const saves = description.saveEveryMs > 0 && graceMs >= description.saveTakesMs;
    if (task.status === 'flushing' && graceMs > 0) return;
    if (task.status !== 'running' || !saves) return this.exit(task, 'stopped');
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

  /** What a running task of an array has saved by itself is not lost with its machine. */
  private saveAutomatically(task: HeldTask): void {
    const every = task.description?.saveEveryMs ?? 0;
    if (task.status !== 'running' || every === 0 || task.description?.shape === 'ensemble') return;
    const progressMs = Math.floor(this.progressOf(task) / every) * every;
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
    what:
      | { readonly kind: 'ordered' | 'started' | 'told-to-save' }
      | { readonly kind: 'left'; readonly completed: boolean }
      | { readonly kind: 'saved'; readonly progressMs: number },
  ): void {
    this.host.emit({ job, task, attempt, machine, at: nowMs(), ...what });
  }
}
