/** What the supervised tasks of a leadership term share: the ports, the worker registry, and the questions a decision must ask. */
import type { Ledger } from '../accounts/ledger.js';
import type { Micros } from '@lilacvalve/runtime/micros';
import type { ClassSamples } from '../calendar/class-samples.js';
import type { ProvisioningNews, MachineType } from '../provisioning/model.js';
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

export interface CycleContext {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly registry: WorkerRegistry;
  /** What this leadership term gathers for the accounts' pages. */
  readonly ledger: Ledger;
  readonly lossDetector: DataLossDetector;
  readonly leaderTerm: LeadershipTerm;
  readonly mayAct: () => boolean;
  /** Not deposed, though perhaps without right for the moment. */
  readonly isCurrentTerm: () => boolean;
  /** Enough nodes know this term that no older leader can go on. */
  readonly acknowledged: () => boolean;
  readonly types: () => readonly MachineType[];
  /** false: this node has no memory for more running tasks. */
  readonly mayStart: () => boolean;
  /** What the fleet's duty tells the followers, and whether it has read the cloud's list in this term. */
  readonly fleet: { news: ProvisioningNews; listed: boolean };
  readonly clock: () => Micros;
  /** Time of day: deadlines count from a time of day. */
  readonly dayTime: () => Micros;
  readonly startWaits: StartWaits;
  /** The largest jobs of each class, as last seen. */
  readonly largestJobs: LargestJobs;
  /** What its log entries have shown of classes, and is not written yet. */
  readonly classSamples: ClassSamples;
  /** What GPU jobs take beside each GPU, by class, as last seen. */
  readonly coLocatedDemand: Map<string, Omit<CoLocatedDemand, 'waiting'> & { readonly seen: Micros }>;
}

export interface CycleState {
  result: CycleResult | null;
  /** Machines beyond need, see idle-nodes.ts. */
  idleNodes: ReadonlySet<string>;
  coLocatedDemand: readonly CoLocatedDemand[];
  /** How long the last cycle computed. */
  computeTime: number;
  /** The last cycle left something to be recorded for the next one. */
  hasBacklog: boolean;
}
