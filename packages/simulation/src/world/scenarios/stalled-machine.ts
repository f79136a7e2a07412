import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Machines stall between receiving an order or a response and acting on it. */
export const stalledMachine = (kit: ScenarioKit): Scenario => {
  let stalled = { until: 0, machines: new Set<string>() };
  return {
    begin: () => {
      const { world } = kit;
      const { random } = world;
      world.recordInjection('stalledMachine');
      const machines = [...world.workers.keys()].filter(() => random.chance(0.5));
      const durationUs = random.between(10e6, 30e6);
      stalled = { until: world.time.now + durationUs, machines: new Set(machines) };
      world.markDisruption(durationUs + 1.4 * world.lease);
    },
    stallFor: (worker) => {
      const { world } = kit;
      const { random } = world;
      if (world.time.now >= stalled.until || !stalled.machines.has(worker.place.id) || !random.chance(0.3))
        return 0;
      return random.chance(0.6) ? random.between(500_000, 3.9e6) : random.between(3.9e6, 1.4 * world.lease);
    },
    resumed: (leaseExpired, order) => {
      kit.record(leaseExpired ? 'stalled beyond the lease' : 'stalled within the lease');
      kit.record(order ? 'direct order delayed' : 'response delayed');
    },
  };
};
