/** CPU time, memory and open-file limit of processes, read from `/proc`. */
import { readFileSync } from 'node:fs';

/** Resource usage of a process at one point in time. */
export interface ProcessUsage {
  /** CPU time since the process started, in milliseconds. */
  readonly cpuMs: number;
  /** Current and peak resident memory, in MB. */
  readonly residentMb: number;
  readonly peakMb: number;
}

const TICKS_PER_S = 100;
const KB_PER_MB = 1024;

const readMegabytes = (status: string, name: string): number =>
  Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / KB_PER_MB;

/** Returns the usage of a process; null if there is no process with this id. */
export const usageOf = (pid: number): ProcessUsage | null => {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return {
      cpuMs: ((Number(fields[11]) + Number(fields[12])) * 1000) / TICKS_PER_S,
      residentMb: readMegabytes(status, 'VmRSS'),
      peakMb: readMegabytes(status, 'VmHWM'),
    };
  } catch {
    return null;
  }
};

/** Returns the maximum number of open files, including sockets, of this process. */
export const openFileLimit = (): number => {
  const limits = readFileSync('/proc/self/limits', 'utf8');
  const softLimit = /Max open files\s+(\S+)/.exec(limits)?.[1] ?? '0';
  return softLimit === 'unlimited' ? Number.POSITIVE_INFINITY : Number(softLimit);
};
