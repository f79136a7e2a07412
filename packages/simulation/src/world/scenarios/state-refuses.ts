import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** The state service refuses one controller, usually the leader. */
export const stateRefuses = (kit: ScenarioKit): Scenario => ({
  begin: () => {
    const { world } = kit;
    const controller = kit.mostlyLeader();
    if (world.state.refusedControllers.has(controller)) return;
    world.recordInjection('stateRefuses');
    if (controller === world.leader()) kit.record('state service refused the leader');
    kit.refuseFor(controller, world.random.between(2e6, 30e6));
  },
});
