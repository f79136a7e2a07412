/**
 * Routes requests to the address shared by users and workers. Heartbeats are handled before they reach the router.
 */
import { type HttpResponse, type HttpRequest, json, retryLater } from '@lilacvalve/runtime/http-server';
import { Effect } from 'effect';
import { JOB_ID } from '../jobs/submission-codec.js';
import { countMetric } from '../metrics.js';
import type { WorkClass } from '../overload/model.js';
import { HEARTBEAT_PATH } from '../workers/codec.js';
import type { UserHandlers } from './handlers.js';

const READY_PATH = '/ready';
/** Path for submissions. */
export const SUBMIT_PATH = '/work';
/** Path prefix of polls; the job's id follows. */
export const POLL_PREFIX = '/work/';
const JOB_PATH = /^\/work\/([^/]+)(\/withdraw)?$/;

/** The class that admission control assigns to a request; null if it is served at any load. */
export const workClassOf = (request: HttpRequest): WorkClass | null => {
  if (!request.path.startsWith(SUBMIT_PATH)) return null;
  // A cancellation writes like a submission, and stops tasks whose results are no longer needed.
  return request.method === 'POST' ? 'submission' : 'poll';
};

const metricOf = (path: string) =>
  path === READY_PATH ? 'probes' : path === SUBMIT_PATH ? 'submissions' : 'polls';

const methodNotAllowed = (allow: string): Effect.Effect<HttpResponse> =>
  Effect.succeed(json(405, { error: 'method not allowed' }, { Allow: allow }));

const readiness = (unready: () => string | null): HttpResponse => {
  const reason = unready();
  return reason === null ? json(200, { ready: true }) : retryLater(reason);
};

/**
 * Routes requests by path. `unready` returns the reason why this controller cannot serve requests, or null if it
 * can.
 */
export const route =
  (users: UserHandlers, unready: () => string | null) =>
  (request: HttpRequest): Effect.Effect<HttpResponse> => {
    const { method, path } = request;
    countMetric(metricOf(path));
    if (path === HEARTBEAT_PATH) return methodNotAllowed('POST');
    if (path === READY_PATH)
      return method === 'GET' ? Effect.succeed(readiness(unready)) : methodNotAllowed('GET');
    if (path === SUBMIT_PATH) return method === 'POST' ? users.submit(request) : methodNotAllowed('POST');
    return routeJob(users, method, path);
  };

/** Routes the paths of a job: its state and its cancellation. */
const routeJob = (users: UserHandlers, method: string, path: string): Effect.Effect<HttpResponse> => {
  const match = JOB_PATH.exec(path);
  if (!match?.[1]) return Effect.succeed(json(404, { error: 'no such path' }));
  const [, id, cancellation] = match;
  const expected = cancellation ? 'POST' : 'GET';
  if (method !== expected) return methodNotAllowed(expected);
  if (!JOB_ID.test(id)) return Effect.succeed(json(404, { error: 'no such job' }));
  return cancellation ? users.cancel(id) : users.poll(id);
};
