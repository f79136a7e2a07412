/**
 * Looks at a doubted store until it is certain what became of it, and looks for lost keys while nothing is doubted. What
 * follows from a loss (a new incarnation, and its rebuild) is the leadership's and the rebuild's.
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
import { CERTAIN_AFTER, type DataLossDetector } from './data-loss-detector.js';
import { verdictOf } from './loss-verdict.js';
import { incarnationOf, type Probe } from './model.js';

const PROBE_EVERY_MS = 250;
/** Looks in a row that must agree on a loss. The last leader goes first: its view is the whole one. */
const AGREEING_PROBES = { leader: 6, follower: 9 };
const PROBES_KEPT = 40;
/** Between two pages of the search for lost keys, by the leader. */
const AUDIT_EVERY_MS = 4000;
const AUDIT_PAGE = 120;

export interface DetectionParts {
  readonly lossDetector: DataLossDetector;
  readonly unguardedStore: StatePort;
  readonly store: StatePort;
  readonly watcher: StoreWatcher;
  readonly jobState: JobState;
  /** See `Leadership.refound`. */
  readonly refoundStore: Effect.Effect<boolean, StateFailure>;
  /** Takes up another incarnation that is there already. */
  readonly retireView: () => void;
  readonly isLeader: () => boolean;
  readonly clock: () => Micros;
}

const probeStore = (raw: StatePort): Effect.Effect<Probe, StateFailure> =>
  Effect.map(Effect.all([raw.page(STORE_STATUS, null, 1000), raw.page(TERM, null, 1)]), ([life, term]) => ({
    incarnations: life.entries
      .filter((e) => e.key.startsWith(INCARNATION))
      .map((e) => incarnationOf(e.key.slice(INCARNATION.length), e.value, e.stamp)),
    revision: Math.min(life.revision, term.revision),
    term: (term.entries[0]?.value as { term?: number } | undefined)?.term ?? 0,
  }));

/** Everything that a view has, in one word a key: what two views of one revision must agree on. */
const fingerprint = (c: JobState): Map<string, string> => {
  const out = new Map<string, string>();
  for (const [id, j] of c.jobs) out.set(`job ${id}`, `${j.revision} ${contentOf(j)}`);
  for (const [seq, r] of c.logTail) out.set(`record ${seq}`, String(r.revision));
  for (const [key, p] of c.bundles) out.set(`pack ${key}`, String(p.stamp));
  for (const key of c.damaged.keys()) out.set(`damaged ${key}`, '');
  out.set('term', `${c.term} ${c.termRevision}`);
  out.set('leader', JSON.stringify(c.leader));
  for (const [key, stamp] of c.calendars.keys()) out.set(key, String(stamp));
  return out;
};

/** The first difference between the view and a fresh reading of all that it is made of; null: there is none. */
const findDifference = (p: DetectionParts): Effect.Effect<string | null, StateFailure> =>
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
          yield* p.unguardedStore.page(prefix, after, 1000);
        base = Math.min(base, page.revision);
        entries.push(...page.entries);
        after = page.entries[page.entries.length - 1]?.key ?? after;
        more = page.more && page.entries.length > 0;
      }
    }
    const fresh = new JobState();
    fresh.load(entries, base);
    for (let i = 0; i < 10; i++) {
      for (const c of [p.jobState, fresh]) {
        const changes = yield* p.unguardedStore.follow(ROOT, c.revision, 0);
        if (changes.tooOld) return 'the view is too old to follow';
        if (changes.revision < c.revision) return `revision ${changes.revision} after ${c.revision}`;
        c.advance(changes.changes, changes.revision);
      }
      if (p.jobState.revision === fresh.revision) break;
    }
    if (fresh.calendarLost) return `${CALENDAR_HEAD}: not what records went by`;
    const mine = fingerprint(p.jobState);
    const there = fingerprint(fresh);
    for (const [key, v] of mine)
      if (there.get(key) !== v) return `${key}: ${there.get(key) ?? 'missing'}, was ${v}`.slice(0, 200);
    for (const key of there.keys()) if (!mine.has(key)) return `${key}: not known`;
    return null;
  });

