/** More work, normal and urgent, than all machines that can be rented hold. */
import { playScenarios } from './support/scenario-days.js';

playScenarios(
  [
    [
      'more normal and urgent work than capacity, over slow links',
      { overload: true },
      [
        'more work than capacity, over slow links',
        'task preempted for urgent work',
        'urgent job started before an earlier normal job',
      ],
    ],
  ],
  [2, 1, 3, 4, 5, 6],
);
