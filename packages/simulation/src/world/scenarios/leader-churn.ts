/** Changes the leader repeatedly for two minutes, usually within seconds, also during an outage of the state service. */
import type { ScenarioKit, Scenario } from './scenario-kit.js';

const DURATION_US = 120e6;
const MANY_LEADERS = 10;

export const leaderChurn = (kit: ScenarioKit): Scenario => {
  const { world } = kit;
  const { random } = world;
  let active = false;
  return {
    begin() {
      if (active) return;
      active = true;
      world.recordInjection('leaderChurn');
      const until = world.time.now + DURATION_US;
      const terms = new Set<number>();
      let outageStartedAt: number | null = null;
      let lastChangeAt = world.time.now;
      let termDurationUs = 0;
      if (random.chance(0.7))
        kit.after(random.between(10e6, 90e6), () => {
          if (world.state.isDown) return;
          outageStartedAt = world.time.now;
          const outageUs = random.between(4e6, 14e6);
          world.state.outage(true);
          world.markDisruption(outageUs);
          kit.after(outageUs, () => {
            world.state.outage(false);
            outageStartedAt = null;
          });
        });
      const endLeadership = (controller: string): void => {
        if (random.chance(0.5)) world.crash(controller, random.between(200_000, 4e6));
        else world.stepDown(controller, random.between(0, 2e6));
      };
      const check = (): void => {
        const now = world.time.now;
        if (now >= until) {
          active = false;
          return;
        }
        world.markDisruption(8e6);
        const term = world.term();
        if (term !== null && !terms.has(term)) {
          terms.add(term);
          lastChangeAt = now;
          termDurationUs = random.chance(0.2) ? random.between(0, 300_000) : random.between(300_000, 6e6);
          if (terms.size === MANY_LEADERS) kit.record('ten leaders in two minutes');
          if (terms.size === MANY_LEADERS + 1 && leadersLostInOutage > 0)
            kit.record('more than ten leaders, some of them lost during an outage');
        }
        if (now - lastChangeAt >= termDurationUs) {
          // No controller leads during an outage, but one may still respond to heartbeats under a read lease.
          const controller =
            world.leader() ??
            (outageStartedAt === null
              ? undefined
              : world.nodes.find((candidate) => world.isResponding(candidate)));
          if (
            controller !== undefined &&
            (outageStartedAt === null || now - outageStartedAt > 4.5e6 || random.chance(0.05))
          ) {
            if (outageStartedAt !== null) {
              leadersLostInOutage++;
              kit.record('leader lost during the outage');
            }
            endLeadership(controller);
            lastChangeAt = now;
            termDurationUs = random.between(500_000, 3e6);
          }
        }
        kit.after(100_000, check);
      };
      let leadersLostInOutage = 0;
      check();
    },
  };
};
