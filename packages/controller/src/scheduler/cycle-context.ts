/** Dependencies and state that the supervised tasks of a leadership term share. */
import type { Ledger } from '../accounts/ledger.js';
import type { Micros } from '@lilacvalve/runtime/micros';
import type { ClassSamples } from '../calendar/class-samples.js';
import type { ProvisioningUpdate, MachineType } from '../provisioning/model.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import type { LeadershipTerm } from '../leadership/leadership.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';
import type { WorkerRegistry } from '../workers/worker-registry.js';
import type { LargestJobs } from './largest-jobs.js';
import type { StartWaits } from './start-waits.js';
import type { CoLocatedDemand, CycleResult } from './model.js';

/** Dependencies of the scheduler and of the leader's other supervised tasks, and the checks before they act. */
export interface CycleContext {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly registry: WorkerRegistry;
  /** Usage and shares that this leadership term records for the pages of the accounts. */
  readonly ledger: Ledger;
  readonly lossDetector: DataLossDetector;
  readonly leaderTerm: LeadershipTerm;
  /** Whether this controller is the leader and its lease is valid now. */
  readonly mayAct: () => boolean;
  /** Whether this controller has not been deposed, even if it may not act for the moment. */
  readonly isCurrentTerm: () => boolean;
  /** Whether enough controllers know this term that no older leader can continue. */
  readonly acknowledged: () => boolean;
  /** The machine types that can be rented. */
  readonly types: () => readonly MachineType[];
  /** Whether this controller has memory for more running tasks. */
  readonly mayStart: () => boolean;
  /** Provisioning update for the followers, and whether the cloud's list of machines has been read in this term. */
  readonly fleet: { news: ProvisioningUpdate; listed: boolean };
  readonly clock: () => Micros;
  /** Time of day, to which jobs' submission times and deadlines refer. */
  readonly dayTime: () => Micros;
  readonly startWaits: StartWaits;
  /** The largest jobs that were seen of each class. */
  readonly largestJobs: LargestJobs;
  /** Measured task durations of job classes that are not written to the store yet. */
  readonly classSamples: ClassSamples;
  /** CPUs and memory that GPU jobs need beside each GPU, by class, and when a job of the class was last seen. */
  readonly coLocatedDemand: Map<string, Omit<CoLocatedDemand, 'waiting'> & { readonly seen: Micros }>;
}

/** Outcome of the latest scheduling cycle, for the next cycle and for other tasks of the leader. */
export interface CycleState {
  result: CycleResult | null;
  /** Machines in excess of the demand, see idle-machines.ts. */
  idleMachines: ReadonlySet<string>;
  coLocatedDemand: readonly CoLocatedDemand[];
  /** Computing time of the latest cycle, in microseconds. */
  computeTime: number;
  /** Whether the latest cycle left changes to be recorded by the next one. */
  hasBacklog: boolean;
}
