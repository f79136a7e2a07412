/** How near this process is to the memory that its settings give it (docs/overload.md). */
import * as v8 from 'node:v8';

/** The garbage collector's figures, in bytes. */
export interface HeapFigures {
  /** Bytes that the garbage collector's heap has reserved, those of them in use, and the most in use before it gives up. */
  readonly reserved: number;
  readonly used: number;
  readonly limit: number;
  /** Bytes of buffers outside that heap. */
  readonly external: number;
}

const MB = 1024 * 1024;
/** What a process holds beside its heap: the interpreter's code, stacks, sockets. Measured at 50 to 66 MB. */
const BESIDE_HEAP_MB = 60;

/** From this part on no more jobs are accepted, and from the other one on nothing more is started. */
export const MEMORY_LIMITS = { submissions: 0.9, starts: 0.95 } as const;

/** The part of its memory that a process uses: 1 is all of what the settings give it, or of what its heap may grow to. */
export const memoryPart = (figures: HeapFigures, memoryMb: number): number =>
  Math.max(
    (figures.reserved + figures.external + BESIDE_HEAP_MB * MB) / (memoryMb * MB),
    figures.used / figures.limit,
  );

/** The figures of this process. */
export const heapFigures = (): HeapFigures => {
  const statistics = v8.getHeapStatistics();
  return {
    reserved: statistics.total_heap_size,
    used: statistics.used_heap_size,
    limit: statistics.heap_size_limit,
    external: statistics.external_memory,
  };
};
