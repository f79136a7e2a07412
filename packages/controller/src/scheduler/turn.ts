/** What one reign's duties share: the ports, the book, and the questions a decision must ask. */
import type { Ledger } from '../accounts/ledger.js';
import type { Micros } from '@lilacvalve/runtime/micros';
import type { Learned } from '../calendar/duty.js';
import type { FleetNews, MachineType } from '../fleet/model.js';
import type { Doubt } from '../doubt/doubt.js';
import type { JobCache } from '../jobs/cache.js';
import type { Feed } from '../jobs/feed.js';
import type { Reign } from '../leadership/leadership.js';
import type { Settings } from '../settings/settings.js';
import type { StatePort } from '../state-store/port.js';
import type { Book } from '../workers/book.js';
import type { Largest } from './largest.js';
import type { Waits } from './waits.js';
import type { Companion, CycleResult } from './model.js';

export interface Turn {
  readonly settings: Settings;
  readonly store: StatePort;
  readonly feed: Feed;
  readonly cache: JobCache;
  readonly book: Book;
  /** What this reign gathers for the accounts' pages. */
  readonly ledger: Ledger;
  readonly doubt: Doubt;
  readonly reign: Reign;
  readonly acting: () => boolean;
  /** Not deposed, though perhaps without right for the moment. */
  readonly reigning: () => boolean;
  /** Enough nodes know this term that no older leader can go on. */
  readonly acknowledged: () => boolean;
  readonly types: () => readonly MachineType[];
  /** false: this node has no memory for more running tasks. */
  readonly mayStart: () => boolean;
  /** What the fleet's duty tells the followers, and whether it has read the cloud's list in this reign. */
  readonly fleet: { news: FleetNews; listed: boolean };
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

export interface CycleView {
  result: CycleResult | null;
  /** Machines beyond need, see surplus.ts. */
  surplus: ReadonlySet<string>;
  companions: readonly Companion[];
  /** How long the last turn computed. */
  cost: number;
  /** The last turn left something to be recorded for the next one. */
  behind: boolean;
}
