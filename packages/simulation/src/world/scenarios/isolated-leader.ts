import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** The leader is cut from state service and peers, while workers and users still reach it. */
export const isolatedLeader = (kit: ScenarioKit): Scenario => {
  let alone: string | null = null;
  return {
    begin: () => {
      const { world } = kit;
      const { random } = world;
      const ids = kit.longJobs(5);
      world.disturbed(15e6);
      kit.after(random.between(10e6, 15e6), () => {
        const old = world.leader();
        if (old === undefined || alone !== null) return;
        world.strike('isolatedLeader');
        alone = old;
        const lasts = random.between(12e6, 50e6);
        const mode = random.chance(0.5) ? 'held' : 'reset';
        for (const end of ['state', ...world.nodes.filter((n) => n !== old)])
          world.cut(old, end, mode, lasts);
        for (const id of ids.filter((x) => world.rules.isOn(x) && random.chance(0.7)))
          kit.after(random.between(1e6, lasts), () =>
            world.cancel(id, kit.anyOther(old), (by) => {
              if (alone === old && by !== old && world.rules.isOn(id))
                kit.record('cancelled beside a leader alone');
            }),
          );
        for (let i = 0; i < 2; i++)
          kit.after(random.between(5e6, lasts), () => {
            const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: random.between(5e6, 40e6) };
            world.submit({ job, urgency: 'high', due: null }, kit.anyOther(old));
          });
        kit.after(lasts, () => (alone = null));
      });
    },
    heartbeatReceived: (node) => {
      const leader = alone === node ? kit.world.leader() : undefined;
      if (leader !== undefined && leader !== node) kit.record('heard by a leader alone, beside the new one');
    },
  };
};
