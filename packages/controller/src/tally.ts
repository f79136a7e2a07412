/**
 * Counts of what a node did, by kind of message, since last asked: where its processor time goes is a question of
 * how many of each. One counter a kind, so that counting costs next to nothing.
 */
export type Kind =
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
  | 'turns';

const counts = new Map<Kind, number>();

export const tally = (kind: Kind, n = 1): void => {
  counts.set(kind, (counts.get(kind) ?? 0) + n);
};

/** The counts since the last call, and the processor time the process used meanwhile. */
let cpu = process.cpuUsage();
export const takeTally = (): Record<string, number> => {
  const used = process.cpuUsage(cpu);
  cpu = process.cpuUsage();
  const out = { ...Object.fromEntries(counts), cpuMs: Math.round((used.user + used.system) / 1000) };
  counts.clear();
  return out;
};
