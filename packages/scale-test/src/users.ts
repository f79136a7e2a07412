/**
 * Simulated users: each submits a job until it is accepted and polls it until it is finished; some cancel their job.
 * The rule checker receives the responses, and histograms record the waiting times.
 */
import type { Histogram } from 'hdr-histogram-js';
import { nowMs, sleepMs } from './clock.js';
import { HttpConnection, type HttpResponse } from './http-connection.js';
import type { ControllerAddress, JobDescription } from './model.js';
import type { Random } from './random.js';
import type { ReportedState, RuleChecker } from './rule-checker.js';
import { newHistogram } from './worker-figures.js';

/** Timeout of a submission or cancellation, as the protocol sets it. */
const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_EVERY_MS = 5000;
const POLL_JITTER = 0.1;
/** Delay before the rule checker gets a response; longer than `EventOrder` holds events back. */
const CHECK_DELAY_MS = 1500;
/** Range of the delay between a job's acceptance and its cancellation. */
const CANCEL_DELAY_MS = { min: 1000, max: 8000 };

/** Counters and waiting times of the users since the measurement began. */
export interface UserFigures {
  submitted: number;
  accepted: number;
  rejected: number;
  done: number;
  cancelled: number;
  /** Submissions sent again because the response was a temporary error or missing. */
  retries: number;
  polls: number;
  pollsRefused: number;
  pollsUnanswered: number;
  submitMs: Histogram;
  pollMs: Histogram;
  /** Time from the first submission request of an urgent job until each of its tasks has started. */
  urgentWaitMs: Histogram;
  urgentTasks: number;
  urgentStarted: number;
}

const emptyFigures = (): UserFigures => ({
  submitted: 0,
  accepted: 0,
  rejected: 0,
  done: 0,
  cancelled: 0,
  retries: 0,
  polls: 0,
  pollsRefused: 0,
  pollsUnanswered: 0,
  submitMs: newHistogram(),
  pollMs: newHistogram(),
  urgentWaitMs: newHistogram(),
  urgentTasks: 0,
  urgentStarted: 0,
});

/** Controllers, callbacks and the rule checker that users work with. */
export interface UsersDependencies {
  readonly controllers: readonly ControllerAddress[];
  readonly isUp: (label: string) => boolean;
  readonly random: Random;
  readonly checker: RuleChecker;
  /** Makes the job available to workers. */
  readonly upload: (job: JobDescription) => void;
}

/** Whether a job's waiting time is measured. */
export const isUrgent = (job: JobDescription): boolean =>
  job.urgency === 'high' || job.urgency === 'production';

/** Returns the body of a submission request. `dueS`: deadline in seconds from now; null for none. */
export const writeSubmission = (job: JobDescription, dueS: number | null = null): string =>
  JSON.stringify({
    id: job.id,
    jobClass: job.jobClass,
    owner: job.team,
    shape: job.shape,
    urgency: job.urgency,
    pieces: job.tasks,
    vcpus: job.vcpus,
    accelerators: job.accelerators,
    memGb: job.memGb,
    bundle: job.image,
    imageGb: job.imageGb,
    hostsKinds: job.kinds,
    room: job.zone,
    samePlace: job.samePlace,
    scatter: job.scatter,
    borrowed: false,
    expectS: job.runMs / 1000,
    saveEveryS: job.saveEveryMs / 1000,
    saveTakesS: job.saveTakesMs / 1000,
    dueS,
  });

/** The simulated users of a run, one for each job. */
export class Users {
  figures = emptyFigures();
  private stopping = false;
  /** Time of each urgent job's first submission request. */
  private readonly urgentSubmittedAt = new Map<string, number>();
  private measurementBeganAt = 0;

  constructor(private readonly dependencies: UsersDependencies) {
    dependencies.checker.onStarted = (job, event) => {
      const submittedAt = this.urgentSubmittedAt.get(job.id);
      if (submittedAt === undefined || submittedAt < this.measurementBeganAt) return;
      this.figures.urgentStarted++;
      this.figures.urgentWaitMs.recordValue(Math.max(0, Math.round(event.at - submittedAt)));
    };
  }

