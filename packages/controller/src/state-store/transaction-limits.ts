/**
 * The state service's limits on a transaction, in the units of the protocol: bytes of JSON in UTF-8. A transaction that
 * exceeds one of them is rejected whenever it is sent, so writers must keep to them before they send it.
 */
import { Buffer } from 'node:buffer';
import type { Condition, Write } from './transaction.js';

/** The limits that the settings give. */
export interface TransactionLimits {
  /** Maximum bytes of one value. */
  readonly valueBytes: number;
  /** Maximum number of puts and deletes. */
  readonly txnOps: number;
}

/** Maximum bytes of a transaction's request body. Source: PROTOCOL, "POST /multi". */
export const MAX_TRANSACTION_BYTES = 64 * 1024;
/** Maximum number of conditions for each put or delete that the settings allow. Source: PROTOCOL, "POST /multi". */
export const CONDITIONS_PER_OP = 4;
/** Bytes of a transaction kept free for its conditions, keys and punctuation beside one value of the maximum size. */
const ENVELOPE_BYTES = 4 * 1024;
/** Bytes of `{"k":"","stamp":}` with a comma and a revision of 16 digits. */
const CONDITION_OVERHEAD_BYTES = 34;
/** Bytes of `{"set":"","value":,"tenancy":}` with a comma and a lease of 16 digits. */
const WRITE_OVERHEAD_BYTES = 47;

/** Returns the bytes of a value as JSON in UTF-8. */
export const jsonBytes = (value: unknown): number => Buffer.byteLength(JSON.stringify(value));

/** Returns the last items of a list, as many as fit into `maxBytes` of JSON as a list. */
export const lastWithin = <A>(items: readonly A[], maxBytes: number): readonly A[] => {
  let bytes = '[]'.length;
  for (let first = items.length; first > 0; first--) {
    bytes += jsonBytes(items[first - 1]) + 1;
    if (bytes > maxBytes) return items.slice(first);
  }
  return items;
};

/** Returns the maximum bytes of a value that fits into a transaction together with a few conditions. */
export const maxValueBytes = ({ valueBytes }: Pick<TransactionLimits, 'valueBytes'>): number =>
  Math.min(valueBytes, MAX_TRANSACTION_BYTES - ENVELOPE_BYTES);

/** Returns the maximum bytes of a condition on `key` in a transaction. */
export const conditionBytes = (key: string): number => Buffer.byteLength(key) + CONDITION_OVERHEAD_BYTES;

/** Returns the maximum bytes of a put of `key` in a transaction, or of its deletion. `value`: bytes of the value. */
export const writeBytes = (key: string, value: number): number =>
  Buffer.byteLength(key) + value + WRITE_OVERHEAD_BYTES;

/** Sizes of a transaction that the state service has rejected, with the limit of each. */
export interface TransactionSize {
  /** The key of the largest value. */
  readonly key: string;
  /** Bytes of the largest value. */
  readonly bytes: number;
  /** Maximum bytes of a value. */
  readonly limit: number;
  /** Bytes of the request body. */
  readonly totalBytes: number;
  /** Number of puts and deletes. */
  readonly ops: number;
  readonly maxOps: number;
  readonly conditions: number;
  readonly maxConditions: number;
}

/** Measures a transaction. `body`: its request body. */
export const measureTransaction = (
  when: readonly Condition[],
  then: readonly Write[],
  body: string,
  limits: TransactionLimits,
): TransactionSize => {
  let largest = { key: '', bytes: 0 };
  for (const write of then) {
    const key = 'set' in write ? write.set : write.delete;
    const bytes = 'set' in write ? jsonBytes(write.value) : 0;
    if (largest.key === '' || bytes > largest.bytes) largest = { key, bytes };
  }
  return {
    ...largest,
    limit: limits.valueBytes,
    totalBytes: Buffer.byteLength(body),
    ops: then.length,
    maxOps: limits.txnOps,
    conditions: when.length,
    maxConditions: limits.txnOps * CONDITIONS_PER_OP,
  };
};
