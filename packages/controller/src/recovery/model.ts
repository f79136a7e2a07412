/**
 * The identity of the store's data, and the types by which controllers exchange what they know of the store. An incarnation
 * of the store's data begins when the cluster starts for the first time, or with a rebuild after a data loss. Revisions, terms
 * and attempts can be compared within one incarnation only. An incarnation's key contains its id, and every transaction is
 * conditional on that key, so that the conditions of a transaction from before a loss can never hold by accident afterwards.
 */
import type { NoResponse } from '@lilacvalve/runtime/http-client';
import type { Effect } from 'effect';
import type { Peer } from '../settings/settings.js';

export interface Incarnation {
  /** Random, unique to the incarnation. */
  readonly id: string;
  /** 0 for the incarnation of the first start, incremented by each rebuild. */
  readonly generation: number;
  /** Revision of the incarnation's key. */
  readonly revision: number;
  /**
   * Every term of the incarnation is higher than this one. The terms of a first incarnation begin at the time of day, so that
   * a store that is started empty a second time does not issue the same terms again.
   */
  readonly termFloor: number;
  /**
   * Time of day in seconds from which `attemptFloor` counts: the beginning of the first incarnation, which every rebuild copies
   * as long as a controller knows it; null if unknown.
   */
  readonly startedAt: number | null;
}

/** Decodes the incarnation that is stored as `value` under a key of revision `keyRevision`. */
export const incarnationOf = (id: string, value: unknown, keyRevision: number): Incarnation => {
  const stored = value as { g?: unknown; t?: unknown; s?: unknown } | null;
  const integerOrZero = (field: unknown): number => (Number.isSafeInteger(field) ? (field as number) : 0);
  return {
    id,
    generation: integerOrZero(stored?.g),
    revision: keyRevision,
    termFloor: integerOrZero(stored?.t),
    startedAt: stored?.s === undefined ? null : integerOrZero(stored.s),
  };
};

/**
 * Size of the range of terms and attempts that belongs to one generation. The range of a generation lies above those of all
 * earlier generations, so a number from before a loss is never issued again, even if nothing is left that records its use.
 */
const NUMBERS_PER_GENERATION = 2 ** 32;
/** Returns the number above which all terms and attempts of a generation lie. */
export const generationFloor = (generation: number): number => generation * NUMBERS_PER_GENERATION;
/** Returns the generation that a term or an attempt belongs to. */
export const generationOf = (termOrAttempt: number): number =>
  Math.floor(termOrAttempt / NUMBERS_PER_GENERATION);

/** Upper bound of a job's attempts per second: a log entry uses at most one attempt of a job, and fewer entries are written. */
const MAX_ATTEMPTS_PER_SECOND = 16;
/** Minimum distance of a term's first attempt from the previous term's, for clocks set back between the two leaders. */
const MIN_ATTEMPTS_PER_TERM = 256;
/**
 * Returns the number above which a term's attempts lie. It exceeds every attempt that an earlier term of the incarnation can
 * have used, even if log entries of that term are lost or unreadable: it grows with the time since the first incarnation
 * began, and a loss does not set that time back. `previousFloor`: the result for the previous term, null if there was none.
 * `now`: time of day in seconds.
 */
export const attemptFloor = (incarnation: Incarnation, previousFloor: number | null, now: number): number =>
  Math.max(
    generationFloor(incarnation.generation) +
      (incarnation.startedAt !== null
        ? MAX_ATTEMPTS_PER_SECOND * Math.max(0, Math.floor(now - incarnation.startedAt))
        : 0),
    previousFloor !== null ? previousFloor + MIN_ATTEMPTS_PER_TERM : 0,
  );

/** What this controller knows of the store, from its own reads, from its peers and from workers. */
export interface StoreKnowledge {
  /** The incarnation of this controller's view; null if the controller has no view. */
  readonly incarnation: Incarnation | null;
  /** The highest generation that this controller or a peer has seen; -1 if none. */
  readonly generation: number;
  /** The highest revision of the incarnation that this controller or a peer has seen. */
  readonly revision: number;
  /** The highest term that a worker, a peer or a snapshot has named. */
  readonly term: number;
}

/** The result of one probe: a few small reads of the store while a data loss is suspected. */
export interface Probe {
  readonly incarnations: readonly Incarnation[];
  /** The lowest of the revisions that the probe's reads returned. */
  readonly revision: number;
  readonly term: number;
}

/** Why a data loss is suspected: the observation that contradicts what was known before. */
export type EvidenceKind =
  /** A response has an older revision than one that was seen before the request was sent. */
  | 'revision went back'
  /** The key of the known incarnation is missing or rewritten, or another incarnation exists. */
  | 'other incarnation'
  /** A worker, a peer or a snapshot has named a higher term than the store's. */
  | 'term went back'
  /** A key is missing, or older than it was, and no change explains that. */
  | 'key lost'
  /** A value can't be decoded. */
  | 'value damaged';

export interface Evidence {
  readonly kind: EvidenceKind;
  /** What was observed and what was expected, for the log. */
  readonly description: string;
}

/** Path of requests for a controller's pre-loss views; codec.ts encodes the requests and responses. */
export const VIEW_PATH = '/view';
/** Path of notices that the content of pre-loss views is durable, so that their holders can discard the views. */
export const DURABLE_PATH = '/durable';
/** Path of requests to compare two controllers' views; see view-verification.ts. */
export const CHECK_PATH = '/check';
/** Path of copies of what a controller is about to confirm to a user; see evidence-store.ts. */
export const EVIDENCE_PATH = '/witness';

/** Sends a request to a peer and returns the body of its response. */
export interface ViewPort {
  request(peer: Peer, path: string, body: Buffer): Effect.Effect<Buffer, NoResponse>;
}
