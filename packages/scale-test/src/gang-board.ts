/**
 * What the members of gangs see of one another, whichever processes their hollow workers are in: they run once all of an
 * attempt have their images, complete together, notice a lost member, and save together.
 */
import type { GangEnd, JobDescription, WorkerCommand, WorkerEvent } from './model.js';

interface GangAttempt {
  readonly job: JobDescription;
  readonly attempt: number;
  readonly present: Set<number>;
  /** Since when it runs, by the clock of the events; null: it does not run. */
  runningSince: number | null;
  /** Members told to save, and when the first one was; null: none. */
  readonly told: Set<number>;
  toldSince: number | null;
  timer: NodeJS.Timeout | null;
}

/** Lost members are noticed within a part of `gang_peer_s`. */
const NOTICE_PART = 0.5;

export class GangBoard {
  private readonly attempts = new Map<string, GangAttempt>();
  /** Saved progress of gangs, milliseconds. */
  private readonly progressMs = new Map<string, number>();

  constructor(
    private readonly gangPeerMs: number,
    private readonly jobOf: (id: string) => JobDescription | undefined,
    private readonly broadcast: (command: WorkerCommand) => void,
  ) {}

  take(event: WorkerEvent): void {
    const job = this.jobOf(event.job);
    if (job?.shape !== 'ensemble') return;
    if (event.kind === 'started') this.arrived(this.attemptOf(job, event.attempt), event.task);
    else if (event.kind === 'told-to-save') this.toldToSave(this.attemptOf(job, event.attempt), event);
    else if (event.kind === 'left') this.left(this.attemptOf(job, event.attempt), event);
  }

  end(): void {
    for (const a of this.attempts.values()) clearTimeout(a.timer ?? undefined);
  }

  private attemptOf(job: JobDescription, attempt: number): GangAttempt {
    const key = `${job.id}#${attempt}`;
    let a = this.attempts.get(key);
    if (a === undefined) {
      a = {
        job,
        attempt,
        present: new Set(),
        runningSince: null,
        told: new Set(),
        toldSince: null,
        timer: null,
      };
      this.attempts.set(key, a);
    }
    return a;
  }

  private arrived(a: GangAttempt, task: number): void {
    a.present.add(task);
    if (a.present.size < a.job.tasks || a.runningSince !== null) return;
    a.runningSince = performance.now();
    this.broadcast({ kind: 'gang-runs', job: a.job.id, attempt: a.attempt });
    const leftMs = Math.max(1, a.job.runMs - (this.progressMs.get(a.job.id) ?? 0));
    a.timer = setTimeout(() => this.finish(a, 'done'), leftMs);
  }

  private left(a: GangAttempt, event: WorkerEvent & { readonly kind: 'left' }): void {
    a.present.delete(event.task);
    const runs = a.runningSince !== null;
    if (!runs || event.completed) return;
    this.keepCheckpoint(a);
    a.runningSince = null;
    clearTimeout(a.timer ?? undefined);
    a.timer = setTimeout(() => this.finish(a, 'peers'), this.gangPeerMs * NOTICE_PART);
  }

  private toldToSave(a: GangAttempt, event: WorkerEvent): void {
    a.told.add(event.task);
    if (a.toldSince === null) {
      a.toldSince = performance.now();
      clearTimeout(a.timer ?? undefined);
      a.timer = setTimeout(() => this.finish(a, 'peers'), this.gangPeerMs);
    }
    if (a.told.size < a.job.tasks || a.present.size < a.job.tasks) return;
    clearTimeout(a.timer ?? undefined);
    a.timer = setTimeout(() => {
      this.progressMs.set(a.job.id, this.progressOf(a, a.toldSince!));
      this.finish(a, 'stopped');
    }, a.job.saveTakesMs);
  }

  private progressOf(a: GangAttempt, until: number): number {
    const before = this.progressMs.get(a.job.id) ?? 0;
    return a.runningSince === null ? before : before + (until - a.runningSince);
  }

  /** A gang that loses a member goes on from its last checkpoint. */
  private keepCheckpoint(a: GangAttempt): void {
    const every = a.job.saveEveryMs;
    if (every === 0) return;
    const reached = Math.floor(this.progressOf(a, performance.now()) / every) * every;
    this.progressMs.set(a.job.id, Math.max(reached, this.progressMs.get(a.job.id) ?? 0));
  }

  private finish(a: GangAttempt, cause: GangEnd): void {
    a.runningSince = null;
    this.broadcast({ kind: 'gang-ends', job: a.job.id, attempt: a.attempt, cause });
  }
}
