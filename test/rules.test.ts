/** Seeded random days: the real nodes against stand-ins on virtual time, the rules checked after every step. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GROWN, SMALL, type Troubles, World } from './world/world.js';

const days: [string, Troubles, number[]][] = [
  ['quiet', {}, [1]],
  ['controllers crash', { nodeCrash: true }, [3, 4]],
  ['state service out, or refusing one node', { stateOutage: true, stateCut: true }, [6, 7]],
  ['answers lost, transactions late', { lost: true }, [9]],
  ['networks cut, messages held', { netCut: true }, [11, 12]],
  ['machines die, hang and are recalled', { machineDie: true, machineHang: true }, [14, 15]],
  [
    'everything at once',
    {
      nodeCrash: true,
      stateOutage: true,
      stateCut: true,
      lost: true,
      netCut: true,
      machineDie: true,
      machineHang: true,
      cloudOutage: true,
    },
    [17, 18, 19, 20, 21, 22],
  ],
];

const everything = days[days.length - 1]![1];
/** What the operators met later: slow, silent, half reachable, or wrong. */
const met: Troubles = {
  freeze: true,
  workersCut: true,
  peersCut: true,
  lateBoots: true,
  oldLists: true,
  brokenJobs: true,
  faultyMachines: true,
  guests: true,
};
days.push(
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
);
const grown: [string, Troubles, number[]][] = [
  ['five controllers crash, two and all at once', { nodeCrash: true, netCut: true }, [31, 32]],
  ['five controllers and everything at once', everything, [33, 34]],
];

const struck = new Map<string, number>();
for (const [name, troubles, seeds] of [...days, ...grown]) {
  for (const seed of seeds) {
    test(`rules hold: ${name} (seed ${seed})`, () => {
      const large = grown.some(([n]) => n === name);
      const world = new World(seed, troubles, large ? GROWN : SMALL);
      world.play(large ? 20 : 30, 120e6, large ? 900e6 : 300e6);
      assert.deepEqual(world.rules.broken, []);
      for (const [what, n] of Object.entries(world.struck)) struck.set(what, (struck.get(what) ?? 0) + n);
      assert.ok(world.rules.started > 30, `only ${world.rules.started} tasks started`);
      assert.deepEqual(world.unfinished(), [], 'accepted jobs must come to their end');
      world.stop();
    });
  }
}

test('each trouble that the operators met has struck in some day', () => {
  for (const what of [...Object.keys(met).filter((k) => k !== 'oldLists'), 'relayed'])
    assert.ok(struck.get(what)! > 1, what);
});
