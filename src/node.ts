/** One controller node: wires the slices together. Effects of the outside world come in as ports. */
import { Deferred, Effect, Queue } from 'effect';
import { route, userHandlers } from './api/handlers.js';
import { duty } from './base/duty.js';
import { info } from './base/log.js';
import { type Micros, seconds, toMillis } from './base/micros.js';
import { type Answer, type Incoming, json, retryLater } from './base/http-server.js';
import type { CloudPort } from './fleet/cloud.js';
import { fleetDuty } from './fleet/duty.js';
import type { FleetNews, MachineType } from './fleet/model.js';
import { JobCache } from './jobs/cache.js';
import { Feed } from './jobs/feed.js';
import { TERM, TYPES } from './jobs/keys.js';
import { Contacts } from './leadership/contacts.js';
import { Leadership, type Reign } from './leadership/leadership.js';
import { peerHandler, type PeerPort, Peers } from './leadership/peers.js';
import { summary, turn } from './scheduler/duty.js';
import { upkeep } from './scheduler/records.js';
import type { CycleView, Turn } from './scheduler/turn.js';
import type { Peer, Settings } from './settings/settings.js';
import { Priority } from './state-store/budget.js';
import type { StatePort } from './state-store/port.js';
import { Book } from './workers/book.js';
import { type Desk, receiver, reportHandler, sendUrgent, type WorkerPort } from './workers/duty.js';
import { Places } from './workers/places.js';
import { Relay, relayHandler, type RelayPort } from './workers/relay.js';

export interface Ports {
  readonly store: StatePort;
  readonly cloud: CloudPort;
  readonly workers: WorkerPort;
  readonly peers: PeerPort;
  readonly relay: RelayPort;
  readonly clock: () => Micros;
  readonly dayTime: () => Micros;
}

export interface Node {
  readonly handle: (r: Incoming) => Effect.Effect<Answer>;
  /** What other controllers ask. */
  readonly handlePeer: (r: Incoming) => Effect.Effect<Answer>;
  readonly run: Effect.Effect<never>;
  readonly leadership: Leadership;
  readonly peers: Peers;
  readonly desk: () => Desk | null;
}

/** Between two turns: each costs writes of a budget that all controllers share. */
const TURN_GAP_MS = 250;
/** A turn's computing takes at most about this part of the node's time: reports, leases and users share it. */
const TURN_PART = 1 / 4;
const TURN_EVERY_MS = 1000;
const UPKEEP_GAP_MS = 200;
/** How soon a session notices that its reign is over; it may do nothing more from the moment on anyway. */
const OVER_MS = 250;
const SUMMARY_EVERY_MS = 10_000;
/** No leader is known, or it does not answer: the worker tries the next node. */
const leaderless = Effect.succeed(retryLater('no leader'));
const NEW_LEADER = seconds(10);
const PULSE_MS = 500;
/** A pulse so much too late is worth a line in the log. */
const STILL_MS = 1500;
const NO_NEWS: FleetNews = { rented: [], removed: [] };

