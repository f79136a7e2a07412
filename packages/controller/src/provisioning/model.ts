/** Machine types, offers and machines as the cloud describes them. */
import type { Micros } from '@lilacvalve/runtime/micros';

/** A type of machine; prices are per hour. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  /** Boot time that the cloud states. */
  readonly boot: Micros;
  readonly zones: readonly string[];
}

/** A kind of machine that can be rented: type, zone, and whether it is a spot machine. */
export interface Offer {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Returns a map key for the offer. */
export const offerKey = (offer: Offer): string => `${offer.type}|${offer.zone}|${offer.spot}`;

/**
 * Rentals and deletions that a leader knows about and the cloud's list may not show yet. A new leader starts from the latest
 * one. It is sent unchanged in the peer heartbeats, so its field names are wire names.
 */
export interface ProvisioningUpdate {
  readonly rented: readonly {
    readonly id: string;
    readonly type: string;
    readonly zone: string;
    readonly spot: boolean;
    readonly age: number;
  }[];
  readonly removed: readonly string[];
  /** Rental requests without a response: the cloud may have carried them out, or may still do so. */
  readonly asked?: readonly (Offer & { readonly count: number; readonly age: number })[];
}

/** A machine in the cloud's list; `age` is the time since its rental. */
export interface ListedMachine {
  readonly id: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly status: 'booting' | 'running' | 'failed';
  readonly age: Micros;
}
