/** What the operators met later: slow, silent, half reachable, or wrong. */
import { everything, playDays } from './support/days.js';
import type { Faults } from '../src/world/faults.js';

const met: Faults = {
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
    ['controllers stand still', { freeze: true }, [41, 42]],
    ['controllers cut from workers or from one another', { workersCut: true, peersCut: true }, [43, 44]],
    [
      'machines late or never there, and old lists',
      { lateBoots: true, oldLists: true, machineDie: true },
      [45, 46],
    ],
    ['broken jobs and faulty machines', { brokenJobs: true, faultyMachines: true }, [47, 48]],
    ['guests with a huge array and tiny jobs', { guests: true, nodeCrash: true }, [49]],
    ['all that the operators met', met, [51, 52, 53, 54]],
    ['all that the operators met, and everything else', { ...everything, ...met }, [55, 56, 57, 58]],
  ],
  [...Object.keys(met).filter((k) => k !== 'oldLists'), 'relayed'],
);
