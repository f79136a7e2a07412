import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** One controller, mostly the leader, is refused by the state service. */
export const stateRefuses = (m: ScenarioKit): Scenario => ({
  begin: () => {
    const { world: w } = m;
    const node = m.mostlyLeader();
    if (w.state.refusedTo.has(node)) return;
    w.strike('stateRefuses');
    if (node === w.leader()) m.record('leader refused');
    m.refuseFor(node, w.random.between(2e6, 30e6));
  },
});
