/** Teams at their limits while users cancel jobs on unreachable machines and the leader changes. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'limits of teams count cancelled tasks on machines that are cut off or hang, across changes of leader',
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
