/** Scenarios of compound faults; the other scenarios have their own test files. */
import { playScenarios } from './support/scenario-days.js';

playScenarios([
  [
    'tasks of a job complete far apart, with a change of leader between them',
    { staggeredCompletions: true },
    [
      'tasks of a job completed under two leaders',
      'task reaped between two completions of its job',
      'gang completion reported to two leaders',
    ],
  ],
  [
    'machines receive no message of a new leader',
    { inboundLoss: true },
    ['machine without inbound messages under a new leader'],
  ],
  [
    'old heartbeats arrive after newer ones',
    { lateHeartbeats: true, machineRestart: true, nodeCrash: true },
    [
      'heartbeat of an earlier incarnation',
      'heartbeat with an older fencing token',
      'heartbeat from before a controller restart',
      'old heartbeat before any other',
    ],
  ],
  [
    'transactions are committed after newer transactions of the same controller',
    { lateWrites: true, nodeCrash: true },
    ['write after newer', 'write after newer, committed', 'log entry after a change of leader'],
  ],
  [
    'machines stall before they act on orders and responses',
    { stalledMachine: true },
    ['stalled within the lease', 'stalled beyond the lease', 'direct order delayed', 'response delayed'],
  ],
  [
    'the state service refuses the leader, then all controllers, and users cancel jobs in between',
    { rollingRefusal: true },
    [
      'running job cancelled beside a read lease',
      'job cancelled beside a read lease whose holder has not sent its start',
    ],
  ],
  [
    'the state service is slow and refuses one controller',
    { stateSlow: true, stateRefuses: true },
    ['carried out after the time-out', 'state service refused the leader'],
  ],
  [
    'the leadership is handed over repeatedly, and one controller restarts alone',
    { handover: true },
    ['former leader leads again', 'first restarted controller leads alone after a crash of all'],
  ],
  [
    'a leader is cut off from the state service and its peers, but not from workers and users',
    { isolatedLeader: true },
    [
      'running job cancelled beside an isolated leader',
      'heartbeat received by an isolated leader beside a new leader',
    ],
  ],
]);
