/**
 * The leader's part in a rebuild after a loss of data: gathers what every controller remembers, joins it, makes it durable,
 * and records when nothing is missing any more. Another node can begin each step again: what is written is written under
 * conditions, and a view is forgotten only once its content is durable.
 */
import { info } from '@lilacvalve/runtime/log';
import { seconds } from '@lilacvalve/runtime/micros';
import { Effect } from 'effect';
import { encodeAccounts } from '../accounts/codec.js';
import { joinAccounts } from '../accounts/fold.js';
import type { RebuildStatus } from '../jobs/job-state.js';
import { accountsKey, QUIESCENT, REBUILD, type RECOVERED } from '../jobs/keys.js';
import type { StateFailure, Write } from '../state-store/client.js';
import { encodeDurable } from './codec.js';
import { type GatheredViews, gatherViews } from './gathered-views.js';
import { DURABLE_PATH } from './model.js';
import type { RebuildContext } from './rebuild-context.js';
import { applyStep, writeBack } from './write-back.js';

/** How long controllers that do not answer are waited for before the first writing. */
const GATHER_FOR = seconds(3);
const ASK_AGAIN_MS = 400;

/** Records in the store how far the rebuild has come, together with `more`. false: another node has recorded meanwhile. */
const recordPhase = (
  context: RebuildContext,
  gathered: GatheredViews,
  phase: 'write' | 'wait',
  more: readonly Write[],
): Effect.Effect<boolean> =>
  Effect.suspend(() => {
    const there = context.jobState.rebuild;
    // Gone: an earlier copy of this was carried out. Written anew under "not there", a late one would stay for good.
    if (there === null) return Effect.succeed(true);
    const all = context.settings.peers.every((p) => gathered.heard.has(p.label));
    const value: Omit<RebuildStatus, 'revision'> = { phase, heard: [...gathered.heard].sort() };
    const then: Write[] = [phase === 'wait' && all ? { delete: REBUILD } : { set: REBUILD, value }, ...more];
    return Effect.zipLeft(
      applyStep(context, { when: [{ key: REBUILD, stamp: there.revision }], then }),
      Effect.ignore(context.watcher.refresh),
    );
  });

/** Tells the holders of what has been gathered that it is durable, so that they forget it, and forgets it here. */
const releaseViews = (context: RebuildContext, gathered: GatheredViews): Effect.Effect<void> =>
  Effect.suspend(() => {
    const told = [...gathered.headers].flatMap(([label, headers]) => {
      const peer = context.settings.peers.find((p) => p.label === label);
      return peer && headers.length > 0 ? [{ peer, ids: headers.map((h) => h.id) }] : [];
    });
    context.preLossViews.drop(context.preLossViews.all.map((x) => x.id));
    context.evidenceStore.clear();
    gathered.clear();
    return Effect.forEach(
      told,
      // A peer that misses this still says in its heartbeats that it keeps views, and is asked again: joining twice changes
      // nothing.
      ({ peer, ids }) => Effect.ignore(context.viewPort.ask(peer, DURABLE_PATH, encodeDurable(ids))),
      { concurrency: 'unbounded', discard: true },
    );
  });

/**
 * Whether nothing can have been started that the gathered views do not know of: they include the process that led the
 * highest term, without a gap until the loss.
 */
const includesLastLeader = (context: RebuildContext, gathered: GatheredViews): boolean => {
  const headers = gathered.allHeaders(context);
  const last = Math.max(...headers.map((h) => h.term));
  // A leader of a store that had already lost its data, before anybody noticed, has the highest term and knows the least.
  const seq = Math.max(...headers.map((h) => h.lastSeq));
  return headers.some((h) => h.ledTerm !== null && h.ledTerm === last && h.lastSeq === seq);
};

/** The accounts as the latest view has them (docs/accounts.md). */
const accountWrites = (context: RebuildContext, gathered: GatheredViews, whole: boolean): Write[] => {
  const headers = gathered.allHeaders(context);
  const views = [context.jobState.accounts, ...headers.map((h) => h.accounts)];
  const seq = Math.max(context.jobState.lastSequence, ...headers.map((h) => h.lastSeq));
  const joined = joinAccounts(views, context.jobState.incarnation?.generation ?? 0, seq, whole);
  return encodeAccounts(joined, context.settings.state.valueBytes * 0.9).map((value, n) => ({
    set: accountsKey(n),
    value,
  }));
};

