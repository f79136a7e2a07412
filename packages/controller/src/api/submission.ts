/** Submission of a job: an idempotent request, which creates the job's key if neither it nor a final state is there. */
import { type Answer, type Incoming, json, retryLater } from '@lilacvalve/runtime/http-server';
import type { Micros } from '@lilacvalve/runtime/micros';
import { Effect, Either, Random } from 'effect';
import { tieOf } from '../calendar/tie.js';
import { encodeJob, JOB_ID, readSubmission } from '../jobs/codec.js';
import { activeJobKey, finalStateKey } from '../jobs/keys.js';
import type { Job, JobSpec } from '../jobs/model.js';
import { Priority } from '../state-store/budget.js';
import type { StateFailure } from '../state-store/client.js';
import { rejectionReason } from './admissibility.js';
import type { ApiContext } from './api-context.js';
import { Confirmation } from './confirmation.js';
import { JobLookup, UNCERTAIN } from './job-lookup.js';
import { acceptedResponse, stateUnavailable } from './responses.js';
import { adoption, COMMIT_TIMEOUT_MS, GIVE_UP_AFTER, isOverloaded, notOpen } from './write-policy.js';

/** Between two tries, the shorter bound and what is drawn on top. */
const RETRY_MS = { least: 100, spread: 150 };

interface SubmissionBody {
  readonly id: string;
  readonly body: object;
}

/** The request's body with a usable id, or the answer to a body that has none. */
const parseBody = (request: Incoming): Either.Either<SubmissionBody, Answer> => {
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

/** A job as it is accepted: nothing has become of it yet. */
const newJob = (spec: JobSpec): Job => ({
  spec,
  cancelled: false,
  attempt: 0,
  done: new Set(),
  placed: new Map(),
  failedOn: new Set(),
  loans: new Map(),
  preemptedForServices: 0,
  revision: 0,
  compactedTo: 0,
  lastSequence: 0,
});

/** Answers submissions. */
export class SubmissionHandler {
  constructor(
    private readonly context: ApiContext,
    private readonly lookup: JobLookup,
    private readonly confirmation: Confirmation,
  ) {}

  /** Never fails: what goes wrong is an answer. */
  submit(request: Incoming): Effect.Effect<Answer> {
    return Effect.gen(this, function* () {
      const parsed = parseBody(request);
      if (Either.isLeft(parsed)) return parsed.left;
      const { id, body } = parsed.right;
      const began = this.context.clock();
      const checked = yield* this.check(id, body);
      if (Either.isLeft(checked)) return checked.left;
      const { jobState, settings } = this.context;
      const tie = tieOf(jobState.calendars.current, checked.right);
      const value = encodeJob(newJob({ ...checked.right, tie }), 0);
      // All other fields are short, or name a team or a zone that exists.
      if (Buffer.byteLength(JSON.stringify(value)) > settings.state.valueBytes)
        return json(400, { error: 'hostsKinds: too long' });
      return yield* this.create(id, value, began);
    }).pipe(Effect.catchAll(stateUnavailable));
  }

  /** The specification of a job that is to be created, or the answer where none is. */
  private check(id: string, body: object): Effect.Effect<Either.Either<JobSpec, Answer>, StateFailure> {
    return Effect.gen(this, function* () {
      const { jobState, settings, lossDetector } = this.context;
      if (!this.lookup.isOpen()) return Either.left(notOpen(lossDetector));
      // A job that is known gets its state, whatever its body says now.
      if (jobState.finalStates.has(id) || jobState.jobs.has(id))
        return Either.left(yield* this.respondAsKnown(id));
      const read = readSubmission(body, this.context.dayTime());
      const types = this.context.types();
      const rejection = Either.isLeft(read) ? null : rejectionReason(read.right, settings, types);
      if (Either.isLeft(read) || rejection !== null) {
        const found = yield* this.lookup.find(id);
        if (found.kind !== 'unknown') return Either.left(yield* this.confirmation.respondToChange(id, found));
        return Either.left(
          Either.isLeft(read) ? json(400, { error: read.left }) : json(422, { error: rejection }),
        );
      }
      if (types === null) return Either.left(retryLater('machine types unknown'));
      if (!this.context.mayBeNew(id) || jobState.damaged.has(activeJobKey(id)))
        return Either.left(retryLater(UNCERTAIN.reason));
      if (yield* this.isOverByRebuild(id)) return Either.left(yield* this.respondAsKnown(id));
      return Either.right(read.right);
    });
  }

  private respondAsKnown(id: string): Effect.Effect<Answer, StateFailure> {
    return Effect.flatMap(this.lookup.find(id), (found) => this.confirmation.respondToChange(id, found));
  }

  /** The compare-and-swap that creates the job does not see final states that a rebuild wrote in pages. */
  private isOverByRebuild(id: string): Effect.Effect<boolean, StateFailure> {
    const { finalStates, finalStateParts } = this.context.jobState;
    if (finalStates.complete || finalStateParts.size === 0) return Effect.succeed(false);
    return Effect.map(this.lookup.rebuiltFinalState(id), (final) => final !== null);
  }

  /** Tries until it is committed, found to be there already, or out of time. */
  private create(id: string, value: unknown, began: Micros): Effect.Effect<Answer, StateFailure> {
    return Effect.gen(this, function* () {
      const { store, jobState, clock } = this.context;
      for (;;) {
        const result = yield* Effect.either(
          store.transact(
            [
              { key: activeJobKey(id), stamp: 0 },
              { key: finalStateKey(id), stamp: 0 },
            ],
            [{ set: activeJobKey(id), value }, ...adoption(jobState, id)],
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
        // Refused or unanswered: the conditions make another try safe either way.
        if (clock() - began > GIVE_UP_AFTER || isOverloaded(result.left))
          return yield* stateUnavailable(result.left);
        yield* Effect.sleep(RETRY_MS.least + RETRY_MS.spread * (yield* Random.next));
      }
    });
  }
}