export const makeNode = (settings: Settings, ports: Ports): Node => {
  const { store, clock } = ports;
  const cache = new JobCache();
  const feed: Feed = new Feed(cache, store, clock, () => leadership.acting() !== null);
  const peers: Peers = new Peers(
    settings,
    ports.peers,
    () => ({
      term: cache.term,
      served: served(),
      loaded: feed.loaded,
      contacts: contacts.recent(clock()),
      ...(leadership.acting() === null ? {} : { news: fleet.news }),
    }),
    clock,
  );
  const contacts = new Contacts(settings);
  const fleet: { news: FleetNews } = { news: NO_NEWS };
  const leadership: Leadership = new Leadership(settings, store, feed, cache, peers, contacts, clock);
  let types: readonly MachineType[] | null = null;
  const knownTypes = (): readonly MachineType[] | null =>
    types ?? (cache.types as readonly MachineType[] | null);

  const served = (): boolean => {
    const at = clock();
    if (at - store.lastServed > 2.5e6) return false;
    return store.lastServed >= store.lastRefused || at - store.lastServed < 1e6;
  };
  // Keeps `served` true to the moment, also when no user asks for anything.
  const probe = duty(
    'probe',
    Effect.suspend(() => (clock() - store.lastServed > 1e6 ? Effect.ignore(feed.refresh) : Effect.void)).pipe(
      Effect.zipRight(Effect.sleep(500)),
      Effect.forever,
    ),
  );
  /** Operators should see in the log that this node stood still: its clocks ran on, and its right may be gone. */
  const pulse = duty(
    'pulse',
    Effect.suspend(() => {
      const slept = clock();
      return Effect.sleep(PULSE_MS).pipe(
        Effect.zipRight(
          Effect.suspend(() => {
            const gap = toMillis(clock() - slept) - PULSE_MS;
            return gap < STILL_MS
              ? Effect.void
              : info('stood still', { ms: gap, leads: leadership.acting() !== null });
          }),
        ),
      );
    }).pipe(Effect.forever),
  );
  /** Why this node can't take requests; null: it can. With the state service out for all, leaving helps nobody. */
  const unready = (): string | null => {
    if (!feed.loaded) return 'starting';
    if (knownTypes() === null) return 'machine types unknown';
    if (!served() && peers.otherServed()) return 'state service refuses this node';
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
      yield* Effect.sleep(knownTypes() === null ? 2000 : leadership.acting() ? 20_000 : 60_000);
    }).pipe(Effect.forever),
  );

  let desk: Desk | null = null;
  const wake = Effect.runSync(Queue.sliding<void>(1));
  cache.onJobs = () => Queue.unsafeOffer(wake, undefined);

  const session = (reign: Reign) =>
    Effect.gen(function* () {
      const book = new Book(settings, cache, reign.term, reign.began);
      // What the last leader said of its machines, with the time passed since.
      const heard = peers.lastNews();
      if (heard !== null) book.warm(heard.news, heard.at);
      fleet.news = heard?.news ?? NO_NEWS;
      const t: Turn = {
        settings,
        store,
        feed,
        cache,
        book,
        reign,
        acting: () => leadership.acting()?.term === reign.term,
        reigning: () => leadership.reigning(reign.term),
        acknowledged: () => peers.acknowledged(reign.term),
        types: () => knownTypes() ?? [],
        fleet,
        clock,
        dayTime: ports.dayTime,
        companions: new Map(),
      };
      const view: CycleView = { result: null, surplus: new Set(), companions: [], cost: 0 };
      let gate = yield* Deferred.make<void>();
      desk = {
        book,
        nextTurn: Effect.suspend(() => {
          Queue.unsafeOffer(wake, undefined);
          return Deferred.await(gate).pipe(Effect.timeoutOption(1200), Effect.asVoid);
        }),
      };
      const turns = Effect.gen(function* () {
        yield* Queue.take(wake).pipe(Effect.timeoutOption(TURN_EVERY_MS));
        const mine = gate;
        gate = yield* Deferred.make<void>();
        yield* (t.acting() ? turn(t, view) : Effect.void).pipe(
          Effect.ensuring(Deferred.succeed(mine, undefined)),
        );
        if (t.acting()) yield* sendUrgent(book, ports.workers);
        yield* Effect.sleep(Math.max(TURN_GAP_MS, toMillis(view.cost * (1 / TURN_PART - 1))));
      }).pipe(Effect.forever);
      const tidy = duty(
        'upkeep',
        upkeep(t).pipe(Effect.zipRight(Effect.sleep(UPKEEP_GAP_MS)), Effect.forever),
      );
      const report = duty(
        'summary',
        Effect.sleep(SUMMARY_EVERY_MS).pipe(
          Effect.zipRight(Effect.suspend(() => info('cluster', { term: reign.term, ...summary(t, view) }))),
          Effect.forever,
        ),
      );
      const over = Effect.sleep(OVER_MS).pipe(Effect.repeat({ while: () => t.reigning() }));
      yield* Effect.raceFirst(
        over,
        Effect.all([duty('turns', turns), fleetDuty(t, view, ports.cloud), tidy, report], {
          concurrency: 'unbounded',
        }),
      );
    }).pipe(
      Effect.ensuring(
        Effect.sync(() => {
          desk = null;
        }),
      ),
      Effect.zipRight(info('no longer leads', { term: reign.term })),
    );

  const reigns = duty(
    'reigns',
    Effect.suspend(() => {
      const reign = leadership.acting();
      return reign === null ? leadership.awaitReign : session(reign);
    }).pipe(Effect.forever),
  );

  const users = userHandlers({
    settings,
    store,
    feed,
    cache,
    types: knownTypes,
    ready: () => unready() === null,
    clock,
    dayTime: ports.dayTime,
  });
  const receive = receiver(leadership, () => desk, clock, contacts);
  const relay = new Relay(ports.relay, (label) => peers.heard(label));
  const places = new Places(settings.label, [settings.label, ...settings.peers.map((p) => p.label)].sort());
  const leader = (): Peer | null => {
    const label = leadership.known();
    const peer = settings.peers.find((p) => p.label === label);
    return peer !== undefined && peers.reaches(peer.label) ? peer : null;
  };
  const relayed = relayHandler(receive);
  const beats = peerHandler(() => peers);
  return {
    handle: route(
      users,
      reportHandler(
        receive,
        (r) => (leader() === null ? leaderless : relay.pass(r, leader)),
        (machine) => {
          const reign = leadership.acting();
          const at = clock();
          // In its first seconds a leader answers all who come: being sent on would cost them time twice.
          if (reign !== null && at - reign.began < NEW_LEADER) return null;
          const leads = reign !== null ? settings.label : (leader()?.label ?? null);
          return places.elsewhere(machine, leads, (n) => peers.reaches(n), at);
        },
      ),
      unready,
    ),
    handlePeer: (r) => {
      if (r.method !== 'POST') return Effect.succeed(json(405, {}, { Allow: 'POST' }));
      if (r.path === '/beat') return beats(r);
      return r.path === '/relay' ? relayed(r) : Effect.succeed(json(404, {}));
    },
    run: Effect.all([feed.run, leadership.run, peers.run, probe, pulse, learnTypes, reigns], {
      concurrency: 'unbounded',
    }).pipe(Effect.zipRight(Effect.never)),
    leadership,
    peers,
    desk: () => desk,
  };
};
