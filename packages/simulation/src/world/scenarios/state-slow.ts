import type { ScenarioKit, Scenario } from './scenario-kit.js';

/**
 * Responses of the state service take seconds, exceed timeouts and arrive out of order, while the requests are carried out.
 */
export const stateSlow = (kit: ScenarioKit): Scenario => ({
  begin: () => {
    const { world } = kit;
    world.recordInjection('stateSlow');
    const durationUs = world.random.between(4e6, 25e6);
    world.state.slowUntil = world.time.now + durationUs;
    world.markDisruption(durationUs + 8e6);
  },
});
