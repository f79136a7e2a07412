/** What probes of a store say of a suspected data loss: a pure decision, by evidence and not by time. */
import type { StoreKnowledge, Probe } from './model.js';

/**
 * `undecided`: more probes are needed. `intact`: the store is as it was known. `rebuilt`: another controller has begun a new
 * incarnation. `lost`: what was known is not there any more.
 */
export type Verdict = 'undecided' | 'intact' | 'rebuilt' | 'lost';

/**
 * `probes`: since the loss was suspected, the latest last. `need`: so many in a row must agree on a loss. A probe that shows
 * the store as it was, or whose revision is lower than the one before (two copies that answer in turn), starts the row anew.
 */
export const verdictOf = (known: StoreKnowledge, probes: readonly Probe[], need: number): Verdict => {
  const last = probes[probes.length - 1];
  if (last === undefined) return 'undecided';
  // A node without a view of its own takes any that is as new as what it has heard of.
  const newer = Math.max(known.generation, (known.incarnation?.generation ?? -1) + 1);
  const others = last.incarnations.filter((i) => i.id !== known.incarnation?.id);
  if (last.term >= known.term && others.some((i) => i.generation >= newer)) return 'rebuilt';
  if (matchesKnown(known, last)) return 'intact';
  let row = 1;
  for (let i = probes.length - 2; i >= 0; i--) {
    if (matchesKnown(known, probes[i]!) || probes[i]!.revision > probes[i + 1]!.revision) break;
    row++;
  }
  return row >= need ? 'lost' : 'undecided';
};

const matchesKnown = (known: StoreKnowledge, probe: Probe): boolean =>
  probe.revision >= known.revision &&
  probe.term >= known.term &&
  (known.incarnation === null
    ? known.generation < 0 && probe.incarnations.length === 0
    : probe.incarnations.some((i) => i.id === known.incarnation!.id && i.stamp === known.incarnation!.stamp));
