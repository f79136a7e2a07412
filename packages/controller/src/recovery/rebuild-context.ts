/** Dependencies of the steps of a rebuild. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import type { LeadershipTerm } from '../leadership/leadership.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';
import type { DataLossDetector } from './data-loss-detector.js';
import type { EvidenceStore } from './evidence-store.js';
import type { ViewPort } from './model.js';
import type { PreLossViews } from './pre-loss-views.js';

export interface RebuildContext {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly lossDetector: DataLossDetector;
  readonly preLossViews: PreLossViews;
  readonly evidenceStore: EvidenceStore;
  readonly viewPort: ViewPort;
  readonly leaderTerm: LeadershipTerm;
  /** Whether the leader's term has not ended. */
  readonly isCurrentTerm: () => boolean;
  /** Whether the leader's term has not ended and its lease has not expired. */
  readonly mayAct: () => boolean;
  readonly clock: () => Micros;
}
