/** Machines that are up at once, before anybody knows of them. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'new machines within two seconds, their rentals answered late, carried out late, or never answered',
    { fastBoots: true },
    [
      'reported before the answer to its rental',
      'reported before any list',
      'machine of a late rental',
      'leader ended between the report and the durable start',
    ],
  ],
]);
