import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Machines stand still between getting an order or an answer and acting on it. */
export const stalledMachine = (m: ScenarioKit): Scenario => {
  let held = { until: 0, machines: new Set<string>() };
  return {
    begin: () => {
      const { world: w } = m;
      const l = w.random;
      w.strike('stalledMachine');
      const machines = [...w.workers.keys()].filter(() => l.chance(0.5));
      const lasts = l.between(10e6, 30e6);
      held = { until: w.time.now + lasts, machines: new Set(machines) };
      w.disturbed(lasts + 1.4 * w.lease);
    },
    stallFor: (by) => {
      const { world: w } = m;
      const l = w.random;
      if (w.time.now >= held.until || !held.machines.has(by.place.id) || !l.chance(0.3)) return 0;
      return l.chance(0.6) ? l.between(500_000, 3.9e6) : l.between(3.9e6, 1.4 * w.lease);
    },
    resumed: (lapsed, order) => {
      m.record(lapsed ? 'held beyond the lease' : 'held within the lease');
      m.record(order ? 'direct order held' : 'answer held');
    },
  };
};
