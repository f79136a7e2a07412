import type { Shared, Trouble } from './scenario-kit.js';

/** Answers of the state service take seconds, beyond time-outs and out of order; what was asked is carried out. */
export const stateSlow = (m: Shared): Trouble => ({
  begin: () => {
    const { w } = m;
    w.strike('stateSlow');
    const lasts = w.luck.between(4e6, 25e6);
    w.state.slowUntil = w.time.now + lasts;
    w.troubled(lasts + 8e6);
  },
});
