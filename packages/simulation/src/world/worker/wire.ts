/** Workers' messages by the protocol: its names are mapped here and nowhere else. */
import type { Place } from '../rules.js';
import type { Task } from './task-runner.js';

/** An order of a controller about one attempt of a task. */
export interface Order {
  /** `run`, `stop`, or else to forget an attempt that has ended. */
  readonly kind: string;
  readonly task: string;
  readonly attempt: number;
  /** For a stop: how long the task may take to save, microseconds. */
  readonly grace: number;
}

/** What a controller answers to a heartbeat. */
export interface HeartbeatAnswer {
  /** The leader's term; undefined: the controller has no right to answer. */
  readonly token: number | undefined;
  /** The controller to ask instead. */
  readonly leader: string | undefined;
  readonly orders: readonly Order[];
}

/** Orders that are sent to a worker's address, valid for one incarnation. */
export interface DirectOrders {
  readonly token: number | undefined;
  readonly incarnation: number | undefined;
  readonly orders: readonly Order[];
}

/** What a heartbeat says of its worker. */
export interface Heartbeat {
  readonly place: Place;
  readonly incarnation: number;
  readonly sequence: number;
  readonly token: number;
  /** Until the machine is taken; null: no notice. */
  readonly recallIn: number | null;
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

/** The body of a heartbeat. */
export const encodeHeartbeat = (heartbeat: Heartbeat): string => {
  const { incarnation, place, recallIn, sequence, tasks, token } = heartbeat;
  return JSON.stringify({
    host: place.id,
    addr: place.id,
    hostKind: place.type,
    room: place.zone,
    borrowed: place.spot,
    tenure: incarnation,
    tick: sequence,
    warrant: token,
    recallS: recallIn === null ? null : Math.max(0, recallIn / 1e6),
    pieces: [...tasks].map((task) => ({
      piece: task.key,
      try: task.attempt,
      status: task.status,
      cause: task.cause,
      stored: task.stored,
    })),
  });
};

/** The body of an answer to a heartbeat, of status 200 or 421. */
export const decodeHeartbeatAnswer = (body: string): HeartbeatAnswer => {
  const { answerTo, orders, warrant } = JSON.parse(body) as WireOrders;
  return { token: warrant, leader: answerTo, orders: decodeOrders(orders ?? []) };
};

/** The body of orders to a worker's address. */
export const decodeDirectOrders = (body: string): DirectOrders => {
  const { orders, tenure, warrant } = JSON.parse(body) as WireOrders;
  return { token: warrant, incarnation: tenure, orders: decodeOrders(orders ?? []) };
};
