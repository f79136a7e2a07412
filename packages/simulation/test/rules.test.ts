/** What the first version met: crashes, outages, cuts and losses, on three controllers and on five. */
import { everything, playDays } from './support/days.js';

playDays([
  ['quiet', {}, [1]],
  ['controllers crash', { nodeCrash: true }, [3, 4]],
  ['state service out, or refusing one node', { stateOutage: true, stateCut: true }, [6, 7]],
  ['answers lost, transactions late', { lost: true }, [9]],
  ['networks cut, messages held', { netCut: true }, [11, 12]],
  ['machines die, hang and are recalled', { machineDie: true, machineHang: true }, [14, 15]],
  ['everything at once', everything, [17, 18, 19, 20, 21, 22]],
]);
playDays(
  [
    ['five controllers crash, two and all at once', { nodeCrash: true, netCut: true }, [31, 32]],
    ['five controllers and everything at once', everything, [33, 34]],
  ],
  [],
  true,
);
