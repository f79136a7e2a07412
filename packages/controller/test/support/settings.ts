/** Settings and machine types of a small cluster, for tests and for small simulations. */
import { micros, seconds } from '@lilacvalve/runtime/micros';
import type { MachineType } from '../../src/provisioning/model.js';
import type { Settings } from '../../src/settings/settings.js';

/** Zones of the test cluster. */
export const ZONES = ['a', 'b'];
/** Machine types of the test cluster: one without GPUs, one with. */
export const TYPES: MachineType[] = [
  {
    name: 'c8',
    cpus: 8,
    gpus: 0,
    memGb: 32,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 1,
    spotPrice: 0.4,
    boot: seconds(10),
    zones: ZONES,
  },
  {
    name: 'g4',
    cpus: 8,
    gpus: 4,
    memGb: 64,
    cacheGb: 50,
    fetchGbPerS: 1,
    price: 5,
    spotPrice: 2,
    boot: seconds(15),
    zones: ZONES,
  },
];
/** Returns the settings of the controller `label` of three controllers; `overrides` replaces single settings. */
export const worldSettings = (label: string, overrides: Partial<Settings> = {}): Settings => ({
  label,
  zone: 'a',
  listen: '127.0.0.1:1',
  peerListen: '127.0.0.1:2',
  peers: ['n0', 'n1', 'n2']
    .filter((peer) => peer !== label)
    .map((peer) => ({ label: peer, zone: 'a', address: '' })),
  cloudAddress: '127.0.0.1:3',
  stateAddress: '127.0.0.1:4',
  controllerCount: 3,
  zones: ZONES,
  skew: micros(5000),
  teams: [
    { name: 'red', guarantee: { cpus: 8, gpus: 0 }, limit: { cpus: 24, gpus: 0 } },
    { name: 'blue', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } },
    { name: 'guest', guarantee: { cpus: 0, gpus: 0 }, limit: { cpus: 0, gpus: 0 } },
  ],
  objectives: [],
  workers: {
    heartbeatInterval: seconds(2),
    lease: seconds(12),
    gangWait: seconds(20),
    gangPeer: seconds(4),
    cancel: seconds(35),
  },
  state: { rps: 100, writeRps: 30, valueBytes: 16384, txnOps: 20 },
  cloud: { rps: 4, listLag: seconds(4) },
  limits: { cores: 0.3, memoryMb: 200, maxConnections: 1000 },
  ...overrides,
});
