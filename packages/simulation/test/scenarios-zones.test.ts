/** A zone that is cut off together with a controller, and jobs bound to one zone that lose machines. */
import { playScenarios } from './support/scenario-days.js';

// With seed 4 a task runs twice if a lease is treated as expired after a third of its duration.
playScenarios(
  [
    [
      'a zone and a controller are cut off together for longer than the lease',
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
