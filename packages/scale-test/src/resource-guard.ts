/** Keeps a run within its part of the machine: it is stopped once it holds too much memory or too many processes. */
import { usageOf } from './process-usage.js';

/** What a run may hold at most. */
export interface ResourceLimits {
  readonly memoryMb: number;
  readonly processes: number;
}
/** What it holds. */
export interface ResourceUse {
  readonly memoryMb: number;
  readonly processes: number;
}

/** Memory counts what each process has resident; pages that they share count in each. */
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

/** What is exceeded, in words; null: nothing. */
export const exceeded = (use: ResourceUse, limits: ResourceLimits): string | null => {
  if (use.processes > limits.processes) return `${use.processes} processes, at most ${limits.processes}`;
  if (use.memoryMb > limits.memoryMb)
    return `${Math.round(use.memoryMb)} MB of memory, at most ${limits.memoryMb}`;
  return null;
};
