/**
 * What controllers tell each other: a beat with the highest term the sender knows and whether the state
 * service serves it. Two things rest on these beats (docs/design.md, "A leader without the state service"):
 *
 * - a leader's hold: a majority has said, of a moment less than `CONFIRM` ago, that it knows no higher term
 *   and gets no service either;
 * - a new leader's acknowledgement: enough nodes know its term that no hold of an older one can be renewed.
 */
import { Effect } from 'effect';
import { pack, unpack } from 'msgpackr';
import { supervise } from '@lilacvalve/runtime/supervise';
import type { NoAnswer } from '@lilacvalve/runtime/http-client';
import { type Answer, json } from '@lilacvalve/runtime/http-server';
import { type Micros, plus, seconds } from '@lilacvalve/runtime/micros';
import { tick } from '@lilacvalve/runtime/tick';
import type { ProvisioningNews } from '../provisioning/model.js';
import type { Peer, Settings } from '../settings/settings.js';
import { nothingAfter, type Said } from './read-lease.js';

export interface PeerHeartbeat {
  readonly from: string;
  /** Highest term the sender knows of. */
  readonly term: number;
  /** The state service serves the sender. */
  readonly served: boolean;
  /** The sender has read the term from the store since it started: only then does its word count. */
  readonly loaded: boolean;
  /** Workers that have reached the sender lately, whatever it answered them. */
  readonly contacts: number;
  /** What the sender has seen of the state service; null: nothing yet. */
  readonly life?: Life | null;
  /** The sender remembers what may not be durable any more. */
  readonly relics?: boolean;
  /** From a leader only: what its successor should know of its machines. */
  readonly news?: ProvisioningNews;
}

export interface Life {
  readonly incarnation: string;
  readonly generation: number;
  /** The highest revision seen, and the one that the sender's view is as of. */
  readonly revision: number;
  readonly read: number;
  /** How long ago, at the most, the sender saw the incarnation's key in the store; microseconds. */
  readonly age: number;
}

/** Carries a beat to a peer and its answering beat back. */
export interface PeerPort {
  exchange(peer: Peer, beat: PeerHeartbeat): Effect.Effect<PeerHeartbeat, NoAnswer>;
}

const EVERY_MS = 1000;
/** How long a confirmation counts, from when it was asked for. */
export const CONFIRM = seconds(3);
/** A peer that has answered nothing for so long, beats or relayed reports, stands still, is gone, or can't be reached. */
const REACHED = seconds(2.8);
/** A peer's word about itself is believed for this long. */
const FRESH = seconds(3.5);

interface Heard {
  readonly beat: PeerHeartbeat;
  /** When the exchange that brought it began: what it says was true then or later. */
  readonly asked: Micros;
  readonly at: Micros;
}

export class Peers {
  private readonly answers = new Map<string, Heard>();
  private readonly known = new Set<string>();
  private readonly heardAt = new Map<string, Micros>();
  /** Peers that have been asked, whether they answered or not. */
  private readonly asked = new Set<string>();
  /** Called with every beat of a peer. */
  onBeat: (beat: PeerHeartbeat) => void = () => undefined;
  /** Called with a peer's answer to this node's beat, which was sent at `asked`: what it says was true since. */
  onAnswer: (beat: PeerHeartbeat, asked: Micros) => void = () => undefined;
  private highest = 0;
  private news: { readonly news: ProvisioningNews; readonly at: Micros } | null = null;

  constructor(
    private readonly settings: Settings,
    private readonly port: PeerPort,
    private readonly mine: () => Omit<PeerHeartbeat, 'from' | 'term'> & { readonly term: number },
    private readonly clock: () => Micros,
  ) {
    for (const p of settings.peers) this.known.add(p.label);
  }

  /** Once a higher term was heard of, a lower one is never confirmed again. */
  private beat(): PeerHeartbeat {
    const m = this.mine();
    this.highest = Math.max(this.highest, m.term);
    return { ...m, from: this.settings.label, term: this.highest };
  }

  /** A peer's beat came in; the answer. */
  receive(beat: PeerHeartbeat): PeerHeartbeat {
    // Its sender's term is the highest it knows: a deposed leader that has not heard of it says nothing newer.
    if (beat.news !== undefined && beat.term >= this.highest)
      this.news = { news: beat.news, at: this.clock() };
    this.highest = Math.max(this.highest, beat.term);
    this.onBeat(beat);
    return this.beat();
  }

  /** Every peer has been asked once; who answered has said what it knows. */
  allAsked(): boolean {
    return this.asked.size >= this.settings.peers.length;
  }

  /** Reachable peers that have not said that they have read `incarnation` up to `revision`. */
  behind(incarnation: string, revision: number): Peer[] {
    return this.settings.peers.filter((p) => {
      if (!this.reaches(p.label)) return false;
      const life = this.answers.get(p.label)?.beat.life;
      return life?.incarnation !== incarnation || life.read < revision;
    });
  }

  /** Peers that lately said they have relics. */
  withRelics(): string[] {
    return this.fresh()
      .filter((b) => b.relics === true)
      .map((b) => b.from);
  }

  /** The latest that a leader said of its machines, and when it came. */
  lastNews(): { readonly news: ProvisioningNews; readonly at: Micros } | null {
    return this.news;
  }

  highestTerm(): number {
    return this.highest;
  }

  /** What peers have said of themselves lately. */
  private fresh(): PeerHeartbeat[] {
    const at = this.clock();
    return [...this.answers.values()].filter((h) => at - h.at < FRESH).map((h) => h.beat);
  }

  otherServed(): boolean {
    return this.fresh().some((b) => b.served);
  }

  /** There are others, and none has answered lately. */
  alone(): boolean {
    return this.settings.peers.length > 0 && this.fresh().length === 0;
  }

