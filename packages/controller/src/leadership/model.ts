/** The message that controllers exchange. */
import type { ProvisioningUpdate } from '../provisioning/model.js';

/** The peer heartbeat, which each controller sends to every other once a second; `codec.ts` has its wire form. */
export interface PeerHeartbeat {
  /** The sender's label. */
  readonly from: string;
  /** Highest term the sender knows of. */
  readonly term: number;
  /** Whether the state service responds to the sender. */
  readonly servedByStore: boolean;
  /** Whether the sender has read the store since it started. Only then does its response confirm its term. */
  readonly viewLoaded: boolean;
  /** Number of workers that have recently reached the sender, whatever its response was. */
  readonly reachableWorkers: number;
  /** The sender's latest observation of the store; null: none since it started. */
  readonly store: StoreObservation | null;
  /** Whether the sender keeps pre-loss views whose content may not be durable yet. */
  readonly hasPreLossViews: boolean;
  /** From a leader only: the machines being rented and returned, for a successor. */
  readonly provisioning?: ProvisioningUpdate;
}

/** A controller's observation of the data in the state service. */
export interface StoreObservation {
  /** The incarnation's id. */
  readonly incarnation: string;
  readonly generation: number;
  /** The highest revision that the sender has read or received from a peer. */
  readonly highestRevision: number;
  /** The revision of the sender's view. */
  readonly viewRevision: number;
  /** Upper bound of the time since the sender last read the incarnation's key in the store, in microseconds. */
  readonly seenAgo: number;
}
