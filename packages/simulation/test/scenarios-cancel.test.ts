/** Cancellations during a handover of the leadership, and of jobs on machines that hang and resume. */
import { SHORT_CANCEL_DEADLINE } from '../src/world/deployment-size.js';
import { playScenarios } from './support/scenario-days.js';

const HANG_SITUATIONS = [
  'machine hung with a cancelled task and resumed within its lease',
  'machine hung with a cancelled task and resumed after its lease expired',
];

playScenarios([
  ['machines with cancelled tasks hang and resume', { cancelAndHang: true }, HANG_SITUATIONS],
  [
    'machines with cancelled tasks hang while the leader is refused, with a cancellation limit just above the lease',
    { cancelAndHang: true, rollingRefusal: true },
    [...HANG_SITUATIONS, 'running job cancelled while only the leader was refused'],
    SHORT_CANCEL_DEADLINE,
  ],
  [
    'jobs are cancelled while the leadership is handed over',
    { cancelDuringHandover: true },
    [
      'running job cancelled, leadership handed over by stepping down',
      'running job cancelled, leadership handed over by crash',
      'running job cancelled, leadership handed over by lease expiry',
      'running job cancelled, leadership handed over with responses in flight',
      'running job cancelled, confirmed by the old leader',
      'running job cancelled, confirmed by the new leader',
      'running job cancelled, confirmed by the third controller',
    ],
  ],
]);
