/**
 * Compares the view of a controller that has just read the store with the views of its peers. A key that vanished without a
 * change is noticed only by controllers that had read it before, so the new view alone can't show the loss. Until every peer
 * has responded or failed to respond, this controller reports only final states to users.
 */
import { Effect } from 'effect';
import { pack, unpack } from 'msgpackr';
import type { DataLossDetector } from './data-loss-detector.js';
import type { JobState } from '../jobs/job-state.js';
import { activeJobKey, finalStateKey } from '../jobs/keys.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import type { Peer } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';
import { digestOf, RANGES, rangeOf } from './digest.js';
import { CHECK_PATH, type ViewPort } from './model.js';

/** A job's id, the revision of its key, and the sequence of the last log entry that changed it. */
type KnownJob = [id: string, revision: number, lastSequence: number];
/** Timeout of a comparison. It delays the responses of a controller that has just started. */
const TIMEOUT_MS = 800;
/** Maximum jobs in one response. */
const MAX_JOBS = 4000;

interface CheckRequest {
  readonly incarnation: string;
  readonly digest: readonly number[];
}

/** Returns a digest, by range, of a view's active jobs, their keys' revisions and the last log entries that changed them. */
const activeJobsDigest = (jobState: JobState): Uint32Array =>
  digestOf(
    [],
    [...jobState.jobs].map(
      ([id, job]) => [`${id}@${job.revision}`, { status: 'cancelled', tasks: job.lastSequence }] as const,
    ),
    (key) => key.slice(0, key.indexOf('@')),
  );

/** Encodes a request to compare views: the incarnation, and a digest of the active jobs. */
export const encodeCheckRequest = (incarnation: string, jobState: JobState): Buffer =>
  Buffer.from(pack([incarnation, [...activeJobsDigest(jobState)]]));

/**
 * Responds to a request to compare views: the highest revision this controller has seen, and the active jobs of its view in
 * the ranges where the digests differ. The response is null in msgpack if the views are of different incarnations. Returns
 * null if the request is malformed. A controller that suspects a loss responds too, since its view shows what is missing.
 */
export const respondToCheckRequest = (
  body: Buffer,
  jobState: JobState,
  incarnation: string | null,
  revision: number,
): Buffer | null => {
  let request: CheckRequest;
  try {
    const [senderIncarnation, digest] = unpack(body) as [string, number[]];
    if (typeof senderIncarnation !== 'string' || !Array.isArray(digest)) return null;
    request = { incarnation: senderIncarnation, digest };
  } catch {
    return null;
  }
  if (incarnation === null || incarnation !== request.incarnation) return Buffer.from(pack(null));
  const ownDigest = activeJobsDigest(jobState);
  const differing = new Set<number>();
  for (let range = 0; range < RANGES; range++)
    if (
      ownDigest[range * 2] !== request.digest[range * 2] ||
      ownDigest[range * 2 + 1] !== request.digest[range * 2 + 1]
    )
      differing.add(range);
  const jobs: KnownJob[] = [];
  for (const [id, job] of jobState.jobs)
    if (job.revision > 0 && differing.has(rangeOf(id)) && jobs.length < MAX_JOBS)
      jobs.push([id, job.revision, job.lastSequence]);
  return Buffer.from(pack([revision, jobs]));
};

const decodeCheckResponse = (body: Buffer): [revision: number, jobs: KnownJob[]] | null => {
  try {
    const response = unpack(body) as [number, KnownJob[]] | null;
    return Array.isArray(response) && Number.isSafeInteger(response[0]) && Array.isArray(response[1])
      ? response
      : null;
  } catch {
    return null;
  }
};

/** Dependencies of a comparison. */
export interface VerificationDependencies {
  readonly lossDetector: DataLossDetector;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly port: ViewPort;
}

/** The result of a comparison. `no view`: the peer has no view of this incarnation. `silent`: no response in time. */
export type Comparison = 'compared' | 'no view' | 'silent';

/** Compares this controller's view with a peer's. What the peer has and the store lacks is evidence of a loss. */
export const verifyAgainstPeer = (
  dependencies: VerificationDependencies,
  peer: Peer,
): Effect.Effect<Comparison> =>
  Effect.gen(function* () {
    const { incarnation } = dependencies.lossDetector;
    if (incarnation === null) return 'silent' as const;
    const body = yield* dependencies.port.request(
      peer,
      CHECK_PATH,
      encodeCheckRequest(incarnation.id, dependencies.jobState),
    );
    const response = decodeCheckResponse(body);
    if (response === null) return 'no view' as const;
    const [peerRevision, jobs] = response;
    // From here on a read that returns a lower revision than the peer has seen is evidence of a loss.
    dependencies.lossDetector.notePeerRevision(incarnation.id, incarnation.generation, peerRevision);
    yield* dependencies.watcher.refresh;
    for (const [id, revision, lastSequence] of jobs) {
      const job = dependencies.jobState.jobs.get(id);
      if (job && (job.revision < revision || job.lastSequence < lastSequence))
        dependencies.lossDetector.suspect(
          'key lost',
          `job ${id} has revision ${job.revision} and log entry ${job.lastSequence}, ${peer.label} has revision ${revision} and log entry ${lastSequence}`,
          true,
        );
      if (job || dependencies.jobState.finalStates.has(id) || revision > dependencies.jobState.revision)
        continue;
      const final = yield* dependencies.store.get(finalStateKey(id));
      if (final.entry === null && !dependencies.jobState.jobs.has(id))
        dependencies.lossDetector.suspect(
          'key lost',
          `${activeJobKey(id)} is missing, ${peer.label} has it at revision ${revision}`,
          true,
        );
    }
    return 'compared' as const;
  }).pipe(
    Effect.timeoutTo({
      duration: TIMEOUT_MS,
      onSuccess: (result): Comparison => result,
      onTimeout: (): Comparison => 'silent',
    }),
    Effect.orElseSucceed((): Comparison => 'silent'),
  );
