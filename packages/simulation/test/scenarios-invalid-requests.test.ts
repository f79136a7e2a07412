/** Invalid requests while controllers crash and restart. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'invalid requests while controllers crash and restart',
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
