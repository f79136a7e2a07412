/**
 * Counts a controller's messages by kind. The counts show what its processor time is spent on. There is one
 * counter per kind, so that counting costs next to nothing.
 */
import type { Fields } from '@lilacvalve/runtime/log';

/** Name of a counter, as it appears in the log line `load`. */
export type MetricName =
  | 'reports'
  | 'relayed'
  | 'batches'
  | 'beats'
  | 'polls'
  | 'submissions'
  | 'probes'
  | 'refused'
  | 'store'
  | 'changes'
  | 'orders'
  | 'turns'
  /** Jobs whose value does not fit into its key. */
  | 'oversized'
  /** Heartbeats and batches that cannot be decoded or contradict themselves. */
  | 'malformed'
  /** Heartbeats that are older than the latest one, repeated, or sent by removed machines. */
  | 'late'
  /** Reported tasks that the committed state places nowhere. */
  | 'strange'
  /** Direct orders that a worker refused because of an older token or another incarnation. */
  | 'unheeded';

const counts = new Map<MetricName, number>();

/** Adds to a counter. */
export const countMetric = (metric: MetricName, amount = 1): void => {
  counts.set(metric, (counts.get(metric) ?? 0) + amount);
};

let anomalyListener: ((event: string, fields: Fields) => void) | null = null;
/** Sets the listener that logs anomalies at the log level `debug`; null removes it. */
export const setAnomalyListener = (listener: typeof anomalyListener): void =>
  void (anomalyListener = listener);

/** Counts a malformed or unexpected message. Its fields are built only if a listener is set. */
export const recordAnomaly = (metric: MetricName, event: string, fields: () => Fields): void => {
  countMetric(metric);
  anomalyListener?.(event, fields());
};

let lastCpuUsage = process.cpuUsage();
/** Returns and resets the counts, with the processor time used since the previous call. */
export const takeMetrics = (): Record<string, number> => {
  const used = process.cpuUsage(lastCpuUsage);
  lastCpuUsage = process.cpuUsage();
  const metrics = { ...Object.fromEntries(counts), cpuMs: Math.round((used.user + used.system) / 1000) };
  counts.clear();
  return metrics;
};
