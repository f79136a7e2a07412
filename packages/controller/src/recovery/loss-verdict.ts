/** Decides from probes of the store what became of a suspected data loss. Pure: counts probes and does not measure time. */
import type { StoreKnowledge, Probe } from './model.js';

/**
 * `undecided`: more probes are needed. `intact`: the store shows everything that was known of it. `rebuilt`: another
 * controller has begun a new incarnation. `lost`: the store no longer shows what was known of it.
 */
export type Verdict = 'undecided' | 'intact' | 'rebuilt' | 'lost';

/**
 * Returns the verdict. `probes`: the probes since the loss was suspected, the latest last. `requiredProbes`: how many
 * consecutive probes must agree on a loss. A probe that matches what was known, or that is followed by one of a lower
 * revision, ends the sequence: alternating revisions come from two copies of the store that respond in turn.
 */
export const verdictOf = (
  known: StoreKnowledge,
  probes: readonly Probe[],
  requiredProbes: number,
): Verdict => {
  const last = probes[probes.length - 1];
  if (last === undefined) return 'undecided';
  // A controller without a view accepts any incarnation that is as new as the newest it knows of.
  const minGeneration = Math.max(known.generation, (known.incarnation?.generation ?? -1) + 1);
  const others = last.incarnations.filter((incarnation) => incarnation.id !== known.incarnation?.id);
  if (last.term >= known.term && others.some((incarnation) => incarnation.generation >= minGeneration))
    return 'rebuilt';
  if (matchesKnown(known, last)) return 'intact';
  let agreeing = 1;
  for (let i = probes.length - 2; i >= 0; i--) {
    if (matchesKnown(known, probes[i]!) || probes[i]!.revision > probes[i + 1]!.revision) break;
    agreeing++;
  }
  return agreeing >= requiredProbes ? 'lost' : 'undecided';
};

const matchesKnown = (known: StoreKnowledge, probe: Probe): boolean =>
  probe.revision >= known.revision &&
  probe.term >= known.term &&
  (known.incarnation === null
    ? known.generation < 0 && probe.incarnations.length === 0
    : probe.incarnations.some(
        (incarnation) =>
          incarnation.id === known.incarnation!.id && incarnation.revision === known.incarnation!.revision,
      ));
