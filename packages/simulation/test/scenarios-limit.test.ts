/** Teams at their limits while users cancel what can't be asked, and the leader changes. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'every team at its limit, machines cut off or hung, the leader changed',
    { atLimit: true },
    [
      'cancelled at the team limit on a machine that is cut off and never reported to the new leader',
      'cancelled at the team limit on a machine that is hung and never reported to the new leader',
      'freed capacity was recognized by heartbeat or deletion',
      'freed capacity was recognized by lease expiry',
      'freed capacity was recognized by lease expiry, without a heartbeat',
      'freed capacity was used again',
    ],
  ],
]);
