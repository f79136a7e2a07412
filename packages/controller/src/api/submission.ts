/**
 * Submission of a job. The request is idempotent: it creates the job's key if neither that key nor a final state
 * exists.
 */
import { type HttpResponse, type HttpRequest, json, retryLater } from '@lilacvalve/runtime/http-server';
import type { Micros } from '@lilacvalve/runtime/micros';
import { Effect, Either, Random } from 'effect';
import { bindToOccurrence } from '../calendar/cutoff-binding.js';
import { encodeJob } from '../jobs/codec.js';
import { JOB_ID, readSubmission } from '../jobs/submission-codec.js';
import { activeJobKey, finalStateKey } from '../jobs/keys.js';
import { acceptedJob, type JobSpec } from '../jobs/model.js';
import { maxValueBytes } from '../state-store/transaction-limits.js';
import { Priority } from '../state-store/budget.js';
import type { StateFailure } from '../state-store/client.js';
import { isStorable, rejectionReason } from './admissibility.js';
import type { ApiContext } from './api-context.js';
import { Confirmation } from './confirmation.js';
import { JobLookup, UNCERTAIN } from './job-lookup.js';
import { acceptedResponse, stateUnavailable } from './responses.js';
import { orphanRemoval, COMMIT_TIMEOUT_MS, RETRY_TIMEOUT, mayRetry, notReady } from './write-policy.js';

/** Delay between two attempts: a fixed part plus a random part of up to `jitter`. */
const RETRY_DELAY_MS = { base: 100, jitter: 150 };

interface SubmissionBody {
  readonly id: string;
  readonly body: object;
}

/** Parses the body and its job id; returns an error response if that fails. */
const parseBody = (request: HttpRequest): Either.Either<SubmissionBody, HttpResponse> => {
  if (request.body === null) return Either.left(json(400, { error: 'body over 64 KiB' }));
  let body: unknown;
  try {
    body = JSON.parse(request.body.toString('utf8'));
  } catch {
    return Either.left(json(400, { error: 'not JSON' }));
  }
  if (typeof body !== 'object' || body === null || Array.isArray(body))
    return Either.left(json(400, { error: 'not an object' }));
  const { id } = body as { id?: unknown };
  if (typeof id !== 'string' || !JOB_ID.test(id))
    return Either.left(json(400, { error: 'id: not in the stated form' }));
  return Either.right({ id, body });
};

/** Handles submissions. */
export class SubmissionHandler {
  constructor(
    private readonly context: ApiContext,
    private readonly lookup: JobLookup,
    private readonly confirmation: Confirmation,
  ) {}

  /** Never fails: errors are turned into responses. */
  submit(request: HttpRequest): Effect.Effect<HttpResponse> {
    return Effect.gen(this, function* () {
      const parsed = parseBody(request);
      if (Either.isLeft(parsed)) return parsed.left;
      const { id, body } = parsed.right;
      const startedAt = this.context.clock();
      const checked = yield* this.check(id, body);
      if (Either.isLeft(checked)) return checked.left;
      return yield* this.create(id, encodeJob(acceptedJob(checked.right), 0), startedAt);
    }).pipe(Effect.catchAll(stateUnavailable));
  }

  /** Returns the specification of the job to create, or the response if none is to be created. */
  private check(id: string, body: object): Effect.Effect<Either.Either<JobSpec, HttpResponse>, StateFailure> {
    return Effect.gen(this, function* () {
      const { jobState, lossDetector } = this.context;
      if (!this.lookup.isReadable()) return Either.left(notReady(lossDetector));
      // A known job gets its state as the response, whatever the request's body contains.
      if (jobState.finalStates.has(id) || jobState.jobs.has(id))
        return Either.left(yield* this.respondAsKnown(id));
      const decoded = readSubmission(body, this.context.dayTime());
      const admitted = Either.match(decoded, {
        onLeft: (reason) => Either.left(json(400, { error: reason })),
        onRight: (spec) => this.admit(spec),
      });
      if (Either.isLeft(admitted)) {
        const found = yield* this.lookup.find(id);
        if (found.kind !== 'unknown') return Either.left(yield* this.confirmation.respondToChange(id, found));
        return admitted;
      }
      if (this.context.types() === null) return Either.left(retryLater('machine types unknown'));
      if (!this.context.mayBeNew(id) || jobState.damaged.has(activeJobKey(id)))
        return Either.left(retryLater(UNCERTAIN.reason));
      if (yield* this.isFinishedByRebuild(id)) return Either.left(yield* this.respondAsKnown(id));
      return admitted;
    });
  }

  /** Returns the job's specification with the cutoff it is bound to, or the response if the job can never run. */
  private admit(submitted: JobSpec): Either.Either<JobSpec, HttpResponse> {
    const { jobState, settings } = this.context;
    const types = this.context.types();
    const rejection = rejectionReason(submitted, settings, types);
    if (rejection !== null) return Either.left(json(422, { error: rejection }));
    const cutoffBinding = bindToOccurrence(jobState.calendars.current, submitted);
    const spec: JobSpec = { ...submitted, cutoffBinding };
    if (types === null) return Either.right(spec);
    const maxBytes = maxValueBytes(settings.state);
    // All other fields are short, or name an existing team or zone.
    if (!isStorable(spec, 1, types, maxBytes))
      return Either.left(json(400, { error: 'hostsKinds: too long' }));
    return spec.shape !== 'gang' || isStorable(spec, spec.tasks, types, maxBytes)
      ? Either.right(spec)
      : Either.left(json(422, { error: 'a gang of so many tasks exceeds what the state service can hold' }));
  }

  private respondAsKnown(id: string): Effect.Effect<HttpResponse, StateFailure> {
    return Effect.flatMap(this.lookup.find(id), (found) => this.confirmation.respondToChange(id, found));
  }

  /** The compare-and-swap that creates the job does not detect final states that a rebuild wrote in pages. */
  private isFinishedByRebuild(id: string): Effect.Effect<boolean, StateFailure> {
    const { finalStates, finalStatePageSets } = this.context.jobState;
    if (finalStates.complete || finalStatePageSets.size === 0) return Effect.succeed(false);
    return Effect.map(this.lookup.rebuiltFinalState(id), (final) => final !== null);
  }

  /** Retries until the job is committed, found to exist, or the time is up. */
  private create(id: string, value: unknown, startedAt: Micros): Effect.Effect<HttpResponse, StateFailure> {
    return Effect.gen(this, function* () {
      const { store, jobState, clock } = this.context;
      for (;;) {
        const result = yield* Effect.either(
          store.transact(
            [
              { key: activeJobKey(id), revision: 0 },
              { key: finalStateKey(id), revision: 0 },
            ],
            [{ set: activeJobKey(id), value }, ...orphanRemoval(jobState, id)],
            Priority.Commit,
            COMMIT_TIMEOUT_MS,
          ),
        );
        if (Either.isRight(result)) {
          if (!result.right.ok) return yield* this.respondAsKnown(id);
          const { revision } = result.right;
          return yield* this.confirmation.replicateThenRespond(
            id,
            revision,
            { stored: value },
            acceptedResponse(id),
          );
        }
        // The request was refused or got no response. The conditions make a retry safe in both cases.
        if (clock() - startedAt > RETRY_TIMEOUT || !mayRetry(result.left))
          return yield* stateUnavailable(result.left);
        yield* Effect.sleep(RETRY_DELAY_MS.base + RETRY_DELAY_MS.jitter * (yield* Random.next));
      }
    });
  }
}
