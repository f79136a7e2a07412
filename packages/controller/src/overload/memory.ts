/** Measures how close the process is to the memory limit of its settings (docs/overload.md). */
import * as v8 from 'node:v8';

/** Statistics of the garbage-collected heap, in bytes. */
export interface HeapStatistics {
  /** Bytes reserved by the heap, bytes in use, and the size at which the process runs out of heap. */
  readonly reserved: number;
  readonly used: number;
  readonly limit: number;
  /** Bytes of buffers outside the heap. */
  readonly external: number;
}

const MB = 1024 * 1024;
/**
 * Memory of the process outside the heap: code of the interpreter, stacks and sockets. Processes show 50 to 66 MB.
 */
const NON_HEAP_MB = 60;

/**
 * Fractions of the memory limit from which no new jobs are accepted and no more tasks are started, respectively.
 */
export const MEMORY_LIMITS = { submissions: 0.9, starts: 0.95 } as const;

/**
 * Fraction of the available memory in use: of the limit in the settings or of the maximum heap size, whichever is
 * larger.
 */
export const memoryUsageRatio = (heap: HeapStatistics, memoryMb: number): number =>
  Math.max((heap.reserved + heap.external + NON_HEAP_MB * MB) / (memoryMb * MB), heap.used / heap.limit);

/** Heap statistics of this process. */
export const heapStatistics = (): HeapStatistics => {
  const statistics = v8.getHeapStatistics();
  return {
    reserved: statistics.total_heap_size,
    used: statistics.used_heap_size,
    limit: statistics.heap_size_limit,
    external: statistics.external_memory,
  };
};
