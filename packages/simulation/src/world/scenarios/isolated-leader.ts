import { PLAIN_JOB, type ScenarioKit, type Scenario } from './scenario-kit.js';

/** The leader is cut from state service and peers, while workers and users still reach it. */
export const isolatedLeader = (m: ScenarioKit): Scenario => {
  let alone: string | null = null;
  return {
    begin: () => {
      const { world: w } = m;
      const l = w.random;
      const ids = m.longJobs(5);
      w.disturbed(15e6);
      m.after(l.between(10e6, 15e6), () => {
        const old = w.leader();
        if (old === undefined || alone !== null) return;
        w.strike('isolatedLeader');
        alone = old;
        const lasts = l.between(12e6, 50e6);
        const mode = l.chance(0.5) ? 'held' : 'reset';
        for (const end of ['state', ...w.nodes.filter((n) => n !== old)]) w.cut(old, end, mode, lasts);
        for (const id of ids.filter((x) => w.rules.isOn(x) && l.chance(0.7)))
          m.after(l.between(1e6, lasts), () =>
            w.cancel(id, m.anyOther(old), (by) => {
              if (alone === old && by !== old && w.rules.isOn(id))
                m.record('cancelled beside a leader alone');
            }),
          );
        for (let i = 0; i < 2; i++)
          m.after(l.between(5e6, lasts), () => {
            const job = { ...PLAIN_JOB, tasks: 2, cpus: 1, runUs: l.between(5e6, 40e6) };
            w.submit({ job, urgency: 'high', due: null }, m.anyOther(old));
          });
        m.after(lasts, () => (alone = null));
      });
    },
    heartbeatReceived: (node) => {
      const leader = alone === node ? m.world.leader() : undefined;
      if (leader !== undefined && leader !== node) m.record('heard by a leader alone, beside the new one');
    },
  };
};
