/** What looks at a doubted store say of it: a pure decision, by evidence and not by time. */
import type { StoreKnowledge, Probe } from './model.js';

/**
 * `again`: not certain yet. `restored`: the store is again as it was known. `moved`: somebody has rebuilt it.
 * `lost`: what was known is not there any more.
 */
export type Verdict = 'again' | 'restored' | 'moved' | 'lost';

/**
 * `probes`: since the doubt began, the latest last. `need`: so many in a row must agree on a loss. One that shows the
 * store as it was, or one that goes back against the one before it (two copies that answer in turn), begins the row anew.
 */
export const verdictOf = (known: StoreKnowledge, probes: readonly Probe[], need: number): Verdict => {
  const last = probes[probes.length - 1];
  if (last === undefined) return 'again';
  // A node without a view of its own takes any that is as new as what it has heard of.
  const newer = Math.max(known.generation, (known.incarnation?.generation ?? -1) + 1);
  const others = last.incarnations.filter((i) => i.id !== known.incarnation?.id);
  if (last.term >= known.term && others.some((i) => i.generation >= newer)) return 'moved';
  if (matchesKnown(known, last)) return 'restored';
  let row = 1;
  for (let i = probes.length - 2; i >= 0; i--) {
    if (matchesKnown(known, probes[i]!) || probes[i]!.revision > probes[i + 1]!.revision) break;
    row++;
  }
  return row >= need ? 'lost' : 'again';
};

const matchesKnown = (known: StoreKnowledge, p: Probe): boolean =>
  p.revision >= known.revision &&
  p.term >= known.term &&
  (known.incarnation === null
    ? known.generation < 0 && p.incarnations.length === 0
    : p.incarnations.some((i) => i.id === known.incarnation!.id && i.stamp === known.incarnation!.stamp));
