/** Answers workers' heartbeats: the leader itself, a follower by forwarding them to the leader. */
import { type Answer, json, type Quick } from '@lilacvalve/runtime/http-server';
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
import type { WorkerRegistry } from './worker-registry.js';

/** What the leader's session offers to the heartbeat handler. */
export interface HeartbeatService {
  readonly registry: WorkerRegistry;
  /** Calls back when the next scheduling cycle has run, or soon after. */
  readonly afterNextCycle: (then: () => void) => void;
}

/**
 * What it offers before a rebuild is durable: leases are renewed, and what users cancelled is stopped; nothing else is
 * ordered.
 */
export interface LeaseRenewalService {
  readonly term: number;
  readonly isCancelled: (job: string) => boolean;
}

/**
 * In a term's first seconds responses don't wait for a cycle: all leases are to be renewed then, and the first cycles are the
 * longest.
 */
const NEW_TERM = seconds(3);
const AT_ONCE = 0 as Micros;

/** The response while only leases are renewed. */
const renewalResponse = (heartbeat: Heartbeat | null, service: LeaseRenewalService): string | null => {
  if (heartbeat === null) return null;
  const orders = heartbeat.tasks
    .filter((t) => t.status !== 'exited' && service.isCancelled(t.key.slice(0, t.key.indexOf('/'))))
    .map((t): Order => ({ op: 'stop', key: t.key, attempt: t.attempt, grace: AT_ONCE }));
  return orders.length === 0 ? '' : encodeOrders(service.term, orders);
};

const renewalResponses = (
  heartbeats: readonly (Heartbeat | null)[],
  service: LeaseRenewalService,
): HeartbeatResponses => ({
  term: service.term,
  bodies: heartbeats.map((h) => renewalResponse(h, service)),
});

/** Takes a heartbeat in; null: it is malformed or stale. */
const apply = (registry: WorkerRegistry, heartbeat: Heartbeat | null, at: Micros): Machine | null => {
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
  starts: boolean,
): string | null => {
  if (heartbeat === null) return null;
  // Older than what is known by now: this response must not carry what belongs to a newer heartbeat's.
  if (
    machine === null ||
    machine.sequence !== heartbeat.sequence ||
    machine.incarnation !== heartbeat.incarnation
  )
    return '';
  const orders = registry.ordersFor(machine, starts);
  return orders.length === 0 ? '' : encodeOrders(registry.term, orders);
};

/** Takes heartbeats in, whichever controller they came to, and says what the responses are. */
export const heartbeatReceiver =
  (
    leadership: Pick<Leadership, 'answeringTerm' | 'currentTerm' | 'mayStart' | 'depose'>,
    currentService: () => HeartbeatService | LeaseRenewalService | null,
    clock: () => Micros,
    contacts: Contacts,
    lossDetector: Pick<DataLossDetector, 'noteToken' | 'suspected'>,
  ): ReceiveHeartbeats =>
  (heartbeats, answer) => {
    const at = clock();
    for (const heartbeat of heartbeats) {
      if (heartbeat === null) continue;
      contacts.recordContact(heartbeat.machine, at);
      leadership.depose(heartbeat.fencingToken);
      lossDetector.noteToken(heartbeat.fencingToken, heartbeat.machine);
    }
    const leaderTerm = leadership.answeringTerm();
    const service = currentService();
    if (leaderTerm === null || service === null) return answer(null);
    const term = leaderTerm.number;
    if (!('registry' in service))
      return answer(service.term === term ? renewalResponses(heartbeats, service) : null);
    const { registry } = service;
    if (registry.term !== term) return answer(null);
    // What was durable may not be any more: only the lease is renewed until that is known. What users cancelled is stopped
    // all the same: its time runs on, and whoever renews leases must not carry it past that.
    if (lossDetector.suspected) {
      for (const heartbeat of heartbeats) if (heartbeat !== null) registry.renewLeaseOnly(heartbeat, at);
      const isCancelled = (id: string): boolean => registry.isCancelled(id);
      return answer(renewalResponses(heartbeats, { term, isCancelled }));
    }
    const machines = heartbeats.map((h) => apply(registry, h, at));
    const respond = (): void => {
      if (leadership.answeringTerm()?.number !== term) return answer(null);
      const starts = leadership.mayStart();
      const bodies = heartbeats.map((h, i) => responseTo(registry, h, machines[i] ?? null, starts));
      answer({ term, bodies });
    };
    // A cycle that a heartbeat calls for is waited for, shortly: the freed room's new start then goes out at once instead of
    // a heartbeat later.
    const waits =
      registry.needsCycle && at - leaderTerm.began > NEW_TERM && leadership.currentTerm() !== null;
    if (waits) service.afterNextCycle(respond);
    else respond();
  };

/**
 * The workers' address. The leader answers by itself, a follower forwards the heartbeat; a worker that another controller
 * should answer is redirected (421).
 */
export const heartbeatHandler =
  (
    receive: ReceiveHeartbeats,
    isLeader: () => boolean,
    forward: (heartbeat: Buffer, reply: (a: Answer) => void) => void,
    redirect: (machine: string) => string | null,
    noteContact: (machine: string) => void,
    reader: HeartbeatReader,
  ): Quick =>
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
