/**
 * A node that has just read the store compares its view with its peers': only who had read a key before can miss it once it
 * is gone without a change that tells of it. Until every peer has answered, or has been asked without an answer, this node
 * tells users of final states only.
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

/** A job, its key's revision, and the last record that mentions it. */
type KnownJob = [id: string, stamp: number, touched: number];
/** How long a peer may take; a node that has just started answers nobody before. */
const TIMEOUT_MS = 800;
/** Jobs in one answer. */
const MAX_JOBS = 4000;

interface CheckRequest {
  readonly incarnation: string;
  readonly digest: readonly number[];
}

/** Digest by range of which jobs a view has as active, and as of which key revision and record. */
const activeJobsDigest = (jobState: JobState): Uint32Array =>
  digestOf(
    [],
    [...jobState.jobs].map(
      ([id, j]) => [`${id}@${j.revision}`, { status: 'cancelled', tasks: j.lastSequence }] as const,
    ),
    (key) => key.slice(0, key.indexOf('@')),
  );

/** Asks a peer to compare: the incarnation, and a digest of the active jobs. */
export const encodeCheckRequest = (incarnation: string, jobState: JobState): Buffer =>
  Buffer.from(pack([incarnation, [...activeJobsDigest(jobState)]]));

/**
 * What a peer is told: the highest revision this node has seen, and the jobs that its view has as active, with their keys'
 * revisions, in the ranges where the asker's differ. A view under suspicion answers too: it says most.
 */
export const answerCheckRequest = (
  body: Buffer,
  jobState: JobState,
  incarnation: string | null,
  revision: number,
): Buffer | null => {
  let request: CheckRequest;
  try {
    const [of, digest] = unpack(body) as [string, number[]];
    if (typeof of !== 'string' || !Array.isArray(digest)) return null;
    request = { incarnation: of, digest };
  } catch {
    return null;
  }
  if (incarnation === null || incarnation !== request.incarnation) return Buffer.from(pack(null));
  const mine = activeJobsDigest(jobState);
  const differs = new Set<number>();
  for (let r = 0; r < RANGES; r++)
    if (mine[r * 2] !== request.digest[r * 2] || mine[r * 2 + 1] !== request.digest[r * 2 + 1])
      differs.add(r);
  const out: KnownJob[] = [];
  for (const [id, job] of jobState.jobs)
    if (job.revision > 0 && differs.has(rangeOf(id)) && out.length < MAX_JOBS)
      out.push([id, job.revision, job.lastSequence]);
  return Buffer.from(pack([revision, out]));
};

const decodeCheckResponse = (body: Buffer): [revision: number, jobs: KnownJob[]] | null => {
  try {
    const v = unpack(body) as [number, KnownJob[]] | null;
    return Array.isArray(v) && Number.isSafeInteger(v[0]) && Array.isArray(v[1]) ? v : null;
  } catch {
    return null;
  }
};

/** What a comparison works with. */
export interface VerificationParts {
  readonly lossDetector: DataLossDetector;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly port: ViewPort;
}

/** The result of asking a peer; `ignorant`: it has no view of this incarnation. */
export type Comparison = 'compared' | 'ignorant' | 'silent';

/** Compares this node's view with a peer's; what the peer knows and the store does not have is evidence of a loss. */
export const verifyWith = (parts: VerificationParts, peer: Peer): Effect.Effect<Comparison> =>
  Effect.gen(function* () {
    const { incarnation } = parts.lossDetector;
    if (incarnation === null) return 'silent' as const;
    const body = yield* parts.port.ask(peer, CHECK_PATH, encodeCheckRequest(incarnation.id, parts.jobState));
    const theirs = decodeCheckResponse(body);
    if (theirs === null) return 'ignorant' as const;
    const [revision, jobs] = theirs;
    // If it has seen more than the store shows from here on, the next read is evidence.
    parts.lossDetector.notePeerRevision(incarnation.id, incarnation.generation, revision);
    yield* parts.watcher.refresh;
    for (const [id, stamp, touched] of jobs) {
      const mine = parts.jobState.jobs.get(id);
      if (mine && (mine.revision < stamp || mine.lastSequence < touched))
        parts.lossDetector.suspect('key lost', `${id} as ${peer.label} knows it`, true);
      if (mine || parts.jobState.finalStates.has(id) || stamp > parts.jobState.revision) continue;
      const over = yield* parts.store.get(finalStateKey(id));
      if (over.entry === null && !parts.jobState.jobs.has(id))
        parts.lossDetector.suspect('key lost', `${activeJobKey(id)} is known to ${peer.label}`, true);
    }
    return 'compared' as const;
  }).pipe(
    Effect.timeoutTo({
      duration: TIMEOUT_MS,
      onSuccess: (c): Comparison => c,
      onTimeout: (): Comparison => 'silent',
    }),
    Effect.orElseSucceed((): Comparison => 'silent'),
  );
