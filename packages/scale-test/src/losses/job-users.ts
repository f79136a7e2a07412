/**
 * Simulated users that submit jobs at a steady rate and poll each until some time after it is done. A response that
 * contradicts an earlier one is a violation.
 */
import { sleepMs } from '../clock.js';
import { HttpConnection, type HttpResponse } from '../http-connection.js';
import type { ControllerAddress, JobDescription } from '../model.js';
import type { Random } from '../random.js';
import { writeSubmission } from '../users.js';
import type { ResponseWatch } from './answer-watch.js';

const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_INTERVAL_MS = { min: 800, max: 2500 };
/** Number of polls after a job was first reported done. */
const POLLS_AFTER_DONE = 8;
const DEADLINE_S = 200;

/** The state of a job according to the responses that its user has received. */
interface TrackedJob {
  readonly id: string;
  /** null until the job is accepted. */
  reportedState: 'accepted' | 'done' | null;
  doneTasks: number;
}
interface WireJob {
  readonly status?: string;
  readonly done?: number;
}

/** Controllers, job parameters and callbacks of the users. */
export interface JobUsersDependencies {
  readonly random: Random;
  /** Each request goes to a random one of these, even if it is down. */
  readonly controllers: readonly ControllerAddress[];
  readonly tasks: number;
  /** Expected run time of a task that users submit, in milliseconds. */
  readonly runMs: number;
  readonly watch: ResponseWatch;
  /** Makes the job available to workers. */
  readonly upload: (job: JobDescription) => void;
  readonly onViolation: (violation: string) => void;
}

/** The simulated users of a run, one for each job. */
export class JobUsers {
  private readonly jobs: TrackedJob[] = [];
  private stopped = false;
  private submitTimer: NodeJS.Timeout | null = null;

  constructor(private readonly dependencies: JobUsersDependencies) {}

  get accepted(): number {
    return this.jobs.filter(({ reportedState }) => reportedState !== null).length;
  }

  get done(): number {
    return this.jobs.filter(({ reportedState }) => reportedState === 'done').length;
  }

  /** Ids of the jobs that were accepted and not yet reported done. */
  get open(): readonly string[] {
    return this.jobs.filter(({ reportedState }) => reportedState === 'accepted').map(({ id }) => id);
  }

  /** Starts submitting jobs at a rate of `jobsPerS`. */
  startSubmitting(jobsPerS: number): void {
    this.submitTimer = setInterval(() => void this.play(), 1000 / jobsPerS);
  }

  /** Stops submitting jobs; submitted jobs are still polled. */
  stopSubmitting(): void {
    clearInterval(this.submitTimer ?? undefined);
  }

  /** Stops all users: no further request is sent. */
  stop(): void {
    this.stopped = true;
  }

  private async play(): Promise<void> {
    const connection = new HttpConnection();
    const id = `job-${String(this.jobs.length + 1).padStart(6, '0')}`;
    const job: TrackedJob = { id, reportedState: null, doneTasks: 0 };
    this.jobs.push(job);
    const description = renderJob(id, this.dependencies.tasks, this.dependencies.runMs);
    this.dependencies.upload(description);
    if (await this.submit(connection, description)) {
      job.reportedState = 'accepted';
      await this.poll(connection, job);
    }
    connection.close();
  }

  private request(
    connection: HttpConnection,
    method: string,
    path: string,
    body: string,
    timeoutMs: number,
  ): Promise<HttpResponse | null> {
    const { random, controllers } = this.dependencies;
    const { listen } = controllers[random.below(controllers.length)]!;
    return connection.request(listen, method, path, body, timeoutMs);
  }

  /** Submits until the job is accepted; returns false if the run was stopped before. */
  private async submit(connection: HttpConnection, description: JobDescription): Promise<boolean> {
    const body = writeSubmission(description, DEADLINE_S);
    while (!this.stopped) {
      const response = await this.request(connection, 'POST', '/work', body, SUBMIT_TIMEOUT_MS);
      if (response?.status === 201 || response?.status === 200) return true;
      await sleepMs(Math.max(1, response?.retryAfterS ?? 1) * 1000);
    }
    return false;
  }

  /** Polls until some time after the job is done, and reports each response that contradicts an earlier one. */
  private async poll(connection: HttpConnection, job: TrackedJob): Promise<void> {
    const { random, watch, onViolation } = this.dependencies;
    let pollsLeft = POLLS_AFTER_DONE;
    while (pollsLeft > 0 && !this.stopped) {
      await sleepMs(random.between(POLL_INTERVAL_MS.min, POLL_INTERVAL_MS.max));
      const response = await this.request(connection, 'GET', `/work/${job.id}`, '', POLL_TIMEOUT_MS);
      const silence = watch.recordPoll(job.id, response?.status === 200 || response?.status === 404);
      if (silence !== null && !this.stopped) onViolation(silence);
      if (response === null || response.status === 503) continue;
      if (response.status !== 200)
        onViolation(
          `${job.id}: response status ${response.status} after the job was reported ${job.reportedState}`,
        );
      else if (this.checkResponse(job, JSON.parse(response.body) as WireJob)) pollsLeft--;
    }
  }

  /** Compares a response with the earlier ones and returns whether the job is done. */
  private checkResponse(job: TrackedJob, { status, done }: WireJob): boolean {
    const { onViolation } = this.dependencies;
    if (job.reportedState === 'done' && status !== 'done')
      onViolation(`${job.id}: status ${status} after the job was reported done`);
    if (done !== undefined && done < job.doneTasks)
      onViolation(`${job.id}: ${done} completed tasks after ${job.doneTasks} were reported`);
    job.doneTasks = Math.max(job.doneTasks, done ?? 0);
    if (status === 'done') job.reportedState = 'done';
    return status === 'done';
  }
}

/** Returns an array job whose tasks need one CPU each. */
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
