import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Machines stand still between getting an order or an answer and acting on it. */
export const stalledMachine = (kit: ScenarioKit): Scenario => {
  let held = { until: 0, machines: new Set<string>() };
  return {
    begin: () => {
      const { world } = kit;
      const { random } = world;
      world.strike('stalledMachine');
      const machines = [...world.workers.keys()].filter(() => random.chance(0.5));
      const lasts = random.between(10e6, 30e6);
      held = { until: world.time.now + lasts, machines: new Set(machines) };
      world.disturbed(lasts + 1.4 * world.lease);
    },
    stallFor: (by) => {
      const { world } = kit;
      const { random } = world;
      if (world.time.now >= held.until || !held.machines.has(by.place.id) || !random.chance(0.3)) return 0;
      return random.chance(0.6) ? random.between(500_000, 3.9e6) : random.between(3.9e6, 1.4 * world.lease);
    },
    resumed: (lapsed, order) => {
      kit.record(lapsed ? 'held beyond the lease' : 'held within the lease');
      kit.record(order ? 'direct order held' : 'answer held');
    },
  };
};
