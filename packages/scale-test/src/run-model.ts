/** Options, results and progress of a scale run. */
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
/** A fault that a run can inject. */
export type Fault = (typeof FAULTS)[number];

/** Size, timing and fault of a run. The descriptions of the command's flags explain each field. */
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
  /** Flags of the Node.js interpreter that runs the controllers. */
  readonly flags: readonly string[];
  readonly logLevel: string;
  /** Directory for CPU profiles; absent: no profiles are written. */
  readonly profileDir?: string;
  readonly resourceLimits: ResourceLimits;
}

/** CPU time and memory of the processes of one role during the measurement. */
export interface RoleUsage {
  readonly role: string;
  readonly processes: number;
  /** Number of cores that all processes of the role together used on average. */
  readonly cores: number;
  readonly residentMb: number;
  readonly peakMb: number;
}

/** Measurements of a run and the rule violations it found. */
export interface RunResult {
  readonly lengthS: number;
  readonly machines: number;
  readonly tasksHeld: number;
  readonly startsPerS: number;
  readonly endsPerS: number;
  /** Longest interval without a task start, in milliseconds. */
  readonly longestPauseMs: number;
  readonly workers: WorkerFigures;
  readonly answerMs: Histogram;
  /** Bytes per second of one worker in both directions, including headers. */
  readonly workerBytesPerS: { readonly median: number; readonly p99: number };
  readonly users: UserFigures;
  readonly roles: readonly RoleUsage[];
  readonly state: StateCounts;
  readonly cloudCalls: number;
  readonly unexpectedEnds: readonly string[];
  readonly violations: readonly Violation[];
  /** Why the run ended early; null if it ran to its end. */
  readonly stopped: string | null;
}

/** Current state of a run, reported about once a second. */
export interface Progress {
  readonly phase: string;
  readonly secondsLeft: number;
  readonly machines: number;
  readonly tasks: number;
  readonly started: number;
}
