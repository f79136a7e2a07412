/** What controllers tell each other about themselves. */
import type { ProvisioningNews } from '../provisioning/model.js';

/** What one controller tells another once a second; its form on the wire: `codec.ts`. */
export interface PeerHeartbeat {
  /** The sender's label. */
  readonly from: string;
  /** Highest term the sender knows of. */
  readonly term: number;
  /** The state service serves the sender. */
  readonly servedByStore: boolean;
  /** The sender has read the term from the store since it started: its confirmation counts only then. */
  readonly viewLoaded: boolean;
  /** Workers that have lately reached the sender, whatever it answered them. */
  readonly reachableWorkers: number;
  /** What the sender has seen of the state service; null: nothing yet. */
  readonly store: StoreObservation | null;
  /** The sender keeps views from before a data loss whose content may not be durable yet. */
  readonly hasPreLossViews: boolean;
  /** From a leader only: what its successor should know of the machines being rented and returned. */
  readonly provisioning?: ProvisioningNews;
}

/** What a controller has seen of the state service's data. */
export interface StoreObservation {
  /** The incarnation's id. */
  readonly incarnation: string;
  readonly generation: number;
  /** The highest revision that the sender has seen or heard of. */
  readonly highestRevision: number;
  /** The revision that the sender's view is as of. */
  readonly viewRevision: number;
  /** How long ago, at the most, the sender saw the incarnation's key in the store; microseconds. */
  readonly seenAgo: number;
}
