/** A zone that is cut off with a controller, and jobs that are bound to one and lose machines there. */
import { playScenarios } from './support/scenario-days.js';

// On its first day a task runs twice where a lease counts for a third of its time.
playScenarios(
  [
    [
      'a zone with workers and a controller cut off beyond the lease',
      { zonePartition: true },
      [
        'leader cut off with the zone',
        'worker lease with tasks expired in the cut-off zone',
        'tasks run on in the cut-off zone while others start elsewhere',
        'task lost in the cut-off zone restarted elsewhere',
      ],
    ],
  ],
  [4, 1, 2, 3, 5, 6],
);
playScenarios(
  [
    [
      'jobs bound to one zone lose machines',
      { zoneMachineLoss: true },
      [
        'array bound to one zone lost one of several machines',
        'array bound to one zone lost all machines',
        'array: task restarted in its zone, beside running tasks',
        'gang bound to one zone lost one of several machines',
        'gang bound to one zone lost all machines',
        'gang: restarted as a whole in another zone',
      ],
    ],
  ],
  [2, 3, 1, 4, 5, 6],
);
