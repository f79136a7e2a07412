/** Leaders that follow one another within seconds, in an outage too, and none at all for longer than a lease. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'ten leaders in two minutes, in an outage too',
    { leaderChurn: true },
    ['ten leaders in two minutes', 'leader lost during the outage'],
  ],
]);
playScenarios(
  [
    [
      'all controllers away beyond the lease, and back one by one',
      { totalOutage: true },
      [
        'all controllers down beyond the lease',
        'worker leases expired with all controllers down',
        'first restarted controller leads alone',
        'task restarted by the first restarted controller',
        'running job cancelled as all controllers crashed',
      ],
    ],
  ],
  [3, 1, 2, 4, 5, 6],
);
