import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Some machines send heartbeats, while the responses and the direct orders to them are lost. Usually the leader changes. */
export const inboundLoss = (kit: ScenarioKit): Scenario => ({
  begin: () => {
    const { world } = kit;
    const { random } = world;
    const durationUs =
      world.lease * (random.chance(0.5) ? random.between(0.3, 0.95) : random.between(1.05, 3));
    const probability = random.between(0.2, 0.7);
    const affected = [...world.workers.values()].filter(
      (worker) => worker.alive && !worker.deaf && random.chance(probability),
    );
    if (affected.length === 0) return;
    world.recordInjection('inboundLoss');
    world.markDisruption(durationUs);
    const previousTerm = world.term();
    for (const worker of affected) {
      worker.deaf = true;
      kit.after(durationUs, () => (worker.deaf = false));
    }
    const leader = world.leader();
    if (leader !== undefined && random.chance(0.7))
      kit.after(random.between(0, 3e6), () => kit.changeLeader(leader));
    const remaining = new Set(affected);
    const check = (): void => {
      const term = world.term();
      for (const worker of remaining) {
        if (!worker.alive || !worker.deaf) remaining.delete(worker);
        else if (term !== null && term !== previousTerm && worker.token < term && worker.running()) {
          kit.record('machine without inbound messages under a new leader');
          remaining.delete(worker);
        }
      }
      if (remaining.size > 0) kit.after(500_000, check);
    };
    check();
  },
});
