/** Answers reports while this node leads, and sends urgent stops directly. */
import * as http from 'node:http';
import { Effect } from 'effect';
import { type Answer, json, type Quick } from '@lilacvalve/runtime/http-server';
import { HttpClient } from '@lilacvalve/runtime/http-client';
import { type Micros, seconds } from '@lilacvalve/runtime/micros';
import { recordAnomaly, countMetric } from '../metrics.js';
import type { Contacts } from '../leadership/contacts.js';
import type { Leadership } from '../leadership/leadership.js';
import type { Admission } from '../overload/admission.js';
import type { Settings } from '../settings/settings.js';
import type { WorkerRegistry } from './worker-registry.js';
import {
  type Order,
  type Receive,
  type Heartbeat,
  type HeartbeatReader,
  REPORTS,
  senderOf,
  writeOrders,
} from './codec.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import { answerOf } from './heartbeat-relay.js';

export interface WorkerPort {
  /** Sends commands to a worker's address; whatever comes of it, the next reports tell. */
  orders(addr: string, body: string): Effect.Effect<void>;
}

/** The part of a node's sockets that direct orders may take; the rest is for reports and users. */
const ORDER_SOCKETS = 0.1;

export class Workers implements WorkerPort {
  private readonly agent: http.Agent;

  constructor(settings: Settings) {
    // One connection an order: a worker gets one seldom, and a thousand idle connections would fill the node.
    // What is over the bound waits its turn; nobody's connection is cut for another's.
    this.agent = new http.Agent({
      maxTotalSockets: Math.max(8, Math.floor(settings.limits.maxConnections * ORDER_SOCKETS)),
    });
  }

  orders(addr: string, body: string): Effect.Effect<void> {
    return new HttpClient(addr, this.agent).request('POST', '/orders', body, 3000).pipe(
      Effect.map(({ status }) => {
        if (status !== 200) recordAnomaly('unheeded', 'order refused', () => ({ addr, status }));
      }),
      Effect.ignore,
    );
  }
}

/** What the leader's session offers to the report handler. */
export interface Desk {
  readonly registry: WorkerRegistry;
  /** Calls back when the next turn has run, or soon after. */
  readonly nextTurn: (then: () => void) => void;
}
/** Before a rebuild is durable: leases are renewed, and what users cancelled is stopped; nothing else is ordered. */
export interface RenewalDesk {
  readonly term: number;
  readonly cancelled: (job: string) => boolean;
}

interface Waiter {
  readonly since: Micros;
  readonly then: () => void;
}

/**
 * Those that wait for the turn to come; whoever asks during one waits for the one after it. As many as there are
 * reports on their way to this node, which their senders bound.
 */
export class Gate {
  private next: Waiter[] = [];
  private current: Waiter[] = [];

  constructor(private readonly clock: () => Micros) {}

  wait(then: () => void): void {
    this.next.push({ since: this.clock(), then });
  }

  /** A turn begins. */
  begin(): void {
    this.current.push(...this.next.splice(0));
  }

  /** It is over. */
  open(): void {
    release(this.current.splice(0));
  }

  /** Lets those go that have waited for `longest`: a turn's record may wait for the state service. */
  relieve(longest: Micros): void {
    const old = this.clock() - longest;
    const late = [...this.current, ...this.next].filter((w) => w.since <= old);
    if (late.length === 0) return;
    this.current = this.current.filter((w) => w.since > old);
    this.next = this.next.filter((w) => w.since > old);
    release(late);
  }
}

/** One that fails must not keep the others waiting; the first failure is the duty's to report. */
const release = (waiters: readonly Waiter[]): void => {
  let failed: { readonly reason: unknown } | null = null;
  for (const w of waiters) {
    try {
      w.then();
    } catch (reason) {
      failed ??= { reason };
    }
  }
  if (failed !== null) throw failed.reason;
};

const NEW_TERM = seconds(3);

/** The answer to a report during a rebuild. */
const renewal = (r: Heartbeat | null, d: RenewalDesk): string | null => {
  if (r === null) return null;
  const orders = r.tasks
    .filter((t) => t.status !== 'exited' && d.cancelled(t.key.slice(0, t.key.indexOf('/'))))
    .map((t): Order => ({ op: 'stop', key: t.key, attempt: t.attempt, grace: 0 as Micros }));
  return orders.length === 0 ? '' : writeOrders(d.term, orders);
};

