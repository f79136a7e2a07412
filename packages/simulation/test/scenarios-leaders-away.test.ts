/** Leaders that follow one another within seconds, in an outage too, and none at all for longer than a lease. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'ten leaders in two minutes, in an outage too',
    { leaderChurn: true },
    ['ten leaders in two minutes', 'a leader ended inside the outage'],
  ],
]);
playScenarios(
  [
    [
      'all controllers away beyond the lease, and back one by one',
      { totalOutage: true },
      [
        'all away beyond the lease',
        'leases lapsed with all away',
        'one leads alone, the first one back',
        'started again by the one that is back',
        'cancelled as all went away',
      ],
    ],
  ],
  [3, 1, 2, 4, 5, 6],
);
