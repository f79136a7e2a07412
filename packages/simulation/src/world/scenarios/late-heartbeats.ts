import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Copies of heartbeats arrive late, after newer heartbeats, at the same or another controller. */
export const lateHeartbeats = (kit: ScenarioKit): Scenario => {
  let copies = { until: 0, probability: 0 };
  return {
    begin: () => {
      const { world } = kit;
      world.recordInjection('lateHeartbeats');
      const { random } = world;
      copies = { until: world.time.now + random.between(10e6, 40e6), probability: random.between(0.1, 0.6) };
      if (random.chance(0.4)) return;
      // Some machines send nothing while the leader changes: the first heartbeats the new leader receives of them are old copies.
      kit.after(random.between(3e6, 10e6), () => {
        const durationUs = world.lease * random.between(0.3, 0.9);
        world.markDisruption(durationUs);
        for (const worker of [...world.workers.values()].filter(
          (candidate) => candidate.alive && !candidate.hanging && random.chance(0.5),
        )) {
          worker.hanging = true;
          kit.after(durationUs, () => (worker.hanging = false));
        }
        const leader = world.leader();
        if (leader !== undefined) kit.changeLeader(leader);
      });
    },
    heartbeatSent: (worker, controller, body) => {
      const { world } = kit;
      const { random } = world;
      if (world.time.now >= copies.until || !random.chance(copies.probability)) return;
      const { incarnation, token } = worker;
      const process = world.process(controller);
      const delay = random.chance(0.5)
        ? random.between(2e6, world.lease)
        : random.between(world.lease, 2.5 * world.lease);
      kit.after(delay, () => {
        const receiver = random.chance(0.5) ? controller : world.anyController();
        if (worker.alive && worker.incarnation > incarnation)
          kit.record('heartbeat of an earlier incarnation');
        if (worker.token > token) kit.record('heartbeat with an older fencing token');
        if (worker.alive && world.leader() !== undefined && !world.hasReported(worker.place.id))
          kit.record('old heartbeat before any other');
        if (world.process(controller) !== process) kit.record('heartbeat from before a controller restart');
        worker.deliver(receiver, body, () => undefined);
      });
    },
  };
};
