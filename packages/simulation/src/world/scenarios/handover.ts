import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** The lead is given back again and again; or all controllers end, and one is back alone. */
export const handover = (m: ScenarioKit): Scenario => ({
  begin: () => {
    const { world: w } = m;
    const l = w.random;
    w.strike('handover');
    if (l.chance(0.5)) {
      // Over and back.
      const first = w.leader();
      for (let i = 0, t = 0; i < 2 + l.int(5); i++, t += l.between(200_000, 5e6)) {
        w.disturbed(t);
        m.after(t, () => {
          const now = w.leader();
          if (now === undefined) return;
          if (i > 0 && now === first) m.record('led again');
          w.stepDown(now, l.between(0, 2e6));
        });
      }
      return;
    }
    // All end, some in order, and one is back at once.
    const back = w.anyNode();
    for (const n of w.nodes) {
      const at = l.between(0, 300_000);
      if (l.chance(0.4)) m.after(at, () => w.stepDown(n, 0));
      m.after(at + l.between(0, 100_000), () =>
        w.crash(n, n === back ? l.between(50_000, 1e6) : l.between(3e6, 15e6)),
      );
    }
    w.disturbed(2e6);
    const look = (times: number): void => {
      if (w.leader() === back && w.nodes.every((n) => n === back || w.process(n) === undefined))
        return m.record('one back alone');
      if (times > 0) m.after(200_000, () => look(times - 1));
    };
    m.after(500_000, () => look(40));
  },
});
