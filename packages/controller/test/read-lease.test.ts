/** Heartbeats are answered only while that can make no cancellation overdue, whatever the times of reads, peers' heartbeats and clocks. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { DRIFT, type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { DataLossDetector } from '../src/recovery/data-loss-detector.js';
import { JobState } from '../src/jobs/job-state.js';
import { StoreWatcher } from '../src/jobs/store-watcher.js';
import {
  readLeaseExpiry,
  answerAuthority,
  maxViewAge,
  mayStart,
  unchangedSince,
  type PeerKnowledge,
} from '../src/leadership/read-lease.js';
import type { StatePort } from '../src/state-store/port.js';
import { Luck } from './support/random-source.js';

const TTL = seconds(3);
/** A worker ends its tasks so late at the most: steps of timers, and what it had to do first. */
const STEP = 1_000_000;
const INCARNATION = 'i';

interface Change {
  readonly at: number;
  readonly by: number;
  /** When its user was told that a job is cancelled; null: it is no cancellation. */
  readonly told: number | null;
}

/** The longest that a task could outlive `cancel` by an answer, and what was met on the way. True time, microseconds. */
const chain = (l: Luck, workers: { lease: Micros; cancel: Micros }, met: Map<string, number>): number => {
  const count = (what: string) => met.set(what, (met.get(what) ?? 0) + 1);
  const controllers = 3 + 2 * l.int(2);
  const rate = 1 + l.between(-DRIFT / 2, DRIFT / 2);
  const offset = l.between(0, 1e9);
  const clock = (t: number): number => offset + t * rate;
  const out = l.between(10e6, 60e6);
  const refused = out - (l.chance(0.5) ? l.between(0, 30e6) : 0);
  // Revision r is changes[r - 1]. The leader, controller 0, writes until it is refused, the others until all are.
  const changes: Change[] = [];
  for (let at = 0; at < out; at += l.between(1e3, 3e6)) {
    const by = at < refused && l.chance(0.5) ? 0 : 1 + l.int(controllers - 1);
    const told = by > 0 && l.chance(0.4) ? Math.min(at + l.between(0, 1e6), out) : null;
    changes.push({ at, by, told });
  }
  const revisionAt = (t: number): number => changes.filter((c) => c.at <= t).length;
  // Reads: complete to a moment between question and answer; a follow is held for seconds.
  const reads: { asked: number; got: number; revision: number }[] = [];
  for (let asked = 0; asked < refused; asked += l.between(1e5, 3e6)) {
    const got = asked + l.between(1e3, l.chance(0.2) ? 4.5e6 : 3e5);
    reads.push({ asked, got, revision: revisionAt(Math.min(l.between(asked, got), out)) });
  }
  // Beats to each of the others: one that knows what it has told users of, and as much else as it has read by then.
  const beats: { by: number; got: number; said: PeerKnowledge }[] = [];
  for (let by = 1; by < controllers; by++) {
    // It starts anew, once: until it has read the store it says nothing.
    const anew = l.chance(0.3) ? l.between(0, out + 30e6) : Infinity;
    for (let asked = l.between(0, 1e6); asked < out + 100e6; asked += l.between(0.9e6, 1.5e6)) {
      if (l.chance(0.05)) continue;
      const answered = asked + l.between(0, 8e5);
      const read = revisionAt(answered - l.between(0, 2e6));
      const own = changes.flatMap((c, i) => (c.by === by && c.at <= answered ? [i + 1] : []));
      const blank = answered > anew && (anew > out || answered < anew + 2e6);
      const said = {
        requestedAt: clock(asked),
        incarnation: blank ? null : INCARNATION,
        revision: Math.max(read, ...own),
      };
      beats.push({ by, got: answered + l.between(0, 8e5), said });
    }
  }
  let worst = Number.NEGATIVE_INFINITY;
  let covered = Number.NEGATIVE_INFINITY;
  for (let t = 5e6; t < out + 95e6; t += l.between(1e5, 4e6)) {
    const had = reads.filter((r) => r.got <= t);
    const view = Math.max(0, ...had.map((r) => r.revision));
    let complete = view;
    while (changes[complete]?.by === 0 && changes[complete]!.at < Math.min(t, refused)) complete++;
    const said = Array.from({ length: controllers - 1 }, (_, i) => {
      const last = beats.filter((b) => b.by === i + 1 && b.got <= t).at(-1);
      return last === undefined || last.said.incarnation === null ? null : last.said;
    });
    covered = Math.max(covered, unchangedSince(said, INCARNATION, complete));
    const readAsOf = Math.max(Number.NEGATIVE_INFINITY, ...had.map((r) => clock(r.asked)));
    const bounds = {
      // An outage may give a lease its full time again, at any moment; and a majority confirms as it will.
      leaderLeaseUntil: l.chance(0.5) ? clock(t) + 1 : 0,
      confirmedUntil: Infinity,
      knownAsOf: Math.max(readAsOf, covered),
    };
    const by = answerAuthority(clock(t) as Micros, bounds, workers, TTL);
    if (by === null) continue;
    count(by);
    if (maxViewAge(workers) === 0) {
      assert.equal(by, 'leader lease', 'no read lease is safe');
      assert.ok(readLeaseExpiry(bounds, workers) <= bounds.knownAsOf);
      continue;
    }
    if (covered > readAsOf + 5e6) count('covered');
    // The report was sent up to 4 s before; its lease counts from then, by the worker's clock.
    const lives = t - l.between(0, 4e6) * (l.chance(0.3) ? 0 : 1) + workers.lease * (1 + DRIFT / 2) + STEP;
    changes.forEach((c, i) => {
      if (c.told === null || c.told > lives || i < view) return;
      count('unknown');
      worst = Math.max(worst, lives - (c.told + workers.cancel));
    });
  }
  return worst;
};

