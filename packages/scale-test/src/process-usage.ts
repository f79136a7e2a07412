/** What a process has spent and holds, by the kernel's accounts. */
import { readFileSync } from 'node:fs';

/** Usage of one process at one moment. */
export interface ProcessUsage {
  /** Processor time since its start, milliseconds. */
  readonly cpuMs: number;
  /** Memory that it holds now, and held at its most, MB. */
  readonly residentMb: number;
  readonly peakMb: number;
}

const TICKS_PER_S = 100;
const KB_PER_MB = 1024;

const field = (status: string, name: string): number =>
  Number(new RegExp(`${name}:\\s+(\\d+)`).exec(status)?.[1] ?? 0) / KB_PER_MB;

/** Usage of a process by its id; null: there is none. */
export const usageOf = (pid: number): ProcessUsage | null => {
  try {
    const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
    const status = readFileSync(`/proc/${pid}/status`, 'utf8');
    return {
      cpuMs: ((Number(fields[11]) + Number(fields[12])) * 1000) / TICKS_PER_S,
      residentMb: field(status, 'VmRSS'),
      peakMb: field(status, 'VmHWM'),
    };
  } catch {
    return null;
  }
};

/** Open files that this process may have; sockets are files. */
export const openFileLimit = (): number => {
  const limits = readFileSync('/proc/self/limits', 'utf8');
  const soft = /Max open files\s+(\S+)/.exec(limits)?.[1] ?? '0';
  return soft === 'unlimited' ? Number.POSITIVE_INFINITY : Number(soft);
};
