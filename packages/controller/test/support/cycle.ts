/** Input of a scheduling cycle for tests. */
import type { Micros } from '@lilacvalve/runtime/micros';
import type { CycleInput } from '../../src/scheduler/model.js';

/** Returns an empty input with some properties overridden. */
export const cycleInput = (overrides: Partial<CycleInput>): CycleInput => ({
  now: 0 as Micros,
  teams: [],
  weights: new Map(),
  machines: [],
  placedTasks: [],
  queued: [],
  coLocatedDemand: [],
  idleMachines: new Set(),
  reservations: new Map(),
  avoid: () => null,
  ...overrides,
});
