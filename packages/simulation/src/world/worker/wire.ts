/** Codec of the workers' messages. Only this module uses the protocol's names of fields. */
import type { MachineInfo } from '../rules.js';
import type { Task } from './task-runner.js';

/** An order of a controller about one attempt of a task. */
export interface Order {
  /** `run`, `stop`, or any other kind: delete the record of an exited attempt. */
  readonly kind: string;
  readonly task: string;
  readonly attempt: number;
  /** For a stop: the time that the task may take to save a checkpoint, in microseconds. */
  readonly grace: number;
}

/** A controller's response to a heartbeat. */
export interface HeartbeatResponse {
  /** The leader's term; undefined: the controller has no right to respond with orders. */
  readonly token: number | undefined;
  /** The label of the controller to send heartbeats to instead. */
  readonly leader: string | undefined;
  readonly orders: readonly Order[];
}

/** Orders sent directly to a worker's address. They are valid for one incarnation of the worker. */
export interface DirectOrders {
  readonly token: number | undefined;
  readonly incarnation: number | undefined;
  readonly orders: readonly Order[];
}

/** The content of a heartbeat. */
export interface Heartbeat {
  readonly place: MachineInfo;
  readonly incarnation: number;
  readonly sequence: number;
  readonly token: number;
  /** Microseconds until the cloud reclaims the machine; null: no reclaim was announced. */
  readonly reclaimIn: number | null;
  readonly tasks: Iterable<Task>;
}

interface WireOrder {
  readonly orderKind: string;
  readonly piece: string;
  readonly try: number;
  readonly windDownS?: number;
}
interface WireOrders {
  readonly warrant?: number;
  readonly tenure?: number;
  readonly answerTo?: string;
  readonly orders?: readonly WireOrder[];
}

const decodeOrders = (orders: readonly WireOrder[]): Order[] =>
  orders.map((order) => ({
    kind: order.orderKind,
    task: order.piece,
    attempt: order.try,
    grace: (order.windDownS ?? 0) * 1e6,
  }));

/** Encodes the body of a heartbeat. */
export const encodeHeartbeat = (heartbeat: Heartbeat): string => {
  const { incarnation, place, reclaimIn, sequence, tasks, token } = heartbeat;
  return JSON.stringify({
    host: place.id,
    addr: place.id,
    hostKind: place.type,
    room: place.zone,
    borrowed: place.spot,
    tenure: incarnation,
    tick: sequence,
    warrant: token,
    recallS: reclaimIn === null ? null : Math.max(0, reclaimIn / 1e6),
    pieces: [...tasks].map((task) => ({
      piece: task.key,
      try: task.attempt,
      status: task.status,
      cause: task.cause,
      stored: task.stored,
    })),
  });
};

/** Decodes the body of a heartbeat response with status 200 or 421. */
export const decodeHeartbeatResponse = (body: string): HeartbeatResponse => {
  const { answerTo, orders, warrant } = JSON.parse(body) as WireOrders;
  return { token: warrant, leader: answerTo, orders: decodeOrders(orders ?? []) };
};

/** Decodes the body of orders sent to a worker's address. */
export const decodeDirectOrders = (body: string): DirectOrders => {
  const { orders, tenure, warrant } = JSON.parse(body) as WireOrders;
  return { token: warrant, incarnation: tenure, orders: decodeOrders(orders ?? []) };
};
