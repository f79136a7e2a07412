/** What a new leader hears first of a machine may be a lease old, or have a token that only an order of its own has raised. */
import { playScenarios } from './support/scenario-days.js';

// On its first day a task runs twice where a report without the term's token counts as one with it.
playScenarios(
  [
    [
      'old reports reach every controller just as a new leader begins',
      { staleHeartbeats: true },
      [
        'old report first',
        'old report after the first answer',
        'old report relayed',
        'first, of an earlier session',
        'first, lacks a task that runs',
        'first, shows a task that is gone',
        'first, with an old notice',
        'old report beside a raised token',
        'report with the token an order raised',
      ],
    ],
  ],
  [10, 1, 2, 3, 4, 5],
);
