import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Copies of reports arrive late, after newer ones, at the same controller or any other. */
export const lateHeartbeats = (m: ScenarioKit): Scenario => {
  let copies = { until: 0, share: 0 };
  return {
    begin: () => {
      const { world: w } = m;
      w.strike('lateHeartbeats');
      const l = w.random;
      copies = { until: w.time.now + l.between(10e6, 40e6), share: l.between(0.1, 0.6) };
      if (l.chance(0.4)) return;
      // Some machines are silent while the leader changes: what the new one hears of them first are old copies.
      m.after(l.between(3e6, 10e6), () => {
        const lasts = w.lease * l.between(0.3, 0.9);
        w.disturbed(lasts);
        for (const x of [...w.workers.values()].filter((m) => m.alive && !m.hanging && l.chance(0.5))) {
          x.hanging = true;
          m.after(lasts, () => (x.hanging = false));
        }
        const leader = w.leader();
        if (leader !== undefined) m.changeLeader(leader);
      });
    },
    heartbeatSent: (by, node, body) => {
      const { world: w } = m;
      const l = w.random;
      if (w.time.now >= copies.until || !l.chance(copies.share)) return;
      const { incarnation, token } = by;
      const process = w.process(node);
      const late = l.chance(0.5) ? l.between(2e6, w.lease) : l.between(w.lease, 2.5 * w.lease);
      m.after(late, () => {
        const to = l.chance(0.5) ? node : w.anyNode();
        if (by.alive && by.incarnation > incarnation) m.record('report of an older tenure');
        if (by.token > token) m.record('report of an older term');
        if (by.alive && w.leader() !== undefined && !w.heardFrom(by.place.id))
          m.record('old report before any other');
        if (w.process(node) !== process) m.record('report from before a restart');
        by.deliver(to, body, () => undefined);
      });
    },
  };
};