/** Ends a doubt, in whatever way the evidence calls for. */
export const dataLossTask = (p: DetectionParts): Effect.Effect<never> => {
  const begun = Effect.runSync(Queue.sliding<void>(1));
  p.lossDetector.onSuspected = () => Queue.unsafeOffer(begun, undefined);
  return supervise(
    'data-loss detection',
    Effect.gen(function* () {
      yield* Queue.take(begun);
      const first = p.lossDetector.suspicion?.evidence[0];
      if (first) yield* info('store doubted', { evidence: first.kind, what: first.what });
      let looks: Probe[] = [];
      let failed = 0;
      while (p.lossDetector.suspicion !== null) {
        const { ledTerm: led, since } = p.lossDetector.suspicion;
        const certain = p.clock() - since >= CERTAIN_AFTER;
        const seen = yield* Effect.option(probeStore(p.unguardedStore));
        if (seen._tag === 'Some') {
          looks = [...looks.slice(-PROBES_KEPT), seen.value];
          const verdict = verdictOf(
            p.lossDetector.known(),
            looks,
            led === null ? AGREEING_PROBES.follower : AGREEING_PROBES.leader,
          );
          if (verdict === 'moved') {
            yield* info('store was rebuilt', { known: p.lossDetector.incarnation?.id ?? 'none' });
            p.retireView();
          } else if (verdict === 'restored') {
            const differs = p.lossDetector.suspicion.proven
              ? Option.some(first?.what ?? 'a peer knows more')
              : yield* Effect.option(findDifference(p));
            if (differs._tag === 'Some' && differs.value === null) {
              p.lossDetector.ruleOut();
              yield* info('doubt over', { looks: looks.length });
            } else if (differs._tag === 'Some') {
              failed++;
              if (failed === 1) yield* info('store has lost data', { what: differs.value! });
              // Two copies that answer in turn differ too, and then a look goes back again.
              if (failed >= 2 && certain && neverWentBack(looks)) yield* beginIncarnation(p);
            }
          } else if (verdict === 'lost' && certain) {
            yield* info('store has lost data', { looks: looks.length, revision: seen.value.revision });
            yield* beginIncarnation(p);
          }
        }
        yield* Effect.sleep(PROBE_EVERY_MS + 100 * (yield* Random.next));
      }
    }).pipe(Effect.forever),
  );
};

const neverWentBack = (looks: readonly Probe[]): boolean =>
  looks.slice(-AGREEING_PROBES.leader).every((l, i, all) => i === 0 || l.revision >= all[i - 1]!.revision) &&
  looks.length >= AGREEING_PROBES.leader;

const beginIncarnation = (p: DetectionParts): Effect.Effect<void> => Effect.ignore(p.refoundStore);

/** The leader looks through the store's listing, a page at a time, for keys that are gone without a trace. */
export const auditTask = (p: DetectionParts): Effect.Effect<never> => {
  let prefix = 0;
  let after: string | null = null;
  return supervise(
    'audit',
    Effect.sleep(AUDIT_EVERY_MS).pipe(
      Effect.zipRight(
        Effect.suspend(() =>
          p.isLeader() && p.watcher.loaded && !p.lossDetector.suspected
            ? Effect.gen(function* () {
                const under = AUDITED_PREFIXES[prefix]!;
                const page = yield* p.store.page(under, after, AUDIT_PAGE);
                yield* p.watcher.refresh;
                const lostKey = findLostKey(
                  page,
                  expectedKeys(p.jobState, under),
                  after,
                  p.jobState.revision,
                );
                if (lostKey !== null) p.lossDetector.suspect('key lost', lostKey);
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
