/**
 * Exchanges heartbeats between controllers. A peer heartbeat carries the highest term that its sender knows, and whether
 * the state service responds to the sender. Two safety arguments rely on this (docs/design.md, "A leader without the state
 * service"):
 *
 * - a leader's read lease: a majority has confirmed, less than `CONFIRMATION_VALID` ago, that it knows no higher term and
 *   that the state service does not respond to it either;
 * - a new leader's acknowledgement: enough controllers know its term that no read lease of an older term can be renewed.
 */
import { Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import type { NoResponse } from '@lilacvalve/runtime/http-client';
import { type HttpResponse, json } from '@lilacvalve/runtime/http-server';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { sleepUntilTick } from '@lilacvalve/runtime/tick';
import type { ProvisioningUpdate } from '../provisioning/model.js';
import type { Peer, Settings } from '../settings/settings.js';
import { decodePeerHeartbeat, encodePeerHeartbeat } from './codec.js';
import type { PeerHeartbeat } from './model.js';
import { unchangedSince, type PeerKnowledge } from './read-lease.js';

/** Sends a heartbeat to a peer and returns the peer's heartbeat in response. */
export interface PeerPort {
  exchange(peer: Peer, heartbeat: PeerHeartbeat): Effect.Effect<PeerHeartbeat, NoResponse>;
}

const EXCHANGE_EVERY_MS = 1000;
/** How long a peer's response counts as confirmation, from when the heartbeat that it responds to was sent. */
export const CONFIRMATION_VALID = seconds(3);
/** A peer that has sent no response to any request for this long counts as stalled, down or cut off. */
const REACHABLE_WITHIN = seconds(2.8);
/** How long the state that a peer's heartbeat reports is used. */
const HEARTBEAT_VALID = seconds(3.5);

interface ReceivedHeartbeat {
  readonly heartbeat: PeerHeartbeat;
  /** When the heartbeat that it responds to was sent: its content was true at that time or later. */
  readonly requestedAt: Micros;
  readonly receivedAt: Micros;
}

/** The state of the other controllers as their heartbeats report it; `run` exchanges the heartbeats. */
export class Peers {
  private readonly responses = new Map<string, ReceivedHeartbeat>();
  private readonly labels = new Set<string>();
  private readonly lastResponseAt = new Map<string, Micros>();
  /** Labels of the peers that at least one heartbeat was sent to, whether they responded or not. */
  private readonly requestedPeers = new Set<string>();
  /** Called with every heartbeat that a peer sends, as a request or as a response. */
  onHeartbeat: (heartbeat: PeerHeartbeat) => void = () => undefined;
  /** Called with a peer's response to a heartbeat sent at `requestedAt`: its content was true at that time or later. */
  onResponse: (heartbeat: PeerHeartbeat, requestedAt: Micros) => void = () => undefined;
  /** The highest term known from any controller. */
  private highest = 0;
  /** The provisioning state in the latest heartbeat of a leader. */
  private provisioning: { readonly news: ProvisioningUpdate; readonly at: Micros } | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly port: PeerPort,
    private readonly ownState: () => Omit<PeerHeartbeat, 'from' | 'term'> & { readonly term: number },
    private readonly clock: () => Micros,
  ) {
    for (const peer of settings.peers) this.labels.add(peer.label);
  }

  /** This controller's heartbeat. It carries the highest known term, so that a lower one is never confirmed again. */
  private heartbeat(): PeerHeartbeat {
    const own = this.ownState();
    this.highest = Math.max(this.highest, own.term);
    return { ...own, from: this.settings.label, term: this.highest };
  }

  /** Processes a heartbeat that a peer has sent; returns this controller's heartbeat as the response. */
  receive(heartbeat: PeerHeartbeat): PeerHeartbeat {
    // The sender's term is the highest that it knows. With a lower one it may be a deposed leader that doesn't know of its
    // successor, and its provisioning state is outdated.
    if (heartbeat.provisioning !== undefined && heartbeat.term >= this.highest)
      this.provisioning = { news: heartbeat.provisioning, at: this.clock() };
    this.highest = Math.max(this.highest, heartbeat.term);
    this.onHeartbeat(heartbeat);
    return this.heartbeat();
  }

  /** Whether at least one heartbeat was sent to every peer, with or without a response. */
  allAsked(): boolean {
    return this.requestedPeers.size >= this.settings.peers.length;
  }

  /** Reachable peers that have not reported yet that their view is of `incarnation` and has reached `revision`. */
  peersBehind(incarnation: string, revision: number): Peer[] {
    return this.settings.peers.filter((peer) => {
      if (!this.isReachable(peer.label)) return false;
      const store = this.responses.get(peer.label)?.heartbeat.store;
      return store?.incarnation !== incarnation || store.viewRevision < revision;
    });
  }

  /** Labels of the peers that have recently reported that they keep pre-loss views. */
  withPreLossViews(): string[] {
    return this.recentHeartbeats()
      .filter((heartbeat) => heartbeat.hasPreLossViews === true)
      .map((heartbeat) => heartbeat.from);
  }

  /** The provisioning state that a leader has sent last, and when it was received. */
  lastProvisioning(): { readonly news: ProvisioningUpdate; readonly at: Micros } | null {
    return this.provisioning;
  }

  /** The highest term known from any controller. */
  highestTerm(): number {
    return this.highest;
  }

  /** The latest heartbeat of each peer whose last response is not older than `HEARTBEAT_VALID`. */
  private recentHeartbeats(): PeerHeartbeat[] {
    const now = this.clock();
    return [...this.responses.values()]
      .filter((response) => now - response.receivedAt < HEARTBEAT_VALID)
      .map((response) => response.heartbeat);
  }

  /** Whether the state service responds to any peer. */
  anyServedByStore(): boolean {
    return this.recentHeartbeats().some((heartbeat) => heartbeat.servedByStore);
  }

  /** Whether there are other controllers and none of them has responded recently. */
  isolated(): boolean {
    return this.settings.peers.length > 0 && this.recentHeartbeats().length === 0;
  }

  /** Whether the peer has responded recently, so that it is likely to respond to a further request. */
  isReachable(label: string): boolean {
    const respondedAt = this.lastResponseAt.get(label);
    return respondedAt !== undefined && this.clock() - respondedAt < REACHABLE_WITHIN;
  }

  /** Notes that the peer has responded to a heartbeat or to another request. */
  recordResponse(label: string): void {
    this.lastResponseAt.set(label, this.clock());
  }

  /** Peers that could become leader, with the number of workers that reach each (`contacts`). */
  candidates(): { node: string; contacts: number }[] {
    return this.recentHeartbeats()
      .filter((heartbeat) => heartbeat.servedByStore && heartbeat.viewLoaded)
      .map((heartbeat) => ({ node: heartbeat.from, contacts: heartbeat.reachableWorkers }));
  }

  /** Until when the confirmations of a majority, this controller included, allow a leader of `term` a read lease. */
  confirmedUntil(term: number): Micros {
    if (this.highest > term) return Number.NEGATIVE_INFINITY as Micros;
    const requestTimes = [...this.responses.values()]
      .filter(
        (response) =>
          response.heartbeat.viewLoaded &&
          !response.heartbeat.servedByStore &&
          response.heartbeat.term <= term,
      )
      .map((response) => response.requestedAt)
      .sort((a, b) => b - a);
    const othersNeeded = Math.floor(this.settings.controllerCount / 2);
    if (othersNeeded === 0) return Number.POSITIVE_INFINITY as Micros;
    const oldest = requestTimes[othersNeeded - 1];
    return oldest === undefined ? (Number.NEGATIVE_INFINITY as Micros) : plus(oldest, CONFIRMATION_VALID);
  }

  /** See `unchangedSince` in read-lease.ts. Without other controllers: the current time. */
  unchangedSince(incarnation: string, revision: number): number {
    const { peers, controllerCount } = this.settings;
    if (peers.length < controllerCount - 1) return Number.NEGATIVE_INFINITY;
    const knowledge = peers.map((peer): PeerKnowledge | null => {
      const response = this.responses.get(peer.label);
      const store = response?.heartbeat.store;
      if (!response?.heartbeat.viewLoaded || !store) return null;
      const revision = Math.max(store.highestRevision, store.viewRevision);
      return { requestedAt: response.requestedAt, incarnation: store.incarnation, revision };
    });
    return Math.min(this.clock(), unchangedSince(knowledge, incarnation, revision));
  }

  /** Whether enough controllers, this one included, know `term` that every majority contains one of them. */
  acknowledged(term: number): boolean {
    let acknowledging = 1;
    for (const response of this.responses.values()) if (response.heartbeat.term >= term) acknowledging++;
    return acknowledging >= Math.ceil(this.settings.controllerCount / 2);
  }

  /** Exchanges heartbeats with one peer for ever. Runs once per peer, so that a silent peer does not delay the others. */
  private exchangeHeartbeats(peer: Peer): Effect.Effect<never> {
    return supervise(
      'peer',
      Effect.suspend(() => {
        const requestedAt = this.clock();
        return this.port.exchange(peer, this.heartbeat()).pipe(
          Effect.map((response) => {
            if (!this.labels.has(response.from)) return;
            this.highest = Math.max(this.highest, response.term);
            this.responses.set(response.from, { heartbeat: response, requestedAt, receivedAt: this.clock() });
            this.recordResponse(response.from);
            this.onHeartbeat(response);
            this.onResponse(response, requestedAt);
          }),
          Effect.ignore,
          Effect.ensuring(Effect.sync(() => this.requestedPeers.add(peer.label))),
        );
      }).pipe(Effect.zipRight(sleepUntilTick(EXCHANGE_EVERY_MS)), Effect.forever),
    );
  }

  /** Exchanges heartbeats with all peers for ever. */
  readonly run: Effect.Effect<unknown> = Effect.suspend(() =>
    Effect.all(
      this.settings.peers.map((peer) => this.exchangeHeartbeats(peer)),
      { concurrency: 'unbounded', discard: true },
    ),
  );
}

/** Handles a peer's heartbeat request; the response has this controller's heartbeat, or status 400 for an invalid body. */
export const respondToHeartbeat = (peers: Pick<Peers, 'receive'>, body: Buffer | null): HttpResponse => {
  const heartbeat = body === null ? null : decodePeerHeartbeat(body);
  if (heartbeat === null) return json(400, {});
  return {
    status: 200,
    body: encodePeerHeartbeat(peers.receive(heartbeat)),
    headers: { 'Content-Type': 'application/msgpack' },
  };
};
