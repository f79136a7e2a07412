/** What the users' handlers work on: the shared state, this controller's view of it, and how far both can be relied on. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import type { MachineType } from '../provisioning/model.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { EvidenceStore } from '../recovery/evidence-store.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';

/** Handed to every handler of the users' interface; nothing in it is changed by them but through its own methods. */
export interface ApiContext {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  /** Whether a job that this controller does not know may be new: not while a rebuild is still gathering what peers remember. */
  readonly mayBeNew: (id: string) => boolean;
  /** Replicates to the other controllers what a user is about to be told. */
  readonly evidenceStore: EvidenceStore;
  /** What this controller has in memory is durable: not after a loss, until its view is part of the rebuilt store. */
  readonly isDurable: () => boolean;
  /** This controller leads: the completions it has recorded may be known to nobody else yet. */
  readonly isLeader: () => boolean;
  /** This controller's view has been compared with a peer's since it was read. */
  readonly isVerified: () => boolean;
  /** null: not known yet. */
  readonly types: () => readonly MachineType[] | null;
  readonly clock: () => Micros;
  /** Time of day. */
  readonly dayTime: () => Micros;
}
