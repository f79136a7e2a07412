/** What a cycle is given, with nothing in it but what a test says. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { CycleInput } from '../../src/scheduler/model.js';

export const input = (over: Partial<CycleInput>): CycleInput => ({
  now: 0 as Micros,
  teams: [],
  weights: new Map(),
  nodes: [],
  placedTasks: [],
  queued: [],
  coLocatedDemand: [],
  idleNodes: new Set(),
  reservations: new Map(),
  avoid: () => null,
  ...over,
});
