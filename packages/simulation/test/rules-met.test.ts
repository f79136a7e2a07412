/**
 * Plays days with faults that operators reported: components that are slow, silent, reachable only in part, or that send
 * wrong data. Checks the rules.
 */
import { everything, playDays } from './support/days.js';
import type { Faults } from '../src/world/faults.js';

const reported: Faults = {
  freeze: true,
  workersCut: true,
  peersCut: true,
  lateBoots: true,
  oldLists: true,
  brokenJobs: true,
  faultyMachines: true,
  guests: true,
};
playDays(
  [
    ['controllers freeze', { freeze: true }, [41, 42]],
    [
      'controllers are partitioned from workers or from one another',
      { workersCut: true, peersCut: true },
      [43, 44],
    ],
    [
      'machines boot late or never, and machine lists are outdated',
      { lateBoots: true, oldLists: true, machineDie: true },
      [45, 46],
    ],
    ['failing jobs and faulty machines', { brokenJobs: true, faultyMachines: true }, [47, 48]],
    ['a team without guarantee submits a huge array and tiny jobs', { guests: true, nodeCrash: true }, [49]],
    ['all reported faults', reported, [51, 52, 53, 54]],
    ['all reported faults, and all other faults', { ...everything, ...reported }, [55, 56, 57, 58]],
  ],
  [...Object.keys(reported).filter((fault) => fault !== 'oldLists'), 'relayed'],
);
