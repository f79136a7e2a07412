/** Plays days on which all components restart at once, or controllers receive more requests than they can answer. */
import { playDays } from './support/days.js';

playDays(
  [
    ['all components restart at once', { everythingRestarts: true }, [61, 62, 63]],
    [
      'all components restart at once, with crashes and lost responses',
      { everythingRestarts: true, nodeCrash: true, lost: true },
      [64],
    ],
    ['more requests than a controller can answer', { flood: true, nodeCrash: true }, [65, 66]],
    ['all controllers are overloaded for long, and users poll ten times as often', { storm: true }, [67]],
    [
      'all components resume at once, and requests that they sent before arrive again',
      { quickRestart: true, machineRestart: true, echoes: true },
      [68, 69, 70],
    ],
  ],
  ['everythingRestarts', 'flood', 'relayed', 'storm', 'quickRestart', 'machineRestart', 'echoes'],
);
