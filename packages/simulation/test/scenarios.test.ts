/** The first ten scenarios of compound faults, each on days of its own; the others have files of their own beside this one. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'ends far apart, the leader changed between',
    { staggeredCompletions: true },
    ['tasks of a job completed under two leaders', 'task reaped between two completions of its job', 'gang completion reported to two leaders'],
  ],
  ['machines deaf to a new leader', { inboundLoss: true }, ['machine without inbound messages under a new leader']],
  [
    'old reports after newer ones',
    { lateHeartbeats: true, machineRestart: true, nodeCrash: true },
    [
      'heartbeat of an earlier incarnation',
      'heartbeat with an older fencing token',
      'heartbeat from before a controller restart',
      'old heartbeat before any other',
    ],
  ],
  [
    'transactions after newer ones of the same controller',
    { lateWrites: true, nodeCrash: true },
    ['write after newer', 'write after newer, committed', 'log entry after a change of leader'],
  ],
  [
    'machines that stand still and go on',
    { stalledMachine: true },
    ['stalled within the lease', 'stalled beyond the lease', 'direct order delayed', 'response delayed'],
  ],
  [
    'the leader refused, then all, and users cancel between',
    { rollingRefusal: true },
    ['running job cancelled beside a read lease', 'job cancelled beside a read lease whose holder has not sent its start'],
  ],
  [
    'slow, and refusing one',
    { stateSlow: true, stateRefuses: true },
    ['carried out after the time-out', 'state service refused the leader'],
  ],
  ['hand-overs and back, and one back alone', { handover: true }, ['former leader leads again', 'first restarted controller leads alone after a crash of all']],
  [
    'a leader alone with workers and users',
    { isolatedLeader: true },
    ['running job cancelled beside an isolated leader', 'heartbeat received by an isolated leader beside a new leader'],
  ],
]);
