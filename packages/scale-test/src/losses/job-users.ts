/** Users who submit jobs at a steady rate and poll them until long after they are done: what they were told must hold. */
import { sleepMs } from '../clock.js';
import { HttpLine, type HttpReply } from '../http-line.js';
import type { ControllerAddress, JobDescription } from '../model.js';
import type { Random } from '../random.js';
import { writeSubmission } from '../users.js';
import type { AnswerWatch } from './answer-watch.js';

const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_EVERY_MS = { least: 800, most: 2500 };
/** Polls after a job was called done. */
const POLLS_AFTER_DONE = 8;
const DUE_S = 200;

/** What a user was last told of a job. */
interface ToldJob {
  readonly id: string;
  /** null: it is not accepted yet. */
  told: 'accepted' | 'done' | null;
  doneTasks: number;
}
interface WireJob {
  readonly status?: string;
  readonly done?: number;
}

/** What users need. */
export interface JobUserParts {
  readonly random: Random;
  /** Users ask any of them, also one that is down. */
  readonly controllers: readonly ControllerAddress[];
  readonly tasks: number;
  /** What users say that a task runs, milliseconds. */
  readonly runMs: number;
  readonly watch: AnswerWatch;
  /** Workers fetch the job from now on. */
  readonly upload: (job: JobDescription) => void;
  readonly onViolation: (violation: string) => void;
}

/** All users of a run. */
export class JobUsers {
  private readonly jobs: ToldJob[] = [];
  private stopped = false;
  private submitting: NodeJS.Timeout | null = null;

  constructor(private readonly parts: JobUserParts) {}

  get accepted(): number {
    return this.jobs.filter(({ told }) => told !== null).length;
  }

  get done(): number {
    return this.jobs.filter(({ told }) => told === 'done').length;
  }

  /** Jobs that were accepted and not yet called done. */
  get open(): readonly string[] {
    return this.jobs.filter(({ told }) => told === 'accepted').map(({ id }) => id);
  }

  /** Submits so many jobs a second from now on. */
  submitAt(jobsPerS: number): void {
    this.submitting = setInterval(() => void this.play(), 1000 / jobsPerS);
  }

  /** No more jobs are submitted; those that were are polled on. */
  stopSubmitting(): void {
    clearInterval(this.submitting ?? undefined);
  }

  /** Users ask nothing any more. */
  stop(): void {
    this.stopped = true;
  }

  private async play(): Promise<void> {
    const line = new HttpLine();
    const id = `job-${String(this.jobs.length + 1).padStart(6, '0')}`;
    const job: ToldJob = { id, told: null, doneTasks: 0 };
    this.jobs.push(job);
    const description = renderJob(id, this.parts.tasks, this.parts.runMs);
    this.parts.upload(description);
    if (await this.submit(line, description)) {
      job.told = 'accepted';
      await this.poll(line, job);
    }
    line.close();
  }

  private ask(
    line: HttpLine,
    method: string,
    path: string,
    body: string,
    timeoutMs: number,
  ): Promise<HttpReply | null> {
    const { random, controllers } = this.parts;
    const { listen } = controllers[random.below(controllers.length)]!;
    return line.ask(listen, method, path, body, timeoutMs);
  }

  /** false: the run is over. */
  private async submit(line: HttpLine, description: JobDescription): Promise<boolean> {
    const body = writeSubmission(description, DUE_S);
    while (!this.stopped) {
      const reply = await this.ask(line, 'POST', '/work', body, SUBMIT_TIMEOUT_MS);
      if (reply?.status === 201 || reply?.status === 200) return true;
      await sleepMs(Math.max(1, reply?.retryAfterS ?? 1) * 1000);
    }
    return false;
  }

  /** Until long after it is done: what was told must not go back. */
  private async poll(line: HttpLine, job: ToldJob): Promise<void> {
    const { random, watch, onViolation } = this.parts;
    let pollsLeft = POLLS_AFTER_DONE;
    while (pollsLeft > 0 && !this.stopped) {
      await sleepMs(random.between(POLL_EVERY_MS.least, POLL_EVERY_MS.most));
      const reply = await this.ask(line, 'GET', `/work/${job.id}`, '', POLL_TIMEOUT_MS);
      const silence = watch.polled(job.id, reply?.status === 200 || reply?.status === 404);
      if (silence !== null && !this.stopped) onViolation(silence);
      if (reply === null || reply.status === 503) continue;
      if (reply.status !== 200) onViolation(`${job.id}: answered ${reply.status} after ${job.told}`);
      else if (this.take(job, JSON.parse(reply.body) as WireJob)) pollsLeft--;
    }
  }

  /** Compares an answer with what was told before; true: the job is done. */
  private take(job: ToldJob, { status, done }: WireJob): boolean {
    const { onViolation } = this.parts;
    if (job.told === 'done' && status !== 'done') onViolation(`${job.id}: ${status} after done`);
    if (done !== undefined && done < job.doneTasks)
      onViolation(`${job.id}: ${done} done after ${job.doneTasks}`);
    job.doneTasks = Math.max(job.doneTasks, done ?? 0);
    if (status === 'done') job.told = 'done';
    return status === 'done';
  }
}

/** An array of tasks of one CPU. */
const renderJob = (id: string, tasks: number, runMs: number): JobDescription => ({
  id,
  team: 'crew',
  jobClass: 'render',
  shape: 'array',
  urgency: 'low',
  tasks,
  vcpus: 1,
  accelerators: 0,
  memGb: 3,
  image: 'img-1',
  imageGb: 1,
  kinds: null,
  zone: null,
  samePlace: false,
  scatter: false,
  runMs,
  saveEveryMs: 0,
  saveTakesMs: 0,
});
