/**
 * Measures the memory and the number of processes of a run, and compares them with the limits at which it is stopped.
 */
import { usageOf } from './process-usage.js';

/** Maximum memory and number of processes of a run. */
export interface ResourceLimits {
  readonly memoryMb: number;
  readonly processes: number;
}
/** Current memory and number of processes of a run. */
export interface ResourceUse {
  readonly memoryMb: number;
  readonly processes: number;
}

/**
 * Returns the resource use of the running processes. Memory is resident memory; shared pages count in every process.
 */
export const resourceUse = (pids: readonly number[]): ResourceUse => {
  let memoryMb = 0;
  let processes = 0;
  for (const pid of pids) {
    const usage = usageOf(pid);
    if (usage === null) continue;
    memoryMb += usage.residentMb;
    processes++;
  }
  return { memoryMb, processes };
};

/** Describes the exceeded limit; null if none is exceeded. */
export const describeExceededLimit = (use: ResourceUse, limits: ResourceLimits): string | null => {
  if (use.processes > limits.processes)
    return `the run uses ${use.processes} processes, more than the maximum of ${limits.processes}`;
  if (use.memoryMb > limits.memoryMb)
    return `the run uses ${Math.round(use.memoryMb)} MB of memory, more than the maximum of ${limits.memoryMb}`;
  return null;
};
