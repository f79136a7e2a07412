/** Machines that reach no controller, while direct orders reach them. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'machines that reach no controller',
    { outboundLoss: true },
    [
      'cancelled and stopped directly on a mute machine',
      'started again elsewhere after the lease',
      'a mute machine was returned',
      'a machine that came up mute was returned',
    ],
  ],
]);
