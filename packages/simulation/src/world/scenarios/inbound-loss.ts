import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Machines report; answers and direct orders to them are lost. The leader mostly changes. */
export const inboundLoss = (m: ScenarioKit): Scenario => ({
  begin: () => {
    const { world: w } = m;
    const l = w.random;
    const lasts = w.lease * (l.chance(0.5) ? l.between(0.3, 0.95) : l.between(1.05, 3));
    const share = l.between(0.2, 0.7);
    const deaf = [...w.workers.values()].filter((x) => x.alive && !x.deaf && l.chance(share));
    if (deaf.length === 0) return;
    w.strike('inboundLoss');
    w.disturbed(lasts);
    const before = w.term();
    for (const x of deaf) {
      x.deaf = true;
      m.after(lasts, () => (x.deaf = false));
    }
    const leader = w.leader();
    if (leader !== undefined && l.chance(0.7)) m.after(l.between(0, 3e6), () => m.changeLeader(leader));
    const hearing = new Set(deaf);
    const look = (): void => {
      const now = w.term();
      for (const x of hearing) {
        if (!x.alive || !x.deaf) hearing.delete(x);
        else if (now !== null && now !== before && x.token < now && x.running()) {
          m.record('deaf machine under a new leader');
          hearing.delete(x);
        }
      }
      if (hearing.size > 0) m.after(500_000, look);
    };
    look();
  },
});
