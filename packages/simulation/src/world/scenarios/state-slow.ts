import type { ScenarioKit, Scenario } from './scenario-kit.js';

/** Answers of the state service take seconds, beyond time-outs and out of order; what was asked is carried out. */
export const stateSlow = (m: ScenarioKit): Scenario => ({
  begin: () => {
    const { world: w } = m;
    w.strike('stateSlow');
    const lasts = w.random.between(4e6, 25e6);
    w.state.slowUntil = w.time.now + lasts;
    w.disturbed(lasts + 8e6);
  },
});
