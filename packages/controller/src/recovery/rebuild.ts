/**
 * Rebuilds the store after a data loss, on the leader: gathers what every controller remembers, merges it, makes it durable,
 * and records in the store when nothing is missing any more. The next leader can repeat every step, since all writes are
 * conditional and a view is discarded only once its content is durable.
 */
import { info } from '@lilacvalve/runtime/log';
import { seconds } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import { encodeAccounts } from '../accounts/codec.js';
import { joinAccounts } from '../accounts/aggregate.js';
import type { RebuildStatus } from '../jobs/job-state.js';
import { accountsKey, QUIESCENT, REBUILD, type RECOVERED } from '../jobs/keys.js';
import type { StateFailure, Write } from '../state-store/client.js';
import { encodeDurable } from './codec.js';
import { type GatheredViews, gatherViews } from './gathered-views.js';
import { DURABLE_PATH } from './model.js';
import type { RebuildContext } from './rebuild-context.js';
import { applyStep, writeBack } from './write-back.js';

/** How long the rebuild waits for controllers that do not respond before it writes what the others have sent. */
const GATHER_TIMEOUT = seconds(3);
const RETRY_INTERVAL_MS = 400;

/**
 * Records the rebuild's phase in the store, together with `additionalWrites`. Returns false if the term has ended or another
 * controller has changed the record meanwhile.
 */
const recordPhase = (
  context: RebuildContext,
  gathered: GatheredViews,
  phase: 'write' | 'wait',
  additionalWrites: readonly Write[],
): Effect.Effect<boolean> =>
  Effect.suspend(() => {
    const stored = context.jobState.rebuild;
    // The record was deleted, so an earlier copy of this request was carried out. The record must not be created again: a copy
    // of such a write that is carried out late would leave it in the store for ever.
    if (stored === null) return Effect.succeed(true);
    const allIncluded = context.settings.peers.every((peer) => gathered.included.has(peer.label));
    const value: Omit<RebuildStatus, 'revision'> = { phase, heard: [...gathered.included].sort() };
    const then: Write[] = [
      phase === 'wait' && allIncluded ? { delete: REBUILD } : { set: REBUILD, value },
      ...additionalWrites,
    ];
    return Effect.zipLeft(
      applyStep(context, { when: [{ key: REBUILD, revision: stored.revision }], then }),
      Effect.ignore(context.watcher.refresh),
    );
  });

/** Discards the gathered views, whose content is durable, and notifies their holders so that they discard theirs. */
const releaseViews = (context: RebuildContext, gathered: GatheredViews): Effect.Effect<void> =>
  Effect.suspend(() => {
    const holders = [...gathered.headers].flatMap(([label, headers]) => {
      const peer = context.settings.peers.find((candidate) => candidate.label === label);
      return peer && headers.length > 0 ? [{ peer, ids: headers.map((header) => header.id) }] : [];
    });
    context.preLossViews.drop(context.preLossViews.all.map((view) => view.id));
    context.evidenceStore.clear();
    gathered.clear();
    return Effect.forEach(
      holders,
      // A peer that misses the notice still says in its heartbeats that it keeps views, and gets another request. Merging a
      // view twice changes nothing.
      ({ peer, ids }) => Effect.ignore(context.viewPort.request(peer, DURABLE_PATH, encodeDurable(ids))),
      { concurrency: 'unbounded', discard: true },
    );
  });

/**
 * Whether the gathered views contain every task that can have been started. They do if one of them is the view of the process
 * that led the highest term without interruption until the loss.
 */
const includesLastLeader = (context: RebuildContext, gathered: GatheredViews): boolean => {
  const headers = gathered.allHeaders(context);
  const lastTerm = Math.max(...headers.map((header) => header.term));
  // The view must also have the last log entry: a leader elected after the loss, before it was detected, has the highest term
  // but not the lost entries.
  const lastSequence = Math.max(...headers.map((header) => header.lastSequence));
  return headers.some(
    (header) =>
      header.ledTerm !== null && header.ledTerm === lastTerm && header.lastSequence === lastSequence,
  );
};

/** Returns the writes that restore the accounts from the latest view. `complete`: see `includesLastLeader`. */
const accountWrites = (context: RebuildContext, gathered: GatheredViews, complete: boolean): Write[] => {
  const headers = gathered.allHeaders(context);
  const views = [context.jobState.accounts, ...headers.map((header) => header.accounts)];
  const sequence = Math.max(context.jobState.lastSequence, ...headers.map((header) => header.lastSequence));
  const merged = joinAccounts(views, context.jobState.incarnation?.generation ?? 0, sequence, complete);
  return encodeAccounts(merged, context.settings.state.valueBytes * 0.9).map((value, index) => ({
    set: accountsKey(index),
    value,
  }));
};

