/**
 * A leader responds to heartbeats only while the renewed leases cannot let a cancelled job's task run too long, whatever the
 * times of reads, of peer heartbeats and of clocks.
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { MAX_CLOCK_DRIFT, type Micros, seconds } from '@lilacvalve/runtime/micros';
import type { DataLossDetector } from '../src/recovery/data-loss-detector.js';
import { JobState } from '../src/jobs/job-state.js';
import { StoreWatcher } from '../src/jobs/store-watcher.js';
import {
  readLeaseExpiry,
  responseAuthority,
  maxViewAge,
  mayStart,
  unchangedSince,
  type PeerKnowledge,
} from '../src/leadership/read-lease.js';
import type { StatePort } from '../src/state-store/port.js';
import { RandomSource } from './support/random-source.js';

const TTL = seconds(3);
/** Maximum delay of a worker that stops its tasks when its lease expires: timer steps and work that it has to do first. */
const STOP_DELAY = 1_000_000;
const INCARNATION = 'i';

interface Change {
  readonly at: number;
  /** Index of the controller that wrote it; 0 is the leader. */
  readonly controller: number;
  /** When the cancellation was confirmed to its user; null: the change is no cancellation. */
  readonly confirmedAt: number | null;
}

/**
 * Draws one outage of the state service, and checks each heartbeat response that the leader may send in it. Returns the
 * longest time by which a task of a cancelled job could exceed `cancel` (negative: none could), in microseconds of true
 * time, and adds the kinds of cases that occurred to `occurrences`.
 */
const simulateOutage = (
  random: RandomSource,
  workers: { lease: Micros; cancel: Micros },
  occurrences: Map<string, number>,
): number => {
  const count = (kind: string) => occurrences.set(kind, (occurrences.get(kind) ?? 0) + 1);
  const controllers = 3 + 2 * random.int(2);
  const rate = 1 + random.between(-MAX_CLOCK_DRIFT / 2, MAX_CLOCK_DRIFT / 2);
  const offset = random.between(0, 1e9);
  const clock = (trueTime: number): number => offset + trueTime * rate;
  const outageAt = random.between(10e6, 60e6);
  const leaderRefusedAt = outageAt - (random.chance(0.5) ? random.between(0, 30e6) : 0);
  // The change of revision r is changes[r - 1]. The leader writes until the service refuses it, the others until the outage.
  const changes: Change[] = [];
  for (let at = 0; at < outageAt; at += random.between(1e3, 3e6)) {
    const controller = at < leaderRefusedAt && random.chance(0.5) ? 0 : 1 + random.int(controllers - 1);
    const confirmedAt =
      controller > 0 && random.chance(0.4) ? Math.min(at + random.between(0, 1e6), outageAt) : null;
    changes.push({ at, controller, confirmedAt });
  }
  const revisionAt = (time: number): number => changes.filter((change) => change.at <= time).length;
  // The leader's reads: each is complete up to a time between request and response. The service may hold a watch request.
  const reads: { requestedAt: number; receivedAt: number; revision: number }[] = [];
  for (let requestedAt = 0; requestedAt < leaderRefusedAt; requestedAt += random.between(1e5, 3e6)) {
    const receivedAt = requestedAt + random.between(1e3, random.chance(0.2) ? 4.5e6 : 3e5);
    reads.push({
      requestedAt,
      receivedAt,
      revision: revisionAt(Math.min(random.between(requestedAt, receivedAt), outageAt)),
    });
  }
  // The peers' responses to heartbeats: a peer knows its own writes, and others' as far as it has read them.
  const responses: { controller: number; receivedAt: number; knowledge: PeerKnowledge }[] = [];
  for (let controller = 1; controller < controllers; controller++) {
    // The peer may restart once; until it has read the store after that, it knows nothing.
    const restartAt = random.chance(0.3) ? random.between(0, outageAt + 30e6) : Infinity;
    for (
      let requestedAt = random.between(0, 1e6);
      requestedAt < outageAt + 100e6;
      requestedAt += random.between(0.9e6, 1.5e6)
    ) {
      if (random.chance(0.05)) continue;
      const respondedAt = requestedAt + random.between(0, 8e5);
      const readRevision = revisionAt(respondedAt - random.between(0, 2e6));
      const ownRevisions = changes.flatMap((change, i) =>
        change.controller === controller && change.at <= respondedAt ? [i + 1] : [],
      );
      const hasNoView = respondedAt > restartAt && (restartAt > outageAt || respondedAt < restartAt + 2e6);
      const knowledge = {
        requestedAt: clock(requestedAt),
        incarnation: hasNoView ? null : INCARNATION,
        revision: Math.max(readRevision, ...ownRevisions),
      };
      responses.push({ controller, receivedAt: respondedAt + random.between(0, 8e5), knowledge });
    }
  }
  let maxExcess = Number.NEGATIVE_INFINITY;
  let provenAsOf = Number.NEGATIVE_INFINITY;
  for (let now = 5e6; now < outageAt + 95e6; now += random.between(1e5, 4e6)) {
    const received = reads.filter((read) => read.receivedAt <= now);
    const viewRevision = Math.max(0, ...received.map((read) => read.revision));
    let completeRevision = viewRevision;
    while (
      changes[completeRevision]?.controller === 0 &&
      changes[completeRevision]!.at < Math.min(now, leaderRefusedAt)
    )
      completeRevision++;
    const peers = Array.from({ length: controllers - 1 }, (_, i) => {
      const last = responses
        .filter((response) => response.controller === i + 1 && response.receivedAt <= now)
        .at(-1);
      return last === undefined || last.knowledge.incarnation === null ? null : last.knowledge;
    });
    provenAsOf = Math.max(provenAsOf, unchangedSince(peers, INCARNATION, completeRevision));
    const readAsOf = Math.max(Number.NEGATIVE_INFINITY, ...received.map((read) => clock(read.requestedAt)));
    const bounds = {
      // The outage may restart the full duration of the leader lease at any time, and a majority may always confirm.
      leaderLeaseUntil: random.chance(0.5) ? clock(now) + 1 : 0,
      confirmedUntil: Infinity,
      knownAsOf: Math.max(readAsOf, provenAsOf),
    };
    const authority = responseAuthority(clock(now) as Micros, bounds, workers, TTL);
    if (authority === null) continue;
    count(authority);
    if (maxViewAge(workers) === 0) {
      assert.equal(authority, 'leader lease', 'no read lease is safe');
      assert.ok(readLeaseExpiry(bounds, workers) <= bounds.knownAsOf);
      continue;
    }
    if (provenAsOf > readAsOf + 5e6) count('known only from peers');
    // The heartbeat was sent up to 4 s ago; the worker's lease counts from then, by the worker's clock.
    const runsUntil =
      now -
      random.between(0, 4e6) * (random.chance(0.3) ? 0 : 1) +
      workers.lease * (1 + MAX_CLOCK_DRIFT / 2) +
      STOP_DELAY;
    changes.forEach((change, i) => {
      if (change.confirmedAt === null || change.confirmedAt > runsUntil || i < viewRevision) return;
      count('unknown cancellation');
      maxExcess = Math.max(maxExcess, runsUntil - (change.confirmedAt + workers.cancel));
    });
  }
  return maxExcess;
};

