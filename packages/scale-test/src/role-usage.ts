/** What the processes of each role of a run spend. */
import { type ProcessUsage, usageOf } from './process-usage.js';
import type { RoleUsage } from './run-model.js';

/** Usage of processes at one moment, by process id. */
export type UsageByPid = ReadonlyMap<number, ProcessUsage>;

/** The usage of those that still run. */
export const usageByPid = (pids: readonly number[]): UsageByPid => {
  const usages = new Map<number, ProcessUsage>();
  for (const pid of pids) {
    const usage = usageOf(pid);
    if (usage !== null) usages.set(pid, usage);
  }
  return usages;
};

/** Of one role between two moments: processor time of all its processes together, memory of the largest. */
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
    const now = after.get(pid);
    if (now === undefined) continue;
    cpuMs += now.cpuMs - (before.get(pid)?.cpuMs ?? 0);
    residentMb = Math.max(residentMb, now.residentMb);
    peakMb = Math.max(peakMb, now.peakMb);
  }
  return { role, processes: pids.length, cores: cpuMs / 1000 / lengthS, residentMb, peakMb };
};