/** Rebuilds the store: completes once all that the reachable controllers remember is durable, or the term is over. */
export const rebuild = (context: RebuildContext, gathered: GatheredViews): Effect.Effect<void> =>
  Effect.gen(function* () {
    const began = context.clock();
    gathered.heard.add(context.settings.label);
    yield* info('rebuild started', {
      term: context.leaderTerm.number,
      preLossViews: context.preLossViews.all.length,
      jobs: context.jobState.jobs.size,
    });
    for (;;) {
      yield* gatherViews(
        context,
        gathered,
        context.settings.peers.filter((p) => !gathered.heard.has(p.label)),
      );
      if (!context.isCurrentTerm()) return;
      if (gathered.heard.size > context.settings.peers.length || context.clock() - began >= GATHER_FOR) break;
      yield* Effect.sleep(ASK_AGAIN_MS);
    }
    const whole = includesLastLeader(context, gathered);
    yield* recordPhase(context, gathered, 'write', []);
    while (context.isCurrentTerm()) {
      const written = yield* writeBack(context, gathered, true).pipe(Effect.orElseSucceed(() => false));
      if (!written) {
        yield* Effect.sleep(ASK_AGAIN_MS);
        continue;
      }
      const quiescent: Write[] = whole
        ? [{ set: QUIESCENT, value: context.lossDetector.incarnation?.id ?? '' }]
        : [];
      if (
        !(yield* recordPhase(context, gathered, 'wait', [
          ...quiescent,
          ...accountWrites(context, gathered, whole),
        ]))
      )
        continue;
      const missing = context.settings.peers.filter((p) => !gathered.heard.has(p.label)).map((p) => p.label);
      yield* info('rebuild durable', {
        term: context.leaderTerm.number,
        jobs: context.jobState.jobs.size,
        ms: Math.round((context.clock() - began) / 1000),
        whole,
        missing: missing.join(','),
      });
      yield* releaseViews(context, gathered);
      return;
    }
  });

/**
 * After the rebuild, beside scheduling: asks controllers that were away, and adds what they remember and the store lacks.
 * `holders`: labels of peers that say that they keep pre-loss views.
 */
export const addLateViews = (
  context: RebuildContext,
  gathered: GatheredViews,
  holders: readonly string[],
): Effect.Effect<void, StateFailure> =>
  Effect.gen(function* () {
    for (const label of context.jobState.rebuild?.heard ?? []) gathered.heard.add(label);
    gathered.heard.add(context.settings.label);
    const awaitsViews = context.jobState.rebuild !== null;
    const asked = context.settings.peers.filter(
      (p) => (awaitsViews && !gathered.heard.has(p.label)) || holders.includes(p.label),
    );
    if (
      asked.length === 0 &&
      context.preLossViews.all.length === 0 &&
      !(awaitsViews && gathered.heard.size > context.settings.peers.length)
    )
      return;
    const before = gathered.heard.size;
    yield* gatherViews(context, gathered, asked);
    if (
      gathered.headers.size === 0 &&
      context.preLossViews.all.length === 0 &&
      gathered.heard.size === before
    )
      return;
    if (!(yield* writeBack(context, gathered, false))) return;
    if (awaitsViews && !(yield* recordPhase(context, gathered, 'wait', []))) return;
    for (const [label, headers] of gathered.headers)
      if (headers.length > 0)
        yield* info('peer view received', { term: context.leaderTerm.number, from: label });
    yield* releaseViews(context, gathered);
  });

/** Records, once and for all of this incarnation, that the store is quiescent or has recovered (docs/rebuild.md). */
export const declareMilestone = (
  context: RebuildContext,
  what: typeof QUIESCENT | typeof RECOVERED,
): Effect.Effect<void> =>
  Effect.suspend(() => {
    const id = context.lossDetector.incarnation?.id;
    if (id === undefined) return Effect.void;
    return applyStep(context, { when: [], then: [{ set: what, value: id }] }).pipe(
      Effect.zipRight(Effect.ignore(context.watcher.refresh)),
      Effect.zipRight(
        info(what === QUIESCENT ? 'store quiescent' : 'store recovered', { term: context.leaderTerm.number }),
      ),
    );
  });
