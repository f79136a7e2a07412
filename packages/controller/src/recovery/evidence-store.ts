/**
 * Evidence of what users were told. Before a controller confirms a change to a user, it sends a copy of the change to peers
 * that may not have read it yet: if the state service then loses the change and this controller crashes at the same time,
 * a peer still has the copy. The confirmation does not wait for a peer that is slow to respond, since the commit in the store
 * alone makes the change valid (docs/rebuild.md).
 */
import { Effect } from 'effect';
import { pack, unpack } from 'msgpackr';
import { decodeJob } from '../jobs/codec.js';
import { packFinalState, unpackFinalState } from '../jobs/final-states.js';
import type { FinalState } from '../jobs/model.js';
import type { Peer } from '../settings/settings.js';
import { EVIDENCE_PATH, type ViewPort } from './model.js';
import type { JobVersion } from './merge.js';

/** A peer on the same network normally responds within a few milliseconds. */
const REPLICATE_TIMEOUT_MS = 120;
/** Maximum peers that get a copy. Evidence is lost only if all of them crash together with this controller. */
const MAX_PEERS = 2;
/** Maximum evidence kept, the oldest dropped first. More than is recorded between two reads of a controller. */
const MAX_EVIDENCE = 2000;

/**
 * What a user was told of a job, as of `revision`. `stored`: the value of the job's key, for an accepted or cancelled job.
 * `final`: the job's final state.
 */
export interface JobEvidence {
  readonly id: string;
  readonly revision: number;
  readonly generation: number;
  readonly incarnation: string;
  readonly value: { readonly stored: unknown } | { readonly final: FinalState };
}

type WireEvidence = [
  id: string,
  revision: number,
  generation: number,
  incarnation: string,
  final: number | null,
  stored: unknown,
];

export const encodeJobEvidence = (evidence: JobEvidence): Buffer => {
  const wire: WireEvidence =
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
    const [id, revision, generation, incarnation, final, stored] = unpack(body) as WireEvidence;
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

/** Keeps this controller's evidence and copies of its peers' until the controller's own view includes what they say. */
export class EvidenceStore {
  private readonly evidence = new Map<string, JobEvidence>();

  constructor(
    private readonly port: ViewPort,
    /** Returns the reachable peers that are not known to have read the store up to `revision`, the leader first. */
    private readonly peersBehind: (revision: number) => readonly Peer[],
  ) {}

  /** Keeps a piece of evidence, unless a later one of the same job is kept already. */
  record(evidence: JobEvidence): void {
    const known = this.evidence.get(evidence.id);
    // Evidence that arrives late or twice must not replace later evidence.
    if (
      known !== undefined &&
      known.incarnation === evidence.incarnation &&
      known.revision > evidence.revision
    )
      return;
    this.evidence.delete(evidence.id);
    this.evidence.set(evidence.id, evidence);
    if (this.evidence.size <= MAX_EVIDENCE) return;
    for (const oldest of this.evidence.keys()) {
      this.evidence.delete(oldest);
      break;
    }
  }

  /** Drops the evidence up to `revision` of `incarnation`, once this controller's own view includes it. */
  dropCovered(incarnation: string, revision: number): void {
    for (const [id, evidence] of this.evidence)
      if (evidence.incarnation === incarnation && evidence.revision <= revision) this.evidence.delete(id);
  }

  /** Sends a copy to the peers that may lack it. Completes once they have it, or after `REPLICATE_TIMEOUT_MS`. */
  replicate(evidence: JobEvidence): Effect.Effect<void> {
    return Effect.suspend(() => {
      // This controller's own view may be older than the change, too.
      this.record(evidence);
      const peers = this.peersBehind(evidence.revision).slice(0, MAX_PEERS);
      if (peers.length === 0) return Effect.void;
      const body = encodeJobEvidence(evidence);
      return Effect.forEach(peers, (peer) => Effect.ignore(this.port.request(peer, EVIDENCE_PATH, body)), {
        concurrency: 'unbounded',
        discard: true,
      }).pipe(Effect.timeoutOption(REPLICATE_TIMEOUT_MS), Effect.asVoid);
    });
  }

  get size(): number {
    return this.evidence.size;
  }

  /** Returns the active jobs in the evidence as versions to merge, ranked below the complete views of their generation. */
  versions(): JobVersion[] {
    const versions: JobVersion[] = [];
    for (const evidence of this.evidence.values())
      if ('stored' in evidence.value)
        versions.push({
          generation: evidence.generation,
          revision: -1,
          job: decodeJob(evidence.id, evidence.value.stored, 0),
        });
    return versions;
  }
  /** Yields the final states in the evidence, by job id. */
  *finals(): Generator<readonly [string, FinalState]> {
    for (const evidence of this.evidence.values())
      if ('final' in evidence.value) yield [evidence.id, evidence.value.final];
  }
  /** Drops all evidence, once everything in it is durable in a new incarnation. */
  clear(): void {
    this.evidence.clear();
  }
}
