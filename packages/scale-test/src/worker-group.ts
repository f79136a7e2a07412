/** Hollow workers that share a process: carries out the run's commands and gathers what they count. */
import type { Histogram } from 'hdr-histogram-js';
import { HollowWorker, type WorkerHost } from './hollow-worker.js';
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
import { emptyCounters, newHistogram, packHistogram, type WorkerFigures } from './worker-counts.js';

export interface WorkerGroupParts {
  readonly kinds: readonly MachineKind[];
  readonly controllers: readonly ControllerAddress[];
  readonly timing: Timing;
  readonly random: Random;
  readonly emit: (event: WorkerEvent) => void;
  readonly keepResult: (job: string, task: number) => void;
  /** A job as a worker fetches it; by default as its user described it. */
  readonly jobOf?: (id: string) => JobDescription | undefined;
}

export class WorkerGroup {
  private readonly workers = new Map<string, HollowWorker>();
  private readonly jobs = new Map<string, JobDescription>();
  private readonly progress = new Map<string, number>();
  private readonly finished = new Set<string>();
  private readonly host: WorkerHost;
  private answerMs: Histogram = newHistogram();

  constructor(private readonly parts: WorkerGroupParts) {
    this.host = {
      kinds: new Map(parts.kinds.map((k) => [k.label, k])),
      controllers: parts.controllers,
      timing: parts.timing,
      random: parts.random,
      counters: emptyCounters(),
      answered: (ms) => this.answerMs.recordValue(Math.max(0, Math.round(ms))),
      emit: parts.emit,
      job: parts.jobOf ?? ((id) => this.jobs.get(id)),
      progressMs: (job, task) => this.progress.get(taskName(job, task)) ?? 0,
      isFinished: (job, task) => this.finished.has(taskName(job, task)),
      keepResult: parts.keepResult,
    };
  }

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
        for (const w of this.workers.values()) if (this.parts.random.chance(command.share)) w.restart();
        return;
      case 'gang-runs':
        for (const w of this.workers.values()) w.gangRuns(command.job, command.attempt);
        return;
      case 'gang-ends':
        for (const w of this.workers.values()) w.gangEnds(command.job, command.attempt, command.cause);
        return;
      case 'progress':
        this.progress.set(taskName(command.job, command.task), command.progressMs);
        return;
      case 'finished':
        this.finished.add(taskName(command.job, command.task));
        return;
    }
  }

  /** The machines that hold a task which has not ended, one whose image is still fetched included. */
  machinesWith(task: string): string[] {
    return [...this.workers].filter(([, worker]) => worker.holds(task)).map(([id]) => id);
  }

  /** A measurement begins. */
  resetFigures(): void {
    Object.assign(this.host.counters, emptyCounters());
    this.answerMs = newHistogram();
    for (const { bytes } of this.workers.values()) {
      bytes.sent = 0;
      bytes.received = 0;
    }
  }

  figures(): WorkerFigures {
    const bytes = newHistogram();
    let tasksHeld = 0;
    for (const w of this.workers.values()) {
      bytes.recordValue(w.bytes.sent + w.bytes.received);
      tasksHeld += w.tasksHeld;
    }
    return {
      counters: { ...this.host.counters },
      workers: this.workers.size,
      tasksHeld,
      answerMs: packHistogram(this.answerMs),
      workerBytes: packHistogram(bytes),
    };
  }

  end(): void {
    for (const w of this.workers.values()) w.end();
    this.workers.clear();
  }
}
