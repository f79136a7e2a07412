/**
 * The heartbeats that controllers exchange: the highest term the sender knows, and whether the state service serves it.
 * Two safety arguments rely on them (docs/design.md, "A leader without the state service"):
 *
 * - a leader's read lease: a majority has confirmed, less than `CONFIRMATION_VALID` ago, that it knows no higher term and
 *   is not served by the state service either;
 * - a new leader's acknowledgement: enough nodes know its term that no read lease of an older term can be renewed.
 */
import { Effect } from 'effect';
import { supervise } from '@lilacvalve/runtime/supervise';
import type { NoAnswer } from '@lilacvalve/runtime/http-client';
import { type Answer, json } from '@lilacvalve/runtime/http-server';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { tick } from '@lilacvalve/runtime/tick';
import type { ProvisioningNews } from '../provisioning/model.js';
import type { Peer, Settings } from '../settings/settings.js';
import { decodePeerHeartbeat, encodePeerHeartbeat } from './codec.js';
import type { PeerHeartbeat } from './model.js';
import { unchangedSince, type PeerKnowledge } from './read-lease.js';

/** Sends a heartbeat to a peer; succeeds with the peer's own. */
export interface PeerPort {
  exchange(peer: Peer, heartbeat: PeerHeartbeat): Effect.Effect<PeerHeartbeat, NoAnswer>;
}

const EXCHANGE_EVERY_MS = 1000;
/** How long a confirmation counts, from when it was asked for. */
export const CONFIRMATION_VALID = seconds(3);
/** A peer that has answered nothing for so long, neither heartbeats nor relayed ones, is stalled, down or cut off. */
const REACHABLE_WITHIN = seconds(2.8);
/** How long what a peer says about itself is used. */
const HEARTBEAT_VALID = seconds(3.5);

interface ReceivedHeartbeat {
  readonly heartbeat: PeerHeartbeat;
  /** When the exchange that brought it began: what it says was true then or later. */
  readonly asked: Micros;
  readonly receivedAt: Micros;
}

