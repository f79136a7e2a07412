/** Machines that reach no controller, while direct orders reach them. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'machines reach no controller, while direct orders reach them',
    { outboundLoss: true },
    [
      'cancelled task stopped by a direct order on a machine without outbound messages',
      'task restarted on another machine after the lease expired',
      'machine that lost outbound messages was returned',
      'machine without outbound messages since its start was returned',
    ],
  ],
]);
