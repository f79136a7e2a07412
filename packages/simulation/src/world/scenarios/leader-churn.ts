/** Leaders change again and again for two minutes, mostly within seconds, and end inside an outage too. */
import type { ScenarioKit, Scenario } from './scenario-kit.js';

const LASTS = 120e6;
const TEN = 10;

export const leaderChurn = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let on = false;
  return {
    begin() {
      if (on) return;
      on = true;
      world.strike('leaderChurn');
      const until = world.time.now + LASTS;
      const terms = new Set<number>();
      let darkFrom: number | null = null;
      let since = world.time.now;
      let stays = 0;
      if (random.chance(0.7))
        kit.after(random.between(10e6, 90e6), () => {
          if (world.state.out) return;
          darkFrom = world.time.now;
          const lasts = random.between(4e6, 14e6);
          world.state.outage(true);
          world.disturbed(lasts);
          kit.after(lasts, () => {
            world.state.outage(false);
            darkFrom = null;
          });
        });
      const end = (node: string): void => {
        if (random.chance(0.5)) world.crash(node, random.between(200_000, 4e6));
        else world.stepDown(node, random.between(0, 2e6));
      };
      const look = (): void => {
        const now = world.time.now;
        if (now >= until) {
          on = false;
          return;
        }
        world.disturbed(8e6);
        const term = world.term();
        if (term !== null && !terms.has(term)) {
          terms.add(term);
          since = now;
          stays = random.chance(0.2) ? random.between(0, 300_000) : random.between(300_000, 6e6);
          if (terms.size === TEN) kit.record('ten leaders in two minutes');
          if (terms.size === TEN + 1 && darkEnds > 0)
            kit.record('ten leaders and more, some of them ended in an outage');
        }
        if (now - since >= stays) {
          // Nobody leads in an outage; one may hold on.
          const node =
            world.leader() ?? (darkFrom === null ? undefined : world.nodes.find((n) => world.answering(n)));
          if (node !== undefined && (darkFrom === null || now - darkFrom > 4.5e6 || random.chance(0.05))) {
            if (darkFrom !== null) {
              darkEnds++;
              kit.record('a leader ended inside the outage');
            }
            end(node);
            since = now;
            stays = random.between(500_000, 3e6);
          }
        }
        kit.after(100_000, look);
      };
      let darkEnds = 0;
      look();
    },
  };
};
