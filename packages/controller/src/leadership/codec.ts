/**
 * The heartbeat between controllers on the wire: msgpack of one object, whose field names and their order are fixed here
 * and nowhere else. Controllers of two versions exchange heartbeats while they are replaced one after the other.
 */
import { pack, unpack } from 'msgpackr';
import type { ProvisioningNews } from '../provisioning/model.js';
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

const wireProvisioning = (news: ProvisioningNews): WireProvisioning => ({
  rented: news.rented.map(({ id, type, zone, spot, age }) => ({ id, type, zone, spot, age })),
  removed: news.removed,
  ...(news.asked === undefined
    ? {}
    : { asked: news.asked.map(({ type, zone, spot, count, age }) => ({ type, zone, spot, count, age })) }),
});

/** A heartbeat as it is sent. */
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

const object = (v: unknown): v is Record<string, unknown> =>
  typeof v === 'object' && v !== null && !Array.isArray(v);
const text = (v: unknown): v is string => typeof v === 'string';
const isOffer = (v: unknown): v is Record<string, unknown> =>
  object(v) && text(v.type) && text(v.zone) && typeof v.spot === 'boolean' && typeof v.age === 'number';
const isObservation = (v: unknown): v is WireObservation =>
  object(v) &&
  text(v.incarnation) &&
  Number.isInteger(v.generation) &&
  Number.isInteger(v.revision) &&
  Number.isInteger(v.read) &&
  typeof v.age === 'number';
const isProvisioning = (v: unknown): v is WireProvisioning =>
  object(v) &&
  Array.isArray(v.rented) &&
  v.rented.every((r: unknown) => isOffer(r) && text(r.id)) &&
  Array.isArray(v.removed) &&
  v.removed.every(text) &&
  (v.asked === undefined ||
    (Array.isArray(v.asked) && v.asked.every((a: unknown) => isOffer(a) && Number.isInteger(a.count))));
/** Checked by hand, as workers' heartbeats are: a schema's decoder took a seventh of an idle node's processor time. */
const isHeartbeat = (v: unknown): v is WireHeartbeat =>
  object(v) &&
  text(v.from) &&
  Number.isSafeInteger(v.term) &&
  typeof v.served === 'boolean' &&
  typeof v.loaded === 'boolean' &&
  Number.isInteger(v.contacts) &&
  (v.life === undefined || v.life === null || isObservation(v.life)) &&
  (v.relics === undefined || typeof v.relics === 'boolean') &&
  (v.news === undefined || isProvisioning(v.news));

const readObservation = (wire: WireObservation): StoreObservation => ({
  incarnation: wire.incarnation,
  generation: wire.generation,
  highestRevision: wire.revision,
  viewRevision: wire.read,
  seenAgo: wire.age,
});

const readProvisioning = (wire: WireProvisioning): ProvisioningNews => ({
  rented: wire.rented.map(({ id, type, zone, spot, age }) => ({ id, type, zone, spot, age })),
  removed: wire.removed,
  ...(wire.asked === undefined
    ? {}
    : { asked: wire.asked.map(({ type, zone, spot, count, age }) => ({ type, zone, spot, count, age })) }),
});

/** A received heartbeat; null: the bytes are none. Never throws, whatever arrives. */
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
