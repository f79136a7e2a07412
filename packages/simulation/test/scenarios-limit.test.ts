/** Teams at their limits while users cancel what can't be asked, and the leader changes. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'every team at its limit, machines cut off or hung, the leader changed',
    { atLimit: true },
    [
      'at the limit, cancelled on a machine that is cut off and that a new leader never heard',
      'at the limit, cancelled on a machine that is hung and that a new leader never heard',
      'the room came back by word',
      'the room came back by its lease',
      'the room came back by its lease, never heard',
      'the room was used again',
    ],
  ],
]);