  /** Begins a measurement. Waiting times of urgent jobs submitted earlier are not recorded. */
  resetFigures(): void {
    this.figures = emptyFigures();
    this.measurementBeganAt = nowMs();
  }

  /** Stops all users: no further request is sent. */
  stop(): void {
    this.stopping = true;
  }

  /** Simulates one user from the first submission request until the job is finished. */
  async play(job: JobDescription, cancels: boolean): Promise<void> {
    const connection = new HttpConnection();
    this.dependencies.checker.jobSubmitted(job);
    this.dependencies.upload(job);
    if (isUrgent(job)) {
      this.urgentSubmittedAt.set(job.id, nowMs());
      this.figures.urgentTasks += job.tasks;
    }
    if (await this.submit(connection, job)) {
      if (cancels) await this.cancel(connection, job);
      await this.pollUntilFinished(connection, job);
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
    const running = this.dependencies.controllers.filter((controller) =>
      this.dependencies.isUp(controller.label),
    );
    if (running.length === 0) return Promise.resolve(null);
    const controller = running[this.dependencies.random.below(running.length)]!;
    return connection.request(controller.listen, method, path, body, timeoutMs);
  }

  /** Returns whether the job was accepted; false if it was rejected or the run was stopped. */
  private async submit(connection: HttpConnection, job: JobDescription): Promise<boolean> {
    const body = writeSubmission(job);
    const beganAt = nowMs();
    this.figures.submitted++;
    while (!this.stopping) {
      const response = await this.request(connection, 'POST', '/work', body, SUBMIT_TIMEOUT_MS);
      if (response !== null) this.dependencies.checker.handleSubmissionResponse(job.id, response.status);
      if (response?.status === 200 || response?.status === 201) {
        this.figures.accepted++;
        this.figures.submitMs.recordValue(Math.round(nowMs() - beganAt));
        return true;
      }
      if (response?.status === 400 || response?.status === 422) {
        this.figures.rejected++;
        return false;
      }
      this.figures.retries++;
      await sleepMs(Math.max(1, response?.retryAfterS ?? 1) * 1000);
    }
    return false;
  }

  private async cancel(connection: HttpConnection, job: JobDescription): Promise<void> {
    await sleepMs(this.dependencies.random.between(CANCEL_DELAY_MS.min, CANCEL_DELAY_MS.max));
    this.dependencies.checker.cancelRequested(job.id);
    while (!this.stopping) {
      const response = await this.request(
        connection,
        'POST',
        `/work/${job.id}/withdraw`,
        '',
        SUBMIT_TIMEOUT_MS,
      );
      if (response?.status === 200) {
        this.passToChecker(job, response);
        return;
      }
      await sleepMs(Math.max(1, response?.retryAfterS ?? 1) * 1000);
    }
  }

  private async pollUntilFinished(connection: HttpConnection, job: JobDescription): Promise<void> {
    while (!this.stopping) {
      await sleepMs(POLL_EVERY_MS * this.dependencies.random.between(1 - POLL_JITTER, 1 + POLL_JITTER));
      if (this.stopping) return;
      const requestedAt = nowMs();
      const response = await this.request(connection, 'GET', `/work/${job.id}`, '', POLL_TIMEOUT_MS);
      this.figures.polls++;
      if (response === null) this.figures.pollsUnanswered++;
      else if (response.status !== 200 && response.status !== 404) this.figures.pollsRefused++;
      else this.figures.pollMs.recordValue(Math.round(nowMs() - requestedAt));
      if (response === null) continue;
      const state = this.passToChecker(job, response);
      if (state === 'done') this.figures.done++;
      if (state === 'aborted') this.figures.cancelled++;
      if (state === 'done' || state === 'aborted') return;
    }
  }

  private passToChecker(job: JobDescription, response: HttpResponse): ReportedState | undefined {
    const state =
      response.status === 200 ? (JSON.parse(response.body) as { status?: ReportedState }).status : undefined;
    // Events from the hollow workers' processes arrive later than the responses that depend on them.
    const at = nowMs();
    setTimeout(
      () => this.dependencies.checker.handleJobResponse(job.id, response.status, state, at),
      CHECK_DELAY_MS,
    );
    return state;
  }
}
