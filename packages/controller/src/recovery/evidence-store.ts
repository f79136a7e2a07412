/**
 * What this node tells a user, it first tells the other controllers that may not have read it yet: should the state
 * service lose it and this node end in the same moment, somebody still knows. A node that does not answer at once is not
 * waited for; the store's commit is what makes the answer true (docs/rebuild.md).
 */
import { Effect } from 'effect';
import { pack, unpack } from 'msgpackr';
import { decodeJob } from '../jobs/codec.js';
import { packFinal, unpackFinal } from '../jobs/finals.js';
import type { FinalState } from '../jobs/model.js';
import type { Peer } from '../settings/settings.js';
import { EVIDENCE_PATH, type ViewPort } from './model.js';
import type { JobVersion } from './merge.js';

/** A peer on the same network answers in a few milliseconds. */
const REPLICATE_TIMEOUT_MS = 120;
/** Peers told of one thing, the leader first: for it to be lost, all of them would have to end with this node. */
const MAX_PEERS = 2;
/** More than come in between two reads of a node. */
const MAX_RECORDS = 2000;

/** One thing told: a job as accepted or cancelled (its key's value), or a final state. As of `revision`. */
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

export const encodeJobEvidence = (f: JobEvidence): Buffer => {
  const wire: Wire =
    'final' in f.value
      ? [f.id, f.revision, f.generation, f.incarnation, packFinal(f.value.final), null]
      : [f.id, f.revision, f.generation, f.incarnation, null, f.value.stored];
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
      value: final === null ? { stored } : { final: unpackFinal(final) },
    };
  } catch {
    return null;
  }
};

export class EvidenceStore {
  private readonly evidence = new Map<string, JobEvidence>();

  constructor(
    private readonly port: ViewPort,
    /** Reachable peers whose own reads are not known to be as new as `revision`, the leader first. */
    private readonly behind: (revision: number) => readonly Peer[],
  ) {}

  /** Another node tells this one. */
  record(f: JobEvidence): void {
    const known = this.evidence.get(f.id);
    // One that comes late, or twice, takes nothing back.
    if (known !== undefined && known.incarnation === f.incarnation && known.revision > f.revision) return;
    this.evidence.delete(f.id);
    this.evidence.set(f.id, f);
    if (this.evidence.size <= MAX_RECORDS) return;
    for (const old of this.evidence.keys()) {
      this.evidence.delete(old);
      break;
    }
  }

  /** This node's own view of `incarnation` is as new as `revision`: it includes what was noted up to there. */
  dropCovered(incarnation: string, revision: number): void {
    for (const [id, f] of this.evidence)
      if (f.incarnation === incarnation && f.revision <= revision) this.evidence.delete(id);
  }

  /** Completes once the peers know it, or have had their time. */
  replicate(f: JobEvidence): Effect.Effect<void> {
    return Effect.suspend(() => {
      // This node's own view is as of its last read, and that may have been before.
      this.record(f);
      const peers = this.behind(f.revision).slice(0, MAX_PEERS);
      if (peers.length === 0) return Effect.void;
      const body = encodeJobEvidence(f);
      return Effect.forEach(peers, (p) => Effect.ignore(this.port.ask(p, EVIDENCE_PATH, body)), {
        concurrency: 'unbounded',
        discard: true,
      }).pipe(Effect.timeoutOption(REPLICATE_TIMEOUT_MS), Effect.asVoid);
    });
  }

  get size(): number {
    return this.evidence.size;
  }

  /** What is noted and not covered, as a view has it. */
  versions(): JobVersion[] {
    const out: JobVersion[] = [];
    for (const f of this.evidence.values())
      if ('stored' in f.value)
        out.push({ generation: f.generation, revision: -1, job: decodeJob(f.id, f.value.stored, 0) });
    return out;
  }
  *finals(): Generator<readonly [string, FinalState]> {
    for (const f of this.evidence.values()) if ('final' in f.value) yield [f.id, f.value.final];
  }
  clear(): void {
    this.evidence.clear();
  }
}
