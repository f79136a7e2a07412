/**
 * The store's identity, and what controllers exchange about it. An incarnation of the store's data begins at the first
 * start, or with a rebuild after a loss; revisions, terms and attempts can be compared within one only. Its key is named after it and every
 * transaction is conditional on that key, so that one from before a loss can never find its conditions true by accident.
 */
import type { NoAnswer } from '@lilacvalve/runtime/http-client';
import type { Effect } from 'effect';
import type { Peer } from '../settings/settings.js';

export interface Incarnation {
  /** Random: no two have the same. */
  readonly id: string;
  /** 0 at the first start, one more with each rebuild. */
  readonly generation: number;
  /** Revision of its key. */
  readonly stamp: number;
  /** Its terms lie above this one: a first incarnation's begin at the time of day, so that none begins twice. */
  readonly termFloor: number;
  /** When it began, time of day in seconds; null: not known. */
  readonly bornAt: number | null;
}

/** The incarnation that is stored as `value` under a key of revision `stamp`. */
export const incarnationOf = (id: string, value: unknown, stamp: number): Incarnation => {
  const v = value as { g?: unknown; t?: unknown; s?: unknown } | null;
  const count = (n: unknown): number => (Number.isSafeInteger(n) ? (n as number) : 0);
  return {
    id,
    generation: count(v?.g),
    stamp,
    termFloor: count(v?.t),
    bornAt: v?.s === undefined ? null : count(v.s),
  };
};

/** Terms and attempts of a generation begin above all of the generations before, whatever of those is still known. */
const GENERATION = 2 ** 32;
/** Below all terms and attempts of a generation. */
export const firstOfGeneration = (generation: number): number => generation * GENERATION;
/** The generation of a term or an attempt. */
export const generationOf = (termOrAttempt: number): number => Math.floor(termOrAttempt / GENERATION);

/** A job is started in one record at a time, and there are fewer of these in a second. */
const ATTEMPTS_A_SECOND = 16;
/** A clock that was set back between two leaders: attempts of the second begin above the first's all the same. */
const ATTEMPTS_A_TERM = 256;
/**
 * What a term's attempts begin above: more than any earlier term of the incarnation can have used, whatever of its
 * records is lost or can't be read. They count the time since the incarnation began, which no loss sets back.
 * `before`: the last term's; null: there was none. `now`: time of day in seconds.
 */
export const attemptFloor = (i: Incarnation, before: number | null, now: number): number =>
  Math.max(
    firstOfGeneration(i.generation) +
      (i.bornAt !== null ? ATTEMPTS_A_SECOND * Math.max(0, Math.floor(now - i.bornAt)) : 0),
    before !== null ? before + ATTEMPTS_A_TERM : 0,
  );

/** What this node knows of the store, from its own reads, its peers and workers. */
export interface StoreKnowledge {
  /** The one this node's view is of; null: it has none. */
  readonly incarnation: Incarnation | null;
  /** The highest generation that this node or a peer has seen; -1: none. */
  readonly generation: number;
  /** The highest revision of the incarnation that this node or a peer has seen. */
  readonly revision: number;
  /** The highest term that a worker or a peer has named. */
  readonly term: number;
}

/** One short look at the store while a data loss is suspected. */
export interface Probe {
  readonly incarnations: readonly Incarnation[];
  /** The lowest revision that its reads said they were of. */
  readonly revision: number;
  readonly term: number;
}

/** What can't follow from what was known: why a data loss is suspected. */
export type EvidenceKind =
  /** An answer is as of an older revision than one seen before it was asked for. */
  | 'revision went back'
  /** The incarnation's key is gone, or another stands there. */
  | 'other incarnation'
  /** Somebody has named a higher term than the store's. */
  | 'term went back'
  /** A key is missing, or older than it was, and no change tells why. */
  | 'key lost'
  /** A value can't be read. */
  | 'value damaged';

export interface Evidence {
  readonly kind: EvidenceKind;
  readonly what: string;
}

/** Paths on which controllers ask each other, with the requests and responses of codec.ts. */
export const VIEW_PATH = '/view';
/** Content is durable: the views that held it can be forgotten. */
export const DURABLE_PATH = '/durable';
/** Two views are compared; see view-verification.ts. */
export const CHECK_PATH = '/check';
/** What a user is about to be told; see evidence-store.ts. */
export const EVIDENCE_PATH = '/witness';

/** Carries a request to a peer and its response back. */
export interface ViewPort {
  ask(peer: Peer, path: string, body: Buffer): Effect.Effect<Buffer, NoAnswer>;
}
