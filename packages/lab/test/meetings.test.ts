/**
 * Two troubles at once: each meeting on a day that brings it about, with several controllers. A day on which what should
 * have met did not meet fails, however well it went.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { faultsOf, playDay } from '../src/play.js';
import { SMALL, type Troubles } from '../src/world/world.js';

type Row = readonly [meeting: string, troubles: Troubles, seed: number, met: readonly string[]];
const rows: readonly Row[] = [
  [
    'ends far apart, the leader changed between',
    { farEnds: true },
    1,
    ['ends under two leaders', 'reap between ends'],
  ],
  ['machines deaf to a new leader', { machineDeaf: true }, 1, ['deaf machine under a new leader']],
  [
    'old reports after newer ones',
    { lateReports: true, machineRestart: true, nodeCrash: true },
    3,
    ['report of an older tenure', 'report of an older term', 'report from before a restart'],
  ],
  [
    'transactions after newer ones of the same controller',
    { lateWrites: true, nodeCrash: true },
    2,
    ['write after newer', 'write after newer, committed'],
  ],
  [
    'machines that stand still and go on',
    { heldMachine: true },
    1,
    ['held within the lease', 'held beyond the lease'],
  ],
  [
    'the leader refused, then all, and slow before',
    { gap: true, stateSlow: true },
    1,
    ['cancelled beside a hold', 'carried out after the time-out'],
  ],
  ['hand-overs and back, and one back alone', { handover: true }, 1, ['led again', 'one back alone']],
  [
    'a leader alone with workers and users',
    { leaderAlone: true },
    1,
    ['cancelled beside a leader alone', 'heard by a leader alone, beside the new one'],
  ],
];

for (const [meeting, troubles, seed, met] of rows)
  test(`rules hold: ${meeting} (seed ${seed})`, () => {
    const size = { size: SMALL, jobs: 12, room: false, troubledUs: 110e6, quietUs: 300e6 };
    const day = playDay({ name: meeting, ...size, troubles }, seed);
    for (const what of met) assert.ok((day.met[what] ?? 0) > 0, `${what}: ${JSON.stringify(day.met)}`);
    assert.deepEqual(faultsOf(day), []);
  });
