/** Leaders that change within seconds, also during an outage, and outages of all controllers for longer than a lease. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'ten changes of leader in two minutes, some during an outage',
    { leaderChurn: true },
    ['ten leaders in two minutes', 'leader lost during the outage'],
  ],
]);
playScenarios(
  [
    [
      'all controllers are down for longer than the lease and restart one by one',
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
