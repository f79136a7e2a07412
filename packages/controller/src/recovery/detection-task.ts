/**
 * Probes a store that may have lost data until it is certain what became of it, and searches for lost keys while no loss is
 * suspected. What follows from a loss belongs to others: a new incarnation to `leadership`, its rebuild to `rebuild.ts`.
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
import { CERTAIN_AFTER, type DataLossDetector, type Suspicion } from './data-loss-detector.js';
import { verdictOf } from './loss-verdict.js';
import { incarnationOf, type Probe } from './model.js';

const PROBE_EVERY_MS = 250;
/** Probes in a row that must agree on a loss. The last leader goes first: its view is complete. */
const AGREEING_PROBES = { leader: 6, follower: 9 };
const PROBES_KEPT = 40;
/** Between two pages of the search for lost keys, by the leader. */
const AUDIT_EVERY_MS = 4000;
const AUDIT_PAGE = 120;

/** What detection works with. */
export interface DetectionParts {
  readonly lossDetector: DataLossDetector;
  readonly unguardedStore: StatePort;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  /** See `Leadership.refoundStore`. */
  readonly refoundStore: Effect.Effect<boolean, StateFailure>;
  /** Leaves this node's incarnation for another one that is there already. */
  readonly retireView: () => void;
  readonly isLeader: () => boolean;
  readonly clock: () => Micros;
}

/** One short look at the store. */
const probeStore = (raw: StatePort): Effect.Effect<Probe, StateFailure> =>
  Effect.map(Effect.all([raw.page(STORE_STATUS, null, 1000), raw.page(TERM, null, 1)]), ([status, term]) => ({
    incarnations: status.entries
      .filter((e) => e.key.startsWith(INCARNATION))
      .map((e) => incarnationOf(e.key.slice(INCARNATION.length), e.value, e.stamp)),
    revision: Math.min(status.revision, term.revision),
    term: (term.entries[0]?.value as { term?: number } | undefined)?.term ?? 0,
  }));

/** Everything that a view has, in one word per key: what two views of one revision must agree on. */
const fingerprint = (view: JobState): Map<string, string> => {
  const out = new Map<string, string>();
  for (const [id, j] of view.jobs) out.set(`job ${id}`, `${j.revision} ${contentOf(j)}`);
  for (const [seq, r] of view.logTail) out.set(`record ${seq}`, String(r.revision));
  for (const [key, pack] of view.bundles) out.set(`pack ${key}`, String(pack.revision));
  for (const key of view.damaged.keys()) out.set(`damaged ${key}`, '');
  out.set('term', `${view.term} ${view.termRevision}`);
  out.set('leader', JSON.stringify(view.leader));
  for (const [key, stamp] of view.calendars.keys()) out.set(key, String(stamp));
  return out;
};

/** The first difference between the view and a fresh reading of all that it is made of; null: there is none. */
const findDifference = (parts: DetectionParts): Effect.Effect<string | null, StateFailure> =>
  Effect.gen(function* () {
    const entries: Entry[] = [];
    let base = Number.POSITIVE_INFINITY;
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
          yield* parts.unguardedStore.page(prefix, after, 1000);
        base = Math.min(base, page.revision);
        entries.push(...page.entries);
        after = page.entries[page.entries.length - 1]?.key ?? after;
        more = page.more && page.entries.length > 0;
      }
    }
    const fresh = new JobState();
    fresh.load(entries, base);
    for (let i = 0; i < 10; i++) {
      for (const view of [parts.jobState, fresh]) {
        const changes = yield* parts.unguardedStore.follow(ROOT, view.revision, 0);
        if (changes.tooOld) return 'the view is too old to follow';
        if (changes.revision < view.revision) return `revision ${changes.revision} after ${view.revision}`;
        view.advance(changes.changes, changes.revision);
      }
      if (parts.jobState.revision === fresh.revision) break;
    }
    if (fresh.calendarLost) return `${CALENDAR_HEAD}: not what records went by`;
    const known = fingerprint(parts.jobState);
    const stored = fingerprint(fresh);
    for (const [key, value] of known)
      if (stored.get(key) !== value)
        return `${key}: ${stored.get(key) ?? 'missing'}, was ${value}`.slice(0, 200);
    for (const key of stored.keys()) if (!known.has(key)) return `${key}: not known`;
    return null;
  });

/** What a store that looks intact differs in from this node's view; None: that could not be read. */
const differenceOf = (
  parts: DetectionParts,
  suspicion: Suspicion,
): Effect.Effect<Option.Option<string | null>> =>
  suspicion.proven
    ? Effect.succeed(Option.some(suspicion.evidence[0]?.what ?? 'a peer knows more'))
    : Effect.option(findDifference(parts));

