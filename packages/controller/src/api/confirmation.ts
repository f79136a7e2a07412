/**
 * Confirmation of committed changes to users. A confirmed change must survive a loss of the newest data in the
 * state service, so a change that the other controllers may not have read yet is replicated to them before the
 * response is sent.
 */
import type { HttpResponse } from '@lilacvalve/runtime/http-server';
import { Effect } from 'effect';
import { encodeJob } from '../jobs/codec.js';
import { type FinalState, isComplete } from '../jobs/model.js';
import type { JobEvidence } from '../recovery/evidence-store.js';
import type { ApiContext } from './api-context.js';
import type { JobLookupResult } from './job-lookup.js';
import { jobResponse } from './responses.js';

/** Builds the response to a user from the result of a lookup or from a committed change. */
export class Confirmation {
  constructor(private readonly context: ApiContext) {}

  /** Replicates `value`, committed at `revision`, and then returns the response. */
  replicateThenRespond(
    id: string,
    revision: number,
    value: JobEvidence['value'],
    response: HttpResponse,
  ): Effect.Effect<HttpResponse> {
    const { lossDetector, evidenceStore } = this.context;
    const { incarnation } = lossDetector;
    if (incarnation === null) return Effect.succeed(response);
    const evidence = {
      id,
      revision,
      generation: incarnation.generation,
      incarnation: incarnation.id,
      value,
    };
    return Effect.as(evidenceStore.replicate(evidence), response);
  }

  /**
   * Responds to a poll. Only the leader can know a completion that the other controllers have not read yet; any
   * other controller has read it from the store.
   */
  respond(id: string, found: JobLookupResult): Effect.Effect<HttpResponse> {
    const { jobState, isLeader } = this.context;
    const completedAt = jobState.recentlyCompleted.get(id);
    const response = jobResponse(id, found);
    if (completedAt === undefined || !isLeader()) return Effect.succeed(response);
    const final = finalStateOf(found);
    return final === null
      ? Effect.succeed(response)
      : this.replicateThenRespond(id, completedAt, { final }, response);
  }

  /**
   * Responds to a submission or cancellation with the job as it was found. The job may have been written by an
   * earlier attempt of the same change whose response was lost, so its value may not have been replicated yet;
   * replication costs nothing if the other controllers have read it. The value is replicated only if no log entry
   * mentions the job: a view that has lost such entries must not continue from it.
   */
  respondToChange(id: string, found: JobLookupResult): Effect.Effect<HttpResponse> {
    if (found.kind !== 'active' || found.job.revision === 0 || found.job.lastSequence > 0)
      return this.respond(id, found);
    const stored = encodeJob(found.job, found.job.lastSequence);
    return this.replicateThenRespond(id, found.job.revision, { stored }, jobResponse(id, found));
  }
}

/** The job's final state; null while the job is active. */
const finalStateOf = (found: JobLookupResult): FinalState | null => {
  if (found.kind === 'final') return found.final;
  if (found.kind !== 'active' || found.job.cancelled || !isComplete(found.job)) return null;
  return { status: 'done', tasks: found.job.spec.tasks };
};
