/** Machines that boot before any controller knows of them. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'machines boot within two seconds, and rental requests are answered late, carried out late or never answered',
    { fastBoots: true },
    [
      'heartbeat before the response to the rental',
      'heartbeat before any machine list',
      'machine of a delayed rental request',
      'leader crashed between the first heartbeat and the durable start',
    ],
  ],
]);
