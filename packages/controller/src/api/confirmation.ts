/**
 * Confirms to a user what was committed. Whatever a user is told must survive a loss of the newest data in the state
 * service, so what the other controllers may not have read yet is replicated to them before the answer goes out.
 */
import type { Answer } from '@lilacvalve/runtime/http-server';
import { Effect } from 'effect';
import { encodeJob } from '../jobs/codec.js';
import { type FinalState, isComplete } from '../jobs/model.js';
import type { JobEvidence } from '../recovery/evidence-store.js';
import type { ApiContext } from './api-context.js';
import type { JobLookupResult } from './job-lookup.js';
import { jobResponse } from './responses.js';

/** Turns what was found or committed into the answer that a user may get. */
export class Confirmation {
  constructor(private readonly context: ApiContext) {}

  /** Replicates `value`, committed at `revision`, and answers then. */
  replicateThenRespond(
    id: string,
    revision: number,
    value: JobEvidence['value'],
    response: Answer,
  ): Effect.Effect<Answer> {
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

  /** Answers a question. A leader knows of a completion before the others do; whoever else knows of it has read it. */
  respond(id: string, found: JobLookupResult): Effect.Effect<Answer> {
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
   * Answers a change with the job that was found in its place: perhaps one written by a change whose own answer was lost,
   * of which nobody was told. Costs nothing once the others have read it. Only while no log entry mentions the job: a view
   * that lost those must not go on from them.
   */
  respondToChange(id: string, found: JobLookupResult): Effect.Effect<Answer> {
    if (found.kind !== 'active' || found.job.revision === 0 || found.job.lastSequence > 0)
      return this.respond(id, found);
    const stored = encodeJob(found.job, found.job.lastSequence);
    return this.replicateThenRespond(id, found.job.revision, { stored }, jobResponse(id, found));
  }
}

/** What the job has come to, null while it goes on. */
const finalStateOf = (found: JobLookupResult): FinalState | null => {
  if (found.kind === 'final') return found.final;
  if (found.kind !== 'active' || found.job.cancelled || !isComplete(found.job)) return null;
  return { status: 'done', tasks: found.job.spec.tasks };
};
