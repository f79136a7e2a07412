import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Leaders step down repeatedly, or all controllers crash and one of them restarts long before the others. */
export const handover = (kit: ScenarioKit): Scenario => ({
  begin: () => {
    const { world } = kit;
    const { random } = world;
    world.recordInjection('handover');
    if (random.chance(0.5)) {
      // Repeated step-downs, which may return the leadership to the first leader.
      const first = world.leader();
      for (let i = 0, delay = 0; i < 2 + random.int(5); i++, delay += random.between(200_000, 5e6)) {
        world.markDisruption(delay);
        kit.after(delay, () => {
          const leader = world.leader();
          if (leader === undefined) return;
          if (i > 0 && leader === first) kit.record('former leader leads again');
          world.stepDown(leader, random.between(0, 2e6));
        });
      }
      return;
    }
    // All controllers crash, some after stepping down, and one restarts within a second.
    const survivor = world.anyController();
    for (const controller of world.nodes) {
      const delay = random.between(0, 300_000);
      if (random.chance(0.4)) kit.after(delay, () => world.stepDown(controller, 0));
      kit.after(delay + random.between(0, 100_000), () =>
        world.crash(
          controller,
          controller === survivor ? random.between(50_000, 1e6) : random.between(3e6, 15e6),
        ),
      );
    }
    world.markDisruption(2e6);
    const check = (remainingChecks: number): void => {
      if (
        world.leader() === survivor &&
        world.nodes.every((controller) => controller === survivor || world.process(controller) === undefined)
      )
        return kit.record('first restarted controller leads alone after a crash of all');
      if (remainingChecks > 0) kit.after(200_000, () => check(remainingChecks - 1));
    };
    kit.after(500_000, () => check(40));
  },
});
