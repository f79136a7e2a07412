/**
 * Begins an incarnation of the store: the first one when the service first starts, a further one after a data loss. Both
 * bypass the guard (recovery/guarded-store.ts), since there is no incarnation yet that a transaction could be conditional
 * on.
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

/** The dependencies of the functions that begin an incarnation. */
export interface FoundingDependencies {
  readonly settings: Settings;
  /** The state service without the guard that makes transactions conditional on the incarnation. */
  readonly unguardedStore: StatePort;
  readonly lossDetector: DataLossDetector;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  readonly peers: Pick<Peers, 'allAsked'>;
  readonly clock: () => Micros;
}

/** A unique id for an incarnation: the controller's label, the time, and a random number. */
const newIncarnationId = (label: string): Effect.Effect<string> =>
  Effect.zipWith(Clock.currentTimeMillis, Random.nextIntBetween(0, 2 ** 31), (nowMs, random) =>
    [label.replace(/[^\w-]/g, '_').slice(0, 60), Math.round(nowMs).toString(36), random.toString(36)].join(
      '.',
    ),
  );

/**
 * Begins the store's first incarnation if the store has none and no peer that responds knows of one. This happens without a
 * leader, so that users need not wait for an election. A store written by a version without incarnations gets one, too.
 */
export const foundStore = (dependencies: FoundingDependencies): Effect.Effect<void, StateFailure> =>
  Effect.gen(function* () {
    const { jobState, lossDetector, settings, watcher } = dependencies;
    if (lossDetector.suspected || !watcher.loaded || jobState.incarnation !== null) return;
    if (!dependencies.peers.allAsked() || lossDetector.storeKnowledge().generation >= 0) return;
    const incarnationKey = INCARNATION + (yield* newIncarnationId(settings.label));
    // A floor above all terms of any earlier incarnation that was lost and that no controller remembers.
    const now = Math.floor((yield* Clock.currentTimeMillis) / 1000);
    const termFloor = jobState.term > 0 ? 0 : now;
    const outcome = yield* dependencies.unguardedStore.transact(
      [
        { key: FOUNDED, revision: 0 },
        { key: TERM, revision: jobState.termRevision },
        { key: incarnationKey, revision: 0 },
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
 * Begins a new incarnation of a store that has lost data, with this controller as its leader; a rebuild follows. If several
 * controllers try, the transaction's conditions let one succeed, and the others get null. The terms of a generation are
 * higher than all terms used before it. `ttl`: duration of the leader lease.
 */
export const refoundStore = (
  dependencies: FoundingDependencies,
  ttl: Micros,
): Effect.Effect<WonTerm | null, StateFailure> =>
  Effect.gen(function* () {
    const { settings, unguardedStore } = dependencies;
    const [status, leader, storedTerms] = yield* Effect.all([
      unguardedStore.page(STORE_STATUS, null, 1000),
      unguardedStore.page(LEADER, null, 1),
      unguardedStore.page(TERM, null, 1),
    ]);
    const olderKeys = status.entries.filter((entry) => entry.key.startsWith(INCARNATION));
    const known = dependencies.lossDetector.storeKnowledge();
    const generations = olderKeys.map((old) => incarnationOf(old.key, old.value, old.revision).generation);
    // Another controller has begun a new incarnation already, which the next probe of the store will show.
    if (generations.some((stored) => stored > known.generation)) return null;
    const storedTerm = (storedTerms.entries[0]?.value as { term: number } | undefined)?.term ?? 0;
    const generation =
      1 + Math.max(known.generation, generationOf(Math.max(known.term, storedTerm)), ...generations);
    const term = generationFloor(generation) + 1;
    const incarnationKey = INCARNATION + (yield* newIncarnationId(settings.label));
    const now = Math.floor((yield* Clock.currentTimeMillis) / 1000);
    // The time of the store's first start is passed on while any controller knows it. If this incarnation is lost as well
    // and no controller remembers it, the next one of the same generation then uses attempt numbers above this one's.
    const startedAt = known.incarnation?.startedAt ?? now;
    const attemptBase = attemptFloor(
      { id: incarnationKey, generation, revision: 0, termFloor: 0, startedAt },
      null,
      now,
    );
    const requestedAt = dependencies.clock();
    const lease = yield* unguardedStore.grant(ttl);
    const deletions: Write[] = status.entries
      .filter((entry) => olderKeys.includes(entry) || [QUIESCENT, RECOVERED].includes(entry.key))
      .map((entry) => ({ delete: entry.key }));
    const outcome = yield* unguardedStore.transact(
      [
        ...olderKeys.map((entry) => ({ key: entry.key, revision: entry.revision })),
        { key: LEADER, revision: leader.entries[0]?.revision ?? 0 },
        { key: TERM, revision: storedTerms.entries[0]?.revision ?? 0 },
        { key: incarnationKey, revision: 0 },
      ],
      [
        ...deletions,
        { set: incarnationKey, value: { g: generation, by: settings.label, s: startedAt } },
        { set: REBUILD, value: { phase: 'gather', heard: [] } },
        { set: LEADER, value: { node: settings.label, term, lease }, lease },
        { set: TERM, value: { term, a: attemptBase } },
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
    return { term, revision: outcome.revision, lease, requestedAt };
  });
