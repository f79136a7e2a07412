/** Response bodies for users, with the protocol's field names. */
import { type HttpResponse, json, retryLater } from '@lilacvalve/runtime/http-server';
import { debug } from '@lilacvalve/runtime/log';
import { Effect } from 'effect';
import { STATUS_WORDS } from '../jobs/submission-codec.js';
import { type FinalState, isComplete, type Job } from '../jobs/model.js';
import type { StateFailure } from '../state-store/client.js';
import type { JobLookupResult } from './job-lookup.js';

const finalResponse = (id: string, final: FinalState): HttpResponse =>
  json(200, {
    id,
    status: STATUS_WORDS[final.status],
    done: final.status === 'done' ? final.tasks : undefined,
    running: 0,
  });

const activeResponse = (job: Job): HttpResponse => {
  const { id } = job.spec;
  const counts = { done: job.completed.size, running: job.placed.size };
  if (job.cancelled) return json(200, { id, status: STATUS_WORDS.cancelled, ...counts });
  // The last completion is in a committed log entry. Moving the job to its final key is only compaction.
  if (isComplete(job)) return finalResponse(id, { status: 'done', tasks: job.spec.tasks });
  const status = job.placed.size > 0 ? STATUS_WORDS.running : STATUS_WORDS.queued;
  return json(200, { id, status, ...counts });
};

/** Response to the acceptance of a new job. */
export const acceptedResponse = (id: string): HttpResponse => json(201, { id, status: STATUS_WORDS.queued });

/** Response with the state of a job that was looked up. */
export const jobResponse = (id: string, found: JobLookupResult): HttpResponse => {
  switch (found.kind) {
    case 'unknown':
      return json(404, { error: 'no such job' });
    case 'final':
      return finalResponse(id, found.final);
    case 'orphaned':
      return json(200, { id, status: STATUS_WORDS.running, running: found.orphan.tasks });
    case 'active':
      return activeResponse(found.job);
  }
};

/** Response when the state service did not serve this controller; the user should retry later. */
export const stateUnavailable = (failure: StateFailure): Effect.Effect<HttpResponse> =>
  debug('store unavailable', {
    reason: failure._tag === 'Refused' ? `${failure.status}` : failure.reason,
  }).pipe(Effect.as(retryLater('state unavailable')));
