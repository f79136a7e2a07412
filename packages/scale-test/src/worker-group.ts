/** The hollow workers of one process: executes the commands of the run and collects their figures. */
import type { Histogram } from 'hdr-histogram-js';
import { HollowWorker } from './hollow-worker.js';
import {
  type ControllerAddress,
  type JobDescription,
  type MachineKind,
  taskName,
  type Timing,
  type WorkerCommand,
  type WorkerEvent,
} from './model.js';
import type { Random } from './random.js';
import { emptyCounters, newHistogram, encodeHistogram, type WorkerFigures } from './worker-figures.js';
import type { WorkerHost } from './worker-host.js';

/** Configuration and callbacks of a group of hollow workers. */
export interface WorkerGroupDependencies {
  readonly kinds: readonly MachineKind[];
  readonly controllers: readonly ControllerAddress[];
  readonly timing: Timing;
  readonly random: Random;
  readonly emit: (event: WorkerEvent) => void;
  readonly keepResult: (job: string, task: number) => void;
  /** Returns the job that a worker looks up; by default the job as its user submitted it. */
  readonly findJob?: (id: string) => JobDescription | undefined;
}

/** Hollow workers by machine, in the order in which their machines booted. */
export class WorkerGroup {
  private readonly workers = new Map<string, HollowWorker>();
  private readonly jobs = new Map<string, JobDescription>();
  private readonly progress = new Map<string, number>();
  private readonly finished = new Set<string>();
  private readonly host: WorkerHost;
  private responseTimes: Histogram = newHistogram();

  constructor(private readonly dependencies: WorkerGroupDependencies) {
    this.host = {
      kinds: new Map(dependencies.kinds.map((kind) => [kind.label, kind])),
      controllers: dependencies.controllers,
      timing: dependencies.timing,
      random: dependencies.random,
      counters: emptyCounters(),
      recordResponseTime: (ms) => this.responseTimes.recordValue(Math.max(0, Math.round(ms))),
      emit: dependencies.emit,
      job: dependencies.findJob ?? ((id) => this.jobs.get(id)),
      progressMs: (job, task) => this.progress.get(taskName(job, task)) ?? 0,
      isFinished: (job, task) => this.finished.has(taskName(job, task)),
      keepResult: dependencies.keepResult,
    };
  }

  /** Executes a command of the run. */
  apply(command: WorkerCommand): void {
    switch (command.kind) {
      case 'job':
        this.jobs.set(command.job.id, command.job);
        return;
      case 'machine-up':
        this.workers.set(command.machine.id, new HollowWorker(this.host, command.machine));
        return;
      case 'machine-down':
        this.workers.get(command.id)?.end();
        this.workers.delete(command.id);
        return;
      case 'restart-share':
        for (const worker of this.workers.values())
          if (this.dependencies.random.chance(command.share)) worker.restart();
        return;
      case 'gang-runs':
        for (const worker of this.workers.values()) worker.gangRuns(command.job, command.attempt);
        return;
      case 'gang-ends':
        for (const worker of this.workers.values())
          worker.gangEnds(command.job, command.attempt, command.cause);
        return;
      case 'progress':
        this.progress.set(taskName(command.job, command.task), command.progressMs);
        return;
      case 'finished':
        this.finished.add(taskName(command.job, command.task));
        return;
    }
  }

  /**
   * Returns the machines that hold an attempt of the task that has not exited, including those still fetching the
   * image.
   */
  machinesWith(task: string): string[] {
    return [...this.workers].filter(([, worker]) => worker.holds(task)).map(([id]) => id);
  }

  /** Resets the counters at the beginning of a measurement. */
  resetFigures(): void {
    Object.assign(this.host.counters, emptyCounters());
    this.responseTimes = newHistogram();
    for (const { bytes } of this.workers.values()) {
      bytes.sent = 0;
      bytes.received = 0;
    }
  }

  /** Returns the figures of the group since the measurement began. */
  figures(): WorkerFigures {
    const bytes = newHistogram();
    let tasksHeld = 0;
    for (const worker of this.workers.values()) {
      bytes.recordValue(worker.bytes.sent + worker.bytes.received);
      tasksHeld += worker.tasksHeld;
    }
    return {
      counters: { ...this.host.counters },
      workers: this.workers.size,
      tasksHeld,
      answerMs: encodeHistogram(this.responseTimes),
      workerBytes: encodeHistogram(bytes),
    };
  }

  /** Stops all workers. */
  end(): void {
    for (const worker of this.workers.values()) worker.end();
    this.workers.clear();
  }
}
