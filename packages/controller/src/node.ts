/** One controller node: wires the slices together. Effects of the outside world come in as ports. */
import { Effect, Queue } from 'effect';
import { route, userHandlers, workOf } from './api/handlers.js';
import { duty } from '@lilacvalve/base/duty';
import { info } from '@lilacvalve/base/log';
import { takeTally, tally } from './tally.js';
import { type Micros, millis, seconds, toMillis } from '@lilacvalve/base/micros';
import { type Answer, type Incoming, json, type Quick, retryLater } from '@lilacvalve/base/http-server';
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
import { Admission } from './overload/admission.js';
import { Book } from './workers/book.js';
import { REPORTS } from './workers/codec.js';
import { type Desk, Gate, receiver, reportHandler, sendUrgent, type WorkerPort } from './workers/duty.js';
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
  readonly desk: () => Desk | null;
}

/** Between two turns: each costs writes of a budget that all controllers share. */
const TURN_GAP_MS = 250;
/** A turn's computing takes at most about this part of the node's time: reports, leases and users share it. */
const TURN_PART = 1 / 4;
/** Each machine more lets turns be so much further apart: on many machines something has always changed. */
const GAP_MS_A_MACHINE = 0.6;
const LONG_GAP_MS = 800;
const TURN_EVERY_MS = 1000;
const UPKEEP_GAP_MS = 200;
/** A report waits at most so long for a turn. */
const LONGEST_TURN = millis(1200);
/** How soon a session notices that its reign is over; it may do nothing more from the moment on anyway. */
const OVER_MS = 250;
const SUMMARY_EVERY_MS = 10_000;
/** No leader is known, or it does not answer: the worker tries the next node. */
const leaderless = retryLater('no leader');
const NEW_LEADER = seconds(10);
const PULSE = millis(500);
const QUICK_PULSE = millis(100);
const LATE = millis(300);
/** A pulse so much too late is worth a line in the log. */
const STILL_MS = 1500;
const NO_NEWS: FleetNews = { rented: [], removed: [] };

/** From the end of a turn to the next one's begin, after one over so many machines that computed for `costMs`. */
export const turnGapMs = (machines: number, costMs: number): number =>
  Math.max(
    TURN_GAP_MS,
    Math.min(LONG_GAP_MS, Math.round(machines * GAP_MS_A_MACHINE)),
    costMs * (1 / TURN_PART - 1),
  );

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
  const admission = new Admission(settings.limits.maxConnections, clock, () => store.writeWait());
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
      // One that was late is looked at again soon: the node may have caught up at once.
      const pulse = admission.lag() > LATE ? QUICK_PULSE : PULSE;
      admission.sleeps(pulse);
      return Effect.sleep(toMillis(pulse)).pipe(
        Effect.zipRight(
          Effect.suspend(() => {
            const gap = toMillis(admission.woke());
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
      const gate = new Gate(clock);
      desk = {
        book,
        nextTurn: (then) => {
          gate.wait(then);
          Queue.unsafeOffer(wake, undefined);
        },
      };
      const relieve = Effect.sync(() => gate.relieve(LONGEST_TURN)).pipe(
        Effect.zipRight(Effect.sleep(OVER_MS)),
        Effect.forever,
      );
      const turns = Effect.gen(function* () {
        yield* Queue.take(wake).pipe(Effect.timeoutOption(TURN_EVERY_MS));
        gate.begin();
        yield* (t.acting() ? turn(t, view) : Effect.void).pipe(
          Effect.ensuring(Effect.sync(() => gate.open())),
        );
        if (t.acting()) yield* sendUrgent(book, ports.workers, admission);
        yield* Effect.sleep(turnGapMs(book.machines.size, toMillis(view.cost)));
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
        Effect.all([duty('turns', turns), fleetDuty(t, view, ports.cloud), tidy, report, relieve], {
          concurrency: 'unbounded',
        }),
      ).pipe(Effect.ensuring(Effect.sync(() => gate.relieve(seconds(0)))));
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

  /** What this node did, whether it leads or not. */
  const load = duty(
    'load',
    Effect.sleep(SUMMARY_EVERY_MS).pipe(
      Effect.zipRight(
        Effect.suspend(() => info('load', { leads: leadership.acting() !== null, ...takeTally() })),
      ),
      Effect.forever,
    ),
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
  const places = new Places(settings.label, [settings.label, ...settings.peers.map((p) => p.label)].sort());
  const leader = (): Peer | null => {
    const label = leadership.known();
    const peer = settings.peers.find((p) => p.label === label);
    return peer !== undefined && peers.reaches(peer.label) ? peer : null;
  };
  const relay = new Relay(ports.relay, leader, (label) => peers.heard(label), clock);
  const relayed = relayHandler(receive);
  const reports = reportHandler(
    receive,
    () => desk !== null && leadership.answering() !== null,
    (report, reply) => (leader() === null ? reply(leaderless) : relay.pass(report, reply)),
    (machine) => {
      const reign = leadership.acting();
      const at = clock();
      // In its first seconds a leader answers all who come: being sent on would cost them time twice.
      if (reign !== null && at - reign.began < NEW_LEADER) return null;
      const leads = reign !== null ? settings.label : (leader()?.label ?? null);
      return places.elsewhere(machine, leads, (n) => peers.reaches(n), at);
    },
    (machine) => contacts.note(machine, clock()),
  );
  const beats = peerHandler(() => peers);
  const answer = route(users, unready);
  return {
    handle: (r) => {
      const work = workOf(r);
      if (work === null) return answer(r);
      const refusal = admission.enter(work);
      if (refusal !== null) return Effect.succeed(refusal);
      return Effect.ensuring(
        answer(r),
        Effect.sync(() => admission.leave(work)),
      );
    },
    quick: (r, reply) => {
      if (r.path !== REPORTS || r.method !== 'POST') return false;
      const refusal = admission.enter('report');
      if (refusal !== null) {
        reply(refusal);
        return true;
      }
      let inside = true;
      const leave = (): void => {
        if (inside) admission.leave('report');
        inside = false;
      };
      try {
        return reports(r, (a) => {
          leave();
          reply(a);
        });
      } catch (e) {
        leave();
        throw e;
      }
    },
    quickPeer: (r, reply) => (r.method === 'POST' && r.path === '/relay' ? relayed(r, reply) : false),
    handlePeer: (r) => {
      if (r.method !== 'POST') return Effect.succeed(json(405, {}, { Allow: 'POST' }));
      tally('beats');
      return r.path === '/beat' ? beats(r) : Effect.succeed(json(404, {}));
    },
    run: Effect.all(
      [load, feed.run, leadership.run, peers.run, relay.run, probe, pulse, learnTypes, reigns],
      {
        concurrency: 'unbounded',
      },
    ).pipe(Effect.zipRight(Effect.never)),
    leadership,
    unready,
    peers,
    desk: () => desk,
  };
};
