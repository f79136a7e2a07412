/** Machines as the cloud offers, rents and lists them. */
import type { Micros } from '@lilacvalve/runtime/micros';

/** A type of machine; prices per hour. */
export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  /** Stated boot time. */
  readonly boot: Micros;
  readonly zones: readonly string[];
}

/** What a machine can be rented as. */
export interface Offer {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** One string for each offer. */
export const offerKey = (o: Offer): string => `${o.type}|${o.zone}|${o.spot}`;

/**
 * What a leader knows of the cloud and its list does not show yet; a new leader begins with it. It travels as it is in the
 * controllers' heartbeats to each other: its fields' names are wire names.
 */
export interface ProvisioningNews {
  readonly rented: readonly {
    readonly id: string;
    readonly type: string;
    readonly zone: string;
    readonly spot: boolean;
    readonly age: number;
  }[];
  readonly removed: readonly string[];
  /** Rentals that were asked for and not answered yet: they may still be carried out, or have been. */
  readonly asked?: readonly (Offer & { readonly count: number; readonly age: number })[];
}

/** A machine in the cloud's list. `age`: since it was rented. */
export interface ListedMachine {
  readonly id: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly status: 'booting' | 'running' | 'failed';
  readonly age: Micros;
}
