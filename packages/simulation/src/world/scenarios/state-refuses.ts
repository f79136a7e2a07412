import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** One controller, mostly the leader, is refused by the state service. */
export const stateRefuses = (kit: ScenarioKit): Scenario => ({
  begin: () => {
    const { world } = kit;
    const node = kit.mostlyLeader();
    if (world.state.refusedTo.has(node)) return;
    world.strike('stateRefuses');
    if (node === world.leader()) kit.record('leader refused');
    kit.refuseFor(node, world.random.between(2e6, 30e6));
  },
});
