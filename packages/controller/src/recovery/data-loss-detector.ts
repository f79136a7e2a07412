/**
 * Whether the state service has lost data. Every answer is compared with what was known when it was asked for; what can't
 * follow from that is evidence of a loss, and from then on nothing is committed, started, rented or returned, and users get
 * 503, until the store is seen to be intact or has been rebuilt (docs/rebuild.md).
 */
import { DRIFT, type Micros, millis, seconds } from '@lilacvalve/runtime/micros';
import type { Condition } from '../state-store/client.js';
import { INCARNATION } from '../jobs/keys.js';
import type { Evidence, EvidenceKind, Incarnation, StoreKnowledge } from './model.js';

/** More evidence than this adds nothing. */
const MAX_EVIDENCE = 8;

/** From the first evidence of a loss until a new incarnation may begin. */
export const CERTAIN_AFTER = seconds(3);
/** For drifting clocks and messages in flight. */
const MARGIN = millis(200);

/** A suspected loss of data. */
export interface Suspicion {
  readonly since: Micros;
  readonly evidence: Evidence[];
  /** A peer has shown that the store lacks what it had: that this node's own view agrees with the store then proves nothing. */
  proven: boolean;
  /** The term this node was acting for, without a gap, when the loss was first suspected; null: it was not. */
  ledTerm: number | null;
}

/** What this node knows of the store's data, and whether the store still shows it. */
export class DataLossDetector {
  /** The store's, as this node has read it. null: not read, or the store has none yet. */
  incarnation: Incarnation | null = null;
  suspicion: Suspicion | null = null;
  /** Counts the incarnations that this node has left: an answer to a request sent in an earlier one proves nothing. */
  incarnationCount = 0;
  private revision = -1;
  /** The highest generation that this node or a peer has seen. */
  private generation = -1;
  /** The incarnation and revision that this node's disk holds. */
  private fromDisk: { readonly id: string; readonly revision: number } | null = null;
  /** The highest term that a worker or a peer has named, and when. */
  private namedTerm: { readonly term: number; readonly at: Micros; readonly by: string } | null = null;
  /** When this node's incarnation was last seen to be the store's: by a read of its key, or a transaction that held it. */
  private seenAt = Number.NEGATIVE_INFINITY;
  /** Called with the store's incarnation once a read of it has been believed. */
  onIncarnationConfirmed: (incarnation: string) => void = () => undefined;
  /** Called when a loss is first suspected. */
  onSuspected: () => void = () => undefined;

  constructor(
    private readonly clock: () => Micros,
    /** The term this node acts for right now. */
    private readonly currentTermNumber: () => number | null,
  ) {}

  get suspected(): boolean {
    return this.suspicion !== null;
  }

  /** What the next answers are compared with. */
  known(): StoreKnowledge {
    return {
      incarnation: this.incarnation,
      generation: this.generation,
      revision: this.revision,
      term: this.highestTerm(),
    };
  }

  /** Adds evidence of a loss; the first makes the loss suspected. `proven`: see `Suspicion`. */
  suspect(kind: EvidenceKind, what: string, proven = false): void {
    if (this.suspicion === null) {
      this.suspicion = {
        since: this.clock(),
        evidence: [{ kind, what }],
        proven,
        ledTerm: this.currentTermNumber(),
      };
      this.onSuspected();
    } else if (this.suspicion.evidence.length < MAX_EVIDENCE) this.suspicion.evidence.push({ kind, what });
    if (proven) this.suspicion.proven = true;
  }

  /** The incarnation's key was there at a moment that is not before `asked`. */
  incarnationSeen(asked: Micros): void {
    if (asked > this.seenAt) this.seenAt = asked;
  }

  /** How long ago that was at the most, given how far clocks may drift; microseconds. */
  sinceIncarnationSeen(): number {
    return Math.min(1e12, (this.clock() - this.seenAt) * (1 + 2 * DRIFT));
  }

