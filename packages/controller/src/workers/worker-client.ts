/** Sends orders directly to workers if they must not wait for the next heartbeat. */
import * as http from 'node:http';
import { Effect } from 'effect';
import { HttpClient } from '@lilacvalve/runtime/http-client';
import { recordAnomaly, countMetric } from '../metrics.js';
import type { Admission } from '../overload/admission.js';
import type { Settings } from '../settings/settings.js';
import { encodeOrders, type Order } from './codec.js';
import { fittingOrders } from './message-limits.js';
import type { WorkerRegistry } from './worker-registry.js';

/** Connection from a controller to the workers. */
export interface WorkerPort {
  /**
   * Sends encoded orders to a worker's address. Never fails: the worker's next heartbeats show whether the orders
   * took effect.
   */
  sendOrders(addr: string, body: string): Effect.Effect<void>;
}

const ORDERS_PATH = '/orders';
const ORDER_TIMEOUT_MS = 3000;
/** Fraction of a controller's sockets available to direct orders; the others serve heartbeats and users. */
const ORDER_SOCKET_FRACTION = 0.1;
const MIN_ORDER_SOCKETS = 8;

/** HTTP client of the workers. */
export class WorkerClient implements WorkerPort {
  private readonly agent: http.Agent;

  constructor(settings: Settings) {
    // Each order uses its own connection: a worker rarely gets one, and a thousand idle connections would exceed
    // the controller's limit. Orders beyond the limit are queued, so that no other connection has to be closed.
    this.agent = new http.Agent({
      maxTotalSockets: Math.max(
        MIN_ORDER_SOCKETS,
        Math.floor(settings.limits.maxConnections * ORDER_SOCKET_FRACTION),
      ),
    });
  }

  sendOrders(addr: string, body: string): Effect.Effect<void> {
    return new HttpClient(addr, this.agent).request('POST', ORDERS_PATH, body, ORDER_TIMEOUT_MS).pipe(
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

/** Sends the urgent orders and empties their list: one message per worker, each in its own fiber. */
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
        // An order refused by admission control still goes out with the response to the worker's next heartbeat.
        if (admission.enter('order') !== null) return Effect.void;
        countMetric('orders');
        const send = port.sendOrders(addr, encodeOrders(registry.term, fittingOrders(orders), incarnation));
        return Effect.forkDaemon(
          Effect.ensuring(
            send,
            Effect.sync(() => admission.leave('order')),
          ),
        );
      },
      { discard: true },
    );
  });
