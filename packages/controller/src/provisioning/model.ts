import type { Micros } from '@lilacvalve/runtime/micros';

export interface MachineType {
  readonly name: string;
  readonly cpus: number;
  readonly gpus: number;
  readonly memGb: number;
  readonly cacheGb: number;
  readonly fetchGbPerS: number;
  readonly price: number;
  readonly spotPrice: number;
  readonly boot: Micros;
  readonly zones: readonly string[];
}

/** What a machine can be rented as. */
export interface Offer {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

export const offerKey = (o: Offer): string => `${o.type}|${o.zone}|${o.spot}`;

/** What a leader knows of the cloud and its list does not show yet; a new leader is warm with it. */
export interface ProvisioningNews {
  readonly rented: readonly {
    readonly id: string;
    readonly type: string;
    readonly zone: string;
    readonly spot: boolean;
    readonly age: number;
  }[];
  readonly removed: readonly string[];
  /** Rentals that were asked for and not answered yet: they may be carried out, or have been. */
  readonly asked?: readonly (Offer & { readonly count: number; readonly age: number })[];
}

export interface ListedMachine {
  readonly id: string;
  readonly addr: string;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly status: 'booting' | 'running' | 'failed';
  readonly age: Micros;
}
