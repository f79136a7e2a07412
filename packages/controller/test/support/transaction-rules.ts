/**
 * What the protocol requires of a transaction (PROTOCOL, "Controller nodes -> state service"), for the stand-ins of the
 * state service. Written from the protocol and independent of the controller's own accounting, so that a mistake there shows.
 */
import { Buffer } from 'node:buffer';

/** The limits that a deployment's settings give. */
export interface StateServiceLimits {
  /** Maximum bytes of a value. */
  readonly valueBytes: number;
  /** Maximum number of puts and deletes of a transaction. */
  readonly txnOps: number;
}

/** The body of `POST /multi`. */
export interface TransactionBody {
  readonly when: readonly { readonly k: string; readonly stamp: number }[];
  readonly then: readonly { readonly set?: string; readonly delete?: string; readonly value?: unknown }[];
}

const MAX_TRANSACTION_BYTES = 64 * 1024;
const CONDITIONS_PER_OP = 4;
const MAX_KEY_BYTES = 200;

const isValidKey = (key: string): boolean =>
  key.length > 0 && Buffer.byteLength(key) <= MAX_KEY_BYTES && !/\s/.test(key);

/** Returns why the service answers a transaction with status 400, or null if it complies with the limits. */
export const transactionViolation = (
  { when, then }: TransactionBody,
  limits: StateServiceLimits,
): string | null => {
  const keys = [...when.map(({ k }) => k), ...then.map((write) => write.set ?? write.delete ?? '')];
  const invalidKey = keys.find((key) => !isValidKey(key));
  if (invalidKey !== undefined) return `invalid key: ${JSON.stringify(invalidKey)}`;
  if (then.length > limits.txnOps) return `${then.length} puts and deletes, at most ${limits.txnOps}`;
  if (when.length > limits.txnOps * CONDITIONS_PER_OP)
    return `${when.length} conditions, at most ${limits.txnOps * CONDITIONS_PER_OP}`;
  const totalBytes = Buffer.byteLength(JSON.stringify({ when, then }));
  if (totalBytes > MAX_TRANSACTION_BYTES)
    return `transaction of ${totalBytes} bytes, at most ${MAX_TRANSACTION_BYTES}: ${keys.slice(0, 12).join()}`;
  // No value is larger than the whole transaction.
  if (totalBytes <= limits.valueBytes) return null;
  for (const write of then) {
    if (write.set === undefined) continue;
    const bytes = Buffer.byteLength(JSON.stringify(write.value));
    if (bytes > limits.valueBytes)
      return `value of ${write.set}: ${bytes} bytes, at most ${limits.valueBytes}`;
  }
  return null;
};
