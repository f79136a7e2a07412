import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Answers of the state service take seconds, beyond time-outs and out of order; what was asked is carried out. */
export const stateSlow = (kit: ScenarioKit): Scenario => ({
  begin: () => {
    const { world } = kit;
    world.strike('stateSlow');
    const lasts = world.random.between(4e6, 25e6);
    world.state.slowUntil = world.time.now + lasts;
    world.disturbed(lasts + 8e6);
  },
});
