import type { Shared, Trouble } from './scenario-kit.js';

/** Machines stand still between getting an order or an answer and acting on it. */
export const heldMachine = (m: Shared): Trouble => {
  let held = { until: 0, machines: new Set<string>() };
  return {
    begin: () => {
      const { w } = m;
      const l = w.luck;
      w.strike('heldMachine');
      const machines = [...w.workers.keys()].filter(() => l.chance(0.5));
      const lasts = l.between(10e6, 30e6);
      held = { until: w.time.now + lasts, machines: new Set(machines) };
      w.troubled(lasts + 1.4 * w.lease);
    },
    holds: (by) => {
      const { w } = m;
      const l = w.luck;
      if (w.time.now >= held.until || !held.machines.has(by.place.id) || !l.chance(0.3)) return 0;
      return l.chance(0.6) ? l.between(500_000, 3.9e6) : l.between(3.9e6, 1.4 * w.lease);
    },
    wentOn: (lapsed, order) => {
      m.meet(lapsed ? 'held beyond the lease' : 'held within the lease');
      m.meet(order ? 'direct order held' : 'answer held');
    },
  };
};
