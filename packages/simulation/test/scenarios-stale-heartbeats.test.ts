/**
 * The first heartbeat that a new leader receives of a machine may be as old as a lease, or carry a fencing token that only an
 * order of the new leader has raised.
 */
import { playScenarios } from './support/scenario-days.js';

// With seed 10 a task runs twice if a heartbeat without the term's fencing token is treated like one with it.
playScenarios(
  [
    [
      'old heartbeats reach every controller just as a new term begins',
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
