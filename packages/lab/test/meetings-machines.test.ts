/** Machines that are up at once, and machines that reach no controller. */
import { playMeetings } from './meeting-days.js';

playMeetings([
  [
    'new machines within two seconds, their rentals answered late, carried out late, or never answered',
    { fastBoots: true },
    [
      'reported before the answer to its rental',
      'reported before any list',
      'machine of a late rental',
      'leader ended between the report and the durable start',
    ],
  ],
  [
    'machines that reach no controller',
    { machineMute: true },
    [
      'cancelled and stopped directly on a mute machine',
      'started again elsewhere after the lease',
      'a mute machine was returned',
      'a machine that came up mute was returned',
    ],
  ],
]);
