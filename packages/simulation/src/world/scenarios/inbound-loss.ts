import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Machines report; answers and direct orders to them are lost. The leader mostly changes. */
export const inboundLoss = (kit: ScenarioKit): Scenario => ({
  begin: () => {
    const { world } = kit;
    const { random } = world;
    const lasts = world.lease * (random.chance(0.5) ? random.between(0.3, 0.95) : random.between(1.05, 3));
    const share = random.between(0.2, 0.7);
    const deaf = [...world.workers.values()].filter((x) => x.alive && !x.deaf && random.chance(share));
    if (deaf.length === 0) return;
    world.strike('inboundLoss');
    world.disturbed(lasts);
    const before = world.term();
    for (const x of deaf) {
      x.deaf = true;
      kit.after(lasts, () => (x.deaf = false));
    }
    const leader = world.leader();
    if (leader !== undefined && random.chance(0.7))
      kit.after(random.between(0, 3e6), () => kit.changeLeader(leader));
    const hearing = new Set(deaf);
    const look = (): void => {
      const now = world.term();
      for (const x of hearing) {
        if (!x.alive || !x.deaf) hearing.delete(x);
        else if (now !== null && now !== before && x.token < now && x.running()) {
          kit.record('deaf machine under a new leader');
          hearing.delete(x);
        }
      }
      if (hearing.size > 0) kit.after(500_000, look);
    };
    look();
  },
});
