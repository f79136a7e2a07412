/** Finds a job as of now, for an answer to a user. */
import { Effect } from 'effect';
import { decodeFinalState, decodeFinalStates, type OrphanedJob } from '../jobs/codec.js';
import { activeJobKey, FINAL_STATE_PAGES, finalStateKey, finalStatePageAfter } from '../jobs/keys.js';
import { type FinalState, isComplete, type Job } from '../jobs/model.js';
import { Refused, type StateFailure } from '../state-store/client.js';
import type { ApiContext } from './api-context.js';

/** A job as the store has it: over, active, named by workers only since a loss of data, or never accepted. */
export type JobLookupResult =
  | { readonly kind: 'final'; readonly final: FinalState }
  | { readonly kind: 'active'; readonly job: Job }
  | { readonly kind: 'orphaned'; readonly orphan: OrphanedJob }
  | { readonly kind: 'unknown' };

/** The job's state can't be told with certainty right now; the user comes back later. */
export const UNCERTAIN = new Refused({ status: 503, reason: 'not certain of this job yet' });

/** Looks jobs up in this controller's view, and in the store for what the view does not hold. */
export class JobLookup {
  constructor(private readonly context: ApiContext) {}

  /** The store's content can be believed, and it has been read. */
  isOpen(): boolean {
    const { watcher, lossDetector } = this.context;
    return watcher.loaded && !lossDetector.suspected && lossDetector.incarnation !== null;
  }

  /** The job's state, from a view at least as new as this call unless the job is over. Fails with `UNCERTAIN` or as the store does. */
  find(id: string): Effect.Effect<JobLookupResult, StateFailure> {
    return Effect.gen(this, function* () {
      const { jobState, watcher, isDurable, isVerified } = this.context;
      // Told from memory alone, it would be lost with this controller.
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

  /** A final state that a rebuild wrote and this controller does not hold in memory. */
  rebuiltFinalState(id: string): Effect.Effect<FinalState | null, StateFailure> {
    return Effect.gen(this, function* () {
      const { jobState, store } = this.context;
      if (jobState.finalStates.complete) return null;
      for (const part of jobState.finalStateParts) {
        const page = yield* store.page(`${FINAL_STATE_PAGES}${part}/`, finalStatePageAfter(part, id), 1);
        for (const entry of page.entries)
          for (const [finalId, final] of decodeFinalStates(entry.value)) if (finalId === id) return final;
      }
      return null;
    });
  }

  /** A job that the view does not have: final states are not all in memory. */
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
      // Never accepted, as far as the store says: that is said only once nobody could have other knowledge.
      if (!jobState.recovered || jobState.damaged.has(activeJobKey(id))) return yield* Effect.fail(UNCERTAIN);
      return { kind: 'unknown' };
    });
  }

  /**
   * The job is complete by a log entry of this controller's own, and what was committed just before that one is not read
   * yet. A cancellation among it would have come first: called `done` here, the job would be `aborted` for everybody else.
   */
  private hasUnreadBeforeCompletion(id: string): boolean {
    const { jobState, watcher } = this.context;
    const job = jobState.jobs.get(id);
    if (job === undefined || job.cancelled || !isComplete(job)) return false;
    return (jobState.logTail.get(jobState.lastSequence)?.revision ?? 0) > watcher.completeRevision();
  }
}