  /** The peer has answered lately: what is sent to it has a good chance to be answered. */
  reaches(label: string): boolean {
    const at = this.heardAt.get(label);
    return at !== undefined && this.clock() - at < REACHED;
  }

  /** The peer has answered something. */
  heard(label: string): void {
    this.heardAt.set(label, this.clock());
  }

  /** Peers that could lead, with the workers that reach them. */
  candidates(): { node: string; contacts: number }[] {
    return this.fresh()
      .filter((b) => b.served && b.loaded)
      .map((b) => ({ node: b.from, contacts: b.contacts }));
  }

  /** Until when a majority's word, this node's included, lets a leader of `term` hold on. */
  confirmedUntil(term: number): Micros {
    if (this.highest > term) return Number.NEGATIVE_INFINITY as Micros;
    const asked = [...this.answers.values()]
      .filter((h) => h.beat.loaded && !h.beat.served && h.beat.term <= term)
      .map((h) => h.asked)
      .sort((a, b) => b - a);
    const others = Math.floor(this.settings.nodes / 2);
    if (others === 0) return Number.POSITIVE_INFINITY as Micros;
    const weakest = asked[others - 1];
    return weakest === undefined ? (Number.NEGATIVE_INFINITY as Micros) : plus(weakest, CONFIRM);
  }

  /** See `nothingAfter`; with no other controller this moment. */
  nothingAfter(incarnation: string, revision: number): number {
    const { peers, nodes } = this.settings;
    if (peers.length < nodes - 1) return Number.NEGATIVE_INFINITY;
    const said = peers.map((p): Said | null => {
      const h = this.answers.get(p.label);
      const life = h?.beat.life;
      if (!h?.beat.loaded || !life) return null;
      const revision = Math.max(life.revision, life.read);
      return { asked: h.asked, incarnation: life.incarnation, revision };
    });
    return Math.min(this.clock(), nothingAfter(said, incarnation, revision));
  }

  /** So many nodes know `term`, this one included, that every majority has one of them. */
  acknowledged(term: number): boolean {
    let n = 1;
    for (const h of this.answers.values()) if (h.beat.term >= term) n++;
    return n >= Math.ceil(this.settings.nodes / 2);
  }

  /** One exchange after another with one peer; no peer waits for another that does not answer. */
  private exchanges(peer: Peer): Effect.Effect<never> {
    return supervise(
      'peer',
      Effect.suspend(() => {
        const asked = this.clock();
        return this.port.exchange(peer, this.beat()).pipe(
          Effect.map((answer) => {
            if (!this.known.has(answer.from)) return;
            this.highest = Math.max(this.highest, answer.term);
            this.answers.set(answer.from, { beat: answer, asked, at: this.clock() });
            this.heard(answer.from);
            this.onBeat(answer);
            this.onAnswer(answer, asked);
          }),
          Effect.ignore,
          Effect.ensuring(Effect.sync(() => this.asked.add(peer.label))),
        );
      }).pipe(Effect.zipRight(tick(EVERY_MS)), Effect.forever),
    );
  }

  readonly run: Effect.Effect<unknown> = Effect.suspend(() =>
    Effect.all(
      this.settings.peers.map((p) => this.exchanges(p)),
      { concurrency: 'unbounded', discard: true },
    ),
  );
}

const object = (v: unknown): v is Record<string, unknown> =>
  typeof v === 'object' && v !== null && !Array.isArray(v);
const text = (v: unknown): v is string => typeof v === 'string';
const isLife = (v: unknown): boolean =>
  object(v) &&
  text(v.incarnation) &&
  Number.isInteger(v.generation) &&
  Number.isInteger(v.revision) &&
  Number.isInteger(v.read) &&
  typeof v.age === 'number';
const isNews = (v: unknown): boolean =>
  object(v) &&
  Array.isArray(v.rented) &&
  v.rented.every(
    (r: unknown) =>
      object(r) &&
      text(r.id) &&
      text(r.type) &&
      text(r.zone) &&
      typeof r.spot === 'boolean' &&
      typeof r.age === 'number',
  ) &&
  Array.isArray(v.removed) &&
  v.removed.every(text) &&
  (v.asked === undefined ||
    (Array.isArray(v.asked) &&
      v.asked.every(
        (a: unknown) =>
          object(a) &&
          text(a.type) &&
          text(a.zone) &&
          typeof a.spot === 'boolean' &&
          Number.isInteger(a.count) &&
          typeof a.age === 'number',
      )));
/** Checked by hand, as reports are: eight come in a second, and a schema's decoder was a seventh of a node's rest. */
const isBeat = (v: unknown): v is PeerHeartbeat =>
  object(v) &&
  text(v.from) &&
  Number.isSafeInteger(v.term) &&
  typeof v.served === 'boolean' &&
  typeof v.loaded === 'boolean' &&
  Number.isInteger(v.contacts) &&
  (v.life === undefined || v.life === null || isLife(v.life)) &&
  (v.relics === undefined || typeof v.relics === 'boolean') &&
  (v.news === undefined || isNews(v.news));

/** null: not a beat. Whatever arrives, no duty and no connection ends of it. */
export const readBeat = (body: Buffer): PeerHeartbeat | null => {
  try {
    const value: unknown = unpack(body);
    return isBeat(value) ? value : null;
  } catch {
    return null;
  }
};

/** The answer to a peer's beat. */
export const answerBeat = (peers: Peers, body: Buffer | null): Answer => {
  const beat = body === null ? null : readBeat(body);
  if (beat === null) return json(400, {});
  return {
    status: 200,
    body: pack(peers.receive(beat)),
    headers: { 'Content-Type': 'application/msgpack' },
  };
};
