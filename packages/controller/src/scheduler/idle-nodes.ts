/**
 * GPU machines beyond need. They cost many times what others do, and a stray task on each keeps them all:
 * when more GPUs are free than tasks wait for, with some to spare, the least used machines take no more low
 * work without GPUs and are the last choice for the rest, so that they become empty and go back.
 */
import type { PlacedTask, NodeView, QueuedJob } from './model.js';

/** GPUs kept free for the next job, as a part of those in use. */
const SPARE = 0.2;

export const idleNodesOf = (
  nodes: readonly NodeView[],
  placedTasks: readonly PlacedTask[],
  queued: readonly QueuedJob[],
): Set<string> => {
  const used = new Map<string, number>();
  for (const h of placedTasks) used.set(h.machine, (used.get(h.machine) ?? 0) + h.job.spec.gpus);
  const waiting = queued.reduce((n, q) => n + q.job.spec.gpus * q.tasks.length, 0);
  const gpuNodes = nodes.filter((n) => n.total[1] > 0 && n.open);
  const inUse = gpuNodes.reduce((n, m) => n + (used.get(m.id) ?? 0), 0);
  const largest = Math.max(0, ...gpuNodes.map((n) => n.total[1]));
  let free = gpuNodes.reduce((n, m) => n + m.total[1], 0) - inUse - waiting;
  const spare = Math.max(largest, Math.ceil(SPARE * inUse));
  const out = new Set<string>();
  const byUse = [...gpuNodes].sort(
    (a, b) => (used.get(a.id) ?? 0) - (used.get(b.id) ?? 0) || (a.id < b.id ? 1 : -1),
  );
  for (const n of byUse) {
    const unused = n.total[1] - (used.get(n.id) ?? 0);
    if (free - unused < spare) break;
    // What still runs there wants a place elsewhere only if it is stopped; it is not.
    free -= n.total[1];
    out.add(n.id);
  }
  return out;
};
