/**
 * Whether this node can believe the state service. Every answer is held against what was known when it was asked for;
 * what can't follow from that is evidence of a loss, and from then on nothing is committed, started, rented or returned,
 * and users are told to come back, until the store is seen to be as it was or has been rebuilt (docs/rebuild.md).
 */
import { DRIFT, type Micros, millis, seconds } from '@lilacvalve/runtime/micros';
import type { Condition } from '../state-store/client.js';
import { INCARNATION } from '../jobs/keys.js';
import type { Evidence, EvidenceKind, Incarnation, StoreKnowledge } from './model.js';

/** More evidence than this says nothing new. */
const EVIDENCE_KEPT = 8;

/** From the first evidence of a loss until a new incarnation may begin. */
export const CERTAIN_AFTER = seconds(3);
/** For clocks that drift, and messages on their way. */
const MARGIN = millis(200);

export interface Suspicion {
  readonly since: Micros;
  readonly evidence: Evidence[];
  /** A peer has shown that the store lacks what it had: that this node's own view agrees with the store says nothing. */
  proven: boolean;
  /** The term this node was acting for, without a gap, when the doubt began; null: it was not. */
  ledTerm: number | null;
}

export class DataLossDetector {
  /** The store's, as this node has read it. null: not read, or the store has none yet. */
  incarnation: Incarnation | null = null;
  suspicion: Suspicion | null = null;
  /** Counts the incarnations that this node has left: an answer to a question asked in an earlier one says nothing. */
  incarnationCount = 0;
  private revision = -1;
  /** The highest generation that this node or a peer has seen. */
  private generation = -1;
  /** The incarnation and revision that this node's disk holds. */
  private fromDisk: { readonly id: string; readonly revision: number } | null = null;
  /** The highest term named by a worker or a peer, and when. */
  private namedTerm: { readonly term: number; readonly at: Micros; readonly by: string } | null = null;
  /** When this node's incarnation was last seen to be the store's: by a read of its key, or a transaction that held it. */
  private seenAt = Number.NEGATIVE_INFINITY;
  /** Called with the store's incarnation once a read of it has been believed. */
  onIncarnationConfirmed: (incarnation: string) => void = () => undefined;
  /** Called when a doubt begins. */
  onSuspected: () => void = () => undefined;

  constructor(
    private readonly clock: () => Micros,
    /** The term this node acts for right now. */
    private readonly currentTermNumber: () => number | null,
  ) {}

  get suspected(): boolean {
    return this.suspicion !== null;
  }

  known(): StoreKnowledge {
    return {
      incarnation: this.incarnation,
      generation: this.generation,
      revision: this.revision,
      term: this.highestTerm(),
    };
  }

  suspect(kind: EvidenceKind, what: string, proven = false): void {
    if (this.suspicion === null) {
      this.suspicion = {
        since: this.clock(),
        evidence: [{ kind, what }],
        proven,
        ledTerm: this.currentTermNumber(),
      };
      this.onSuspected();
    } else if (this.suspicion.evidence.length < EVIDENCE_KEPT) this.suspicion.evidence.push({ kind, what });
    if (proven) this.suspicion.proven = true;
  }

  /** The incarnation's key was there at a moment that is not before `asked`. */
  incarnationSeen(asked: Micros): void {
    if (asked > this.seenAt) this.seenAt = asked;
  }

  /** How long ago that was, with what clocks may differ by. */
  sinceIncarnationSeen(): number {
    return Math.min(1e12, (this.clock() - this.seenAt) * (1 + 2 * DRIFT));
  }

  /**
   * Changes that follow on a view's revision prove nothing by themselves: after a loss and a rebuild the revision comes
   * again. A rebuild begins `CERTAIN_AFTER` after its loss at the earliest, so a key seen within less than that is proof.
   */
  incarnationSeenRecently(): boolean {
    return this.clock() - this.seenAt < CERTAIN_AFTER - MARGIN;
  }

  /** The lowest revision that an answer to a request sent now may be of. */
  revisionFloor(): number {
    return this.revision;
  }

  /** An answer is as of `revision`; `floor`: of when it was asked for. false: it can't follow from what was known. */
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

  /** What this node knew in an earlier life, from its disk. */
  restoreKnowledge(id: string, generation: number, revision: number, term: number): void {
    this.generation = Math.max(this.generation, generation);
    this.fromDisk = { id, revision };
    this.noteTerm(term, 'a snapshot');
  }

  /** What a read has shown: the store's incarnation, if it has one, becomes this node's; one must be as new as known. */
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

  /** A worker's token or a peer's beat names a term: it was committed before that. */
  noteTerm(term: number, by: string): void {
    if (this.namedTerm === null || term > this.namedTerm.term)
      this.namedTerm = { term, at: this.clock(), by };
  }

  /** A worker's token. One from before the store's first start was given by an earlier life of it, which is lost. */
  noteToken(token: number, worker: string): void {
    if (token === 0) return;
    this.noteTerm(token, worker);
    const i = this.incarnation;
    if (i === null || i.generation > 0 || token > i.termFloor) return;
    this.suspect(
      'other incarnation',
      `${worker} has token ${token}, from before the store's first start`,
      true,
    );
    // Who led that life is not known: nobody's view is the whole of it.
    this.suspicion!.ledTerm = null;
  }

  highestTerm(): number {
    return this.namedTerm?.term ?? 0;
  }

  /** A read that was asked for at `asked` shows this term. */
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

  /** The store is as it was. */
  ruleOut(): void {
    this.suspicion = null;
  }

  /** Another incarnation begins for this node: what it knew of revisions counts no more. */
  leaveIncarnation(): void {
    this.incarnationCount++;
    this.suspicion = null;
    this.incarnation = null;
    this.revision = -1;
    this.seenAt = Number.NEGATIVE_INFINITY;
  }
}