test('no answer to a heartbeat lets a task of a cancelled job run too long, at any drawn times and settings', () => {
  const known: [lease: number, cancel: number][] = [
    [27, 47],
    [11, 36],
    [15.25, 40.25],
    // Barely above the lease, and below it.
    [27, 28.2],
    [20, 23.5],
    [20, 20],
    [30, 12],
  ];
  const met = new Map<string, number>();
  for (let seed = 1; seed <= 700; seed++) {
    const l = new Luck(seed);
    const [lease, cancel] = seed % 2 ? known[seed % known.length]! : [l.between(5, 40), l.between(5, 80)];
    const late = chain(l, { lease: seconds(lease), cancel: seconds(cancel) }, met);
    assert.ok(late <= 0, `seed ${seed}, lease ${lease}, cancel ${cancel}: ${late / 1e6} s too late`);
  }
  for (const what of ['leader lease', 'read lease', 'covered', 'unknown'])
    assert.ok((met.get(what) ?? 0) > 100, `${what}: ${met.get(what)}`);
});

test('a read lease starts nothing once its view is old, and the leader lease does', () => {
  const known = seconds(100);
  const out = Number.NEGATIVE_INFINITY;
  const may = (at: number, leaderLeaseUntil: number): boolean =>
    mayStart(seconds(at), { leaderLeaseUntil, knownAsOf: known });
  assert.deepEqual([may(102.9, out), may(103, out), may(110, out)], [true, false, false]);
  assert.equal(may(110, seconds(111)), true);
});

test('what this node wrote counts as known right after its view, and no longer once that view is left', () => {
  const jobState = new JobState();
  jobState.revision = 4;
  const watcher = new StoreWatcher(
    jobState,
    {} as StatePort,
    () => 0 as Micros,
    () => true,
    {} as DataLossDetector,
    seconds(1),
  );
  for (const revision of [6, 5, 8]) watcher.noteOwnCommit(revision);
  assert.equal(watcher.completeRevision(), 6);
  watcher.reset();
  assert.deepEqual([watcher.loaded, watcher.completeRevision()], [false, 4]);
});
