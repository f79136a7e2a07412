/**
 * Detects that the state service has lost data. Every response of the store is compared with what was known when the request
 * was sent; a contradiction is evidence of a loss. From the first evidence on this controller commits, starts, rents and
 * returns nothing, and users get 503, until the store is seen to be intact or has been rebuilt (docs/rebuild.md).
 */
import { MAX_CLOCK_DRIFT, type Micros, millis, seconds } from '@lilacvalve/runtime/micros';
import type { Condition } from '../state-store/client.js';
import { INCARNATION } from '../jobs/keys.js';
import type { Evidence, EvidenceKind, Incarnation, StoreKnowledge } from './model.js';

/** Maximum pieces of evidence kept for one suspicion, since further ones change nothing. */
const MAX_EVIDENCE = 8;

/** Minimum age of a suspicion at which a new incarnation may begin. */
export const MIN_SUSPICION_AGE = seconds(3);
/** Safety margin for clock drift and for messages in flight. */
const CLOCK_MARGIN = millis(200);

/** A suspected data loss. */
export interface Suspicion {
  readonly since: Micros;
  readonly evidence: Evidence[];
  /**
   * The evidence alone proves that the store lacks data it had before: a peer knows the data, a worker's token is from an
   * earlier store, or a stored value is missing or unreadable. An agreement of this controller's view with the store then
   * does not rule the loss out, since the controller may have read the store only after the loss.
   */
  proven: boolean;
  /** The term this controller was acting for, without interruption, when the loss was first suspected; null if none. */
  ledTerm: number | null;
}

/** Knows what this controller has seen of the store's data, and records evidence that the store no longer has it. */
export class DataLossDetector {
  /** The store's incarnation as this controller has read it; null if not read yet, or if the store has none yet. */
  incarnation: Incarnation | null = null;
  suspicion: Suspicion | null = null;
  /** How many incarnations this controller has left. A response to a request sent in an earlier one proves nothing. */
  incarnationCount = 0;
  private revision = -1;
  /** The highest generation that this controller or a peer has seen. */
  private generation = -1;
  /** The incarnation and the revision of the snapshot on this controller's disk. */
  private snapshotRevision: { readonly id: string; readonly revision: number } | null = null;
  /** The highest term that a worker, a peer or a snapshot has named, and when it was named first. */
  private namedTerm: { readonly term: number; readonly namedAt: Micros; readonly source: string } | null =
    null;
  /** When the store last had this controller's incarnation, by a read of its key or a transaction conditional on the key. */
  private seenAt = Number.NEGATIVE_INFINITY;
  /** Called with the incarnation's id when a read that shows the incarnation agrees with everything known. */
  onIncarnationConfirmed: (incarnation: string) => void = () => undefined;
  /** Called when a loss is first suspected. */
  onSuspected: () => void = () => undefined;

  constructor(
    private readonly clock: () => Micros,
    /** Returns the term that this controller acts for at present; null if none. */
    private readonly currentTermNumber: () => number | null,
  ) {}

  get suspected(): boolean {
    return this.suspicion !== null;
  }

  /** Returns the knowledge that the following responses are compared with. */
  storeKnowledge(): StoreKnowledge {
    return {
      incarnation: this.incarnation,
      generation: this.generation,
      revision: this.revision,
      term: this.highestTerm(),
    };
  }

  /** Adds evidence of a loss. The first piece begins a suspicion. `proven`: see `Suspicion.proven`. */
  suspect(kind: EvidenceKind, description: string, proven = false): void {
    if (this.suspicion === null) {
      this.suspicion = {
        since: this.clock(),
        evidence: [{ kind, description }],
        proven,
        ledTerm: this.currentTermNumber(),
      };
      this.onSuspected();
    } else if (this.suspicion.evidence.length < MAX_EVIDENCE)
      this.suspicion.evidence.push({ kind, description });
    if (proven) this.suspicion.proven = true;
  }

  /** Records that the store had the incarnation's key at `requestedAt` or later. */
  noteIncarnationSeen(requestedAt: Micros): void {
    if (requestedAt > this.seenAt) this.seenAt = requestedAt;
  }

  /** Returns the maximum time since the incarnation was last seen, clock drift included, in microseconds. */
  timeSinceIncarnationSeen(): number {
    return Math.min(1e12, (this.clock() - this.seenAt) * (1 + 2 * MAX_CLOCK_DRIFT));
  }

