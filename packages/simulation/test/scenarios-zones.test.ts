/** A zone that is cut off with a controller, and jobs that are bound to one and lose machines there. */
import { playScenarios } from './support/scenario-days.js';

// On its first day a task runs twice where a lease counts for a third of its time.
playScenarios(
  [
    [
      'a zone with workers and a controller cut off beyond the lease',
      { zonePartition: true },
      [
        'the leader is cut off with the zone',
        'a lease with tasks lapsed in the cut zone',
        'tasks go on in the cut zone beside starts elsewhere',
        'lapsed in the cut zone and started again elsewhere',
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
        'array of one zone lost a machine of several',
        'array of one zone lost all machines',
        'array: started again in its zone, beside others',
        'gang of one zone lost a machine of several',
        'gang of one zone lost all machines',
        'gang: moved to another zone as a whole',
      ],
    ],
  ],
  [2, 3, 1, 4, 5, 6],
);
