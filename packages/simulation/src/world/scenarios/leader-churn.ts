/** Leaders change again and again for two minutes, mostly within seconds, and end inside an outage too. */
import type { ScenarioKit, Scenario } from './scenario-kit.js';

const LASTS = 120e6;
const TEN = 10;

export const leaderChurn = (m: ScenarioKit): Scenario => {
  const { world: w } = m;
  const l = w.random;
  let on = false;
  return {
    begin() {
      if (on) return;
      on = true;
      w.strike('leaderChurn');
      const until = w.time.now + LASTS;
      const terms = new Set<number>();
      let darkFrom: number | null = null;
      let since = w.time.now;
      let stays = 0;
      if (l.chance(0.7))
        m.after(l.between(10e6, 90e6), () => {
          if (w.state.out) return;
          darkFrom = w.time.now;
          const lasts = l.between(4e6, 14e6);
          w.state.outage(true);
          w.disturbed(lasts);
          m.after(lasts, () => {
            w.state.outage(false);
            darkFrom = null;
          });
        });
      const end = (node: string): void => {
        if (l.chance(0.5)) w.crash(node, l.between(200_000, 4e6));
        else w.stepDown(node, l.between(0, 2e6));
      };
      const look = (): void => {
        const now = w.time.now;
        if (now >= until) {
          on = false;
          return;
        }
        w.disturbed(8e6);
        const term = w.term();
        if (term !== null && !terms.has(term)) {
          terms.add(term);
          since = now;
          stays = l.chance(0.2) ? l.between(0, 300_000) : l.between(300_000, 6e6);
          if (terms.size === TEN) m.record('ten leaders in two minutes');
          if (terms.size === TEN + 1 && darkEnds > 0)
            m.record('ten leaders and more, some of them ended in an outage');
        }
        if (now - since >= stays) {
          // Nobody leads in an outage; one may hold on.
          const node = w.leader() ?? (darkFrom === null ? undefined : w.nodes.find((n) => w.answering(n)));
          if (node !== undefined && (darkFrom === null || now - darkFrom > 4.5e6 || l.chance(0.05))) {
            if (darkFrom !== null) {
              darkEnds++;
              m.record('a leader ended inside the outage');
            }
            end(node);
            since = now;
            stays = l.between(500_000, 3e6);
          }
        }
        m.after(100_000, look);
      };
      let darkEnds = 0;
      look();
    },
  };
};
