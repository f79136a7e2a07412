/** Exchange of pre-loss views: the rebuilding leader's requests, and the other controllers' handler of these requests. */
import { type HttpResponse, type HttpRequest, json } from '@lilacvalve/runtime/http-server';
import { NoResponse } from '@lilacvalve/runtime/http-client';
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

/** Number of jobs and final states at which a response takes no further range. Its size is then about 300 KB. */
const MAX_ITEMS = 800;

/** Returns what this controller remembers in the ranges whose digest differs from the request's, up to `MAX_ITEMS`. */
export const respondToViewRequest = (
  request: ViewRequest,
  preLossViews: readonly PreLossView[],
  jobState: JobState,
  evidenceStore: EvidenceStore,
): ViewResponse => {
  const versions = versionsByJob(preLossViews, evidenceStore.versions());
  const merged: Job[] = [...versions.values()].map((list) => mergeVersions(list));
  const finals = [...jobState.finalStates.entries(), ...evidenceStore.finals()];
  const ownDigest = digestOf(merged, finals);
  const headers: ViewHeader[] = preLossViews.map((view) => ({
    id: view.id,
    lastSequence: view.lastSequence,
    term: view.term,
    ledTerm: view.ledTerm,
    accounts: view.accounts,
  }));
  const ranges = new Map<number, { versions: JobVersion[]; finals: (readonly [string, FinalState])[] }>();
  const itemsInRangeOf = (id: string) => {
    const range = rangeOf(id);
    let items = ranges.get(range);
    if (!items) ranges.set(range, (items = { versions: [], finals: [] }));
    return items;
  };
  for (const [id, list] of versions) itemsInRangeOf(id).versions.push(...list);
  for (const final of finals) itemsInRangeOf(final[0]).finals.push(final);
  const selected: { versions: JobVersion[]; finals: (readonly [string, FinalState])[] } = {
    versions: [],
    finals: [],
  };
  let range = Math.max(0, request.from);
  for (; range < RANGES; range++) {
    if (
      ownDigest[range * 2] === request.digest[range * 2] &&
      ownDigest[range * 2 + 1] === request.digest[range * 2 + 1]
    )
      continue;
    if (selected.versions.length + selected.finals.length >= MAX_ITEMS) break;
    const items = ranges.get(range);
    if (!items) continue;
    selected.versions.push(...items.versions);
    selected.finals.push(...items.finals);
  }
  return {
    headers,
    ...selected,
    next: range < RANGES ? range : null,
    calendar: request.from === 0 ? jobState.calendars.remembered() : null,
  };
};

/** Returns the handler of the requests that other controllers send by `ViewPort`. It returns null for any other request. */
export const viewHandler = (
  preLossViews: PreLossViews,
  /** Captures this controller's present view if it belongs to another incarnation than `incarnation`; null otherwise. */
  captureCurrentView: (incarnation: string) => PreLossView | null,
  jobState: JobState,
  evidenceStore: EvidenceStore,
  /** Responds to a comparison of views; see `respondToCheckRequest`. */
  handleCheckRequest: (body: Buffer) => Buffer | null,
) => {
  const binaryResponse = (body: Buffer): HttpResponse => ({
    status: 200,
    body,
    headers: { 'Content-Type': 'application/msgpack' },
  });
  return (incoming: HttpRequest): HttpResponse | null => {
    if (incoming.path === VIEW_PATH) {
      const request = incoming.body === null ? null : decodeViewRequest(incoming.body);
      if (request === null) return json(400, {});
      const currentView = captureCurrentView(request.incarnation);
      return binaryResponse(
        encodeViewResponse(
          respondToViewRequest(
            request,
            currentView === null ? preLossViews.all : [...preLossViews.all, currentView],
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
      return binaryResponse(Buffer.alloc(0));
    }
    if (incoming.path === CHECK_PATH) {
      const response = incoming.body === null ? null : handleCheckRequest(incoming.body);
      return response === null ? json(400, {}) : binaryResponse(response);
    }
    if (incoming.path === DURABLE_PATH) {
      const ids = incoming.body === null ? null : decodeDurable(incoming.body);
      if (ids === null) return json(400, {});
      preLossViews.drop(ids);
      return binaryResponse(encodeDurable(ids));
    }
    return null;
  };
};

/** Requests everything that a peer remembers in the ranges whose digest differs from `digest`; repeats while ranges are left. */
export const fetchView = (
  port: ViewPort,
  peer: Peer,
  incarnation: string,
  digest: Uint32Array,
): Effect.Effect<ViewResponse, NoResponse> => {
  const headers: ViewHeader[] = [];
  const versions: JobVersion[] = [];
  const finals: (readonly [string, FinalState])[] = [];
  let calendar: ViewResponse['calendar'] = null;
  const fetchFrom = (range: number): Effect.Effect<ViewResponse, NoResponse> =>
    port.request(peer, VIEW_PATH, encodeViewRequest({ incarnation, digest, from: range })).pipe(
      Effect.flatMap((body) => {
        const response = decodeViewResponse(body);
        if (response === null)
          return Effect.fail(new NoResponse({ reason: 'the view response cannot be decoded' }));
        headers.splice(0, headers.length, ...response.headers);
        versions.push(...response.versions);
        finals.push(...response.finals);
        calendar ??= response.calendar;
        return response.next === null
          ? Effect.succeed({ headers, versions, finals, next: null, calendar })
          : fetchFrom(response.next);
      }),
    );
  return fetchFrom(0);
};
