/** What a scale run is told, and what it tells. */
import type { Histogram } from 'hdr-histogram-js';
import type { ClusterLimits } from './controllers.js';
import type { ResourceLimits } from './resource-guard.js';
import type { Violation } from './rule-checker.js';
import type { StateCounts } from './state-service.js';
import type { UserFigures } from './users.js';
import type { WorkerFigures } from './worker-figures.js';
import type { WorkloadOptions } from './workload.js';

/** Faults that a run can inject. */
export const FAULTS = ['none', 'kill-leader', 'restart-tenth'] as const;
/** One of them. */
export type Fault = (typeof FAULTS)[number];

/** What a run is told: its size, times and faults. The flags of the program say what each is. */
export interface RunOptions extends WorkloadOptions, ClusterLimits {
  readonly controllers: number;
  readonly reportS: number;
  readonly leaseS: number;
  readonly cancelS: number;
  readonly workersPerProcess: number;
  readonly warmupS: number;
  readonly lengthS: number;
  readonly seed: number;
  readonly fault: Fault;
  readonly program: string;
  /** Of the interpreter that runs the controllers. */
  readonly flags: readonly string[];
  readonly logLevel: string;
  /** Where processor profiles are written; absent: none are. */
  readonly profileDir?: string;
  readonly resourceLimits: ResourceLimits;
}

/** What the processes of one role spent and held during the measurement. */
export interface RoleUsage {
  readonly role: string;
  readonly processes: number;
  /** Of a core, by all processes of the role together. */
  readonly cores: number;
  readonly residentMb: number;
  readonly peakMb: number;
}

/** What a run measured, and what it found broken. */
export interface RunResult {
  readonly lengthS: number;
  readonly machines: number;
  readonly tasksHeld: number;
  readonly startsPerS: number;
  readonly endsPerS: number;
  /** The longest time without any start. */
  readonly longestPauseMs: number;
  readonly workers: WorkerFigures;
  readonly answerMs: Histogram;
  /** Bytes a second of one worker, both directions, headers included. */
  readonly workerBytesPerS: { readonly median: number; readonly p99: number };
  readonly users: UserFigures;
  readonly roles: readonly RoleUsage[];
  readonly state: StateCounts;
  readonly cloudCalls: number;
  readonly unexpectedEnds: readonly string[];
  readonly violations: readonly Violation[];
  /** Why the run was cut short; null: it was not. */
  readonly stopped: string | null;
}

/** Where a run is, told about every second. */
export interface Progress {
  readonly phase: string;
  readonly secondsLeft: number;
  readonly machines: number;
  readonly tasks: number;
  readonly started: number;
}
