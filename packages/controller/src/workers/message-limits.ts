/**
 * Limits of the messages between workers and controllers. Source: PROTOCOL: "A request body is limited to 64 KiB. A response
 * to workers and users must not hold any line longer than 64 KiB."
 */
import { Buffer } from 'node:buffer';
import type { Order } from './codec.js';

/** Maximum bytes of a request body, and of a line of a response. */
const MAX_MESSAGE_BYTES = 64 * 1024;
/** Bytes of a message beside its list of tasks or orders. */
const ENVELOPE_BYTES = 1024;
/** Maximum bytes of a task in a heartbeat, with an attempt of 10 digits: `{"piece":"job-<32 digits>/99999",...,"stored":true},`. */
const REPORTED_TASK_BYTES = 124;
/** Maximum bytes of an order beside its task: punctuation, field names, attempt and grace. */
const ORDER_OVERHEAD_BYTES = 96;

/** Maximum number of tasks of a machine, so that its worker's heartbeat can list them all, exited ones included. */
export const MAX_TASKS_PER_MACHINE = Math.floor((MAX_MESSAGE_BYTES - ENVELOPE_BYTES) / REPORTED_TASK_BYTES);

/** Returns the first orders, as many as fit into one message. The others are derived again for the next response. */
export const fittingOrders = (orders: readonly Order[]): readonly Order[] => {
  let bytes = ENVELOPE_BYTES;
  const excess = orders.findIndex(({ key }) => {
    bytes += Buffer.byteLength(key) + ORDER_OVERHEAD_BYTES;
    return bytes > MAX_MESSAGE_BYTES;
  });
  return excess < 0 ? orders : orders.slice(0, excess);
};
