/**
 * Simulates the communication between members of a gang, whose hollow workers may be in different processes: the
 * members of an attempt run once all have fetched their images, complete together, notice a lost member and checkpoint
 * together.
 */
import type { GangEnd, JobDescription, WorkerCommand, WorkerEvent } from './model.js';

interface GangAttempt {
  readonly job: JobDescription;
  readonly attempt: number;
  readonly presentMembers: Set<number>;
  /** When the attempt began to run, by `performance.now()`; null if it is not running. */
  runningSince: number | null;
  /** Members that were ordered to write a checkpoint, and when the first of them was; null if none was. */
  readonly checkpointingMembers: Set<number>;
  checkpointSince: number | null;
  timer: NodeJS.Timeout | null;
}

/** Delay after which the members notice a lost member, as a fraction of `gang_peer_s`. */
const LOSS_NOTICE_FRACTION = 0.5;

/** Decides when gangs run and end, and broadcasts these decisions to all hollow workers. */
export class GangCoordinator {
  private readonly attempts = new Map<string, GangAttempt>();
  /** Checkpointed progress of each gang, in milliseconds, by job. */
  private readonly progressMs = new Map<string, number>();

  constructor(
    private readonly gangPeerMs: number,
    private readonly findJob: (id: string) => JobDescription | undefined,
    private readonly broadcast: (command: WorkerCommand) => void,
  ) {}

  handleEvent(event: WorkerEvent): void {
    const job = this.findJob(event.job);
    if (job?.shape !== 'ensemble') return;
    if (event.kind === 'started') this.handleMemberStarted(this.attemptOf(job, event.attempt), event.task);
    else if (event.kind === 'told-to-save')
      this.handleCheckpointOrder(this.attemptOf(job, event.attempt), event);
    else if (event.kind === 'left') this.handleMemberLeft(this.attemptOf(job, event.attempt), event);
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
        presentMembers: new Set(),
        runningSince: null,
        checkpointingMembers: new Set(),
        checkpointSince: null,
        timer: null,
      };
      this.attempts.set(key, gang);
    }
    return gang;
  }

  private handleMemberStarted(gang: GangAttempt, task: number): void {
    gang.presentMembers.add(task);
    if (gang.presentMembers.size < gang.job.tasks || gang.runningSince !== null) return;
    gang.runningSince = performance.now();
    this.broadcast({ kind: 'gang-runs', job: gang.job.id, attempt: gang.attempt });
    const remainingMs = Math.max(1, gang.job.runMs - (this.progressMs.get(gang.job.id) ?? 0));
    gang.timer = setTimeout(() => this.finish(gang, 'done'), remainingMs);
  }

  private handleMemberLeft(gang: GangAttempt, event: WorkerEvent & { readonly kind: 'left' }): void {
    gang.presentMembers.delete(event.task);
    const isRunning = gang.runningSince !== null;
    if (!isRunning || event.completed) return;
    this.recordCheckpoint(gang);
    gang.runningSince = null;
    clearTimeout(gang.timer ?? undefined);
    gang.timer = setTimeout(() => this.finish(gang, 'peers'), this.gangPeerMs * LOSS_NOTICE_FRACTION);
  }

  private handleCheckpointOrder(gang: GangAttempt, event: WorkerEvent): void {
    gang.checkpointingMembers.add(event.task);
    if (gang.checkpointSince === null) {
      gang.checkpointSince = performance.now();
      clearTimeout(gang.timer ?? undefined);
      gang.timer = setTimeout(() => this.finish(gang, 'peers'), this.gangPeerMs);
    }
    if (gang.checkpointingMembers.size < gang.job.tasks || gang.presentMembers.size < gang.job.tasks) return;
    clearTimeout(gang.timer ?? undefined);
    gang.timer = setTimeout(() => {
      this.progressMs.set(gang.job.id, this.progressOf(gang, gang.checkpointSince!));
      this.finish(gang, 'stopped');
    }, gang.job.saveTakesMs);
  }

  private progressOf(gang: GangAttempt, until: number): number {
    const savedMs = this.progressMs.get(gang.job.id) ?? 0;
    return gang.runningSince === null ? savedMs : savedMs + (until - gang.runningSince);
  }

  /** Records the last periodic checkpoint, from which a gang that lost a member continues. */
  private recordCheckpoint(gang: GangAttempt): void {
    const intervalMs = gang.job.saveEveryMs;
    if (intervalMs === 0) return;
    const checkpointMs = Math.floor(this.progressOf(gang, performance.now()) / intervalMs) * intervalMs;
    this.progressMs.set(gang.job.id, Math.max(checkpointMs, this.progressMs.get(gang.job.id) ?? 0));
  }

  private finish(gang: GangAttempt, cause: GangEnd): void {
    gang.runningSince = null;
    this.broadcast({ kind: 'gang-ends', job: gang.job.id, attempt: gang.attempt, cause });
  }
}
