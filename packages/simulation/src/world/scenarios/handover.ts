import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** The lead is given back again and again; or all controllers end, and one is back alone. */
export const handover = (kit: ScenarioKit): Scenario => ({
  begin: () => {
    const { world } = kit;
    const { random } = world;
    world.strike('handover');
    if (random.chance(0.5)) {
      // Over and back.
      const first = world.leader();
      for (let i = 0, t = 0; i < 2 + random.int(5); i++, t += random.between(200_000, 5e6)) {
        world.disturbed(t);
        kit.after(t, () => {
          const now = world.leader();
          if (now === undefined) return;
          if (i > 0 && now === first) kit.record('led again');
          world.stepDown(now, random.between(0, 2e6));
        });
      }
      return;
    }
    // All end, some in order, and one is back at once.
    const back = world.anyNode();
    for (const n of world.nodes) {
      const at = random.between(0, 300_000);
      if (random.chance(0.4)) kit.after(at, () => world.stepDown(n, 0));
      kit.after(at + random.between(0, 100_000), () =>
        world.crash(n, n === back ? random.between(50_000, 1e6) : random.between(3e6, 15e6)),
      );
    }
    world.disturbed(2e6);
    const look = (times: number): void => {
      if (world.leader() === back && world.nodes.every((n) => n === back || world.process(n) === undefined))
        return kit.record('one back alone');
      if (times > 0) kit.after(200_000, () => look(times - 1));
    };
    kit.after(500_000, () => look(40));
  },
});
