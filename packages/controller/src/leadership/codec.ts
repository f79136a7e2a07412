/**
 * The wire form of peer heartbeats: msgpack of one object. Its field names and their order are defined here only.
 * Controllers of two versions exchange heartbeats during a rolling upgrade.
 */
import { pack, unpack } from 'msgpackr';
import type { ProvisioningUpdate } from '../provisioning/model.js';
import type { PeerHeartbeat, StoreObservation } from './model.js';

interface WireObservation {
  readonly incarnation: string;
  readonly generation: number;
  readonly revision: number;
  readonly read: number;
  readonly age: number;
}
interface WireOffer {
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
  readonly age: number;
}
interface WireProvisioning {
  readonly rented: readonly (WireOffer & { readonly id: string })[];
  readonly removed: readonly string[];
  readonly asked?: readonly (WireOffer & { readonly count: number })[];
}
interface WireHeartbeat {
  readonly term: number;
  readonly served: boolean;
  readonly loaded: boolean;
  readonly contacts: number;
  readonly life?: WireObservation | null;
  readonly relics?: boolean;
  readonly news?: WireProvisioning;
  readonly from: string;
}

const wireObservation = (store: StoreObservation): WireObservation => ({
  incarnation: store.incarnation,
  generation: store.generation,
  revision: store.highestRevision,
  read: store.viewRevision,
  age: store.seenAgo,
});

const wireProvisioning = (news: ProvisioningUpdate): WireProvisioning => ({
  rented: news.rented.map(({ id, type, zone, spot, age }) => ({ id, type, zone, spot, age })),
  removed: news.removed,
  ...(news.asked === undefined
    ? {}
    : { asked: news.asked.map(({ type, zone, spot, count, age }) => ({ type, zone, spot, count, age })) }),
});

/** Encodes a peer heartbeat to be sent. */
export const encodePeerHeartbeat = (heartbeat: PeerHeartbeat): Buffer => {
  const { store, provisioning } = heartbeat;
  const wire: WireHeartbeat = {
    term: heartbeat.term,
    served: heartbeat.servedByStore,
    loaded: heartbeat.viewLoaded,
    contacts: heartbeat.reachableWorkers,
    life: store === null ? null : wireObservation(store),
    relics: heartbeat.hasPreLossViews,
    ...(provisioning === undefined ? {} : { news: wireProvisioning(provisioning) }),
    from: heartbeat.from,
  };
  return pack(wire);
};

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isText = (value: unknown): value is string => typeof value === 'string';
const isOffer = (value: unknown): value is Record<string, unknown> =>
  isObject(value) &&
  isText(value.type) &&
  isText(value.zone) &&
  typeof value.spot === 'boolean' &&
  typeof value.age === 'number';
const isObservation = (value: unknown): value is WireObservation =>
  isObject(value) &&
  isText(value.incarnation) &&
  Number.isInteger(value.generation) &&
  Number.isInteger(value.revision) &&
  Number.isInteger(value.read) &&
  typeof value.age === 'number';
const isProvisioning = (value: unknown): value is WireProvisioning =>
  isObject(value) &&
  Array.isArray(value.rented) &&
  value.rented.every((rental: unknown) => isOffer(rental) && isText(rental.id)) &&
  Array.isArray(value.removed) &&
  value.removed.every(isText) &&
  (value.asked === undefined ||
    (Array.isArray(value.asked) &&
      value.asked.every((request: unknown) => isOffer(request) && Number.isInteger(request.count))));
/** Written by hand, as for workers' heartbeats: a schema decoder took a seventh of an idle controller's CPU time. */
const isHeartbeat = (value: unknown): value is WireHeartbeat =>
  isObject(value) &&
  isText(value.from) &&
  Number.isSafeInteger(value.term) &&
  typeof value.served === 'boolean' &&
  typeof value.loaded === 'boolean' &&
  Number.isInteger(value.contacts) &&
  (value.life === undefined || value.life === null || isObservation(value.life)) &&
  (value.relics === undefined || typeof value.relics === 'boolean') &&
  (value.news === undefined || isProvisioning(value.news));

const readObservation = (wire: WireObservation): StoreObservation => ({
  incarnation: wire.incarnation,
  generation: wire.generation,
  highestRevision: wire.revision,
  viewRevision: wire.read,
  seenAgo: wire.age,
});

const readProvisioning = (wire: WireProvisioning): ProvisioningUpdate => ({
  rented: wire.rented.map(({ id, type, zone, spot, age }) => ({ id, type, zone, spot, age })),
  removed: wire.removed,
  ...(wire.asked === undefined
    ? {}
    : { asked: wire.asked.map(({ type, zone, spot, count, age }) => ({ type, zone, spot, count, age })) }),
});

/** Decodes a received peer heartbeat; null: the body is not a valid one. Never throws. */
export const decodePeerHeartbeat = (body: Buffer): PeerHeartbeat | null => {
  let wire: unknown;
  try {
    wire = unpack(body);
  } catch {
    return null;
  }
  if (!isHeartbeat(wire)) return null;
  return {
    from: wire.from,
    term: wire.term,
    servedByStore: wire.served,
    viewLoaded: wire.loaded,
    reachableWorkers: wire.contacts,
    store: wire.life ? readObservation(wire.life) : null,
    hasPreLossViews: wire.relics === true,
    ...(wire.news === undefined ? {} : { provisioning: readProvisioning(wire.news) }),
  };
};
