/** One controller node: wires the slices together. Effects of the outside world come in as ports. */
import { duty } from '@lilacvalve/runtime/duty';
import type { Answer, Incoming, Quick } from '@lilacvalve/runtime/http-server';
import { type Micros, plus } from '@lilacvalve/runtime/micros';
import { tick } from '@lilacvalve/runtime/tick';
import type { Files } from '@lilacvalve/snapshot/files';
import { Effect } from 'effect';
import { Doubt } from './doubt/doubt.js';
import { auditDuty, type DoubtParts, doubtDuty } from './doubt/duty.js';
import { GuardedStore } from './doubt/guard.js';
import { userDoor, workerDoor, peerDoor } from './doors.js';
import type { CloudPort } from './fleet/cloud.js';
import type { MachineType } from './fleet/model.js';
import { JobCache } from './jobs/cache.js';
import { Feed } from './jobs/feed.js';
import { TERM, TYPES } from './jobs/keys.js';
import { Contacts } from './leadership/contacts.js';
import { mayLag } from './leadership/hold.js';
import { Leadership } from './leadership/leadership.js';
import { type PeerPort, Peers } from './leadership/peers.js';
import { Admission } from './overload/admission.js';
import { loadLine, probe, pulse, servedBy, watchMemory } from './pulse.js';
import { type ViewPort, viewHandler } from './rebuild/exchange.js';
import { Relics } from './rebuild/relics.js';
import { answerCheck, verifyWith } from './rebuild/verify.js';
import { Witness } from './rebuild/witness.js';
import { Sessions } from './reign/session.js';
import type { Settings } from './settings/settings.js';
import { Priority } from './state-store/budget.js';
import { snapshotDuty } from './snapshots/duty.js';
import type { StatePort } from './state-store/port.js';
import type { Book } from './workers/book.js';
import { receiver, type WorkerPort } from './workers/duty.js';
import type { RelayPort } from './workers/relay.js';

export interface Ports {
  readonly store: StatePort;
  readonly cloud: CloudPort;
  readonly workers: WorkerPort;
  readonly peers: PeerPort;
  readonly views: ViewPort;
  readonly relay: RelayPort;
  readonly clock: () => Micros;
  readonly dayTime: () => Micros;
  /** The part of its memory that the process uses; left out: not known. */
  readonly memory?: () => number;
  /** Where snapshots are kept; null: nowhere. */
  readonly snapshots: Files | null;
  /** Half-life of the balance between teams (docs/accounts.md); off if left out. */
  readonly balance?: Micros;
}

export interface Node {
  readonly handle: (r: Incoming) => Effect.Effect<Answer>;
  /** Reports of workers, before `handle`. */
  readonly quick: Quick;
  /** What other controllers ask. */
  readonly handlePeer: (r: Incoming) => Effect.Effect<Answer>;
  /** Reports that other controllers pass on, before `handlePeer`. */
  readonly quickPeer: Quick;
  readonly run: Effect.Effect<never>;
  readonly leadership: Leadership;
  /** Why this node can't take requests; null: it can. */
  readonly unready: () => string | null;
  readonly peers: Peers;
  readonly doubt: Doubt;
  readonly cache: JobCache;
  readonly book: () => Book | null;
}

