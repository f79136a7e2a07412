/**
 * Users of a run: each submits a job until it is accepted, asks for it until it is done, and some cancel theirs. What they
 * are told goes to the truth; what they waited for, into histograms.
 */
import type { Histogram } from 'hdr-histogram-js';
import { nowMs, sleepMs } from './clock.js';
import { HttpLine, type HttpReply } from './http-line.js';
import type { ControllerAddress, JobDescription } from './model.js';
import type { Random } from './random.js';
import type { ToldState, Truth } from './truth.js';
import { newHistogram } from './worker-counts.js';

/** What users wait for, by the protocol. */
const SUBMIT_TIMEOUT_MS = 5000;
const POLL_TIMEOUT_MS = 2000;
const POLL_EVERY_MS = 5000;
const POLL_SPREAD = 0.1;
/** A cancelling user lets a job run for so long. */
const CANCEL_AFTER_MS = { least: 1000, most: 8000 };

export interface UserFigures {
  submitted: number;
  accepted: number;
  rejected: number;
  done: number;
  cancelled: number;
  /** Submissions that were refused or not answered, and sent again. */
  retries: number;
  polls: number;
  pollsRefused: number;
  pollsUnanswered: number;
  submitMs: Histogram;
  pollMs: Histogram;
  /** From the first attempt to submit until a task of urgent work is on a machine. */
  urgentWaitMs: Histogram;
  urgentTasks: number;
  urgentStarted: number;
}

const noFigures = (): UserFigures => ({
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

export interface UserParts {
  readonly controllers: readonly ControllerAddress[];
  readonly isUp: (label: string) => boolean;
  readonly random: Random;
  readonly truth: Truth;
  /** Workers fetch the job from now on. */
  readonly upload: (job: JobDescription) => void;
}

export const isUrgent = (job: JobDescription): boolean =>
  job.urgency === 'high' || job.urgency === 'production';

/** The wire form of a submission. `dueS`: seconds within which it is due; null: none. */
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

export class Users {
  figures = noFigures();
  private stopping = false;
  /** When urgent jobs were first submitted. */
  private readonly urgentSince = new Map<string, number>();
  private measuredFrom = 0;

  constructor(private readonly parts: UserParts) {
    parts.truth.onStarted = (job, event) => {
      const since = this.urgentSince.get(job.id);
      if (since === undefined || since < this.measuredFrom) return;
      this.figures.urgentStarted++;
      this.figures.urgentWaitMs.recordValue(Math.max(0, Math.round(event.at - since)));
    };
  }

  /** A measurement begins: only urgent jobs submitted from now on count. */
  resetFigures(): void {
    this.figures = noFigures();
    this.measuredFrom = nowMs();
  }

  stop(): void {
    this.stopping = true;
  }

  /** Plays one user from the first attempt to submit until the job is over. */
  async play(job: JobDescription, cancels: boolean): Promise<void> {
    const line = new HttpLine();
    this.parts.truth.submitted(job);
    this.parts.upload(job);
    if (isUrgent(job)) {
      this.urgentSince.set(job.id, nowMs());
      this.figures.urgentTasks += job.tasks;
    }
    if (await this.submit(line, job)) {
      if (cancels) await this.cancel(line, job);
      await this.watch(line, job);
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
    const up = this.parts.controllers.filter((c) => this.parts.isUp(c.label));
    if (up.length === 0) return Promise.resolve(null);
    const to = up[this.parts.random.below(up.length)]!;
    return line.ask(to.listen, method, path, body, timeoutMs);
  }

  /** false: it was rejected, or the run is over. */
  private async submit(line: HttpLine, job: JobDescription): Promise<boolean> {
    const body = writeSubmission(job);
    const began = nowMs();
    this.figures.submitted++;
    while (!this.stopping) {
      const reply = await this.ask(line, 'POST', '/work', body, SUBMIT_TIMEOUT_MS);
      if (reply !== null) this.parts.truth.submissionAnswered(job.id, reply.status);
      if (reply?.status === 200 || reply?.status === 201) {
        this.figures.accepted++;
        this.figures.submitMs.recordValue(Math.round(nowMs() - began));
        return true;
      }
      if (reply?.status === 400 || reply?.status === 422) {
        this.figures.rejected++;
        return false;
      }
      this.figures.retries++;
      await sleepMs(Math.max(1, reply?.retryAfterS ?? 1) * 1000);
    }
    return false;
  }

  private async cancel(line: HttpLine, job: JobDescription): Promise<void> {
    await sleepMs(this.parts.random.between(CANCEL_AFTER_MS.least, CANCEL_AFTER_MS.most));
    this.parts.truth.cancelAsked(job.id);
    while (!this.stopping) {
      const reply = await this.ask(line, 'POST', `/work/${job.id}/withdraw`, '', SUBMIT_TIMEOUT_MS);
      if (reply?.status === 200) {
        this.told(job, reply);
        return;
      }
      await sleepMs(Math.max(1, reply?.retryAfterS ?? 1) * 1000);
    }
  }

  private async watch(line: HttpLine, job: JobDescription): Promise<void> {
    while (!this.stopping) {
      await sleepMs(POLL_EVERY_MS * this.parts.random.between(1 - POLL_SPREAD, 1 + POLL_SPREAD));
      if (this.stopping) return;
      const asked = nowMs();
      const reply = await this.ask(line, 'GET', `/work/${job.id}`, '', POLL_TIMEOUT_MS);
      this.figures.polls++;
      if (reply === null) this.figures.pollsUnanswered++;
      else if (reply.status !== 200 && reply.status !== 404) this.figures.pollsRefused++;
      else this.figures.pollMs.recordValue(Math.round(nowMs() - asked));
      if (reply === null) continue;
      const state = this.told(job, reply);
      if (state === 'done') this.figures.done++;
      if (state === 'aborted') this.figures.cancelled++;
      if (state === 'done' || state === 'aborted') return;
    }
  }

  private told(job: JobDescription, reply: HttpReply): ToldState | undefined {
    const state =
      reply.status === 200 ? (JSON.parse(reply.body) as { status?: ToldState }).status : undefined;
    // Events of the hollow workers' processes come a little later than what users are told of them.
    const at = nowMs();
    setTimeout(() => this.parts.truth.told(job.id, reply.status, state, at), TOLD_LATER_MS);
    return state;
  }
}

/** Longer than events wait for their order. */
const TOLD_LATER_MS = 1500;
