/**
 * Two background tasks. One probes the store while a data loss is suspected, until the loss is ruled out or confirmed. The
 * other one, on the leader, searches for lost keys while no loss is suspected. The new incarnation that follows a confirmed
 * loss is begun by `leadership` and rebuilt by `rebuild.ts`.
 */
import { supervise } from '@lilacvalve/runtime/supervise';
import { info } from '@lilacvalve/runtime/log';
import type { Micros } from '@lilacvalve/runtime/micros';
import { Effect, Option, Queue, Random } from 'effect';
import { JobState } from '../jobs/job-state.js';
import type { StoreWatcher } from '../jobs/store-watcher.js';
import {
  ACTIVE_JOBS,
  CALENDAR,
  CALENDAR_HEAD,
  INCARNATION,
  LEADER,
  STORE_STATUS,
  JOB_BUNDLES,
  LOG_ENTRIES,
  ROOT,
  TERM,
  MACHINE_TYPES,
} from '../jobs/keys.js';
import { contentOf } from './merge.js';
import type { Entry, StateFailure } from '../state-store/client.js';
import type { StatePort } from '../state-store/port.js';
import { findLostKey, AUDITED_PREFIXES, expectedKeys } from './audit.js';
import { MIN_SUSPICION_AGE, type DataLossDetector, type Suspicion } from './data-loss-detector.js';
import { verdictOf } from './loss-verdict.js';
import { incarnationOf, type Probe } from './model.js';

const PROBE_INTERVAL_MS = 250;
/**
 * Consecutive probes that must agree on a loss. The controller that led when the loss was suspected needs fewer, so that it
 * begins the new incarnation before the others: its view of the lost data is complete.
 */
const REQUIRED_PROBES = { leader: 6, follower: 9 };
const MAX_PROBES_KEPT = 40;
/** Interval between two pages of the leader's search for lost keys. */
const AUDIT_INTERVAL_MS = 4000;
/** Maximum keys on one page of the search. */
const AUDIT_PAGE_SIZE = 120;

/** Dependencies of the detection tasks. */
export interface DetectionDependencies {
  readonly lossDetector: DataLossDetector;
  /** The store without the checks of `GuardedStore`, which refuses every request while a loss is suspected. */
  readonly unguardedStore: StatePort;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  /** Begins a new incarnation of the store; see `Leadership.refoundStore`. */
  readonly refoundStore: Effect.Effect<boolean, StateFailure>;
  /** Leaves this controller's incarnation because the store has another one already; the old view is kept as pre-loss view. */
  readonly retireView: () => void;
  readonly isLeader: () => boolean;
  readonly clock: () => Micros;
}

/** Reads the store's incarnations, revision and term. */
const probeStore = (unguardedStore: StatePort): Effect.Effect<Probe, StateFailure> =>
  Effect.map(
    Effect.all([unguardedStore.page(STORE_STATUS, null, 1000), unguardedStore.page(TERM, null, 1)]),
    ([status, term]) => ({
      incarnations: status.entries
        .filter((entry) => entry.key.startsWith(INCARNATION))
        .map((entry) => incarnationOf(entry.key.slice(INCARNATION.length), entry.value, entry.revision)),
      revision: Math.min(status.revision, term.revision),
      term: (term.entries[0]?.value as { term?: number } | undefined)?.term ?? 0,
    }),
  );

/** Describes each item of a view in one string, by the item's name. Two views of the same revision must have equal maps. */
const describeView = (view: JobState): Map<string, string> => {
  const items = new Map<string, string>();
  for (const [id, job] of view.jobs) items.set(`job ${id}`, `${job.revision} ${contentOf(job)}`);
  for (const [sequence, logEntry] of view.logTail)
    items.set(`log entry ${sequence}`, String(logEntry.revision));
  for (const [key, bundle] of view.bundles) items.set(`bundle ${key}`, String(bundle.revision));
  for (const key of view.damaged.keys()) items.set(`damaged ${key}`, '');
  items.set('term', `${view.term} ${view.termRevision}`);
  items.set('leader', JSON.stringify(view.leader));
  for (const [key, revision] of view.calendars.keys()) items.set(key, String(revision));
  return items;
};

/** Reads the whole store anew and describes the first difference from this controller's view; null if there is none. */
const findDifference = (dependencies: DetectionDependencies): Effect.Effect<string | null, StateFailure> =>
  Effect.gen(function* () {
    const entries: Entry[] = [];
    let baseRevision = Number.POSITIVE_INFINITY;
    for (const prefix of [
      STORE_STATUS,
      CALENDAR,
      LOG_ENTRIES,
      JOB_BUNDLES,
      ACTIVE_JOBS,
      LEADER,
      TERM,
      MACHINE_TYPES,
    ]) {
      let after: string | null = null;
      for (let more = true; more;) {
        const page: { entries: readonly Entry[]; more: boolean; revision: number } =
          yield* dependencies.unguardedStore.page(prefix, after, 1000);
        baseRevision = Math.min(baseRevision, page.revision);
        entries.push(...page.entries);
        after = page.entries[page.entries.length - 1]?.key ?? after;
        more = page.more && page.entries.length > 0;
      }
    }
    const fresh = new JobState();
    fresh.load(entries, baseRevision);
    // The view and the fresh reading follow the changes until both have the same revision.
    for (let i = 0; i < 10; i++) {
      for (const view of [dependencies.jobState, fresh]) {
        const changes = yield* dependencies.unguardedStore.follow(ROOT, view.revision, 0);
        if (changes.tooOld) return `the store no longer has the changes since revision ${view.revision}`;
        if (changes.revision < view.revision)
          return `the store has revision ${changes.revision}, the view ${view.revision}`;
        view.advance(changes.changes, changes.revision);
      }
      if (dependencies.jobState.revision === fresh.revision) break;
    }
    if (fresh.calendarLost)
      return `${CALENDAR_HEAD}: incomplete, or older than the version that log entries name`;
    const known = describeView(dependencies.jobState);
    const stored = describeView(fresh);
    for (const [key, value] of known)
      if (stored.get(key) !== value)
        return `${key}: ${stored.get(key) ?? 'missing'} in the store, ${value} in the view`.slice(0, 200);
    for (const key of stored.keys()) if (!known.has(key)) return `${key}: in the store, not in the view`;
    return null;
  });

