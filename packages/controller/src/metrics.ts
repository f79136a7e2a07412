/**
 * Counts of what a node did, by kind of message, since last asked: where its processor time goes is a question of
 * how many of each. One counter a kind, so that counting costs next to nothing.
 */
import type { Fields } from '@lilacvalve/runtime/log';

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
  /** Reports and batches that can't be read, or contradict themselves. */
  | 'malformed'
  /** Reports older than what is known, repeated, or of machines that are gone. */
  | 'late'
  /** Reported tasks that nobody should be running. */
  | 'strange'
  /** Direct orders that a worker did not carry out: of an older token or another session. */
  | 'unheeded';

const counts = new Map<MetricName, number>();

export const countMetric = (kind: MetricName, n = 1): void => {
  counts.set(kind, (counts.get(kind) ?? 0) + n);
};

let say: ((event: string, fields: Fields) => void) | null = null;
/** Whoever writes the log, at its `debug` level only; null: nobody. */
export const listenToAnomalies = (to: typeof say): void => void (say = to);

/** Counts a message that is not as it should be; put into words only for whoever listens. */
export const recordAnomaly = (kind: MetricName, event: string, fields: () => Fields): void => {
  countMetric(kind);
  say?.(event, fields());
};

/** The counts since the last call, and the processor time the process used meanwhile. */
let cpu = process.cpuUsage();
export const takeMetrics = (): Record<string, number> => {
  const used = process.cpuUsage(cpu);
  cpu = process.cpuUsage();
  const out = { ...Object.fromEntries(counts), cpuMs: Math.round((used.user + used.system) / 1000) };
  counts.clear();
  return out;
};
