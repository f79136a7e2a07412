/** Looks up the current state of a job for a response to a user. */
import { Effect } from 'effect';
import { decodeFinalState, decodeFinalStates, type OrphanedJob } from '../jobs/codec.js';
import { activeJobKey, FINAL_STATE_PAGES, finalStateKey, finalStatePageAfter } from '../jobs/keys.js';
import { type FinalState, isComplete, type Job } from '../jobs/model.js';
import { Refused, type StateFailure } from '../state-store/client.js';
import type { ApiContext } from './api-context.js';

/**
 * Result of a lookup: a finished job, an active job, a job known only from workers since a data loss, or an id
 * that was never accepted.
 */
export type JobLookupResult =
  | { readonly kind: 'final'; readonly final: FinalState }
  | { readonly kind: 'active'; readonly job: Job }
  | { readonly kind: 'orphaned'; readonly orphan: OrphanedJob }
  | { readonly kind: 'unknown' };

/** The job's state cannot be determined with certainty now; the user should retry later. */
export const UNCERTAIN = new Refused({ status: 503, reason: 'not certain of this job yet' });

/** Looks up jobs in this controller's view, and in the store if the view does not hold them. */
export class JobLookup {
  constructor(private readonly context: ApiContext) {}

  /** Whether the store's content has been read and no data loss is suspected. */
  isReadable(): boolean {
    const { watcher, lossDetector } = this.context;
    return watcher.loaded && !lossDetector.suspected && lossDetector.incarnation !== null;
  }

  /**
   * Returns the job's state, from a view at least as new as this call unless the job has finished. Fails with
   * `UNCERTAIN` or with the store's failure.
   */
  find(id: string): Effect.Effect<JobLookupResult, StateFailure> {
    return Effect.gen(this, function* () {
      const { jobState, watcher, isDurable, isVerified } = this.context;
      // A final state held only in this controller's memory would be lost with the controller.
      const remembered = jobState.finalStates.get(id);
      if (remembered && isDurable()) return { kind: 'final', final: remembered };
      yield* watcher.refresh;
      if (this.hasUnreadBeforeCompletion(id)) yield* watcher.refresh;
      const known = jobState.finalStates.get(id);
      if (known && !isDurable()) return yield* Effect.fail(UNCERTAIN);
      if (known) return { kind: 'final', final: known };
      const job = jobState.jobs.get(id);
      if (!isVerified() || (job && !jobState.isRestored(id))) return yield* Effect.fail(UNCERTAIN);
      if (job) return { kind: 'active', job };
      return yield* this.findOutsideView(id);
    });
  }

  /** Looks up a final state that a rebuild wrote and this controller does not hold in memory. */
  rebuiltFinalState(id: string): Effect.Effect<FinalState | null, StateFailure> {
    return Effect.gen(this, function* () {
      const { jobState, store } = this.context;
      if (jobState.finalStates.complete) return null;
      for (const part of jobState.finalStatePageSets) {
        const page = yield* store.page(`${FINAL_STATE_PAGES}${part}/`, finalStatePageAfter(part, id), 1);
        for (const entry of page.entries)
          for (const [finalId, final] of decodeFinalStates(entry.value)) if (finalId === id) return final;
      }
      return null;
    });
  }

  /** Looks up a job that the view does not hold. Not all final states are in memory. */
  private findOutsideView(id: string): Effect.Effect<JobLookupResult, StateFailure> {
    return Effect.gen(this, function* () {
      const { jobState, store } = this.context;
      const { entry } = yield* store.get(finalStateKey(id));
      const final = entry === null ? yield* this.rebuiltFinalState(id) : decodeFinalState(entry.value);
      if (final !== null) {
        jobState.finalStates.remember(id, final);
        return { kind: 'final', final };
      }
      const orphan = jobState.orphanedJobs.get(id);
      if (orphan) return { kind: 'orphaned', orphan };
      // The store does not contain the job. "Unknown" is returned only if no other controller can know more: after
      // the recovery, and if the job's key was not found damaged.
      if (!jobState.recovered || jobState.damaged.has(activeJobKey(id))) return yield* Effect.fail(UNCERTAIN);
      return { kind: 'unknown' };
    });
  }

  /**
   * Whether the job is complete by a log entry committed by this controller while changes committed before that
   * entry have not been read. A cancellation among them would take precedence: this controller would report `done`
   * and all others `aborted`.
   */
  private hasUnreadBeforeCompletion(id: string): boolean {
    const { jobState, watcher } = this.context;
    const job = jobState.jobs.get(id);
    if (job === undefined || job.cancelled || !isComplete(job)) return false;
    return (jobState.logTail.get(jobState.lastSequence)?.revision ?? 0) > watcher.completeRevision();
  }
}
