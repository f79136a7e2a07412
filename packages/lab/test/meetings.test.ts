/**
 * Two troubles at once: each meeting on a day that brings it about, with several controllers. A meeting
 * that no day has brought about fails, however well they went.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { faultsOf, playDay } from '../src/play.js';
import { SMALL, type Troubles } from '../src/world/world.js';

type Row = readonly [meeting: string, troubles: Troubles, met: readonly string[]];
const rows: readonly Row[] = [
  [
    'ends far apart, the leader changed between',
    { farEnds: true },
    ['ends under two leaders', 'reap between ends'],
  ],
  ['machines deaf to a new leader', { machineDeaf: true }, ['deaf machine under a new leader']],
  [
    'old reports after newer ones',
    { lateReports: true, machineRestart: true, nodeCrash: true },
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
    { heldMachine: true },
    ['held within the lease', 'held beyond the lease'],
  ],
  ['the leader refused, then all, and users cancel between', { gap: true }, ['cancelled beside a hold']],
  [
    'slow, and refusing one',
    { stateSlow: true, stateRefuses: true },
    ['carried out after the time-out', 'leader refused'],
  ],
  ['hand-overs and back, and one back alone', { handover: true }, ['led again', 'one back alone']],
  [
    'a leader alone with workers and users',
    { leaderAlone: true },
    ['cancelled beside a leader alone', 'heard by a leader alone, beside the new one'],
  ],
];

/** Days are played until all of the meeting has happened, one or two mostly; never more than these. */
const SEEDS = [1, 2, 3, 4, 5, 6];

for (const [meeting, troubles, met] of rows)
  test(`rules hold: ${meeting}`, () => {
    const size = { size: SMALL, jobs: 12, room: false, troubledUs: 130e6, quietUs: 300e6 };
    const missing = new Set(met);
    for (const seed of SEEDS) {
      const day = playDay({ name: meeting, ...size, troubles }, seed);
      assert.deepEqual(faultsOf(day), [], `seed ${seed}`);
      for (const what of Object.keys(day.met)) missing.delete(what);
      if (missing.size === 0) return;
    }
    assert.fail(`did not happen: ${[...missing].join(', ')}`);
  });
