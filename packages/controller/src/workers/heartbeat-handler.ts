/** Responds to workers' heartbeats. The leader processes them; a follower forwards them to the leader. */
import { type HttpResponse, json, type FastPathHandler } from '@lilacvalve/runtime/http-server';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { recordAnomaly, countMetric } from '../metrics.js';
import type { Contacts } from '../leadership/contacts.js';
import type { Leadership } from '../leadership/leadership.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import {
  encodeOrders,
  type Heartbeat,
  HEARTBEAT_PATH,
  type HeartbeatReader,
  type HeartbeatResponses,
  type Order,
  type ReceiveHeartbeats,
  senderOf,
} from './codec.js';
import { responseAt } from './heartbeat-relay.js';
import type { Machine } from './machine.js';
import { fittingOrders } from './message-limits.js';
import type { WorkerRegistry } from './worker-registry.js';

/** What a leader's session provides to the heartbeat handler. */
export interface HeartbeatService {
  readonly registry: WorkerRegistry;
  /** Calls `callback` after the next scheduling cycle has run, or after a short maximum wait. */
  readonly afterNextCycle: (callback: () => void) => void;
}

/**
 * What a leader's session provides before a rebuild of the store is durable: leases are renewed and tasks of
 * cancelled jobs are stopped, but no other orders are sent.
 */
export interface LeaseRenewalService {
  readonly term: number;
  readonly isCancelled: (job: string) => boolean;
}

/**
 * Duration at the start of a term in which responses do not wait for a scheduling cycle: all leases must be
 * renewed then, and the first cycles take longest.
 */
const NO_WAIT_AFTER_TERM_START = seconds(3);
const NO_GRACE = 0 as Micros;

/** Response body of a heartbeat while only leases are renewed. */
const renewalResponse = (heartbeat: Heartbeat | null, service: LeaseRenewalService): string | null => {
  if (heartbeat === null) return null;
  const orders = heartbeat.tasks
    .filter(
      (task) => task.status !== 'exited' && service.isCancelled(task.key.slice(0, task.key.indexOf('/'))),
    )
    .map((task): Order => ({ op: 'stop', key: task.key, attempt: task.attempt, grace: NO_GRACE }));
  return orders.length === 0 ? '' : encodeOrders(service.term, fittingOrders(orders));
};

const renewalResponses = (
  heartbeats: readonly (Heartbeat | null)[],
  service: LeaseRenewalService,
): HeartbeatResponses => ({
  term: service.term,
  bodies: heartbeats.map((heartbeat) => renewalResponse(heartbeat, service)),
});

/** Applies a heartbeat to the registry; null if it is malformed or stale. */
const applyHeartbeat = (
  registry: WorkerRegistry,
  heartbeat: Heartbeat | null,
  at: Micros,
): Machine | null => {
  if (heartbeat === null) return null;
  const machine = registry.applyHeartbeat(heartbeat, at);
  if (machine === null)
    recordAnomaly('late', 'stale heartbeat', () => ({
      machine: heartbeat.machine,
      incarnation: heartbeat.incarnation,
      sequence: heartbeat.sequence,
      fencingToken: heartbeat.fencingToken,
    }));
  return machine;
};

const responseTo = (
  registry: WorkerRegistry,
  heartbeat: Heartbeat | null,
  machine: Machine | null,
  includeStarts: boolean,
): string | null => {
  if (heartbeat === null) return null;
  // The registry has a newer heartbeat of this worker by now, so orders derived from it must not go out with this
  // response.
  if (
    machine === null ||
    machine.sequence !== heartbeat.sequence ||
    machine.incarnation !== heartbeat.incarnation
  )
    return '';
  const orders = registry.ordersFor(machine, includeStarts);
  return orders.length === 0 ? '' : encodeOrders(registry.term, orders);
};

