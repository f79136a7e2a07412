/** What one reign's duties share: the ports, the book, and the questions a decision must ask. */
import type { Ledger } from '../accounts/ledger.js';
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Learned } from '../calendar/duty.js';
import type { ProvisioningNews, MachineType } from '../provisioning/model.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import type { LeadershipTerm } from '../leadership/leadership.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';
import type { WorkerRegistry } from '../workers/worker-registry.js';
import type { Largest } from './largest.js';
import type { Waits } from './waits.js';
import type { Companion, CycleResult } from './model.js';

export interface CycleContext {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly registry: WorkerRegistry;
  /** What this reign gathers for the accounts' pages. */
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
  /** What the fleet's duty tells the followers, and whether it has read the cloud's list in this reign. */
  readonly fleet: { news: ProvisioningNews; listed: boolean };
  readonly clock: () => Micros;
  /** Time of day: deadlines count from a time of day. */
  readonly dayTime: () => Micros;
  readonly waits: Waits;
  /** The largest jobs of each class, as last seen. */
  readonly largest: Largest;
  /** What its records have shown of classes, and is not written yet. */
  readonly learned: Learned;
  /** What GPU jobs take beside each GPU, by class, as last seen. */
  readonly companions: Map<string, Omit<Companion, 'waiting'> & { readonly seen: Micros }>;
}

export interface CycleState {
  result: CycleResult | null;
  /** Machines beyond need, see surplus.ts. */
  surplus: ReadonlySet<string>;
  companions: readonly Companion[];
  /** How long the last turn computed. */
  cost: number;
  /** The last turn left something to be recorded for the next one. */
  behind: boolean;
}
