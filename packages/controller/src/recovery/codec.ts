/** What the rebuilding leader and the other controllers send each other, as msgpack. Other bytes are decoded to null. */
import { pack, unpack } from 'msgpackr';
import { decodeAccounts, encodeAccounts } from '../accounts/codec.js';
import { type Accounts, NO_ACCOUNTS } from '../accounts/model.js';
import { decodeJob, encodeJob } from '../jobs/codec.js';
import { packFinalState, unpackFinalState } from '../jobs/final-states.js';
import type { FinalState } from '../jobs/model.js';
import type { Remembered } from '../calendar/calendars.js';
import { decodeRemembered, encodeRemembered } from './calendar-recovery.js';
import type { JobVersion } from './merge.js';

/** Asks for what the asked node remembers and the asker does not have the same, from a range of ids on. */
export interface ViewRequest {
  /** The asker's incarnation. */
  readonly incarnation: string;
  readonly digest: Uint32Array;
  readonly from: number;
}
/** One pre-loss view without its jobs. */
export interface ViewHeader {
  readonly id: string;
  readonly lastSeq: number;
  readonly term: number;
  readonly ledTerm: number | null;
  readonly accounts: Accounts;
}
/** What the asked node remembers, as far as one response holds. */
export interface ViewResponse {
  readonly headers: readonly ViewHeader[];
  readonly versions: readonly JobVersion[];
  readonly finals: readonly (readonly [string, FinalState])[];
  /** The range to go on from; null: that was all. */
  readonly next: number | null;
  /** What it remembers of the calendar; with the first answer only. */
  readonly calendar: Remembered | null;
}

/** As large as in the store, so that a view's accounts never take more than a checkpoint may. */
const ACCOUNTS_BYTES = 14 * 1024;

type WireClaim = [id: string, generation: number, revision: number, job: unknown];

export const encodeViewRequest = (request: ViewRequest): Buffer =>
  Buffer.from(pack([request.incarnation, [...request.digest], request.from]));
export const decodeViewRequest = (body: Buffer): ViewRequest | null => {
  try {
    const [incarnation, digest, from] = unpack(body) as [string, number[], number];
    if (typeof incarnation !== 'string' || !Array.isArray(digest) || !Number.isSafeInteger(from)) return null;
    return { incarnation, digest: Uint32Array.from(digest), from };
  } catch {
    return null;
  }
};

export const encodeViewResponse = (response: ViewResponse): Buffer =>
  Buffer.from(
    pack([
      response.headers.map((h) => [
        h.id,
        h.lastSeq,
        h.term,
        h.ledTerm,
        encodeAccounts(h.accounts, ACCOUNTS_BYTES),
      ]),
      response.versions.map((c): WireClaim => [c.job.spec.id, c.generation, c.revision, encodeJob(c.job, 0)]),
      response.finals.map(([id, f]) => [id, packFinalState(f)]),
      response.next,
      response.calendar === null ? null : encodeRemembered(response.calendar),
    ]),
  );
export const decodeViewResponse = (body: Buffer): ViewResponse | null => {
  try {
    const [headers, versions, finals, next, calendar] = unpack(body) as [
      [string, number, number, number | null, unknown[]][],
      WireClaim[],
      [string, number][],
      number | null,
      unknown,
    ];
    return {
      headers: headers.map(([id, lastSeq, term, ledTerm, accounts]) => ({
        id,
        lastSeq,
        term,
        ledTerm,
        accounts: decodeAccounts(accounts) ?? NO_ACCOUNTS,
      })),
      versions: versions.map(([id, generation, revision, job]) => ({
        generation,
        revision,
        job: decodeJob(id, job, 0),
      })),
      finals: finals.map(([id, n]) => [id, unpackFinalState(n)] as const),
      next,
      calendar: decodeRemembered(calendar),
    };
  } catch {
    return null;
  }
};

/** Ids of pre-loss views whose content is durable by now. */
export const encodeDurable = (ids: readonly string[]): Buffer => Buffer.from(pack(ids));
export const decodeDurable = (body: Buffer): string[] | null => {
  try {
    const ids: unknown = unpack(body);
    return Array.isArray(ids) && ids.every((i) => typeof i === 'string') ? (ids as string[]) : null;
  } catch {
    return null;
  }
};
