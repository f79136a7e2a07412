/** CPU time and memory used by the processes of each role of a run. */
import { type ProcessUsage, usageOf } from './process-usage.js';
import type { RoleUsage } from './run-model.js';

/** Usage of processes at one point in time, by process id. */
export type UsageByPid = ReadonlyMap<number, ProcessUsage>;

/** Returns the usage of those processes that are still running. */
export const usageByPid = (pids: readonly number[]): UsageByPid => {
  const usages = new Map<number, ProcessUsage>();
  for (const pid of pids) {
    const usage = usageOf(pid);
    if (usage !== null) usages.set(pid, usage);
  }
  return usages;
};

/** Returns the usage of one role between two points in time: total CPU time of its processes, memory of the largest. */
export const roleUsage = (
  role: string,
  pids: readonly number[],
  before: UsageByPid,
  after: UsageByPid,
  lengthS: number,
): RoleUsage => {
  let cpuMs = 0;
  let residentMb = 0;
  let peakMb = 0;
  for (const pid of pids) {
    const current = after.get(pid);
    if (current === undefined) continue;
    cpuMs += current.cpuMs - (before.get(pid)?.cpuMs ?? 0);
    residentMb = Math.max(residentMb, current.residentMb);
    peakMb = Math.max(peakMb, current.peakMb);
  }
  return { role, processes: pids.length, cores: cpuMs / 1000 / lengthS, residentMb, peakMb };
};