/** What this node knows of the other controllers from their heartbeats; `run` exchanges them. */
export class Peers {
  private readonly responses = new Map<string, ReceivedHeartbeat>();
  private readonly labels = new Set<string>();
  private readonly lastResponseAt = new Map<string, Micros>();
  /** Peers that have been asked, whether they answered or not. */
  private readonly asked = new Set<string>();
  /** Called with every heartbeat of a peer. */
  onHeartbeat: (ownHeartbeat: PeerHeartbeat) => void = () => undefined;
  /** Called with a peer's response to a heartbeat sent at `asked`: what it says was still true at that time or later. */
  onResponse: (heartbeat: PeerHeartbeat, asked: Micros) => void = () => undefined;
  private highest = 0;
  private provisioning: { readonly news: ProvisioningNews; readonly at: Micros } | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly port: PeerPort,
    private readonly ownState: () => Omit<PeerHeartbeat, 'from' | 'term'> & { readonly term: number },
    private readonly clock: () => Micros,
  ) {
    for (const p of settings.peers) this.labels.add(p.label);
  }

  /** Carries the highest term heard of, so that a lower one is never confirmed again. */
  private heartbeat(): PeerHeartbeat {
    const own = this.ownState();
    this.highest = Math.max(this.highest, own.term);
    return { ...own, from: this.settings.label, term: this.highest };
  }

  /** Takes in a peer's heartbeat; returns this node's own. */
  receive(heartbeat: PeerHeartbeat): PeerHeartbeat {
    // Its sender's term is the highest it knows: a deposed leader that has not heard of it says nothing newer.
    if (heartbeat.provisioning !== undefined && heartbeat.term >= this.highest)
      this.provisioning = { news: heartbeat.provisioning, at: this.clock() };
    this.highest = Math.max(this.highest, heartbeat.term);
    this.onHeartbeat(heartbeat);
    return this.heartbeat();
  }

  /** Every peer has been asked at least once, whether it answered or not. */
  allAsked(): boolean {
    return this.asked.size >= this.settings.peers.length;
  }

  /** Reachable peers that have not said that they have read `incarnation` up to `revision`. */
  behind(incarnation: string, revision: number): Peer[] {
    return this.settings.peers.filter((peer) => {
      if (!this.isReachable(peer.label)) return false;
      const store = this.responses.get(peer.label)?.heartbeat.store;
      return store?.incarnation !== incarnation || store.viewRevision < revision;
    });
  }

  /** Labels of peers that lately said that they keep views from before a loss. */
  withPreLossViews(): string[] {
    return this.recentHeartbeats()
      .filter((b) => b.hasPreLossViews === true)
      .map((b) => b.from);
  }

  /** What a leader last said of its machines, and when that was received. */
  lastProvisioning(): { readonly news: ProvisioningNews; readonly at: Micros } | null {
    return this.provisioning;
  }

  highestTerm(): number {
    return this.highest;
  }

  /** The heartbeats of peers that are recent enough to be used. */
  private recentHeartbeats(): PeerHeartbeat[] {
    const at = this.clock();
    return [...this.responses.values()]
      .filter((h) => at - h.receivedAt < HEARTBEAT_VALID)
      .map((h) => h.heartbeat);
  }

  anyServedByStore(): boolean {
    return this.recentHeartbeats().some((b) => b.servedByStore);
  }

  /** There are other controllers, and none has answered lately. */
  isolated(): boolean {
    return this.settings.peers.length > 0 && this.recentHeartbeats().length === 0;
  }

  /** The peer has answered lately, so that a request to it is likely to be answered. */
  isReachable(label: string): boolean {
    const at = this.lastResponseAt.get(label);
    return at !== undefined && this.clock() - at < REACHABLE_WITHIN;
  }

  /** Notes that the peer has answered, be it a heartbeat or anything else. */
  recordResponse(label: string): void {
    this.lastResponseAt.set(label, this.clock());
  }

  /** Peers that could become leader, with the number of workers that reach them. */
  candidates(): { node: string; contacts: number }[] {
    return this.recentHeartbeats()
      .filter((b) => b.servedByStore && b.viewLoaded)
      .map((b) => ({ node: b.from, contacts: b.reachableWorkers }));
  }

  /** Until when the confirmations of a majority, this node included, let a leader of `term` keep its read lease. */
  confirmedUntil(term: number): Micros {
    if (this.highest > term) return Number.NEGATIVE_INFINITY as Micros;
    const asked = [...this.responses.values()]
      .filter((h) => h.heartbeat.viewLoaded && !h.heartbeat.servedByStore && h.heartbeat.term <= term)
      .map((h) => h.asked)
      .sort((a, b) => b - a);
    const others = Math.floor(this.settings.nodes / 2);
    if (others === 0) return Number.POSITIVE_INFINITY as Micros;
    const weakest = asked[others - 1];
    return weakest === undefined ? (Number.NEGATIVE_INFINITY as Micros) : plus(weakest, CONFIRMATION_VALID);
  }

  /** See `nothingAfter`; with no other controller this moment. */
  unchangedSince(incarnation: string, revision: number): number {
    const { peers, nodes } = this.settings;
    if (peers.length < nodes - 1) return Number.NEGATIVE_INFINITY;
    const said = peers.map((peer): PeerKnowledge | null => {
      const response = this.responses.get(peer.label);
      const store = response?.heartbeat.store;
      if (!response?.heartbeat.viewLoaded || !store) return null;
      const revision = Math.max(store.highestRevision, store.viewRevision);
      return { asked: response.asked, incarnation: store.incarnation, revision };
    });
    return Math.min(this.clock(), unchangedSince(said, incarnation, revision));
  }

  /** Enough nodes know `term`, this one included, that every majority contains one of them. */
  acknowledged(term: number): boolean {
    let acknowledging = 1;
    for (const h of this.responses.values()) if (h.heartbeat.term >= term) acknowledging++;
    return acknowledging >= Math.ceil(this.settings.nodes / 2);
  }

  /** Exchanges heartbeats with one peer for ever; a peer that does not answer delays no other. */
  private exchangeHeartbeats(peer: Peer): Effect.Effect<never> {
    return supervise(
      'peer',
      Effect.suspend(() => {
        const asked = this.clock();
        return this.port.exchange(peer, this.heartbeat()).pipe(
          Effect.map((answer) => {
            if (!this.labels.has(answer.from)) return;
            this.highest = Math.max(this.highest, answer.term);
            this.responses.set(answer.from, { heartbeat: answer, asked, receivedAt: this.clock() });
            this.recordResponse(answer.from);
            this.onHeartbeat(answer);
            this.onResponse(answer, asked);
          }),
          Effect.ignore,
          Effect.ensuring(Effect.sync(() => this.asked.add(peer.label))),
        );
      }).pipe(Effect.zipRight(tick(EXCHANGE_EVERY_MS)), Effect.forever),
    );
  }

  readonly run: Effect.Effect<unknown> = Effect.suspend(() =>
    Effect.all(
      this.settings.peers.map((p) => this.exchangeHeartbeats(p)),
      { concurrency: 'unbounded', discard: true },
    ),
  );
}

/** Takes in a peer's heartbeat and answers with this node's own; 400 where the body is none. */
export const respondToHeartbeat = (peers: Pick<Peers, 'receive'>, body: Buffer | null): Answer => {
  const heartbeat = body === null ? null : decodePeerHeartbeat(body);
  if (heartbeat === null) return json(400, {});
  return {
    status: 200,
    body: encodePeerHeartbeat(peers.receive(heartbeat)),
    headers: { 'Content-Type': 'application/msgpack' },
  };
};
