import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Copies of reports arrive late, after newer ones, at the same controller or any other. */
export const lateHeartbeats = (kit: ScenarioKit): Scenario => {
  let copies = { until: 0, share: 0 };
  return {
    begin: () => {
      const { world } = kit;
      world.strike('lateHeartbeats');
      const { random } = world;
      copies = { until: world.time.now + random.between(10e6, 40e6), share: random.between(0.1, 0.6) };
      if (random.chance(0.4)) return;
      // Some machines are silent while the leader changes: what the new one hears of them first are old copies.
      kit.after(random.between(3e6, 10e6), () => {
        const lasts = world.lease * random.between(0.3, 0.9);
        world.disturbed(lasts);
        for (const x of [...world.workers.values()].filter(
          (m) => m.alive && !m.hanging && random.chance(0.5),
        )) {
          x.hanging = true;
          kit.after(lasts, () => (x.hanging = false));
        }
        const leader = world.leader();
        if (leader !== undefined) kit.changeLeader(leader);
      });
    },
    heartbeatSent: (by, node, body) => {
      const { world } = kit;
      const { random } = world;
      if (world.time.now >= copies.until || !random.chance(copies.share)) return;
      const { incarnation, token } = by;
      const process = world.process(node);
      const late = random.chance(0.5)
        ? random.between(2e6, world.lease)
        : random.between(world.lease, 2.5 * world.lease);
      kit.after(late, () => {
        const to = random.chance(0.5) ? node : world.anyNode();
        if (by.alive && by.incarnation > incarnation) kit.record('report of an older tenure');
        if (by.token > token) kit.record('report of an older term');
        if (by.alive && world.leader() !== undefined && !world.heardFrom(by.place.id))
          kit.record('old report before any other');
        if (world.process(node) !== process) kit.record('report from before a restart');
        by.deliver(to, body, () => undefined);
      });
    },
  };
};