/** Rebuilds the store. Completes once everything that the reachable controllers remember is durable, or the term has ended. */
export const rebuild = (context: RebuildContext, gathered: GatheredViews): Effect.Effect<void> =>
  Effect.gen(function* () {
    const startedAt = context.clock();
    gathered.included.add(context.settings.label);
    yield* info('rebuild started', {
      term: context.leaderTerm.number,
      preLossViews: context.preLossViews.all.length,
      jobs: context.jobState.jobs.size,
    });
    for (;;) {
      yield* gatherViews(
        context,
        gathered,
        context.settings.peers.filter((peer) => !gathered.included.has(peer.label)),
      );
      if (!context.isCurrentTerm()) return;
      if (
        gathered.included.size > context.settings.peers.length ||
        context.clock() - startedAt >= GATHER_TIMEOUT
      )
        break;
      yield* Effect.sleep(RETRY_INTERVAL_MS);
    }
    const complete = includesLastLeader(context, gathered);
    yield* recordPhase(context, gathered, 'write', []);
    while (context.isCurrentTerm()) {
      const written = yield* writeBack(context, gathered, true).pipe(Effect.orElseSucceed(() => false));
      if (!written) {
        yield* Effect.sleep(RETRY_INTERVAL_MS);
        continue;
      }
      const quiescent: Write[] = complete
        ? [{ set: QUIESCENT, value: context.lossDetector.incarnation?.id ?? '' }]
        : [];
      if (
        !(yield* recordPhase(context, gathered, 'wait', [
          ...quiescent,
          ...accountWrites(context, gathered, complete),
        ]))
      )
        continue;
      const missing = context.settings.peers
        .filter((peer) => !gathered.included.has(peer.label))
        .map((peer) => peer.label);
      yield* info('rebuild durable', {
        term: context.leaderTerm.number,
        jobs: context.jobState.jobs.size,
        ms: Math.round((context.clock() - startedAt) / 1000),
        whole: complete,
        missing: missing.join(','),
      });
      yield* releaseViews(context, gathered);
      return;
    }
  });

/**
 * Adds what further controllers remember and the store lacks. Runs after the rebuild, concurrently with scheduling, for the
 * controllers that did not respond during the rebuild. `holders`: labels of the peers whose heartbeats say that they keep
 * pre-loss views.
 */
export const addLateViews = (
  context: RebuildContext,
  gathered: GatheredViews,
  holders: readonly string[],
): Effect.Effect<void, StateFailure> =>
  Effect.gen(function* () {
    for (const label of context.jobState.rebuild?.heard ?? []) gathered.included.add(label);
    gathered.included.add(context.settings.label);
    const awaitsViews = context.jobState.rebuild !== null;
    const peers = context.settings.peers.filter(
      (peer) => (awaitsViews && !gathered.included.has(peer.label)) || holders.includes(peer.label),
    );
    if (
      peers.length === 0 &&
      context.preLossViews.all.length === 0 &&
      !(awaitsViews && gathered.included.size > context.settings.peers.length)
    )
      return;
    const includedBefore = gathered.included.size;
    yield* gatherViews(context, gathered, peers);
    if (
      gathered.headers.size === 0 &&
      context.preLossViews.all.length === 0 &&
      gathered.included.size === includedBefore
    )
      return;
    if (!(yield* writeBack(context, gathered, false))) return;
    if (awaitsViews && !(yield* recordPhase(context, gathered, 'wait', []))) return;
    for (const [label, headers] of gathered.headers)
      if (headers.length > 0)
        yield* info('peer view received', { term: context.leaderTerm.number, from: label });
    yield* releaseViews(context, gathered);
  });

/**
 * Records in the store that this incarnation is quiescent (no task that the rebuild does not know can be running any more) or
 * has recovered (no controller can remember a job that the store lacks); see docs/rebuild.md.
 */
export const declareMilestone = (
  context: RebuildContext,
  milestone: typeof QUIESCENT | typeof RECOVERED,
): Effect.Effect<void> =>
  Effect.suspend(() => {
    const id = context.lossDetector.incarnation?.id;
    if (id === undefined) return Effect.void;
    return applyStep(context, { when: [], then: [{ set: milestone, value: id }] }).pipe(
      Effect.zipRight(Effect.ignore(context.watcher.refresh)),
      Effect.zipRight(
        info(milestone === QUIESCENT ? 'store quiescent' : 'store recovered', {
          term: context.leaderTerm.number,
        }),
      ),
    );
  });
