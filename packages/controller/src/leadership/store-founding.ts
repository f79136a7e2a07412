/**
 * How an incarnation of the store begins: the first one at the first start, a further one after a loss of data. Both write
 * past the guard (recovery/guarded-store.ts), since there is no incarnation yet that a transaction could be conditional on.
 */
import { Clock, Effect, Random } from 'effect';
import { info } from '@lilacvalve/runtime/log';
import type { Micros } from '@lilacvalve/runtime/micros';
import type { JobState } from '../jobs/job-state.js';
import {
  FOUNDED,
  INCARNATION,
  LEADER,
  QUIESCENT,
  REBUILD,
  RECOVERED,
  STORE_STATUS,
  TERM,
} from '../jobs/keys.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import type { DataLossDetector } from '../recovery/data-loss-detector.js';
import { attemptFloor, generationFloor, generationOf, incarnationOf } from '../recovery/model.js';
import type { Settings } from '../settings/settings.js';
import { Priority } from '../state-store/budget.js';
import type { StateFailure, Write } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import type { WonTerm } from './campaign.js';
import type { Peers } from './peers.js';

/** What the founding of a store incarnation works on. */
export interface FoundingParts {
  readonly settings: Settings;
  /** The state service as it is, without the guard. */
  readonly unguardedStore: StatePort;
  readonly lossDetector: DataLossDetector;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly peers: Pick<Peers, 'allAsked'>;
  readonly clock: () => Micros;
}

/** A name that no other incarnation has: by whom, when, and a random number. */
const newIncarnationId = (label: string): Effect.Effect<string> =>
  Effect.zipWith(Clock.currentTimeMillis, Random.nextIntBetween(0, 2 ** 31), (at, random) =>
    [label.replace(/[^\w-]/g, '_').slice(0, 60), Math.round(at).toString(36), random.toString(36)].join('.'),
  );

/**
 * Begins the store's first incarnation, at once, when nobody who answers knows of one: users need not wait for a leader.
 * A store that was written by a version without incarnations gets one the same way.
 */
export const foundStore = (parts: FoundingParts): Effect.Effect<void, StateFailure> =>
  Effect.gen(function* () {
    const { jobState, lossDetector, settings, watcher } = parts;
    if (lossDetector.suspected || !watcher.loaded || jobState.incarnation !== null) return;
    if (!parts.peers.allAsked() || lossDetector.storeKnowledge().generation >= 0) return;
    const incarnationKey = INCARNATION + (yield* newIncarnationId(settings.label));
    // Should an earlier incarnation have been lost without anybody to remember it, its terms were lower.
    const now = Math.floor((yield* Clock.currentTimeMillis) / 1000);
    const termFloor = jobState.term > 0 ? 0 : now;
    const outcome = yield* parts.unguardedStore.transact(
      [
        { key: FOUNDED, stamp: 0 },
        { key: TERM, stamp: jobState.termRevision },
        { key: incarnationKey, stamp: 0 },
      ],
      [
        { set: FOUNDED, value: settings.label },
        { set: incarnationKey, value: { g: 0, by: settings.label, t: termFloor, s: now } },
      ],
      Priority.Lease,
      1500,
    );
    yield* watcher.refreshNow;
    if (outcome.ok) yield* info('store founded');
  });

/**
 * Begins a new incarnation of a store that has lost data, with this node as its leader; a rebuild follows. Of several nodes
 * that try, the conditions let one through: null for all others. The terms of a generation lie above all that were ever
 * used before it. `ttl`: of the leader's lease.
 */
export const refoundStore = (
  parts: FoundingParts,
  ttl: Micros,
): Effect.Effect<WonTerm | null, StateFailure> =>
  Effect.gen(function* () {
    const { settings, unguardedStore } = parts;
    const [status, leader, last] = yield* Effect.all([
      unguardedStore.page(STORE_STATUS, null, 1000),
      unguardedStore.page(LEADER, null, 1),
      unguardedStore.page(TERM, null, 1),
    ]);
    const old = status.entries.filter((e) => e.key.startsWith(INCARNATION));
    const known = parts.lossDetector.storeKnowledge();
    const generations = old.map((e) => incarnationOf(e.key, e.value, e.stamp).generation);
    // Another node was faster: the next probe shows that the store was rebuilt.
    if (generations.some((g) => g > known.generation)) return null;
    const storedTerm = (last.entries[0]?.value as { term: number } | undefined)?.term ?? 0;
    const generation =
      1 + Math.max(known.generation, generationOf(Math.max(known.term, storedTerm)), ...generations);
    const term = generationFloor(generation) + 1;
    const incarnationKey = INCARNATION + (yield* newIncarnationId(settings.label));
    const now = Math.floor((yield* Clock.currentTimeMillis) / 1000);
    // Counted from the first start on, as long as anybody knows of it: should this incarnation be lost and forgotten as
    // well, the one that takes its generation goes on above it.
    const bornAt = known.incarnation?.startedAt ?? now;
    const attempts = attemptFloor(
      { id: incarnationKey, generation, revision: 0, termFloor: 0, startedAt: bornAt },
      null,
      now,
    );
    const asked = parts.clock();
    const lease = yield* unguardedStore.grant(ttl);
    const stale: Write[] = status.entries
      .filter((e) => old.includes(e) || [QUIESCENT, RECOVERED].includes(e.key))
      .map((e) => ({ delete: e.key }));
    const outcome = yield* unguardedStore.transact(
      [
        ...old.map((e) => ({ key: e.key, stamp: e.stamp })),
        { key: LEADER, stamp: leader.entries[0]?.stamp ?? 0 },
        { key: TERM, stamp: last.entries[0]?.stamp ?? 0 },
        { key: incarnationKey, stamp: 0 },
      ],
      [
        ...stale,
        { set: incarnationKey, value: { g: generation, by: settings.label, s: bornAt } },
        { set: REBUILD, value: { phase: 'gather', heard: [] } },
        { set: LEADER, value: { node: settings.label, term, lease }, lease },
        { set: TERM, value: { term, a: attempts } },
      ],
      Priority.Lease,
      1500,
    );
    if (!outcome.ok) {
      yield* Effect.ignore(unguardedStore.release(lease));
      return null;
    }
    yield* info('store incarnation begun', {
      term,
      generation,
      previous: known.incarnation?.id ?? 'unknown',
    });
    return { term, revision: outcome.revision, lease, asked };
  });
