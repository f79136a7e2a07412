/** The three addresses that a controller answers: users, workers, and the other controllers. */
import { type Answer, type Incoming, json, type Quick, retryLater } from '@lilacvalve/runtime/http-server';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import type { ApiContext } from './api/api-context.js';
import { userHandlers } from './api/handlers.js';
import { POLL_PREFIX, route, SUBMIT_PATH, workOf } from './api/router.js';
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

/** No leader is known, or it does not answer: the worker tries the next node. */
const leaderless = retryLater('no leader');
/** In its first seconds a leader answers all who come: being sent on would cost them time twice. */
const NEW_LEADER = seconds(10);

/** Users: work is taken on as far as the node keeps up with it. */
export const userListener = (context: ApiContext, admission: Admission, unready: () => string | null) => {
  const answer = route(userHandlers(context), unready);
  return (r: Incoming): Effect.Effect<Answer> => {
    const work = workOf(r);
    if (work === null) return answer(r);
    const job = work === 'poll' ? r.path.slice(POLL_PREFIX.length) : null;
    const refusal = admission.enter(work, job, r.path === SUBMIT_PATH);
    if (refusal !== null) return Effect.succeed(refusal);
    return Effect.ensuring(
      answer(r),
      Effect.sync(() => admission.leave(work)),
    );
  };
};

export interface WorkerListenerParts {
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

/** Workers: reports are answered here, passed to the leader, or sent to a better node. */
export const workerListener = (
  p: WorkerListenerParts,
): { readonly quick: Quick; readonly run: Effect.Effect<never> } => {
  const { settings, peers, leadership, admission, clock } = p;
  const places = new HeartbeatRouting(
    settings.label,
    [settings.label, ...settings.peers.map((x) => x.label)].sort(),
  );
  const leader = (): Peer | null => {
    const label = leadership.knownLeader();
    const peer = settings.peers.find((x) => x.label === label);
    return peer !== undefined && peers.isReachable(peer.label) ? peer : null;
  };
  const relay = new HeartbeatRelay(p.relay, leader, (label) => peers.recordResponse(label), clock);
  const reports = heartbeatHandler(
    p.receive,
    () => p.sessions.heartbeatService !== null && leadership.answeringTerm() !== null,
    (report, reply) => (leader() === null ? reply(leaderless) : relay.forward(report, reply)),
    (machine) => {
      const leaderTerm = leadership.currentTerm();
      const at = clock();
      if (leaderTerm !== null && at - leaderTerm.began < NEW_LEADER) return null;
      const leads = leaderTerm !== null ? settings.label : (leader()?.label ?? null);
      return places.redirect(machine, leads, (n) => peers.isReachable(n), at);
    },
    (machine) => p.contacts.recordContact(machine, clock()),
    new HeartbeatReader(),
  );
  const quick: Quick = (r, reply) => {
    if (r.path !== HEARTBEAT_PATH || r.method !== 'POST') return false;
    const refusal = admission.enter('report');
    if (refusal !== null) {
      reply(refusal);
      return true;
    }
    let inside = true;
    const leave = (): void => {
      if (inside) admission.leave('report');
      inside = false;
    };
    try {
      return reports(r, (a) => {
        leave();
        reply(a);
      });
    } catch (e) {
      leave();
      throw e;
    }
  };
  return { quick, run: relay.run };
};

/** Other controllers: beats, reports that they pass on, and what a rebuild asks. */
export const peerListener = (
  peers: Peers,
  receive: ReceiveHeartbeats,
  views: (r: Incoming) => Answer | null,
) => {
  const relayed = relayHandler(receive, new HeartbeatReader());
  const answer = (r: Incoming): Answer => {
    if (r.method !== 'POST') return json(405, {}, { Allow: 'POST' });
    if (r.path !== '/beat') return views(r) ?? json(404, {});
    countMetric('beats');
    return respondToHeartbeat(peers, r.body);
  };
  return {
    quick: ((r, reply) => {
      if (r.method === 'POST' && r.path === '/relay') return relayed(r, reply);
      if (r.path !== '/beat') return false;
      reply(answer(r));
      return true;
    }) as Quick,
    handle: (r: Incoming): Effect.Effect<Answer> => Effect.sync(() => answer(r)),
  };
};