test('no heartbeat response lets a task of a cancelled job run too long, at any drawn times and settings', () => {
  const fixedSettings: [lease: number, cancel: number][] = [
    [27, 47],
    [11, 36],
    [15.25, 40.25],
    // `cancel` is barely longer than the lease, or not longer at all.
    [27, 28.2],
    [20, 23.5],
    [20, 20],
    [30, 12],
  ];
  const occurrences = new Map<string, number>();
  for (let seed = 1; seed <= 700; seed++) {
    const random = new RandomSource(seed);
    const [lease, cancel] =
      seed % 2 ? fixedSettings[seed % fixedSettings.length]! : [random.between(5, 40), random.between(5, 80)];
    const excess = simulateOutage(random, { lease: seconds(lease), cancel: seconds(cancel) }, occurrences);
    assert.ok(excess <= 0, `seed ${seed}, lease ${lease}, cancel ${cancel}: ${excess / 1e6} s too late`);
  }
  for (const kind of ['leader lease', 'read lease', 'known only from peers', 'unknown cancellation'])
    assert.ok((occurrences.get(kind) ?? 0) > 100, `${kind}: ${occurrences.get(kind)}`);
});

test('a read lease starts no task once its view is 3 s old, while the leader lease does', () => {
  const knownAsOf = seconds(100);
  const expired = Number.NEGATIVE_INFINITY;
  const mayStartAt = (at: number, leaderLeaseUntil: number): boolean =>
    mayStart(seconds(at), { leaderLeaseUntil, knownAsOf });
  assert.deepEqual(
    [mayStartAt(102.9, expired), mayStartAt(103, expired), mayStartAt(110, expired)],
    [true, false, false],
  );
  assert.equal(mayStartAt(110, seconds(111)), true);
});

test("a controller's own writes right after its view count as known, until the view is reset", () => {
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
