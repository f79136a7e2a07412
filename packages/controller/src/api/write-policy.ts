/** Common rules for users' changes: how long they are retried, and which writes accompany them. */
import { type HttpResponse, retryLater } from '@lilacvalve/runtime/http-server';
import { seconds } from '@lilacvalve/runtime/micros';
import { orphanedJobKey } from '../jobs/keys.js';
import type { JobState } from '../jobs/job-state.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { StateFailure, Write } from '../state-store/client.js';
import { UNCERTAIN } from './job-lookup.js';

/**
 * Time after which a change is not retried. Users wait 5 s for a response, so this leaves time for one with
 * `Retry-After`.
 */
export const RETRY_TIMEOUT = seconds(2.5);
/** Timeout of one transaction, in milliseconds. */
export const COMMIT_TIMEOUT_MS = 1200;

/**
 * Whether a failed change may be sent again as it is. Not after a rejection, which a retry can't change, and not while the
 * state service is overloaded, since a retry would add to the load.
 */
export const mayRetry = (failure: StateFailure): boolean =>
  failure._tag === 'NoResponse' || (failure._tag === 'Refused' && failure.status !== 503);

/** Response to a change while the store has not been read or a data loss is suspected. */
export const notReady = (lossDetector: Pick<DataLossDetector, 'suspected'>): HttpResponse =>
  retryLater(lossDetector.suspected ? UNCERTAIN.reason : 'starting');

/** Deletes the key of an orphaned job, whose running tasks then belong to the submitted or cancelled job. */
export const orphanRemoval = (jobState: JobState, id: string): Write[] =>
  jobState.orphanedJobs.has(id) ? [{ delete: orphanedJobKey(id) }] : [];
