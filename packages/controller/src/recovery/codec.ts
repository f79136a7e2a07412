/** Encodes the messages between the rebuilding leader and the other controllers as msgpack. Malformed input decodes to null. */
import { pack, unpack } from 'msgpackr';
import { decodeAccounts, encodeAccounts } from '../accounts/codec.js';
import { type Accounts, NO_ACCOUNTS } from '../accounts/model.js';
import { decodeJob, encodeJob } from '../jobs/codec.js';
import { packFinalState, unpackFinalState } from '../jobs/final-states.js';
import type { FinalState } from '../jobs/model.js';
import type { RememberedCalendar } from '../calendar/calendars.js';
import { decodeRemembered, encodeRemembered } from './calendar-recovery.js';
import type { JobVersion } from './merge.js';

/** Requests the jobs and final states that the receiver remembers differently from the sender, from one range of ids on. */
export interface ViewRequest {
  /** The sender's incarnation. */
  readonly incarnation: string;
  /** Digest of what the sender knows, by range; see digest.ts. */
  readonly digest: Uint32Array;
  /** The first range requested. */
  readonly from: number;
}
/** A pre-loss view without its jobs; the fields are those of `PreLossView`. */
export interface ViewHeader {
  readonly id: string;
  readonly lastSequence: number;
  readonly term: number;
  readonly ledTerm: number | null;
  readonly accounts: Accounts;
}
/** What the responding controller remembers, up to the size limit of one response. */
export interface ViewResponse {
  readonly headers: readonly ViewHeader[];
  readonly versions: readonly JobVersion[];
  readonly finals: readonly (readonly [string, FinalState])[];
  /** The first range of the next request; null if nothing is left. */
  readonly next: number | null;
  /** What the controller remembers of the calendar; in the first response only. */
  readonly calendar: RememberedCalendar | null;
}

/** Maximum size of one value of a view's encoded accounts, in bytes; the same as that of a checkpoint in the store. */
const MAX_ACCOUNTS_BYTES = 14 * 1024;

type WireVersion = [id: string, generation: number, revision: number, job: unknown];

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
      response.headers.map((header) => [
        header.id,
        header.lastSequence,
        header.term,
        header.ledTerm,
        encodeAccounts(header.accounts, MAX_ACCOUNTS_BYTES),
      ]),
      response.versions.map((version): WireVersion => [
        version.job.spec.id,
        version.generation,
        version.revision,
        encodeJob(version.job, 0),
      ]),
      response.finals.map(([id, final]) => [id, packFinalState(final)]),
      response.next,
      response.calendar === null ? null : encodeRemembered(response.calendar),
    ]),
  );
export const decodeViewResponse = (body: Buffer): ViewResponse | null => {
  try {
    const [headers, versions, finals, next, calendar] = unpack(body) as [
      [string, number, number, number | null, unknown[]][],
      WireVersion[],
      [string, number][],
      number | null,
      unknown,
    ];
    return {
      headers: headers.map(([id, lastSequence, term, ledTerm, accounts]) => ({
        id,
        lastSequence,
        term,
        ledTerm,
        accounts: decodeAccounts(accounts) ?? NO_ACCOUNTS,
      })),
      versions: versions.map(([id, generation, revision, job]) => ({
        generation,
        revision,
        job: decodeJob(id, job, 0),
      })),
      finals: finals.map(([id, packed]) => [id, unpackFinalState(packed)] as const),
      next,
      calendar: decodeRemembered(calendar),
    };
  } catch {
    return null;
  }
};

/** Encodes the ids of pre-loss views whose content is durable. */
export const encodeDurable = (ids: readonly string[]): Buffer => Buffer.from(pack(ids));
export const decodeDurable = (body: Buffer): string[] | null => {
  try {
    const ids: unknown = unpack(body);
    return Array.isArray(ids) && ids.every((id) => typeof id === 'string') ? (ids as string[]) : null;
  } catch {
    return null;
  }
};
