/** Plays days with crashes, outages, partitions and lost messages on three and on five controllers, and checks the rules. */
import { GROWN } from '../src/world/deployment-size.js';
import { everything, playDays } from './support/days.js';

playDays([
  ['no faults', {}, [1]],
  ['controllers crash', { nodeCrash: true }, [3, 4]],
  ['the state service is down, or refuses one controller', { stateOutage: true, stateCut: true }, [6, 7]],
  ['responses are lost, transactions are late', { lost: true }, [9]],
  ['the network is partitioned, messages are delayed', { netCut: true }, [11, 12]],
  ['machines die, hang and are reclaimed', { machineDie: true, machineHang: true }, [14, 15]],
  ['all of these faults', everything, [17, 18, 19, 20, 21, 22]],
]);
playDays(
  [
    ['five controllers, of which two or all crash at once', { nodeCrash: true, netCut: true }, [31, 32]],
    ['five controllers, all of these faults', everything, [33, 34]],
  ],
  [],
  GROWN,
);
