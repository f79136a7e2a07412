/** Views between controllers: how the rebuilding leader asks for them, and what a controller answers. */
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
  type ViewHeader,
  type ViewResponse,
} from './codec.js';
import { digestOf, RANGES, rangeOf } from './digest.js';
import { type JobVersion, mergeVersions } from './merge.js';
import { versionsByJob, type PreLossView, type PreLossViews } from './pre-loss-views.js';
import { decodeJobEvidence, type EvidenceStore } from './evidence-store.js';
import { CHECK_PATH, DURABLE_PATH, EVIDENCE_PATH, VIEW_PATH, type ViewPort } from './model.js';

/** Jobs and final states in one answer: some 300 KB. */
const MAX_ITEMS = 800;

/** All that this node remembers and the asker's digest does not cover, from one range of ids on. */
export const answerViewRequest = (
  request: ViewRequest,
  preLossViews: readonly PreLossView[],
  jobState: JobState,
  evidenceStore: EvidenceStore,
): ViewResponse => {
  const versions = versionsByJob(preLossViews, evidenceStore.versions());
  const merged: Job[] = [...versions.values()].map((list) => mergeVersions(list));
  const finals = [...jobState.finalStates.entries(), ...evidenceStore.finals()];
  const mine = digestOf(merged, finals);
  const headers: ViewHeader[] = preLossViews.map((view) => ({
    id: view.id,
    lastSeq: view.lastSeq,
    term: view.term,
    ledTerm: view.ledTerm,
    accounts: view.accounts,
  }));
  const ids = new Map<number, { versions: JobVersion[]; finals: (readonly [string, FinalState])[] }>();
  const at = (id: string) => {
    const range = rangeOf(id);
    let r = ids.get(range);
    if (!r) ids.set(range, (r = { versions: [], finals: [] }));
    return r;
  };
  for (const [id, list] of versions) at(id).versions.push(...list);
  for (const f of finals) at(f[0]).finals.push(f);
  const out: { versions: JobVersion[]; finals: (readonly [string, FinalState])[] } = {
    versions: [],
    finals: [],
  };
  let range = Math.max(0, request.from);
  for (; range < RANGES; range++) {
    if (
      mine[range * 2] === request.digest[range * 2] &&
      mine[range * 2 + 1] === request.digest[range * 2 + 1]
    )
      continue;
    if (out.versions.length + out.finals.length >= MAX_ITEMS) break;
    const there = ids.get(range);
    if (!there) continue;
    out.versions.push(...there.versions);
    out.finals.push(...there.finals);
  }
  return {
    headers,
    ...out,
    next: range < RANGES ? range : null,
    calendar: request.from === 0 ? jobState.calendars.remembered() : null,
  };
};

/** Answers what other controllers ask of this one's memory; null: the request is none of these. */
export const viewHandler = (
  preLossViews: PreLossViews,
  /** This node's present view, if it is of another incarnation than the asker's. */
  live: (incarnation: string) => PreLossView | null,
  jobState: JobState,
  evidenceStore: EvidenceStore,
  /** See view-verification.ts. */
  check: (body: Buffer) => Buffer | null,
) => {
  const octets = (body: Buffer): Answer => ({
    status: 200,
    body,
    headers: { 'Content-Type': 'application/msgpack' },
  });
  return (incoming: Incoming): Answer | null => {
    if (incoming.path === VIEW_PATH) {
      const request = incoming.body === null ? null : decodeViewRequest(incoming.body);
      if (request === null) return json(400, {});
      const own = live(request.incarnation);
      return octets(
        encodeViewResponse(
          answerViewRequest(
            request,
            own === null ? preLossViews.all : [...preLossViews.all, own],
            jobState,
            evidenceStore,
          ),
        ),
      );
    }
    if (incoming.path === EVIDENCE_PATH) {
      const evidence = incoming.body === null ? null : decodeJobEvidence(incoming.body);
      if (evidence === null) return json(400, {});
      evidenceStore.record(evidence);
      return octets(Buffer.alloc(0));
    }
    if (incoming.path === CHECK_PATH) {
      const answer = incoming.body === null ? null : check(incoming.body);
      return answer === null ? json(400, {}) : octets(answer);
    }
    if (incoming.path === DURABLE_PATH) {
      const ids = incoming.body === null ? null : decodeDurable(incoming.body);
      if (ids === null) return json(400, {});
      preLossViews.drop(ids);
      return octets(encodeDurable(ids));
    }
    return null;
  };
};

/** All that a peer remembers and `digest` does not cover, asked for range by range. */
export const fetchView = (
  port: ViewPort,
  peer: Peer,
  incarnation: string,
  digest: Uint32Array,
): Effect.Effect<ViewResponse, NoAnswer> => {
  const headers: ViewHeader[] = [];
  const versions: JobVersion[] = [];
  const finals: (readonly [string, FinalState])[] = [];
  let calendar: ViewResponse['calendar'] = null;
  const from = (range: number): Effect.Effect<ViewResponse, NoAnswer> =>
    port.ask(peer, VIEW_PATH, encodeViewRequest({ incarnation, digest, from: range })).pipe(
      Effect.flatMap((body) => {
        const response = decodeViewResponse(body);
        if (response === null) return Effect.fail(new NoAnswer({ reason: 'not a view' }));
        headers.splice(0, headers.length, ...response.headers);
        versions.push(...response.versions);
        finals.push(...response.finals);
        calendar ??= response.calendar;
        return response.next === null
          ? Effect.succeed({ headers, versions, finals, next: null, calendar })
          : from(response.next);
      }),
    );
  return from(0);
};
