/**
 * Context of the user handlers: the shared state, this controller's view of it, and how far both can be relied on.
 */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import type { MachineType } from '../provisioning/model.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import type { EvidenceStore } from '../recovery/evidence-store.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';

/** Dependencies shared by all user handlers. Handlers change them only through their methods. */
export interface ApiContext {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  /**
   * Whether a job unknown to this controller may be new. This is false while a rebuild is still collecting the
   * peers' views.
   */
  readonly mayBeNew: (id: string) => boolean;
  /** Replicates committed changes to the other controllers before they are confirmed to users. */
  readonly evidenceStore: EvidenceStore;
  /**
   * Whether this controller's view is durable. After a data loss this is false until the view is part of the
   * rebuilt store.
   */
  readonly isDurable: () => boolean;
  /**
   * Whether this controller leads. The other controllers may not have read the completions that it has committed.
   */
  readonly isLeader: () => boolean;
  /** Whether this controller's view has been compared with a peer's since it was read. */
  readonly isVerified: () => boolean;
  /** The cloud's machine types; null if they are not known yet. */
  readonly types: () => readonly MachineType[] | null;
  readonly clock: () => Micros;
  /** Time of day. */
  readonly dayTime: () => Micros;
}
