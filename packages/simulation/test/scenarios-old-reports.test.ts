/** What a new leader hears first of a machine may be a lease old, or have a token that only an order of its own has raised. */
import { playScenarios } from './support/scenario-days.js';

// On its first day a task runs twice where a report without the term's token counts as one with it.
playScenarios(
  [
    [
      'old reports reach every controller just as a new leader begins',
      { staleHeartbeats: true },
      [
        'old heartbeat first',
        'old heartbeat after the first response',
        'old heartbeat relayed',
        'old heartbeat first, of an earlier incarnation',
        'old heartbeat first, lacks a running task',
        'old heartbeat first, lists a task that has exited',
        'old heartbeat first, with an old recall notice',
        'old heartbeat after an order raised the token',
        'heartbeat with the token that an order raised',
      ],
    ],
  ],
  [10, 1, 2, 3, 4, 5],
);
