/** Everything restarts at once, and more is asked than there is room to answer. */
import { playDays } from './support/days.js';

playDays(
  [
    ['everything restarts at once', { everythingRestarts: true }, [61, 62, 63]],
    [
      'everything restarts at once, with crashes and lost answers',
      { everythingRestarts: true, nodeCrash: true, lost: true },
      [64],
    ],
    ['more is asked than a controller can answer', { flood: true, nodeCrash: true }, [65, 66]],
    ['all controllers are behind for long, and asked ten times as often', { storm: true }, [67]],
    [
      'all are back at once, and what they sent before comes again',
      { quickRestart: true, machineRestart: true, echoes: true },
      [68, 69, 70],
    ],
  ],
  ['everythingRestarts', 'flood', 'relayed', 'storm', 'quickRestart', 'machineRestart', 'echoes'],
);
