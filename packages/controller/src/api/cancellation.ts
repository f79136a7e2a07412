/** Cancellation of a job: confirmed once it is committed and read back. */
import { type Answer, retryLater } from '@lilacvalve/runtime/http-server';
import { Effect, Either, Random } from 'effect';
import { encodeFinalState, encodeJob } from '../jobs/codec.js';
import { activeJobKey, finalStateKey, jobUnchanged } from '../jobs/keys.js';
import { isComplete } from '../jobs/model.js';
import { Priority } from '../state-store/budget.js';
import type { Condition, StateFailure, Write } from '../state-store/client.js';
import type { ApiContext } from './api-context.js';
import type { Confirmation } from './confirmation.js';
import type { JobLookup, JobLookupResult } from './job-lookup.js';
import { jobResponse, stateUnavailable } from './responses.js';
import { adoption, COMMIT_TIMEOUT_MS, GIVE_UP_AFTER, isOverloaded, notOpen } from './write-policy.js';

/** Between two tries, the shorter bound and what is drawn on top. */
const RETRY_MS = { least: 60, spread: 80 };

/** A job that still can be cancelled. */
type Cancellable = Extract<JobLookupResult, { readonly kind: 'active' | 'orphaned' }>;

interface CompareAndSwap {
  readonly conditions: Condition[];
  readonly writes: Write[];
}

/** Answers cancellations: one compare-and-swap on the job's key, tried again until it is known to hold. */
export class CancellationHandler {
  constructor(
    private readonly context: ApiContext,
    private readonly lookup: JobLookup,
    private readonly confirmation: Confirmation,
  ) {}

  /** Never fails: what goes wrong is an answer. */
  cancel(id: string): Effect.Effect<Answer> {
    return Effect.gen(this, function* () {
      const { clock, lossDetector } = this.context;
      if (!this.lookup.isOpen()) return notOpen(lossDetector);
      const began = clock();
      for (;;) {
        const found = yield* this.lookup.find(id);
        if (!isCancellable(found)) return yield* this.confirmation.respondToChange(id, found);
        const result = yield* Effect.either(this.commit(id, found));
        // A log entry may have completed the job in between: whichever was committed first holds (jobs/job-state.ts).
        if (Either.isRight(result) && result.right.ok) return yield* this.confirm(id, result.right.revision);
        if (clock() - began > GIVE_UP_AFTER) return retryLater('busy');
        if (Either.isLeft(result) && isOverloaded(result.left)) return yield* stateUnavailable(result.left);
        yield* Effect.sleep(RETRY_MS.least + RETRY_MS.spread * (yield* Random.next));
      }
    }).pipe(Effect.catchAll(stateUnavailable));
  }

  private commit(id: string, found: Cancellable) {
    const { conditions, writes } = this.compareAndSwap(id, found);
    return this.context.store.transact(conditions, writes, Priority.Commit, COMMIT_TIMEOUT_MS);
  }

  private compareAndSwap(id: string, found: Cancellable): CompareAndSwap {
    if (found.kind === 'orphaned') {
      const final = encodeFinalState({ status: 'cancelled', tasks: found.orphan.tasks });
      return {
        conditions: [
          { key: activeJobKey(id), stamp: 0 },
          { key: finalStateKey(id), stamp: 0 },
        ],
        writes: [{ set: finalStateKey(id), value: final }, ...adoption(this.context.jobState, id)],
      };
    }
    const { job } = found;
    // What the key includes stays what it included: later log entries still apply on top.
    const value = encodeJob({ ...job, cancelled: true }, job.lastSequence);
    return {
      conditions: jobUnchanged(id, job.revision),
      writes: [{ set: activeJobKey(id), value }],
    };
  }

  /** Answers a committed cancellation, `revision` being its own, from a view that has it. */
  private confirm(id: string, revision: number): Effect.Effect<Answer, StateFailure> {
    return Effect.flatMap(this.lookup.find(id), (now) => {
      if (now.kind !== 'active' || !now.job.cancelled) return this.confirmation.respondToChange(id, now);
      const stored = encodeJob(now.job, now.job.lastSequence);
      return this.confirmation.replicateThenRespond(id, revision, { stored }, jobResponse(id, now));
    });
  }
}

const isCancellable = (found: JobLookupResult): found is Cancellable =>
  found.kind === 'orphaned' || (found.kind === 'active' && !found.job.cancelled && !isComplete(found.job));