export const makeNode = (settings: Settings, ports: Ports): Node => {
  const { clock } = ports;
  const cache = new JobCache();
  const relics = new Relics(`${settings.label}/${ports.dayTime()}`);
  const witness: Witness = new Witness(ports.views, (revision) =>
    doubt.incarnation === null
      ? []
      : peers
          .behind(doubt.incarnation.id, revision)
          .sort((a, b) => Number(b.label === leadership.known()) - Number(a.label === leadership.known())),
  );
  const doubt: Doubt = new Doubt(clock, () => leadership.leads());
  const store = new GuardedStore(ports.store, doubt, clock);
  const leads = (): boolean => leadership.acting() !== null;
  const feed: Feed = new Feed(cache, store, clock, leads, doubt, mayLag(settings.workers));
  const contacts = new Contacts(settings);
  const served = servedBy(store, clock);
  const peers: Peers = new Peers(
    settings,
    ports.peers,
    () => ({
      term: cache.term,
      served: served() && !doubt.active,
      loaded: feed.loaded,
      contacts: contacts.recent(clock()),
      life:
        doubt.incarnation === null
          ? null
          : {
              incarnation: doubt.incarnation.id,
              generation: doubt.incarnation.generation,
              revision: doubt.floor(),
              read: cache.revision,
              age: doubt.seenFor(),
            },
      relics: relics.all.length > 0,
      ...(leadership.acting() === null ? {} : { news: sessions.fleet.news }),
    }),
    clock,
  );
  peers.onBeat = (b) => {
    if (b.term > 0) doubt.heardTerm(b.term, b.from);
    if (b.life) doubt.peerSaw(b.life.incarnation, b.life.generation, b.life.revision);
  };
  peers.onAnswer = (b, asked) => {
    // It has seen the key itself, at most so long before it answered.
    if (b.life && b.life.incarnation === doubt.incarnation?.id) doubt.seen(plus(asked, -b.life.age));
  };
  const admission = new Admission(
    settings.limits.maxConnections,
    clock,
    () => store.writeWait(),
    settings.limits.cores,
    ports.dayTime,
    ports.memory,
  );
  /** This node's view has been held against a peer's since it was read, or all have been asked in vain. */
  let verified = false;
  /** Not in vain: one has compared it, or none that lives has a view of its own. */
  let compared = false;
  const verify = duty(
    'verify',
    Effect.gen(function* () {
      if (doubt.incarnation !== null && doubt.floor() === cache.revision && witness.size > 0)
        witness.covered(doubt.incarnation.id, cache.revision);
      if (feed.loaded && doubt.incarnation === null && !doubt.active) {
        yield* Effect.ignore(leadership.found);
        yield* Effect.sleep(40);
        return;
      }
      if (!feed.loaded || doubt.incarnation === null || doubt.active || (verified && compared)) {
        yield* verified ? tick(1500) : Effect.sleep(feed.loaded ? 300 : 40);
        return;
      }
      const parts = { doubt, store, feed, cache, port: ports.views };
      const told = yield* Effect.forEach(settings.peers, (peer) => verifyWith(parts, peer), {
        concurrency: 'unbounded',
      });
      // None could tell, or all have been asked in vain: nobody who answers knows better.
      verified = feed.loaded && !doubt.active;
      compared = verified && (told.includes('compared') || !told.includes('silent'));
      // Those who were silent may know better once they can be reached.
      if (verified && !compared) yield* tick(1500);
    }).pipe(Effect.forever),
  );
  /**
   * This node's view has all that it should have: a peer has compared it with its own since it was read, no value was found
   * damaged, no peer has shown a key to be lost. One that was read after records were lost looks like the latest, and says
   * what has ended to be placed still: joined as such, it would be placed, and booked, a second time.
   */
  const whole = (): boolean => compared && doubt.standing?.proven !== true && cache.hole() === null;
  /** This node's view is of an incarnation that is over. */
  const leaveView = (): void => {
    if (doubt.incarnation !== null && (cache.jobs.size > 0 || cache.finals.size > 0))
      relics.keep(relics.relicOf(cache, doubt.incarnation.generation, doubt.standing?.led ?? null, whole()));
    leadership.forsake();
    verified = false;
    compared = false;
    cache.clear();
    feed.leave();
    doubt.leave();
  };
  const leadership: Leadership = new Leadership(
    settings,
    store,
    ports.store,
    doubt,
    leaveView,
    feed,
    cache,
    peers,
    contacts,
    clock,
  );
  let types: readonly MachineType[] | null = null;
  const knownTypes = (): readonly MachineType[] | null =>
    types ?? (cache.types as readonly MachineType[] | null);

  /** Why this node can't take requests; null: it can. With the state service out for all, leaving helps nobody. */
  const unready = (): string | null => {
    if (!feed.loaded || (doubt.incarnation === null && !doubt.active)) return 'starting';
    if (knownTypes() === null) return 'machine types unknown';
    if (!served() && peers.otherServed()) return 'state service refuses this node';
    // Neither the state service nor any other controller: whoever of them is served answers users better.
    if (!served() && peers.alone()) return 'cut off from the state service and the others';
    return null;
  };

  const learnTypes = duty(
    'types',
    Effect.gen(function* () {
      const read = yield* Effect.option(ports.cloud.types());
      if (read._tag === 'Some') {
        types = read.value;
        const reign = leadership.acting();
        const fixed = types.map((t) => ({ ...t, spotPrice: 0 }));
        const kept = (cache.types as MachineType[] | null)?.map((t) => ({ ...t, spotPrice: 0 })) ?? null;
        if (reign && JSON.stringify(fixed) !== JSON.stringify(kept)) {
          yield* Effect.ignore(
            store.transact(
              [{ key: TERM, stamp: reign.stamp }],
              [{ set: TYPES, value: types }],
              Priority.Commit,
              1500,
            ),
          );
        }
      }
      yield* Effect.sleep(knownTypes() === null ? 2000 : leads() ? 20_000 : 60_000);
    }).pipe(Effect.forever),
  );

  const sessions = new Sessions({
    settings,
    store,
    cloud: ports.cloud,
    workers: ports.workers,
    views: ports.views,
    feed,
    cache,
    doubt,
    relics,
    witness,
    peers,
    leadership,
    admission,
    types: knownTypes,
    clock,
    dayTime: ports.dayTime,
    balance: ports.balance ?? null,
  });
  const receive = receiver(leadership, () => sessions.desk, clock, contacts, doubt);
  const users = userDoor(
    {
      settings,
      store,
      feed,
      cache,
      doubt,
      witness,
      verified: () => verified,
      durable: () => !doubt.active && relics.all.length === 0,
      leads,
      mayBeNew: (id) => sessions.mayBeNew(id),
      types: knownTypes,
      ready: () => unready() === null,
      clock,
      dayTime: ports.dayTime,
    },
    admission,
    unready,
  );
  const workers = workerDoor({
    settings,
    leadership,
    sessions,
    peers,
    contacts,
    admission,
    relay: ports.relay,
    receive,
    clock,
  });
  const views = viewHandler(
    relics,
    (incarnation) =>
      doubt.incarnation === null || doubt.incarnation.id === incarnation
        ? null
        : relics.relicOf(
            cache,
            doubt.incarnation.generation,
            doubt.standing?.led ?? leadership.leads(),
            whole(),
          ),
    cache,
    witness,
    (body) => answerCheck(body, cache, feed.loaded ? (doubt.incarnation?.id ?? null) : null, doubt.floor()),
  );
  const others = peerDoor(peers, receive, views);
  const snapshots =
    ports.snapshots === null
      ? null
      : snapshotDuty({ files: ports.snapshots, store, feed, cache, doubt, relics });
  const parts: DoubtParts = {
    doubt,
    raw: ports.store,
    store,
    feed,
    cache,
    refound: leadership.refound,
    leaveView,
    leads,
    clock,
  };
  return {
    handle: users,
    quick: workers.quick,
    quickPeer: others.quick,
    handlePeer: others.handle,
    run: Effect.zipRight(
      snapshots?.first ?? Effect.void,
      Effect.all(
        [
          ...(snapshots === null ? [] : [snapshots.run]),
          loadLine(leads),
          feed.run,
          feed.history,
          verify,
          doubtDuty(parts),
          auditDuty(parts),
          leadership.run,
          peers.run,
          workers.run,
          probe(store, feed, clock),
          pulse(admission, leads),
          watchMemory(admission),
          learnTypes,
          sessions.run,
        ],
        { concurrency: 'unbounded' },
      ),
    ).pipe(Effect.zipRight(Effect.never)),
    leadership,
    unready,
    peers,
    doubt,
    cache,
    book: () => sessions.book(),
  };
};