/** Takes reports in, wherever they came to, and says what their answers are. */
export const receiver =
  (
    leadership: Leadership,
    desk: () => Desk | RenewalDesk | null,
    clock: () => Micros,
    contacts: Contacts,
    lossDetector: Pick<DataLossDetector, 'noteToken' | 'suspected'>,
  ): Receive =>
  (reports, answer) => {
    const at = clock();
    for (const r of reports) {
      if (r === null) continue;
      contacts.recordContact(r.machine, at);
      leadership.depose(r.fencingToken);
      lossDetector.noteToken(r.fencingToken, r.machine);
    }
    const leaderTerm = leadership.answeringTerm();
    const d = desk();
    if (leaderTerm === null || d === null) return answer(null);
    if (!('registry' in d)) {
      if (d.term !== leaderTerm.number) return answer(null);
      return answer({ term: leaderTerm.number, bodies: reports.map((r) => renewal(r, d)) });
    }
    if (d.registry.term !== leaderTerm.number) return answer(null);
    const { registry } = d;
    // What was durable may not be any more: only the lease is renewed until that is known. What users cancelled is stopped
    // all the same: its time runs on, and whoever renews leases must not carry it past that.
    if (lossDetector.suspected) {
      for (const r of reports) if (r !== null) registry.renewLeaseOnly(r, at);
      const cancelled = (id: string): boolean => registry.cancelled(id);
      return answer({
        term: leaderTerm.number,
        bodies: reports.map((r) => renewal(r, { term: leaderTerm.number, cancelled })),
      });
    }
    const machines = reports.map((r) => {
      if (r === null) return null;
      const m = registry.applyHeartbeat(r, at);
      if (m === null)
        recordAnomaly('late', 'late report', () => ({
          machine: r.machine,
          tenure: r.incarnation,
          tick: r.sequence,
          token: r.fencingToken,
        }));
      return m;
    });
    const finish = (): void => {
      const still = leadership.answeringTerm();
      if (still === null || still.number !== leaderTerm.number) return answer(null);
      const starts = leadership.mayStart();
      const bodies = reports.map((r, i) => {
        const m = machines[i]!;
        if (r === null) return null;
        // Older than what is known by now: this answer must not carry what belongs to a newer report's.
        if (m === null || m.sequence !== r.sequence || m.incarnation !== r.incarnation) return '';
        const orders = registry.orders(m, starts);
        return orders.length === 0 ? '' : writeOrders(leaderTerm.number, orders);
      });
      answer({ term: leaderTerm.number, bodies });
    };
    // A turn that a report calls for is waited for, shortly: the freed room's new start then goes
    // out at once instead of a report later.
    // Not in a term's first seconds: all leases want renewing then, and the first turns are the longest.
    const settled = at - leaderTerm.began > NEW_TERM;
    if (registry.dirty && settled && leadership.currentTerm() !== null) d.nextTurn(finish);
    else finish();
  };

/** The workers' address: the leader answers by itself, a follower passes the report on, or names a better node. */
export const heartbeatHandler =
  (
    receive: Receive,
    leads: () => boolean,
    pass: (report: Buffer, reply: (a: Answer) => void) => void,
    elsewhere: (machine: string) => string | null,
    note: (machine: string) => void,
    reader: HeartbeatReader,
  ): Quick =>
  (request, reply) => {
    if (request.method !== 'POST' || request.path !== REPORTS) return false;
    countMetric('reports');
    const { body } = request;
    if (body === null) {
      recordAnomaly('malformed', 'report too large', () => ({}));
      reply(json(400, { error: 'body too large' }));
      return true;
    }
    const sender = senderOf(body);
    const better = sender === null ? null : elsewhere(sender);
    if (better !== null) {
      reply(json(421, { answerTo: better }));
      return true;
    }
    if (sender !== null) note(sender);
    if (leads()) {
      const report = reader.read(body);
      if (report === null) recordAnomaly('malformed', 'malformed report', () => ({ machine: sender }));
      receive([report], (answers) => {
        if (answers === null) pass(body, reply);
        else reply(answerOf(answers, 0));
      });
    } else pass(body, reply);
    return true;
  };

/** Sends what must not wait for a report. */
export const sendUrgent = (
  registry: WorkerRegistry,
  port: WorkerPort,
  admission: Pick<Admission, 'enter' | 'leave'>,
): Effect.Effect<void> =>
  Effect.suspend(() => {
    if (registry.urgent.length === 0) return Effect.void;
    const byMachine = new Map<string, { addr: string; tenure: number; orders: Order[] }>();
    for (const { machine, order } of registry.urgent) {
      const e = byMachine.get(machine.id);
      if (e) e.orders.push(order);
      else byMachine.set(machine.id, { addr: machine.addr, tenure: machine.incarnation, orders: [order] });
    }
    registry.urgent = [];
    return Effect.forEach(
      byMachine.values(),
      (e) => {
        // What is shed here goes with the answer to the worker's next report all the same.
        if (admission.enter('order') !== null) return Effect.void;
        countMetric('orders');
        const sent = port.orders(e.addr, writeOrders(registry.term, e.orders, e.tenure));
        return Effect.forkDaemon(
          Effect.ensuring(
            sent,
            Effect.sync(() => admission.leave('order')),
          ),
        );
      },
      { discard: true },
    );
  });
