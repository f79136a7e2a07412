/** Views between controllers: what a node tells the rebuilder, and how that one asks. */
import { type Answer, type Incoming, json } from '@lilacvalve/runtime/http-server';
import { NoAnswer } from '@lilacvalve/runtime/http-client';
import { Effect } from 'effect';
import type { JobState } from '../jobs/job-state.js';
import type { FinalState, Job } from '../jobs/model.js';
import type { Peer } from '../settings/settings.js';
import {
  type ViewRequest,
  decodeViewRequest,
  decodeDurable,
  decodeViewResponse,
  encodeViewRequest,
  encodeDurable,
  encodeViewResponse,
  type Head,
  type ViewResponse,
} from './codec.js';
import { digestOf, RANGES, rangeOf } from './digest.js';
import { type Claim, mergeClaims } from './merge.js';
import { claimsOf, type PreLossView, type PreLossViews } from './pre-loss-views.js';
import { CHECK } from './view-verification.js';
import { decodeFact, type EvidenceStore, WITNESS } from './evidence-store.js';

/** Jobs and final states in one answer: some 300 KB. */
const MOST = 800;
export const VIEW = '/view';
export const DURABLE = '/durable';

/** Carries a question to a peer and its answer back. */
export interface ViewPort {
  ask(peer: Peer, path: string, body: Buffer): Effect.Effect<Buffer, NoAnswer>;
}

/** A node's memory for whoever asks: its relics, and its view as long as that is of another incarnation than the asker's. */
export const told = (
  a: ViewRequest,
  relics: readonly PreLossView[],
  jobState: JobState,
  witness: EvidenceStore,
): ViewResponse => {
  const claims = claimsOf(relics, witness.claims());
  const merged: Job[] = [...claims.values()].map((list) => mergeClaims(list));
  const finals = [...jobState.finals.entries(), ...witness.finals()];
  const mine = digestOf(merged, finals);
  const heads: Head[] = relics.map((r) => ({
    id: r.id,
    lastSeq: r.lastSeq,
    term: r.term,
    led: r.led,
    accounts: r.accounts,
  }));
  const ids = new Map<number, { claims: Claim[]; finals: (readonly [string, FinalState])[] }>();
  const at = (id: string) => {
    const range = rangeOf(id);
    let r = ids.get(range);
    if (!r) ids.set(range, (r = { claims: [], finals: [] }));
    return r;
  };
  for (const [id, list] of claims) at(id).claims.push(...list);
  for (const f of finals) at(f[0]).finals.push(f);
  const out: { claims: Claim[]; finals: (readonly [string, FinalState])[] } = { claims: [], finals: [] };
  let range = Math.max(0, a.from);
  for (; range < RANGES; range++) {
    if (mine[range * 2] === a.digest[range * 2] && mine[range * 2 + 1] === a.digest[range * 2 + 1]) continue;
    if (out.claims.length + out.finals.length >= MOST) break;
    const there = ids.get(range);
    if (!there) continue;
    out.claims.push(...there.claims);
    out.finals.push(...there.finals);
  }
  return {
    heads,
    ...out,
    next: range < RANGES ? range : null,
    calendar: a.from === 0 ? jobState.calendars.remembered() : null,
  };
};

/** What other controllers ask of this one's memory. null: the question is none of these. */
export const viewHandler = (
  relics: PreLossViews,
  /** This node's view as a relic, if it is of another incarnation than the asker's. */
  live: (incarnation: string) => PreLossView | null,
  jobState: JobState,
  witness: EvidenceStore,
  /** See verify.ts. */
  check: (body: Buffer) => Buffer | null,
) => {
  const octets = (body: Buffer): Answer => ({
    status: 200,
    body,
    headers: { 'Content-Type': 'application/msgpack' },
  });
  return (r: Incoming): Answer | null => {
    if (r.path === VIEW) {
      const ask = r.body === null ? null : decodeViewRequest(r.body);
      if (ask === null) return json(400, {});
      const own = live(ask.incarnation);
      return octets(
        encodeViewResponse(told(ask, own === null ? relics.all : [...relics.all, own], jobState, witness)),
      );
    }
    if (r.path === WITNESS) {
      const fact = r.body === null ? null : decodeFact(r.body);
      if (fact === null) return json(400, {});
      witness.note(fact);
      return octets(Buffer.alloc(0));
    }
    if (r.path === CHECK) {
      const answer = r.body === null ? null : check(r.body);
      return answer === null ? json(400, {}) : octets(answer);
    }
    if (r.path === DURABLE) {
      const ids = r.body === null ? null : decodeDurable(r.body);
      if (ids === null) return json(400, {});
      relics.drop(ids);
      return octets(encodeDurable(ids));
    }
    return null;
  };
};

/** All that a peer remembers and `digest` does not cover. */
export const askAll = (
  port: ViewPort,
  peer: Peer,
  incarnation: string,
  digest: Uint32Array,
): Effect.Effect<ViewResponse, NoAnswer> => {
  const heads: Head[] = [];
  const claims: Claim[] = [];
  const finals: (readonly [string, FinalState])[] = [];
  let calendar: ViewResponse['calendar'] = null;
  const from = (range: number): Effect.Effect<ViewResponse, NoAnswer> =>
    port.ask(peer, VIEW, encodeViewRequest({ incarnation, digest, from: range })).pipe(
      Effect.flatMap((body) => {
        const t = decodeViewResponse(body);
        if (t === null) return Effect.fail(new NoAnswer({ reason: 'not a view' }));
        heads.splice(0, heads.length, ...t.heads);
        claims.push(...t.claims);
        finals.push(...t.finals);
        calendar ??= t.calendar;
        return t.next === null
          ? Effect.succeed({ heads, claims, finals, next: null, calendar })
          : from(t.next);
      }),
    );
  return from(0);
};