  /**
   * Whether changes that follow on a view's revision can be trusted. By themselves they prove nothing: after a loss and a
   * rebuild the same revision occurs again. A rebuild begins `CERTAIN_AFTER` after its loss at the earliest, so an
   * incarnation's key that was seen more recently is proof.
   */
  incarnationSeenRecently(): boolean {
    return this.clock() - this.seenAt < CERTAIN_AFTER - MARGIN;
  }

  /** The lowest revision that an answer to a request sent now may be of. */
  revisionFloor(): number {
    return this.revision;
  }

  /** An answer is as of `revision`; `floor`: `revisionFloor` when it was asked for. false: the store has gone back. */
  acceptRevision(revision: number, floor: number): boolean {
    if (revision < floor) {
      this.suspect('revision went back', `${revision} after ${floor}`);
      return false;
    }
    if (revision > this.revision) this.revision = revision;
    return true;
  }

  /** A peer has seen this revision of this incarnation. */
  notePeerRevision(id: string, generation: number, revision: number): void {
    this.generation = Math.max(this.generation, generation);
    if (this.incarnation !== null && generation > this.incarnation.generation)
      this.suspect('other incarnation', `a peer knows generation ${generation}`);
    if (id === this.incarnation?.id && revision > this.revision && !this.suspected) this.revision = revision;
  }

  /** What an earlier process of this node knew, from its disk. */
  restoreKnowledge(id: string, generation: number, revision: number, term: number): void {
    this.generation = Math.max(this.generation, generation);
    this.fromDisk = { id, revision };
    this.noteTerm(term, 'a snapshot');
  }

  /** A read has shown the store's incarnation (null: it has none): this node's from now on, unless a newer one is known. */
  readIncarnation(there: Incarnation | null): void {
    if (this.incarnation !== null) return;
    if (there !== null && there.generation >= this.generation) {
      this.incarnation = there;
      this.generation = there.generation;
      if (this.fromDisk?.id === there.id) this.revision = Math.max(this.revision, this.fromDisk.revision);
    } else if (this.generation >= 0)
      this.suspect(
        'other incarnation',
        `${there?.generation ?? 'none'} in the store, ${this.generation} known`,
      );
  }

  /** A worker's fencing token or a peer's heartbeat names a term, which was therefore committed before. */
  noteTerm(term: number, by: string): void {
    if (this.namedTerm === null || term > this.namedTerm.term)
      this.namedTerm = { term, at: this.clock(), by };
  }

  /** A worker's fencing token. One from before the store's first start was issued by an earlier store, which is lost. */
  noteToken(token: number, worker: string): void {
    if (token === 0) return;
    this.noteTerm(token, worker);
    const { incarnation } = this;
    if (incarnation === null || incarnation.generation > 0 || token > incarnation.termFloor) return;
    this.suspect(
      'other incarnation',
      `${worker} has token ${token}, from before the store's first start`,
      true,
    );
    // Who led that store is not known: no view of it is complete.
    this.suspicion!.ledTerm = null;
  }

  highestTerm(): number {
    return this.namedTerm?.term ?? 0;
  }

  /** A read sent at `asked` shows this term: it must not be lower than one named before. */
  checkTerm(term: number, asked: Micros): void {
    const { namedTerm: named } = this;
    if (named !== null && named.term > term && named.at <= asked)
      this.suspect('term went back', `${term} in the store, ${named.term} named by ${named.by}`);
  }

  /** What every transaction is conditional on; null: the store has no incarnation yet. */
  fence(): Condition | null {
    return this.incarnation === null
      ? null
      : { key: INCARNATION + this.incarnation.id, stamp: this.incarnation.stamp };
  }

  /** The store was seen to be intact. */
  ruleOut(): void {
    this.suspicion = null;
  }

  /** This node's incarnation is over: what it knew of revisions does not apply to the next. */
  leaveIncarnation(): void {
    this.incarnationCount++;
    this.suspicion = null;
    this.incarnation = null;
    this.revision = -1;
    this.seenAt = Number.NEGATIVE_INFINITY;
  }
}
