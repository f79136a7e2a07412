/** The first ten scenarios of compound faults, each on days of its own; the others have files of their own beside this one. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'ends far apart, the leader changed between',
    { staggeredCompletions: true },
    ['ends under two leaders', 'reap between ends', 'a gang told done to two leaders'],
  ],
  ['machines deaf to a new leader', { inboundLoss: true }, ['deaf machine under a new leader']],
  [
    'old reports after newer ones',
    { lateHeartbeats: true, machineRestart: true, nodeCrash: true },
    [
      'report of an older tenure',
      'report of an older term',
      'report from before a restart',
      'old report before any other',
    ],
  ],
  [
    'transactions after newer ones of the same controller',
    { lateWrites: true, nodeCrash: true },
    ['write after newer', 'write after newer, committed', 'record after a change of leader'],
  ],
  [
    'machines that stand still and go on',
    { stalledMachine: true },
    ['held within the lease', 'held beyond the lease', 'direct order held', 'answer held'],
  ],
  [
    'the leader refused, then all, and users cancel between',
    { rollingRefusal: true },
    ['cancelled beside a hold', 'cancelled beside a hold that has its start still to send'],
  ],
  [
    'slow, and refusing one',
    { stateSlow: true, stateRefuses: true },
    ['carried out after the time-out', 'leader refused'],
  ],
  ['hand-overs and back, and one back alone', { handover: true }, ['led again', 'one back alone']],
  [
    'a leader alone with workers and users',
    { isolatedLeader: true },
    ['cancelled beside a leader alone', 'heard by a leader alone, beside the new one'],
  ],
]);
