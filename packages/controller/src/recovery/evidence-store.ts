/**
 * Evidence of what users were told. Before this node confirms something to a user, it sends that to other controllers that
 * may not have read it yet: should the state service lose it and this node crash in the same moment, another controller
 * still knows. A controller that does not answer at once is not waited for; the store's commit is what makes the answer true
 * (docs/rebuild.md).
 */
import { Effect } from 'effect';
import { pack, unpack } from 'msgpackr';
import { decodeJob } from '../jobs/codec.js';
import { packFinalState, unpackFinalState } from '../jobs/final-states.js';
import type { FinalState } from '../jobs/model.js';
import type { Peer } from '../settings/settings.js';
import { EVIDENCE_PATH, type ViewPort } from './model.js';
import type { JobVersion } from './merge.js';

/** A peer on the same network answers in a few milliseconds. */
const REPLICATE_TIMEOUT_MS = 120;
/** Peers that get a piece of evidence, the leader first: it is lost only if all of them crash together with this node. */
const MAX_PEERS = 2;
/** More than arrive between two reads of a node. */
const MAX_RECORDS = 2000;

/** What a user was told of a job, as of `revision`: accepted or cancelled (its key's value), or its final state. */
export interface JobEvidence {
  readonly id: string;
  readonly revision: number;
  readonly generation: number;
  readonly incarnation: string;
  readonly value: { readonly stored: unknown } | { readonly final: FinalState };
}

type Wire = [
  id: string,
  revision: number,
  generation: number,
  incarnation: string,
  final: number | null,
  stored: unknown,
];

export const encodeJobEvidence = (evidence: JobEvidence): Buffer => {
  const wire: Wire =
    'final' in evidence.value
      ? [
          evidence.id,
          evidence.revision,
          evidence.generation,
          evidence.incarnation,
          packFinalState(evidence.value.final),
          null,
        ]
      : [
          evidence.id,
          evidence.revision,
          evidence.generation,
          evidence.incarnation,
          null,
          evidence.value.stored,
        ];
  return Buffer.from(pack(wire));
};
export const decodeJobEvidence = (body: Buffer): JobEvidence | null => {
  try {
    const [id, revision, generation, incarnation, final, stored] = unpack(body) as Wire;
    if (typeof id !== 'string' || typeof incarnation !== 'string') return null;
    if (!Number.isSafeInteger(revision) || !Number.isSafeInteger(generation)) return null;
    if (final !== null && !Number.isSafeInteger(final)) return null;
    if (final === null) decodeJob(id, stored, 0);
    return {
      id,
      revision,
      generation,
      incarnation,
      value: final === null ? { stored } : { final: unpackFinalState(final) },
    };
  } catch {
    return null;
  }
};

/** The evidence that this node holds, its own and the other controllers', until its view includes it. */
export class EvidenceStore {
  private readonly evidence = new Map<string, JobEvidence>();

  constructor(
    private readonly port: ViewPort,
    /** Reachable peers whose own reads are not known to be as new as `revision`, the leader first. */
    private readonly behind: (revision: number) => readonly Peer[],
  ) {}

  /** Keeps a piece of evidence, unless a later one of the same job is there. */
  record(evidence: JobEvidence): void {
    const known = this.evidence.get(evidence.id);
    // One that arrives late, or twice, takes nothing back.
    if (
      known !== undefined &&
      known.incarnation === evidence.incarnation &&
      known.revision > evidence.revision
    )
      return;
    this.evidence.delete(evidence.id);
    this.evidence.set(evidence.id, evidence);
    if (this.evidence.size <= MAX_RECORDS) return;
    for (const old of this.evidence.keys()) {
      this.evidence.delete(old);
      break;
    }
  }

  /** Drops the evidence up to `revision` of `incarnation`: this node's own view includes it. */
  dropCovered(incarnation: string, revision: number): void {
    for (const [id, evidence] of this.evidence)
      if (evidence.incarnation === incarnation && evidence.revision <= revision) this.evidence.delete(id);
  }

  /** Sends a piece of evidence to the peers that may lack it; completes once they have it, or after `REPLICATE_TIMEOUT_MS`. */
  replicate(evidence: JobEvidence): Effect.Effect<void> {
    return Effect.suspend(() => {
      // This node's own view is as of its last read, and that may have been before.
      this.record(evidence);
      const peers = this.behind(evidence.revision).slice(0, MAX_PEERS);
      if (peers.length === 0) return Effect.void;
      const body = encodeJobEvidence(evidence);
      return Effect.forEach(peers, (p) => Effect.ignore(this.port.ask(p, EVIDENCE_PATH, body)), {
        concurrency: 'unbounded',
        discard: true,
      }).pipe(Effect.timeoutOption(REPLICATE_TIMEOUT_MS), Effect.asVoid);
    });
  }

  get size(): number {
    return this.evidence.size;
  }

  /** The active jobs that the evidence tells of, as a view has them. */
  versions(): JobVersion[] {
    const out: JobVersion[] = [];
    for (const evidence of this.evidence.values())
      if ('stored' in evidence.value)
        out.push({
          generation: evidence.generation,
          revision: -1,
          job: decodeJob(evidence.id, evidence.value.stored, 0),
        });
    return out;
  }
  /** The final states that the evidence tells of. */
  *finals(): Generator<readonly [string, FinalState]> {
    for (const evidence of this.evidence.values())
      if ('final' in evidence.value) yield [evidence.id, evidence.value.final];
  }
  /** Forgets everything: it is durable in a new incarnation. */
  clear(): void {
    this.evidence.clear();
  }
}
