/** What users' changes have in common: how long they are tried, and what goes with them. */
import { type Answer, retryLater } from '@lilacvalve/runtime/http-server';
import { seconds } from '@lilacvalve/runtime/micros';
import { orphanedJobKey } from '../jobs/keys.js';
import type { JobState } from '../jobs/job-state.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { StateFailure, Write } from '../state-store/client.js';
import { UNCERTAIN } from './job-lookup.js';

/** Users wait 5 s for a change; past this they are told when to come back. */
export const GIVE_UP_AFTER = seconds(2.5);
/** For one transaction. */
export const COMMIT_TIMEOUT_MS = 1200;

/** The state service refuses work: another try would only add to it. */
export const isOverloaded = (failure: StateFailure): boolean =>
  failure._tag === 'Refused' && failure.status === 503;

/** Why no change is taken while the store is not read, or can't be believed. */
export const notOpen = (lossDetector: Pick<DataLossDetector, 'suspected'>): Answer =>
  retryLater(lossDetector.suspected ? UNCERTAIN.reason : 'starting');

/** What workers already run of a job that was orphaned becomes the submitted job's. */
export const adoption = (jobState: JobState, id: string): Write[] =>
  jobState.orphanedJobs.has(id) ? [{ delete: orphanedJobKey(id) }] : [];