  /**
   * Whether changes that continue the view from its revision can be trusted. The matching revision alone proves nothing: after
   * a loss and a rebuild the same revision occurs again. A rebuild begins `MIN_SUSPICION_AGE` after its loss at the earliest,
   * so the store can't have been rebuilt if the incarnation's key was seen more recently than that.
   */
  incarnationSeenRecently(): boolean {
    return this.clock() - this.seenAt < MIN_SUSPICION_AGE - CLOCK_MARGIN;
  }

  /** Returns the lowest revision that the response to a request sent now may have. */
  revisionFloor(): number {
    return this.revision;
  }

  /**
   * Checks the revision of a response and remembers the highest. `floor`: the result of `revisionFloor` when the request was
   * sent. Returns false if the store's revision has gone back.
   */
  acceptRevision(revision: number, floor: number): boolean {
    if (revision < floor) {
      this.suspect('revision went back', `response of revision ${revision}, expected at least ${floor}`);
      return false;
    }
    if (revision > this.revision) this.revision = revision;
    return true;
  }

  /** Records that a peer has seen `revision` of the incarnation `id`. */
  notePeerRevision(id: string, generation: number, revision: number): void {
    this.generation = Math.max(this.generation, generation);
    if (this.incarnation !== null && generation > this.incarnation.generation)
      this.suspect(
        'other incarnation',
        `a peer knows generation ${generation}, this controller generation ${this.incarnation.generation}`,
      );
    if (id === this.incarnation?.id && revision > this.revision && !this.suspected) this.revision = revision;
  }

  /** Restores what an earlier process of this controller knew, from the snapshot on its disk. */
  restoreKnowledge(id: string, generation: number, revision: number, term: number): void {
    this.generation = Math.max(this.generation, generation);
    this.snapshotRevision = { id, revision };
    this.noteTerm(term, 'a snapshot');
  }

  /**
   * Handles a read of the store's incarnation; null: the store has none. A controller without an incarnation adopts the one
   * it has read, unless it knows of a newer generation: then the store has lost data.
   */
  handleIncarnationRead(stored: Incarnation | null): void {
    if (this.incarnation !== null) return;
    if (stored !== null && stored.generation >= this.generation) {
      this.incarnation = stored;
      this.generation = stored.generation;
      if (this.snapshotRevision?.id === stored.id)
        this.revision = Math.max(this.revision, this.snapshotRevision.revision);
    } else if (this.generation >= 0)
      this.suspect(
        'other incarnation',
        `the store has generation ${stored?.generation ?? 'none'}, expected at least ${this.generation}`,
      );
  }

  /** Records a term named by `source` (a worker, a peer or a snapshot). A term that is named has been committed before. */
  noteTerm(term: number, source: string): void {
    if (this.namedTerm === null || term > this.namedTerm.term)
      this.namedTerm = { term, namedAt: this.clock(), source };
  }

  /**
   * Records the term in a worker's fencing token. A token from before the first start of the present store was issued by an
   * earlier store, whose data is lost.
   */
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
    // The last leader of the earlier store is unknown, so no view of that store can count as complete.
    this.suspicion!.ledTerm = null;
  }

  highestTerm(): number {
    return this.namedTerm?.term ?? 0;
  }

  /** Checks that a read sent at `requestedAt` shows at least the highest term named before it was sent. */
  checkTerm(term: number, requestedAt: Micros): void {
    const { namedTerm: named } = this;
    if (named !== null && named.term > term && named.namedAt <= requestedAt)
      this.suspect('term went back', `the store has term ${term}, ${named.source} has named ${named.term}`);
  }

  /** Returns the condition that every transaction carries; null if the store has no incarnation yet. */
  fence(): Condition | null {
    return this.incarnation === null
      ? null
      : { key: INCARNATION + this.incarnation.id, revision: this.incarnation.revision };
  }

  /** Ends the suspicion: the store was seen to be intact. */
  ruleOut(): void {
    this.suspicion = null;
  }

  /** Leaves the incarnation: revisions known from it do not apply to the next one. */
  leaveIncarnation(): void {
    this.incarnationCount++;
    this.suspicion = null;
    this.incarnation = null;
    this.revision = -1;
    this.seenAt = Number.NEGATIVE_INFINITY;
  }
}
