/** Sends orders to workers directly, for what must not wait for the next heartbeat. */
import * as http from 'node:http';
import { Effect } from 'effect';
import { HttpClient } from '@lilacvalve/runtime/http-client';
import { recordAnomaly, countMetric } from '../metrics.js';
import type { Admission } from '../overload/admission.js';
import type { Settings } from '../settings/settings.js';
import { encodeOrders, type Order } from './codec.js';
import type { WorkerRegistry } from './worker-registry.js';

/** How a controller reaches workers. */
export interface WorkerPort {
  /** Sends encoded orders to a worker's address. Never fails: the worker's next heartbeats tell what came of it. */
  sendOrders(addr: string, body: string): Effect.Effect<void>;
}

const ORDERS_PATH = '/orders';
const TIMEOUT_MS = 3000;
/** The part of a controller's sockets that direct orders may take; the rest is for heartbeats and users. */
const ORDER_SOCKETS = 0.1;
const MIN_ORDER_SOCKETS = 8;

/** The workers' HTTP interface. */
export class WorkerClient implements WorkerPort {
  private readonly agent: http.Agent;

  constructor(settings: Settings) {
    // One connection an order: a worker gets one seldom, and a thousand idle connections would fill the node.
    // What is over the bound waits its turn; nobody's connection is cut for another's.
    this.agent = new http.Agent({
      maxTotalSockets: Math.max(
        MIN_ORDER_SOCKETS,
        Math.floor(settings.limits.maxConnections * ORDER_SOCKETS),
      ),
    });
  }

  sendOrders(addr: string, body: string): Effect.Effect<void> {
    return new HttpClient(addr, this.agent).request('POST', ORDERS_PATH, body, TIMEOUT_MS).pipe(
      Effect.map(({ status }) => {
        if (status !== 200) recordAnomaly('unheeded', 'order refused', () => ({ addr, status }));
      }),
      Effect.ignore,
    );
  }
}

interface Outgoing {
  readonly addr: string;
  readonly incarnation: number;
  readonly orders: Order[];
}

/** Sends the urgent orders, one message a worker, each in a fiber of its own, and empties the list. */
export const sendUrgentOrders = (
  registry: Pick<WorkerRegistry, 'term' | 'urgentOrders'>,
  port: WorkerPort,
  admission: Pick<Admission, 'enter' | 'leave'>,
): Effect.Effect<void> =>
  Effect.suspend(() => {
    if (registry.urgentOrders.length === 0) return Effect.void;
    const byMachine = new Map<string, Outgoing>();
    for (const { machine, order } of registry.urgentOrders.splice(0)) {
      const outgoing = byMachine.get(machine.id);
      if (outgoing) outgoing.orders.push(order);
      else {
        const { addr, incarnation } = machine;
        byMachine.set(machine.id, { addr, incarnation, orders: [order] });
      }
    }
    return Effect.forEach(
      byMachine.values(),
      ({ addr, incarnation, orders }) => {
        // What is shed here goes with the response to the worker's next heartbeat all the same.
        if (admission.enter('order') !== null) return Effect.void;
        countMetric('orders');
        const sent = port.sendOrders(addr, encodeOrders(registry.term, orders, incarnation));
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
