import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** The leader is cut off from the state service and its peers, while workers and users still reach it. */
export const isolatedLeader = (kit: ScenarioKit): Scenario => {
  let isolated: string | null = null;
  return {
    begin: () => {
      const { world } = kit;
      const { random } = world;
      const ids = kit.longJobs(5);
      world.markDisruption(15e6);
      kit.after(random.between(10e6, 15e6), () => {
        const old = world.leader();
        if (old === undefined || isolated !== null) return;
        world.recordInjection('isolatedLeader');
        isolated = old;
        const durationUs = random.between(12e6, 50e6);
        const linkState = random.chance(0.5) ? 'held' : 'reset';
        for (const peer of ['state', ...world.nodes.filter((controller) => controller !== old)])
          world.cut(old, peer, linkState, durationUs);
        for (const id of ids.filter((jobId) => world.rules.hasPlacedTask(jobId) && random.chance(0.7)))
          kit.after(random.between(1e6, durationUs), () =>
            world.cancel(id, kit.anyOther(old), (confirmedBy) => {
              if (isolated === old && confirmedBy !== old && world.rules.hasPlacedTask(id))
                kit.record('running job cancelled beside an isolated leader');
            }),
          );
        for (let i = 0; i < 2; i++)
          kit.after(random.between(5e6, durationUs), () => {
            const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: random.between(5e6, 40e6) };
            world.submit({ job, urgency: 'high', due: null }, kit.anyOther(old));
          });
        kit.after(durationUs, () => (isolated = null));
      });
    },
    heartbeatReceived: (controller) => {
      const leader = isolated === controller ? kit.world.leader() : undefined;
      if (leader !== undefined && leader !== controller)
        kit.record('heartbeat received by an isolated leader beside a new leader');
    },
  };
};