/** Describes how a store that probes find intact differs from this controller's view; None if the store can't be read. */
const differenceOf = (
  dependencies: DetectionDependencies,
  suspicion: Suspicion,
): Effect.Effect<Option.Option<string | null>> =>
  suspicion.proven
    ? Effect.succeed(Option.some(suspicion.evidence[0]?.description ?? 'proven by a peer or a worker'))
    : Effect.option(findDifference(dependencies));

/** Probes the store until the suspicion has ended: it was ruled out, or this controller has left the lost incarnation. */
const investigate = (dependencies: DetectionDependencies): Effect.Effect<void> =>
  Effect.gen(function* () {
    const { lossDetector } = dependencies;
    const first = lossDetector.suspicion?.evidence[0];
    if (first) yield* info('data loss suspected', { evidence: first.kind, what: first.description });
    let probes: Probe[] = [];
    let differencesFound = 0;
    while (lossDetector.suspicion !== null) {
      const { suspicion } = lossDetector;
      const oldEnough = dependencies.clock() - suspicion.since >= MIN_SUSPICION_AGE;
      const probe = yield* Effect.option(probeStore(dependencies.unguardedStore));
      if (probe._tag === 'Some') {
        probes = [...probes.slice(-MAX_PROBES_KEPT), probe.value];
        const requiredProbes = suspicion.ledTerm === null ? REQUIRED_PROBES.follower : REQUIRED_PROBES.leader;
        const verdict = verdictOf(lossDetector.storeKnowledge(), probes, requiredProbes);
        if (verdict === 'rebuilt') {
          yield* info('store rebuilt by another controller', {
            known: lossDetector.incarnation?.id ?? 'none',
          });
          dependencies.retireView();
        } else if (verdict === 'intact') {
          const difference = yield* differenceOf(dependencies, suspicion);
          if (difference._tag === 'Some' && difference.value === null) {
            lossDetector.ruleOut();
            yield* info('data loss ruled out', { probes: probes.length });
          } else if (difference._tag === 'Some') {
            differencesFound++;
            if (differencesFound === 1) yield* info('data loss found', { what: difference.value });
            // Two copies of the store that respond in turn differ from the view too, but then the probes' revisions go back.
            if (differencesFound >= 2 && oldEnough && neverWentBack(probes))
              yield* beginIncarnation(dependencies);
          }
        } else if (verdict === 'lost' && oldEnough) {
          yield* info('data loss found', { probes: probes.length, revision: probe.value.revision });
          yield* beginIncarnation(dependencies);
        }
      }
      yield* Effect.sleep(PROBE_INTERVAL_MS + 100 * (yield* Random.next));
    }
  });

/** Waits for a suspected loss and investigates it, again and again. Runs until it is interrupted. */
export const dataLossTask = (dependencies: DetectionDependencies): Effect.Effect<never> => {
  const suspected = Effect.runSync(Queue.sliding<void>(1));
  dependencies.lossDetector.onSuspected = () => Queue.unsafeOffer(suspected, undefined);
  return supervise(
    'data-loss detection',
    Queue.take(suspected).pipe(
      Effect.zipRight(Effect.suspend(() => investigate(dependencies))),
      Effect.forever,
    ),
  );
};

/** Whether each of the latest probes, as many as a leader needs, has at least the revision of the probe before it. */
const neverWentBack = (probes: readonly Probe[]): boolean =>
  probes
    .slice(-REQUIRED_PROBES.leader)
    .every((probe, i, latest) => i === 0 || probe.revision >= latest[i - 1]!.revision) &&
  probes.length >= REQUIRED_PROBES.leader;

/** Begins a new incarnation of a lost store. A failure is ignored: the next probe tries again or finds another one's. */
const beginIncarnation = (dependencies: DetectionDependencies): Effect.Effect<void> =>
  Effect.ignore(dependencies.refoundStore);

/** On the leader, searches the store's listing one page at a time for keys that vanished without a change. */
export const auditTask = (dependencies: DetectionDependencies): Effect.Effect<never> => {
  let prefixIndex = 0;
  let after: string | null = null;
  return supervise(
    'audit',
    Effect.sleep(AUDIT_INTERVAL_MS).pipe(
      Effect.zipRight(
        Effect.suspend(() =>
          dependencies.isLeader() && dependencies.watcher.loaded && !dependencies.lossDetector.suspected
            ? Effect.gen(function* () {
                const prefix = AUDITED_PREFIXES[prefixIndex]!;
                const page = yield* dependencies.store.page(prefix, after, AUDIT_PAGE_SIZE);
                yield* dependencies.watcher.refresh;
                const lostKey = findLostKey(
                  page,
                  expectedKeys(dependencies.jobState, prefix),
                  after,
                  dependencies.jobState.revision,
                );
                if (lostKey !== null) dependencies.lossDetector.suspect('key lost', lostKey);
                const last = page.entries[page.entries.length - 1];
                if (page.more && last) after = last.key;
                else {
                  after = null;
                  prefixIndex = (prefixIndex + 1) % AUDITED_PREFIXES.length;
                }
              }).pipe(Effect.ignore)
            : Effect.void,
        ),
      ),
      Effect.forever,
    ),
  );
};
