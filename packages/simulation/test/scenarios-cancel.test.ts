/** Cancellations that meet a change of hands, and machines that hang and go on. */
import { CLOSE } from '../src/world/deployment-size.js';
import { playScenarios } from './support/scenario-days.js';

const hung = [
  'hung with a cancelled task, went on within its lease',
  'hung with a cancelled task, went on beyond its lease',
];

playScenarios([
  ['machines hang with what was cancelled and go on', { cancelAndHang: true }, hung],
  [
    'the same and a leader refused, where a cancellation must have taken effect barely after a lease',
    { cancelAndHang: true, rollingRefusal: true },
    [...hung, 'cancelled beside a leader refused alone'],
    CLOSE,
  ],
  [
    'cancelled while the lead changes hands',
    { cancelDuringHandover: true },
    [
      'cancelled while it ran, handed over in order',
      'cancelled while it ran, handed over by crash',
      'cancelled while it ran, handed over by a lapsed lease',
      'cancelled while it ran, handed over with answers on their way',
      'cancelled while it ran, confirmed by the old',
      'cancelled while it ran, confirmed by the new',
      'cancelled while it ran, confirmed by the third',
    ],
  ],
]);
