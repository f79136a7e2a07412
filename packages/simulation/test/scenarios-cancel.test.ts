/** Cancellations that meet a change of hands, and machines that hang and go on. */
import { CLOSE } from '../src/world/deployment-size.js';
import { playScenarios } from './support/scenario-days.js';

const hung = [
  'machine hung with a cancelled task and resumed within its lease',
  'machine hung with a cancelled task and resumed after its lease expired',
];

playScenarios([
  ['machines hang with what was cancelled and go on', { cancelAndHang: true }, hung],
  [
    'the same and a leader refused, where a cancellation must have taken effect barely after a lease',
    { cancelAndHang: true, rollingRefusal: true },
    [...hung, 'running job cancelled while only the leader was refused'],
    CLOSE,
  ],
  [
    'cancelled while the lead changes hands',
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