/** Processes heartbeats, whether they came directly or through another controller, and builds their responses. */
export const heartbeatReceiver =
  (
    leadership: Pick<Leadership, 'respondingTerm' | 'currentTerm' | 'mayStart' | 'depose'>,
    currentService: () => HeartbeatService | LeaseRenewalService | null,
    clock: () => Micros,
    contacts: Contacts,
    lossDetector: Pick<DataLossDetector, 'noteToken' | 'suspected'>,
  ): ReceiveHeartbeats =>
  (heartbeats, sendResponses) => {
    const at = clock();
    for (const heartbeat of heartbeats) {
      if (heartbeat === null) continue;
      contacts.recordContact(heartbeat.machine, at);
      leadership.depose(heartbeat.fencingToken);
      lossDetector.noteToken(heartbeat.fencingToken, heartbeat.machine);
    }
    const leaderTerm = leadership.respondingTerm();
    const service = currentService();
    if (leaderTerm === null || service === null) return sendResponses(null);
    const term = leaderTerm.number;
    if (!('registry' in service))
      return sendResponses(service.term === term ? renewalResponses(heartbeats, service) : null);
    const { registry } = service;
    if (registry.term !== term) return sendResponses(null);
    // While a data loss is suspected, committed state may be gone, so only leases are renewed. Tasks of cancelled
    // jobs are still stopped: they must exit within a fixed time, and renewing their worker's lease must not
    // extend it.
    if (lossDetector.suspected) {
      for (const heartbeat of heartbeats) if (heartbeat !== null) registry.renewLeaseOnly(heartbeat, at);
      const isCancelled = (id: string): boolean => registry.isCancelled(id);
      return sendResponses(renewalResponses(heartbeats, { term, isCancelled }));
    }
    const machines = heartbeats.map((heartbeat) => applyHeartbeat(registry, heartbeat, at));
    const respondWithOrders = (): void => {
      if (leadership.respondingTerm()?.number !== term) return sendResponses(null);
      const includeStarts = leadership.mayStart();
      const bodies = heartbeats.map((heartbeat, index) =>
        responseTo(registry, heartbeat, machines[index] ?? null, includeStarts),
      );
      sendResponses({ term, bodies });
    };
    // If a heartbeat triggers a scheduling cycle, its response waits briefly for that cycle: a start on the freed
    // resources is then dispatched with this response instead of the next one.
    const waitForCycle =
      registry.needsCycle &&
      at - leaderTerm.began > NO_WAIT_AFTER_TERM_START &&
      leadership.currentTerm() !== null;
    if (waitForCycle) service.afterNextCycle(respondWithOrders);
    else respondWithOrders();
  };

/**
 * Handles requests to the workers' address. The leader responds itself, a follower forwards the heartbeat, and a
 * worker that should talk to another controller is redirected (status 421).
 */
export const heartbeatHandler =
  (
    receive: ReceiveHeartbeats,
    isLeader: () => boolean,
    forward: (heartbeat: Buffer, reply: (response: HttpResponse) => void) => void,
    redirect: (machine: string) => string | null,
    noteContact: (machine: string) => void,
    reader: HeartbeatReader,
  ): FastPathHandler =>
  (request, reply) => {
    if (request.method !== 'POST' || request.path !== HEARTBEAT_PATH) return false;
    countMetric('reports');
    const { body } = request;
    if (body === null) {
      recordAnomaly('malformed', 'heartbeat too large', () => ({}));
      reply(json(400, { error: 'body too large' }));
      return true;
    }
    const sender = senderOf(body);
    const target = sender === null ? null : redirect(sender);
    if (target !== null) {
      reply(json(421, { answerTo: target }));
      return true;
    }
    if (sender !== null) noteContact(sender);
    if (isLeader()) {
      const heartbeat = reader.read(body);
      if (heartbeat === null) recordAnomaly('malformed', 'malformed heartbeat', () => ({ machine: sender }));
      receive([heartbeat], (responses) => {
        if (responses === null) forward(body, reply);
        else reply(responseAt(responses, 0));
      });
    } else forward(body, reply);
    return true;
  };