/** Probes the store until the suspicion is over: ruled out, or this node has left for another incarnation. */
const investigate = (parts: DetectionParts): Effect.Effect<void> =>
  Effect.gen(function* () {
    const { lossDetector } = parts;
    const first = lossDetector.suspicion?.evidence[0];
    if (first) yield* info('data loss suspected', { evidence: first.kind, what: first.what });
    let probes: Probe[] = [];
    let differences = 0;
    while (lossDetector.suspicion !== null) {
      const { suspicion } = lossDetector;
      const certain = parts.clock() - suspicion.since >= CERTAIN_AFTER;
      const probe = yield* Effect.option(probeStore(parts.unguardedStore));
      if (probe._tag === 'Some') {
        probes = [...probes.slice(-PROBES_KEPT), probe.value];
        const needed = suspicion.ledTerm === null ? AGREEING_PROBES.follower : AGREEING_PROBES.leader;
        const verdict = verdictOf(lossDetector.known(), probes, needed);
        if (verdict === 'rebuilt') {
          yield* info('store rebuilt by another controller', {
            known: lossDetector.incarnation?.id ?? 'none',
          });
          parts.retireView();
        } else if (verdict === 'intact') {
          const difference = yield* differenceOf(parts, suspicion);
          if (difference._tag === 'Some' && difference.value === null) {
            lossDetector.ruleOut();
            yield* info('data loss ruled out', { probes: probes.length });
          } else if (difference._tag === 'Some') {
            differences++;
            if (differences === 1) yield* info('data loss found', { what: difference.value });
            // Two copies of the store that answer in turn differ too, but then a probe's revision goes back.
            if (differences >= 2 && certain && neverWentBack(probes)) yield* beginIncarnation(parts);
          }
        } else if (verdict === 'lost' && certain) {
          yield* info('data loss found', { probes: probes.length, revision: probe.value.revision });
          yield* beginIncarnation(parts);
        }
      }
      yield* Effect.sleep(PROBE_EVERY_MS + 100 * (yield* Random.next));
    }
  });

/** Investigates each suspected loss, one after the other. Never ends by itself. */
export const dataLossTask = (parts: DetectionParts): Effect.Effect<never> => {
  const suspected = Effect.runSync(Queue.sliding<void>(1));
  parts.lossDetector.onSuspected = () => Queue.unsafeOffer(suspected, undefined);
  return supervise(
    'data-loss detection',
    Queue.take(suspected).pipe(Effect.zipRight(Effect.suspend(() => investigate(parts))), Effect.forever),
  );
};

/** No probe's revision is lower than the one before, for as many as a leader needs. */
const neverWentBack = (probes: readonly Probe[]): boolean =>
  probes.slice(-AGREEING_PROBES.leader).every((l, i, all) => i === 0 || l.revision >= all[i - 1]!.revision) &&
  probes.length >= AGREEING_PROBES.leader;

/** Starts the rebuild of a lost store, unless another controller is faster. */
const beginIncarnation = (parts: DetectionParts): Effect.Effect<void> => Effect.ignore(parts.refoundStore);

/** The leader searches the store's listing, a page at a time, for keys that are gone without a change that tells of it. */
export const auditTask = (parts: DetectionParts): Effect.Effect<never> => {
  let prefix = 0;
  let after: string | null = null;
  return supervise(
    'audit',
    Effect.sleep(AUDIT_EVERY_MS).pipe(
      Effect.zipRight(
        Effect.suspend(() =>
          parts.isLeader() && parts.watcher.loaded && !parts.lossDetector.suspected
            ? Effect.gen(function* () {
                const under = AUDITED_PREFIXES[prefix]!;
                const page = yield* parts.store.page(under, after, AUDIT_PAGE);
                yield* parts.watcher.refresh;
                const lostKey = findLostKey(
                  page,
                  expectedKeys(parts.jobState, under),
                  after,
                  parts.jobState.revision,
                );
                if (lostKey !== null) parts.lossDetector.suspect('key lost', lostKey);
                const last = page.entries[page.entries.length - 1];
                if (page.more && last) after = last.key;
                else {
                  after = null;
                  prefix = (prefix + 1) % AUDITED_PREFIXES.length;
                }
              }).pipe(Effect.ignore)
            : Effect.void,
        ),
      ),
      Effect.forever,
    ),
  );
};
