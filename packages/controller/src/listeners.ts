/** Request handlers of a controller's listeners: for users and workers, and for the other controllers. */
import {
  type HttpResponse,
  type HttpRequest,
  json,
  type FastPathHandler,
  retryLater,
} from '@lilacvalve/runtime/http-server';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import type { ApiContext } from './api/api-context.js';
import { userHandlers } from './api/handlers.js';
import { POLL_PREFIX, route, SUBMIT_PATH, workClassOf } from './api/router.js';
import type { Contacts } from './leadership/contacts.js';
import type { Leadership } from './leadership/leadership.js';
import { respondToHeartbeat, type Peers } from './leadership/peers.js';
import type { Admission } from './overload/admission.js';
import type { LeaderSessions } from './leadership/leader-session.js';
import type { Peer, Settings } from './settings/settings.js';
import { countMetric } from './metrics.js';
import { HEARTBEAT_PATH, HeartbeatReader, type ReceiveHeartbeats } from './workers/codec.js';
import { heartbeatHandler } from './workers/heartbeat-handler.js';
import { HeartbeatRouting } from './workers/heartbeat-routing.js';
import { HeartbeatRelay, relayHandler, type RelayPort } from './workers/heartbeat-relay.js';

/** No leader is known or reachable: the worker tries the next controller. */
const noLeaderResponse = retryLater('no leader');
/**
 * Duration at the start of a term in which the leader redirects no workers: a redirect would cost them time twice.
 */
const NO_REDIRECT_AFTER_TERM_START = seconds(10);

/** Handles users' requests, as far as admission control admits them. */
export const userListener = (context: ApiContext, admission: Admission, unready: () => string | null) => {
  const respond = route(userHandlers(context), unready);
  return (request: HttpRequest): Effect.Effect<HttpResponse> => {
    const workClass = workClassOf(request);
    if (workClass === null) return respond(request);
    const job = workClass === 'poll' ? request.path.slice(POLL_PREFIX.length) : null;
    const refusal = admission.enter(workClass, job, request.path === SUBMIT_PATH);
    if (refusal !== null) return Effect.succeed(refusal);
    return Effect.ensuring(
      respond(request),
      Effect.sync(() => admission.leave(workClass)),
    );
  };
};

/** Dependencies of the workers' listener. */
export interface WorkerListenerDependencies {
  readonly settings: Settings;
  readonly leadership: Leadership;
  readonly sessions: LeaderSessions;
  readonly peers: Peers;
  readonly contacts: Contacts;
  readonly admission: Admission;
  readonly relay: RelayPort;
  readonly receive: ReceiveHeartbeats;
  readonly clock: () => Micros;
}

/**
 * Handles workers' heartbeats: responds, forwards them to the leader, or redirects the worker to another
 * controller.
 */
export const workerListener = (
  dependencies: WorkerListenerDependencies,
): { readonly quick: FastPathHandler; readonly run: Effect.Effect<never> } => {
  const { settings, peers, leadership, admission, clock } = dependencies;
  const routing = new HeartbeatRouting(
    settings.label,
    [settings.label, ...settings.peers.map((peer) => peer.label)].sort(),
  );
  const reachableLeader = (): Peer | null => {
    const label = leadership.knownLeader();
    const peer = settings.peers.find((candidate) => candidate.label === label);
    return peer !== undefined && peers.isReachable(peer.label) ? peer : null;
  };
  const relay = new HeartbeatRelay(
    dependencies.relay,
    reachableLeader,
    (label) => peers.recordResponse(label),
    clock,
  );
  const handleHeartbeat = heartbeatHandler(
    dependencies.receive,
    () => dependencies.sessions.heartbeatService !== null && leadership.respondingTerm() !== null,
    (heartbeat, reply) =>
      reachableLeader() === null ? reply(noLeaderResponse) : relay.forward(heartbeat, reply),
    (machine) => {
      const leaderTerm = leadership.currentTerm();
      const at = clock();
      if (leaderTerm !== null && at - leaderTerm.began < NO_REDIRECT_AFTER_TERM_START) return null;
      const leaderLabel = leaderTerm !== null ? settings.label : (reachableLeader()?.label ?? null);
      return routing.redirect(machine, leaderLabel, (label) => peers.isReachable(label), at);
    },
    (machine) => dependencies.contacts.recordContact(machine, clock()),
    new HeartbeatReader(),
  );
  const quick: FastPathHandler = (request, reply) => {
    if (request.path !== HEARTBEAT_PATH || request.method !== 'POST') return false;
    const refusal = admission.enter('report');
    if (refusal !== null) {
      reply(refusal);
      return true;
    }
    let admitted = true;
    const leave = (): void => {
      if (admitted) admission.leave('report');
      admitted = false;
    };
    try {
      return handleHeartbeat(request, (response) => {
        leave();
        reply(response);
      });
    } catch (error) {
      leave();
      throw error;
    }
  };
  return { quick, run: relay.run };
};

/**
 * Handles requests of other controllers: peer heartbeats, relayed workers' heartbeats, and the requests of a
 * rebuild.
 */
export const peerListener = (
  peers: Peers,
  receive: ReceiveHeartbeats,
  views: (request: HttpRequest) => HttpResponse | null,
) => {
  const handleRelayed = relayHandler(receive, new HeartbeatReader());
  const respond = (request: HttpRequest): HttpResponse => {
    if (request.method !== 'POST') return json(405, {}, { Allow: 'POST' });
    if (request.path !== '/beat') return views(request) ?? json(404, {});
    countMetric('beats');
    return respondToHeartbeat(peers, request.body);
  };
  return {
    quick: ((request, reply) => {
      if (request.method === 'POST' && request.path === '/relay') return handleRelayed(request, reply);
      if (request.path !== '/beat') return false;
      reply(respond(request));
      return true;
    }) as FastPathHandler,
    handle: (request: HttpRequest): Effect.Effect<HttpResponse> => Effect.sync(() => respond(request)),
  };
};
