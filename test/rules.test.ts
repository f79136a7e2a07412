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
const grown: [string, Troubles, number[]][] = [
  ['five controllers crash, two and all at once', { nodeCrash: true, netCut: true }, [31, 32]],
  ['five controllers and everything at once', everything, [33, 34]],
];

for (const [name, troubles, seeds] of [...days, ...grown]) {
  for (const seed of seeds) {
    test(`rules hold: ${name} (seed ${seed})`, () => {
      const large = grown.some(([n]) => n === name);
      const world = new World(seed, troubles, large ? GROWN : SMALL);
      world.play(large ? 20 : 30, 120e6, large ? 600e6 : 300e6);
      assert.deepEqual(world.rules.broken, []);
      assert.ok(world.rules.started > 30, `only ${world.rules.started} tasks started`);
      assert.deepEqual(world.unfinished(), [], 'accepted jobs must come to their end');
      world.stop();
    });
  }
}
