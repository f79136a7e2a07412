/** Cancellation of a job. It is confirmed after it has been committed and read back. */
import { type HttpResponse, retryLater } from '@lilacvalve/runtime/http-server';
import { Effect, Either, Random } from 'effect';
import { cancelStoredJob, encodeFinalState, encodeJob, encodeJobWithin } from '../jobs/codec.js';
import { activeJobKey, finalStateKey, jobUnchanged } from '../jobs/keys.js';
import { isComplete, type Job } from '../jobs/model.js';
import { Priority } from '../state-store/budget.js';
import {
  Rejected,
  type Condition,
  type Outcome,
  type StateFailure,
  type Write,
} from '../state-store/client.js';
import { maxValueBytes } from '../state-store/transaction-limits.js';
import type { ApiContext } from './api-context.js';
import type { Confirmation } from './confirmation.js';
import type { JobLookup, JobLookupResult } from './job-lookup.js';
import { jobResponse, stateUnavailable } from './responses.js';
import { orphanRemoval, COMMIT_TIMEOUT_MS, RETRY_TIMEOUT, mayRetry, notReady } from './write-policy.js';

/** Delay between two attempts: a fixed part plus a random part of up to `jitter`. */
const RETRY_DELAY_MS = { base: 60, jitter: 80 };

/** The lookup result of a job that can still be cancelled. */
type Cancellable = Extract<JobLookupResult, { readonly kind: 'active' | 'orphaned' }>;

interface CompareAndSwap {
  readonly conditions: Condition[];
  readonly writes: Write[];
}

/** Handles cancellations by a compare-and-swap of the job's key, which is retried until its result is known. */
export class CancellationHandler {
  constructor(
    private readonly context: ApiContext,
    private readonly lookup: JobLookup,
    private readonly confirmation: Confirmation,
  ) {}

  /** Never fails: errors are turned into responses. */
  cancel(id: string): Effect.Effect<HttpResponse> {
    return Effect.gen(this, function* () {
      const { clock, lossDetector } = this.context;
      if (!this.lookup.isReadable()) return notReady(lossDetector);
      const startedAt = clock();
      for (;;) {
        const found = yield* this.lookup.find(id);
        if (!isCancellable(found)) return yield* this.confirmation.respondToChange(id, found);
        const result = yield* Effect.either(this.commit(id, found));
        // A log entry may have completed the job in between. Whichever was committed first takes effect
        // (jobs/job-state.ts).
        if (Either.isRight(result) && result.right.ok) return yield* this.confirm(id, result.right.revision);
        if (clock() - startedAt > RETRY_TIMEOUT) return retryLater('busy');
        if (Either.isLeft(result) && !mayRetry(result.left)) return yield* stateUnavailable(result.left);
        yield* Effect.sleep(RETRY_DELAY_MS.base + RETRY_DELAY_MS.jitter * (yield* Random.next));
      }
    }).pipe(Effect.catchAll(stateUnavailable));
  }

  private commit(id: string, found: Cancellable): Effect.Effect<Outcome, StateFailure> {
    if (found.kind === 'orphaned') return this.transact(this.orphanCancellation(id, found.orphan.tasks));
    return Effect.flatMap(this.cancelledValue(found.job), (value) =>
      this.transact({
        conditions: jobUnchanged(id, found.job.revision),
        writes: [{ set: activeJobKey(id), value }],
      }),
    );
  }

  private transact({ conditions, writes }: CompareAndSwap): Effect.Effect<Outcome, StateFailure> {
    return this.context.store.transact(conditions, writes, Priority.Commit, COMMIT_TIMEOUT_MS);
  }

  private orphanCancellation(id: string, tasks: number): CompareAndSwap {
    const final = encodeFinalState({ status: 'cancelled', tasks });
    return {
      conditions: [
        { key: activeJobKey(id), revision: 0 },
        { key: finalStateKey(id), revision: 0 },
      ],
      writes: [{ set: finalStateKey(id), value: final }, ...orphanRemoval(this.context.jobState, id)],
    };
  }

  /**
   * Returns the value of the job's key that cancels it. It includes the log entries up to `lastSequence`; later ones are
   * applied on top of it. A job that has outgrown its key, which a controller of an earlier version may have let happen, gets
   * its stored value with the mark of the cancellation, on top of which all its log entries are applied.
   */
  private cancelledValue(job: Job): Effect.Effect<unknown, StateFailure> {
    const maxBytes = maxValueBytes(this.context.settings.state);
    const encoded = encodeJobWithin({ ...job, cancelled: true }, job.lastSequence, maxBytes);
    if (encoded !== null) return Effect.succeed(encoded.value);
    const { id } = job.spec;
    return Effect.flatMap(this.context.store.get(activeJobKey(id)), ({ entry }) =>
      // A bundle may hold a newer state of the job than its own key.
      entry === null || this.context.jobState.bundleByJob.has(id)
        ? Effect.fail(new Rejected({ reason: 'the job is too large and is listed in a bundle' }))
        : Effect.succeed(cancelStoredJob(entry.value, maxBytes)),
    );
  }

  /** Responds to a cancellation committed at `revision`, from a view that includes it. */
  private confirm(id: string, revision: number): Effect.Effect<HttpResponse, StateFailure> {
    return Effect.flatMap(this.lookup.find(id), (current) => {
      if (current.kind !== 'active' || !current.job.cancelled)
        return this.confirmation.respondToChange(id, current);
      const stored = encodeJob(current.job, current.job.lastSequence);
      return this.confirmation.replicateThenRespond(id, revision, { stored }, jobResponse(id, current));
    });
  }
}

const isCancellable = (found: JobLookupResult): found is Cancellable =>
  found.kind === 'orphaned' || (found.kind === 'active' && !found.job.cancelled && !isComplete(found.job));
