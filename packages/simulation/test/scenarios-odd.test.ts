/** Odd requests, on days of their own and with a trouble that changes leaders. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'odd requests while controllers end and come back',
    { invalidRequests: true, nodeCrash: true },
    [
      'unfinished job submitted again',
      'known job submitted again with an invalid body',
      'finished job cancelled',
      'unknown job cancelled',
      'refused with 400',
      'refused with 422',
    ],
  ],
]);
