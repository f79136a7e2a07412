/** More work than all machines that can be had take, urgent and not. */
import { playScenarios } from './support/scenario-days.js';

playScenarios(
  [
    [
      'more work than room, urgent and not, over slow links',
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
