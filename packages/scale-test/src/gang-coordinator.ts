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

/** Decides when gangs run and end, and tells all hollow workers. */
export class GangCoordinator {
  private readonly attempts = new Map<string, GangAttempt>();
  /** Saved progress of gangs, milliseconds. */
  private readonly progressMs = new Map<string, number>();

  constructor(
    private readonly gangPeerMs: number,
    private readonly jobOf: (id: string) => JobDescription | undefined,
    private readonly broadcast: (command: WorkerCommand) => void,
  ) {}

  handleEvent(event: WorkerEvent): void {
    const job = this.jobOf(event.job);
    if (job?.shape !== 'ensemble') return;
    if (event.kind === 'started') this.memberArrived(this.attemptOf(job, event.attempt), event.task);
    else if (event.kind === 'told-to-save') this.memberToldToSave(this.attemptOf(job, event.attempt), event);
    else if (event.kind === 'left') this.memberLeft(this.attemptOf(job, event.attempt), event);
  }

  end(): void {
    for (const gang of this.attempts.values()) clearTimeout(gang.timer ?? undefined);
  }

  private attemptOf(job: JobDescription, attempt: number): GangAttempt {
    const key = `${job.id}#${attempt}`;
    let gang = this.attempts.get(key);
    if (gang === undefined) {
      gang = {
        job,
        attempt,
        present: new Set(),
        runningSince: null,
        told: new Set(),
        toldSince: null,
        timer: null,
      };
      this.attempts.set(key, gang);
    }
    return gang;
  }

  private memberArrived(gang: GangAttempt, task: number): void {
    gang.present.add(task);
    if (gang.present.size < gang.job.tasks || gang.runningSince !== null) return;
    gang.runningSince = performance.now();
    this.broadcast({ kind: 'gang-runs', job: gang.job.id, attempt: gang.attempt });
    const leftMs = Math.max(1, gang.job.runMs - (this.progressMs.get(gang.job.id) ?? 0));
    gang.timer = setTimeout(() => this.finish(gang, 'done'), leftMs);
  }

  private memberLeft(gang: GangAttempt, event: WorkerEvent & { readonly kind: 'left' }): void {
    gang.present.delete(event.task);
    const runs = gang.runningSince !== null;
    if (!runs || event.completed) return;
    this.keepCheckpoint(gang);
    gang.runningSince = null;
    clearTimeout(gang.timer ?? undefined);
    gang.timer = setTimeout(() => this.finish(gang, 'peers'), this.gangPeerMs * NOTICE_PART);
  }

  private memberToldToSave(gang: GangAttempt, event: WorkerEvent): void {
    gang.told.add(event.task);
    if (gang.toldSince === null) {
      gang.toldSince = performance.now();
      clearTimeout(gang.timer ?? undefined);
      gang.timer = setTimeout(() => this.finish(gang, 'peers'), this.gangPeerMs);
    }
    if (gang.told.size < gang.job.tasks || gang.present.size < gang.job.tasks) return;
    clearTimeout(gang.timer ?? undefined);
    gang.timer = setTimeout(() => {
      this.progressMs.set(gang.job.id, this.progressOf(gang, gang.toldSince!));
      this.finish(gang, 'stopped');
    }, gang.job.saveTakesMs);
  }

  private progressOf(gang: GangAttempt, until: number): number {
    const before = this.progressMs.get(gang.job.id) ?? 0;
    return gang.runningSince === null ? before : before + (until - gang.runningSince);
  }

  /** A gang that loses a member goes on from its last checkpoint. */
  private keepCheckpoint(gang: GangAttempt): void {
    const every = gang.job.saveEveryMs;
    if (every === 0) return;
    const reached = Math.floor(this.progressOf(gang, performance.now()) / every) * every;
    this.progressMs.set(gang.job.id, Math.max(reached, this.progressMs.get(gang.job.id) ?? 0));
  }

  private finish(gang: GangAttempt, cause: GangEnd): void {
    gang.runningSince = null;
    this.broadcast({ kind: 'gang-ends', job: gang.job.id, attempt: gang.attempt, cause });
  }
}
