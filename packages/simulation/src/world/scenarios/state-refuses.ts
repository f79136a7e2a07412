import type { Shared, Trouble } from './scenario-kit.js';

/** One controller, mostly the leader, is refused by the state service. */
export const stateRefuses = (m: Shared): Trouble => ({
  begin: () => {
    const { w } = m;
    const node = m.mostlyLeader();
    if (w.state.refusedTo.has(node)) return;
    w.strike('stateRefuses');
    if (node === w.leader()) m.meet('leader refused');
    m.refuse(node, w.luck.between(2e6, 30e6));
  },
});
